//! Calls as the users' clients make them.

use std::net::SocketAddr;
use std::time::Duration;

use awc::error::SendRequestError;
use awc::http::header::CONTENT_LENGTH;
use awc::http::Method;
use awc::{Client, ClientRequest};

/// An answer that is whole.
#[derive(Clone, Debug)]
pub struct Whole {
    pub status: u16,
    pub body: Vec<u8>,
}

/// Why there is none.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoAnswer {
    /// No connection came up: nothing was sent.
    NotConnected,
    /// The connection ended, or the answer did, before it was whole.
    Broken,
    /// What came is no answer.
    Malformed,
    TimedOut,
}

const MOST_BYTES: usize = 8 << 20;

/// Where a request goes and by whom.
#[derive(Clone, Debug)]
pub struct To<'a> {
    pub address: SocketAddr,
    pub path: &'a str,
    /// The key of its tenant.
    pub key: &'a str,
}

/// A request with what all clients send.
pub fn request(client: &Client, method: Method, to: &To, within: Duration) -> ClientRequest {
    client
        .request(method, format!("http://{}{}", to.address, to.path))
        .insert_header(("Host", "tier.example"))
        .insert_header(("Authorization", format!("Bearer {}", to.key)))
        .timeout(within)
}

/// Sends a request and reads the whole answer.
pub async fn send(request: ClientRequest, body: Vec<u8>) -> Result<Whole, NoAnswer> {
    let mut answer = match request.send_body(body).await {
        Ok(answer) => answer,
        Err(SendRequestError::Connect(_) | SendRequestError::Url(_)) => return Err(NoAnswer::NotConnected),
        Err(SendRequestError::Timeout) => return Err(NoAnswer::TimedOut),
        Err(_) => return Err(NoAnswer::Broken),
    };
    let status = answer.status().as_u16();
    let length = answer.headers().get(CONTENT_LENGTH).and_then(|value| value.to_str().ok()?.parse().ok());
    let body = answer.body().limit(MOST_BYTES).await.map_err(|_| NoAnswer::Broken)?;
    // The library takes the end of a connection for the end of a body.
    match length.is_none_or(|length: usize| length == body.len()) {
        true => Ok(Whole { status, body: body.to_vec() }),
        false => Err(NoAnswer::Broken),
    }
}
