//! Reads the platform's list for everybody who follows this machine: the head reads, the other members follow it and
//! read themselves only when it is silent.

use std::rc::Rc;
use std::time::Duration;

use fennelgauge_upstream::{fetch_server_list, platform_client, ServerListVersioner};
use fennelgauge_wire::{KnownVersions, Reply, Request, WatchRequest};
use tokio::time::{sleep, Instant};

use crate::core::Core;
use crate::identity::random_number;

const READ_EVERY: Duration = Duration::from_millis(500);
/// A follower reads for itself once the newest list that it has is so old.
const FOLLOWER_PATIENCE: Duration = Duration::from_millis(1_400);
const FOLLOW_WAIT: Duration = Duration::from_millis(400);

/// Keeps the list of servers, without end.
pub async fn keep_list(core: Rc<Core>) {
    let Some(platform) = core.settings.cloud.addr else { return };
    let client = platform_client();
    let mut reader = ServerListVersioner::new(random_number());
    loop {
        let began = Instant::now();
        let stale = core.known.server_list_age().is_none_or(|age| age > FOLLOWER_PATIENCE);
        if core.is_head() || (stale && core.is_link()) {
            match fetch_server_list(&client, platform).await {
                Ok(servers) => {
                    core.known.update_server_list(Some(reader.assign_version(servers)), began.elapsed())
                }
                Err(reason) => log::warn!("{reason}"),
            }
        }
        sleep(READ_EVERY.saturating_sub(began.elapsed()).max(Duration::from_millis(50))).await;
    }
}

/// As a member that is not the head: follows the head's list.
pub async fn follow_head(core: Rc<Core>) {
    loop {
        let view = core.view();
        let head = view.head().filter(|head| head.identity != core.me.identity && core.is_link());
        let Some(head) = head else {
            sleep(FOLLOW_WAIT).await;
            continue;
        };
        let have = KnownVersions {
            generation: u64::MAX,
            store_view: u64::MAX,
            core_view: u64::MAX,
            ..core.known.known_versions()
        };
        let watch = Request::Watch(WatchRequest { known: have, wait_ms: FOLLOW_WAIT.as_millis() as u64 });
        match core.caller.call(head.peer, watch, FOLLOW_WAIT * 2).await {
            Ok(Reply::Watch(news)) => {
                let age = Duration::from_millis(news.server_list_age_ms);
                core.known.update_server_list(news.server_list, age);
            }
            _ => sleep(FOLLOW_WAIT / 2).await,
        }
    }
}
