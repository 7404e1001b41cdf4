//! The settings that a gateway is started with, read into the module's own terms, and the operator's file.

pub mod operator;

use fennelgauge::host::{Ceiling, ColdStart, DedupScope, Deployment, Plan, RepeatPolicy, ServiceClass};
use fennelgauge::time::Span;
use serde::Deserialize;

#[derive(Deserialize)]
#[serde(default)]
struct Params {
    balancers: u32,
    self_index: u32,
    tick: u64,
    discovery: String,
    zones: Vec<String>,
    my_zone: Loose,
    services: Vec<Service>,
    tariffs: Vec<Tariff>,
    extra: Extra,
    caps: Caps,
    rules: Rules,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct Service {
    name: String,
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
    name: String,
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

/// A figure where there is one: what it is for may be absent, and must not keep a gateway from its start.
#[derive(Deserialize)]
#[serde(untagged)]
enum Loose {
    Figure(f64),
    Other(serde::de::IgnoredAny),
}

impl Loose {
    fn figure(&self) -> Option<f64> {
        match self {
            Self::Figure(figure) => Some(*figure),
            Self::Other(_) => None,
        }
    }
}

#[derive(Deserialize)]
#[serde(default)]
struct Extra {
    has_counter: bool,
    mail_per_s: f64,
    counter_timeout: u64,
    max_units: f64,
}

#[derive(Deserialize)]
#[serde(default)]
struct Caps {
    attempts_cap: u8,
    may_cancel: bool,
    retry_after: bool,
    max_retry_after: u64,
    conn_idle: u64,
    connect_timeout: u64,
    peers: bool,
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
            zones: Vec::new(),
            my_zone: Loose::Other(serde::de::IgnoredAny),
            services: Vec::new(),
            tariffs: Vec::new(),
            extra: Extra::default(),
            caps: Caps::default(),
            rules: Rules::default(),
        }
    }
}

/// Limits of connections that are not told are those that plain clients use.
impl Default for Caps {
    fn default() -> Self {
        Self {
            attempts_cap: 0,
            may_cancel: false,
            retry_after: false,
            max_retry_after: 0,
            conn_idle: 5_000_000,
            connect_timeout: 1_000_000,
            peers: false,
        }
    }
}

impl Default for Extra {
    fn default() -> Self {
        Self { has_counter: false, mail_per_s: 0.0, counter_timeout: 100_000, max_units: 0.0 }
    }
}

impl Default for Rules {
    fn default() -> Self {
        Self { cold: 0, cold_from: 1.0, fall: 1_000_000, fall_multiple: 1.0 }
    }
}

/// A deployment, the names that its lists go by, and the limits of its connections. Unknown keys are skipped.
#[derive(Deserialize)]
#[serde(from = "Params")]
pub struct LaunchSettings {
    pub deployment: Deployment,
    pub service_class_names: Vec<String>,
    pub plan_names: Vec<String>,
    pub zone_names: Vec<String>,
    /// This gateway's own, by its place among them.
    pub own_zone: Option<u8>,
    /// Messages a second that a gateway takes in from the others; 0: gateways may send one another none.
    pub peer_messages_per_s: f64,
    /// Servers close a connection that stood idle for so long.
    pub server_idle_timeout: Span,
    pub connect_timeout: Span,
    /// The most units that a job takes; where untold, the most that the counter can add.
    pub max_units: f64,
    /// A call to the counter that is not answered by then is given up.
    pub counter_timeout: Span,
}

impl From<Params> for LaunchSettings {
    fn from(params: Params) -> Self {
        let zone = zone(&params);
        Self {
            deployment: deployment(&params),
            service_class_names: params.services.into_iter().map(|service| service.name).collect(),
            plan_names: params.tariffs.into_iter().map(|tariff| tariff.name).collect(),
            own_zone: zone,
            zone_names: params.zones,
            peer_messages_per_s: if params.caps.peers { params.extra.mail_per_s.max(0.0) } else { 0.0 },
            server_idle_timeout: Span::from_micros(params.caps.conn_idle),
            connect_timeout: Span::from_micros(params.caps.connect_timeout),
            counter_timeout: Span::from_micros(params.extra.counter_timeout),
            max_units: if params.extra.max_units > 0.0 { params.extra.max_units } else { 1e9 },
        }
    }
}

fn zone(params: &Params) -> Option<u8> {
    let place = params.my_zone.figure().filter(|place| (0.0..255.0).contains(place))?;
    Some(place as u8)
}

fn deployment(params: &Params) -> Deployment {
    Deployment {
        gateway_count: params.balancers.max(1),
        own_index: params.self_index,
        tick: Span::from_micros(params.tick),
        classes: params.services.iter().map(band).collect(),
        plans: params.tariffs.iter().map(plan).collect(),
        has_counter: params.extra.has_counter,
        may_cancel_relays: params.caps.may_cancel,
        max_relays: params.caps.attempts_cap.max(1),
        max_retry_after: params.caps.retry_after.then(|| Span::from_micros(params.caps.max_retry_after)),
        subscribe_to_roster: params.discovery == "subscribe",
        cold_start: ColdStart {
            initial_share: params.rules.cold_from,
            warm_after: Span::from_micros(params.rules.cold),
            overload_multiple: params.rules.fall_multiple,
            overload_window: Span::from_micros(params.rules.fall),
        },
    }
}

fn band(service: &Service) -> ServiceClass {
    let group = match service.group.as_str() {
        "all" => DedupScope::All,
        "zone" => DedupScope::Zone,
        _ => DedupScope::Cell,
    };
    let repeat = match service.semantics.as_str() {
        "read_like" => RepeatPolicy::Idempotent,
        "idempotency_key" => RepeatPolicy::Deduplicated(group, Span::from_micros(service.repeat_window)),
        _ => RepeatPolicy::NonIdempotent,
    };
    ServiceClass {
        latency_target: Span::from_micros(service.aim),
        benefit: service.points.max(0.0),
        late_benefit_share: service.late_worth,
        repeat,
    }
}

fn plan(tariff: &Tariff) -> Plan {
    Plan {
        rate: tariff.refill,
        burst: tariff.store_size,
        max_concurrent_relays: tariff.parallel,
        price: tariff.price.max(0.0),
        overage_share: tariff.over_worth,
        overage_cost: tariff.over_cost,
        ceiling: (tariff.never_over_rate > 0.0).then_some(Ceiling {
            rate: tariff.never_over_rate,
            burst: tariff.ceiling_burst,
            slack: tariff.cap_slack,
        }),
    }
}
