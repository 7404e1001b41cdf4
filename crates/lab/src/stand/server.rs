//! A server: cores shared evenly by the jobs in work, a waiting room, a cold start, and what goes wrong with it.

use crate::scenario::{Cancel, Cold, Scenario};
use fennelgauge::time::{Moment, Span};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// A relay, by the number that the play gives it.
pub type RelayNumber = u64;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Taken {
    /// In work or waiting.
    In,
    /// Never looked at.
    TurnedAway,
    /// Failed at once.
    Failed,
}

/// While it warms, its pace is taken as even for so long.
const STEP: Span = Span::from_millis(50);

#[derive(Clone, Copy, Debug, PartialEq)]
struct Due(f64, RelayNumber);

impl Eq for Due {}
impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Due {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.0.total_cmp(&other.0).then(self.1.cmp(&other.1))
    }
}

#[derive(Clone, Debug)]
pub struct Server {
    cores: f64,
    speed: f64,
    slots: usize,
    room: usize,
    most_connections: u32,
    cancel: Cancel,
    cold: Cold,
    /// None: long ago.
    started: Option<Moment>,
    pub paused: bool,
    pub slow: f64,
    pub failing: f64,
    pub turns_away: bool,
    /// Work that each job in work has had since the beginning of all, in seconds of a core; and as of when.
    had: f64,
    at: Moment,
    /// Jobs in work by what `had` will be when they are done.
    works: BTreeSet<Due>,
    due: BTreeMap<RelayNumber, f64>,
    waits: VecDeque<(RelayNumber, f64)>,
    connections: u32,
}

impl Server {
    /// `rating` multiplies the cores, `speed` is the true one.
    pub fn new(scenario: &Scenario, rating: f64, speed: f64, started: Option<Moment>, now: Moment) -> Self {
        let figures = &scenario.servers;
        let cores = f64::from(figures.cores) * rating;
        Self {
            cores,
            speed,
            slots: (f64::from(figures.slots) * cores).ceil() as usize,
            room: (f64::from(figures.queue) * cores).ceil() as usize,
            most_connections: figures.connections,
            cancel: figures.cancel,
            cold: scenario.deployment.cold.clone(),
            started,
            paused: false,
            slow: 1.0,
            failing: 0.0,
            turns_away: false,
            had: 0.0,
            at: now,
            works: BTreeSet::new(),
            due: BTreeMap::new(),
            waits: VecDeque::new(),
            connections: 0,
        }
    }

    /// Seconds of work that it can do in a second when warm.
    pub fn capacity(&self) -> f64 {
        self.cores * self.speed
    }

    fn warmth(&self, now: Moment) -> f64 {
        let Some(started) = self.started else { return 1.0 };
        let part = now.since(started).secs() / self.cold.warm_after_s.max(0.001);
        (self.cold.share + (1.0 - self.cold.share) * part).min(1.0)
    }

    /// Work that one job in work gets in a second.
    fn pace(&self, now: Moment) -> f64 {
        if self.paused || self.works.is_empty() {
            return 0.0;
        }
        let each = (self.cores / self.works.len() as f64).min(1.0);
        each * self.speed * self.warmth(now) / self.slow.max(0.001)
    }

    /// Takes a relay in; `draw` from 0 to 1 decides whether a failing server fails it.
    pub fn arrives(&mut self, now: Moment, relay: RelayNumber, work: Span, draw: f64) -> Taken {
        if self.turns_away {
            return Taken::TurnedAway;
        }
        if draw < self.failing {
            return Taken::Failed;
        }
        if self.works.len() < self.slots {
            self.begin(relay, work.secs());
        } else if self.waits.len() < self.room {
            self.waits.push_back((relay, work.secs()));
        } else {
            return Taken::TurnedAway;
        }
        debug_assert!(self.at >= now || self.works.len() <= 1 || self.at == now, "advance first");
        Taken::In
    }

    fn begin(&mut self, relay: RelayNumber, work: f64) {
        let due = self.had + work;
        self.works.insert(Due(due, relay));
        self.due.insert(relay, due);
    }

    /// Its client has gone: what is not done is dropped as far as the server notices.
    pub fn leaves(&mut self, relay: RelayNumber) {
        if self.cancel != Cancel::None {
            self.waits.retain(|waiting| waiting.0 != relay);
        }
        if self.cancel == Cancel::All {
            if let Some(due) = self.due.remove(&relay) {
                self.works.remove(&Due(due, relay));
                self.take_waiting();
            }
        }
    }

    fn take_waiting(&mut self) {
        while self.works.len() < self.slots {
            let Some((relay, work)) = self.waits.pop_front() else { return };
            self.begin(relay, work);
        }
    }

    /// When [`Server::advance`] has something to do next.
    pub fn next(&self) -> Option<Moment> {
        let first = self.works.first()?;
        let pace = self.pace(self.at);
        if pace <= 0.0 {
            return None;
        }
        // Up to the next whole microsecond, so that it is done then.
        let left = Span::from_micros(((first.0 - self.had).max(0.0) / pace * 1e6).ceil() as u64);
        let step = if self.warmth(self.at) < 1.0 { left.min(STEP) } else { left };
        Some(self.at + step.max(Span::from_micros(1)))
    }

    /// Works until then; returns what was done, with the moments.
    pub fn advance(&mut self, now: Moment) -> Vec<(RelayNumber, Moment)> {
        let mut done = Vec::new();
        while self.at < now {
            let until = self.next().map_or(now, |next| next.min(now));
            self.had += self.pace(self.at) * until.since(self.at).secs();
            self.at = until;
            // A billionth of a second is lost in rounding.
            while let Some(first) = self.works.first().copied().filter(|it| it.0 <= self.had + 1e-9) {
                self.works.remove(&first);
                self.due.remove(&first.1);
                done.push((first.1, until));
                self.take_waiting();
            }
        }
        done
    }

    /// A connection is asked for; a full table takes no more.
    pub fn connects(&mut self) -> bool {
        self.connections += 1;
        self.connections <= self.most_connections
    }

    pub fn disconnects(&mut self) {
        self.connections = self.connections.saturating_sub(1);
    }

    pub fn connections(&self) -> u32 {
        self.connections
    }

    /// Jobs in work and waiting.
    pub fn holds(&self) -> usize {
        self.works.len() + self.waits.len()
    }
}

/// What the servers of a group remember of receipted jobs: a repeat within the window has no effect.
#[derive(Clone, Debug, Default)]
pub struct Receipts {
    seen: BTreeMap<(u64, u64), Moment>,
}

impl Receipts {
    /// True if it has an effect, which is remembered.
    pub fn effect(&mut self, group: u64, key: u64, now: Moment, window: Span) -> bool {
        if self.seen.len().is_power_of_two() {
            self.seen.retain(|_, at| now.since(*at) <= window);
        }
        let known = self.seen.get(&(group, key)).is_some_and(|at| now.since(*at) <= window);
        if !known {
            self.seen.insert((group, key), now);
        }
        !known
    }
}

#[cfg(test)]
mod tests;
