//! The configuration file that the gateway is started with.

use crate::wire::discovery::Listing;
use fennelgauge_launch::LaunchSettings;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Deserializer};
use std::net::SocketAddr;
use std::path::Path;

/// The whole configuration file, read at the start.
#[derive(Deserialize)]
pub struct StartConfiguration {
    /// Name of this gateway, for the log.
    #[serde(default)]
    pub name: String,
    /// Address on which clients connect.
    pub listen: SocketAddr,
    /// Address of the service discovery agent.
    pub discovery: SocketAddr,
    /// Address of the shared counter service, if there is one.
    pub counter: Option<SocketAddr>,
    /// Seed of random choices, in hexadecimal.
    #[serde(deserialize_with = "hex")]
    pub seed: u64,
    /// Resource limits of the process.
    #[serde(default)]
    pub limits: Limits,
    /// Server list to use while service discovery does not reply.
    #[serde(default)]
    pub known: Listing,
    /// Launch settings of the deployment and the policy.
    pub settings: LaunchSettings,
    /// Address on which datagrams of other gateways arrive. Not validated here, like `peers`: an invalid value must not
    /// prevent the start of a gateway that does not use membership.
    #[serde(default)]
    pub peer_listen: Option<serde_json::Value>,
    /// Addresses of all gateways by index.
    #[serde(default)]
    pub peers: Option<serde_json::Value>,
}

/// Resource limits of the process.
#[derive(Deserialize)]
#[serde(default)]
pub struct Limits {
    /// File descriptors that the process may hold.
    pub sockets: usize,
    /// Memory that the process may use, in MiB.
    pub memory_mb: usize,
}

/// The part of the configuration file that a reload applies; everything else takes effect only at the start.
#[derive(Deserialize)]
pub struct Addresses {
    /// Address of the service discovery agent.
    pub discovery: SocketAddr,
    /// Address of the shared counter service, if there is one.
    pub counter: Option<SocketAddr>,
}

/// A common default limit of file descriptors, and enough memory for as many connections.
impl Default for Limits {
    fn default() -> Self {
        Self { sockets: 1024, memory_mb: 512 }
    }
}

fn hex<'de, D: Deserializer<'de>>(from: D) -> Result<u64, D::Error> {
    let text = String::deserialize(from)?;
    u64::from_str_radix(&text, 16).map_err(serde::de::Error::custom)
}

/// Reads a JSON file. Errs with the path, and the JSON path of the invalid value.
pub fn read<T: DeserializeOwned>(path: &Path) -> Result<T, String> {
    let text = std::fs::read(path).map_err(|error| format!("{}: {error}", path.display()))?;
    let mut json = serde_json::Deserializer::from_slice(&text);
    let read = serde_path_to_error::deserialize(&mut json).map_err(|error| error.to_string());
    // Rejects trailing text, as in a file that was only partly overwritten.
    let complete = read.and_then(|read| json.end().map(|()| read).map_err(|error| error.to_string()));
    complete.map_err(|error| format!("{}: {error}", path.display()))
}
