//! Sizes and troubles of a soak: a TOML file, read by serde, checked by garde.

use std::path::{Path, PathBuf};

use fennelgauge_standins::Conduct;
use garde::Validate;
use serde::{Deserialize, Serialize};

/// Why a plan was refused; each message names the remedy.
#[derive(Debug, thiserror::Error)]
pub enum PlanError {
    #[error("{path}: cannot be read ({reason}): give a file that this user may read")]
    Unreadable { path: PathBuf, reason: std::io::Error },
    #[error("{path}: {reason}: correct the key named above")]
    Malformed { path: PathBuf, reason: Box<toml::de::Error> },
    #[error("{path}: {reason}: correct the keys named above")]
    Invalid { path: PathBuf, reason: garde::Report },
}

/// How large a soak is, how long, and what strikes it.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize, Validate)]
#[serde(default, deny_unknown_fields)]
pub struct Plan {
    /// Machines of the core.
    #[garde(range(min = 3, max = 9))]
    pub core: u8,
    #[garde(range(min = 3, max = 40))]
    pub stores: u8,
    #[garde(range(min = 1, max = 100))]
    pub data_planes: u8,
    /// Stand-ins for model servers.
    #[garde(range(min = 1, max = 20))]
    pub servers: u8,
    /// Disks that may be lost at once.
    #[garde(range(min = 1, max = 3))]
    pub losses: u8,
    /// Tenants, each of which sends one batch job after the other.
    #[garde(range(min = 1, max = 40))]
    pub tenants: u8,
    /// Clients of live streams, each on one connection for as long as it is open.
    #[garde(range(min = 0, max = 200))]
    pub live_clients: u8,
    /// Clients of requests that may run once only, with a body each and an answer of a known length, each on one connection.
    #[garde(range(min = 0, max = 200))]
    pub mutating_clients: u8,
    /// The same with bodies that do not fit into the buffers of a connection.
    #[garde(range(min = 0, max = 20))]
    pub uploading_clients: u8,
    /// Clients that read a large live response slowly, and as many that read a large page of results slowly.
    #[garde(range(min = 0, max = 50))]
    pub slow_readers: u8,
    /// Clients whose servers go dark amid the response.
    #[garde(range(min = 0, max = 50))]
    pub dark_clients: u8,
    /// Clients that leave before their response, or amid it.
    #[garde(range(min = 0, max = 50))]
    pub leaving_clients: u8,
    #[garde(range(min = 1, max = 100))]
    pub readers: u8,
    /// Tokens of each tenant that may be queued; an item has ten.
    #[garde(range(min = 0, max = 1_000_000))]
    pub max_queued: u64,
    /// How the stand-ins for model servers behave while there are troubles.
    #[garde(skip)]
    pub servers_conduct: Conduct,
    /// Whether disks are lost at the end, as many as may be, while all other processes are killed at the same moment.
    #[garde(skip)]
    pub closing_power_loss: bool,
    /// For so long there are troubles.
    #[garde(range(min = 1.0, max = 3600.0))]
    pub troubled_s: f64,
    /// After them, all is served and finished within so long.
    #[garde(range(min = 5.0, max = 300.0))]
    pub recover_s: f64,
    /// Then, everything is read once more; what was not asked for within so long is told as not read.
    #[garde(range(min = 1.0, max = 3600.0))]
    pub sweep_s: f64,
    /// Whether the processes reach each other through relays; without them, links have no troubles.
    #[garde(skip)]
    pub relayed: bool,
    #[garde(dive)]
    pub troubles: Troubles,
}

