//! Cold servers bear only so much from all gateways together. Two or three dozen gateways with little traffic each, over
//! many seeds: the sum stays within what the servers' settings allow, though gateways hear of a start at different
//! times, are killed and come back with empty memories in the middle of the ramp, and try again on the next cold server.

use fennelgauge_lab::judge::Rule;
use fennelgauge_lab::record::{Event, RelayOver};
use fennelgauge_lab::report::report;
use fennelgauge_lab::scenario::Scenario;
use fennelgauge_lab::sim;

fn scenario(gateways: u32, seed: u64, jobs_per_s: f64) -> Scenario {
    let replaced = [(6.0, 0), (6.5, 1), (7.0, 2), (7.5, 3)];
    let replaced = replaced
        .map(|(at, server)| format!("[[fault]]\nat_s = {at:.1}\nwhat = 'replace'\non = 'server {server}'\n"));
    let text = format!(
        "name = 'ramp'\nseed = {seed}\nlength_s = 24.0\n\
         [deployment]\ngateways = {gateways}\nservers = 6\nzones = ['east', 'west']\nmost_relays = 3\n\
         cold = {{ share = 0.1, warm_after_s = 10.0, fall_multiple = 1.0, fall_span_s = 1.0 }}\n\
         [load]\njobs_per_s = {jobs_per_s:.1}\nretries = 2\n\
         [discovery]\ndelay_ms = [50.0, 2000.0]\n\
         [counter]\n\
         [[band]]\nname = 'look'\ntarget_ms = 600.0\nabandon_ms = 1500.0\nrepeat = 'pure'\nwork_ms = 60.0\n\
         [[plan]]\nname = 'open'\ncustomers = 400\n\
         {}\
         [[fault]]\nat_s = 8.0\nwhat = 'kill'\non = 'gateways'\nshare = 0.4\nfor_s = 1.0\n\
         [[fault]]\nat_s = 10.0\nwhat = 'turn-away'\non = 'server 2'\nfor_s = 1.0\n",
        replaced.concat()
    );
    Scenario::parse("ramp.toml", &text).unwrap()
}

#[test]
fn the_ramp_of_cold_servers_holds_for_the_fleet_over_many_seeds() {
    let (mut looked, mut turned_away) = (0, 0);
    for seed in 1..=10 {
        for (gateways, jobs_per_s) in [(20, 40.0), (30, 60.0), (30, 150.0)] {
            let trace = sim::play(&scenario(gateways, seed, jobs_per_s), &mut |_| ());
            let verdict = report(&trace).verdict;
            assert_eq!(
                verdict.broken(Rule::Cold),
                0,
                "{gateways} gateways, seed {seed}: {:?}",
                verdict.breaches
            );
            looked += verdict.looked.get(&Rule::Cold).copied().unwrap_or(0);
            let away = |event: &Event| matches!(event, Event::RelayOver { server, how: RelayOver::TurnedAway, .. } if *server > 6);
            turned_away += trace.records.iter().filter(|record| away(&record.event)).count();
        }
    }
    // Work that a cold server turned away is held against the gateways as well.
    assert!(looked > 2_000 && turned_away > 0, "{looked} {turned_away}");
}
