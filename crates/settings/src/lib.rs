//! The settings file of a process (TOML), read by serde and checked by garde. Unknown keys are ignored: new ones may come.

mod command_line;
mod logging;
mod policy;

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::Duration;

use garde::Validate;
use serde::Deserialize;

pub use command_line::{check_settings, Program};
pub use logging::start_logging;
pub use policy::Policy;

/// The variable that names the settings file.
pub const SETTINGS_VARIABLE: &str = "FENNELGAUGE_BOOT";

/// What a process is told when it starts.
#[derive(Clone, Debug, Deserialize, Validate)]
#[garde(allow_unvalidated)]
pub struct Settings {
    #[garde(length(min = 1))]
    pub node: String,
    #[serde(default)]
    pub serves: Vec<String>,
    pub ip: IpAddr,
    /// Where our other processes reach this one, if that is not `ip`: a relay, a translated address. Calls to them leave from `ip`
    /// then, and the seeds are told as others reach them.
    #[serde(default)]
    pub peer_ip: Option<IpAddr>,
    #[garde(length(min = 1))]
    pub zone: String,
    #[serde(default)]
    pub region: String,
    /// First and last port for what our processes say to each other.
    #[garde(custom(ordered))]
    pub port_range: [u16; 2],
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    #[serde(default)]
    pub bootstrap: bool,
    #[serde(default)]
    pub counts_for_quorum: bool,
    #[serde(default)]
    pub data_dir: Option<PathBuf>,
    #[serde(default)]
    pub zones: BTreeMap<String, String>,
    #[serde(default)]
    pub listen: Listen,
    #[serde(default)]
    pub limits: Limits,
    #[serde(default)]
    pub tolerate: Tolerate,
    #[serde(default)]
    #[garde(dive)]
    pub bounds: Bounds,
    #[serde(default)]
    #[garde(dive)]
    pub cloud: Cloud,
    /// Which mechanisms decide; another file may say so, too.
    #[serde(default)]
    #[garde(dive)]
    pub policy: Policy,
    /// `error`, `warn`, `info`, `debug` or `trace`; `warn` where it is absent.
    #[serde(default)]
    pub log_level: Option<String>,
}

/// Addresses that callers from outside use.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct Listen {
    pub front: Option<SocketAddr>,
    pub ready: Option<SocketAddr>,
    pub control: Option<SocketAddr>,
}

/// What the machine grants this process.
#[derive(Clone, Debug, Deserialize)]
#[serde(default)]
pub struct Limits {
    pub memory_mb: u64,
    pub disk_mb: u64,
    pub max_fds: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self { memory_mb: 256, disk_mb: 64, max_fds: 4_000 }
    }
}

/// What may be lost at once while everything is still kept.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(default)]
pub struct Tolerate {
    pub machines: usize,
    pub zones: usize,
    pub regions: usize,
}

impl Tolerate {
    /// Losses that copies must outlive, whichever unit they come in.
    pub fn tolerated_failures(&self) -> usize {
        self.machines.max(self.zones).max(self.regions)
    }
}

/// Bounds of the deployment that this project uses; times in milliseconds unless the name says seconds.
#[derive(Clone, Debug, Deserialize, Validate)]
#[serde(default)]
#[garde(allow_unvalidated)]
pub struct Bounds {
    #[garde(range(min = 100))]
    pub drain_ms: u64,
    #[garde(range(min = 0.1))]
    pub grace_s: f64,
    pub converge_ms: u64,
    pub ack_ms: u64,
    pub catchup_s: f64,
    pub lease_ms: u64,
    #[garde(range(min = 0.1))]
    pub usage_window_s: f64,
    pub usage_late_s: f64,
    pub status_s: f64,
    #[garde(range(min = 0.0, max = 10.0))]
    pub quota_overage: f64,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            drain_ms: 3_000,
            grace_s: 8.0,
            converge_ms: 2_000,
            ack_ms: 4_000,
            catchup_s: 5.0,
            lease_ms: 3_000,
            usage_window_s: 5.0,
            usage_late_s: 10.0,
            status_s: 120.0,
            quota_overage: 0.0,
        }
    }
}

