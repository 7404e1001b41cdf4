//! What a gateway is told at its start, in the words of the deployment page: the same settings for a process of
//! the program and for the module in the simulation.

use crate::scenario::{Group, Plan, Repeat, Scenario};
use crate::target::Layout;
use serde_json::{json, Value};

fn micros(ms: f64) -> u64 {
    (ms * 1e3) as u64
}

fn tariff(plan: &Plan) -> Value {
    let ceiling = plan.ceiling.as_ref();
    json!({
        "name": plan.name, "refill": plan.rate, "store_size": plan.burst, "parallel": plan.relays_out,
        "price": plan.price, "over_worth": plan.over_share, "over_cost": plan.over_cost,
        "never_over_rate": ceiling.map_or(0.0, |it| it.rate),
        "ceiling_burst": ceiling.map_or(0.0, |it| it.burst),
        "cap_slack": ceiling.map_or(0.0, |it| it.slack),
    })
}

/// The `settings` of the gateway with that number.
pub fn settings(scenario: &Scenario, layout: &Layout, number: u32) -> Value {
    let deployment = &scenario.deployment;
    let services = scenario.band.iter().map(|band| {
        let semantics = match band.repeat {
            Repeat::Pure => "read_like",
            Repeat::Receipted => "idempotency_key",
            Repeat::Effectful => "non_idempotent",
        };
        let group = match band.group {
            Group::All => "all",
            Group::Zone => "zone",
            Group::Cell => "cell",
        };
        json!({
            "name": band.name, "aim": micros(band.target_ms), "deadline": micros(band.abandon_ms),
            "points": band.benefit, "late_worth": band.late_share, "semantics": semantics, "group": group,
            "repeat_window": micros(band.window_ms), "stream": false,
        })
    });
    let cold = &deployment.cold;
    let zone = layout.gateways.get(number as usize).copied().unwrap_or_default();
    json!({
        "balancers": deployment.gateways, "self_index": number, "tick": micros(deployment.tick_ms),
        "discovery": "automatic", "zones": deployment.zones, "my_zone": zone,
        "services": services.collect::<Vec<_>>(),
        "tariffs": scenario.plan.iter().map(tariff).collect::<Vec<_>>(),
        "extra": {
            "has_counter": scenario.counter.is_some(),
            "counter_timeout": scenario.counter.as_ref().map_or(100_000, |it| micros(it.timeout_ms)),
            "max_units": scenario.load.most_units,
            "mail_per_s": scenario.membership.as_ref().map_or(0.0, |it| it.mail_per_s),
        },
        "caps": {
            "peers": scenario.membership.is_some(),
            "attempts_cap": deployment.most_relays, "may_cancel": deployment.may_withdraw,
            "conn_idle": micros(scenario.servers.idle_s * 1e3), "connect_timeout": CONNECT_WITHIN_US,
            "retry_after": deployment.hold_off_s > 0.0, "max_retry_after": micros(deployment.hold_off_s * 1e3),
        },
        "rules": {
            "cold": micros(cold.warm_after_s * 1e3), "cold_from": cold.share,
            "fall": micros(cold.fall_span_s * 1e3), "fall_multiple": cold.fall_multiple,
            "drain_grace": micros(deployment.drain_grace_ms),
        },
    })
}

/// A connection that is not up by then is none; as the operators' deployments have it.
pub const CONNECT_WITHIN_US: u64 = 250_000;
