//! A slow, plain model of the five rules beside two gateways, or thirty, on generated days with a counter
//! that lies.

mod common;

use common::*;
use fennelgauge::choice::Gateway;
use fennelgauge::host::*;
use fennelgauge::time::{Moment, Span};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::collections::BTreeMap;

struct Taken {
    arrival: Arrival,
    answered: bool,
    out: Option<(ServerId, Moment)>,
    relays: usize,
    /// Each relay that may have run.
    ran: Vec<(ServerId, Moment)>,
}

struct World {
    gateways: Vec<(Gateway<Notes>, Notes)>,
    jobs: BTreeMap<JobId, (usize, Taken)>,
    timers: Vec<(Moment, usize, u64)>,
    calls: Vec<(usize, CounterKey)>,
    health: BTreeMap<ServerId, Health>,
    cold: Option<(ServerId, Moment)>,
    pushed: Vec<(Moment, f64)>,
    store: (f64, Moment),
    now: Moment,
    lives: u64,
}

const SERVERS: u32 = 4;

impl World {
    fn new(gateways: u32) -> Self {
        let start =
            |own_index| gateway(Deployment { gateway_count: gateways, own_index, ..deployment() }, SERVERS);
        let mut world = Self {
            gateways: (0..gateways).map(start).collect(),
            jobs: BTreeMap::new(),
            timers: Vec::new(),
            calls: Vec::new(),
            health: (0..SERVERS).map(|id| (id, Health::Ready)).collect(),
            cold: None,
            pushed: Vec::new(),
            store: (CEILING.burst, at(0)),
            now: at(0),
            lives: 0,
        };
        world.note();
        world
    }

    /// Checks every act against the rules.
    fn note(&mut self) {
        for index in 0..self.gateways.len() {
            for act in self.gateways[index].1.take() {
                match act {
                    Act::Among(..) => unreachable!("no gateway here counts among others"),
                    Act::Wake(after, mark) => self.timers.push((self.now + after, index, mark)),
                    Act::Add(name, amount) => {
                        assert!(amount.is_finite());
                        self.calls.push((index, name));
                    }
                    Act::Relay(job, server, patience) => self.relayed(index, job, server, patience),
                    Act::Withdraw(job, _) => assert!(self.jobs.contains_key(&job)),
                    Act::Dismiss(job) | Act::Forfeit(job) => self.finished(index, job, act),
                }
            }
        }
    }

    fn relayed(&mut self, index: usize, id: JobId, server: ServerId, patience: Span) {
        let (owner, job) = self.jobs.get_mut(&id).expect("a job that was taken");
        assert_eq!(*owner, index);
        assert!(!job.answered, "rule 1: relay after the final answer");
        assert!(self.now + patience <= job.arrival.abandon_at, "rule 1: relay outlives its job");
        assert_eq!(job.out, None, "two relays at once");
        assert_eq!(self.health[&server], Health::Ready, "rule 3");
        for &(before, sent) in &job.ran {
            match deployment().classes[job.arrival.class].repeat {
                RepeatPolicy::Idempotent => {}
                RepeatPolicy::NonIdempotent => panic!("rule 2: effectful job sent again"),
                RepeatPolicy::Deduplicated(group, window) => {
                    assert!(self.now.since(sent) < window, "rule 2: repeat window");
                    assert!(group == DedupScope::All || before % 2 == server % 2, "rule 2: group");
                }
            }
        }
        if job.relays == 0 && job.arrival.plan == 2 {
            let filled = self.store.0 + CEILING.rate * self.now.since(self.store.1).secs();
            self.store = (filled.min(CEILING.burst) - job.arrival.units, self.now);
            assert!(self.store.0 >= -CEILING.slack, "rule 5: {}", self.store.0);
        }
        if self.cold.is_some_and(|cold| cold.0 == server) {
            self.pushed.push((self.now, job.arrival.units));
        }
        job.relays += 1;
        job.out = Some((server, self.now));
    }

