//! Settings documents as benchmark programs write them, with unknown keys and invalid numbers.

use fennelgauge_launch::LaunchSettings;

/// Returns the settings of a deployment with two plans; `more_extra` is appended to `extra`, `more_top` at the top level.
fn settings(more_extra: &str, more_top: &str, price: &str) -> String {
    format!(
        r#"{{"balancers":100,"self_index":7,"tick":1000,"discovery":"automatic","zones":["east","west"],
        "services":[{{"name":"full-grid","aim":400000,"points":1.0,"late_worth":0.0,"semantics":"read_like",
          "group":"cell","repeat_window":0}}],
        "tariffs":[{{"name":"paddock","refill":2.0,"store_size":9.0,"parallel":0,"price":{price},"over_worth":0.0,
          "over_cost":1.2,"never_over_rate":0.0,"ceiling_burst":0.0,"cap_slack":0.0}},
          {{"name":"pit-lane","refill":0.0,"store_size":0.0,"parallel":2.0,"price":1.2,"over_worth":0.0,
          "over_cost":0.5,"never_over_rate":0.0,"ceiling_burst":0.0,"cap_slack":0.0}}],
        "extra":{{"has_counter":true,"counter_timeout":30000,"max_units":8.0{more_extra}}},
        "caps":{{"attempts_cap":5,"may_cancel":true,"retry_after":false,"max_retry_after":0,
          "conn_idle":30000000,"connect_timeout":250000}},
        "rules":{{"cold":9000000,"cold_from":0.3,"fall":1000000,"fall_multiple":2.0}}{more_top}}}"#
    )
}

fn read(text: &str) -> Result<LaunchSettings, serde_json::Error> {
    serde_json::from_str(text)
}

/// Benchmarks of large deployments add prices of probes, handshakes, lists and counter calls in keys that this gateway
/// does not read. They must neither prevent its start nor change its settings.
#[test]
fn unknown_keys_change_nothing() {
    let plain = read(&settings("", "", "0.72")).expect("plain settings");
    let extended = settings(
        r#","counter_price":0.4,"probe_price":0.05,"handshake_price":0.03,"list_price":[0.02,0.08],"settles":2"#,
        r#","prices":{"probe":0.05,"handshake":0.03,"list":0.02,"peer":0.03},"days":{"vast":true}"#,
        "0.72",
    );
    let extended = read(&extended).expect("settings with unknown keys");
    assert_eq!(format!("{:?}", plain.deployment), format!("{:?}", extended.deployment));
    assert_eq!(plain.plan_names, extended.plan_names);
    assert_eq!(extended.plan_names, ["paddock", "pit-lane"]);
    assert_eq!(extended.counter_timeout.micros(), 30_000);
    assert_eq!(extended.deployment.gateway_count, 100);
}

/// A number that cannot be parsed is an error that names the expected type and the line, never replaced by a default:
/// a price of 0 would make all jobs of the plan worthless.
#[test]
fn an_invalid_number_is_reported_with_its_line() {
    for (price, expected) in
        [(r#""dear""#, "expected f64"), ("1e999", "out of range"), ("[1]", "expected f64")]
    {
        let Err(error) = read(&settings("", "", price)) else { panic!("{price} was read as a price") };
        let message = error.to_string();
        assert!(message.contains(expected) && message.contains("line 4"), "{price}: {message}");
    }
}

/// Negative prices are read as 0, and a document without keys as one gateway without plans.
#[test]
fn values_out_of_range_are_clamped_and_absent_keys_have_defaults() {
    let launch = read(&settings("", "", "-3")).expect("a negative price");
    assert_eq!(launch.deployment.plans[0].price, 0.0);
    let empty = read("{}").expect("no keys at all");
    assert_eq!((empty.deployment.gateway_count, empty.deployment.plans.len()), (1, 0));
}
