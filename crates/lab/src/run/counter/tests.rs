use super::*;

#[test]
fn what_is_no_call_is_an_error() {
    assert!(matches!(call("bump 00ff -2.5 4000"), Call::Add { name: 255, .. }));
    assert!(matches!(call("ping\r\n"), Call::Ping));
    for line in ["", "bump", "bump x 1 1", "bump 1 nan 1", "bump 1 1e10 1", "bump 1 1 0", "bump 1 1 1 1"] {
        assert!(matches!(call(line), Call::Wrong), "{line}");
    }
}
