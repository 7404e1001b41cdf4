//! An interrupt in the middle of a play ends every process that it started. In a file of its own, as the signal
//! reaches every play of a process.

use fennelgauge_lab::run::{play, Run};
use fennelgauge_lab::scenario::Scenario;
use std::process::Command;
use std::time::Duration;

fn children() -> usize {
    let tasks = std::fs::read_dir("/proc/self/task").unwrap().flatten();
    let all = tasks.filter_map(|task| std::fs::read_to_string(task.path().join("children")).ok());
    all.map(|text| text.split_whitespace().count()).sum()
}

#[test]
fn an_interrupted_play_leaves_no_process_behind() {
    let text = "name = 'long'\nseed = 1\nlength_s = 600\n[deployment]\ngateways = 5\nservers = 2\n\
        [load]\njobs_per_s = 10\n[[band]]\nname = 'b'\ntarget_ms = 2000\nabandon_ms = 4000\nrepeat = 'pure'\n\
        work_ms = 10\n[[plan]]\nname = 'p'\ncustomers = 3\n\
        [[fault]]\nat_s = 0.1\nwhat = 'stop'\non = 'gateway 3'\nfor_s = 500\n";
    let scenario = Scenario::parse("long.toml", text).unwrap();
    let run = Run { gateway: Some(env!("CARGO_BIN_EXE_fennelgauge-gateway").into()), folder: None };
    let plays = std::thread::spawn(move || play(&scenario, &run, &mut |_| ()));
    for _ in 0..2_000 {
        if children() == 5 {
            break;
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    assert_eq!(children(), 5, "they did not start");
    std::thread::sleep(Duration::from_millis(500));
    let own = std::process::id().to_string();
    assert!(Command::new("kill").args(["-INT", &own]).status().unwrap().success());
    let failure = plays.join().unwrap().unwrap_err();
    assert_eq!(failure.to_string(), "interrupted");
    assert_eq!(children(), 0);
}
