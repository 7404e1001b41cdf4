//! What is logged of the others, at a bounded rate.

use fennelgauge::time::{Moment, Span};
use fennelgauge_membership::node::MembershipNode;
use fennelgauge_membership::view::{MemberState, Reachability};
use tracing::info;

/// Lines on single members within a span; what is beyond is only counted. A fleet of hundreds that is restarted would
/// else fill the log.
const LINES: usize = 20;
const SPAN: Span = Span::from_millis(10_000);

pub struct Log {
    began: Moment,
    lines: usize,
    left_out: usize,
    refused: u64,
    asks: (u64, u64, u64),
    reach: Reachability,
}

impl Log {
    pub fn new(now: Moment) -> Self {
        Self {
            began: now,
            lines: 0,
            left_out: 0,
            refused: 0,
            asks: (0, 0, 0),
            reach: Reachability::AllReachable,
        }
    }

    /// Logs what has changed since the last look.
    pub fn look(&mut self, now: Moment, circle: &mut MembershipNode) {
        for change in circle.take_changes() {
            // Members that are met at the start are no news.
            if (change.from, change.to) == (MemberState::Unknown, MemberState::Alive) {
                continue;
            }
            if self.lines < LINES {
                self.lines += 1;
                info!(side = "member", number = change.index, from = %change.from, to = %change.to, life = change.generation);
            } else {
                self.left_out += 1;
            }
        }
        let reach = circle.reachability(now);
        if reach != self.reach && self.lines < LINES {
            self.lines += 1;
            info!(side = "member", from = %self.reach, to = %reach, "the fleet as seen from here");
            self.reach = reach;
        }
        if now.since(self.began) < SPAN {
            return;
        }
        let refused = circle.rejected_datagrams().values().sum();
        if refused > self.refused {
            let reasons: Vec<String> =
                circle.rejected_datagrams().iter().map(|it| format!("{} {}", it.0, it.1)).collect();
            info!(
                side = "member",
                new = refused - self.refused,
                all = reasons.join(", "),
                "datagrams dropped"
            );
        }
        let asks = circle.query_stats();
        if asks != self.asks {
            let (held_news, held_counts) = circle.over_budget();
            info!(
                side = "member",
                asked = asks.0,
                repeated = asks.1,
                unanswered = asks.2,
                held_news,
                held_counts,
                sent = circle.sent.0,
                came = circle.received.0,
                "counts among members"
            );
        }
        if self.left_out > 0 {
            info!(side = "member", changes = self.left_out, "more changes, not logged one by one");
        }
        *self = Self { began: now, lines: 0, left_out: 0, refused, asks, reach: self.reach.clone() };
    }
}

/// Logs the whole view, on request.
pub fn tell(now: Moment, circle: &mut MembershipNode) {
    let (awake, reach, (differ, longest)) =
        (circle.active_time(now), circle.reachability(now), circle.disagreement(now));
    let view = circle.view();
    for (number, fact) in view.peers() {
        let heard = fact.last_heard.map_or(-1.0, |heard| awake.since(heard).secs());
        let since = awake.since(fact.state_since).secs();
        info!(
            side = "view", number, state = %fact.state, life = fact.generation, zone = fact.zone.map_or(-1, i32::from),
            for_s = since, heard_s = heard, differs = fact.view_differs_since.is_some()
        );
    }
    let (held_news, held_counts) = circle.over_budget();
    let (kept, own) = circle.count_sizes();
    info!(
        side = "view", own = view.own_index, life = circle.generation(), reach = %reach,
        present = view.count_in_state(MemberState::Alive), suspected = view.count_in_state(MemberState::Suspected),
        failed = view.count_in_state(MemberState::Failed), left = view.count_in_state(MemberState::Left),
        never_heard = view.count_in_state(MemberState::Unknown), differ, longest_s = longest.secs(),
        slept_s = circle.paused_time().secs(), sent = circle.sent.0, sent_bytes = circle.sent.1, came = circle.received.0,
        held_news, held_counts, counts_kept = kept, counts_own = own,
        refused = circle.rejected_datagrams().values().sum::<u64>(), "whole view"
    );
}
