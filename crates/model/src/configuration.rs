//! Typed view of the configuration document. Keys that this version does not know are ignored.

use serde::{Deserialize, Serialize};

/// A complete configuration, limited to the keys that this project uses.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct Configuration {
    /// Version number chosen by the operator; each new configuration needs a higher one.
    pub generation: u64,
    /// Routes; no two share a host and a path prefix.
    #[serde(default)]
    pub routes: Vec<Route>,
    /// Services that routes may refer to by name.
    #[serde(default)]
    pub services: Vec<Service>,
    /// Limits on client requests.
    #[serde(default)]
    pub limits: Limits,
    /// Tenants and their API keys; if absent, requests need no key.
    #[serde(default)]
    pub tenants: Option<Vec<Tenant>>,
}

/// Kind of the requests on a route; it decides whether a request may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize, strum::Display)]
#[serde(rename_all = "lowercase")]
#[strum(serialize_all = "lowercase")]
pub enum RouteKind {
    /// Executing a request twice does no harm.
    Idempotent,
    /// A request must not be executed twice.
    Mutating,
    /// The response is a stream of events; it may be continued at another server if the route is `resumable`.
    Streaming,
    /// Requests submit batch jobs, whose items may be executed more than once.
    Batch,
    /// A kind that this version does not know; treated like [`RouteKind::Mutating`].
    #[serde(other)]
    Unknown,
}

/// A route: the requests for one host whose path starts with one prefix.
#[derive(Clone, Debug, Deserialize)]
pub struct Route {
    /// Name that patches and error messages refer to.
    pub name: String,
    /// Host name, compared without regard to case.
    pub host: String,
    /// Path prefix, which begins and ends with a slash; the longest matching prefix of a host wins.
    pub path_prefix: String,
    /// Kind of the requests.
    pub kind: RouteKind,
    /// Longest time for which a request is held, in milliseconds; never 0.
    pub timeout_ms: u64,
    /// Objective for the time until the response starts, in milliseconds; 0: none.
    #[serde(default)]
    pub target_ms: u64,
    /// Priority of requests whose tenant has none of its own; 0 is the highest.
    #[serde(default)]
    pub priority: u8,
    /// The only service of the route; takes precedence over `split`.
    #[serde(default)]
    pub backend: Option<String>,
    /// Services among which requests are divided by weight if `backend` is absent.
    #[serde(default)]
    pub split: Vec<WeightedService>,
    /// Maximum number of executions of a request that is safe to retry, or of failed executions of a batch item; 0
    /// counts as 1.
    #[serde(default)]
    pub retries: u32,
    /// Whether requests need no API key even if tenants are configured.
    #[serde(default)]
    pub public: bool,
    /// Session affinity; accepted, but not used by this version.
    #[serde(default)]
    pub sticky: bool,
    /// Whether a stream that ends early may be continued at another server after its last complete event.
    #[serde(default)]
    pub resumable: bool,
    /// Objective for the longest pause between two parts of a response, in milliseconds; 0: none.
    #[serde(default)]
    pub gap_aim_ms: u64,
    /// Objective for the time from the acceptance of a batch job to its completion, in milliseconds.
    #[serde(default)]
    pub batch_target_ms: u64,
    /// Time after the acceptance of a batch job at which its unfinished items are given up, in seconds; 0: never.
    #[serde(default)]
    pub retention_s: f64,
    /// Maximum number of queued tokens of one tenant on this route; 0: no limit.
    #[serde(default)]
    pub max_queued: u64,
}

impl Route {
    /// Returns whether a request may be sent again although an earlier attempt may have been executed.
    pub fn is_retry_safe(&self) -> bool {
        match self.kind {
            RouteKind::Idempotent | RouteKind::Batch => true,
            RouteKind::Streaming => self.resumable,
            RouteKind::Mutating | RouteKind::Unknown => false,
        }
    }

