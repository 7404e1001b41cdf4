//! Graceful shutdown: new connections are accepted for a short time, all jobs are answered, then the gateway exits.

use crate::lifecycle::run::BACKLOG;
use crate::memory::timers::TimerKind;
use crate::sockets::{Limiter, Sockets};
use calloop::RegistrationToken;
use fennelgauge::time::{Moment, Span};
use std::net::TcpListener;
use std::rc::Rc;
use tracing::info;

/// How long new connections are accepted after a stop request. Clients that do not know of the stop yet connect for up
/// to 0.4 s.
const ACCEPT_GRACE: Span = Span::from_millis(500);
/// A request that is complete only later than this after the stop request is rejected at once, since the process may be
/// killed before the job's deadline; that can't happen to jobs accepted up to 0.7 s after the stop request. Requests
/// that were being received when connections were closed can be this late.
const LATE_REQUEST_AFTER: Span = Span::from_millis(650);
/// Time until the listener's backlog is tried again when no file descriptor was free.
const ACCEPT_RETRY_INTERVAL: Span = Span::from_millis(20);

/// State of the listener and of a graceful shutdown.
pub struct Stop {
    /// When the stop was requested.
    begun_at: Option<Moment>,
    /// Connections are no longer accepted or kept open.
    closed: bool,
    /// Accepting is paused because no descriptor was free.
    accept_paused: bool,
    listener: Option<(Rc<TcpListener>, RegistrationToken)>,
    /// After the grace period: how many more connections are accepted from the backlog. The bound keeps a steady stream
    /// of clients from delaying the stop.
    pub backlog_left: Option<usize>,
}

impl Stop {
    /// Wraps a listener that is registered with the event loop under `token`.
    pub fn new(listener: Rc<TcpListener>, token: RegistrationToken) -> Self {
        Self {
            begun_at: None,
            closed: false,
            accept_paused: false,
            listener: Some((listener, token)),
            backlog_left: None,
        }
    }

    /// Notes that no descriptor was free for another connection.
    pub fn pause_accepting(&mut self) {
        self.accept_paused = true;
    }

    /// Returns whether a stop was requested; from then on each connection is closed after its response.
    pub fn has_begun(&self) -> bool {
        self.begun_at.is_some()
    }

    /// Returns whether the grace period is over and idle connections are closed.
    pub fn is_closed(&self) -> bool {
        self.closed
    }

    /// Returns whether a request that is complete now is too late to be answered before the process may be killed.
    pub fn is_late(&self, now: Moment) -> bool {
        self.begun_at.is_some_and(|begun| now.since(begun) > LATE_REQUEST_AFTER)
    }
}

impl Sockets {
    /// Begins a graceful shutdown; further calls have no effect.
    pub fn stop(&mut self) {
        if self.stop.begun_at.is_none() {
            let now = self.clock.now();
            self.stop.begun_at = Some(now);
            info!(jobs = self.jobs.open.len(), clients = self.clients.len(), "stopping");
            self.timers.schedule(now + ACCEPT_GRACE, TimerKind::StopAccepting);
        }
    }

    /// Resumes accepting connections once descriptors are free.
    pub fn resume_accepting(&mut self) {
        if self.stop.accept_paused && self.may_accept() {
            self.stop.accept_paused = false;
            let enabled = self.stop.listener.as_ref().map(|(_, token)| self.handle.enable(token));
            if let Some(Err(error)) = enabled {
                // Tried again in the next iteration of the event loop.
                self.stop.accept_paused = true;
                info!(%error, "could not resume accepting connections; trying again");
            }
        }
    }

    /// Closes the listener and idle connections. The kernel has already completed the connections in the listener's
    /// backlog, perhaps with whole requests, and would reset them if the listener were closed. So they are accepted
    /// first, as descriptors become free.
    pub fn close(&mut self) {
        let now = self.clock.now();
        // The kernel queues one connection more than the configured backlog.
        self.stop.backlog_left.get_or_insert(BACKLOG as usize + 1);
        if let Some((listener, token)) = self.stop.listener.take() {
            if !self.accept_all(&listener) {
                self.stop.listener = Some((listener, token));
                self.timers.schedule(now + ACCEPT_RETRY_INTERVAL, TimerKind::StopAccepting);
                return self.end_idle_clients();
            }
            self.handle.remove(token);
        }
        self.stop.closed = true;
        if let Some(peers) = &mut self.peers {
            peers.leave(now);
        }
        self.end_idle_clients();
    }
}

/// Returns whether the shutdown is complete: no client connection is left.
pub fn is_finished(limiter: &Limiter) -> bool {
    limiter.host.stop.closed && limiter.host.clients.is_empty()
}
