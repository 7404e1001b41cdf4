//! Who a member is.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// A process with its disk. A machine that has lost its disk is another identity: it has forgotten its promises.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Identity {
    pub node: String,
    /// Drawn at random when the disk was first used.
    pub disk: u64,
}

/// An identity and how it is reached.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Member {
    pub identity: Identity,
    /// For calls among our own processes.
    pub peer: SocketAddr,
    pub zone: String,
    pub region: String,
}
