//! Start and loop.

use crate::lifecycle::clock::Clock;
use crate::lifecycle::configuration::{self, Addresses, Start};
use crate::lifecycle::drain::{self, Stop};
use crate::memory::jobs::Jobs;
use crate::memory::machines::Machines;
use crate::memory::timers::{Due, Timers};
use crate::peers::{Peers, Wanted};
use crate::sockets::{settle, Limiter, Moved, Sockets};
use crate::wire::client;
use crate::wire::counter::Counter;
use crate::wire::discovery::{self, Discovery};
use crate::wire::http;
use crate::wire::request::Names;
use calloop::generic::Generic;
use calloop::signals::{Signal, Signals};
use calloop::{EventLoop, Interest, Mode, PostAction};
use fennelgauge::choice::Gateway;
use fennelgauge::host::{Outcome, JOB_ID_LIMIT};
use fennelgauge::time::{Moment, Span};
use fennelgauge_launch::operator::OperatorConfig;
use std::collections::{BTreeSet, HashMap, VecDeque};
use std::io::ErrorKind;
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tracing::{info, warn};

/// Descriptors for what is no client's and no server's: the loop, signals, listener, counter, discovery, log.
const KEPT_BACK: usize = 16 + client::RESERVE;
/// A part of the shortest time that anything swept may stand.
const SWEEP: Span = Span::from_millis(250);
/// Connections that wait to be accepted: hundreds may come at once, and one that is not taken is tried again by
/// its client's machine only after a second.
pub const BACKLOG: i32 = 1_024;
/// After a stall all that has come is taken in before timers are judged; a flood ends this after so many looks.
const LOOKS: usize = 8;
/// A process may be stopped, or short of its share of a core, amid what it takes in. What came meanwhile goes before
/// the rest: a small part of the tenth of a second in which a client's leaving is heeded, and of any drain's grace.
const FRESH: Span = Span::from_millis(20);

