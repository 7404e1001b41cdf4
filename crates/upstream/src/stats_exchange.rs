//! Reports this process's statistics about its servers to an aggregator and applies those of other processes.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use fennelgauge_coordination::SourceOutcome;
use fennelgauge_sharing::{ServerKey, ServerStats, StatsReport, StatsTotals};
use fennelgauge_wire::{Caller, Reply, Request};
use tokio::time::{sleep, Instant};

use crate::{ServerPool, Subscription, TierState};

/// Interval between reports, unless their size requires a longer one.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// Bandwidth that reports and their replies may use, in bytes per second.
const MAX_BYTES_PER_SECOND: f64 = 4_000.0;
/// Size of one server's statistics in a report or a reply.
const SERVER_STATS_BYTES: f64 = 14.0;
/// Number of reports after which the first source is tried again.
const RETURN_TO_FIRST_SOURCE_AFTER: u64 = 30;
/// Timeout for the reply to a report.
const REPLY_TIMEOUT: Duration = Duration::from_millis(300);
/// Lower bound of the response time from which on a server is suspected of being unresponsive.
const MIN_UNRESPONSIVE_AFTER: Duration = Duration::from_millis(100);
/// Upper bound of that time, which also applies before any response.
const MAX_UNRESPONSIVE_AFTER: Duration = Duration::from_millis(700);
/// A process that cannot connect to more than this fraction of the servers is probably cut off itself and reports no
/// suspicions.
const MAX_UNREACHABLE_FRACTION: f64 = 0.5;

impl ServerPool {
    /// Returns the response time from which on a server is suspected of being unresponsive.
    fn unresponsive_after(&self) -> Duration {
        let bound = self.response_times.borrow().upper_bound().unwrap_or(MAX_UNRESPONSIVE_AFTER);
        bound.clamp(MIN_UNRESPONSIVE_AFTER, MAX_UNRESPONSIVE_AFTER)
    }

    /// Marks the servers that may be unresponsive as suspected.
    pub(crate) fn suspect_unresponsive(&self) {
        if !self.policy.suspect_silent {
            return;
        }
        let (limit, now) = (self.unresponsive_after(), Instant::now());
        self.servers.borrow_mut().values_mut().for_each(|server| server.suspect(limit, now));
    }

    /// Returns the statistics that this process reports. Servers without any are left out.
    fn own_stats(&self) -> Vec<ServerStats> {
        let now = Instant::now();
        let servers = self.servers.borrow();
        let unreachable = servers.values().filter(|server| server.is_unreachable()).count();
        let is_cut_off = unreachable as f64 > servers.len() as f64 * MAX_UNREACHABLE_FRACTION;
        let own_stats = servers.values().map(|server| match is_cut_off {
            true => ServerStats { suspected_by: 0, ..server.own_stats(now) },
            false => server.own_stats(now),
        });
        own_stats.filter(|stats| !stats.is_empty()).collect()
    }

    /// Applies the totals over all other processes.
    fn apply_peer_totals(&self, totals: &StatsTotals) {
        let now = Instant::now();
        let stats_by_key: HashMap<ServerKey, &ServerStats> =
            totals.servers.iter().map(|stats| (stats.server, stats)).collect();
        for server in self.servers.borrow_mut().values_mut() {
            let stats = stats_by_key.get(&ServerKey::from_id(&server.server.id)).copied();
            server.set_peer_stats(stats, now);
        }
    }
}

/// Sends reports and applies the replies; moves on to the next source if one does not reply. Never returns, unless
/// the policy turns the exchange off. Requests do not depend on it: without replies, servers are chosen by this
/// process's own statistics. `incarnation` is a random number drawn when the process starts.
pub async fn exchange_server_stats(
    pool: ServerPool,
    state: Rc<TierState>,
    caller: Caller,
    subscription: Subscription,
    incarnation: u64,
) {
    if !pool.policy.shared_uses {
        return;
    }
    let mut selector = subscription.selector();
    let mut sequence = 0;
    let mut interval = MIN_REPORT_INTERVAL;
    loop {
        sleep(interval).await;
        if sequence % RETURN_TO_FIRST_SOURCE_AFTER == 0 {
            selector.return_to_first();
        }
        let Some(aggregator) = subscription.source(&selector, &state) else { continue };
        sequence += 1;
        let report = StatsReport { incarnation, sequence, servers: pool.own_stats() };
        let reported = report.servers.len();
        match caller.call(aggregator, Request::ServerStats(report), REPLY_TIMEOUT).await {
            Ok(Reply::ServerStats(totals)) => {
                pool.apply_peer_totals(&totals);
                interval = report_interval(reported + totals.servers.len());
            }
            _ => selector.record(SourceOutcome::NoReply),
        }
    }
}

/// Returns the time until the next report, given the number of entries in the last one and its reply together.
fn report_interval(entries: usize) -> Duration {
    Duration::from_secs_f64(entries as f64 * SERVER_STATS_BYTES / MAX_BYTES_PER_SECOND)
        .max(MIN_REPORT_INTERVAL)
}

#[cfg(test)]
mod tests;
