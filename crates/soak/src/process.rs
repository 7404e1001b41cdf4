//! The processes of the tier: started, signalled, started again.

use std::fs::OpenOptions;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::Duration;

use anyhow::Context;
use fennelgauge_settings::SETTINGS_VARIABLE;
use fennelgauge_standins::Tier;
use tokio::process::{Child, Command};
use tokio::time::timeout;

use crate::moments::log_of;
use crate::schedule::Target;

/// After SIGTERM a process gets so long, as its settings say.
const GRACE: Duration = Duration::from_secs(4);

/// A signal by the name that `kill` knows.
#[derive(Clone, Copy, Debug, strum::Display)]
#[strum(serialize_all = "UPPERCASE")]
pub enum Signal {
    Term,
    Hup,
    Kill,
    Stop,
    Cont,
}

/// One process of the tier.
pub struct Process {
    pub target: Target,
    settings: String,
    file: PathBuf,
    log: PathBuf,
    data: PathBuf,
    child: Option<Child>,
    /// Of a process that was asked to end and has not ended yet: no other one may start.
    ending: Option<u32>,
    /// How often it was started.
    pub lives: u64,
}

impl Process {
    pub fn new(tier: &Tier, target: Target) -> Self {
        let settings = match target {
            Target::Core(place) => tier.core_settings(place),
            Target::Store(place) => tier.store_settings(place),
            Target::DataPlane(place) => tier.data_plane_settings(place),
        };
        let node = target.to_string();
        Self {
            target,
            settings,
            file: tier.directory.join(format!("{node}.toml")),
            log: log_of(&tier.directory, target),
            data: tier.directory.join(&node),
            child: None,
            ending: None,
            lives: 0,
        }
    }

    /// Starts it; from the second time on as after the first start of the whole tier.
    pub fn start(&mut self, programs: Option<&Path>) -> anyhow::Result<()> {
        let settings = match self.lives {
            0 => self.settings.clone(),
            _ => self.settings.replace("bootstrap = true", "bootstrap = false"),
        };
        std::fs::write(&self.file, settings).with_context(|| format!("{}", self.file.display()))?;
        let name = match self.target {
            Target::DataPlane(_) => "data-plane",
            _ => "control-plane",
        };
        let mut command = match programs {
            Some(programs) => {
                let mut command = Command::new(programs.join(format!("fennelgauge-{name}")));
                command.args(["run", "--log", "info"]);
                command
            }
            None => {
                let mut command = Command::new(std::env::current_exe()?);
                command.arg(name);
                command
            }
        };
        let log = OpenOptions::new().create(true).append(true).open(&self.log)?;
        command.env(SETTINGS_VARIABLE, &self.file).stdin(Stdio::null()).stdout(Stdio::null());
        command.stderr(log).kill_on_drop(true);
        let child = command.spawn().with_context(|| format!("{} cannot be started", self.target))?;
        self.child = Some(child);
        self.lives += 1;
        Ok(())
    }

    /// Whether there is a process, though it may be ending.
    pub fn is_there(&mut self) -> bool {
        self.ending.is_some() || self.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// The status with which it ended by itself, if it did.
    pub fn ended_by_itself(&mut self) -> Option<String> {
        let child = self.child.as_mut()?;
        let status = child.try_wait().ok()??;
        self.child = None;
        Some(status.to_string())
    }

    /// Sends a signal; false if there is no process.
    pub async fn signal(&mut self, signal: Signal) -> bool {
        let own = self.child.as_ref().and_then(Child::id);
        let Some(id) = own.or(self.ending) else { return false };
        let sent = Command::new("kill").arg(format!("-{signal}")).arg(id.to_string()).status().await;
        sent.is_ok_and(|status| status.success())
    }

    /// Ends it at once, also while it is ending.
    pub async fn kill(&mut self) {
        if self.ending.is_some() {
            self.signal(Signal::Kill).await;
        }
        if let Some(mut child) = self.child.take() {
            let _ = child.kill().await;
        }
    }

    /// The child after SIGTERM, to be waited for without holding this process; [`Process::has_ended`] follows.
    pub async fn terminate(&mut self) -> Option<Child> {
        self.signal(Signal::Term).await;
        self.ending = self.ending.or(self.child.as_ref().and_then(Child::id));
        self.child.take()
    }

    /// The child that was to end has ended.
    pub fn has_ended(&mut self) {
        self.ending = None;
    }

    /// Loses its disk.
    pub fn wipe(&self) -> std::io::Result<()> {
        match std::fs::remove_dir_all(&self.data) {
            Err(reason) if reason.kind() != std::io::ErrorKind::NotFound => Err(reason),
            _ => Ok(()),
        }
    }

    /// Lines of its log that tell of a fault of ours.
    pub fn errors(&self) -> Vec<String> {
        let text = std::fs::read_to_string(&self.log).unwrap_or_default();
        let is_fault = |line: &&str| line.contains("which was shown here") || line.contains("panicked at");
        text.lines().filter(is_fault).map(|line| format!("{}: {line}", self.target)).collect()
    }
}

/// Waits for the end of a process that was asked to end; false if it had to be killed.
pub async fn ends(mut child: Child) -> bool {
    match timeout(GRACE, child.wait()).await {
        Ok(_) => true,
        Err(_) => {
            let _ = child.kill().await;
            false
        }
    }
}
