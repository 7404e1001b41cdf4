//! Start of the gateway and its event loop.

use crate::lifecycle::clock::Clock;
use crate::lifecycle::configuration::{self, Addresses, StartConfiguration};
use crate::lifecycle::drain::{self, Stop};
use crate::memory::jobs::Jobs;
use crate::memory::machines::ServerTable;
use crate::memory::timers::{TimerKind, Timers};
use crate::peers::{PeerSettings, Peers};
use crate::sockets::{settle, Limiter, Moved, Sockets};
use crate::wire::client;
use crate::wire::counter::Counter;
use crate::wire::discovery::{self, Discovery};
use crate::wire::http;
use crate::wire::request::RequestNames;
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

/// File descriptors reserved for other uses than client and server connections: event loop, signals, listener, counter,
/// discovery, log.
const RESERVED_DESCRIPTORS: usize = 16 + client::RESERVE;
/// Interval of the checks for idle or stalled connections and expired entries; a fraction of the shortest time limit
/// that they enforce.
const SWEEP_INTERVAL: Span = Span::from_millis(250);
/// Backlog of the listener. Hundreds of connections may arrive at once, and the client's TCP stack repeats a dropped
/// attempt only after a second.
pub const BACKLOG: i32 = 1_024;
/// After a stall, all pending input is processed before timers are run; this bounds the number of polls for input, in
/// case of a flood.
const MAX_POLLS: usize = 8;
/// If more time has passed since the last poll, for example because the process was paused, the event loop polls for
/// new input before it continues. It is a small part of the 0.1 s within which a client's disconnect must be noticed,
/// and of the grace period of any drain.
const MAX_POLL_AGE: Span = Span::from_millis(20);

/// Runs a gateway until its graceful shutdown is complete. SIGHUP reloads the configuration file at `path`. Errs if the
/// event loop or the listener cannot be set up.
pub fn run(
    start: StartConfiguration,
    path: PathBuf,
    operator: OperatorConfig,
) -> Result<(), Box<dyn std::error::Error>> {
    let mut events: EventLoop<'static, Limiter> = EventLoop::try_new()?;
    let handle = events.handle();
    let mut signals_handled = vec![Signal::SIGTERM, Signal::SIGINT, Signal::SIGHUP];
    if operator.membership.enabled {
        signals_handled.push(Signal::SIGUSR1);
    }
    let signals = Signals::new(&signals_handled)?;
    let on_signal =
        move |signal: calloop::signals::Event, _: &mut (), limiter: &mut Limiter| match signal.signal() {
            Signal::SIGHUP => limiter.host.reload(&path),
            Signal::SIGUSR1 => limiter.host.log_view(),
            _ => limiter.host.stop(),
        };
    handle.insert_source(signals, on_signal).map_err(|error| error.error)?;
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
        &PeerSettings {
            membership: operator.membership,
            listen: start.peer_listen.as_ref(),
            peers: start.peers.as_ref(),
            own_index: launch.deployment.own_index,
            gateway_count: launch.deployment.gateway_count,
            zone: launch.own_zone,
            max_datagrams_per_s: launch.peer_messages_per_s,
            seed: start.seed,
        },
    );
    if let Some(peers) = &peers {
        let source = Generic::new(peers.socket(), Interest::READ, Mode::Level);
        let on_readable = |_: calloop::Readiness, _: &mut _, limiter: &mut Limiter| {
            limiter.host.note(Moved::Peers);
            Ok(PostAction::Continue)
        };
        handle.insert_source(source, on_readable).map_err(|error| error.error)?;
    }
    let classes = launch.deployment.classes.iter();
    let names = RequestNames {
        repeat_policies: classes.map(|class| class.repeat).collect(),
        classes: launch.service_class_names,
        plans: launch.plan_names,
        max_units: launch.max_units,
        gateway_count: launch.deployment.gateway_count,
    };
    let memory = start.limits.memory_mb.saturating_mul(1024 * 1024);
    let max_by_memory = memory / http::MAX_REQUEST;
    // The system's limit may be lower than the configured one; without this, discovery and counter connections would
    // fail.
    let allowed = rustix::process::getrlimit(rustix::process::Resource::Nofile).current;
    let max_descriptors =
        allowed.and_then(|it| usize::try_from(it).ok()).unwrap_or(usize::MAX).min(start.limits.sockets);
    let most = max_descriptors.saturating_sub(RESERVED_DESCRIPTORS).min(max_by_memory).max(2);
    let sockets = Sockets {
        handle,
        clock,
        timers: Timers::default(),
        tick: launch.deployment.tick,
        jobs: Jobs::default(),
        names,
        clients: HashMap::new(),
        links: HashMap::new(),
        machines: ServerTable::default(),
        zones: launch.zone_names,
        // Shorter than the server's own idle timeout, to allow for the network delay.
        idle: launch.server_idle_timeout.times(0.75),
        connect_within: launch.connect_timeout,
        counter: Counter::new(start.counter, launch.counter_timeout),
        discovery: Discovery::new(start.discovery, start.known),
        peers,
        stop: Stop::new(listener, token),
        // A job needs a client and a server connection, but while it is queued only that of its client.
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
    limiter.host.start_discovery();
    limiter.host.timers.schedule(now + SWEEP_INTERVAL, TimerKind::Sweep);
    settle(&mut limiter);
    info!(name = start.name, %listen, "started");
    while !drain::is_finished(&limiter) {
        run_once(&mut events, &mut limiter)?;
    }
    info!("stopped");
    Ok(())
}

