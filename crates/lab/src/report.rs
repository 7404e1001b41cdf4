//! What a play comes to, in figures: answers and latencies, load by server, herds, the quota as one that saw all
//! would have kept it. Made from the records alone.

use crate::judge::{judge, Rule, Verdict};
use crate::record::{Answer, Event, Held, Life, Played, Trace};
use crate::scenario::Scenario;
use crate::timeline::START;
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Load is kept in steps of this many microseconds.
const STEP_US: u64 = 100_000;
/// A herd: gateways that turn to a server within this span, each of which sent it nothing for the longer one.
const HERD_US: u64 = 200_000;
const AFRESH_US: u64 = 2_000_000;
/// Windows over which the evenness of the load is told, in steps: half a second, and ten seconds.
const SHORT: usize = 5;
const LONG: usize = 100;

#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
pub struct Report {
    pub scenario: String,
    pub played: Played,
    pub seed: u64,
    pub gateways: u32,
    pub servers: u32,
    pub length_s: f64,
    pub answers: Vec<Answers>,
    pub latency: Vec<Latency>,
    pub quota: Vec<Quota>,
    pub amplification: Amplification,
    pub spread: Spread,
    pub herds: Herds,
    pub by_server: Vec<ServerLoad>,
    pub series: Series,
    /// Where the scenario switches membership on.
    #[serde(default)]
    pub members: Option<Members>,
    pub verdict: Verdict,
}

/// What gateways hold of one another, and what it costs.
#[derive(Clone, Debug, Default, Deserialize, Serialize, PartialEq)]
pub struct Members {
    /// Seconds from a gateway's end until another one held it to have failed, over all pairs that the logs tell.
    pub found: u64,
    pub found_p50_s: f64,
    pub found_p99_s: f64,
    /// Gateways held to have failed while they were there.
    pub false_failures: usize,
    /// Each gateway's datagrams and bytes a second to others: the mean, and the most of one.
    pub datagrams_per_s: f64,
    pub most_datagrams_per_s: f64,
    pub bytes_per_s: f64,
    /// Processor time of a gateway, in milliseconds a second; 0 where simulated.
    pub cpu_ms_per_s: f64,
    /// After the load, until all that ran held one view; none: they did not, or were not waited for.
    pub one_view_s: Option<f64>,
}

/// Tries of a plan and band, by how they ended.
#[derive(Clone, Debug, Default, Deserialize, Serialize, PartialEq)]
pub struct Answers {
    pub plan: String,
    pub band: String,
    pub tries: u64,
    pub firsts: u64,
    pub satisfied: u64,
    /// Satisfied after the target time.
    pub late: u64,
    pub dismissed: u64,
    pub forfeited: u64,
    pub broken: u64,
    pub unreached: u64,
    pub left: u64,
}

/// Of satisfied tries of a band, in milliseconds.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
pub struct Latency {
    pub band: String,
    pub count: u64,
    pub p50: f64,
    pub p90: f64,
    pub p99: f64,
    pub p999: f64,
    pub most: f64,
}

/// What one gateway that saw all would say of a plan's tries: units sent on within the quota and beyond it, and
/// tries dismissed although the customer's store held their units, or was half full besides.
#[derive(Clone, Debug, Default, Deserialize, Serialize, PartialEq)]
pub struct Quota {
    pub plan: String,
    pub units_within: f64,
    pub units_beyond: f64,
    pub dismissed: u64,
    pub dismissed_with_room: u64,
    pub dismissed_half_full: u64,
}

#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
pub struct Amplification {
    /// Relays for each try that was sent on at all, and for each first try.
    pub relays_per_try: f64,
    pub relays_per_first: f64,
    pub tries_per_first: f64,
    /// Calls to the counter for each try, and new connections to servers for each relay.
    pub calls_per_try: f64,
    pub connections_per_relay: f64,
}

/// How evenly relays fall on the servers, each by its rating, in windows of the load's time. Servers that were
/// not up and warm all through a window are left out of it.
#[derive(Clone, Debug, Default, Deserialize, Serialize, PartialEq)]
pub struct Spread {
    /// The worst of all windows of ten seconds, one begun each second.
    pub most_over_mean: f64,
    pub least_over_mean: f64,
    pub idle: u64,
    pub variation: f64,
    /// The worst window of half a second: the most that one server got over its rated share.
    pub most_in_half_a_second: f64,
    pub windows: Vec<Window>,
}

