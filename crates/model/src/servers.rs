//! The platform's list of servers.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Whether a server may be given new requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ServerState {
    Ready,
    Draining,
    /// A state of a later version: gets no new requests.
    #[default]
    #[serde(other)]
    Unknown,
}

/// One incarnation of a server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Server {
    pub id: String,
    pub backend: String,
    pub addr: SocketAddr,
    #[serde(default)]
    pub zone: String,
    #[serde(default)]
    pub slots: u32,
    #[serde(default)]
    pub state: ServerState,
    /// How much longer it is slow from its start, in milliseconds.
    #[serde(default)]
    pub cold_ms: u64,
}

/// The whole list as one reader saw it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerList {
    /// Rises with each list that differs, within one life of its reader.
    pub version: u64,
    /// The life of the reader.
    pub reader_incarnation: u64,
    pub servers: Vec<Server>,
}