/// Waits for input and processes it in the order of [`Moved`]: server lists first, clients last. Input counts as of the
/// moment when the poll began, since the process may be paused between the poll's return and its next step.
fn poll_events(
    events: &mut EventLoop<'static, Limiter>,
    limiter: &mut Limiter,
    wait: Option<Duration>,
) -> calloop::Result<()> {
    limiter.host.looked = limiter.host.clock.now();
    events.dispatch(wait, limiter)?;
    let mut polls_left = 0..MAX_POLLS;
    loop {
        if limiter.host.is_stale() && polls_left.next().is_some() {
            limiter.host.looked = limiter.host.clock.now();
            events.dispatch(Duration::ZERO, limiter)?;
        }
        let Some(moved) = limiter.host.moved.pop_first() else { break };
        moved.take_in(limiter);
    }
    settle(limiter);
    Ok(())
}

/// Runs one iteration of the event loop: waits for input, processes it, then runs expired timers.
fn run_once(events: &mut EventLoop<'static, Limiter>, limiter: &mut Limiter) -> calloop::Result<()> {
    let now = limiter.host.clock.now();
    let wait = limiter.host.next_wake(now).map(|at| Duration::from_micros(at.since(now).micros()));
    let mut moves_before = limiter.host.moves;
    poll_events(events, limiter, wait)?;
    // If timers are already overdue, processes pending input before anything counts as timed out.
    for _ in 0..MAX_POLLS {
        let now = limiter.host.clock.now();
        if limiter.host.moves == moves_before || limiter.host.next_wake(now).is_none_or(|at| at > now) {
            break;
        }
        moves_before = limiter.host.moves;
        poll_events(events, limiter, Some(Duration::ZERO))?;
    }
    limiter.host.resume_accepting();
    let by = limiter.host.clock.now();
    if let Some(peers) = limiter.host.peers.as_mut().filter(|peers| peers.next_due_at(by) <= by) {
        peers.run_due(by);
        settle(limiter);
    }
    let mut polls_left = 0..MAX_POLLS;
    while let Some((_, due)) = limiter.host.next_due().filter(|(at, _)| *at <= by) {
        if limiter.host.is_stale() && polls_left.next().is_some() {
            poll_events(events, limiter, Some(Duration::ZERO))?;
            continue;
        }
        limiter.host.timers.pop();
        let now = limiter.host.clock.now();
        match due {
            TimerKind::Policy(id) => limiter.timer_fired(now, id),
            TimerKind::RelayTimeout(key, _) => {
                limiter.host.close_link(key, Some(Outcome::TimedOut), "timed out")
            }
            TimerKind::ConnectTimeout(key) => limiter.host.close_link(key, None, "never came up"),
            TimerKind::CounterTimeout(number) => limiter.host.counter_call_timed_out(number),
            TimerKind::ServeClient(key) => client::moved(limiter, key),
            TimerKind::PollDiscovery => limiter.host.connect_and_poll(),
            TimerKind::DiscoveryTimeout => discovery::use_configured_list(limiter),
            TimerKind::StopAccepting => limiter.host.close(),
            TimerKind::Sweep => {
                limiter.host.sweep_clients(now);
                limiter.host.sweep_links(now);
                limiter.host.machines.remove_expired(now);
                limiter.host.sweep_counter(now);
                limiter.host.sweep_discovery(now);
                limiter.host.timers.schedule(now + SWEEP_INTERVAL, TimerKind::Sweep);
            }
        }
        settle(limiter);
    }
    Ok(())
}

