//! The platform's server list.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Whether a server may be given new requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ServerState {
    /// The server accepts new requests.
    Ready,
    /// The server finishes its requests and is given no new ones.
    Draining,
    /// A state that this version does not know; such a server is given no new requests.
    #[default]
    #[serde(other)]
    Unknown,
}

/// One instance of a server. A restarted server is another instance with another id.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Server {
    /// Unique id of the instance.
    pub id: String,
    /// Name of the service that the server belongs to.
    pub backend: String,
    /// Address that requests are sent to.
    pub addr: SocketAddr,
    /// Availability zone of the server.
    #[serde(default)]
    pub zone: String,
    /// Number of requests that the server runs concurrently.
    #[serde(default)]
    pub slots: u32,
    /// Whether the server accepts new requests.
    #[serde(default)]
    pub state: ServerState,
    /// Remaining time for which the server is slow after its start, in milliseconds.
    #[serde(default)]
    pub cold_ms: u64,
}

/// The complete server list as one process read it from the platform.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerList {
    /// Number that rises whenever the list differs from the one read before. It is comparable only between lists with the same
    /// `reader_incarnation`.
    pub version: u64,
    /// Random number that the reading process drew when it started.
    pub reader_incarnation: u64,
    /// All servers of all services.
    pub servers: Vec<Server>,
}
