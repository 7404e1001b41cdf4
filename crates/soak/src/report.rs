//! What came of one seed, and of all.

use std::collections::BTreeMap;
use std::fmt;
use std::path::PathBuf;

use fennelgauge_standins::ConductCounts;
use serde::Serialize;

use crate::world::EdgeCases;

/// A rule that was broken.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Fault {
    pub rule: String,
    /// Seconds since the start.
    pub at_s: f64,
    pub what: String,
}

/// One seed.
#[derive(Clone, Debug, Default, Serialize)]
pub struct SeedResult {
    pub seed: u64,
    pub processes: usize,
    pub troubles: usize,
    pub starts: u64,
    pub seconds: f64,
    pub jobs_accepted: usize,
    pub pages_read: u64,
    pub live_answers: u64,
    pub live_refused: u64,
    /// Responses read slowly, cut off in time and left by their clients.
    pub edge_cases: EdgeCases,
    /// What the model servers did besides answering.
    pub servers: ConductCounts,
    /// Accepted batch jobs that the final read did not come to: nothing is known of them.
    pub jobs_not_read: usize,
    pub configurations: u64,
    pub faults: Vec<Fault>,
    /// Where settings, disks, logs and the order of events are kept.
    pub folder: Option<PathBuf>,
}

impl fmt::Display for SeedResult {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        write!(
            out,
            "seed {}: {} processes, {} troubles, {} starts in {:.0} s; {} batch jobs accepted, {} pages read, {} live answers \
             ({} refused), {} read slowly, {} pages read slowly, {} cut off, {} left, {} configurations, {} batch jobs not read in the end; {}; {} faults",
            self.seed,
            self.processes,
            self.troubles,
            self.starts,
            self.seconds,
            self.jobs_accepted,
            self.pages_read,
            self.live_answers,
            self.live_refused,
            self.edge_cases.read_slowly,
            self.edge_cases.pages_read_slowly,
            self.edge_cases.cut_off,
            self.edge_cases.left,
            self.configurations,
            self.jobs_not_read,
            self.servers,
            self.faults.len()
        )?;
        for fault in self.faults.iter().take(10) {
            write!(out, "\n  {} at {:.3} s: {}", fault.rule, fault.at_s, fault.what)?;
        }
        match &self.folder {
            Some(folder) if !self.faults.is_empty() => {
                write!(
                    out,
                    "\n  kept in {}; again: fennelgauge-soak run --seed {}",
                    folder.display(),
                    self.seed
                )
            }
            _ => Ok(()),
        }
    }
}

/// All seeds.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Summary {
    pub seeds: Vec<SeedResult>,
}

impl Summary {
    pub fn add(&mut self, result: SeedResult) {
        self.seeds.push(result);
    }

    pub fn is_broken(&self) -> bool {
        self.seeds.iter().any(|seed| !seed.faults.is_empty())
    }
}

impl fmt::Display for Summary {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        let sum = |of: fn(&SeedResult) -> u64| self.seeds.iter().map(of).sum::<u64>();
        let broken: Vec<u64> =
            self.seeds.iter().filter(|seed| !seed.faults.is_empty()).map(|seed| seed.seed).collect();
        let mut rules: BTreeMap<&str, usize> = BTreeMap::new();
        for fault in self.seeds.iter().flat_map(|seed| &seed.faults) {
            *rules.entry(&fault.rule).or_default() += 1;
        }
        write!(
            out,
            "{} seeds, {} troubles, {} starts, {} batch jobs, {} pages, {} live answers, {} read slowly, {} pages read slowly, {} cut off, {} left; broken: {broken:?} {rules:?}",
            self.seeds.len(),
            sum(|seed| seed.troubles as u64),
            sum(|seed| seed.starts),
            sum(|seed| seed.jobs_accepted as u64),
            sum(|seed| seed.pages_read),
            sum(|seed| seed.live_answers),
            sum(|seed| seed.edge_cases.read_slowly),
            sum(|seed| seed.edge_cases.pages_read_slowly),
            sum(|seed| seed.edge_cases.cut_off),
            sum(|seed| seed.edge_cases.left),
        )
    }
}
