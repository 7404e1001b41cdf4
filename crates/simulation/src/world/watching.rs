//! The settings' seeds, and the requests of the watchers.

use std::net::SocketAddr;

use super::{Event, World, START_SPREAD};
use crate::day::Micros;
use crate::network::Network;
use crate::watcher::{WatchReply, CONFIRMATION_TTL, REPLY_TIMEOUT};

/// Number of seeds in the settings.
const SEED_COUNT: usize = 3;

impl World<'_> {
    /// Returns the seeds that the settings name now, without machines that were removed. `reader` is the machine that reads
    /// its settings.
    pub(super) fn seeds_in_settings(&self, reader: Option<usize>) -> Vec<SocketAddr> {
        if self.now <= START_SPREAD {
            return self.first_seeds.clone();
        }
        let is_there = |machine: &usize| self.machines.get(*machine).is_some_and(|it| !it.removed);
        let named = self.new_seeds.iter().flatten().copied().filter(is_there);
        let named: Vec<SocketAddr> = named.map(Network::address).collect();
        if !named.is_empty() {
            return named;
        }
        let others = (0..self.machines.len()).filter(is_there).filter(|machine| Some(*machine) != reader);
        others.map(Network::address).take(SEED_COUNT).collect()
    }

    /// Returns the machine on which a watcher runs, if it belongs to a control plane without a disk.
    fn host(&self, watcher: usize) -> Option<usize> {
        Some(self.watchers[watcher].node).filter(|node| *node < self.machines.len())
    }

    /// Returns the watcher of a control plane without a disk.
    fn watcher_on(&self, machine: usize) -> Option<usize> {
        (0..self.watchers.len()).find(|watcher| self.watchers[*watcher].node == machine)
    }

    /// Sends the next request of a watcher.
    pub(super) fn watch(&mut self, watcher: usize) {
        if let Some(process) = self.host(watcher).and_then(|host| self.machines[host].process.as_ref()) {
            let own = process.watch_reply();
            own.view.iter().for_each(|view| self.watchers[watcher].learn_view(view));
        }
        let seeds = self.seeds_in_settings(None);
        let asking = &self.watchers[watcher];
        let (node, attempt) = (asking.node, asking.attempt);
        let source = asking.source(seeds).map(Network::machine);
        self.schedule(self.now + REPLY_TIMEOUT, Event::WatchReply { watcher, attempt, reply: None });
        let Some(source) = source else { return };
        for time in self.network.arrivals(self.now, node, source, &mut self.rng) {
            self.schedule(time, Event::WatchRequest { machine: source, watcher, attempt });
        }
    }

    /// Replies to a watcher what a machine knows; a frozen machine replies later.
    pub(super) fn answer_watcher(&mut self, machine: usize, watcher: usize, attempt: u64) {
        let Some(asked) = self.machines.get(machine) else { return };
        if self.now < asked.frozen_until {
            let at = asked.frozen_until;
            return self.schedule(at, Event::WatchRequest { machine, watcher, attempt });
        }
        let Some(process) = &asked.process else { return };
        let mut reply = process.watch_reply();
        if let Some(own_watcher) = self.watcher_on(machine) {
            let learned = self.watchers[own_watcher].reply();
            let epoch = |reply: &WatchReply| reply.view.as_ref().map_or(0, |view| view.epoch);
            if epoch(&learned) > epoch(&reply) {
                reply.view = learned.view;
            }
            reply.confirmed_at = reply.confirmed_at.max(learned.confirmed_at);
        }
        let node = self.watchers[watcher].node;
        for time in self.network.arrivals(self.now, machine, node, &mut self.rng) {
            self.schedule(time, Event::WatchReply { watcher, attempt, reply: Some(reply.clone()) });
        }
    }

    /// Hands a reply, or the lack of one, to a watcher.
    pub(super) fn take_reply(&mut self, watcher: usize, attempt: u64, reply: Option<WatchReply>) {
        if self.watchers[watcher].attempt != attempt {
            return;
        }
        let pause = self.watchers[watcher].handle_reply(self.now, reply);
        self.schedule(self.now + pause, Event::Watch { watcher });
    }

    /// Ends all watchers; they start again after `outage`.
    pub(super) fn restart_watchers(&mut self, outage: Micros) {
        for watcher in 0..self.watchers.len() {
            self.watchers[watcher].restart();
            self.schedule(self.now + outage, Event::Watch { watcher });
        }
    }

    /// Checks that each watcher knows the newest view, of this epoch, and has a source that is in touch with the core.
    pub(super) fn check_watchers(&mut self, epoch: u64) {
        let oldest_confirmation = self.now.saturating_sub(2 * CONFIRMATION_TTL);
        for watcher in &self.watchers {
            let is_in_touch = watcher.confirmed_at().is_some_and(|at| at >= oldest_confirmation);
            if watcher.epoch() < epoch || !is_in_touch {
                let description = format!(
                    "process {} knows view {} of {epoch}, confirmed at {:?} us",
                    watcher.node,
                    watcher.epoch(),
                    watcher.confirmed_at()
                );
                self.checker.record_lost_watcher(self.now, description);
            }
        }
    }
}
