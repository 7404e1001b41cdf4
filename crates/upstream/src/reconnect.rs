//! A connection first, requests after it: for servers that could not be reached, and for those that may be silent.

use std::time::Duration;

use futures_util::future::join_all;
use tokio::time::sleep;

use crate::{Pool, Sender};

const LOOK_EVERY: Duration = Duration::from_millis(50);

/// Tries connections to the servers that could not be reached or may be silent, without end.
pub async fn keep_reachable(pool: Pool, sender: Sender) {
    loop {
        sleep(LOOK_EVERY).await;
        pool.suspect_silent();
        let tries = pool.to_connect().into_iter().map(|server| {
            let (pool, sender) = (pool.clone(), sender.clone());
            async move {
                match sender.connect(&server).await {
                    true => pool.reached(&server.id),
                    false => pool.not_reached(&server.id),
                }
            }
        });
        join_all(tries).await;
    }
}