#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
pub struct Window {
    pub from_s: f64,
    pub servers: usize,
    pub relays: u64,
    pub idle: u64,
    pub most_over_mean: f64,
    pub least_over_mean: f64,
    /// Standard deviation over the mean.
    pub variation: f64,
}

/// Gateways that turned to one server within a fifth of a second, having sent it nothing for two seconds.
#[derive(Clone, Debug, Default, Deserialize, Serialize, PartialEq)]
pub struct Herds {
    pub most: u64,
    pub at_s: f64,
    pub server: u32,
    /// Of all servers' fifths of a second.
    pub p99: u64,
}

#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
pub struct ServerLoad {
    pub server: u32,
    pub place: u32,
    pub rating: f64,
    pub cold: bool,
    pub relays: u64,
    /// First relays of their tries.
    pub firsts: u64,
    pub connections: u64,
    pub work_s: f64,
}

/// Counts in steps of a tenth of a second.
#[derive(Clone, Debug, Default, Deserialize, Serialize, PartialEq)]
pub struct Series {
    pub sent: Vec<u32>,
    pub satisfied: Vec<u32>,
    pub dismissed: Vec<u32>,
    pub failed: Vec<u32>,
    /// Relays, by server.
    pub relays: BTreeMap<u32, Vec<u32>>,
}

struct Up {
    from: u64,
    until: u64,
    rating: f64,
}

#[derive(Default)]
struct Sums {
    sent: BTreeMap<u64, (u64, usize, usize)>,
    relayed: BTreeSet<u64>,
    relays: u64,
    fresh: u64,
    calls: u64,
    up: BTreeMap<u32, Vec<Up>>,
    /// When each gateway last sent a server something.
    last: BTreeMap<(u32, u32), u64>,
    turned: BTreeMap<u32, Vec<(u64, u32)>>,
    /// When each gateway ended last, and how long others took to hold it failed.
    ended: BTreeMap<u32, u64>,
    found: Vec<u64>,
    costs: Vec<(u64, u64, u64)>,
    one_view: Option<f64>,
}

fn secs(at: u64) -> f64 {
    (at as f64 - START.micros() as f64) / 1e6
}

fn step(at: u64) -> usize {
    (at.saturating_sub(START.micros()) / STEP_US) as usize
}

fn count(series: &mut Vec<u32>, at: u64) {
    let step = step(at);
    if series.len() <= step {
        series.resize(step + 1, 0);
    }
    series[step] += 1;
}

fn over(a: u64, b: u64) -> f64 {
    if b == 0 {
        0.0
    } else {
        a as f64 / b as f64
    }
}

