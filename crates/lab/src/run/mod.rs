//! The real play: processes of the program on loopback, the stand-ins' sockets, links between them, and faults by
//! the clock.

mod agent;
mod client;
mod counter;
mod door;
mod http;
mod members;
pub mod needs;
pub mod net;
mod process;
mod server;
pub mod stage;

use crate::record::{Event, Played, Trace};
use crate::scenario::Scenario;
use crate::timeline::{moment, Act, START};
use crate::world::{Upset, World};
use client::Lines;
use net::Net;
use process::{Processes, Program};
use stage::{ServerLife, Shared, Stage};
use std::fmt::{Display, Formatter};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::watch;
use tracing::info;

/// Why a play could not be begun or finished.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Failure(pub String);

impl Failure {
    fn file(path: &Path, error: std::io::Error) -> Self {
        Self(format!("{}: {error}", path.display()))
    }
}

impl Display for Failure {
    fn fmt(&self, out: &mut Formatter<'_>) -> std::fmt::Result {
        out.write_str(&self.0)
    }
}

impl std::error::Error for Failure {}

/// How a play is to be run.
#[derive(Clone, Debug, Default)]
pub struct Run {
    /// The program; the one beside this where left out.
    pub gateway: Option<PathBuf>,
    /// Where configurations and logs go; a folder that is removed afterwards where left out.
    pub folder: Option<PathBuf>,
}

/// The load begins so long after all gateways are ready.
const BEGINS: Duration = Duration::from_millis(200);

/// Plays a scenario with real processes. All of them have ended when it returns, also by an error or an interrupt.
pub fn play(scenario: &Scenario, run: &Run, progress: &mut dyn FnMut(f64)) -> Result<Trace, Failure> {
    let needs = needs::needs(scenario);
    needs.check().map_err(Failure)?;
    let path = process::find(run.gateway.as_deref())?;
    let net = Net::claim().map_err(Failure)?;
    let own = std::env::temp_dir().join(format!(
        "fennelgauge-lab-{}-{:?}",
        std::process::id(),
        net.gateway(0).ip()
    ));
    let folder = run.folder.clone().unwrap_or_else(|| own.clone());
    std::fs::create_dir_all(&folder).map_err(|error| Failure::file(&folder, error))?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|error| Failure(error.to_string()))?;
    let world = World::new(scenario, Played::Processes);
    let classes = world.timeline.links.classes();
    let addresses = net.text(classes.iter().max().map_or(1, |most| most + 1));
    info!(
        processes = needs.processes,
        listeners = needs.listeners,
        descriptors = needs.descriptors,
        addresses
    );
    let stage = Stage::new(world, net);
    let operator = members::operator(scenario, &folder)?;
    let processes = Processes::new(Program { path, folder, classes, operator });
    let local = tokio::task::LocalSet::new();
    let played = local.block_on(&runtime, async {
        let played = tokio::select! {
            played = acts(&stage, &processes, progress) => match played {
                Ok(()) => members::settle(&stage, &processes).await,
                Err(failure) => Err(failure),
            },
            interrupted = interrupt() => Err(interrupted),
        };
        processes.end().await;
        played
    });
    // Tasks hold the stage; they go with their set.
    drop(local);
    drop(runtime);
    if run.folder.is_none() {
        // Nothing else is in it; what is left of it does no harm.
        let _ = std::fs::remove_dir_all(&own);
    }
    played?;
    let stage = Rc::into_inner(stage).ok_or_else(|| Failure("a part of the play did not end".into()))?;
    let mut trace = stage.world.into_inner().trace;
    trace.records.sort_by_key(|record| record.at);
    Ok(trace)
}

async fn interrupt() -> Failure {
    let signals = (signal(SignalKind::interrupt()), signal(SignalKind::terminate()));
    let (Ok(mut interrupt), Ok(mut terminate)) = signals else { std::future::pending().await };
    tokio::select! {
        _ = interrupt.recv() => {}
        _ = terminate.recv() => {}
    }
    Failure("interrupted".into())
}

