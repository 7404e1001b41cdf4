//! Messages between reporting processes and an aggregator.

use fennelgauge_model::stable_hash;
use serde::{Deserialize, Serialize};

/// Maximum number of servers that one report may name.
pub const MAX_SERVERS_PER_REPORT: usize = 20_000;

/// Identifies a server in reports: the hash of its instance id. A new instance at the same address has another key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ServerKey(pub u64);

impl ServerKey {
    /// Returns the key of the server with the instance id `id`.
    pub fn from_id(id: &str) -> Self {
        Self(stable_hash(id))
    }
}

/// Statistics of one server as seen by one process, or summed up over several.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerStats {
    /// The server that the statistics are about.
    pub server: ServerKey,
    /// Number of requests and batch items in flight at the server.
    pub in_flight: u32,
    /// Decaying count of successful responses, in tenths.
    pub success_tenths: u32,
    /// Decaying count of failures, in tenths.
    pub failure_tenths: u32,
    /// Number of processes that cannot connect to the server.
    pub suspected_by: u32,
}

impl ServerStats {
    /// Creates statistics that are all zero.
    pub fn empty(server: ServerKey) -> Self {
        Self { server, in_flight: 0, success_tenths: 0, failure_tenths: 0, suspected_by: 0 }
    }

    /// Returns whether all statistics are zero, so that they need not be reported.
    pub fn is_empty(&self) -> bool {
        *self == Self::empty(self.server)
    }

    /// Adds the statistics of another process; sums saturate.
    pub(crate) fn accumulate(&mut self, other: &Self) {
        self.in_flight = self.in_flight.saturating_add(other.in_flight);
        self.success_tenths = self.success_tenths.saturating_add(other.success_tenths);
        self.failure_tenths = self.failure_tenths.saturating_add(other.failure_tenths);
        self.suspected_by = self.suspected_by.saturating_add(other.suspected_by);
    }
}

/// The statistics of all servers that one process uses, at one point in time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatsReport {
    /// Random number that the reporting process drew when it started.
    pub incarnation: u64,
    /// Number that rises with each report of an incarnation.
    pub sequence: u64,
    /// Statistics of the servers, at most one entry per server.
    pub servers: Vec<ServerStats>,
}

/// The totals over all other reporters of an aggregator.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatsTotals {
    /// Number of reporters that the totals include.
    pub reporters: u32,
    /// Totals by server.
    pub servers: Vec<ServerStats>,
}