/// Makes the report of a play.
pub fn report(trace: &Trace) -> Report {
    let scenario = &trace.scenario;
    let mut sums = Sums::default();
    let mut answers: Vec<Vec<Answers>> = scenario
        .plan
        .iter()
        .map(|plan| {
            let row = |band: &crate::scenario::Band| Answers {
                plan: plan.name.clone(),
                band: band.name.clone(),
                ..Answers::default()
            };
            scenario.band.iter().map(row).collect()
        })
        .collect();
    // From one microsecond to an hour, to three digits.
    let histogram = || Histogram::<u64>::new_with_bounds(1, 3_600_000_000, 3).ok();
    let mut latencies: Vec<Option<Histogram<u64>>> = scenario.band.iter().map(|_| histogram()).collect();
    let mut by_server: BTreeMap<u32, ServerLoad> = BTreeMap::new();
    let mut series = Series::default();
    let mut stores = Stores::new(trace);
    let warm = (scenario.deployment.cold.warm_after_s * 1e6) as u64;
    for record in &trace.records {
        let at = record.at;
        match record.event {
            Event::Sent { job, nth, plan, band, .. } => {
                sums.sent.insert(job, (at, plan, band));
                let row = &mut answers[plan][band];
                row.tries += 1;
                row.firsts += u64::from(nth == 0);
                count(&mut series.sent, at);
            }
            Event::Answered { job, how } => {
                let Some((sent, plan, band)) = sums.sent.get(&job).copied() else { continue };
                let row = &mut answers[plan][band];
                match how {
                    Answer::Satisfied => {
                        row.satisfied += 1;
                        let took = at.saturating_sub(sent);
                        row.late += u64::from(took as f64 > scenario.band[band].target_ms * 1e3);
                        if let Some(latency) = &mut latencies[band] {
                            latency.saturating_record(took.max(1));
                        }
                        count(&mut series.satisfied, at);
                    }
                    Answer::Dismissed => {
                        row.dismissed += 1;
                        count(&mut series.dismissed, at);
                    }
                    Answer::Forfeited => row.forfeited += 1,
                    Answer::Broken => row.broken += 1,
                    Answer::Unreached => row.unreached += 1,
                }
                if !matches!(how, Answer::Satisfied | Answer::Dismissed) {
                    count(&mut series.failed, at);
                }
            }
            Event::Left { job, .. } => {
                if let Some((_, plan, band)) = sums.sent.get(&job).copied() {
                    answers[plan][band].left += 1;
                }
            }
            Event::Relay { job, server, gateway, work, fresh, .. } => {
                sums.relays += 1;
                sums.fresh += u64::from(fresh);
                let first = sums.relayed.insert(job);
                if let Some(load) = by_server.get_mut(&server) {
                    load.relays += 1;
                    load.firsts += u64::from(first);
                    load.connections += u64::from(fresh);
                    load.work_s += work;
                }
                count(series.relays.entry(server).or_default(), at);
                let before = sums.last.insert((gateway, server), at);
                if before.is_none_or(|before| before + AFRESH_US < at) {
                    sums.turned.entry(server).or_default().push((at, gateway));
                }
            }
            Event::Started { server, place, rating, cold, .. } => {
                let from = if cold { at + warm } else { 0 };
                sums.up.entry(server).or_default().push(Up { from, until: u64::MAX, rating });
                let load = ServerLoad {
                    server,
                    place,
                    rating,
                    cold,
                    relays: 0,
                    firsts: 0,
                    connections: 0,
                    work_s: 0.0,
                };
                by_server.entry(server).or_insert(load);
            }
            Event::Ended { server } => {
                if let Some(last) = sums.up.get_mut(&server).and_then(|up| up.last_mut()) {
                    last.until = last.until.min(at);
                }
            }
            Event::Called { .. } => sums.calls += 1,
            Event::Gateway { gateway, life: Life::Down | Life::Crashed } => {
                sums.ended.insert(gateway, at);
            }
            Event::Gateway { gateway, life: Life::Ready } => {
                sums.ended.remove(&gateway);
            }
            Event::Member { member, state: Held::Failed, .. } => {
                sums.found.extend(sums.ended.get(&member).map(|ended| at.saturating_sub(*ended)));
            }
            Event::Cost { datagrams, bytes, cpu_ms, .. } => sums.costs.push((datagrams, bytes, cpu_ms)),
            Event::OneView { reached: true, after_ms, .. } => sums.one_view = Some(after_ms as f64 / 1e3),
            _ => {}
        }
        stores.take(at, &record.event);
    }
    let verdict = judge(trace);
    let tries: u64 = answers.iter().flatten().map(|row| row.tries).sum();
    let firsts: u64 = answers.iter().flatten().map(|row| row.firsts).sum();
    let latency = scenario.band.iter().zip(&latencies).filter_map(|(band, latency)| {
        let latency = latency.as_ref().filter(|latency| !latency.is_empty())?;
        let at = |quantile| latency.value_at_quantile(quantile) as f64 / 1e3;
        Some(Latency {
            band: band.name.clone(),
            count: latency.len(),
            p50: at(0.5),
            p90: at(0.9),
            p99: at(0.99),
            p999: at(0.999),
            most: latency.max() as f64 / 1e3,
        })
    });
    Report {
        scenario: scenario.name.clone(),
        played: trace.played,
        seed: scenario.seed,
        gateways: scenario.deployment.gateways,
        servers: scenario.deployment.servers,
        length_s: scenario.length_s,
        latency: latency.collect(),
        answers: answers.into_iter().flatten().filter(|row| row.tries > 0).collect(),
        quota: stores.sums,
        amplification: Amplification {
            relays_per_try: over(sums.relays, sums.relayed.len() as u64),
            relays_per_first: over(sums.relays, firsts),
            tries_per_first: over(tries, firsts),
            calls_per_try: over(sums.calls, tries),
            connections_per_relay: over(sums.fresh, sums.relays),
        },
        spread: spread(scenario.length_s, &series, &sums.up),
        herds: herds(&sums.turned),
        members: scenario.membership.as_ref().map(|_| members(scenario, &mut sums, &verdict)),
        by_server: by_server.into_values().collect(),
        series,
        verdict,
    }
}

