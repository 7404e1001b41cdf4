//! Sends one request to one server.

use std::time::Duration;

use actix_web::web::Bytes;
use awc::error::SendRequestError;
use awc::http::header::{HeaderName, HeaderValue, HOST};
use awc::http::{Method, StatusCode};

use crate::{DEADLINE, NOT_EXECUTED, REQUEST_ID, SERVER_LOAD, TARGET_INSTANCE};
use fennelgauge_model::Server;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);
const IDLE_FOR: Duration = Duration::from_secs(12);

/// An answer's head, with its body still to come.
pub type Answer = awc::ClientResponse;

/// A request as it goes to whichever server is chosen.
#[derive(Clone, Debug)]
pub struct Outgoing {
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
    MayHaveRun,
    #[error("the time is up: the server may have run the request")]
    TimeUp,
}

/// A client without habits of its own: no redirects, no decompression, no added headers.
pub fn client() -> awc::Client {
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
#[derive(Clone)]
pub struct Sender {
    client: awc::Client,
}

impl Default for Sender {
    fn default() -> Self {
        Self { client: client() }
    }
}

impl Sender {
    /// Sends to `server` and waits for the head of its answer, `within` at most; `deadline` is what the server is told it has.
    pub async fn send(
        &self,
        server: &Server,
        outgoing: &Outgoing,
        deadline: Duration,
        within: Duration,
    ) -> Result<Answer, SendError> {
        let url = format!("http://{}{}", server.addr, outgoing.path_and_query);
        let mut request = self.client.request(outgoing.method.clone(), url).no_decompress().timeout(within);
        let headers = request.headers_mut();
        for (name, value) in &outgoing.headers {
            headers.append(name.clone(), value.clone());
        }
        let request = request
            .insert_header((HOST, outgoing.host.as_str()))
            .insert_header((REQUEST_ID, outgoing.id.as_str()))
            .insert_header((TARGET_INSTANCE, server.id.as_str()))
            .insert_header((DEADLINE, deadline.as_millis().max(1).to_string()));
        let answer = request.send_body(outgoing.body.clone()).await.map_err(classified)?;
        checked(answer, &outgoing.id)
    }
}

fn classified(error: SendRequestError) -> SendError {
    match error {
        SendRequestError::Url(_) | SendRequestError::Connect(_) => SendError::NotSent,
        SendRequestError::Timeout => SendError::TimeUp,
        _ => SendError::MayHaveRun,
    }
}

fn checked(answer: Answer, id: &str) -> Result<Answer, SendError> {
    let status = answer.status();
    let answered = answer.headers().get(REQUEST_ID).map(|value| value.as_bytes() == id.as_bytes());
    if answered == Some(false) || (answered.is_none() && status.is_success()) {
        return Err(SendError::MayHaveRun);
    }
    let not_executed =
        answer.headers().contains_key(NOT_EXECUTED) || status == StatusCode::MISDIRECTED_REQUEST;
    match not_executed {
        true => Err(SendError::NotExecuted(status)),
        false => Ok(answer),
    }
}

/// The value of an answer's load header.
pub(crate) fn told_load(answer: &Answer) -> Option<&str> {
    answer.headers().get(SERVER_LOAD)?.to_str().ok()
}

impl crate::Pool {
    /// Learns from the head of an answer.
    pub fn learn(&self, server: &Server, answer: &Answer) {
        self.answered(&server.id, told_load(answer));
    }

    /// Learns from a failure.
    pub fn learn_failure(&self, server: &Server, error: &SendError) {
        match error {
            SendError::NotSent | SendError::MayHaveRun => self.failed(&server.id),
            SendError::NotExecuted(StatusCode::MISDIRECTED_REQUEST) => self.failed(&server.id),
            SendError::NotExecuted(_) => self.full(&server.id),
            SendError::TimeUp => {}
        }
    }
}
