use super::*;

#[test]
fn a_log_tells_changes_and_whole_views() {
    let line =
        "2026-12-02T00:18:08.177603Z  INFO side=\"member\" number=3 from=never heard to=failed life=17";
    assert_eq!((field(line, "number"), field(line, "from")), (Some("3"), Some("never heard")));
    assert_eq!(
        (field(line, "to"), field(line, "life"), field(line, "none")),
        (Some("failed"), Some("17"), None)
    );
    assert_eq!(unix_us(line), Some(1_796_170_688_177_603));
    let one = |number: u32, state: &str| {
        format!("2026-12-02T00:18:08.000000Z  INFO side=\"view\" number={number} state={state} life=1\n")
    };
    let whole = "2026-12-02T00:18:08.000001Z  INFO whole view side=\"view\" own=0 present=1\n";
    let text =
        [one(1, "present"), whole.into(), one(1, "never heard"), whole.into(), one(2, "left")].concat();
    assert_eq!(view(&text, 0), Some(BTreeMap::from([(1, Held::NeverHeard)])));
    assert_eq!(view(&text, u64::MAX), None);
}