/// Runs a gateway; `path` is where its configuration may be read anew.
pub fn run(start: Start, path: PathBuf, operator: OperatorConfig) -> Result<(), Box<dyn std::error::Error>> {
    let mut events: EventLoop<'static, Limiter> = EventLoop::try_new()?;
    let handle = events.handle();
    let mut wanted = vec![Signal::SIGTERM, Signal::SIGINT, Signal::SIGHUP];
    if operator.membership.enabled {
        wanted.push(Signal::SIGUSR1);
    }
    let signals = Signals::new(&wanted)?;
    let signalled =
        move |signal: calloop::signals::Event, _: &mut (), limiter: &mut Limiter| match signal.signal() {
            Signal::SIGHUP => limiter.host.reload(&path),
            Signal::SIGUSR1 => limiter.host.tell_view(),
            _ => limiter.host.stop(),
        };
    handle.insert_source(signals, signalled).map_err(|error| error.error)?;
    let listener = TcpListener::bind(start.listen)?;
    let listen = listener.local_addr()?;
    listener.set_nonblocking(true)?;
    rustix::net::listen(&listener, BACKLOG)?;
    let listener = Rc::new(listener);
    let source = Generic::new(Rc::clone(&listener), Interest::READ, Mode::Level);
    let token = handle
        .insert_source(source, |_, listener, limiter| {
            let open = limiter.host.accept_all(listener);
            Ok(if open { PostAction::Continue } else { PostAction::Disable })
        })
        .map_err(|error| error.error)?;
    let clock = Clock::start();
    let now = clock.now();
    let launch = start.settings;
    let peers = Peers::open(
        now,
        &Wanted {
            membership: operator.membership,
            listen: start.peer_listen.as_ref(),
            peers: start.peers.as_ref(),
            own: launch.deployment.own_index,
            gateways: launch.deployment.gateway_count,
            zone: launch.own_zone,
            mail_per_s: launch.peer_messages_per_s,
            seed: start.seed,
        },
    );
    if let Some(peers) = &peers {
        let source = Generic::new(peers.socket(), Interest::READ, Mode::Level);
        let came = |_: calloop::Readiness, _: &mut _, limiter: &mut Limiter| {
            limiter.host.note(Moved::Peers);
            Ok(PostAction::Continue)
        };
        handle.insert_source(source, came).map_err(|error| error.error)?;
    }
    let bands = launch.deployment.classes.iter();
    let names = Names {
        repeats: bands.map(|band| band.repeat).collect(),
        bands: launch.service_class_names,
        plans: launch.plan_names,
        most_units: launch.max_units,
        gateways: launch.deployment.gateway_count,
    };
    let memory = start.limits.memory_mb.saturating_mul(1024 * 1024);
    let by_memory = memory / http::MOST_MESSAGE;
    // The system may allow fewer than the file: discovery and the counter would be refused theirs.
    let allowed = rustix::process::getrlimit(rustix::process::Resource::Nofile).current;
    let files =
        allowed.and_then(|it| usize::try_from(it).ok()).unwrap_or(usize::MAX).min(start.limits.sockets);
    let most = files.saturating_sub(KEPT_BACK).min(by_memory).max(2);
    let sockets = Sockets {
        handle,
        clock,
        timers: Timers::default(),
        tick: launch.deployment.tick,
        jobs: Jobs::default(),
        names,
        clients: HashMap::new(),
        links: HashMap::new(),
        machines: Machines::default(),
        zones: launch.zone_names,
        // A good part less than the server allows, for the way there.
        idle: launch.server_idle_timeout.times(0.75),
        connect_within: launch.connect_timeout,
        counter: Counter::new(start.counter, launch.counter_timeout),
        discovery: Discovery::new(start.discovery, start.known),
        peers,
        stop: Stop::new(listener, token),
        // A job needs a connection on either side, but for the time that it is held only its client's.
        most_clients: (most * 3 / 5).max(1),
        most,
        most_answer: memory / 16,
        most_answers: memory / 4,
        numbered: 0,
        moves: 0,
        moved: BTreeSet::new(),
        looked: now,
        ended: VecDeque::new(),
        counted: VecDeque::new(),
        left: VecDeque::new(),
        resumed: VecDeque::new(),
    };
    let mut limiter = Gateway::start(now, sockets, launch.deployment, start.seed);
    limiter.host.follow_discovery();
    limiter.host.timers.set(now + SWEEP, Due::Sweep);
    settle(&mut limiter);
    info!(name = start.name, %listen, "started");
    while !drain::is_over(&limiter) {
        turn(&mut events, &mut limiter)?;
    }
    info!("stopped");
    Ok(())
}

/// Waits for what comes next, and takes it in: lists first, clients last. What a look found is as old as its
/// beginning: a process may be stopped, or lose its core, between the system's answer and its own next step.
fn look(
    events: &mut EventLoop<'static, Limiter>,
    limiter: &mut Limiter,
    wait: Option<Duration>,
) -> calloop::Result<()> {
    limiter.host.looked = limiter.host.clock.now();
    events.dispatch(wait, limiter)?;
    let mut looks = 0..LOOKS;
    loop {
        if limiter.host.is_stale() && looks.next().is_some() {
            limiter.host.looked = limiter.host.clock.now();
            events.dispatch(Duration::ZERO, limiter)?;
        }
        let Some(moved) = limiter.host.moved.pop_first() else { break };
        moved.take_in(limiter);
    }
    settle(limiter);
    Ok(())
}

