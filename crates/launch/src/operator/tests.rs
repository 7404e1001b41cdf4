use super::*;

#[test]
fn invalid_files_are_refused_with_file_line_and_reason() {
    let whole = "[membership]\non = true\ncounts = true\nshares = false\n";
    let membership = Membership { enabled: true, peer_counting: true, share_quotas: false };
    assert_eq!(OperatorConfig::parse("a.toml", whole), Ok(OperatorConfig { membership }));
    assert_eq!(OperatorConfig::parse("a.toml", ""), Ok(OperatorConfig::default()));
    for (text, line, reason) in [
        ("\n[membership]\non = true\ncount = true\n", 4, "unknown field `count`"),
        ("[members]\non = true\n", 1, "unknown field `members`"),
        ("[membership]\non = 1\n", 2, "invalid type"),
        ("[membership]\non = true\non = true\n", 3, "duplicate key"),
        ("# off\n[membership]\ncounts = true\n", 2, "need membership.on"),
        ("[membership\n", 1, "unclosed"),
    ] {
        let error = OperatorConfig::parse("a.toml", text).unwrap_err();
        assert!(error.line == line && error.reason.contains(reason), "{text}: {error}");
        assert!(error.to_string().starts_with(&format!("a.toml:{line}: ")));
    }
    let error = OperatorConfig::read(Path::new("/no/such/operator.toml")).unwrap_err();
    assert!(error.to_string().starts_with("/no/such/operator.toml: "), "{error}");
}
