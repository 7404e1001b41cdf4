//! Short soaks with the same seeds each time; what the command line says of bad input.

use std::path::PathBuf;
use std::process::{Command, Output};

fn soak(arguments: &[&str]) -> Output {
    let output = Command::new(env!("CARGO_BIN_EXE_fennelgauge-soak")).args(arguments).output();
    output.expect("the soak runs")
}

fn folder(test: &str) -> PathBuf {
    std::env::temp_dir().join(format!("fennelgauge-soak-{test}-{}", std::process::id()))
}

/// Runs a soak that breaks no rule; returns what it tells.
fn passes(test: &str, arguments: &[&str]) -> String {
    let folder = folder(test);
    let mut all = vec!["run", "--folder", folder.to_str().expect("a path")];
    all.extend(arguments);
    let output = soak(&all);
    let told =
        String::from_utf8_lossy(&output.stdout).into_owned() + &String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{told}");
    let _ = std::fs::remove_dir_all(folder);
    told
}

fn plan(name: &str) -> String {
    format!("{}/../../deploy/soak/{name}.toml", env!("CARGO_MANIFEST_DIR"))
}

#[test]
fn nothing_is_broken_by_troubles_of_all_kinds() {
    passes("mixed", &["--seed", "1", "--seeds", "2"]);
}

#[test]
fn planned_work_loses_no_live_request() {
    let told = passes("planned", &["--seed", "1", "--plan", &plan("planned")]);
    for judged in ["read slowly", "pages read slowly", "cut off", "left"] {
        assert!(!told.contains(&format!(" 0 {judged}")), "none was judged that was {judged}: {told}");
    }
}

/// Guards against TWICE and REFUSED by answers that do not belong to the request, and by refusals that promise too much; against
/// MIXED by heads that are spoilt and by parts of answers before the end of an upload.
#[test]
fn unruly_servers_make_no_request_run_twice_or_after_a_refusal() {
    let told = passes("servers", &["--seed", "1", "--plan", &plan("servers")]);
    for conduct in [
        "requests refused full",
        "in the queue",
        "early",
        "misdirected",
        "unmarked refusals",
        "answers lost",
        "connections reset",
        "surplus",
        "spoilt heads",
        "parts before the end of an upload",
    ] {
        assert!(
            !told.contains(&format!(" 0 {conduct}")),
            "the servers did nothing of this: {conduct}: {told}"
        );
    }
}

#[test]
fn plans_that_ship_are_in_order() {
    for name in ["planned", "stores", "large", "servers", "sites"] {
        let output = soak(&["check-plan", &plan(name)]);
        assert!(output.status.success(), "{name}: {}", String::from_utf8_lossy(&output.stderr));
    }
}

#[test]
fn bad_input_is_refused_with_the_remedy() {
    let cases: [(&[&str], &str); 4] = [
        (&["walk"], "see --help"),
        (&["run", "--sede", "3"], "means nothing here"),
        (&["run", "--seed", "three"], "three"),
        (&["run", "--plan", "/nowhere/plan.toml"], "give a file that this user may read"),
    ];
    for (arguments, remedy) in cases {
        let output = soak(arguments);
        let told = String::from_utf8_lossy(&output.stderr);
        assert!(output.status.code() == Some(2) && told.contains(remedy), "{arguments:?}: {told}");
    }
}
