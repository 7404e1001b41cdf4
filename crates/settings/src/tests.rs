use super::*;

const GOOD: &str = r#"
node = "edge-a-1"
serves = ["edge", "control_plane"]
ip = "10.1.0.14"
zone = "a"
port_range = [7360, 7375]
seeds = ["10.1.0.14:8683", "10.2.0.22:8683"]
bootstrap = true
not_known_yet = 3
"#;

#[test]
fn reads_what_it_knows_and_leaves_the_rest() {
    let settings = Settings::parse(GOOD, Path::new("boot.toml")).expect("good settings");
    assert!(settings.serves("edge") && !settings.serves("storage"));
    assert_eq!(settings.control_peer_address(), "10.1.0.14:7360".parse().unwrap());
    assert_eq!(settings.seed_peers()[1], "10.2.0.22:7360".parse().unwrap());
    assert_eq!(settings.bounds.usage_window_s, 5.0);
}

#[test]
fn refuses_with_file_key_and_remedy() {
    let cases = [
        ("no ports", GOOD.replace("[7360, 7375]", "[7375, 7360]"), "port_range"),
        ("no node", GOOD.replace("\"edge-a-1\"", "\"\""), "node"),
        ("no address", GOOD.replace("10.1.0.14\"\nzone", "home\"\nzone"), "ip"),
        ("cut short", GOOD.replace("zone = \"a\"", "zone ="), "zone"),
    ];
    for (name, text, key) in cases {
        let error = Settings::parse(&text, Path::new("boot.toml")).expect_err(name).to_string();
        assert!(
            error.contains("boot.toml") && error.contains(key) && error.contains("correct"),
            "{name}: {error}"
        );
    }
}
