//! Discovery: the list of servers, and one agent for each limiter that hears of changes late, each at its own
//! time, so that lists differ between limiters for a while.

use crate::chance::{of, Use};
use crate::scenario::Scenario;
use fennelgauge::host::{Health, RosterEntry, ServerId};
use fennelgauge::time::{Moment, Span};
use rand::RngExt;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

#[derive(Clone, Debug, Default)]
struct Agent {
    /// How many changes it has heard of, and when it hears of the next ones.
    heard: usize,
    coming: VecDeque<Moment>,
    late: Span,
    silent: bool,
}

#[derive(Clone, Debug)]
pub struct Discovery {
    seed: u64,
    delay: [Span; 2],
    /// Every change so far; a version is how many of them are known.
    changes: Vec<RosterEntry>,
    agents: Vec<Agent>,
}

impl Discovery {
    /// All agents know the list that there is at first.
    pub fn new(scenario: &Scenario, first: Vec<RosterEntry>) -> Self {
        let agent = Agent { heard: first.len(), ..Agent::default() };
        Self {
            seed: scenario.seed,
            delay: scenario.discovery.delay_ms.map(|it| Span::from_secs(it / 1e3)),
            changes: first,
            agents: vec![agent; scenario.deployment.gateways as usize],
        }
    }

    /// Something has changed; every agent hears of it later, in the order of changes.
    pub fn change(&mut self, now: Moment, entry: RosterEntry) {
        let [least, most] = self.delay;
        let version = self.changes.len() as u64;
        for (number, agent) in self.agents.iter_mut().enumerate() {
            let drawn = of(self.seed, Use::World, version << 32 | number as u64 | 1 << 60).random::<f64>();
            let due =
                now + least + Span::from_micros(most.micros() - least.micros()).times(drawn) + agent.late;
            agent.coming.push_back(agent.coming.back().map_or(due, |last| due.max(*last)));
        }
        self.changes.push(entry);
    }

    pub fn late(&mut self, gateways: &BTreeSet<u32>, late: Span) {
        self.agents.iter_mut().enumerate().for_each(|(number, agent)| {
            if gateways.is_empty() || gateways.contains(&(number as u32)) {
                agent.late = late;
            }
        });
    }

    pub fn silence(&mut self, gateways: &BTreeSet<u32>, silent: bool) {
        for number in gateways {
            if let Some(agent) = self.agents.get_mut(*number as usize) {
                agent.silent = silent;
            }
        }
    }

    /// When an agent next hears of something.
    pub fn next(&self, gateway: u32) -> Option<Moment> {
        self.agents.get(gateway as usize)?.coming.front().copied()
    }

    /// The agent takes in what has reached it; returns its version.
    pub fn hear(&mut self, gateway: u32, now: Moment) -> usize {
        let Some(agent) = self.agents.get_mut(gateway as usize) else { return 0 };
        while agent.coming.front().is_some_and(|due| *due <= now) {
            agent.coming.pop_front();
            agent.heard += 1;
        }
        agent.heard
    }

    /// Nothing is said to that limiter for now.
    pub fn is_silent(&self, gateway: u32) -> bool {
        self.agents.get(gateway as usize).is_some_and(|agent| agent.silent)
    }

    /// The latest word on each server among the changes from one version to another, those gone too.
    pub fn between(&self, from: usize, to: usize) -> Vec<RosterEntry> {
        let to = to.min(self.changes.len());
        let changes = self.changes[from.min(to)..to].iter();
        let latest: BTreeMap<ServerId, RosterEntry> = changes.map(|entry| (entry.server, *entry)).collect();
        latest.into_values().collect()
    }

    /// The whole list as of a version: what is gone is not on it.
    pub fn whole(&self, version: usize) -> Vec<RosterEntry> {
        let mut entries = self.between(0, version);
        entries.retain(|entry| entry.health != Health::Gone);
        entries
    }
}
