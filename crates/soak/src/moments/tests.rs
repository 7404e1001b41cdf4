use std::io::Write;

use super::*;

#[test]
fn a_blow_falls_once_with_a_line_of_its_moment() {
    let waiting = Waiting::default();
    let aimed = Aimed { moment: Moment::Holds, blow: Blow::Kill, for_: Duration::ZERO };
    waiting.add(aimed);
    assert_eq!(waiting.falls("group 3: a whole copy of 9 bytes goes to 127.0.0.1"), None);
    assert_eq!(waiting.falls("group 3: has everything in view 9"), Some(aimed));
    assert_eq!(waiting.falls("group 3: has everything in view 9"), None);
}

#[test]
fn a_log_is_read_line_by_line_as_it_grows() {
    let path = std::env::temp_dir().join(format!("fennelgauge-soak-tail-{}", std::process::id()));
    let mut tail = Tail { path: path.clone(), read: 0, rest: String::new() };
    assert!(tail.lines().is_empty(), "there is none yet");
    let mut file = File::create(&path).expect("a file");
    file.write_all(b"one\ntwo\nthr").expect("written");
    assert_eq!(tail.lines(), ["one", "two"]);
    file.write_all(b"ee\n").expect("written");
    assert_eq!(tail.lines(), ["three"]);
    let _ = std::fs::remove_file(path);
}
