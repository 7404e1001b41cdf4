//! Sends a request to a server and classifies the result.

use std::time::Duration;

use actix_http::RequestHead;
use actix_web::web::Bytes;
use awc::http::header::{HeaderName, HeaderValue, HOST};
use awc::http::{Method, StatusCode};

use tokio::time::timeout;

use crate::connection::{Connections, ExchangeError};
use crate::response::UpstreamResponse;
use crate::{DEADLINE, NOT_EXECUTED, REQUEST_ID, SERVER_LOAD, TARGET_INSTANCE};
use fennelgauge_model::Server;
use fennelgauge_settings::Policy;

/// For calls to the platform.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);
/// For connections to the platform.
const IDLE_TIMEOUT: Duration = Duration::from_secs(12);
/// Longest time for reading the body of a response that says that the request was not executed.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(20);

/// Clients take a response with one of these statuses for a promise that their request is not executed.
const PROMISING_STATUSES: [StatusCode; 3] =
    [StatusCode::TOO_MANY_REQUESTS, StatusCode::SERVICE_UNAVAILABLE, StatusCode::REQUEST_TIMEOUT];

/// A request in the form in which it can be sent to any server.
#[derive(Clone, Debug)]
pub struct OutgoingRequest {
    /// HTTP method.
    pub method: Method,
    /// Path and query of the request target.
    pub path_and_query: String,
    /// Value of the `Host` header.
    pub host: String,
    /// Request id, which is the same in every attempt.
    pub id: String,
    /// Headers other than those that [`RequestSender::send`] adds: host, request id, target instance and deadline.
    pub headers: Vec<(HeaderName, HeaderValue)>,
    /// The complete body.
    pub body: Bytes,
}

/// Why a request has no valid response.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SendError {
    /// No connection could be opened, or the request cannot be encoded.
    #[error("no connection to the server: it has not received the request")]
    NotSent,
    /// The server responded that it has not executed the request.
    #[error("the server has not executed the request ({0})")]
    NotExecuted(StatusCode),
    /// The server responded with a status that promises that the request is not executed, but does not say that it is not.
    #[error("the server answers {0} without saying that it has not executed the request: it may have")]
    UnmarkedRefusal(StatusCode),
    /// The connection was lost, or the response was invalid or belongs to another request.
    #[error("no valid response: the server may have executed the request")]
    MayHaveExecuted,
    /// No response head was received in time.
    #[error("timed out: the server may have executed the request")]
    TimedOut,
}

/// Creates a client for calls to the platform. It follows no redirects and adds no default headers.
pub fn platform_client() -> awc::Client {
    let connector = awc::Connector::new()
        .timeout(CONNECT_TIMEOUT)
        .conn_keep_alive(IDLE_TIMEOUT)
        .conn_lifetime(Duration::from_secs(3_600))
        .limit(0);
    awc::Client::builder()
        .connector(connector)
        .disable_redirects()
        .no_default_headers()
        .timeout(Duration::from_secs(60))
        .finish()
}

/// Sends requests to servers over pooled connections, which its clones share.
#[derive(Clone, Default)]
pub struct RequestSender {
    connections: Connections,
}

impl RequestSender {
    /// Creates a sender; the policy decides about the connect timeout.
    pub fn new(policy: &Policy) -> Self {
        Self { connections: Connections::new(policy.adaptive_connect) }
    }

    /// Opens a connection for later use; returns whether that succeeded.
    pub async fn connect(&self, server: &Server) -> bool {
        self.connections.open_idle(server.addr).await
    }

    /// Sends a request to `server` and waits for the head of its response for at most `head_timeout`. `deadline` is
    /// the remaining time for the request, which the server is informed of.
    pub async fn send(
        &self,
        server: &Server,
        outgoing: &OutgoingRequest,
        deadline: Duration,
        head_timeout: Duration,
    ) -> Result<UpstreamResponse, SendError> {
        let head = request_head(server, outgoing, deadline).ok_or(SendError::NotSent)?;
        let exchange = self.connections.exchange(server.addr, head, &outgoing.body);
        let response = match timeout(head_timeout, exchange).await {
            Ok(Ok(response)) => response,
            Ok(Err(ExchangeError::NotSent)) => return Err(SendError::NotSent),
            Ok(Err(ExchangeError::Broken)) => return Err(SendError::MayHaveExecuted),
            Err(_) => return Err(SendError::TimedOut),
        };
        log_evidence(&response, server, outgoing);
        validate_response(response, &outgoing.id).await
    }

