//! Exchange of server statistics between processes that send requests to the same servers.
//!
//! Each process reports its own statistics to an aggregator, which replies with the totals over all its other reporters. A report
//! is complete and not a change to an earlier one, so a lost or repeated report does no harm. This crate does no I/O and reads no
//! clock: callers pass times in.

mod aggregator;
mod outcomes;
mod report;

pub use aggregator::{ReportError, StatsAggregator, MAX_REPORTERS, REPORT_TTL};
pub use outcomes::DecayingOutcomes;
pub use report::{ServerKey, ServerStats, StatsReport, StatsTotals, MAX_SERVERS_PER_REPORT};
