//! Reads the settings that a gateway is started with and the operator's configuration file.
//!
//! The settings are a JSON document whose keys are given by the deployment; the private structs of this file mirror
//! them, and [`LaunchSettings`] holds the result in the terms of the decisions.

pub mod operator;

use fennelgauge::host::{Ceiling, ColdStart, DedupScope, Deployment, Plan, RepeatPolicy, ServiceClass};
use fennelgauge::time::Span;
use serde::Deserialize;

/// The settings document. Times are in microseconds, and unknown keys are ignored.
#[derive(Deserialize)]
#[serde(default)]
struct Document {
    /// Number of gateways.
    balancers: u32,
    self_index: u32,
    tick: u64,
    /// How the gateway learns of servers; `subscribe` if it must ask for changes.
    discovery: String,
    zones: Vec<String>,
    /// Index of the gateway's own zone in `zones`.
    my_zone: OptionalNumber,
    services: Vec<Service>,
    tariffs: Vec<Tariff>,
    extra: Extra,
    caps: Caps,
    rules: Rules,
}

/// A service class.
#[derive(Deserialize, Default)]
#[serde(default)]
struct Service {
    name: String,
    /// Latency target.
    aim: u64,
    /// Benefit of an answer on time.
    points: f64,
    /// Share of the benefit that a late answer earns.
    late_worth: f64,
    /// Repeat policy: `read_like`, `idempotency_key`, or any other text for jobs that must not repeat.
    semantics: String,
    /// Scope of deduplication: `all`, `zone`, or any other text for the cell.
    group: String,
    /// How long repeats are dropped.
    repeat_window: u64,
}

/// A plan.
#[derive(Deserialize, Default)]
#[serde(default)]
struct Tariff {
    name: String,
    /// Rate quota in units per second.
    refill: f64,
    /// Burst of the rate quota in units.
    store_size: f64,
    /// Quota of concurrent relays.
    parallel: f64,
    price: f64,
    /// Share of the value that a job beyond the quota earns.
    over_worth: f64,
    /// Cost of use beyond the quota.
    over_cost: f64,
    /// Rate of the ceiling in units per second; 0 if there is none.
    never_over_rate: f64,
    /// Burst of the ceiling in units.
    ceiling_burst: f64,
    /// Units by which the ceiling may be exceeded.
    cap_slack: f64,
}

/// A number, or anything else, which counts as absent: an optional setting must not keep a gateway from starting.
#[derive(Deserialize)]
#[serde(untagged)]
enum OptionalNumber {
    Number(f64),
    Other(serde::de::IgnoredAny),
}

impl OptionalNumber {
    fn number(&self) -> Option<f64> {
        match self {
            Self::Number(number) => Some(*number),
            Self::Other(_) => None,
        }
    }
}

/// The counter service and messages between gateways.
#[derive(Deserialize)]
#[serde(default)]
struct Extra {
    has_counter: bool,
    /// Messages per second that a gateway accepts from the others.
    mail_per_s: f64,
    counter_timeout: u64,
    /// Most units of a job; 0 if not known.
    max_units: f64,
}

/// What gateways and clients are able to do, and limits of connections.
#[derive(Deserialize)]
#[serde(default)]
struct Caps {
    /// Most relays of a job.
    attempts_cap: u8,
    /// Whether relays can be cancelled.
    may_cancel: bool,
    /// Whether clients follow retry-after advice.
    retry_after: bool,
    max_retry_after: u64,
    /// How long servers keep an idle connection open.
    conn_idle: u64,
    connect_timeout: u64,
    /// Whether gateways may send messages to one another.
    peers: bool,
}

/// Load limits of servers that have just started.
#[derive(Deserialize)]
#[serde(default)]
struct Rules {
    /// Time until a server is warm.
    cold: u64,
    /// Capacity at the start, as a share of the warm capacity.
    cold_from: f64,
    /// Period over which overload is measured.
    fall: u64,
    /// Multiple of the capacity at which a cold server fails.
    fall_multiple: f64,
}