    /// Closes idle connections to servers that are not in `servers`.
    pub fn retain_servers(&self, servers: &[Server]) {
        self.connections.retain_peers(|peer| servers.iter().any(|server| server.addr == *peer));
    }
}

/// Creates the request head for a server; `None` if the path or a header value is invalid.
fn request_head(server: &Server, outgoing: &OutgoingRequest, deadline: Duration) -> Option<RequestHead> {
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

/// Rejects a response that belongs to another request or to none, that says that the request was not executed, or that would tell
/// the client so though the server does not. A server repeats the id of the request in each response, whatever its status: one without it tells nothing about this request.
async fn validate_response(mut response: UpstreamResponse, id: &str) -> Result<UpstreamResponse, SendError> {
    let status = response.status();
    let is_for_this_request =
        response.headers().get(REQUEST_ID).is_some_and(|value| value.as_bytes() == id.as_bytes());
    if !is_for_this_request {
        return Err(SendError::MayHaveExecuted);
    }
    let not_executed =
        response.headers().contains_key(NOT_EXECUTED) || status == StatusCode::MISDIRECTED_REQUEST;
    if not_executed {
        let _ = timeout(DISCARD_TIMEOUT, response.discard()).await;
        return Err(SendError::NotExecuted(status));
    }
    response.finish_if_empty();
    match PROMISING_STATUSES.contains(&status) {
        true => Err(SendError::UnmarkedRefusal(status)),
        false => Ok(response),
    }
}

/// Logs what the outcome of an attempt is concluded from, unless it is a success for this request.
fn log_evidence(response: &UpstreamResponse, server: &Server, outgoing: &OutgoingRequest) {
    let id = response.headers().get(REQUEST_ID).map(|value| String::from_utf8_lossy(value.as_bytes()));
    if response.status().is_success() && id.as_deref() == Some(outgoing.id.as_str()) {
        return;
    }
    log::info!(
        "request {}: server {} answers {} for request {}, {}, on {} connection",
        outgoing.id,
        server.id,
        response.status(),
        id.as_deref().unwrap_or("(no id)"),
        match response.headers().contains_key(NOT_EXECUTED) {
            true => "with X-Fennelgauge-Not-Executed",
            false => "without X-Fennelgauge-Not-Executed",
        },
        if response.on_reused_connection() { "a kept" } else { "a new" },
    );
}

/// Returns whether the status indicates a failing server. A 504 does not: it means that the request had too little
/// time.
fn is_server_failure(status: StatusCode) -> bool {
    [StatusCode::INTERNAL_SERVER_ERROR, StatusCode::BAD_GATEWAY].contains(&status)
}

/// Returns the value of the load header of a response.
fn load_header(response: &UpstreamResponse) -> Option<&str> {
    response.headers().get(SERVER_LOAD)?.to_str().ok()
}

impl crate::ServerPool {
    /// Updates the state of a server from the head of its response.
    pub fn record_response(&self, guard: &crate::InFlightGuard, response: &UpstreamResponse) {
        match self.counts_error_responses() && is_server_failure(response.status()) {
            true => self.record_error_response(guard),
            false => self.record_success(guard, load_header(response)),
        }
    }

    /// Updates the state of a server after a request without a valid response.
    pub fn record_send_error(&self, server: &Server, error: &SendError) {
        match error {
            SendError::NotSent => self.record_connect_failure(&server.id),
            SendError::MayHaveExecuted | SendError::TimedOut => self.record_failure(&server.id),
            SendError::NotExecuted(StatusCode::MISDIRECTED_REQUEST) => self.record_failure(&server.id),
            SendError::NotExecuted(_) | SendError::UnmarkedRefusal(_) => self.record_overload(&server.id),
        }
    }
}
