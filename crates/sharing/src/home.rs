//! The home of a zone's reports.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use crate::report::{Report, ServerKey, ServerUse, Sums, MOST_USES};

/// A report counts for so long; its reporter may have died.
pub const FRESH_FOR: Duration = Duration::from_millis(1_000);
/// Processes that one home answers.
pub const MOST_REPORTERS: usize = 1_000;

/// Why a report is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReportError {
    #[error(
        "a report names {0} servers, over {MOST_USES}: it is dropped, look for a process of another version"
    )]
    TooLarge(usize),
    #[error("over {MOST_REPORTERS} processes report here: this one is dropped, give the zone more control processes")]
    TooMany,
}

/// The newest report of each process that reports here.
#[derive(Debug, Default)]
pub struct Home {
    reporters: HashMap<u64, Heard>,
}

#[derive(Debug)]
struct Heard {
    report: Report,
    at: Duration,
}

impl Home {
    /// Takes a report at `now`, any steady clock's time, and answers with the sums over all others. One that is older than
    /// what is known of its reporter changes nothing.
    pub fn report(&mut self, report: Report, now: Duration) -> Result<Sums, ReportError> {
        if report.uses.len() > MOST_USES {
            return Err(ReportError::TooLarge(report.uses.len()));
        }
        self.reporters.retain(|_, heard| now.saturating_sub(heard.at) < FRESH_FOR);
        let life = report.life;
        let known = self.reporters.get(&life).map(|heard| heard.report.sequence);
        if known.is_none() && self.reporters.len() >= MOST_REPORTERS {
            return Err(ReportError::TooMany);
        }
        if known.is_none_or(|sequence| sequence < report.sequence) {
            self.reporters.insert(life, Heard { report, at: now });
        }
        Ok(self.sums_without(life))
    }

    fn sums_without(&self, life: u64) -> Sums {
        let others = self.reporters.iter().filter(|(reporter, _)| **reporter != life);
        let mut sums: BTreeMap<ServerKey, ServerUse> = BTreeMap::new();
        let mut reporters = 0;
        for (_, heard) in others {
            reporters += 1;
            for told in &heard.report.uses {
                sums.entry(told.server).or_insert(ServerUse::none(told.server)).add(told);
            }
        }
        Sums { reporters, uses: sums.into_values().collect() }
    }
}
