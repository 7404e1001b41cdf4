//! Scenarios: broken ones are refused with the line at fault, and a sound one gives the same play each time.

use fennelgauge_lab::load::Load;
use fennelgauge_lab::record::{Answer, Event, Trace};
use fennelgauge_lab::report::report;
use fennelgauge_lab::scenario::Scenario;
use fennelgauge_lab::sim;
use fennelgauge_lab::timeline::Timeline;

const STORM: &str = include_str!("../scenarios/storm.toml");

fn sound() -> Scenario {
    let mut scenario = Scenario::parse("storm.toml", STORM).unwrap();
    scenario.length_s = 24.0;
    scenario
}

fn bytes(trace: &Trace) -> Vec<u8> {
    let mut out = Vec::new();
    trace.write(&mut out).unwrap();
    out
}

#[test]
fn a_broken_file_is_refused_with_its_line_and_reason() {
    // What is changed, into what, and what the message has to name.
    for (from, to, names) in [
        ("gateways = 12", "gateways = 0", ["deployment.gateways", "between 1 and 1000"]),
        ("gateways = 12", "gateways = \"many\"", ["invalid type", "expected u32"]),
        ("jobs_per_s = 120.0", "jobs_per_sec = 120.0", ["unknown field", "jobs_per_sec"]),
        ("give_up = [0.5, 1.0]", "give_up = [1.0, 0.5]", ["load.give_up", "upside down"]),
        ("repeat = \"pure\"", "repeat = \"maybe\"", ["unknown variant", "maybe"]),
        ("window_ms = 1200.0", "window_ms = 0.0", ["band.2.window_ms", "needs a window"]),
        ("name = \"capped\"", "name = \"small\"", ["plan.1.name", "name of its own"]),
        ("on = \"gateway 1\"", "on = \"gateway 12\"", ["fault.1.on", "numbered from 0 to 11"]),
        ("on = \"gateway 1\"", "on = \"server 1\"", ["fault.1.on", "not what this fault can hit"]),
        (
            "from = \"gateways in west\"",
            "from = \"gateways in south\"",
            ["fault.5.from", "no zone is called `south`"],
        ),
        ("cut = \"both\"", "", ["fault.5.what", "changes nothing"]),
        (
            "what = \"counter-silent\"\nfor_s = 3.0",
            "what = \"counter-silent\"",
            ["fault.6.what", "needs `for_s`"],
        ),
        ("size = 0.6", "size = 1.6", ["fault.7.size", "between 0 and 1"]),
        ("at_s = 22.0", "at_s = 99.0", ["fault.9.at_s", "between 0 and 30"]),
        ("[counter]\nper_s = 1500.0", "", ["fault.6.what", "there is no [counter]"]),
        ("zones = [\"east\", \"west\", \"north\"]", "zones = [\"east\", \"east\"]", ["zones", "named twice"]),
        ("seed = 4", "seed = ", ["", ""]),
    ] {
        assert!(STORM.contains(from), "{from}");
        let text = STORM.replacen(from, to, 1);
        let mistake = Scenario::parse("broken.toml", &text).unwrap_err();
        let told = mistake.to_string();
        assert!(names.iter().all(|name| told.contains(name)), "{from} -> {to}: {told}");
        // The line named is that of the change, or of the table that lacks something.
        let changed = 1 + STORM[..STORM.find(from).unwrap()].matches('\n').count();
        let near = mistake.line.abs_diff(changed);
        assert!(
            mistake.line > 0 && near <= 3 || told.contains("there is no [counter]"),
            "{told}, not {changed}"
        );
    }
}

#[test]
fn the_same_seed_gives_the_same_schedule_and_the_same_play_to_the_byte() {
    let scenario = sound();
    let schedule =
        |scenario: &Scenario| format!("{:?}", Load::new(scenario, &Timeline::new(scenario).bursts).tries);
    assert_eq!(schedule(&scenario), schedule(&scenario));
    let other = Scenario { seed: 5, ..scenario.clone() };
    assert_ne!(schedule(&scenario), schedule(&other));
    let (first, second) =
        (bytes(&sim::play(&scenario, &mut |_| ())), bytes(&sim::play(&scenario, &mut |_| ())));
    assert!(first == second, "two plays differ");
    let read = Trace::read(&first[..]).unwrap();
    assert_eq!(bytes(&read), first);
    assert_eq!(report(&read), report(&Trace::read(&second[..]).unwrap()));
}

#[test]
fn a_storm_is_played_with_every_job_accounted_for_and_the_rules_kept() {
    let trace = sim::play(&sound(), &mut |_| ());
    let report = report(&trace);
    assert!(report.verdict.kept(), "{}", report.text());
    // Every check had something to look at, and every fault came.
    assert_eq!(report.verdict.looked.len(), 6, "{:?}", report.verdict.looked);
    let faults = trace.records.iter().filter(|record| matches!(record.event, Event::Fault { .. })).count();
    assert!(faults > 20, "{faults}");
    let ends = |how| {
        let is = |event: &Event| matches!(event, Event::Answered { how: of, .. } if *of == how);
        trace.records.iter().filter(|record| is(&record.event)).count()
    };
    assert!(ends(Answer::Broken) > 0 && ends(Answer::Satisfied) > 2_000);
    for row in &report.answers {
        let ends = row.satisfied + row.dismissed + row.forfeited + row.broken + row.unreached + row.left;
        assert_eq!(row.tries, ends, "{row:?}");
    }
}

#[test]
fn a_trace_that_cannot_be_read_names_its_line() {
    let trace = bytes(&sim::play(&Scenario { length_s: 1.0, fault: Vec::new(), ..sound() }, &mut |_| ()));
    let text = String::from_utf8(trace).unwrap().replacen("\"at\"", "\"when\"", 1);
    assert!(Trace::read(text.as_bytes()).unwrap_err().starts_with("line 2: "));
    assert!(Trace::read(&b""[..]).unwrap_err().contains("empty"));
}
