//! What the gateway is told at its start, decoded once.

use crate::wire::discovery::Listing;
use fennelgauge_launch::LaunchSettings;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Deserializer};
use std::net::SocketAddr;
use std::path::Path;

#[derive(Deserialize)]
pub struct Start {
    #[serde(default)]
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub counter: Option<SocketAddr>,
    #[serde(deserialize_with = "hex")]
    pub seed: u64,
    #[serde(default)]
    pub limits: Limits,
    #[serde(default)]
    pub known: Listing,
    pub settings: LaunchSettings,
    /// Where datagrams of other gateways arrive, and where they take them in, by their numbers. Read only where they
    /// are wanted: what is wrong with them then must not keep a gateway from its start that speaks with none.
    #[serde(default)]
    pub peer_listen: Option<serde_json::Value>,
    #[serde(default)]
    pub peers: Option<serde_json::Value>,
}

#[derive(Deserialize)]
#[serde(default)]
pub struct Limits {
    /// File descriptors that the process may hold.
    pub sockets: usize,
    pub memory_mb: usize,
}

/// The addresses that may change while the gateway runs. The rest of the file is for a start.
#[derive(Deserialize)]
pub struct Addresses {
    pub discovery: SocketAddr,
    pub counter: Option<SocketAddr>,
}

/// Untold, what a process is commonly allowed, and enough memory for that.
impl Default for Limits {
    fn default() -> Self {
        Self { sockets: 1024, memory_mb: 512 }
    }
}

fn hex<'de, D: Deserializer<'de>>(from: D) -> Result<u64, D::Error> {
    let text = String::deserialize(from)?;
    u64::from_str_radix(&text, 16).map_err(serde::de::Error::custom)
}

pub fn read<T: DeserializeOwned>(path: &Path) -> Result<T, String> {
    let text = std::fs::read(path).map_err(|error| format!("{}: {error}", path.display()))?;
    let mut json = serde_json::Deserializer::from_slice(&text);
    let read = serde_path_to_error::deserialize(&mut json).map_err(|error| error.to_string());
    // Half of two files, written over one another, is no configuration.
    let whole = read.and_then(|read| json.end().map(|()| read).map_err(|error| error.to_string()));
    whole.map_err(|error| format!("{}: {error}", path.display()))
}
