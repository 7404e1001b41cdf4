//! The settings that come with a launch, read into the module's own terms.

use fennelgauge::host::{Band, Ceiling, Cold, Deployment, Group, Plan, Repeat};
use fennelgauge::time::Span;
use serde::Deserialize;

#[derive(Deserialize)]
#[serde(default)]
struct Params {
    balancers: u32,
    self_index: u32,
    tick: u64,
    discovery: String,
    services: Vec<Service>,
    tariffs: Vec<Tariff>,
    extra: Extra,
    caps: Caps,
    rules: Rules,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct Service {
    aim: u64,
    points: f64,
    late_worth: f64,
    semantics: String,
    group: String,
    repeat_window: u64,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct Tariff {
    refill: f64,
    store_size: f64,
    parallel: f64,
    price: f64,
    over_worth: f64,
    over_cost: f64,
    never_over_rate: f64,
    ceiling_burst: f64,
    cap_slack: f64,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct Extra {
    has_counter: bool,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct Caps {
    attempts_cap: u8,
    may_cancel: bool,
    retry_after: bool,
    max_retry_after: u64,
}

#[derive(Deserialize)]
#[serde(default)]
struct Rules {
    cold: u64,
    cold_from: f64,
    fall: u64,
    fall_multiple: f64,
}

/// An absent figure means: one gateway, one zone, nothing bounded, nothing permitted.
impl Default for Params {
    fn default() -> Self {
        Self {
            balancers: 1,
            self_index: 0,
            tick: 1_000,
            discovery: String::new(),
            services: Vec::new(),
            tariffs: Vec::new(),
            extra: Extra::default(),
            caps: Caps::default(),
            rules: Rules::default(),
        }
    }
}

impl Default for Rules {
    fn default() -> Self {
        Self { cold: 0, cold_from: 1.0, fall: 1_000_000, fall_multiple: 1.0 }
    }
}

/// Reads the JSON text of a launch; unknown keys are skipped.
pub fn read(text: &[u8]) -> Result<Deployment, serde_json::Error> {
    let params: Params = serde_json::from_slice(text)?;
    Ok(Deployment {
        gateways: params.balancers.max(1),
        own_index: params.self_index,
        tick: Span::from_micros(params.tick),
        bands: params.services.iter().map(band).collect(),
        plans: params.tariffs.iter().map(plan).collect(),
        has_counter: params.extra.has_counter,
        may_withdraw: params.caps.may_cancel,
        most_relays: params.caps.attempts_cap.max(1),
        longest_hold_off: params.caps.retry_after.then(|| Span::from_micros(params.caps.max_retry_after)),
        roster_is_asked: params.discovery == "subscribe",
        cold: Cold {
            share: params.rules.cold_from,
            warm_after: Span::from_micros(params.rules.cold),
            fall_multiple: params.rules.fall_multiple,
            fall_span: Span::from_micros(params.rules.fall),
        },
    })
}

fn band(service: &Service) -> Band {
    let group = match service.group.as_str() {
        "all" => Group::All,
        "zone" => Group::Zone,
        _ => Group::Cell,
    };
    let repeat = match service.semantics.as_str() {
        "read_like" => Repeat::Pure,
        "idempotency_key" => Repeat::Receipted(group, Span::from_micros(service.repeat_window)),
        _ => Repeat::Effectful,
    };
    Band {
        target: Span::from_micros(service.aim),
        benefit: service.points.max(0.0),
        late_share: service.late_worth,
        repeat,
    }
}

fn plan(tariff: &Tariff) -> Plan {
    Plan {
        rate: tariff.refill,
        burst: tariff.store_size,
        relays_out: tariff.parallel,
        price: tariff.price.max(0.0),
        over_share: tariff.over_worth,
        over_cost: tariff.over_cost,
        ceiling: (tariff.never_over_rate > 0.0).then_some(Ceiling {
            rate: tariff.never_over_rate,
            burst: tariff.ceiling_burst,
            slack: tariff.cap_slack,
        }),
    }
}
