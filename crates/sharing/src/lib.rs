//! What limiters tell one another of the servers they use. Each process reports its own use of servers to a home; the home
//! answers with the sums over all its other reporters. A report is whole, not a change to an earlier one: a lost or repeated
//! one does no harm. Pure: times are told, nothing waits.

mod aggregator;
mod outcomes;
mod report;

pub use aggregator::{ReportError, StatsAggregator, MAX_REPORTERS, REPORT_TTL};
pub use outcomes::DecayingOutcomes;
pub use report::{ServerKey, ServerStats, StatsReport, StatsTotals, MAX_SERVERS_PER_REPORT};