fn members(scenario: &Scenario, sums: &mut Sums, verdict: &Verdict) -> Members {
    sums.found.sort_unstable();
    let found = &sums.found;
    let at = |part: usize| {
        found.get(found.len().saturating_sub(1) * part / 100).map_or(0.0, |it| *it as f64 / 1e6)
    };
    // The costs are of the whole play: a little before the load and after it as well.
    let length_s = scenario.length_s + sums.one_view.unwrap_or(0.0);
    let many = sums.costs.len().max(1) as f64;
    let sum =
        |of: fn(&(u64, u64, u64)) -> u64| sums.costs.iter().map(of).sum::<u64>() as f64 / length_s / many;
    let most = sums.costs.iter().map(|cost| cost.0).max().unwrap_or(0) as f64 / length_s;
    Members {
        found: found.len() as u64,
        found_p50_s: at(50),
        found_p99_s: at(99),
        false_failures: verdict.broken(Rule::Members),
        datagrams_per_s: sum(|cost| cost.0),
        most_datagrams_per_s: most,
        bytes_per_s: sum(|cost| cost.1),
        cpu_ms_per_s: sum(|cost| cost.2),
        one_view_s: sums.one_view,
    }
}

/// One window over the servers that were up and warm all through it, if at least two were.
fn window(first: usize, steps: usize, series: &Series, up: &BTreeMap<u32, Vec<Up>>) -> Option<Window> {
    let from = START.micros() + first as u64 * STEP_US;
    let until = from + steps as u64 * STEP_US;
    let mut loads = Vec::new();
    for (server, lives) in up {
        let Some(life) = lives.iter().find(|life| life.from <= from && life.until >= until) else { continue };
        let counts = series.relays.get(server).map_or(&[][..], Vec::as_slice);
        let relays: u32 = counts.iter().skip(first).take(steps).sum();
        loads.push((f64::from(relays), life.rating));
    }
    let whole: f64 = loads.iter().map(|load| load.0).sum();
    let rated: f64 = loads.iter().map(|load| load.1).sum();
    if loads.len() < 2 || whole <= 0.0 {
        return None;
    }
    // Each server's load over what its rating makes its share.
    let shares: Vec<f64> = loads.iter().map(|(relays, rating)| relays / (whole * rating / rated)).collect();
    let many = shares.len() as f64;
    let mean = shares.iter().sum::<f64>() / many;
    let variance = shares.iter().map(|share| (share - mean) * (share - mean)).sum::<f64>() / many;
    Some(Window {
        from_s: first as f64 * STEP_US as f64 / 1e6,
        servers: shares.len(),
        relays: whole as u64,
        idle: loads.iter().filter(|load| load.0 <= 0.0).count() as u64,
        most_over_mean: shares.iter().copied().fold(0.0, f64::max),
        least_over_mean: shares.iter().copied().fold(f64::INFINITY, f64::min),
        variation: variance.sqrt(),
    })
}

fn spread(length_s: f64, series: &Series, up: &BTreeMap<u32, Vec<Up>>) -> Spread {
    let steps = (length_s * 1e6 / STEP_US as f64) as usize;
    let starts = |apart: usize, long: usize| (0..=steps.saturating_sub(long)).step_by(apart);
    let windows: Vec<Window> =
        starts(10, LONG).filter_map(|first| window(first, LONG.min(steps), series, up)).collect();
    let short = starts(1, SHORT).filter_map(|first| window(first, SHORT, series, up));
    let worst = |of: fn(&Window) -> f64| windows.iter().map(of).fold(0.0, f64::max);
    Spread {
        most_over_mean: worst(|it| it.most_over_mean),
        least_over_mean: windows.iter().map(|it| it.least_over_mean).fold(f64::INFINITY, f64::min).min(1e9),
        idle: windows.iter().map(|it| it.idle).max().unwrap_or(0),
        variation: worst(|it| it.variation),
        most_in_half_a_second: short.map(|it| it.most_over_mean).fold(0.0, f64::max),
        windows,
    }
}

