//! What limiters tell one another of the servers they use. Each process reports its own use of servers to a home; the home
//! answers with the sums over all its other reporters. A report is whole, not a change to an earlier one: a lost or repeated
//! one does no harm. Pure: times are told, nothing waits.

mod home;
mod outcomes;
mod report;

pub use home::{Home, ReportError, FRESH_FOR, MOST_REPORTERS};
pub use outcomes::Outcomes;
pub use report::{Report, ServerKey, ServerUse, Sums, MOST_USES};
