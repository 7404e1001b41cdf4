//! How many servers to order: more while answers are late, fewer while hardly any are. Pure.

use std::collections::BTreeMap;
use std::time::Duration;

use fennelgauge_model::Autoscale;

/// Above this part of late answers more servers are ordered.
const TOO_LATE: f64 = 0.12;
/// Below this part one server a zone is given up.
const WELL_IN_TIME: f64 = 0.02;
/// Fewer answers tell nothing.
const ENOUGH_ANSWERS: u64 = 40;
/// By so much a service grows at once.
const GROWTH: f64 = 0.25;
/// Answers must be in time for so long before a server is given up.
const CALM_FOR: Duration = Duration::from_secs(7);
/// After growth, nothing is given up for so long.
const KEPT_FOR: Duration = Duration::from_secs(60);
/// New servers need so long beside their boot to make a difference.
const EFFECT: Duration = Duration::from_secs(3);

/// The scale of one service.
#[derive(Debug, Default)]
pub struct Scaler {
    calm_since: Option<Duration>,
    grown_at: Option<Duration>,
}

/// What was seen of a service lately.
#[derive(Clone, Debug)]
pub struct Seen {
    pub answers: u64,
    pub late: u64,
    /// Ready servers by zone.
    pub servers: BTreeMap<String, u32>,
}

impl Scaler {
    /// The numbers of servers to order, by zone; empty where nothing is to change. `now` is on a steady clock.
    pub fn orders(&mut self, now: Duration, seen: &Seen, bounds: Autoscale) -> BTreeMap<String, u32> {
        if seen.answers < ENOUGH_ANSWERS {
            self.calm_since = None;
            return BTreeMap::new();
        }
        let late = seen.late as f64 / seen.answers as f64;
        let settles = Duration::from_secs_f64(bounds.boot_s.max(0.0)) + EFFECT;
        let growing = self.grown_at.is_some_and(|at| now < at + settles);
        if late > TOO_LATE {
            self.calm_since = None;
            return if growing { BTreeMap::new() } else { self.grow(now, seen, bounds) };
        }
        if late > WELL_IN_TIME || self.grown_at.is_some_and(|at| now < at + KEPT_FOR) {
            self.calm_since = None;
            return BTreeMap::new();
        }
        let since = *self.calm_since.get_or_insert(now);
        match now >= since + CALM_FOR {
            true => self.shrink(seen, bounds),
            false => BTreeMap::new(),
        }
    }

    fn grow(&mut self, now: Duration, seen: &Seen, bounds: Autoscale) -> BTreeMap<String, u32> {
        let mut servers = seen.servers.clone();
        let total: u32 = servers.values().sum();
        let more = (f64::from(total) * GROWTH).ceil() as u32;
        for _ in 0..more {
            let smallest =
                servers.iter_mut().filter(|(_, count)| **count < bounds.max).min_by_key(|(_, count)| **count);
            let Some((_, count)) = smallest else { break };
            *count += 1;
        }
        self.grown_at = Some(now);
        changed(&seen.servers, servers)
    }

    fn shrink(&mut self, seen: &Seen, bounds: Autoscale) -> BTreeMap<String, u32> {
        self.calm_since = None;
        let fewer = seen.servers.iter().map(|(zone, count)| {
            let fewer = if *count > bounds.min { count - 1 } else { *count };
            (zone.clone(), fewer)
        });
        changed(&seen.servers, fewer.collect())
    }
}

fn changed(before: &BTreeMap<String, u32>, after: BTreeMap<String, u32>) -> BTreeMap<String, u32> {
    after.into_iter().filter(|(zone, count)| before.get(zone) != Some(count)).collect()
}

#[cfg(test)]
mod tests;