/// What strikes, by weight (0: never), and how often.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize, Validate)]
#[serde(default, deny_unknown_fields)]
pub struct Troubles {
    /// The next trouble comes so many milliseconds after the last one, at least and at most.
    #[garde(range(min = 10))]
    pub least_pause_ms: u64,
    #[garde(range(min = 10))]
    pub most_pause_ms: u64,
    /// SIGKILL, of up to so many stores at once as the weights are drawn.
    #[garde(skip)]
    pub kill_store: u32,
    #[garde(skip)]
    pub kill_stores: u32,
    #[garde(skip)]
    pub kill_core: u32,
    #[garde(skip)]
    pub kill_data_plane: u32,
    /// SIGSTOP, then SIGCONT.
    #[garde(skip)]
    pub freeze: u32,
    /// SIGTERM and a new start.
    #[garde(skip)]
    pub restart: u32,
    #[garde(skip)]
    pub hangup: u32,
    /// A store's disk is lost.
    #[garde(skip)]
    pub wipe_store: u32,
    /// A new configuration.
    #[garde(skip)]
    pub configure: u32,
    /// The platform says nothing.
    #[garde(skip)]
    pub platform_silent: u32,
    /// A process is cut off from all others, or from one.
    #[garde(skip)]
    pub cut: u32,
    /// What a process sends does not arrive.
    #[garde(skip)]
    pub cut_one_way: u32,
    /// Links to a process are slow.
    #[garde(skip)]
    pub slow_links: u32,
    /// All links lose some of what they carry at first.
    #[garde(skip)]
    pub lossy_links: u32,
    /// A connection of a process breaks in the middle of a message.
    #[garde(skip)]
    pub reset_link: u32,
    /// A blow at a moment of which a process tells in its log.
    #[garde(skip)]
    pub aimed: u32,
    /// A store is cut off from the core and the other stores, and a data plane from the core: it may ask that store still.
    #[garde(skip)]
    pub stale_reader: u32,
    /// Connections to a process are slow, each as much as is drawn for it: later ones overtake earlier ones.
    #[garde(skip)]
    pub uneven_links: u32,
    /// A model server stands still.
    #[garde(skip)]
    pub freeze_server: u32,
    /// A model server ends, and another one takes over its address, at first one of another service.
    #[garde(skip)]
    pub replace_server: u32,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            core: 3,
            stores: 4,
            data_planes: 2,
            servers: 3,
            losses: 1,
            tenants: 3,
            live_clients: 6,
            mutating_clients: 0,
            uploading_clients: 0,
            slow_readers: 3,
            dark_clients: 2,
            leaving_clients: 3,
            readers: 4,
            max_queued: 1_000,
            servers_conduct: Conduct::default(),
            closing_power_loss: false,
            troubled_s: 12.0,
            recover_s: 25.0,
            sweep_s: 120.0,
            relayed: true,
            troubles: Troubles::default(),
        }
    }
}

impl Default for Troubles {
    fn default() -> Self {
        Self {
            least_pause_ms: 80,
            most_pause_ms: 1_400,
            kill_store: 6,
            kill_stores: 3,
            kill_core: 3,
            kill_data_plane: 2,
            freeze: 6,
            restart: 5,
            hangup: 3,
            wipe_store: 2,
            configure: 5,
            platform_silent: 1,
            cut: 3,
            cut_one_way: 2,
            slow_links: 2,
            lossy_links: 1,
            reset_link: 4,
            aimed: 6,
            stale_reader: 3,
            uneven_links: 0,
            freeze_server: 0,
            replace_server: 0,
        }
    }
}

impl Plan {
    /// Reads and checks a file.
    pub fn read(path: &Path) -> Result<Self, PlanError> {
        let text = std::fs::read_to_string(path)
            .map_err(|reason| PlanError::Unreadable { path: path.to_owned(), reason })?;
        Self::parse(&text, path)
    }

    /// Reads and checks a text; `path` is for messages only.
    pub fn parse(text: &str, path: &Path) -> Result<Self, PlanError> {
        let plan: Self = toml::from_str(text)
            .map_err(|reason| PlanError::Malformed { path: path.to_owned(), reason: Box::new(reason) })?;
        plan.validate().map_err(|reason| PlanError::Invalid { path: path.to_owned(), reason })?;
        Ok(plan)
    }

    /// Processes of the tier.
    pub fn processes(&self) -> usize {
        usize::from(self.core) + usize::from(self.stores) + usize::from(self.data_planes)
    }
}

#[cfg(test)]
mod tests;
