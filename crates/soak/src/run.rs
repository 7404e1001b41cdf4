//! One seed: starts the tier, has it struck, waits until all is well, and asks what came of it.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use anyhow::Context;
use fennelgauge_standins::{start_platform, Conduct, Observer, Platform, Ports, Tier};
use tokio::net::TcpListener;
use tokio::task::spawn_local;
use tokio::time::{sleep, Instant};

use crate::batch_client::{end, read_on, submit, sweep};
use crate::edge_clients;
use crate::events::Events;
use crate::live_client::{judge_all, request_on, Asked};
use crate::moments::watch_logs;
use crate::operator::{has_route, watch, Operator};
use crate::plan::Plan;
use crate::relay::start_relays;
use crate::report::{Fault, SeedResult};
use crate::schedule::drawn;
use crate::servers;
use crate::troubles::{lose_disks_and_power, start, strike, strike_at};
use crate::world::{Phase, Runs, World};

/// The whole tier is ready within so long, or there is no run.
const READY_WITHIN: Duration = Duration::from_secs(40);
const LOOK_EVERY: Duration = Duration::from_millis(100);
/// Clients go on for so long before the first trouble.
const WARM: Duration = Duration::from_millis(1_500);
/// A batch job is asked for again and again for so long in the end.
const SWEEP_WITHIN: Duration = Duration::from_secs(15);
/// Readers at once in the end.
const SWEEPERS: usize = 8;
const TOLD_EVERY: Duration = Duration::from_secs(5);

/// What is alike for all seeds.
#[derive(Clone, Debug)]
pub struct Setting {
    pub plan: Plan,
    pub programs: Option<PathBuf>,
    pub folder: PathBuf,
    pub keep: bool,
}

/// Plays one seed.
///
/// # Errors
/// If the run cannot be made: a port or a folder is not to be had, a process does not start. That is never a pass.
pub async fn run(setting: &Setting, seed: u64) -> anyhow::Result<SeedResult> {
    let folder = setting.folder.join(format!("seed-{seed}"));
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).with_context(|| format!("{} cannot be made", folder.display()))?;
    let folder = folder.canonicalize()?;
    let (world, operator) = began(setting, seed, &folder).await?;
    let strikes = drawn(&world.plan, seed);
    let troubles = strikes.len();
    let clients = spawn_clients(&world);
    sleep(WARM).await;

    world.phase.set(Phase::Troubled);
    servers::conduct(&world, world.plan.servers_conduct);
    let struck = world.clone();
    let watching = watch_logs(world.clone(), move |target, aimed| {
        spawn_local(strike_at(struck.clone(), target, aimed));
    });
    spawn_local(watching);
    let began = Instant::now();
    let mut under_way = Vec::new();
    for next in strikes {
        tokio::time::sleep_until(began + next.at).await;
        under_way.push(spawn_local(strike(world.clone(), operator.clone(), next.trouble)));
    }
    tokio::time::sleep_until(began + Duration::from_secs_f64(world.plan.troubled_s)).await;
    for trouble in under_way {
        trouble.await.context("a trouble ended badly")?;
    }
    world.events.note("--- no more troubles");
    world.links.heal();
    servers::conduct(&world, Conduct::default());
    if world.plan.closing_power_loss {
        lose_disks_and_power(&world).await;
    }
    world.phase.set(Phase::Recovering);
    recovered(&world).await;
    judge_end(&world).await;
    world.phase.set(Phase::Over);
    for client in clients {
        let _ = client.await;
    }
    judge_all(&world);
    let result = ended(&world, seed, troubles, &folder).await;
    if result.faults.is_empty() && !setting.keep {
        let _ = std::fs::remove_dir_all(&folder);
    }
    Ok(result)
}

