//! Keeps the tier state up to date by long polling one source at a time. A source that does not reply, or whose view
//! is not confirmed by a majority, is exchanged for the next one.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use fennelgauge_coordination::{SourceOutcome, SourceSelector};
use fennelgauge_settings::Settings;
use fennelgauge_wire::{Caller, Reply, Request, WatchRequest};
use tokio::time::{sleep, Instant};

use crate::tier_state::CONFIRMATION_TTL;
use crate::TierState;

/// Time for which a source may hold a watch request if nothing is newer.
const WATCH_WAIT: Duration = Duration::from_millis(400);
/// Timeout for the reply to a watch request.
const REPLY_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Pause before the next attempt after a failed one.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Interval between warnings that no source knows the core.
const WARNING_INTERVAL: Duration = Duration::from_secs(5);

/// Who subscribes, and which sources to try first.
pub struct Subscription {
    /// Name of the subscribing process; it determines the order of its sources.
    pub node: String,
    /// Zone of the subscribing process; sources in it are preferred.
    pub zone: String,
    /// Returns the addresses of the seeds. Called whenever no known member of the core replies.
    pub seeds: Box<dyn Fn() -> Vec<SocketAddr>>,
}

impl Subscription {
    /// Creates a subscription from the settings. The seeds are read again from the settings file when they are
    /// needed, because the file may change while the process runs; if it cannot be read, the seeds in `settings` are
    /// used.
    pub fn new(settings: &Settings) -> Self {
        let fallback = settings.seed_peer_addresses();
        Self {
            node: settings.node.clone(),
            zone: settings.zone.clone(),
            seeds: Box::new(move || match Settings::from_environment() {
                Ok(settings) => settings.seed_peer_addresses(),
                Err(_) => fallback.clone(),
            }),
        }
    }

    /// Creates a selector of this process's sources.
    pub(crate) fn selector(&self) -> SourceSelector {
        SourceSelector::new(self.node.clone(), self.zone.clone())
    }

    /// Returns the source to ask now; `None` if there is none.
    pub(crate) fn source(&self, selector: &SourceSelector, state: &TierState) -> Option<SocketAddr> {
        selector.source(state.core_view().as_deref(), &self.seeds)
    }
}

/// Watches one source after the other and applies their replies to `state`. Never returns.
pub async fn subscribe(state: Rc<TierState>, caller: Caller, subscription: Subscription) {
    let mut selector = subscription.selector();
    let mut warned_at = Instant::now();
    loop {
        if state.core_view().is_none() && warned_at.elapsed() >= WARNING_INTERVAL {
            warned_at = Instant::now();
            log::warn!("no source has told a view of the core yet; seeds: {:?}", (subscription.seeds)());
        }
        let Some(source) = subscription.source(&selector, &state) else {
            sleep(RETRY_DELAY).await;
            continue;
        };
        let started = Instant::now();
        let outcome = watch(&state, &caller, source).await;
        selector.record(outcome);
        match outcome {
            SourceOutcome::Unconfirmed => sleep(RETRY_DELAY).await,
            SourceOutcome::NoReply if started.elapsed() < RETRY_DELAY => sleep(RETRY_DELAY).await,
            _ => {}
        }
    }
}

/// Sends one watch request to a source and applies its reply.
async fn watch(state: &TierState, caller: &Caller, source: SocketAddr) -> SourceOutcome {
    let watch = Request::Watch(WatchRequest {
        known: state.known_versions(),
        wait_ms: WATCH_WAIT.as_millis() as u64,
    });
    let requested_at = Instant::now();
    let Ok(Reply::Watch(reply)) = caller.call(source, watch, REPLY_TIMEOUT).await else {
        return SourceOutcome::NoReply;
    };
    let is_confirmed = reply.confirmed_age_ms <= CONFIRMATION_TTL.as_millis() as u64;
    let previous_view = state.known_versions().core_view;
    let is_applied = state.apply_update(*reply, requested_at);
    let has_later_view = state.known_versions().core_view > previous_view;
    outcome_of_reply(has_later_view, is_confirmed, is_applied)
}

/// Returns what came of a reply. A source whose configuration cannot be applied sends it again at once, so the next one is asked
/// after a pause.
fn outcome_of_reply(has_later_view: bool, is_confirmed: bool, is_applied: bool) -> SourceOutcome {
    match is_applied {
        false => SourceOutcome::Unconfirmed,
        true if has_later_view => SourceOutcome::LaterView,
        true if is_confirmed => SourceOutcome::Confirmed,
        true => SourceOutcome::Unconfirmed,
    }
}

#[cfg(test)]
mod tests;