fn herds(turned: &BTreeMap<u32, Vec<(u64, u32)>>) -> Herds {
    let mut herds = Herds::default();
    let mut all = Vec::new();
    for (server, turns) in turned {
        let mut from = 0;
        for last in 0..turns.len() {
            while turns[from].0 + HERD_US < turns[last].0 {
                from += 1;
            }
            let gateways: BTreeSet<u32> = turns[from..=last].iter().map(|turn| turn.1).collect();
            let many = gateways.len() as u64;
            all.push(many);
            if many > herds.most {
                (herds.most, herds.at_s, herds.server) = (many, secs(turns[last].0), *server);
            }
        }
    }
    all.sort_unstable();
    herds.p99 = all.get(all.len().saturating_sub(1) * 99 / 100).copied().unwrap_or(0);
    herds
}

/// The quotas as one that saw all would keep them.
struct Stores<'a> {
    trace: &'a Trace,
    sums: Vec<Quota>,
    /// Units in the store, as of when, by customer.
    levels: BTreeMap<u64, (f64, u64)>,
    /// Relays out, by customer, of plans with a cap on them.
    out: BTreeMap<u64, f64>,
    jobs: BTreeMap<u64, (u64, usize, f64, bool)>,
}

impl<'a> Stores<'a> {
    fn new(trace: &'a Trace) -> Self {
        let plans = trace.scenario.plan.iter();
        let sums = plans.map(|plan| Quota { plan: plan.name.clone(), ..Quota::default() }).collect();
        Self { trace, sums, levels: BTreeMap::new(), out: BTreeMap::new(), jobs: BTreeMap::new() }
    }

    fn level(&mut self, customer: u64, plan: usize, at: u64) -> f64 {
        let figures = &self.trace.scenario.plan[plan];
        let level = self.levels.entry(customer).or_insert((figures.burst, at));
        let filled = (at.saturating_sub(level.1)) as f64 / 1e6 * figures.rate;
        *level = ((level.0 + filled).min(figures.burst), at);
        level.0
    }

    fn take(&mut self, at: u64, event: &Event) {
        match *event {
            Event::Sent { job, customer, plan, units, .. } => {
                self.jobs.insert(job, (customer, plan, f64::from(units), false));
            }
            Event::Relay { job, .. } => {
                let Some((customer, plan, units, sent)) = self.jobs.get(&job).copied() else { return };
                let figures = &self.trace.scenario.plan[plan];
                if figures.rate > 0.0 {
                    if sent {
                        return;
                    }
                    let within = self.level(customer, plan, at) >= units;
                    if let Some(level) = self.levels.get_mut(&customer).filter(|_| within) {
                        level.0 -= units;
                    }
                    self.add(plan, units, within);
                } else if figures.relays_out > 0.0 {
                    let out = self.out.entry(customer).or_default();
                    let within = *out + 1.0 <= figures.relays_out;
                    *out += 1.0;
                    if !sent {
                        self.add(plan, units, within);
                    }
                }
                self.jobs.insert(job, (customer, plan, units, true));
            }
            Event::RelayOver { job, .. } => {
                if let Some((customer, ..)) = self.jobs.get(&job) {
                    let out = self.out.entry(*customer).or_default();
                    *out = (*out - 1.0).max(0.0);
                }
            }
            Event::Answered { job, how: Answer::Dismissed } => {
                let Some((customer, plan, units, false)) = self.jobs.get(&job).copied() else { return };
                let figures = &self.trace.scenario.plan[plan];
                let (room, half) = if figures.rate > 0.0 {
                    let level = self.level(customer, plan, at);
                    (level >= units, level >= units.max(figures.burst / 2.0))
                } else if figures.relays_out > 0.0 {
                    let out = self.out.get(&customer).copied().unwrap_or_default();
                    (out + 1.0 <= figures.relays_out, out + 1.0 <= figures.relays_out / 2.0)
                } else {
                    (true, true)
                };
                let sums = &mut self.sums[plan];
                sums.dismissed += 1;
                sums.dismissed_with_room += u64::from(room);
                sums.dismissed_half_full += u64::from(half);
            }
            Event::Gateway { life: Life::Down | Life::Crashed, .. } => {}
            _ => {}
        }
    }

