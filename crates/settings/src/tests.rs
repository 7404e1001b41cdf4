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
    assert_eq!(settings.seed_peer_addresses()[1], "10.2.0.22:7360".parse().unwrap());
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

#[test]
fn policy_has_switches_that_are_known_only() {
    let policy = |text: &str| Settings::parse(&format!("{GOOD}\n[policy]\n{text}"), Path::new("boot.toml"));
    assert_eq!(policy("").expect("nothing is needed").policy, Policy::default());
    assert!(!policy("random_ties = false").expect("a switch").policy.random_ties);
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
fn policy_may_stand_in_a_file_of_its_own() {
    let path = std::env::temp_dir().join(format!("fennelgauge-policy-{}.toml", std::process::id()));
    std::fs::write(&path, "own_zone_first = true\n").expect("a file");
    let expected = Policy { own_zone_first: true, ..Policy::default() };
    assert_eq!(Policy::read(&path).expect("a good file"), expected);
    std::fs::write(&path, "own_zone = false\n").expect("a file");
    let error = Policy::read(&path).expect_err("no such key").to_string();
    assert!(error.contains("own_zone") && error.contains("correct"), "{error}");
    std::fs::remove_file(&path).expect("the file is there");
    assert!(Policy::read(&path).expect_err("no file").to_string().contains("give a file"));
}
