//! The settings file of a process (TOML), deserialized by serde and validated by garde. Unknown keys are ignored, so that a file may
//! contain keys of a later version.

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

/// Name of the environment variable that holds the path of the settings file.
pub const SETTINGS_VARIABLE: &str = "FENNELGAUGE_BOOT";

/// The settings that a process starts with.
#[derive(Clone, Debug, Deserialize, Validate)]
#[garde(allow_unvalidated)]
pub struct Settings {
    /// Name of the process, unique in the deployment.
    #[garde(length(min = 1))]
    pub node: String,
    /// Roles of the process, such as `edge`, `control_plane` or `storage`.
    #[serde(default)]
    pub serves: Vec<String>,
    /// Address that the process listens on for other processes of the tier.
    pub ip: IpAddr,
    /// Address under which other processes reach this one if it differs from `ip`, because of a relay or address translation. If set,
    /// outgoing calls to them use `ip` as source address, and `seeds` holds the addresses under which others reach the seeds.
    #[serde(default)]
    pub peer_ip: Option<IpAddr>,
    /// Availability zone of the process.
    #[garde(length(min = 1))]
    pub zone: String,
    /// Region of the process.
    #[serde(default)]
    pub region: String,
    /// First and last port for communication between processes of the tier.
    #[garde(custom(validate_port_range))]
    pub port_range: [u16; 2],
    /// Control-plane processes to contact first. Only the IP addresses are used; see [`Settings::seed_peer_addresses`].
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Whether the process forms a new deployment together with the seeds if it has no stored state.
    #[serde(default)]
    pub bootstrap: bool,
    /// Whether the process may become a voter of the core.
    #[serde(default)]
    pub counts_for_quorum: bool,
    /// Directory for persistent state; if absent, nothing is persisted.
    #[serde(default)]
    pub data_dir: Option<PathBuf>,
    /// Zones of the deployment; accepted, but not used by this version.
    #[serde(default)]
    pub zones: BTreeMap<String, String>,
    /// Addresses for callers from outside the tier.
    #[serde(default)]
    pub listen: Listen,
    /// Resources that the process may use.
    #[serde(default)]
    pub limits: Limits,
    /// Simultaneous failures that must not lose data.
    #[serde(default)]
    pub tolerate: Tolerate,
    /// Bounds that the deployment has to keep.
    #[serde(default)]
    #[garde(dive)]
    pub bounds: Bounds,
    /// Interface to the platform.
    #[serde(default)]
    #[garde(dive)]
    pub cloud: Cloud,
    /// Policy switches; a policy file overrides them (see [`Settings::from_environment_with_policy`]).
    #[serde(default)]
    #[garde(dive)]
    pub policy: Policy,
    /// Log level: `error`, `warn`, `info`, `debug` or `trace`; `warn` if absent.
    #[serde(default)]
    pub log_level: Option<String>,
}

/// Addresses that the process listens on for callers from outside the tier; an absent one is not opened.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct Listen {
    /// Client requests (data plane).
    pub front: Option<SocketAddr>,
    /// Readiness checks (data plane).
    pub ready: Option<SocketAddr>,
    /// Operator API (control plane).
    pub control: Option<SocketAddr>,
}

/// Resources that the process may use.
#[derive(Clone, Debug, Deserialize)]
#[serde(default)]
pub struct Limits {
    /// Memory, in MiB.
    pub memory_mb: u64,
    /// Disk space, in MiB.
    pub disk_mb: u64,
    /// Open file descriptors; accepted, but not used by this version.
    pub max_fds: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self { memory_mb: 256, disk_mb: 64, max_fds: 4_000 }
    }
}

/// Numbers of machines, zones or regions that may fail at the same time without loss of data.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(default)]
pub struct Tolerate {
    /// Machines that may fail.
    pub machines: usize,
    /// Zones that may fail.
    pub zones: usize,
    /// Regions that may fail.
    pub regions: usize,
}

impl Tolerate {
    /// Returns the largest of the three numbers: data needs at least one more copy than this.
    pub fn tolerated_failures(&self) -> usize {
        self.machines.max(self.zones).max(self.regions)
    }
}

