//! The planned stop: new connections are taken for a while, all jobs are answered, then the gateway ends.

use crate::memory::timers::Due;
use crate::sockets::{Limiter, Sockets};
use calloop::RegistrationToken;
use fennelgauge::time::Span;
use tracing::info;

/// Clients that have not heard of the stop still connect for up to 0.4 s.
const TAKEN: Span = Span::from_millis(500);

#[derive(Default)]
pub struct Stop {
    begun: bool,
    closed: bool,
    /// No descriptor was left for a further connection.
    shut: bool,
    listener: Option<RegistrationToken>,
}

impl Stop {
    pub fn new(listener: RegistrationToken) -> Self {
        Self { listener: Some(listener), ..Self::default() }
    }

    pub fn door_is_shut(&mut self) {
        self.shut = true;
    }

    /// Answers end their connections from now on.
    pub fn begun(&self) -> bool {
        self.begun
    }
}

impl Sockets {
    pub fn stop(&mut self) {
        if !std::mem::replace(&mut self.stop.begun, true) {
            info!(jobs = self.jobs.open.len(), clients = self.clients.len(), "stopping");
            self.timers.set(self.clock.now() + TAKEN, Due::Closed);
        }
    }

    /// Takes connections in again once there is room.
    pub fn open_door(&mut self) {
        if self.stop.shut && self.may_accept() {
            self.stop.shut = false;
            let opened = self.stop.listener.as_ref().map(|token| self.handle.enable(token));
            if let Some(Err(error)) = opened {
                // Tried again at the next turn.
                self.stop.shut = true;
                info!(%error, "the listener could not be opened again");
            }
        }
    }

    pub fn close(&mut self) {
        self.stop.closed = true;
        let now = self.clock.now();
        if let Some(peers) = &mut self.peers {
            peers.leave(now);
        }
        if let Some(token) = self.stop.listener.take() {
            self.handle.remove(token);
        }
        self.end_idle_clients();
    }
}

/// Nothing is owed to anybody any more.
pub fn is_over(limiter: &Limiter) -> bool {
    limiter.host.stop.closed && limiter.host.clients.is_empty()
}
