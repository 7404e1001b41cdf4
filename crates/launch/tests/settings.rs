//! Settings as the benches write them: dear prices and keys this gateway does not read, and figures it cannot read.

use fennelgauge_launch::LaunchSettings;

/// A deployment of two plans, with `more` spliced into its `extra` table and at its top.
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

/// The vast days tell dearer prices for probes, handshakes and lists, and the counter's price, in keys that this
/// gateway does not read. They must neither stop its start nor change what it decides by.
#[test]
fn dear_prices_and_unknown_keys_change_nothing() {
    let plain = read(&settings("", "", "0.72")).expect("plain settings");
    let dear = settings(
        r#","counter_price":0.4,"probe_price":0.05,"handshake_price":0.03,"list_price":[0.02,0.08],"settles":2"#,
        r#","prices":{"probe":0.05,"handshake":0.03,"list":0.02,"peer":0.03},"days":{"vast":true}"#,
        "0.72",
    );
    let dear = read(&dear).expect("settings with dear prices");
    assert_eq!(format!("{:?}", plain.deployment), format!("{:?}", dear.deployment));
    assert_eq!(plain.plan_names, dear.plan_names);
    assert_eq!(dear.plan_names, ["paddock", "pit-lane"]);
    assert_eq!(dear.counter_timeout.micros(), 30_000);
    assert_eq!(dear.deployment.gateway_count, 100);
}

/// A figure that the gateway reads but cannot parse is an error that says what was wanted and where, never a
/// guess: a price read as nothing would let a plan's jobs be judged as worth nothing.
#[test]
fn a_figure_that_cannot_be_read_is_named_with_its_place() {
    for (price, wanted) in [(r#""dear""#, "expected f64"), ("1e999", "out of range"), ("[1]", "expected f64")]
    {
        let Err(error) = read(&settings("", "", price)) else { panic!("{price} was read as a price") };
        let told = error.to_string();
        assert!(told.contains(wanted) && told.contains("line 4"), "{price}: {told}");
    }
}

/// Prices below nothing are read as nothing, and absent keys as the plainest deployment: one gateway.
#[test]
fn figures_out_of_their_range_are_held_to_it() {
    let launch = read(&settings("", "", "-3")).expect("a negative price");
    assert_eq!(launch.deployment.plans[0].price, 0.0);
    let empty = read("{}").expect("no keys at all");
    assert_eq!((empty.deployment.gateway_count, empty.deployment.plans.len()), (1, 0));
}
