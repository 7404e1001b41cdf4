//! Tests connections to servers that get no requests until a connection succeeds.

use std::time::Duration;

use futures_util::future::join_all;
use tokio::time::sleep;

use crate::{RequestSender, ServerPool};

const PROBE_INTERVAL: Duration = Duration::from_millis(50);

/// Repeatedly opens connections to the servers that could not be connected to or are suspected of being unresponsive.
/// Never returns.
pub async fn probe_connections(pool: ServerPool, sender: RequestSender) {
    loop {
        sleep(PROBE_INTERVAL).await;
        pool.suspect_unresponsive();
        let probes = pool.servers_to_probe().into_iter().map(|server| {
            let (pool, sender) = (pool.clone(), sender.clone());
            async move {
                match sender.connect(&server).await {
                    true => pool.record_connect_success(&server.id),
                    false => pool.record_connect_failure(&server.id),
                }
            }
        });
        join_all(probes).await;
    }
}
