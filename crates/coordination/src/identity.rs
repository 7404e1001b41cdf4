//! The identity and the address of a member.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// A process together with its disk. A machine that has lost its disk gets a new identity, because it has lost the record of
/// its Paxos promises.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Identity {
    /// Configured name of the machine.
    pub node: String,
    /// Random number, drawn when the disk was first used.
    pub disk: u64,
}

/// An identity, its address and its location.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Member {
    /// The identity.
    pub identity: Identity,
    /// Address for calls among our own processes.
    pub peer: SocketAddr,
    /// Availability zone.
    pub zone: String,
    /// Region of the zone.
    pub region: String,
}