    fn add(&mut self, plan: usize, units: f64, within: bool) {
        let sums = &mut self.sums[plan];
        if within {
            sums.units_within += units;
        } else {
            sums.units_beyond += units;
        }
    }
}

impl Report {
    /// A table for people.
    pub fn text(&self) -> String {
        use std::fmt::Write;
        let mut out = String::new();
        let played = match self.played {
            Played::Simulated => "simulated",
            Played::Processes => "real processes",
        };
        // Writing to a string cannot fail.
        let _ = writeln!(
            out,
            "{}: {played}, {} gateways, {} servers, {} s, seed {}",
            self.scenario, self.gateways, self.servers, self.length_s, self.seed
        );
        for row in &self.answers {
            let _ = writeln!(
                out,
                "  {:<12} {:<12} tries {:>7}  satisfied {:>7} (late {})  dismissed {:>6}  forfeited {:>5}  broken \
                 {:>4}  unreached {:>5}  left {:>4}",
                row.plan,
                row.band,
                row.tries,
                row.satisfied,
                row.late,
                row.dismissed,
                row.forfeited,
                row.broken,
                row.unreached,
                row.left
            );
        }
        for row in &self.latency {
            let _ = writeln!(
                out,
                "  {:<12} ms: p50 {:.1}  p90 {:.1}  p99 {:.1}  p99.9 {:.1}  most {:.1}",
                row.band, row.p50, row.p90, row.p99, row.p999, row.most
            );
        }
        for row in &self.quota {
            let _ = writeln!(
                out,
                "  {:<12} units within {:.0}, beyond {:.0}; dismissed {}, with room {}, half full {}",
                row.plan,
                row.units_within,
                row.units_beyond,
                row.dismissed,
                row.dismissed_with_room,
                row.dismissed_half_full
            );
        }
        let made = &self.amplification;
        let _ = writeln!(
            out,
            "  relays a try {:.3}, a first {:.3}; tries a first {:.3}; calls a try {:.3}; connections a relay {:.3}",
            made.relays_per_try,
            made.relays_per_first,
            made.tries_per_first,
            made.calls_per_try,
            made.connections_per_relay
        );
        let spread = &self.spread;
        let _ = writeln!(
            out,
            "  spread over 10 s: max/mean {:.2}, min/mean {:.2}, idle {}, variation {:.3}; max/mean over 0.5 s {:.2}",
            spread.most_over_mean,
            spread.least_over_mean,
            spread.idle,
            spread.variation,
            spread.most_in_half_a_second
        );
        let herds = &self.herds;
        let _ = writeln!(
            out,
            "  herds: at most {} gateways to server {} at {:.1} s; 99th percentile {}",
            herds.most, herds.server, herds.at_s, herds.p99
        );
        if let Some(members) = &self.members {
            let one = members.one_view_s.map_or("-".to_string(), |secs| format!("{secs:.1} s"));
            let _ = writeln!(
                out,
                "  members: {} found failed, p50 {:.1} s, p99 {:.1} s; {} falsely; one view after {one}; a gateway and \
                 second: {:.1} datagrams (most {:.1}), {:.0} bytes, {:.1} ms of a processor",
                members.found,
                members.found_p50_s,
                members.found_p99_s,
                members.false_failures,
                members.datagrams_per_s,
                members.most_datagrams_per_s,
                members.bytes_per_s,
                members.cpu_ms_per_s
            );
        }
        let looked = self.verdict.looked.iter().map(|(rule, many)| format!("{rule:?} {many}"));
        let _ = writeln!(out, "  looked at: {}", looked.collect::<Vec<_>>().join(", "));
        let _ = writeln!(out, "  rules {}", if self.verdict.kept() { "kept" } else { "BROKEN" });
        for breach in self.verdict.breaches.iter().take(20) {
            let _ = writeln!(out, "    {:?} at {:.3} s: {}", breach.rule, breach.at_s, breach.what);
        }
        if self.verdict.breaches.len() > 20 {
            let _ = writeln!(out, "    and {} more", self.verdict.breaches.len() - 20);
        }
        out
    }
}
