//! The messages.

use fennelgauge_model::stable_hash;
use serde::{Deserialize, Serialize};

/// Servers that one report may name.
pub const MAX_SERVERS_PER_REPORT: usize = 20_000;

/// A server's identity, from its id: an address that is given to another server means another key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ServerKey(pub u64);

impl ServerKey {
    /// Of an instance's id.
    pub fn from_id(id: &str) -> Self {
        Self(stable_hash(id))
    }
}

/// One server as one process, or several together, use it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerStats {
    pub server: ServerKey,
    /// Requests and items there.
    pub in_flight: u32,
    /// Answers of late, in tenths, fading.
    pub success_tenths: u32,
    /// Failures of late, in tenths, fading.
    pub failure_tenths: u32,
    /// Processes that cannot reach it.
    pub suspected_by: u32,
}

impl ServerStats {
    /// Nothing to tell of it.
    pub fn empty(server: ServerKey) -> Self {
        Self { server, in_flight: 0, success_tenths: 0, failure_tenths: 0, suspected_by: 0 }
    }

    /// Whether there is nothing to tell.
    pub fn is_empty(&self) -> bool {
        *self == Self::empty(self.server)
    }

    pub(crate) fn accumulate(&mut self, other: &Self) {
        self.in_flight = self.in_flight.saturating_add(other.in_flight);
        self.success_tenths = self.success_tenths.saturating_add(other.success_tenths);
        self.failure_tenths = self.failure_tenths.saturating_add(other.failure_tenths);
        self.suspected_by = self.suspected_by.saturating_add(other.suspected_by);
    }
}

/// All that one process has to tell, at one moment.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatsReport {
    /// Drawn at the process's start.
    pub incarnation: u64,
    /// Rises with each report of a life.
    pub sequence: u64,
    pub servers: Vec<ServerStats>,
}

/// The servers of all other reporters of a home, summed up.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatsTotals {
    /// Reporters that are in the sums.
    pub reporters: u32,
    pub servers: Vec<ServerStats>,
}
