//! What strikes the processes, each trouble on its own: the next one does not wait for its end.

use std::rc::Rc;
use std::time::Duration;

use futures_util::future::join_all;
use tokio::time::{sleep, Instant};

use crate::moments::{Aimed, Blow};
use crate::operator::Operator;
use crate::process::{ends, Signal};
use crate::relay::{Harm, Harmed};
use crate::schedule::{Target, Trouble};
use crate::servers;
use crate::world::World;

/// A process that is restarted in a planned way is back by itself within so long.
const CONFIGURED_WITHIN: Duration = Duration::from_secs(30);
/// All processes are down for so long in the end.
const CLOSING_DOWN: Duration = Duration::from_millis(900);
/// A reset waits so long for something to be sent.
const RESET_WAITS: Duration = Duration::from_secs(2);

/// Carries one trouble out, from its beginning to its end.
pub async fn strike(world: Rc<World>, operator: Rc<Operator>, trouble: Trouble) {
    world.events.note(format_args!("--- {trouble:?}"));
    match trouble {
        Trouble::Kill { targets, down } => {
            world.unplanned(down);
            for target in &targets {
                kill(&world, *target).await;
            }
            sleep(down).await;
            for target in targets {
                start(&world, target).await;
            }
        }
        Trouble::Freeze { target, for_ } => {
            world.unplanned(for_);
            signal(&world, target, Signal::Stop).await;
            sleep(for_).await;
            signal(&world, target, Signal::Cont).await;
        }
        Trouble::Restart { target, down } => restart(&world, target, down).await,
        Trouble::Hangup { target } => drop(signal(&world, target, Signal::Hup).await),
        Trouble::Wipe { store, down } => wipe(&world, Target::Store(store), down).await,
        Trouble::Configure => {
            if !operator.configure(&world, CONFIGURED_WITHIN).await {
                world.events.note("a configuration was not acknowledged");
            }
        }
        Trouble::PlatformSilent { for_ } => {
            world.unplanned(for_);
            world.platform.unresponsive.set(true);
            sleep(for_).await;
            world.platform.unresponsive.set(false);
        }
        Trouble::Cut { target, from, for_ } => {
            harm(&world, (Some(target), from), Harm::Cut, for_);
            harm(&world, (from, Some(target)), Harm::Cut, for_);
        }
        Trouble::CutOneWay { target, for_ } => harm(&world, (Some(target), None), Harm::Cut, for_),
        Trouble::SlowLinks { target, by, for_ } => {
            harm(&world, (Some(target), None), Harm::Slow(by), for_);
            harm(&world, (None, Some(target)), Harm::Slow(by), for_);
        }
        Trouble::LossyLinks { part, for_ } => harm(&world, (None, None), Harm::Lossy(part), for_),
        Trouble::ResetLink { target } => harm(&world, (Some(target), None), Harm::Reset, RESET_WAITS),
        Trouble::Aimed(aimed) => world.waiting.add(aimed),
        Trouble::UnevenLinks { target, by, for_ } => {
            harm(&world, (None, Some(target)), Harm::Uneven(by), for_)
        }
        Trouble::FreezeServer { server, for_ } => servers::freeze(&world, server, for_).await,
        Trouble::ReplaceServer { server, for_ } => servers::replace(&world, server, for_).await,
        Trouble::StaleReader { store, data_plane, for_ } => stale_reader(&world, store, data_plane, for_),
    }
}

/// A store and a data plane that reach each other and nobody who knows of a later view.
fn stale_reader(world: &World, store: u8, data_plane: u8, for_: Duration) {
    let (store, data_plane) = (Target::Store(store), Target::DataPlane(data_plane));
    for other in world.targets() {
        let is_core = matches!(other, Target::Core(_));
        if is_core || (matches!(other, Target::Store(_)) && other != store) {
            harm(world, (Some(store), Some(other)), Harm::Cut, for_);
            harm(world, (Some(other), Some(store)), Harm::Cut, for_);
        }
        if is_core {
            harm(world, (Some(data_plane), Some(other)), Harm::Cut, for_);
            harm(world, (Some(other), Some(data_plane)), Harm::Cut, for_);
        }
    }
}

