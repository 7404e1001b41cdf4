//! A connection first, requests after it: for servers that could not be reached, and for those that may be silent.

use std::time::Duration;

use futures_util::future::join_all;
use tokio::time::sleep;

use crate::{RequestSender, ServerPool};

const LOOK_EVERY: Duration = Duration::from_millis(50);

/// Tries connections to the servers that could not be reached or may be silent, without end.
pub async fn probe_connections(pool: ServerPool, sender: RequestSender) {
    loop {
        sleep(LOOK_EVERY).await;
        pool.suspect_silent();
        let tries = pool.servers_to_probe().into_iter().map(|server| {
            let (pool, sender) = (pool.clone(), sender.clone());
            async move {
                match sender.connect(&server).await {
                    true => pool.record_connect_success(&server.id),
                    false => pool.record_connect_failure(&server.id),
                }
            }
        });
        join_all(tries).await;
    }
}
