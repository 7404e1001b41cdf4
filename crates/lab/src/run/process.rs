//! The gateways' processes: started, hit by faults, watched, and ended by id whatever becomes of the play.

use super::client;
use super::needs::{MEMORY_MB, OF_A_GATEWAY};
use super::stage::Shared;
use super::{agent, Failure};
use crate::chance::{of, Use};
use crate::record::{Event, Life};
use crate::timeline::OnGateway;
use crate::told;
use fennelgauge::time::Span;
use rand::RngExt;
use rustix::process::{kill_process, Pid, Signal};
use serde_json::json;
use std::cell::{Cell, RefCell};
use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::rc::Rc;
use std::time::Duration;
use tokio::process::{Child, Command};
use tracing::{info, warn};

/// What the processes run on, and where their files are.
pub struct Program {
    pub path: PathBuf,
    pub folder: PathBuf,
    pub classes: Vec<usize>,
    /// The operator's file, where the scenario switches something on.
    pub operator: Option<PathBuf>,
}

#[derive(Default)]
struct Gateway {
    pid: Cell<Option<Pid>>,
    life: Cell<u32>,
    /// An end that somebody wanted: it is no crash; and how long after it another start follows.
    ends: Cell<bool>,
    /// Its end is on record already.
    down: Cell<bool>,
    again: Cell<Option<Span>>,
    stopped: Cell<bool>,
}

pub struct Processes {
    program: Program,
    gateways: Vec<Gateway>,
    failed: RefCell<Option<Failure>>,
    /// The play is over: ends are no part of it any more.
    over: Cell<bool>,
}

/// How long a gateway may take from its start until it is ready, and to end once it was told to.
const READY: Duration = Duration::from_secs(30);
const ENDS: Duration = Duration::from_secs(8);

impl Processes {
    pub fn new(program: Program) -> Rc<Self> {
        let gateways = program.classes.iter().map(|_| Gateway::default()).collect();
        Rc::new(Self { program, gateways, failed: RefCell::new(None), over: Cell::new(false) })
    }

    /// Why the play cannot go on, if it can't.
    pub fn failure(&self) -> Option<Failure> {
        self.failed.borrow_mut().take()
    }

    /// Starts a gateway; what becomes of its process is seen to by a task of its own.
    pub fn start(self: &Rc<Self>, stage: &Shared, number: u32) -> Result<(), Failure> {
        let gateway = &self.gateways[number as usize];
        let life = gateway.life.get() + 1;
        gateway.life.set(life);
        gateway.ends.set(false);
        gateway.down.set(false);
        let folder = &self.program.folder;
        let configuration = folder.join(format!("gateway-{number}.json"));
        let text = self.configuration(stage, number, life);
        std::fs::write(&configuration, text.to_string())
            .map_err(|error| Failure::file(&configuration, error))?;
        let log = self.log(number);
        let file = File::options().create(true).append(true).open(&log);
        let file = file.map_err(|error| Failure::file(&log, error))?;
        let errors = file.try_clone().map_err(|error| Failure::file(&log, error))?;
        let mut command = Command::new(&self.program.path);
        if let Some(operator) = &self.program.operator {
            command.arg("--operator").arg(operator);
        }
        let child = command
            .env("BALANCER_CONFIG", &configuration)
            .env("BALANCER_NAME", format!("n{number}"))
            .stdin(Stdio::null())
            .stdout(Stdio::from(file))
            .stderr(Stdio::from(errors))
            .kill_on_drop(true)
            .spawn()
            .map_err(|error| Failure::file(&self.program.path, error))?;
        gateway.pid.set(child.id().and_then(|id| Pid::from_raw(id as i32)));
        tokio::task::spawn_local(self.clone().watch(stage.clone(), number, life, child));
        tokio::task::spawn_local(self.clone().take_in(stage.clone(), number, life));
        Ok(())
    }

