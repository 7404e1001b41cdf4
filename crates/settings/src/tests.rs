use super::*;

const VALID: &str = r#"
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
fn known_keys_are_read_and_unknown_ones_ignored() {
    let settings = Settings::parse(VALID, Path::new("boot.toml")).expect("valid settings");
    assert!(settings.serves("edge") && !settings.serves("storage"));
    assert_eq!(settings.control_peer_address(), "10.1.0.14:7360".parse().unwrap());
    assert_eq!(settings.seed_peer_addresses()[1], "10.2.0.22:7360".parse().unwrap());
    assert_eq!(settings.bounds.usage_window_s, 5.0);
}

#[test]
fn an_error_names_the_file_and_the_key_and_asks_for_a_correction() {
    let cases = [
        ("ports in descending order", VALID.replace("[7360, 7375]", "[7375, 7360]"), "port_range"),
        ("empty node", VALID.replace("\"edge-a-1\"", "\"\""), "node"),
        ("not an IP address", VALID.replace("10.1.0.14\"\nzone", "home\"\nzone"), "ip"),
        ("value missing", VALID.replace("zone = \"a\"", "zone ="), "zone"),
    ];
    for (name, text, key) in cases {
        let error = Settings::parse(&text, Path::new("boot.toml")).expect_err(name).to_string();
        assert!(
            error.contains("boot.toml") && error.contains(key) && error.contains("correct"),
            "{name}: {error}"
        );
    }
}

#[test]
fn unknown_and_invalid_policy_keys_are_rejected() {
    let policy = |text: &str| Settings::parse(&format!("{VALID}\n[policy]\n{text}"), Path::new("boot.toml"));
    assert_eq!(policy("").expect("every switch has a default").policy, Policy::default());
    assert!(!policy("random_ties = false").expect("a known switch").policy.random_ties);
    let cases = [
        ("randomties", "randomties = false"),
        ("random_ties", "random_ties = 3"),
        ("items_wait_part", "items_wait_part = 0.0"),
    ];
    for (key, text) in cases {
        let error = policy(text).expect_err(key).to_string();
        assert!(error.contains("boot.toml") && error.contains(key) && error.contains("correct"), "{error}");
    }
}

#[test]
fn a_policy_file_is_read_and_unknown_keys_are_rejected() {
    let path = std::env::temp_dir().join(format!("fennelgauge-policy-{}.toml", std::process::id()));
    std::fs::write(&path, "own_zone_first = true\n").expect("the file is written");
    let expected = Policy { own_zone_first: true, ..Policy::default() };
    assert_eq!(Policy::read(&path).expect("a valid file"), expected);
    std::fs::write(&path, "own_zone = false\n").expect("the file is written");
    let error = Policy::read(&path).expect_err("unknown key").to_string();
    assert!(error.contains("own_zone") && error.contains("correct"), "{error}");
    std::fs::remove_file(&path).expect("the file is removed");
    assert!(Policy::read(&path).expect_err("no file").to_string().contains("give a file"));
}
