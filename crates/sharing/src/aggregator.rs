//! The home of a zone's reports.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use crate::report::{ServerKey, ServerStats, StatsReport, StatsTotals, MAX_SERVERS_PER_REPORT};

/// A report counts for so long; its reporter may have died.
pub const REPORT_TTL: Duration = Duration::from_millis(1_000);
/// Processes that one home answers.
pub const MAX_REPORTERS: usize = 1_000;

/// Why a report is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReportError {
    #[error(
        "a report names {0} servers, over {MAX_SERVERS_PER_REPORT}: it is dropped, look for a process of another version"
    )]
    TooManyServers(usize),
    #[error("over {MAX_REPORTERS} processes report here: this one is dropped, give the zone more control processes")]
    TooManyReporters,
}

/// The newest report of each process that reports here.
#[derive(Debug, Default)]
pub struct StatsAggregator {
    reporters: HashMap<u64, Heard>,
}

#[derive(Debug)]
struct Heard {
    report: StatsReport,
    at: Duration,
}

impl StatsAggregator {
    /// Takes a report at `now`, any steady clock's time, and answers with the sums over all others. One that is older than
    /// what is known of its reporter changes nothing.
    pub fn add_report(&mut self, report: StatsReport, now: Duration) -> Result<StatsTotals, ReportError> {
        if report.servers.len() > MAX_SERVERS_PER_REPORT {
            return Err(ReportError::TooManyServers(report.servers.len()));
        }
        self.reporters.retain(|_, heard| now.saturating_sub(heard.at) < REPORT_TTL);
        let life = report.incarnation;
        let known = self.reporters.get(&life).map(|heard| heard.report.sequence);
        if known.is_none() && self.reporters.len() >= MAX_REPORTERS {
            return Err(ReportError::TooManyReporters);
        }
        if known.is_none_or(|sequence| sequence < report.sequence) {
            self.reporters.insert(life, Heard { report, at: now });
        }
        Ok(self.sums_without(life))
    }

    fn sums_without(&self, life: u64) -> StatsTotals {
        let others = self.reporters.iter().filter(|(reporter, _)| **reporter != life);
        let mut sums: BTreeMap<ServerKey, ServerStats> = BTreeMap::new();
        let mut reporters = 0;
        for (_, heard) in others {
            reporters += 1;
            for told in &heard.report.servers {
                sums.entry(told.server).or_insert(ServerStats::empty(told.server)).accumulate(told);
            }
        }
        StatsTotals { reporters, servers: sums.into_values().collect() }
    }
}
