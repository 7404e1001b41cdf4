//! Aggregates the reports of many processes.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use crate::report::{ServerKey, ServerStats, StatsReport, StatsTotals, MAX_SERVERS_PER_REPORT};

/// Time after which a report no longer counts, because its sender may have died.
pub const REPORT_TTL: Duration = Duration::from_millis(1_000);
/// Maximum number of processes that may report to one aggregator.
pub const MAX_REPORTERS: usize = 1_000;

/// Why a report is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReportError {
    /// The report names more than [`MAX_SERVERS_PER_REPORT`] servers; holds their number.
    #[error(
        "stats report dropped: it names {0} servers, more than {MAX_SERVERS_PER_REPORT}; look for a process of another version"
    )]
    TooManyServers(usize),
    /// [`MAX_REPORTERS`] other processes report already.
    #[error(
        "stats report dropped: more than {MAX_REPORTERS} processes report here; add control-plane processes to the zone"
    )]
    TooManyReporters,
}

/// Holds the newest report of each process that reports here.
#[derive(Debug, Default)]
pub struct StatsAggregator {
    /// By the incarnation of the reporting process.
    reports: HashMap<u64, ReceivedReport>,
}

#[derive(Debug)]
struct ReceivedReport {
    report: StatsReport,
    received_at: Duration,
}

impl StatsAggregator {
    /// Stores a report and returns the totals over all other reporters. A report that is not newer than the stored one of the same
    /// process is ignored. `now` is the time on any monotonic clock, always the same one.
    pub fn add_report(&mut self, report: StatsReport, now: Duration) -> Result<StatsTotals, ReportError> {
        if report.servers.len() > MAX_SERVERS_PER_REPORT {
            return Err(ReportError::TooManyServers(report.servers.len()));
        }
        self.reports.retain(|_, received| now.saturating_sub(received.received_at) < REPORT_TTL);
        let incarnation = report.incarnation;
        let known_sequence = self.reports.get(&incarnation).map(|received| received.report.sequence);
        if known_sequence.is_none() && self.reports.len() >= MAX_REPORTERS {
            return Err(ReportError::TooManyReporters);
        }
        if known_sequence.is_none_or(|sequence| sequence < report.sequence) {
            self.reports.insert(incarnation, ReceivedReport { report, received_at: now });
        }
        Ok(self.totals_without(incarnation))
    }

    fn totals_without(&self, incarnation: u64) -> StatsTotals {
        let others = self.reports.iter().filter(|(reporter, _)| **reporter != incarnation);
        let mut totals: BTreeMap<ServerKey, ServerStats> = BTreeMap::new();
        let mut reporters = 0;
        for (_, received) in others {
            reporters += 1;
            for stats in &received.report.servers {
                totals.entry(stats.server).or_insert(ServerStats::empty(stats.server)).accumulate(stats);
            }
        }
        StatsTotals { reporters, servers: totals.into_values().collect() }
    }
}