/// Waits for what comes next, takes it in, then sees to what is due.
fn turn(events: &mut EventLoop<'static, Limiter>, limiter: &mut Limiter) -> calloop::Result<()> {
    let now = limiter.host.clock.now();
    let wait = limiter.host.next_wake(now).map(|at| Duration::from_micros(at.since(now).micros()));
    let mut before = limiter.host.moves;
    look(events, limiter, wait)?;
    // A late loop has input to take in before anything is held to be late.
    for _ in 0..LOOKS {
        let now = limiter.host.clock.now();
        if limiter.host.moves == before || limiter.host.next_wake(now).is_none_or(|at| at > now) {
            break;
        }
        before = limiter.host.moves;
        look(events, limiter, Some(Duration::ZERO))?;
    }
    limiter.host.open_door();
    let by = limiter.host.clock.now();
    if let Some(peers) = limiter.host.peers.as_mut().filter(|peers| peers.next(by) <= by) {
        peers.due(by);
        settle(limiter);
    }
    let mut looks = 0..LOOKS;
    while let Some((_, due)) = limiter.host.next_due().filter(|(at, _)| *at <= by) {
        if limiter.host.is_stale() && looks.next().is_some() {
            look(events, limiter, Some(Duration::ZERO))?;
            continue;
        }
        limiter.host.timers.pop();
        let now = limiter.host.clock.now();
        match due {
            Due::Module(mark) => limiter.timer_fired(now, mark),
            Due::Patience(key, _) => limiter.host.close_link(key, Some(Outcome::TimedOut), "timed out"),
            Due::Connected(key) => limiter.host.close_link(key, None, "never came up"),
            Due::Counted(number) => limiter.host.call_over(number),
            Due::Serve(key) => client::moved(limiter, key),
            Due::Watch => limiter.host.watch(),
            Due::Known => discovery::use_known_list(limiter),
            Due::Closed => limiter.host.close(),
            Due::Sweep => {
                limiter.host.sweep_clients(now);
                limiter.host.sweep_links(now);
                limiter.host.machines.forget(now);
                limiter.host.sweep_counter(now);
                limiter.host.sweep_discovery(now);
                limiter.host.timers.set(now + SWEEP, Due::Sweep);
            }
        }
        settle(limiter);
    }
    Ok(())
}

impl Sockets {
    /// Goes over to the addresses that the file has now. One that cannot be read changes nothing.
    fn reload(&mut self, path: &Path) {
        match configuration::read::<Addresses>(path) {
            Ok(Addresses { discovery, counter }) => {
                info!(%discovery, counter = ?counter, "configuration read anew");
                self.move_discovery(discovery);
                self.move_counter(counter);
            }
            Err(error) => warn!(error, "configuration kept"),
        }
    }

    /// What has come since the last look may change what is to be done.
    fn is_stale(&self) -> bool {
        self.clock.now().since(self.looked) > FRESH
    }

    /// When something is due: a timer, or a word to the other gateways.
    fn next_wake(&mut self, now: Moment) -> Option<Moment> {
        let timer = self.next_due().map(|(at, _)| at);
        let peers = self.peers.as_ref().map(|peers| peers.next(now));
        timer.into_iter().chain(peers).min()
    }

    fn tell_view(&mut self) {
        let now = self.clock.now();
        if let Some(peers) = &mut self.peers {
            peers.tell_view(now);
        }
    }

    /// The first timer whose cause has not ended otherwise: most have, and each would wake the loop for nothing.
    fn next_due(&mut self) -> Option<(Moment, Due)> {
        let Self { timers, jobs, links, counter, .. } = self;
        timers.next(|due| match due {
            Due::Module(mark) => mark >= JOB_ID_LIMIT || jobs.open.contains_key(&mark),
            Due::Patience(key, serial) => links.get(&key).is_some_and(|link| link.carries(serial)),
            Due::Connected(key) => links.get(&key).is_some_and(|link| !link.up),
            Due::Counted(number) => counter.awaits(number),
            Due::Serve(_) | Due::Watch | Due::Known | Due::Sweep | Due::Closed => true,
        })
    }

    /// False once no descriptor is left: the others wait until one is. True where none is left that is taken.
    pub fn accept_all(&mut self, listener: &TcpListener) -> bool {
        self.moves += 1;
        while self.may_accept() {
            if self.stop.waiting == Some(0) {
                return true;
            }
            match listener.accept() {
                Ok((stream, _)) => {
                    self.stop.waiting = self.stop.waiting.map(|left| left - 1);
                    self.accept(stream);
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => return true,
                Err(error) if error.kind() == ErrorKind::ConnectionAborted => {}
                Err(error) => {
                    // The system has no more descriptors than this process holds: some must be closed first.
                    info!(side = "client", reason = "not accepted", %error);
                    break;
                }
            }
        }
        self.stop.door_is_shut();
        false
    }
}
