//! Fetches the server list from the platform.

use std::net::SocketAddr;
use std::time::Duration;

use fennelgauge_model::{Server, ServerList};
use serde::Deserialize;

/// Timeout for the head of a response and again for its body.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);
/// Pages after which fetching stops, in case the platform never ends its list.
const MAX_PAGES: usize = 400;
const MAX_PAGE_BYTES: usize = 8 << 20;

/// Why the server list could not be fetched. Callers try again at their next interval.
#[derive(Debug, thiserror::Error)]
pub enum ServerListError {
    /// The platform did not respond in time or responded with an error.
    #[error("server list: the platform is unavailable ({0}); retrying")]
    Unavailable(String),
    /// The response is not a page of a server list.
    #[error("server list: the response of the platform is malformed ({0}); retrying")]
    Malformed(String),
}

#[derive(Deserialize)]
struct ListPage {
    instances: Vec<serde_json::Value>,
    next_token: Option<String>,
}

/// Fetches all pages of the server list. Entries that do not describe a server are logged and skipped.
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
                Err(reason) => log::warn!("server list: skipped an invalid entry: {reason}"),
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
    let mut response = client
        .get(url)
        .timeout(CALL_TIMEOUT)
        .send()
        .await
        .map_err(|reason| unavailable(reason.to_string()))?;
    if !response.status().is_success() {
        return Err(unavailable(response.status().to_string()));
    }
    let body = tokio::time::timeout(CALL_TIMEOUT, response.body().limit(MAX_PAGE_BYTES));
    let body = body.await.map_err(|_| unavailable("too slow".to_owned()))?;
    let body = body.map_err(|reason| unavailable(reason.to_string()))?;
    serde_json::from_slice(&body).map_err(|reason| ServerListError::Malformed(reason.to_string()))
}

/// Assigns version numbers to the server lists that one process fetches.
#[derive(Debug)]
pub struct ServerListVersioner {
    incarnation: u64,
    version: u64,
    last: Vec<Server>,
}

impl ServerListVersioner {
    /// Creates a versioner; `incarnation` is a random number drawn when the process starts.
    pub fn new(incarnation: u64) -> Self {
        Self { incarnation, version: 0, last: Vec::new() }
    }

    /// Sorts the servers by id and returns them with a version, which rises if the list differs from the last one.
    pub fn assign_version(&mut self, mut servers: Vec<Server>) -> ServerList {
        servers.sort_by(|left, right| left.id.cmp(&right.id));
        if servers != self.last || self.version == 0 {
            self.version += 1;
            self.last = servers.clone();
        }
        ServerList { version: self.version, reader_incarnation: self.incarnation, servers }
    }
}
