//! Reads the platform's list of servers.

use std::net::SocketAddr;
use std::time::Duration;

use fennelgauge_model::{Server, ServerList};
use serde::Deserialize;

const CALL_TIMEOUT: Duration = Duration::from_millis(900);
const MAX_PAGES: usize = 400;
const MAX_PAGE_BYTES: usize = 8 << 20;

/// Why there is no list; the next reading may have one.
#[derive(Debug, thiserror::Error)]
pub enum ServerListError {
    #[error("the platform's list cannot be had ({0}): it is asked again")]
    Unavailable(String),
    #[error("the platform's list cannot be read ({0}): it is asked again")]
    Unreadable(String),
}

#[derive(Deserialize)]
struct ListPage {
    instances: Vec<serde_json::Value>,
    next_token: Option<String>,
}

/// All pages of the list. Entries that are no servers are left out and logged.
pub async fn fetch_server_list(
    client: &awc::Client,
    platform: SocketAddr,
) -> Result<Vec<Server>, ServerListError> {
    let mut servers = Vec::new();
    let mut token: Option<String> = None;
    for _ in 0..MAX_PAGES {
        let page = read_page(client, platform, token.as_deref()).await?;
        for entry in page.instances {
            match serde_json::from_value::<Server>(entry) {
                Ok(server) => servers.push(server),
                Err(reason) => log::warn!("an entry of the platform's list is left out: {reason}"),
            }
        }
        token = page.next_token.filter(|token| !token.is_empty());
        if token.is_none() {
            break;
        }
    }
    Ok(servers)
}

async fn read_page(
    client: &awc::Client,
    platform: SocketAddr,
    token: Option<&str>,
) -> Result<ListPage, ServerListError> {
    let query = token.map(|token| format!("?page_token={token}")).unwrap_or_default();
    let url = format!("http://{platform}/instances{query}");
    let unavailable = |reason: String| ServerListError::Unavailable(reason);
    let mut answer = client
        .get(url)
        .timeout(CALL_TIMEOUT)
        .send()
        .await
        .map_err(|reason| unavailable(reason.to_string()))?;
    if !answer.status().is_success() {
        return Err(unavailable(answer.status().to_string()));
    }
    let body = tokio::time::timeout(CALL_TIMEOUT, answer.body().limit(MAX_PAGE_BYTES));
    let body = body.await.map_err(|_| unavailable("too slow".to_owned()))?;
    let body = body.map_err(|reason| unavailable(reason.to_string()))?;
    serde_json::from_slice(&body).map_err(|reason| ServerListError::Unreadable(reason.to_string()))
}

/// Numbers the lists that one process reads.
#[derive(Debug)]
pub struct ServerListVersioner {
    life: u64,
    version: u64,
    last: Vec<Server>,
}

impl ServerListVersioner {
    /// `life` is drawn at the process's start.
    pub fn new(life: u64) -> Self {
        Self { life, version: 0, last: Vec::new() }
    }

    /// The list with its version, which rises when the list differs.
    pub fn assign_version(&mut self, mut servers: Vec<Server>) -> ServerList {
        servers.sort_by(|left, right| left.id.cmp(&right.id));
        if servers != self.last || self.version == 0 {
            self.version += 1;
            self.last = servers.clone();
        }
        ServerList { version: self.version, reader_incarnation: self.life, servers }
    }
}