/// The platform: its list of servers and the duties it asks for.
#[derive(Clone, Debug, Default, Deserialize, Validate)]
#[serde(default)]
#[garde(allow_unvalidated)]
pub struct Cloud {
    pub addr: Option<SocketAddr>,
    /// Calls of the list a second, from all processes together.
    #[garde(range(min = 0.0))]
    pub per_s: f64,
    pub duties: Vec<String>,
    pub duty_per_s: f64,
}

fn ordered(range: &[u16; 2], _: &()) -> garde::Result {
    match range[0] > 0 && range[0] < range[1] {
        true => Ok(()),
        false => Err(garde::Error::new("must be two ports, the first below the second")),
    }
}

/// Why a settings file was refused; each message names the remedy.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    #[error("{SETTINGS_VARIABLE} is not set: set it to the path of the settings file")]
    NoPath,
    #[error("{path}: cannot be read ({reason}): give a file that this user may read")]
    Unreadable { path: PathBuf, reason: std::io::Error },
    #[error("{path}: {reason}: correct the key named above")]
    Malformed { path: PathBuf, reason: Box<toml::de::Error> },
    #[error("{path}: {reason}: correct the keys named above")]
    Invalid { path: PathBuf, reason: garde::Report },
}

impl Settings {
    /// Reads the file that [`SETTINGS_VARIABLE`] names.
    pub fn from_environment() -> Result<Self, SettingsError> {
        let path = std::env::var_os(SETTINGS_VARIABLE).ok_or(SettingsError::NoPath)?;
        Self::read(Path::new(&path))
    }

    /// Reads and checks one file.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path)
            .map_err(|reason| SettingsError::Unreadable { path: path.to_owned(), reason })?;
        Self::parse(&text, path)
    }

    /// As [`Settings::from_environment`], with the policy of a file of its own where one is given.
    pub fn from_environment_with_policy(policy: Option<PathBuf>) -> Result<Self, SettingsError> {
        let mut settings = Self::from_environment()?;
        if let Some(path) = policy {
            settings.policy = Policy::read(&path)?;
        }
        Ok(settings)
    }

    /// Reads and checks a text; `path` is for messages only.
    pub fn parse(text: &str, path: &Path) -> Result<Self, SettingsError> {
        let settings: Self = toml::from_str(text)
            .map_err(|reason| SettingsError::Malformed { path: path.to_owned(), reason: Box::new(reason) })?;
        settings.validate().map_err(|reason| SettingsError::Invalid { path: path.to_owned(), reason })?;
        Ok(settings)
    }

    /// Whether this process answers that kind of outside caller.
    pub fn serves(&self, caller: &str) -> bool {
        self.serves.iter().any(|served| served == caller)
    }

    /// Where control processes and stores listen for our own processes.
    pub fn control_peer_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.port_range[0])
    }

    /// Where our other processes reach this one.
    pub fn advertised_peer_address(&self) -> SocketAddr {
        SocketAddr::new(self.peer_ip.unwrap_or(self.ip), self.port_range[0])
    }

    /// The address that calls to our other processes leave from; none where the system may choose.
    pub fn peer_source_ip(&self) -> Option<IpAddr> {
        self.peer_ip.map(|_| self.ip)
    }

    /// Where data planes listen for our own processes.
    pub fn data_peer_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.port_range[0] + 1)
    }

    /// The seeds' addresses for our own processes: same machines, the first port of the range.
    pub fn seed_peer_addresses(&self) -> Vec<SocketAddr> {
        self.seeds.iter().map(|seed| SocketAddr::new(seed.ip(), self.port_range[0])).collect()
    }

    /// The time that a stop may take.
    pub fn shutdown_grace(&self) -> Duration {
        Duration::from_secs_f64(self.bounds.grace_s)
    }
}

#[cfg(test)]
mod tests;
