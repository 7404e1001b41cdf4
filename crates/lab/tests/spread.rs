//! Hundreds of gateways in the simulation, where each sees little: no herd, no server idle, through kills and
//! replacements. A simulated play is the same each time, so that its figures can be held to bounds.

use fennelgauge_lab::report::{report, Report};
use fennelgauge_lab::scenario::Scenario;
use fennelgauge_lab::sim;

fn played(changes: &[(&str, &str)], faults: &str) -> Report {
    let mut text = include_str!("../scenarios/steady.toml").to_string();
    for (from, to) in changes {
        assert!(text.contains(from), "{from}");
        text = text.replace(from, to);
    }
    let scenario = Scenario::parse("steady.toml", &format!("{text}{faults}")).unwrap();
    let report = report(&sim::play(&scenario, &mut |_| ()));
    assert!(report.verdict.kept(), "{}", report.text());
    report
}

/// One job a second at each of 300 gateways on 60 servers. With one order of the servers by hash for each gateway the
/// same play had max/mean 2.00 and min/mean 0.37.
#[test]
fn a_steady_load_falls_evenly_on_all_servers() {
    let spread = played(&[], "").spread;
    assert!(spread.idle == 0 && spread.windows.len() > 40);
    assert!(
        spread.most_over_mean < 1.4 && spread.least_over_mean > 0.65 && spread.variation < 0.13,
        "{spread:?}"
    );
}

#[test]
fn ratings_and_uneven_zones_are_followed() {
    let spread = played(
        &[
            ("servers = 60", "servers = 40\nzone_weights = [1.0, 1.5, 1.5]"),
            ("[counter]", "[servers]\nratings = [1.0, 2.0, 3.0, 4.0]\n[counter]"),
        ],
        "",
    );
    let most = spread.by_server.iter().map(|load| load.relays as f64 / load.rating).fold(0.0, f64::max);
    let least = spread.by_server.iter().map(|load| load.relays as f64 / load.rating).fold(f64::MAX, f64::min);
    assert!(spread.spread.idle == 0 && most / least < 1.3, "{most} {least}");
}

/// More gateways than servers, and fewer.
#[test]
fn any_numbers_of_gateways_and_servers_leave_nobody_idle() {
    for (gateways, servers) in [("gateways = 40", "servers = 200"), ("gateways = 200", "servers = 5")] {
        let report = played(
            &[
                ("gateways = 300", gateways),
                ("servers = 60", servers),
                ("length_s = 60.0", "length_s = 20.0"),
            ],
            "",
        );
        assert!(report.by_server.iter().all(|load| load.relays > 0), "{gateways} {servers}");
    }
}

/// Seven in ten gateways are killed at once and start again together.
#[test]
fn killed_gateways_leave_no_server_idle_and_come_back_without_a_herd() {
    let fault = "[[fault]]\nat_s = 15.0\nwhat = \"kill\"\non = \"gateways\"\nshare = 0.7\nfor_s = 5.0\n";
    let report = played(&[("jobs_per_s = 300.0", "jobs_per_s = 600.0"), ("[counter]", "")], fault);
    assert!(report.spread.idle == 0 && report.spread.most_over_mean < 1.5, "{:?}", report.spread);
    assert!(report.herds.most <= 20, "{:?}", report.herds);
}

/// Six in ten servers are replaced by cold ones within seven seconds, and the news reaches every gateway at another
/// time.
#[test]
fn replaced_servers_are_taken_in_without_a_herd() {
    let replaced: String = (0..7)
        .map(|second| {
            format!("[[fault]]\nat_s = {}.0\nwhat = \"replace\"\non = \"servers\"\ncount = 5\n", 15 + second)
        })
        .collect();
    let report = played(
        &[("jobs_per_s = 300.0", "jobs_per_s = 600.0"), ("length_s = 60.0", "length_s = 45.0")],
        &replaced,
    );
    let looked = report.verdict.looked.get(&fennelgauge_lab::judge::Rule::Cold).copied().unwrap_or(0);
    assert!(looked > 100 && report.herds.most <= 20, "{looked} {:?}", report.herds);
    // But for the few that were replaced again before anybody had heard of them.
    let new: Vec<u64> = report.by_server.iter().filter(|load| load.cold).map(|load| load.relays).collect();
    assert!(new.len() == 35 && new.iter().filter(|relays| **relays == 0).count() <= 5, "{new:?}");
}
