//! Follows the control plane's news: a long poll at one source, another source when it is silent or out of touch.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use fennelgauge_model::stable_hash;
use fennelgauge_settings::Settings;
use fennelgauge_wire::{Caller, Reply, Request, WatchRequest};
use tokio::time::{sleep, Instant};

use crate::tier_state::IN_TOUCH;
use crate::TierState;

const WAIT: Duration = Duration::from_millis(400);
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_000);
const RETRY: Duration = Duration::from_millis(100);

/// Who follows, and where to begin.
pub struct Subscription {
    pub node: String,
    pub zone: String,
    /// Addresses for our own processes at the seeds, read anew whenever nobody answers.
    pub seeds: Box<dyn Fn() -> Vec<SocketAddr>>,
}

impl Subscription {
    /// As the settings say. The seeds are read anew from the settings file: it may change while the process runs.
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

/// Follows without end.
pub async fn subscribe(known: Rc<TierState>, caller: Caller, subscription: Subscription) {
    let mut source = 0;
    loop {
        let Some(peer) = source_at(source, &known, &subscription) else {
            sleep(RETRY).await;
            continue;
        };
        let watch =
            Request::Watch(WatchRequest { known: known.known_versions(), wait_ms: WAIT.as_millis() as u64 });
        let began = Instant::now();
        match caller.call(peer, watch, ANSWER_TIMEOUT).await {
            Ok(Reply::Watch(news)) => {
                let stale = news.confirmed_age_ms > IN_TOUCH.as_millis() as u64;
                let before = known.known_versions().core_view;
                known.apply_update(*news);
                if known.known_versions().core_view > before {
                    // The links of a later view are better sources than whoever is next.
                    source = 0;
                } else if stale {
                    source += 1;
                    sleep(RETRY).await;
                }
            }
            _ => {
                source += 1;
                if began.elapsed() < RETRY {
                    sleep(RETRY).await;
                }
            }
        }
    }
}

/// The source to ask as number `number`; none if there is none.
pub(crate) fn source_at(number: usize, known: &TierState, subscription: &Subscription) -> Option<SocketAddr> {
    let mut sources = core_sources(known, subscription);
    if let Some(source) = sources.get(number) {
        return Some(*source);
    }
    // Only when all others have failed the settings file is read.
    for seed in (subscription.seeds)() {
        if !sources.contains(&seed) {
            sources.push(seed);
        }
    }
    sources.get(number.checked_rem(sources.len())?).copied()
}

/// Links of the core's chain, those of the own zone first, then by a ranking of the own node's; then its other voters.
fn core_sources(known: &TierState, subscription: &Subscription) -> Vec<SocketAddr> {
    let Some(view) = known.view() else { return Vec::new() };
    let mut links: Vec<_> = view.chain.iter().collect();
    links.sort_by_key(|member| {
        let pair = format!("{}/{}", subscription.node, member.identity.node);
        (member.zone != subscription.zone, stable_hash(&pair))
    });
    let is_link = |peer| view.chain.iter().any(|link| link.peer == peer);
    let others = view.voters.iter().filter(|voter| !is_link(voter.peer));
    links.into_iter().chain(others).map(|member| member.peer).collect()
}