    /// Returns the time after the submission from which on an unfinished item of a batch job may be given up, in
    /// milliseconds; `None`: never.
    pub fn retention_ms(&self) -> Option<u64> {
        (self.retention_s > 0.0).then_some((self.retention_s * 1_000.0) as u64)
    }

    /// Returns the number of failures at servers after which an item of a batch job may be given up.
    pub fn max_failures(&self) -> u32 {
        self.retries.max(1)
    }

    /// Returns the names of the services that requests of this route may be sent to.
    pub fn services(&self) -> impl Iterator<Item = &str> {
        let split = self.split.iter().filter(|part| part.weight > 0.0).map(|part| part.backend.as_str());
        self.backend.as_deref().into_iter().chain(split)
    }

    /// Returns the name of the service for one request, chosen by weight. `fraction` lies between 0 and 1 (see
    /// [`stable_fraction`](crate::stable_fraction)) and selects a point on the scale of cumulated weights.
    pub fn pick_service(&self, fraction: f64) -> &str {
        if let Some(backend) = &self.backend {
            return backend;
        }
        let total_weight: f64 = self.split.iter().map(|part| part.weight).sum();
        let mut remaining = fraction * total_weight;
        for part in self.split.iter().filter(|part| part.weight > 0.0) {
            remaining -= part.weight;
            if remaining <= 0.0 {
                return &part.backend;
            }
        }
        self.split.last().map_or("", |part| part.backend.as_str())
    }
}

/// One of the services among which a route divides its requests.
#[derive(Clone, Debug, Deserialize)]
pub struct WeightedService {
    /// Name of the service.
    pub backend: String,
    /// Share of the requests relative to the sum of all weights; a service with weight 0 gets none.
    #[serde(default)]
    pub weight: f64,
}

/// A service: a pool of interchangeable servers.
#[derive(Clone, Debug, Deserialize)]
pub struct Service {
    /// Name that routes and the server list refer to as `backend`.
    pub name: String,
    /// Path of the servers' health check; accepted, but not used by this version.
    #[serde(default)]
    pub health_path: String,
    /// Maximum number of connections to one server; accepted, but not used by this version.
    #[serde(default)]
    pub max_conns: u32,
    /// Capacity of one server; accepted, but not used by this version.
    #[serde(default)]
    pub engine: Option<Engine>,
    /// Bounds for automatic scaling; if absent, the service is not scaled.
    #[serde(default)]
    pub autoscale: Option<Autoscale>,
}

/// Capacity of one model server.
#[derive(Clone, Debug, Deserialize)]
pub struct Engine {
    /// Requests that the server runs concurrently.
    #[serde(default)]
    pub slots: u32,
    /// Tokens that fit into its key-value cache.
    #[serde(default)]
    pub kv_capacity: u64,
}

/// Bounds for the number of servers of a service in one zone.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct Autoscale {
    /// Smallest number of servers.
    pub min: u32,
    /// Largest number of servers.
    pub max: u32,
    /// Time that a new server takes until it is ready, in seconds.
    #[serde(default)]
    pub boot_s: f64,
}

/// Limits on client requests and connections. Only `max_body_bytes` is enforced by this version.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default)]
pub struct Limits {
    /// Largest size of the header section of a request, in bytes.
    pub max_header_bytes: usize,
    /// Largest size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Longest time for receiving the header section of a request, in milliseconds.
    pub header_timeout_ms: u64,
    /// Longest time that a connection may be idle, in milliseconds.
    pub idle_timeout_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_header_bytes: 16_384,
            max_body_bytes: 4 << 20,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}

/// A tenant: a customer who authenticates with one of its API keys.
#[derive(Clone, Debug, Deserialize)]
pub struct Tenant {
    /// Name that usage is counted under and that servers receive.
    pub name: String,
    /// API keys; no other tenant has any of them.
    #[serde(default)]
    pub api_keys: Vec<String>,
    /// Priority of the tenant's requests, which overrides the route's; 0 is the highest.
    #[serde(default)]
    pub priority: Option<u8>,
}
