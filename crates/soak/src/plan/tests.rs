use super::*;

#[test]
fn plans_are_checked_with_file_key_and_remedy() {
    let cases = [
        ("", None),
        ("stores = 12\nlosses = 2\n[troubles]\nfreeze = 0\n", None),
        ("stores = 2\n", Some("stores")),
        ("troubled_s = \"long\"\n", Some("troubled_s")),
        ("[troubles]\nleast_pause_ms = 1\n", Some("least_pause_ms")),
        ("stoers = 4\n", Some("stoers")),
    ];
    for (text, key) in cases {
        let plan = Plan::parse(text, Path::new("plan.toml"));
        match (plan, key) {
            (Ok(_), None) => {}
            (Err(reason), Some(key)) => {
                let message = reason.to_string();
                assert!(message.contains("plan.toml") && message.contains(key), "{message}");
                assert!(message.contains("correct the key"), "{message}");
            }
            (other, _) => panic!("{text}: {other:?}"),
        }
    }
}