/// Starts everything and waits until it serves.
async fn began(setting: &Setting, seed: u64, folder: &Path) -> anyhow::Result<(Rc<World>, Rc<Operator>)> {
    let plan = setting.plan.clone();
    let salt = std::process::id().wrapping_mul(31).wrapping_add(seed as u32 * 7);
    let ports = Ports::find_free(salt).context("no free ports on 127.0.0.1: end what uses them")?;
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let platform = Rc::new(Platform::default());
    let tier = Tier {
        ports,
        directory: folder.to_owned(),
        platform_address: listener.local_addr()?,
        core_machines: plan.core,
        tolerated_failures: plan.losses,
        uses_relays: plan.relayed,
    };
    start_platform(listener, platform.clone());
    let events = Events::create(&folder.join("events.log"))?;
    let world = Rc::new(World::new(plan, tier, setting.programs.clone(), events, platform));
    let runs: Rc<dyn Observer> = Rc::new(Runs { world: world.clone(), given: Default::default() });
    servers::start(&world, &runs).await?;
    if world.plan.relayed {
        let relayed = start_relays(&world.tier, &world.targets(), &world.links).await;
        relayed.context("a relay's address is taken")?;
    }
    for process in &world.processes {
        process.lock().await.start(world.programs.as_deref())?;
    }
    let operator = Rc::new(Operator::default());
    let configured = operator.configure(&world, READY_WITHIN).await;
    anyhow::ensure!(configured, "no configuration is taken: see the logs in {}", folder.display());
    let until = Instant::now() + READY_WITHIN;
    for front in 0..world.plan.data_planes {
        while !sweepable(&world, front).await {
            anyhow::ensure!(Instant::now() < until, "edge-{front} is not ready: see {}", folder.display());
            sleep(LOOK_EVERY).await;
        }
    }
    Ok((world, operator))
}

/// Whether a data plane reaches the stores: it answers for a batch job that nobody sent.
async fn sweepable(world: &World, front: u8) -> bool {
    use awc::http::Method;
    let key = World::key(0);
    let to = crate::http::To { address: world.tier.front_address(front), path: "/-/lots/none", key: &key };
    let call = crate::http::request(&awc::Client::default(), Method::GET, &to, Duration::from_secs(2));
    crate::http::send(call.force_close(), Vec::new()).await.is_ok_and(|answer| answer.status == 404)
}

fn spawn_clients(world: &Rc<World>) -> Vec<tokio::task::JoinHandle<()>> {
    let mut clients = Vec::new();
    for tenant in 0..world.plan.tenants {
        clients.push(spawn_local(submit(world.clone(), tenant)));
    }
    for _ in 0..world.plan.readers {
        clients.push(spawn_local(read_on(world.clone())));
    }
    clients.push(spawn_local(end(world.clone())));
    for client in 0..world.plan.live_clients {
        clients.push(spawn_local(request_on(world.clone(), client % world.plan.data_planes, Asked::Stream)));
    }
    for client in 0..world.plan.mutating_clients {
        clients.push(spawn_local(request_on(world.clone(), client % world.plan.data_planes, Asked::Body)));
    }
    for client in 0..world.plan.uploading_clients {
        let front = client % world.plan.data_planes;
        clients.push(spawn_local(request_on(world.clone(), front, Asked::BodyForUpload)));
    }
    for client in 0..world.plan.slow_readers {
        let front = client % world.plan.data_planes;
        clients.push(spawn_local(edge_clients::read_slowly(world.clone(), front)));
        clients.push(spawn_local(edge_clients::read_results_slowly(world.clone(), front)));
    }
    for client in 0..world.plan.dark_clients {
        let front = client % world.plan.data_planes;
        clients.push(spawn_local(edge_clients::meet_dark_servers(world.clone(), front)));
    }
    for client in 0..world.plan.leaving_clients {
        clients.push(spawn_local(edge_clients::leave(world.clone(), client % world.plan.data_planes)));
    }
    for front in 0..world.plan.data_planes {
        clients.push(spawn_local(watch(world.clone(), front)));
    }
    clients.push(spawn_local(look_after(world.clone())));
    clients
}

/// A process that ends by itself is a fault; it is started again. Tells how far the run is.
async fn look_after(world: Rc<World>) {
    let mut told = Instant::now();
    while world.phase.get() <= Phase::Recovering {
        sleep(LOOK_EVERY).await;
        for process in &world.processes {
            let ended = {
                let mut process = process.lock().await;
                process.ended_by_itself().map(|status| (process.target, status))
            };
            if let Some((target, status)) = ended {
                world.blame("ENDED", format!("{target} ended by itself: {status}"));
                start(&world, target).await;
            }
        }
        if told.elapsed() > TOLD_EVERY {
            told = Instant::now();
            let (jobs, reads) = {
                let judge = world.judge.borrow();
                (judge.accepted_jobs().len(), judge.pages_read)
            };
            eprintln!(
                "  {:?}: {jobs} batch jobs, {reads} pages, {} live answers",
                world.phase.get(),
                world.live_answers.get()
            );
        }
    }
}

