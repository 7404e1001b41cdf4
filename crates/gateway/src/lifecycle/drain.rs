//! The planned stop: new connections are taken for a while, all jobs are answered, then the gateway ends.

use crate::lifecycle::run::BACKLOG;
use crate::memory::timers::Due;
use crate::sockets::{Limiter, Sockets};
use calloop::RegistrationToken;
use fennelgauge::time::{Moment, Span};
use std::net::TcpListener;
use std::rc::Rc;
use tracing::info;

/// Clients that have not heard of the stop still connect for up to 0.4 s.
const TAKEN: Span = Span::from_millis(500);
/// A request that comes whole later than this after the stop began is refused at once: the process may be killed
/// before the job's own time is over, for those taken up to 0.7 s after it began no sooner. Clients in the middle of a
/// request when connections are ended can come so late.
const LAST: Span = Span::from_millis(650);
/// With no descriptor left, connections that wait at the listener are looked for again after this.
const AGAIN: Span = Span::from_millis(20);

pub struct Stop {
    begun: Option<Moment>,
    closed: bool,
    /// No descriptor was left for a further connection.
    shut: bool,
    listener: Option<(Rc<TcpListener>, RegistrationToken)>,
    /// Once no new connections are wanted: how many of those that waited then may be left. Clients that come without
    /// end must not keep a stopping gateway at its listener.
    pub waiting: Option<usize>,
}

impl Stop {
    pub fn new(listener: Rc<TcpListener>, token: RegistrationToken) -> Self {
        Self { begun: None, closed: false, shut: false, listener: Some((listener, token)), waiting: None }
    }

    pub fn door_is_shut(&mut self) {
        self.shut = true;
    }

    /// Answers end their connections from now on.
    pub fn begun(&self) -> bool {
        self.begun.is_some()
    }

    /// No connection is kept any more.
    pub fn closed(&self) -> bool {
        self.closed
    }

    /// A request that comes whole now may find no time for its answer.
    pub fn is_late(&self, now: Moment) -> bool {
        self.begun.is_some_and(|begun| now.since(begun) > LAST)
    }
}

impl Sockets {
    pub fn stop(&mut self) {
        if self.stop.begun.is_none() {
            let now = self.clock.now();
            self.stop.begun = Some(now);
            info!(jobs = self.jobs.open.len(), clients = self.clients.len(), "stopping");
            self.timers.set(now + TAKEN, Due::Closed);
        }
    }

    /// Takes connections in again once there is room.
    pub fn open_door(&mut self) {
        if self.stop.shut && self.may_accept() {
            self.stop.shut = false;
            let opened = self.stop.listener.as_ref().map(|(_, token)| self.handle.enable(token));
            if let Some(Err(error)) = opened {
                // Tried again at the next turn.
                self.stop.shut = true;
                info!(%error, "the listener could not be opened again");
            }
        }
    }

    /// Ends what is not wanted any more. The machine has accepted what waits at the listener, whole requests with
    /// it: closed over them, it would reset them. They are taken in first, as descriptors are given back.
    pub fn close(&mut self) {
        let now = self.clock.now();
        // The system keeps one more than it was told.
        self.stop.waiting.get_or_insert(BACKLOG as usize + 1);
        if let Some((listener, token)) = self.stop.listener.take() {
            if !self.accept_all(&listener) {
                self.stop.listener = Some((listener, token));
                self.timers.set(now + AGAIN, Due::Closed);
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

/// Nothing is owed to anybody any more.
pub fn is_over(limiter: &Limiter) -> bool {
    limiter.host.stop.closed && limiter.host.clients.is_empty()
}
