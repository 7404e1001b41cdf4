//! Follows the control plane's news: a long poll at one source, another source when it is silent or out of touch.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use fennelgauge_model::stable_hash;
use fennelgauge_settings::Settings;
use fennelgauge_wire::{Caller, Reply, Request, Watch};
use tokio::time::{sleep, Instant};

use crate::known::IN_TOUCH;
use crate::Known;

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
        let fallback = settings.seed_peers();
        Self {
            node: settings.node.clone(),
            zone: settings.zone.clone(),
            seeds: Box::new(move || match Settings::from_environment() {
                Ok(settings) => settings.seed_peers(),
                Err(_) => fallback.clone(),
            }),
        }
    }
}

/// Follows without end.
pub async fn subscribe(known: Rc<Known>, caller: Caller, subscription: Subscription) {
    let mut source = 0;
    loop {
        let sources = sources(&known, &subscription);
        if sources.is_empty() {
            sleep(RETRY).await;
            continue;
        }
        let peer = sources[source % sources.len()];
        let watch = Request::Watch(Watch { have: known.have(), wait_ms: WAIT.as_millis() as u64 });
        let began = Instant::now();
        match caller.call(peer, watch, ANSWER_TIMEOUT).await {
            Ok(Reply::News(news)) => {
                let stale = news.confirmed_age_ms > IN_TOUCH.as_millis() as u64;
                let before = known.have().view;
                known.take(*news);
                if known.have().view > before {
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

/// Links of the core's chain, those of the own zone first, then by a ranking of the own node's; then its other voters, then the seeds.
fn sources(known: &Known, subscription: &Subscription) -> Vec<SocketAddr> {
    let mut sources = Vec::new();
    if let Some(view) = known.view() {
        let mut links: Vec<_> = view.chain.iter().collect();
        links.sort_by_key(|member| {
            let pair = format!("{}/{}", subscription.node, member.identity.node);
            (member.zone != subscription.zone, stable_hash(&pair))
        });
        sources.extend(links.iter().map(|member| member.peer));
    }
    let voters = known.view().map_or(Vec::new(), |view| view.voters.iter().map(|voter| voter.peer).collect());
    for other in voters.into_iter().chain((subscription.seeds)()) {
        if !sources.contains(&other) {
            sources.push(other);
        }
    }
    sources
}
