//! The messages.

use fennelgauge_model::stable_hash;
use serde::{Deserialize, Serialize};

/// Servers that one report may name.
pub const MOST_USES: usize = 20_000;

/// A server's identity, from its id: an address that is given to another server means another key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ServerKey(pub u64);

impl ServerKey {
    /// Of an instance's id.
    pub fn of(id: &str) -> Self {
        Self(stable_hash(id))
    }
}

/// One server as one process, or several together, use it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerUse {
    pub server: ServerKey,
    /// Requests and items there.
    pub in_flight: u32,
    /// Answers of late, in tenths, fading.
    pub good_tenths: u32,
    /// Failures of late, in tenths, fading.
    pub bad_tenths: u32,
    /// Processes that cannot reach it.
    pub suspected_by: u32,
}

impl ServerUse {
    /// Nothing to tell of it.
    pub fn none(server: ServerKey) -> Self {
        Self { server, in_flight: 0, good_tenths: 0, bad_tenths: 0, suspected_by: 0 }
    }

    /// Whether there is nothing to tell.
    pub fn is_none(&self) -> bool {
        *self == Self::none(self.server)
    }

    pub(crate) fn add(&mut self, other: &Self) {
        self.in_flight = self.in_flight.saturating_add(other.in_flight);
        self.good_tenths = self.good_tenths.saturating_add(other.good_tenths);
        self.bad_tenths = self.bad_tenths.saturating_add(other.bad_tenths);
        self.suspected_by = self.suspected_by.saturating_add(other.suspected_by);
    }
}

/// All that one process has to tell, at one moment.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Drawn at the process's start.
    pub life: u64,
    /// Rises with each report of a life.
    pub sequence: u64,
    pub uses: Vec<ServerUse>,
}

/// The uses of all other reporters of a home, summed up.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sums {
    /// Reporters that are in the sums.
    pub reporters: u32,
    pub uses: Vec<ServerUse>,
}
