//! Keeps the tier state up to date by long polling one source at a time. A source that does not reply, or whose view
//! is not confirmed by a majority, is exchanged for the next one.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use fennelgauge_model::stable_hash;
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
}

/// Watches one source after the other and applies their replies to `state`. Never returns.
pub async fn subscribe(state: Rc<TierState>, caller: Caller, subscription: Subscription) {
    let mut source = 0;
    let mut warned_at = Instant::now();
    loop {
        if state.core_view().is_none() && warned_at.elapsed() >= WARNING_INTERVAL {
            warned_at = Instant::now();
            log::warn!("no source has told a view of the core yet; seeds: {:?}", (subscription.seeds)());
        }
        let Some(peer) = source_at(source, &state, &subscription) else {
            sleep(RETRY_DELAY).await;
            continue;
        };
        let watch = Request::Watch(WatchRequest {
            known: state.known_versions(),
            wait_ms: WATCH_WAIT.as_millis() as u64,
        });
        let started = Instant::now();
        match caller.call(peer, watch, REPLY_TIMEOUT).await {
            Ok(Reply::Watch(reply)) => {
                let is_unconfirmed = reply.confirmed_age_ms > CONFIRMATION_TTL.as_millis() as u64;
                let previous_view = state.known_versions().core_view;
                state.apply_update(*reply);
                if state.known_versions().core_view > previous_view {
                    // The chain of the new view is a better choice than the next source of the old one.
                    source = 0;
                } else if is_unconfirmed {
                    source += 1;
                    sleep(RETRY_DELAY).await;
                }
            }
            _ => {
                source += 1;
                if started.elapsed() < RETRY_DELAY {
                    sleep(RETRY_DELAY).await;
                }
            }
        }
    }
}

/// Returns the source at position `index` in this process's order of preference, which starts over after the last
/// one: the members of the core, then the seeds. `None` if there are no sources.
pub(crate) fn source_at(index: usize, state: &TierState, subscription: &Subscription) -> Option<SocketAddr> {
    let mut sources = core_sources(state, subscription);
    if let Some(source) = sources.get(index) {
        return Some(*source);
    }
    // The seeds are read from the settings file, so they are used only if all members of the core have failed.
    for seed in (subscription.seeds)() {
        if !sources.contains(&seed) {
            sources.push(seed);
        }
    }
    sources.get(index.checked_rem(sources.len())?).copied()
}

/// Returns the members of the core in order of preference: the chain, with members in the own zone first and
/// otherwise in an order that depends on the node, so that watchers spread over them; then the other voters.
fn core_sources(state: &TierState, subscription: &Subscription) -> Vec<SocketAddr> {
    let Some(view) = state.core_view() else { return Vec::new() };
    let mut chain: Vec<_> = view.chain.iter().collect();
    chain.sort_by_key(|member| {
        let node_pair = format!("{}/{}", subscription.node, member.identity.node);
        (member.zone != subscription.zone, stable_hash(&node_pair))
    });
    let is_in_chain = |peer| view.chain.iter().any(|member| member.peer == peer);
    let other_voters = view.voters.iter().filter(|voter| !is_in_chain(voter.peer));
    chain.into_iter().chain(other_voters).map(|member| member.peer).collect()
}
