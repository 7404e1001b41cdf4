//! Sends one request to one server.

use std::time::Duration;

use actix_http::RequestHead;
use actix_web::web::Bytes;
use awc::http::header::{HeaderName, HeaderValue, HOST};
use awc::http::{Method, StatusCode};

use tokio::time::timeout;

use crate::connection::{Connections, ExchangeError, UpstreamResponse};
use crate::{DEADLINE, NOT_EXECUTED, REQUEST_ID, SERVER_LOAD, TARGET_INSTANCE};
use fennelgauge_model::Server;
use fennelgauge_settings::Policy;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);
const IDLE_FOR: Duration = Duration::from_secs(12);
/// For the body of a refusal.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(20);

/// A request as it goes to whichever server is chosen.
#[derive(Clone, Debug)]
pub struct OutgoingRequest {
    pub method: Method,
    pub path_and_query: String,
    pub host: String,
    pub id: String,
    /// Without those that this module sets.
    pub headers: Vec<(HeaderName, HeaderValue)>,
    pub body: Bytes,
}

/// Why there is no answer that counts.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SendError {
    #[error("the server cannot be reached: it has not got the request")]
    NotSent,
    #[error("the server said that it has not run the request ({0})")]
    NotExecuted(StatusCode),
    #[error("the server broke off or was silent: it may have run the request")]
    MayHaveExecuted,
    #[error("the time is up: the server may have run the request")]
    TimedOut,
}

/// A client for calls to the platform, without habits of its own: no redirects, no decompression, no added headers.
pub fn platform_client() -> awc::Client {
    let connector = awc::Connector::new()
        .timeout(CONNECT_TIMEOUT)
        .conn_keep_alive(IDLE_FOR)
        .conn_lifetime(Duration::from_secs(3_600))
        .limit(0);
    awc::Client::builder()
        .connector(connector)
        .disable_redirects()
        .no_default_headers()
        .timeout(Duration::from_secs(60))
        .finish()
}

/// Sends requests.
#[derive(Clone, Default)]
pub struct RequestSender {
    connections: Connections,
}

impl RequestSender {
    /// As the policy has it.
    pub fn new(policy: &Policy) -> Self {
        Self { connections: Connections::new(policy.adaptive_connect) }
    }

    /// Opens a connection for later use; false if none could be opened.
    pub async fn connect(&self, server: &Server) -> bool {
        self.connections.open_idle(server.addr).await
    }

    /// Sends to `server` and waits for the head of its answer, `within` at most; `deadline` is what the server is told it has.
    pub async fn send(
        &self,
        server: &Server,
        outgoing: &OutgoingRequest,
        deadline: Duration,
        within: Duration,
    ) -> Result<UpstreamResponse, SendError> {
        let head = head(server, outgoing, deadline).ok_or(SendError::NotSent)?;
        let exchange = self.connections.exchange(server.addr, head, &outgoing.body);
        let answer = match timeout(within, exchange).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(ExchangeError::NotSent)) => return Err(SendError::NotSent),
            Ok(Err(ExchangeError::Broken)) => return Err(SendError::MayHaveExecuted),
            Err(_) => return Err(SendError::TimedOut),
        };
        checked(answer, &outgoing.id).await
    }

    /// Closes idle connections to servers that are not listed any more.
    pub fn retain_servers(&self, servers: &[Server]) {
        self.connections.retain_servers(|peer| servers.iter().any(|server| server.addr == *peer));
    }
}

/// The head that goes to the server; none if the path cannot be sent.
fn head(server: &Server, outgoing: &OutgoingRequest, deadline: Duration) -> Option<RequestHead> {
    let mut head = RequestHead::default();
    head.method = outgoing.method.clone();
    head.uri = outgoing.path_and_query.parse().ok()?;
    let headers = head.headers_mut();
    headers.insert(HOST, HeaderValue::from_str(&outgoing.host).ok()?);
    headers.insert(REQUEST_ID, HeaderValue::from_str(&outgoing.id).ok()?);
    headers.insert(TARGET_INSTANCE, HeaderValue::from_str(&server.id).ok()?);
    headers.insert(DEADLINE, HeaderValue::from(deadline.as_millis().max(1) as u64));
    for (name, value) in &outgoing.headers {
        headers.append(name.clone(), value.clone());
    }
    Some(head)
}

async fn checked(answer: UpstreamResponse, id: &str) -> Result<UpstreamResponse, SendError> {
    let status = answer.status();
    let answered = answer.headers().get(REQUEST_ID).map(|value| value.as_bytes() == id.as_bytes());
    if answered == Some(false) || (answered.is_none() && status.is_success()) {
        return Err(SendError::MayHaveExecuted);
    }
    let not_executed =
        answer.headers().contains_key(NOT_EXECUTED) || status == StatusCode::MISDIRECTED_REQUEST;
    if not_executed {
        let _ = timeout(REFUSAL_TIMEOUT, answer.discard()).await;
        return Err(SendError::NotExecuted(status));
    }
    Ok(answer)
}

/// Whether the status tells of a server in trouble; a 504 tells of a request that had too little time.
fn is_own_error(status: StatusCode) -> bool {
    [StatusCode::INTERNAL_SERVER_ERROR, StatusCode::BAD_GATEWAY].contains(&status)
}

/// The value of an answer's load header.
fn told_load(answer: &UpstreamResponse) -> Option<&str> {
    answer.headers().get(SERVER_LOAD)?.to_str().ok()
}

impl crate::ServerPool {
    /// Learns from the head of an answer.
    pub fn record_response(&self, ticket: &crate::InFlightGuard, answer: &UpstreamResponse) {
        match self.learns_errors() && is_own_error(answer.status()) {
            true => self.record_error_response(ticket),
            false => self.record_success(ticket, told_load(answer)),
        }
    }

    /// Learns from a failure.
    pub fn record_send_error(&self, server: &Server, error: &SendError) {
        match error {
            SendError::NotSent => self.record_connect_failure(&server.id),
            SendError::MayHaveExecuted | SendError::TimedOut => self.record_failure(&server.id),
            SendError::NotExecuted(StatusCode::MISDIRECTED_REQUEST) => self.record_failure(&server.id),
            SendError::NotExecuted(_) => self.record_overload(&server.id),
        }
    }
}