/// The whole play: doors, processes, load and faults.
async fn acts(
    stage: &Shared,
    processes: &Rc<Processes>,
    progress: &mut dyn FnMut(f64),
) -> Result<(), Failure> {
    let classes = stage.world.borrow().timeline.links.classes();
    let gateways = classes.len() as u32;
    let servers: Vec<u32> = stage.world.borrow().servers.keys().copied().collect();
    for server in servers {
        open_server(stage, server, &classes);
    }
    for gateway in 0..gateways {
        if stage.world.borrow().counter.is_some() {
            tokio::task::spawn_local(counter::door(stage.clone(), gateway));
        }
        tokio::task::spawn_local(agent::door(stage.clone(), gateway, classes[gateway as usize]));
    }
    tokio::task::spawn_local(server::work(stage.clone()));
    members::open(stage).await?;
    // The doors are open once each task has had its turn.
    tokio::time::sleep(Duration::from_millis(50)).await;
    for gateway in 0..gateways {
        processes.start(stage, gateway)?;
    }
    while stage.ready() < gateways {
        if let Some(failure) = processes.failure() {
            return Err(failure);
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    stage.clock.begin(BEGINS);
    let lines = Rc::new(Lines::default());
    tokio::task::spawn_local(client::send_all(stage.clone(), lines.clone()));
    let (length, longest) = {
        let world = stage.world.borrow();
        let longest = world.scenario.band.iter().map(|band| band.abandon_ms).fold(0.0, f64::max) / 1e3;
        let tries = f64::from(world.scenario.load.retries) + 1.0;
        (world.scenario.length_s, tries * (longest + 2.0) + 30.0)
    };
    let steps = stage.world.borrow().timeline.steps.clone();
    let mut steps = steps.into_iter().peekable();
    let end = moment(length + longest);
    loop {
        if let Some(failure) = processes.failure() {
            return Err(failure);
        }
        let now = stage.clock.now();
        progress((now.since(START).secs() / length).min(1.0));
        while let Some(step) = steps.next_if(|step| step.at <= now) {
            carry_out(stage, processes, &step.act, &classes);
        }
        let sent = now >= moment(length) && lines.open.get() == 0;
        if (sent && steps.peek().is_none()) || now >= end {
            return Ok(());
        }
        let look = now + fennelgauge::time::Span::from_millis(200);
        let next = steps.peek().map_or(look, |step| step.at.min(look));
        tokio::select! {
            () = stage.clock.until(next) => {}
            () = lines.over.notified(), if sent => {}
        }
    }
}

fn open_server(stage: &Shared, server: u32, classes: &[usize]) {
    let most = classes.iter().max().map_or(0, |most| *most);
    for class in 0..=most {
        let member = classes.iter().position(|of| *of == class).unwrap_or(0) as u32;
        tokio::task::spawn_local(server::door(stage.clone(), server, class, member));
    }
}

fn carry_out(stage: &Shared, processes: &Rc<Processes>, act: &Act, classes: &[usize]) {
    stage.put(Event::Fault { what: format!("{act:?}") });
    if let Act::Gateway(gateway, what) = act {
        return processes.hit(stage, *gateway, *what);
    }
    let now = stage.clock.now();
    let before: Vec<u32> = stage.world.borrow().servers.keys().copied().collect();
    let upset = stage.world.borrow_mut().apply(now, act);
    let change = |server: u32, to: &dyn Fn(&mut ServerLife)| {
        if let Some(life) = stage.lives.borrow().get(&server) {
            life.send_modify(to);
        }
    };
    match upset {
        Some(Upset::Ended(server)) => {
            let up = stage
                .world
                .borrow()
                .servers
                .get(&server)
                .is_some_and(|it| it.reach == crate::world::Reach::Up);
            change(server, &|life: &mut ServerLife| {
                *life = ServerLife { turn: life.turn + 1, up, silent: false };
            });
        }
        Some(Upset::Silenced(server)) => change(server, &|life| life.silent = true),
        None => {}
    }
    let new: Vec<u32> =
        stage.world.borrow().servers.keys().copied().filter(|server| !before.contains(server)).collect();
    for server in new {
        let up = ServerLife { turn: 0, up: true, silent: false };
        stage.lives.borrow_mut().insert(server, watch::Sender::new(up));
        open_server(stage, server, classes);
    }
    stage.work.notify_one();
    stage.announce();
}