    fn configuration(&self, stage: &Shared, number: u32, life: u32) -> serde_json::Value {
        let class = self.program.classes[number as usize];
        let (version, entries) = {
            let mut world = stage.world.borrow_mut();
            let version = world.discovery.hear(number, stage.clock.now());
            (version, world.discovery.whole(version))
        };
        for entry in &entries {
            let listed = entry.health.into();
            stage.put(Event::Told { gateway: number, server: entry.server, listed });
        }
        let world = stage.world.borrow();
        let seed = of(world.scenario.seed, Use::Gateways, u64::from(number) << 20 | u64::from(life));
        let seed: u64 = { seed }.random();
        let peers: Vec<String> =
            (0..world.scenario.deployment.gateways).map(|it| stage.net.relay(it).to_string()).collect();
        json!({
            "name": format!("n{number}"),
            "listen": stage.net.gateway(number).to_string(),
            "discovery": stage.net.agent(number).to_string(),
            "counter": world.scenario.counter.as_ref().map(|_| stage.net.counter(number).to_string()),
            "seed": format!("{seed:016x}"),
            "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": OF_A_GATEWAY},
            "peers": peers,
            "peer_listen": stage.net.peer(number).to_string(),
            "known": agent::listing(stage, version, true, &entries, class),
            "settings": told::settings(&world.scenario, &world.timeline.layout, number),
        })
    }

    /// The front takes a gateway in once it says that it is ready.
    async fn take_in(self: Rc<Self>, stage: Shared, number: u32, life: u32) {
        let gateway = &self.gateways[number as usize];
        let until = tokio::time::Instant::now() + READY;
        while gateway.life.get() == life && gateway.pid.get().is_some() {
            if client::is_ready(&stage, number).await {
                if gateway.life.get() == life && !gateway.ends.get() {
                    stage.world.borrow_mut().front.ready(number);
                    stage.put(Event::Gateway { gateway: number, life: Life::Ready });
                }
                return;
            }
            if tokio::time::Instant::now() > until {
                let log = self.log(number);
                let reason = format!("gateway {number} is not ready after {READY:?}; see {}", log.display());
                self.failed.borrow_mut().get_or_insert(Failure(reason));
                return;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    async fn watch(self: Rc<Self>, stage: Shared, number: u32, life: u32, mut child: Child) {
        let status = child.wait().await;
        let gateway = &self.gateways[number as usize];
        if gateway.life.get() != life {
            return;
        }
        gateway.pid.set(None);
        gateway.stopped.set(false);
        if self.over.get() {
            return;
        }
        let wanted = gateway.ends.get();
        if !wanted {
            warn!(gateway = number, status = ?status, "a gateway ended by itself");
            if stage.clock.is_before() {
                let reason = format!("gateway {number} ended before it was ready: {status:?}");
                self.failed.borrow_mut().get_or_insert(Failure(reason));
            }
        }
        let life = if wanted { Life::Down } else { Life::Crashed };
        if !gateway.down.replace(true) {
            stage.put(Event::Gateway { gateway: number, life });
        }
        if let Some(after) = gateway.again.take() {
            tokio::time::sleep(Duration::from_micros(after.micros())).await;
            if let Err(failure) = self.start(&stage, number) {
                self.failed.borrow_mut().get_or_insert(failure);
            }
        }
    }

    fn signal(&self, number: u32, signal: Signal) {
        if let Some(pid) = self.gateways[number as usize].pid.get() {
            if let Err(error) = kill_process(pid, signal) {
                info!(gateway = number, %error, "a signal reached nobody");
            }
        }
    }

    /// Carries out a fault on a process.
    pub fn hit(self: &Rc<Self>, stage: &Shared, number: u32, what: OnGateway) {
        let gateway = &self.gateways[number as usize];
        let now = stage.clock.now();
        match what {
            OnGateway::Kill => {
                gateway.ends.set(true);
                stage.world.borrow_mut().front.died(number, now);
                // On record before anybody can see a connection of it end.
                if gateway.pid.get().is_some() && !gateway.down.replace(true) {
                    stage.put(Event::Gateway { gateway: number, life: Life::Down });
                }
                self.signal(number, Signal::KILL);
            }
            OnGateway::Start => {
                // Its former process may not be gone yet.
                if gateway.pid.get().is_some() {
                    gateway.again.set(Some(Span::ZERO));
                } else if let Err(failure) = self.start(stage, number) {
                    self.failed.borrow_mut().get_or_insert(failure);
                }
            }
            OnGateway::Stop => {
                gateway.stopped.set(true);
                stage.put(Event::Gateway { gateway: number, life: Life::Stopped });
                self.signal(number, Signal::STOP);
            }
            OnGateway::Continue => {
                gateway.stopped.set(false);
                self.signal(number, Signal::CONT);
                stage.put(Event::Gateway { gateway: number, life: Life::Continued });
            }
            OnGateway::Restart(after) => {
                gateway.ends.set(true);
                gateway.again.set(Some(after));
                stage.world.borrow_mut().front.leaves(number, now);
                stage.put(Event::Gateway { gateway: number, life: Life::Terminating });
                self.signal(number, Signal::TERM);
            }
        }
    }

    /// The processes that run and are not stopped, by number.
    pub fn running(&self) -> Vec<u32> {
        let runs =
            |gateway: &Gateway| gateway.pid.get().is_some() && !gateway.stopped.get() && !gateway.ends.get();
        let all = self.gateways.iter().enumerate();
        all.filter(|(_, gateway)| runs(gateway)).map(|(number, _)| number as u32).collect()
    }

    /// Has every running gateway log what it holds of the others.
    pub fn ask_views(&self) {
        self.running().into_iter().for_each(|number| self.signal(number, Signal::USR1));
    }

    pub fn log(&self, number: u32) -> PathBuf {
        self.program.folder.join(format!("gateway-{number}.log"))
    }

    /// Processor time of a gateway's present process, in milliseconds.
    pub fn cpu_ms(&self, number: u32) -> Option<u64> {
        let pid = self.gateways[number as usize].pid.get()?;
        let text = std::fs::read_to_string(format!("/proc/{}/stat", pid.as_raw_nonzero())).ok()?;
        // After the name in brackets; the times are the 14th and 15th fields, in hundredths of a second.
        let fields: Vec<&str> = text.rsplit_once(") ")?.1.split(' ').collect();
        let ticks = |at: usize| fields.get(at).and_then(|it| it.parse::<u64>().ok());
        Some((ticks(11)? + ticks(12)?) * 10)
    }

    /// Ends all processes: each is told to stop, and killed if it does not.
    pub async fn end(&self) {
        self.over.set(true);
        for (number, gateway) in self.gateways.iter().enumerate() {
            gateway.ends.set(true);
            gateway.again.set(None);
            if gateway.stopped.get() {
                self.signal(number as u32, Signal::CONT);
            }
            self.signal(number as u32, Signal::TERM);
        }
        let until = tokio::time::Instant::now() + ENDS;
        while self.gateways.iter().any(|it| it.pid.get().is_some()) {
            if tokio::time::Instant::now() > until {
                let left: Vec<usize> = (0..self.gateways.len())
                    .filter(|number| self.gateways[*number].pid.get().is_some())
                    .collect();
                warn!(gateways = ?left, "not ended in {ENDS:?}; killed");
                left.into_iter().for_each(|number| self.signal(number as u32, Signal::KILL));
                // One that cannot even be killed has no one to wait for it; dropping it kills it once more.
                tokio::time::sleep(Duration::from_millis(200)).await;
                return;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

/// The program to run: as named, or the one that lies beside this.
pub fn find(named: Option<&Path>) -> Result<PathBuf, Failure> {
    if let Some(path) = named {
        return match path.is_file() {
            true => Ok(path.to_path_buf()),
            false => Err(Failure(format!("{}: no such program", path.display()))),
        };
    }
    let own = std::env::current_exe().map_err(|error| Failure(error.to_string()))?;
    let beside = own.with_file_name("fennelgauge-gateway");
    match beside.is_file() {
        true => Ok(beside),
        false => Err(Failure(format!("{}: not built; name the program with --gateway", beside.display()))),
    }
}