    fn finished(&mut self, index: usize, id: JobId, act: Act) {
        let (owner, job) = self.jobs.get_mut(&id).expect("a job that was taken");
        assert!(*owner == index && !job.answered, "rule 1: two final answers");
        assert!(self.now <= job.arrival.abandon_at, "rule 1: late");
        job.answered = true;
        let free = deployment().classes[job.arrival.class].repeat.is_safe();
        let unrun = job.ran.is_empty() && job.out.is_none();
        assert!(act == Act::Forfeit(id) || free || unrun, "rule 2: dismissed though it may have run");
    }

    fn end_relay(&mut self, id: JobId, outcome: Outcome) {
        let Some((index, job)) = self.jobs.get_mut(&id) else { return };
        let Some((server, sent)) = job.out.take() else { return };
        if !matches!(outcome, Outcome::Full | Outcome::ConnectFailed | Outcome::NotSent) {
            job.ran.push((server, sent));
        }
        job.answered |= outcome == Outcome::Succeeded;
        let took = self.now.since(sent).micros() / 1_000;
        self.gateways[*index].0.relay_ended(self.now, end(id, server, outcome, took));
        self.note();
    }

    fn advance(&mut self, span: Span) {
        let until = self.now + span;
        while self.now < until {
            self.now = self.now + Span::from_millis(2);
            let now = self.now;
            let due: Vec<_> = self.timers.iter().copied().filter(|timer| timer.0 <= now).collect();
            self.timers.retain(|timer| timer.0 > now);
            for (_, index, mark) in due {
                self.gateways[index].0.timer_fired(now, mark);
                self.note();
            }
            let over =
                |job: &Taken| job.out.is_some() && now + Span::from_millis(4) >= job.arrival.abandon_at;
            let late: Vec<JobId> =
                self.jobs.iter().filter(|(_, job)| over(&job.1)).map(|(id, _)| *id).collect();
            late.into_iter().for_each(|id| self.end_relay(id, Outcome::TimedOut));
            for (_, job) in self.jobs.values() {
                assert!(
                    job.answered || now <= job.arrival.abandon_at,
                    "rule 1: no answer for {:?}",
                    job.arrival
                );
            }
        }
    }

    fn restart(&mut self, index: usize) {
        self.lives += 1;
        self.jobs.retain(|_, job| job.0 != index);
        self.timers.retain(|timer| timer.1 != index);
        self.calls.retain(|call| call.0 != index);
        let cold = self.cold;
        let started = |id| cold.filter(|cold| cold.0 == id).map(|cold| cold.1);
        let list: Vec<_> = self.health.iter().map(|(id, health)| entry(*id, *health, started(*id))).collect();
        let notes = self.gateways[index].1.clone();
        let (gateways, own_index) = (self.gateways.len() as u32, index as u32);
        let deployment = Deployment { gateway_count: gateways, own_index, ..deployment() };
        self.gateways[index].0 = Gateway::start(self.now, notes, deployment, self.lives);
        self.gateways[index].0.roster_replaced(self.now, list.into_iter());
        self.note();
    }

    fn change(&mut self, server: ServerId, health: Health, started: Option<Moment>) {
        self.health.insert(server, health);
        for index in 0..self.gateways.len() {
            self.gateways[index].0.roster_changed(self.now, [entry(server, health, started)].into_iter());
            self.note();
        }
    }

