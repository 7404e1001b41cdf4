//! Log lines about the other gateways, at a bounded rate.

use fennelgauge::time::{Moment, Span};
use fennelgauge_membership::node::MembershipNode;
use fennelgauge_membership::view::{MemberState, Reachability};
use tracing::info;

/// Most lines about single changes within [`INTERVAL`]; further changes are only counted. Otherwise the restart of a
/// group of hundreds would flood the log.
const MAX_LINES: usize = 20;
/// Length of an interval of the rate limit, and of the summaries.
const INTERVAL: Span = Span::from_millis(10_000);

/// Logs changes of the view, and a summary per interval.
pub struct MembershipLog {
    interval_start: Moment,
    lines: usize,
    suppressed: usize,
    rejected: u64,
    queries: (u64, u64, u64),
    reach: Reachability,
}

impl MembershipLog {
    /// Starts the first interval at `now`.
    pub fn new(now: Moment) -> Self {
        Self {
            interval_start: now,
            lines: 0,
            suppressed: 0,
            rejected: 0,
            queries: (0, 0, 0),
            reach: Reachability::AllReachable,
        }
    }

    /// Logs what has changed since the last call.
    pub fn report(&mut self, now: Moment, node: &mut MembershipNode) {
        for change in node.take_changes() {
            // The first contact with a member is not logged.
            if (change.from, change.to) == (MemberState::Unknown, MemberState::Alive) {
                continue;
            }
            if self.lines < MAX_LINES {
                self.lines += 1;
                info!(side = "member", number = change.index, from = %change.from, to = %change.to, life = change.generation);
            } else {
                self.suppressed += 1;
            }
        }
        let reach = node.reachability(now);
        if reach != self.reach && self.lines < MAX_LINES {
            self.lines += 1;
            info!(side = "member", from = %self.reach, to = %reach, "reachability of the other gateways changed");
            self.reach = reach;
        }
        if now.since(self.interval_start) < INTERVAL {
            return;
        }
        let rejected = node.rejected_datagrams().values().sum();
        if rejected > self.rejected {
            let reasons: Vec<String> =
                node.rejected_datagrams().iter().map(|it| format!("{} {}", it.0, it.1)).collect();
            info!(
                side = "member",
                new = rejected - self.rejected,
                all = reasons.join(", "),
                "membership datagrams from other gateways were dropped"
            );
        }
        let queries = node.query_stats();
        if queries != self.queries {
            let (held_news, held_counts) = node.over_budget();
            info!(
                side = "member",
                asked = queries.0,
                repeated = queries.1,
                unanswered = queries.2,
                held_news,
                held_counts,
                sent = node.sent.0,
                came = node.received.0,
                "queries of peer counts, and datagrams, since the start"
            );
        }
        if self.suppressed > 0 {
            info!(
                side = "member",
                changes = self.suppressed,
                "further changes of members were not logged one by one"
            );
        }
        *self = Self {
            interval_start: now,
            lines: 0,
            suppressed: 0,
            rejected,
            queries,
            reach: self.reach.clone(),
        };
    }
}

/// Logs the status of every other gateway and a summary, as requested by a signal.
pub fn log_view(now: Moment, node: &mut MembershipNode) {
    let (active_now, reach, (differ, longest)) =
        (node.active_time(now), node.reachability(now), node.disagreement(now));
    let view = node.view();
    for (index, status) in view.peers() {
        let heard_s = status.last_heard.map_or(-1.0, |heard| active_now.since(heard).secs());
        let state_s = active_now.since(status.state_since).secs();
        info!(
            side = "view", number = index, state = %status.state, life = status.generation, zone = status.zone.map_or(-1, i32::from),
            for_s = state_s, heard_s, differs = status.view_differs_since.is_some()
        );
    }
    let (held_news, held_counts) = node.over_budget();
    let (owned_counts, own_sums) = node.count_sizes();
    info!(
        side = "view", own = view.own_index, life = node.generation(), reach = %reach,
        present = view.count_in_state(MemberState::Alive), suspected = view.count_in_state(MemberState::Suspected),
        failed = view.count_in_state(MemberState::Failed), left = view.count_in_state(MemberState::Left),
        never_heard = view.count_in_state(MemberState::Unknown), differ, longest_s = longest.secs(),
        slept_s = node.paused_time().secs(), sent = node.sent.0, sent_bytes = node.sent.1, came = node.received.0,
        held_news, held_counts, counts_kept = owned_counts, counts_own = own_sums,
        refused = node.rejected_datagrams().values().sum::<u64>(), "whole view"
    );
}