/// Carries a blow out that has found its moment.
pub async fn strike_at(world: Rc<World>, target: Target, aimed: Aimed) {
    let for_ = aimed.for_;
    match aimed.blow {
        Blow::Kill => {
            world.unplanned(for_);
            kill(&world, target).await;
            sleep(for_).await;
            start(&world, target).await;
        }
        Blow::Freeze => {
            world.unplanned(for_);
            signal(&world, target, Signal::Stop).await;
            sleep(for_).await;
            signal(&world, target, Signal::Cont).await;
        }
        Blow::CutOff => {
            harm(&world, (Some(target), None), Harm::Cut, for_);
            harm(&world, (None, Some(target)), Harm::Cut, for_);
        }
        Blow::CutOneWay => harm(&world, (Some(target), None), Harm::Cut, for_),
        Blow::Reset => harm(&world, (Some(target), None), Harm::Reset, RESET_WAITS),
        Blow::Slow => harm(&world, (Some(target), None), Harm::Slow(for_ / 8), for_),
    }
}

/// Harms the links from some processes to others for a time.
fn harm(world: &World, (from, to): (Option<Target>, Option<Target>), harm: Harm, for_: Duration) {
    world.unplanned(for_);
    world.links.harm(Harmed { from, to, harm, until: Instant::now() + for_ });
}

async fn kill(world: &World, target: Target) {
    if let Some(process) = world.process(target) {
        process.lock().await.kill().await;
    }
}

async fn signal(world: &World, target: Target, signal: Signal) -> bool {
    match world.process(target) {
        Some(process) => process.lock().await.signal(signal).await,
        None => false,
    }
}

/// Starts a process unless it runs.
pub async fn start(world: &World, target: Target) {
    let Some(process) = world.process(target) else { return };
    let mut process = process.lock().await;
    if process.is_there() {
        return;
    }
    world.events.note(format_args!("{target} starts"));
    if let Err(reason) = process.start(world.programs.as_deref()) {
        world.blame("START", format!("{target}: {reason:#}"));
    }
}

async fn restart(world: &World, target: Target, down: Duration) {
    let Some(process) = world.process(target) else { return };
    // A store or a machine of the core that restarts is a disturbance for all others.
    if !matches!(target, Target::DataPlane(_)) {
        world.unplanned(down);
    }
    let child = process.lock().await.terminate().await;
    if let Some(child) = child {
        if !ends(child).await {
            world.events.note(format_args!("{target} had to be killed"));
        }
        process.lock().await.has_ended();
    }
    sleep(down).await;
    start(world, target).await;
}

/// A store loses its disk, if no more disks are lost than may be.
async fn wipe(world: &World, target: Target, down: Duration) {
    if world.wipes.get() >= world.plan.losses {
        return;
    }
    world.wipes.set(world.wipes.get() + 1);
    world.unplanned(down);
    let Some(process) = world.process(target) else { return };
    {
        let mut process = process.lock().await;
        process.kill().await;
        if let Err(reason) = process.wipe() {
            world.blame("START", format!("{target}: its disk cannot be wiped: {reason}"));
        }
    }
    sleep(down).await;
    start(world, target).await;
}

/// As many stores as may lose their disks now, and all other processes are killed at one moment.
pub async fn lose_disks_and_power(world: &World) {
    let lost = world.plan.losses.saturating_sub(world.wipes.get());
    let mut stores: Vec<u8> = (0..world.plan.stores).collect();
    fastrand::shuffle(&mut stores);
    let wiped: Vec<Target> = stores.into_iter().take(lost.into()).map(Target::Store).collect();
    world.wipes.set(world.plan.losses);
    world.unplanned(CLOSING_DOWN);
    world.events.note(format_args!("--- all processes are killed, {wiped:?} lose their disks"));
    let kills = world.processes.iter().map(|process| async { process.lock().await.kill().await });
    join_all(kills).await;
    for target in wiped {
        let Some(process) = world.process(target) else { continue };
        if let Err(reason) = process.lock().await.wipe() {
            world.blame("START", format!("{target}: its disk cannot be wiped: {reason}"));
        }
    }
    sleep(CLOSING_DOWN).await;
    for target in world.targets() {
        start(world, target).await;
    }
}