/// Waits until every accepted batch job is finished, or the time is up.
async fn recovered(world: &World) {
    let until = Instant::now() + Duration::from_secs_f64(world.plan.recover_s);
    while Instant::now() < until {
        let open = {
            let judge = world.judge.borrow();
            judge.accepted_jobs().into_iter().find(|job| !judge.is_complete(job))
        };
        match open {
            Some(job) => {
                crate::batch_client::read(world, &job, 0, fastrand::u8(0..world.plan.data_planes)).await;
                sleep(Duration::from_millis(20)).await;
            }
            None => return,
        }
    }
}

/// In the end, everything that was accepted is read once more, and the newest configuration is everywhere.
async fn judge_end(world: &Rc<World>) {
    let jobs = world.judge.borrow().accepted_jobs();
    let unread = Rc::new(RefCell::new(jobs.into_iter().enumerate().collect::<VecDeque<_>>()));
    let all = unread.borrow().len();
    let until = Instant::now() + Duration::from_secs_f64(world.plan.sweep_s);
    let readers = (0..SWEEPERS).map(|_| spawn_local(sweep_on(world.clone(), unread.clone(), until)));
    let readers: Vec<_> = readers.collect();
    for reader in readers {
        let _ = reader.await;
    }
    let left = unread.borrow().len();
    world.not_read.set(left);
    if left > 0 {
        world.events.note(format_args!("{left} of {all} batch jobs were not asked for in the end"));
    }
    let now = world.events.now();
    world.judge.borrow_mut().check_completeness(now);
    let newest = world.acknowledged.get();
    for front in 0..world.plan.data_planes {
        if newest >= 2 && has_route(world, front, newest).await == Some(false) {
            world.blame("CONFIG", format!("edge-{front} lacks configuration {newest} in the end"));
        }
    }
}

/// Reads what is left until nothing is, or the time is up. A batch job that was asked for, and that nobody answers, is lost.
async fn sweep_on(world: Rc<World>, unread: Rc<RefCell<VecDeque<(usize, String)>>>, until: Instant) {
    let mut told = Instant::now();
    while Instant::now() < until {
        let Some((place, job)) = unread.borrow_mut().pop_front() else { return };
        let front = (place % usize::from(world.plan.data_planes)) as u8;
        if !sweep(&world, &job, front, Instant::now() + SWEEP_WITHIN).await {
            world.blame("LOST", format!("{job} cannot be read in the end (through edge-{front})"));
        }
        if told.elapsed() > TOLD_EVERY {
            told = Instant::now();
            eprintln!("  final read: {} batch jobs are left", unread.borrow().len());
        }
    }
}

async fn ended(world: &World, seed: u64, troubles: usize, folder: &Path) -> SeedResult {
    let mut faults = world.faults.borrow().clone();
    let broken = world.judge.borrow().violations.clone();
    faults.extend(broken.iter().map(|broken| Fault {
        rule: broken.rule.to_string(),
        at_s: broken.at as f64 / 1_000_000.0,
        what: broken.description.clone(),
    }));
    let mut starts = 0;
    for process in &world.processes {
        let mut process = process.lock().await;
        process.kill().await;
        starts += process.lives;
        let at_s = world.events.now() as f64 / 1_000_000.0;
        let told = process.errors();
        faults.extend(told.into_iter().map(|what| Fault { rule: "LOG".to_owned(), at_s, what }));
    }
    let judge = world.judge.borrow();
    SeedResult {
        seed,
        processes: world.plan.processes(),
        troubles,
        starts,
        seconds: world.events.now() as f64 / 1_000_000.0,
        jobs_accepted: judge.accepted_jobs().len(),
        pages_read: judge.pages_read,
        live_answers: world.live_answers.get(),
        live_refused: world.live_refused.borrow().len() as u64,
        edge_cases: world.edge_cases.get(),
        servers: servers::counts(world),
        jobs_not_read: world.not_read.get(),
        configurations: world.acknowledged.get(),
        folder: Some(folder.to_owned()),
        faults,
    }
}