impl Sockets {
    /// Reloads the addresses from the configuration file. If it cannot be read, nothing changes.
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

    /// Returns whether the last poll is so old that newer input should be processed first.
    fn is_stale(&self) -> bool {
        self.clock.now().since(self.looked) > MAX_POLL_AGE
    }

    /// Returns when the next timer, or the membership, has to run.
    fn next_wake(&mut self, now: Moment) -> Option<Moment> {
        let timer = self.next_due().map(|(at, _)| at);
        let peers = self.peers.as_ref().map(|peers| peers.next_due_at(now));
        timer.into_iter().chain(peers).min()
    }

    /// Logs the membership view, if membership is on.
    fn log_view(&mut self) {
        let now = self.clock.now();
        if let Some(peers) = &mut self.peers {
            peers.log_view(now);
        }
    }

    /// Returns the first timer that still applies. Most timers become obsolete before they expire and would wake the
    /// event loop needlessly.
    fn next_due(&mut self) -> Option<(Moment, TimerKind)> {
        let Self { timers, jobs, links, counter, .. } = self;
        timers.peek_relevant(|due| match due {
            TimerKind::Policy(id) => id >= JOB_ID_LIMIT || jobs.open.contains_key(&id),
            TimerKind::RelayTimeout(key, serial) => {
                links.get(&key).is_some_and(|link| link.carries_relay(serial))
            }
            TimerKind::ConnectTimeout(key) => links.get(&key).is_some_and(|link| !link.up),
            TimerKind::CounterTimeout(number) => counter.is_pending(number),
            TimerKind::ServeClient(_)
            | TimerKind::PollDiscovery
            | TimerKind::DiscoveryTimeout
            | TimerKind::Sweep
            | TimerKind::StopAccepting => true,
        })
    }

    /// Accepts all waiting connections. Returns false if descriptors ran out first: the remaining ones wait until some
    /// are free.
    pub fn accept_all(&mut self, listener: &TcpListener) -> bool {
        self.moves += 1;
        while self.may_accept() {
            if self.stop.backlog_left == Some(0) {
                return true;
            }
            match listener.accept() {
                Ok((stream, _)) => {
                    self.stop.backlog_left = self.stop.backlog_left.map(|left| left - 1);
                    self.accept(stream);
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => return true,
                Err(error) if error.kind() == ErrorKind::ConnectionAborted => {}
                Err(error) => {
                    // The process or the system has no free descriptor: some must be closed first.
                    info!(side = "client", reason = "not accepted", %error);
                    break;
                }
            }
        }
        self.stop.pause_accepting();
        false
    }
}