/// Absent settings mean one gateway, one zone, no limits and no optional abilities.
impl Default for Document {
    fn default() -> Self {
        Self {
            balancers: 1,
            self_index: 0,
            tick: 1_000,
            discovery: String::new(),
            zones: Vec::new(),
            my_zone: OptionalNumber::Other(serde::de::IgnoredAny),
            services: Vec::new(),
            tariffs: Vec::new(),
            extra: Extra::default(),
            caps: Caps::default(),
            rules: Rules::default(),
        }
    }
}

/// Absent connection limits are those that plain HTTP clients commonly use.
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

/// The settings that a gateway is started with; unknown keys in the document are ignored.
#[derive(Deserialize)]
#[serde(from = "Document")]
pub struct LaunchSettings {
    /// The deployment as the decisions need it.
    pub deployment: Deployment,
    /// Names of the service classes, in the order of `deployment.classes`.
    pub service_class_names: Vec<String>,
    /// Names of the plans, in the order of `deployment.plans`.
    pub plan_names: Vec<String>,
    /// Names of the zones.
    pub zone_names: Vec<String>,
    /// Index of this gateway's zone in `zone_names`; `None` if not given or not within 0..255.
    pub own_zone: Option<u8>,
    /// Messages per second that a gateway accepts from the others; 0 if gateways must not send each other messages.
    pub peer_messages_per_s: f64,
    /// How long servers keep an idle connection open.
    pub server_idle_timeout: Span,
    /// Longest time to open a connection.
    pub connect_timeout: Span,
    /// Most units of a job; if not given, the most that the counter can add.
    pub max_units: f64,
    /// Time after which an unanswered call to the counter is abandoned.
    pub counter_timeout: Span,
}

impl From<Document> for LaunchSettings {
    fn from(document: Document) -> Self {
        let own_zone = own_zone(&document);
        Self {
            deployment: deployment(&document),
            service_class_names: document.services.into_iter().map(|service| service.name).collect(),
            plan_names: document.tariffs.into_iter().map(|tariff| tariff.name).collect(),
            own_zone,
            zone_names: document.zones,
            peer_messages_per_s: if document.caps.peers { document.extra.mail_per_s.max(0.0) } else { 0.0 },
            server_idle_timeout: Span::from_micros(document.caps.conn_idle),
            connect_timeout: Span::from_micros(document.caps.connect_timeout),
            counter_timeout: Span::from_micros(document.extra.counter_timeout),
            max_units: if document.extra.max_units > 0.0 { document.extra.max_units } else { 1e9 },
        }
    }
}

fn own_zone(document: &Document) -> Option<u8> {
    let index = document.my_zone.number().filter(|index| (0.0..255.0).contains(index))?;
    Some(index as u8)
}

fn deployment(document: &Document) -> Deployment {
    Deployment {
        gateway_count: document.balancers.max(1),
        own_index: document.self_index,
        tick: Span::from_micros(document.tick),
        classes: document.services.iter().map(service_class).collect(),
        plans: document.tariffs.iter().map(plan).collect(),
        has_counter: document.extra.has_counter,
        may_cancel_relays: document.caps.may_cancel,
        max_relays: document.caps.attempts_cap.max(1),
        max_retry_after: document.caps.retry_after.then(|| Span::from_micros(document.caps.max_retry_after)),
        subscribe_to_roster: document.discovery == "subscribe",
        cold_start: ColdStart {
            initial_share: document.rules.cold_from,
            warm_after: Span::from_micros(document.rules.cold),
            overload_multiple: document.rules.fall_multiple,
            overload_window: Span::from_micros(document.rules.fall),
        },
    }
}

fn service_class(service: &Service) -> ServiceClass {
    let scope = match service.group.as_str() {
        "all" => DedupScope::All,
        "zone" => DedupScope::Zone,
        _ => DedupScope::Cell,
    };
    let repeat = match service.semantics.as_str() {
        "read_like" => RepeatPolicy::Idempotent,
        "idempotency_key" => RepeatPolicy::Deduplicated(scope, Span::from_micros(service.repeat_window)),
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
