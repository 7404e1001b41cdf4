//! The typed reading of a configuration.

use serde::{Deserialize, Serialize};

/// One whole configuration, as far as this project uses it.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct Configuration {
    pub generation: u64,
    #[serde(default)]
    pub routes: Vec<Route>,
    #[serde(default)]
    pub services: Vec<Service>,
    #[serde(default)]
    pub limits: Limits,
    /// Absent: requests need no key.
    #[serde(default)]
    pub tenants: Option<Vec<Tenant>>,
}

/// What may be repeated on a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize, strum::Display)]
#[serde(rename_all = "lowercase")]
#[strum(serialize_all = "lowercase")]
pub enum RouteKind {
    Idempotent,
    Mutating,
    Streaming,
    Batch,
    /// A kind of a later version: treated as what may run once only.
    #[serde(other)]
    Unknown,
}

/// Requests of one host under one prefix.
#[derive(Clone, Debug, Deserialize)]
pub struct Route {
    pub name: String,
    pub host: String,
    pub path_prefix: String,
    pub kind: RouteKind,
    pub timeout_ms: u64,
    #[serde(default)]
    pub target_ms: u64,
    #[serde(default)]
    pub priority: u8,
    #[serde(default)]
    pub backend: Option<String>,
    #[serde(default)]
    pub split: Vec<WeightedService>,
    #[serde(default)]
    pub retries: u32,
    #[serde(default)]
    pub public: bool,
    #[serde(default)]
    pub sticky: bool,
    #[serde(default)]
    pub resumable: bool,
    #[serde(default)]
    pub gap_aim_ms: u64,
    #[serde(default)]
    pub batch_target_ms: u64,
    #[serde(default)]
    pub retention_s: f64,
    /// Tokens of one tenant that may wait on this route; 0: no limit.
    #[serde(default)]
    pub max_queued: u64,
}

impl Route {
    /// Whether a request may be sent again although it may have run.
    pub fn is_retry_safe(&self) -> bool {
        match self.kind {
            RouteKind::Idempotent | RouteKind::Batch => true,
            RouteKind::Streaming => self.resumable,
            RouteKind::Mutating | RouteKind::Unknown => false,
        }
    }

    /// The services it may go to.
    pub fn services(&self) -> impl Iterator<Item = &str> {
        let split = self.split.iter().filter(|part| part.weight > 0.0).map(|part| part.backend.as_str());
        self.backend.as_deref().into_iter().chain(split)
    }

    /// The service for one request; `chance` lies between 0 and 1.
    pub fn pick_service(&self, chance: f64) -> &str {
        if let Some(backend) = &self.backend {
            return backend;
        }
        let total: f64 = self.split.iter().map(|part| part.weight).sum();
        let mut left = chance * total;
        for part in self.split.iter().filter(|part| part.weight > 0.0) {
            left -= part.weight;
            if left <= 0.0 {
                return &part.backend;
            }
        }
        self.split.last().map_or("", |part| part.backend.as_str())
    }
}

/// One part of a split route.
#[derive(Clone, Debug, Deserialize)]
pub struct WeightedService {
    pub backend: String,
    #[serde(default)]
    pub weight: f64,
}

/// A pool of servers.
#[derive(Clone, Debug, Deserialize)]
pub struct Service {
    pub name: String,
    #[serde(default)]
    pub health_path: String,
    #[serde(default)]
    pub max_conns: u32,
    #[serde(default)]
    pub engine: Option<Engine>,
    #[serde(default)]
    pub autoscale: Option<Autoscale>,
}

/// What a model server bears.
#[derive(Clone, Debug, Deserialize)]
pub struct Engine {
    #[serde(default)]
    pub slots: u32,
    /// Tokens that its memory holds.
    #[serde(default)]
    pub kv_capacity: u64,
}

/// Bounds of the number of servers in a zone.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct Autoscale {
    pub min: u32,
    pub max: u32,
    #[serde(default)]
    pub boot_s: f64,
}

/// What a client may send.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default)]
pub struct Limits {
    pub max_header_bytes: usize,
    pub max_body_bytes: usize,
    pub header_timeout_ms: u64,
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

/// A holder of keys.
#[derive(Clone, Debug, Deserialize)]
pub struct Tenant {
    pub name: String,
    #[serde(default)]
    pub api_keys: Vec<String>,
    #[serde(default)]
    pub priority: Option<u8>,
}
