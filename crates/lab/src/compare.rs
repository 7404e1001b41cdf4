//! Two reports beside each other, with their differences.

use crate::report::{Answers, Report};
use std::fmt::Write;

/// What is compared, and its figure in a report.
fn figures(report: &Report) -> Vec<(String, f64)> {
    let mut out = Vec::new();
    let mut put = |name: &str, value: f64| out.push((name.to_string(), value));
    let sum = |of: fn(&Answers) -> u64| report.answers.iter().map(of).sum::<u64>() as f64;
    put("tries", sum(|row| row.tries));
    put("satisfied", sum(|row| row.satisfied));
    put("satisfied late", sum(|row| row.late));
    put("dismissed", sum(|row| row.dismissed));
    put("forfeited", sum(|row| row.forfeited));
    put("broken", sum(|row| row.broken));
    put("unreached", sum(|row| row.unreached));
    put("left", sum(|row| row.left));
    for row in &report.latency {
        put(&format!("{}: p50, ms", row.band), row.p50);
        put(&format!("{}: p99, ms", row.band), row.p99);
    }
    for row in &report.quota {
        put(&format!("{}: units within the quota", row.plan), row.units_within);
        put(&format!("{}: units beyond the quota", row.plan), row.units_beyond);
        put(&format!("{}: dismissed with room", row.plan), row.dismissed_with_room as f64);
    }
    let made = &report.amplification;
    put("relays a try", made.relays_per_try);
    put("tries a first try", made.tries_per_first);
    put("calls a try", made.calls_per_try);
    put("connections a relay", made.connections_per_relay);
    let spread = &report.spread;
    put("max/mean over 10 s", spread.most_over_mean);
    put("min/mean over 10 s", spread.least_over_mean);
    put("idle servers over 10 s", spread.idle as f64);
    put("variation over 10 s", spread.variation);
    put("max/mean over 0.5 s", spread.most_in_half_a_second);
    put("largest herd", report.herds.most as f64);
    if let Some(members) = &report.members {
        put("failed members found, p50, s", members.found_p50_s);
        put("failed members found, p99, s", members.found_p99_s);
        put("false failures", members.false_failures as f64);
        put("datagrams a gateway and second", members.datagrams_per_s);
        put("bytes a gateway and second", members.bytes_per_s);
        put("processor, ms a gateway and second", members.cpu_ms_per_s);
    }
    put("breaches", report.verdict.breaches.len() as f64);
    out
}

/// A table with both figures of everything that either report has, and the second less the first.
pub fn compare(a: &Report, b: &Report) -> String {
    let (first, second) = (figures(a), figures(b));
    let find = |all: &[(String, f64)], name: &str| all.iter().find(|it| it.0 == name).map(|it| it.1);
    let mut names: Vec<&String> = first.iter().map(|it| &it.0).collect();
    names.extend(second.iter().map(|it| &it.0).filter(|name| find(&first, name).is_none()));
    let text = |value: Option<f64>| match value {
        None => "-".to_string(),
        Some(value) if value == value.trunc() => format!("{value:.0}"),
        Some(value) => format!("{value:.3}"),
    };
    let mut out = String::new();
    // Writing to a string cannot fail.
    let _ = writeln!(out, "{:<40} {:>14} {:>14} {:>14}", "", side(a), side(b), "difference");
    for name in names {
        let (a, b) = (find(&first, name), find(&second, name));
        let difference = a.zip(b).map(|(a, b)| b - a);
        let _ = writeln!(out, "{name:<40} {:>14} {:>14} {:>14}", text(a), text(b), text(difference));
    }
    out
}

fn side(report: &Report) -> String {
    let played = match report.played {
        crate::record::Played::Simulated => "sim",
        crate::record::Played::Processes => "run",
    };
    format!("{played} {}", report.scenario.chars().take(9).collect::<String>())
}
