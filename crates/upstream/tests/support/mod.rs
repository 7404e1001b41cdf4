//! A server entry, a request, and the sender's exchange with it.

#![allow(dead_code)]

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use actix_web::web::Bytes;
use awc::http::Method;
use fennelgauge_model::{Server, ServerState};
use fennelgauge_upstream::{OutgoingRequest, RequestSender};
use tokio::task::LocalSet;

pub const TIMEOUT: Duration = Duration::from_secs(5);

pub fn run_local<F: Future<Output = ()>>(test: F) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, test);
}

pub fn server(addr: SocketAddr) -> Server {
    Server {
        id: "i-1".to_owned(),
        backend: "s".to_owned(),
        addr,
        zone: "z".to_owned(),
        slots: 1,
        state: ServerState::Ready,
        cold_ms: 0,
    }
}

pub fn request() -> OutgoingRequest {
    request_with_id("r-1")
}

pub fn request_with_id(id: &str) -> OutgoingRequest {
    OutgoingRequest {
        method: Method::POST,
        path_and_query: "/a".to_owned(),
        host: "h".to_owned(),
        id: id.to_owned(),
        headers: vec![],
        body: Bytes::from_static(b"prompt"),
    }
}

/// Sends a request and returns the body of the response; errs if it is incomplete.
pub async fn body(sender: &RequestSender, server: &Server) -> Result<Vec<u8>, String> {
    body_of(sender, server, "r-1").await
}

/// The same for a request with this id.
pub async fn body_of(sender: &RequestSender, server: &Server, id: &str) -> Result<Vec<u8>, String> {
    let response = sender.send(server, &request_with_id(id), TIMEOUT, TIMEOUT).await;
    let mut response = response.map_err(|error| error.to_string())?;
    let mut body = Vec::new();
    while let Some(chunk) = response.next().await {
        body.extend_from_slice(&chunk.map_err(|error| error.to_string())?);
    }
    Ok(body)
}