    fn step(&mut self, dice: u32) {
        let (kind, a, b) = (dice % 16, (dice >> 4) % 97, (dice >> 12) % 89);
        let index = a as usize % self.gateways.len();
        match kind {
            0..=5 => {
                let id = 1 + self.jobs.len() as u64 + self.lives * 100_000;
                let abandon = self.now + Span::from_millis(u64::from(40 + 20 * b));
                let (band, plan) = ((a % 4) as usize, [0, 1, 2, 2][(b % 4) as usize]);
                let set_size = self.gateways.len() as u32;
                let arrival = Arrival {
                    gateway_set_size: set_size,
                    ..arrival(id, band, plan, f64::from(1 + a % 4), abandon)
                };
                let job = Taken { arrival, answered: false, out: None, relays: 0, ran: Vec::new() };
                self.jobs.insert(id, (index, job));
                self.gateways[index].0.job_arrived(self.now, arrival);
                self.note();
            }
            6..=9 => {
                let out: Vec<JobId> =
                    self.jobs.iter().filter(|job| job.1 .1.out.is_some()).map(|job| *job.0).collect();
                let fates = [
                    Outcome::Succeeded,
                    Outcome::Succeeded,
                    Outcome::Error,
                    Outcome::Full,
                    Outcome::TimedOut,
                ];
                let more = [Outcome::ConnectFailed, Outcome::Reset, Outcome::Cancelled, Outcome::Succeeded];
                let outcome = *fates.iter().chain(&more).cycle().nth(b as usize).expect("a cycle has no end");
                if let Some(id) = out.get(a as usize % out.len().max(1)) {
                    self.end_relay(*id, outcome);
                }
            }
            10..=12 if !self.calls.is_empty() => {
                let (index, name) = self.calls.remove(0);
                let (total, outcome) = match b % 6 {
                    0 => (None, Outcome::TimedOut),
                    1 => (None, Outcome::Full),
                    2 => (Some(0.0), Outcome::Succeeded),
                    3 => (Some(-1e6), Outcome::Succeeded),
                    4 => (Some(1e6), Outcome::Succeeded),
                    _ => (Some(f64::from(a % 12)), Outcome::Succeeded),
                };
                self.gateways[index].0.counter_replied(self.now, name, total, outcome);
                self.note();
            }
            13 if b < 8 => self.restart(index),
            14 if b < 20 => {
                let health = [Health::Ready, Health::Draining, Health::Gone][(a % 3) as usize];
                if self.cold.is_none_or(|cold| cold.0 != b % SERVERS) {
                    self.change(b % SERVERS, health, None);
                }
            }
            15 if b < 4 && self.cold.is_none() => {
                self.cold = Some((b, self.now));
                self.change(b, Health::Ready, Some(self.now));
            }
            _ => self.advance(Span::from_millis(u64::from(2 + a / 2))),
        }
    }

    /// Rule 4: no span gives a cold server more than the stated multiple of what it can do, were warm ones to
    /// carry no more than they are sent, but for one job a gateway.
    fn check_cold(&self, sent_warm: f64) {
        let cold = deployment().cold_start;
        let Some((_, started)) = self.cold else { return };
        for &(from, _) in &self.pushed {
            let to = from + cold.overload_window;
            let within = self.pushed.iter().filter(|push| push.0 >= from && push.0 <= to);
            let sum: f64 = within.map(|push| push.1).sum();
            let age = to.since(started).secs() / cold.warm_after.secs();
            let warmth = (cold.initial_share + (1.0 - cold.initial_share) * age).min(1.0);
            assert!(age > 1.0 || sum <= cold.overload_multiple * warmth * sent_warm + 8.0, "rule 4: {sum}");
        }
    }
}

#[test]
fn the_rules_hold_on_generated_days() {
    let config = Config { cases: 300, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha));
    let days = proptest::collection::vec(any::<u32>(), 100..700);
    let outcome = runner.run(&days, |day| {
        let gateways = if day[0] % 2 == 0 { 2 } else { 30 };
        let mut world = World::new(gateways);
        day.into_iter().for_each(|dice| world.step(dice));
        world.advance(Span::from_millis(2_500));
        // The most that one warm server can have answered well in a span, from all that was sent.
        let units: f64 = world.jobs.values().map(|job| job.1.arrival.units).sum();
        world.check_cold(units / 3.0);
        Ok(())
    });
    outcome.unwrap_or_else(|error| panic!("{error}"));
}
