//! Tables of cases for pairs, plans and reports; no bench is started.

use std::path::{Path, PathBuf};

use expect_test::expect;
use fennelgauge_rounds::compare::{read_pairs, table};
use fennelgauge_rounds::pairs::Summary;
use fennelgauge_rounds::play::{Plan, PlayError};
use fennelgauge_rounds::report::DayReport;

#[test]
fn differences_are_summed_up() {
    type Case = (&'static str, &'static [f64], Option<(f64, Option<f64>, f64)>);
    let cases: [Case; 4] = [
        ("none", &[], None),
        ("one", &[0.1], Some((0.1, None, 1.0))),
        ("always better", &[0.1, 0.1, 0.1, 0.1, 0.1, 0.1], Some((0.1, Some(0.0), 0.03125))),
        ("either way", &[0.1, -0.1], Some((0.0, Some(1.2706), 1.0))),
    ];
    for (name, differences, expected) in cases {
        let summary = Summary::of(differences);
        assert_eq!(summary.is_some(), expected.is_some(), "{name}");
        let (Some(summary), Some((mean, half_width, chance))) = (summary, expected) else { continue };
        assert!((summary.mean - mean).abs() < 1e-9, "{name}: {summary:?}");
        assert!((summary.sign_chance - chance).abs() < 1e-6, "{name}: {summary:?}");
        assert_eq!(summary.half_width.is_some(), half_width.is_some(), "{name}");
        let near = summary.half_width.zip(half_width).is_none_or(|(one, other)| (one - other).abs() < 1e-3);
        assert!(near, "{name}: {summary:?}");
    }
}

fn plan(bench: &str) -> Plan {
    Plan {
        bench: bench.into(),
        text: std::env::temp_dir(),
        label: "base".to_owned(),
        folder: std::env::temp_dir().join("fennelgauge-rounds-none"),
        sites: vec!["one.toml".into(), "two.toml".into()],
        days: vec!["quiet-1".to_owned(), "mix".to_owned()],
        seeds: vec![],
        jobs: 2,
        why: String::new(),
    }
}

#[test]
fn a_plan_holds_each_day_of_each_site_with_each_seed() {
    let names = |plan: &Plan| -> Vec<String> {
        plan.plays().iter().map(|play| format!("{} {}", play.site_name(), play.name())).collect()
    };
    assert_eq!(names(&plan("bench")), ["one quiet-1", "one mix", "two quiet-1", "two mix"]);
    let seeded = Plan { seeds: vec![1, 2], days: vec!["mix".to_owned()], ..plan("bench") };
    assert_eq!(names(&seeded), ["one mix-1", "one mix-2", "two mix-1", "two mix-2"]);
}

#[test]
fn a_bench_that_is_missing_or_fails_is_named() {
    let missing = plan("/nowhere/bench").run();
    assert!(matches!(missing[..], [PlayError::NoBench(..)]), "{missing:?}");
    let failing = plan("/bin/false").run();
    assert!(matches!(failing[..], [PlayError::Failed { .. }]), "{failing:?}");
    let writes_nothing = plan("/bin/true").run();
    assert_eq!(writes_nothing.len(), 4, "one for each day without a report");
}

fn folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("fennelgauge-rounds-{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    folder
}

fn write(folder: &Path, label: &str, day: &str, report: &str) {
    let folder = folder.join(label).join("site");
    std::fs::create_dir_all(&folder).expect("a folder");
    std::fs::write(folder.join(format!("{day}.json")), report).expect("a file");
}

fn report(worth: f64, breaks: &str, live: f64) -> String {
    format!(
        r#"{{"G": {worth}, "breaks": {breaks}, "fault": null, "parts": [["whole day", 0.5, {live}]],
            "prices": [["machine-seconds", 10.0, 0.02]],
            "classes": [{{"name": "live", "n": 3, "late": 1, "refused": 0, "failed": 0, "worth": {live}}}],
            "services": [{{"busiest_x": 1.5}}]}}"#
    )
}

#[test]
fn a_comparison_shows_the_difference_and_what_it_is_made_of() {
    let folder = folder("table");
    write(&folder, "base", "mix-1", &report(0.5, "{}", 0.8));
    write(&folder, "base", "mix-2", &report(0.6, "{}", 0.8));
    write(&folder, "trial", "mix-1", &report(0.7, "{}", 0.9));
    write(&folder, "trial", "mix-2", &report(0.9, r#"{"TWICE": 2}"#, 0.9));
    let pairs = read_pairs(&folder, "base", "trial").expect("both were played");
    expect![[r#"
        | site | pairs | base | trial | difference | 95 in 100 | better, worse | sign test | worst day | broken, base and trial |
        | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |
        | site | 2 | 0.550 | 0.350 | -0.200 | ± 5.082 | 1, 1 | 1.000 | mix-2 -0.600 | 0, 1 |

        site, trial less base: class live +0.100; whole day +0.050.
    "#]]
    .assert_eq(&table(&pairs));
    let _ = std::fs::remove_dir_all(&folder);
}

#[test]
fn a_day_without_a_whole_report_is_no_zero() {
    let folder = folder("missing");
    write(&folder, "base", "mix-1", &report(0.5, "{}", 0.8));
    write(&folder, "base", "mix-2", "{\"G\": ");
    write(&folder, "trial", "mix-2", &report(0.5, "{}", 0.8));
    let error = read_pairs(&folder, "base", "trial").expect_err("mix-1 was not played").to_string();
    assert!(error.contains("mix-1") && error.contains("play that day"), "{error}");
    let error = DayReport::read(&folder.join("base/site/mix-2.json")).expect_err("cut short").to_string();
    assert!(error.contains("mix-2") && error.contains("again"), "{error}");
    assert!(read_pairs(&folder, "never", "trial").is_err());
    let _ = std::fs::remove_dir_all(&folder);
}
