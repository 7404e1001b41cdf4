use super::*;

fn example_document() -> serde_json::Value {
    serde_json::json!({
        "generation": 7,
        "routes": [
            {"name": "a", "host": "A.example", "path_prefix": "/x/", "kind": "streaming", "timeout_ms": 5000, "backend": "s"},
            {"name": "b", "host": "a.example", "path_prefix": "/x/y/", "kind": "batch", "timeout_ms": 5000,
             "split": [{"backend": "s", "weight": 90}, {"backend": "s", "weight": 10}], "public": true},
        ],
        "services": [{"name": "s", "health_path": "/healthz", "kept": {"whole": true}}],
        "limits": {},
        "tenants": [{"name": "t", "api_keys": ["k1", "k2"], "priority": 1}, {"name": "u", "api_keys": ["k3"]}],
    })
}

fn parse(value: &serde_json::Value, current: u64) -> Result<Document, DocumentError> {
    Document::parse(&serde_json::to_vec(value).unwrap(), current)
}

#[test]
fn an_invalid_document_is_rejected_with_the_reason() {
    type Change = fn(&mut serde_json::Value);
    let cases: [(&str, Change, u64, &str); 7] = [
        ("unknown service", |v| v["routes"][0]["backend"] = "z".into(), 6, "not among the services"),
        ("same host and prefix", |v| v["routes"][1]["path_prefix"] = "/x/".into(), 6, "share host"),
        (
            "no weight",
            |v| v["routes"][1]["split"] = serde_json::json!([{"backend": "s", "weight": 0}]),
            6,
            "sum to 0",
        ),
        ("no timeout", |v| v["routes"][0]["timeout_ms"] = 0.into(), 6, "timeout_ms is 0"),
        ("lower generation", |_| (), 8, "not above"),
        ("same generation", |_| (), 7, "not above"),
        ("shared key", |v| v["tenants"][1]["api_keys"][0] = "k2".into(), 6, "share a key"),
    ];
    for (name, change, current, reason) in cases {
        let mut value = example_document();
        change(&mut value);
        let error = parse(&value, current).expect_err(name).to_string();
        assert!(error.contains(reason), "{name}: {error}");
    }
    let text = serde_json::to_vec(&example_document()).unwrap();
    assert!(matches!(Document::parse(&text[..text.len() / 2], 0), Err(DocumentError::Malformed(_))));
}

#[test]
fn a_request_resolves_to_the_longest_matching_route_and_its_tenant() {
    let table = RoutingTable::new(parse(&example_document(), 0).unwrap().configuration);
    let cases = [
        ("a.example", "/x/1", Some("Bearer k1"), Ok(("a", Some("t")))),
        ("A.EXAMPLE:80", "/x/1", Some("bearer k3"), Ok(("a", Some("u")))),
        ("a.example", "/x/y/1", None, Ok(("b", None))),
        ("a.example", "/x/1", Some("Bearer no"), Err(Denial::UnknownKey)),
        ("a.example", "/x/1", None, Err(Denial::UnknownKey)),
        ("a.example", "/z/1", Some("Bearer k1"), Err(Denial::NoRoute)),
        ("b.example", "/x/1", Some("Bearer k1"), Err(Denial::NoRoute)),
    ];
    for (host, path, key, expected) in cases {
        let found = table.authorize(host, path, key);
        let found = found.as_ref().map(|access| {
            (access.route.name.as_str(), access.tenant.as_ref().map(|tenant| tenant.name.as_str()))
        });
        assert_eq!(found.map_err(|denial| *denial), expected, "{host}{path}");
    }
}

/// Guards against batch jobs that cannot be read or cancelled any more once the last route of their host was removed.
#[test]
fn batch_jobs_of_a_host_without_routes_belong_to_the_tenant_of_the_key() {
    let table = RoutingTable::new(parse(&example_document(), 0).unwrap().configuration);
    let cases = [
        ("a.example", Some("Bearer k3"), Ok("u")),
        ("without-routes.example", Some("Bearer k3"), Ok("u")),
        ("a.example", Some("Bearer no"), Err(Denial::UnknownKey)),
        ("a.example", None, Err(Denial::UnknownKey)),
        ("without-routes.example", Some("Bearer no"), Err(Denial::NoRoute)),
    ];
    for (host, key, expected) in cases {
        assert_eq!(table.batch_owner(host, key).as_deref().map_err(|denial| *denial), expected, "{host}");
    }
    let mut without_tenants = example_document();
    without_tenants.as_object_mut().unwrap().remove("tenants");
    let table = RoutingTable::new(parse(&without_tenants, 0).unwrap().configuration);
    assert_eq!(table.batch_owner("without-routes.example", None).as_deref(), Ok(""));
}

#[test]
fn an_item_belongs_to_the_route_of_its_job_while_that_covers_it() {
    let mut document = example_document();
    document["routes"][0]["kind"] = "batch".into();
    let both_batch = RoutingTable::new(parse(&document, 0).unwrap().configuration);
    document["routes"][1]["kind"] = "streaming".into();
    let nested_streaming = RoutingTable::new(parse(&document, 0).unwrap().configuration);
    let cases = [
        ("the job's route, not the longer one", &both_batch, "a", "/x/y/1", Some("a")),
        ("the same, where the longer one takes no batch jobs", &nested_streaming, "a", "/x/y/1", Some("a")),
        ("renamed: the one that covers the path", &both_batch, "former", "/x/1", Some("a")),
        (
            "removed, and the one that covers the path is no batch route",
            &nested_streaming,
            "former",
            "/x/y/1",
            None,
        ),
        ("the prefix changed", &both_batch, "b", "/x/1", Some("a")),
        ("no route covers the path", &both_batch, "a", "/z/1", None),
    ];
    for (case, table, name, path, expected) in cases {
        let found = table.find_batch_route(name, "a.example", path);
        assert_eq!(found.as_ref().map(|route| route.name.as_str()), expected, "{case}");
    }
}

#[test]
fn a_patch_replaces_adds_and_removes_items_by_name_and_keeps_unknown_keys() {
    let patch = serde_json::json!({
        "generation": 9,
        "upsert": {"routes": [{"name": "b", "host": "b", "path_prefix": "/", "kind": "idempotent", "timeout_ms": 1, "backend": "s"}],
                   "tenants": [{"name": "v", "api_keys": ["k9"]}]},
        "remove": {"routes": ["a"], "tenants": ["u"]},
    });
    let json =
        apply_patch(&serde_json::to_vec(&example_document()).unwrap(), &serde_json::to_vec(&patch).unwrap())
            .unwrap();
    let document = Document::parse(&json, 7).unwrap();
    let names = |list: &str| -> Vec<String> {
        let value: serde_json::Value = serde_json::from_slice(&json).unwrap();
        value[list].as_array().unwrap().iter().map(|item| item["name"].as_str().unwrap().to_owned()).collect()
    };
    assert_eq!(names("routes"), ["b"]);
    assert_eq!(names("tenants"), ["t", "v"]);
    assert_eq!(document.configuration.generation, 9);
    assert!(String::from_utf8(json).unwrap().contains("\"kept\":{\"whole\":true}"));
}

#[test]
fn requests_are_split_between_services_by_weight() {
    let mut route = parse(&example_document(), 0).unwrap().configuration.routes[1].clone();
    route.split[1].backend = "other".to_owned();
    let cases = [(0.0, "s"), (0.5, "s"), (0.89, "s"), (0.91, "other"), (1.0, "other")];
    for (fraction, service) in cases {
        assert_eq!(route.pick_service(fraction), service, "{fraction}");
    }
}
