//! Property test of the five rules of the `choice` module: two or thirty gateways handle generated sequences of
//! events, with a counter that returns wrong totals, while a simple model checks every action.

mod common;

use common::*;
use fennelgauge::choice::Gateway;
use fennelgauge::host::*;
use fennelgauge::time::{Moment, Span};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::collections::BTreeMap;

/// A job that arrived, as the model knows it.
struct ModelJob {
    arrival: Arrival,
    answered: bool,
    /// Server and start of the relay in progress.
    in_progress: Option<(ServerId, Moment)>,
    relays: usize,
    /// Server and start of each ended relay that may have run.
    may_have_run: Vec<(ServerId, Moment)>,
}

/// The gateways, and everything around them that the rules depend on.
struct World {
    gateways: Vec<(Gateway<RecordingHost>, RecordingHost)>,
    /// All jobs, with the index of their gateway.
    jobs: BTreeMap<JobId, (usize, ModelJob)>,
    /// Due time, gateway and id of each timer.
    timers: Vec<(Moment, usize, u64)>,
    /// Counter calls without a reply yet.
    calls: Vec<(usize, CounterKey)>,
    health: BTreeMap<ServerId, Health>,
    /// The server that was restarted, and when.
    cold: Option<(ServerId, Moment)>,
    /// Times and units of the jobs sent to the cold server.
    sent_cold: Vec<(Moment, f64)>,
    /// Units left of the ceiling at a time.
    ceiling_left: (f64, Moment),
    now: Moment,
    /// Number of gateway restarts.
    restarts: u64,
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
            sent_cold: Vec::new(),
            ceiling_left: (CEILING.burst, at(0)),
            now: at(0),
            restarts: 0,
        };
        world.check_actions();
        world
    }

    /// Checks all new actions against the rules.
    fn check_actions(&mut self) {
        for index in 0..self.gateways.len() {
            for action in self.gateways[index].1.take() {
                match action {
                    Action::AddToPeerCount(..) => unreachable!("the host of this test has no peer counts"),
                    Action::SetTimer(after, timer_id) => {
                        self.timers.push((self.now + after, index, timer_id))
                    }
                    Action::AddToCounter(key, amount) => {
                        assert!(amount.is_finite());
                        self.calls.push((index, key));
                    }
                    Action::Relay(job, server, timeout) => self.check_relay(index, job, server, timeout),
                    Action::CancelRelay(job, _) => assert!(self.jobs.contains_key(&job)),
                    Action::Reject(job) | Action::Fail(job) => self.check_answer(index, job, action),
                }
            }
        }
    }

    fn check_relay(&mut self, index: usize, id: JobId, server: ServerId, timeout: Span) {
        let (owner, job) = self.jobs.get_mut(&id).expect("a known job");
        assert_eq!(*owner, index);
        assert!(!job.answered, "rule 1: relay after the final answer");
        assert!(self.now + timeout <= job.arrival.abandon_at, "rule 1: relay outlives its job");
        assert_eq!(job.in_progress, None, "two relays at once");
        assert_eq!(self.health[&server], Health::Ready, "rule 3");
        for &(before, sent) in &job.may_have_run {
            match deployment().classes[job.arrival.class].repeat {
                RepeatPolicy::Idempotent => {}
                RepeatPolicy::NonIdempotent => panic!("rule 2: job that must not repeat sent again"),
                RepeatPolicy::Deduplicated(scope, window) => {
                    assert!(self.now.since(sent) < window, "rule 2: repeat window");
                    assert!(
                        scope == DedupScope::All || before % 2 == server % 2,
                        "rule 2: scope of deduplication"
                    );
                }
            }
        }
        if job.relays == 0 && job.arrival.plan == 2 {
            let filled = self.ceiling_left.0 + CEILING.rate * self.now.since(self.ceiling_left.1).secs();
            self.ceiling_left = (filled.min(CEILING.burst) - job.arrival.units, self.now);
            assert!(self.ceiling_left.0 >= -CEILING.slack, "rule 5: {}", self.ceiling_left.0);
        }
        if self.cold.is_some_and(|cold| cold.0 == server) {
            self.sent_cold.push((self.now, job.arrival.units));
        }
        job.relays += 1;
        job.in_progress = Some((server, self.now));
    }

    fn check_answer(&mut self, index: usize, id: JobId, action: Action) {
        let (owner, job) = self.jobs.get_mut(&id).expect("a known job");
        assert!(*owner == index && !job.answered, "rule 1: two final answers");
        assert!(self.now <= job.arrival.abandon_at, "rule 1: answer after the abandon time");
        job.answered = true;
        let safe = deployment().classes[job.arrival.class].repeat.is_safe();
        let not_run = job.may_have_run.is_empty() && job.in_progress.is_none();
        assert!(action == Action::Fail(id) || safe || not_run, "rule 2: rejected although it may have run");
    }

    fn end_relay(&mut self, id: JobId, outcome: Outcome) {
        let Some((index, job)) = self.jobs.get_mut(&id) else { return };
        let Some((server, sent)) = job.in_progress.take() else { return };
        if !matches!(outcome, Outcome::Full | Outcome::ConnectFailed | Outcome::NotSent) {
            job.may_have_run.push((server, sent));
        }
        job.answered |= outcome == Outcome::Succeeded;
        let took = self.now.since(sent).micros() / 1_000;
        self.gateways[*index].0.relay_ended(self.now, end(id, server, outcome, took));
        self.check_actions();
    }

    fn advance(&mut self, span: Span) {
        let until = self.now + span;
        while self.now < until {
            self.now = self.now + Span::from_millis(2);
            let now = self.now;
            let due: Vec<_> = self.timers.iter().copied().filter(|timer| timer.0 <= now).collect();
            self.timers.retain(|timer| timer.0 > now);
            for (_, index, timer_id) in due {
                self.gateways[index].0.timer_fired(now, timer_id);
                self.check_actions();
            }
            let is_overdue = |job: &ModelJob| {
                job.in_progress.is_some() && now + Span::from_millis(4) >= job.arrival.abandon_at
            };
            let overdue: Vec<JobId> =
                self.jobs.iter().filter(|(_, job)| is_overdue(&job.1)).map(|(id, _)| *id).collect();
            overdue.into_iter().for_each(|id| self.end_relay(id, Outcome::TimedOut));
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
        self.restarts += 1;
        self.jobs.retain(|_, job| job.0 != index);
        self.timers.retain(|timer| timer.1 != index);
        self.calls.retain(|call| call.0 != index);
        let cold = self.cold;
        let started = |id| cold.filter(|cold| cold.0 == id).map(|cold| cold.1);
        let list: Vec<_> = self.health.iter().map(|(id, health)| entry(*id, *health, started(*id))).collect();
        let host = self.gateways[index].1.clone();
        let (gateways, own_index) = (self.gateways.len() as u32, index as u32);
        let deployment = Deployment { gateway_count: gateways, own_index, ..deployment() };
        self.gateways[index].0 = Gateway::start(self.now, host, deployment, self.restarts);
        self.gateways[index].0.roster_replaced(self.now, list.into_iter());
        self.check_actions();
    }

    fn change_roster(&mut self, server: ServerId, health: Health, started: Option<Moment>) {
        self.health.insert(server, health);
        for index in 0..self.gateways.len() {
            self.gateways[index].0.roster_changed(self.now, [entry(server, health, started)].into_iter());
            self.check_actions();
        }
    }

    fn generate_event(&mut self, random: u32) {
        let (kind, a, b) = (random % 16, (random >> 4) % 97, (random >> 12) % 89);
        let index = a as usize % self.gateways.len();
        match kind {
            0..=5 => {
                let id = 1 + self.jobs.len() as u64 + self.restarts * 100_000;
                let abandon = self.now + Span::from_millis(u64::from(40 + 20 * b));
                let (class, plan) = ((a % 4) as usize, [0, 1, 2, 2][(b % 4) as usize]);
                let set_size = self.gateways.len() as u32;
                let arrival = Arrival {
                    gateway_set_size: set_size,
                    ..arrival(id, class, plan, f64::from(1 + a % 4), abandon)
                };
                let job = ModelJob {
                    arrival,
                    answered: false,
                    in_progress: None,
                    relays: 0,
                    may_have_run: Vec::new(),
                };
                self.jobs.insert(id, (index, job));
                self.gateways[index].0.job_arrived(self.now, arrival);
                self.check_actions();
            }
            6..=9 => {
                let relayed: Vec<JobId> =
                    self.jobs.iter().filter(|job| job.1 .1.in_progress.is_some()).map(|job| *job.0).collect();
                let first = [
                    Outcome::Succeeded,
                    Outcome::Succeeded,
                    Outcome::Error,
                    Outcome::Full,
                    Outcome::TimedOut,
                ];
                let others = [Outcome::ConnectFailed, Outcome::Reset, Outcome::Cancelled, Outcome::Succeeded];
                let outcome =
                    *first.iter().chain(&others).cycle().nth(b as usize).expect("a cycle is infinite");
                if let Some(id) = relayed.get(a as usize % relayed.len().max(1)) {
                    self.end_relay(*id, outcome);
                }
            }
            10..=12 if !self.calls.is_empty() => {
                let (index, key) = self.calls.remove(0);
                let (total, outcome) = match b % 6 {
                    0 => (None, Outcome::TimedOut),
                    1 => (None, Outcome::Full),
                    2 => (Some(0.0), Outcome::Succeeded),
                    3 => (Some(-1e6), Outcome::Succeeded),
                    4 => (Some(1e6), Outcome::Succeeded),
                    _ => (Some(f64::from(a % 12)), Outcome::Succeeded),
                };
                self.gateways[index].0.counter_replied(self.now, key, total, outcome);
                self.check_actions();
            }
            13 if b < 8 => self.restart(index),
            14 if b < 20 => {
                let health = [Health::Ready, Health::Draining, Health::Gone][(a % 3) as usize];
                if self.cold.is_none_or(|cold| cold.0 != b % SERVERS) {
                    self.change_roster(b % SERVERS, health, None);
                }
            }
            15 if b < 4 && self.cold.is_none() => {
                self.cold = Some((b, self.now));
                self.change_roster(b, Health::Ready, Some(self.now));
            }
            _ => self.advance(Span::from_millis(u64::from(2 + a / 2))),
        }
    }

    /// Rule 4: within no overload window does the cold server get more than the permitted multiple of its capacity,
    /// plus one job per gateway. The warm capacity is taken to be at most `sent_warm`, what was sent to warm
    /// servers.
    fn check_cold(&self, sent_warm: f64) {
        let cold = deployment().cold_start;
        let Some((_, started)) = self.cold else { return };
        for &(from, _) in &self.sent_cold {
            let to = from + cold.overload_window;
            let within = self.sent_cold.iter().filter(|sent| sent.0 >= from && sent.0 <= to);
            let sum: f64 = within.map(|sent| sent.1).sum();
            let age = to.since(started).secs() / cold.warm_after.secs();
            let warmth = (cold.initial_share + (1.0 - cold.initial_share) * age).min(1.0);
            assert!(age > 1.0 || sum <= cold.overload_multiple * warmth * sent_warm + 8.0, "rule 4: {sum}");
        }
    }
}

#[test]
fn the_rules_hold_for_generated_events() {
    let config = Config { cases: 300, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha));
    let events_strategy = proptest::collection::vec(any::<u32>(), 100..700);
    let outcome = runner.run(&events_strategy, |events| {
        let gateways = if events[0] % 2 == 0 { 2 } else { 30 };
        let mut world = World::new(gateways);
        events.into_iter().for_each(|random| world.generate_event(random));
        world.advance(Span::from_millis(2_500));
        // Upper bound of what one warm server can have answered within a window, from all that was sent.
        let units: f64 = world.jobs.values().map(|job| job.1.arrival.units).sum();
        world.check_cold(units / 3.0);
        Ok(())
    });
    outcome.unwrap_or_else(|error| panic!("{error}"));
}
