//! Decides how many servers a service needs: more while responses are late, fewer after a time in which hardly any
//! were. Does no I/O and reads no clock.

use std::collections::BTreeMap;
use std::time::Duration;

use fennelgauge_model::Autoscale;

/// Share of late responses above which servers are added.
const SCALE_UP_LATE_SHARE: f64 = 0.12;
/// Share of late responses up to which servers may be removed, one in each zone at a time.
const SCALE_DOWN_LATE_SHARE: f64 = 0.02;
/// Number of responses below which the share of late ones says too little for a decision.
const MIN_RESPONSES: u64 = 40;
/// Servers added at a time, as a share of all servers of the service.
const SCALE_UP_SHARE: f64 = 0.25;
/// Time for which responses must be on time before servers are removed.
const SCALE_DOWN_DELAY: Duration = Duration::from_secs(7);
/// Time after an increase for which no server is removed.
const SCALE_DOWN_COOLDOWN: Duration = Duration::from_secs(60);
/// Time that new servers need, after their boot time, until the share of late responses reflects them.
const EFFECT_DELAY: Duration = Duration::from_secs(3);

/// The autoscaler of one service.
#[derive(Debug, Default)]
pub struct Scaler {
    /// Since when responses have been on time.
    on_time_since: Option<Duration>,
    /// When servers were added last.
    scaled_up_at: Option<Duration>,
}

/// The load of a service since the last decision.
#[derive(Clone, Debug)]
pub struct ServiceLoad {
    /// Number of responses.
    pub responses: u64,
    /// Number of late ones among the responses.
    pub late_responses: u64,
    /// Ready servers by zone.
    pub ready_servers: BTreeMap<String, u32>,
}

impl Scaler {
    /// Returns the number of servers wanted in each zone in which it should change; empty if nothing should change.
    /// `now` is on a monotonic clock with any origin.
    pub fn scale(&mut self, now: Duration, load: &ServiceLoad, bounds: Autoscale) -> BTreeMap<String, u32> {
        if load.responses < MIN_RESPONSES {
            self.on_time_since = None;
            return BTreeMap::new();
        }
        let late_share = load.late_responses as f64 / load.responses as f64;
        let effect_time = Duration::from_secs_f64(bounds.boot_s.max(0.0)) + EFFECT_DELAY;
        let awaits_effect = self.scaled_up_at.is_some_and(|at| now < at + effect_time);
        if late_share > SCALE_UP_LATE_SHARE {
            self.on_time_since = None;
            return if awaits_effect { BTreeMap::new() } else { self.scale_up(now, load, bounds) };
        }
        if late_share > SCALE_DOWN_LATE_SHARE
            || self.scaled_up_at.is_some_and(|at| now < at + SCALE_DOWN_COOLDOWN)
        {
            self.on_time_since = None;
            return BTreeMap::new();
        }
        let since = *self.on_time_since.get_or_insert(now);
        match now >= since + SCALE_DOWN_DELAY {
            true => self.scale_down(load, bounds),
            false => BTreeMap::new(),
        }
    }

    /// Adds servers one by one to the zone that has fewest.
    fn scale_up(&mut self, now: Duration, load: &ServiceLoad, bounds: Autoscale) -> BTreeMap<String, u32> {
        let mut servers = load.ready_servers.clone();
        let total: u32 = servers.values().sum();
        let added = (f64::from(total) * SCALE_UP_SHARE).ceil() as u32;
        for _ in 0..added {
            let smallest =
                servers.iter_mut().filter(|(_, count)| **count < bounds.max).min_by_key(|(_, count)| **count);
            let Some((_, count)) = smallest else { break };
            *count += 1;
        }
        self.scaled_up_at = Some(now);
        changed_zones(&load.ready_servers, servers)
    }

    /// Removes one server from each zone that has more than the minimum.
    fn scale_down(&mut self, load: &ServiceLoad, bounds: Autoscale) -> BTreeMap<String, u32> {
        self.on_time_since = None;
        let reduced = load.ready_servers.iter().map(|(zone, count)| {
            let count = if *count > bounds.min { count - 1 } else { *count };
            (zone.clone(), count)
        });
        changed_zones(&load.ready_servers, reduced.collect())
    }
}

fn changed_zones(before: &BTreeMap<String, u32>, after: BTreeMap<String, u32>) -> BTreeMap<String, u32> {
    after.into_iter().filter(|(zone, count)| before.get(zone) != Some(count)).collect()
}

#[cfg(test)]
mod tests;
