//! What is logged of the others, at a bounded rate.

use fennelgauge::time::{Moment, Span};
use fennelgauge_membership::circle::Circle;
use fennelgauge_membership::view::{Reach, State};
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
    reach: Reach,
}

impl Log {
    pub fn new(now: Moment) -> Self {
        Self { began: now, lines: 0, left_out: 0, refused: 0, asks: (0, 0, 0), reach: Reach::Whole }
    }

    /// Logs what has changed since the last look.
    pub fn look(&mut self, now: Moment, circle: &mut Circle) {
        for change in circle.changes() {
            // Members that are met at the start are no news.
            if (change.from, change.to) == (State::NeverHeard, State::Present) {
                continue;
            }
            if self.lines < LINES {
                self.lines += 1;
                info!(side = "member", number = change.number, from = %change.from, to = %change.to, life = change.life);
            } else {
                self.left_out += 1;
            }
        }
        let reach = circle.reach(now);
        if reach != self.reach && self.lines < LINES {
            self.lines += 1;
            info!(side = "member", from = %self.reach, to = %reach, "the fleet as seen from here");
            self.reach = reach;
        }
        if now.since(self.began) < SPAN {
            return;
        }
        let refused = circle.refused().values().sum();
        if refused > self.refused {
            let reasons: Vec<String> =
                circle.refused().iter().map(|it| format!("{} {}", it.0, it.1)).collect();
            info!(
                side = "member",
                new = refused - self.refused,
                all = reasons.join(", "),
                "datagrams dropped"
            );
        }
        let asks = circle.asks();
        if asks != self.asks {
            let (held_news, held_counts) = circle.held_back();
            info!(
                side = "member",
                asked = asks.0,
                repeated = asks.1,
                unanswered = asks.2,
                held_news,
                held_counts,
                sent = circle.sent.0,
                came = circle.came.0,
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
pub fn tell(now: Moment, circle: &mut Circle) {
    let (awake, reach, (differ, longest)) = (circle.awake(now), circle.reach(now), circle.disagreement(now));
    let view = circle.view();
    for (number, fact) in view.others() {
        let heard = fact.heard.map_or(-1.0, |heard| awake.since(heard).secs());
        let since = awake.since(fact.since).secs();
        info!(
            side = "view", number, state = %fact.state, life = fact.life, zone = fact.zone.map_or(-1, i32::from),
            for_s = since, heard_s = heard, differs = fact.differs.is_some()
        );
    }
    let (held_news, held_counts) = circle.held_back();
    let (kept, own) = circle.counts();
    info!(
        side = "view", own = view.own, life = circle.life(), reach = %reach,
        present = view.count(State::Present), suspected = view.count(State::Suspected),
        failed = view.count(State::Failed), left = view.count(State::Left),
        never_heard = view.count(State::NeverHeard), differ, longest_s = longest.secs(),
        slept_s = circle.slept().secs(), sent = circle.sent.0, sent_bytes = circle.sent.1, came = circle.came.0,
        held_news, held_counts, counts_kept = kept, counts_own = own,
        refused = circle.refused().values().sum::<u64>(), "whole view"
    );
}
