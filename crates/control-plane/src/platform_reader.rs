//! Keeps the list of servers up to date. The head reads it from the platform and serves it to every process that
//! watches the core; the other members watch the head and read from the platform themselves only when the head's list
//! becomes stale.

use std::rc::Rc;
use std::time::Duration;

use fennelgauge_upstream::{fetch_server_list, platform_client, ServerListVersioner};
use fennelgauge_wire::{KnownVersions, Reply, Request, WatchRequest};
use tokio::time::{sleep, Instant};

use crate::core::Core;
use crate::identity::random_number;

/// How often the list is read from the platform.
const READ_INTERVAL: Duration = Duration::from_millis(500);
/// Age of the newest list from which on a member that is not the head reads from the platform itself.
const STALE_LIST_AGE: Duration = Duration::from_millis(1_400);
/// How long the head may hold the answer to a watch.
const WATCH_WAIT: Duration = Duration::from_millis(400);

/// Reads the list of servers from the platform whenever this machine is the head or its list is stale. Returns at once
/// if the settings name no platform; otherwise never.
pub async fn read_server_list(core: Rc<Core>) {
    let Some(platform) = core.settings.cloud.addr else { return };
    let client = platform_client();
    let mut reader = ServerListVersioner::new(random_number());
    loop {
        let started = Instant::now();
        let stale = core.known.server_list_age().is_none_or(|age| age > STALE_LIST_AGE);
        if core.is_head() || (stale && core.is_link()) {
            match fetch_server_list(&client, platform).await {
                Ok(servers) => {
                    core.known.update_servers(Some(reader.assign_version(servers)), started.elapsed())
                }
                Err(reason) => log::warn!("{reason}"),
            }
        }
        sleep(READ_INTERVAL.saturating_sub(started.elapsed()).max(Duration::from_millis(50))).await;
    }
}

/// Watches the head's list while this machine is a chain member other than the head. Never returns.
pub async fn watch_head(core: Rc<Core>) {
    loop {
        let view = core.view();
        let head = view.head().filter(|head| head.identity != core.me.identity && core.is_link());
        let Some(head) = head else {
            sleep(WATCH_WAIT).await;
            continue;
        };
        let have = KnownVersions {
            generation: u64::MAX,
            store_view: u64::MAX,
            core_view: u64::MAX,
            ..core.known.known_versions()
        };
        let watch = Request::Watch(WatchRequest { known: have, wait_ms: WATCH_WAIT.as_millis() as u64 });
        match core.caller.call(head.peer, watch, WATCH_WAIT * 2).await {
            Ok(Reply::Watch(news)) => {
                let age = Duration::from_millis(news.server_list_age_ms);
                core.known.update_servers(news.server_list, age);
            }
            _ => sleep(WATCH_WAIT / 2).await,
        }
    }
}