/// Bounds that the deployment has to keep; a key ending in `_ms` is in milliseconds, one ending in `_s` in seconds. This version uses
/// `grace_s`, `usage_window_s` and `status_s`; the others are accepted and validated only.
#[derive(Clone, Debug, Deserialize, Validate)]
#[serde(default)]
#[garde(allow_unvalidated)]
pub struct Bounds {
    /// Time for draining.
    #[garde(range(min = 100))]
    pub drain_ms: u64,
    /// Time from the signal that asks a process to stop until it is killed.
    #[garde(range(min = 0.1))]
    pub grace_s: f64,
    /// Time until a change of the configuration is in force everywhere.
    pub converge_ms: u64,
    /// Time until a change is acknowledged.
    pub ack_ms: u64,
    /// Time until a restarted process has caught up.
    pub catchup_s: f64,
    /// Duration of a lease.
    pub lease_ms: u64,
    /// Length of the windows in which usage is counted.
    #[garde(range(min = 0.1))]
    pub usage_window_s: f64,
    /// Time after the end of a window until its usage is reported.
    pub usage_late_s: f64,
    /// Time for which the state of a completed batch job can be queried.
    pub status_s: f64,
    /// Fraction by which a tenant's quota may be exceeded.
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

/// Interface to the platform: the server list that it provides and the calls that it expects.
#[derive(Clone, Debug, Default, Deserialize, Validate)]
#[serde(default)]
#[garde(allow_unvalidated)]
pub struct Cloud {
    /// Address of the platform; if absent, the process makes no calls to it.
    pub addr: Option<SocketAddr>,
    /// Maximum rate of server list calls of all processes together, in calls per second; accepted, but not used by this version.
    #[garde(range(min = 0.0))]
    pub per_s: f64,
    /// Kinds of calls that the platform expects from the core: `usage_report` and `autoscale`.
    pub duties: Vec<String>,
    /// Maximum rate of these calls per second; accepted, but not used by this version.
    pub duty_per_s: f64,
}

fn validate_port_range(range: &[u16; 2], _: &()) -> garde::Result {
    match range[0] > 0 && range[0] < range[1] {
        true => Ok(()),
        false => Err(garde::Error::new("must be two ports, the first below the second")),
    }
}

/// Why a settings or policy file is rejected; each message says how to correct it.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The environment variable with the path is not set.
    #[error("{SETTINGS_VARIABLE} is not set: set it to the path of the settings file")]
    NoPath,
    /// The file does not exist or cannot be read.
    #[error("{path}: cannot be read ({reason}): give a file that this user may read")]
    Unreadable { path: PathBuf, reason: std::io::Error },
    /// The file is not TOML, or a key is missing or of the wrong type.
    #[error("{path}: {reason}: correct the key named above")]
    Malformed { path: PathBuf, reason: Box<toml::de::Error> },
    /// Values are out of range.
    #[error("{path}: {reason}: correct the keys named above")]
    Invalid { path: PathBuf, reason: garde::Report },
}

impl Settings {
    /// Reads and validates the file whose path is in the environment variable [`SETTINGS_VARIABLE`].
    pub fn from_environment() -> Result<Self, SettingsError> {
        let path = std::env::var_os(SETTINGS_VARIABLE).ok_or(SettingsError::NoPath)?;
        Self::read(Path::new(&path))
    }

    /// Reads and validates a settings file.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path)
            .map_err(|reason| SettingsError::Unreadable { path: path.to_owned(), reason })?;
        Self::parse(&text, path)
    }

    /// Like [`Settings::from_environment`], but takes the policy from the policy file `policy` if one is given.
    pub fn from_environment_with_policy(policy: Option<PathBuf>) -> Result<Self, SettingsError> {
        let mut settings = Self::from_environment()?;
        if let Some(path) = policy {
            settings.policy = Policy::read(&path)?;
        }
        Ok(settings)
    }

    /// Parses and validates the text of a settings file; `path` is used in error messages only.
    pub fn parse(text: &str, path: &Path) -> Result<Self, SettingsError> {
        let settings: Self = toml::from_str(text)
            .map_err(|reason| SettingsError::Malformed { path: path.to_owned(), reason: Box::new(reason) })?;
        settings.validate().map_err(|reason| SettingsError::Invalid { path: path.to_owned(), reason })?;
        Ok(settings)
    }

    /// Returns whether the process has the given role.
    pub fn serves(&self, role: &str) -> bool {
        self.serves.iter().any(|served| served == role)
    }

    /// Returns the address on which a control-plane process or a store listens for other processes of the tier.
    pub fn control_peer_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.port_range[0])
    }

    /// Returns the address under which other processes of the tier reach this control-plane process or store.
    pub fn advertised_peer_address(&self) -> SocketAddr {
        SocketAddr::new(self.peer_ip.unwrap_or(self.ip), self.port_range[0])
    }

    /// Returns the source address for outgoing calls to other processes of the tier; `None` if the system may choose it.
    pub fn peer_source_ip(&self) -> Option<IpAddr> {
        self.peer_ip.map(|_| self.ip)
    }

    /// Returns the address on which a data plane listens for other processes of the tier.
    pub fn data_peer_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.port_range[0] + 1)
    }

    /// Returns the addresses under which other processes of the tier reach the seeds: the IP addresses of `seeds` with the first port
    /// of `port_range`.
    pub fn seed_peer_addresses(&self) -> Vec<SocketAddr> {
        self.seeds.iter().map(|seed| SocketAddr::new(seed.ip(), self.port_range[0])).collect()
    }

    /// Returns the time that the process has for an orderly shutdown.
    pub fn shutdown_grace(&self) -> Duration {
        Duration::from_secs_f64(self.bounds.grace_s)
    }
}

#[cfg(test)]
mod tests;
