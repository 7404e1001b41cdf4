//! Reads requests from a connection of a stand-in server.

use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::net::tcp::OwnedReadHalf;

/// Most headers of a request.
const MAX_HEADERS: usize = 64;
/// Longest head of a request, in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// Deadline of requests that name none.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);

/// The head of a request.
#[derive(Clone, Debug, Default)]
pub(super) struct RequestHead {
    pub(super) path: String,
    pub(super) id: String,
    pub(super) tenant: String,
    /// Instance id of the server that the request is meant for; empty if it is meant for any.
    pub(super) target: String,
    /// Event that the response is to be resumed after; 0 for one from the beginning.
    pub(super) after: u64,
    pub(super) deadline: Duration,
    pub(super) has_api_key: bool,
    pub(super) content_length: usize,
}

/// Reads what arrives on a connection.
pub(super) struct RequestReader {
    read: OwnedReadHalf,
    buffer: Vec<u8>,
}

impl RequestReader {
    pub(super) fn new(read: OwnedReadHalf) -> Self {
        Self { read, buffer: Vec::new() }
    }

    /// Reads the next head; `None` if the connection ends or what arrives is no request.
    pub(super) async fn head(&mut self) -> Option<RequestHead> {
        loop {
            if let Some((head, length)) = parse(&self.buffer)? {
                self.buffer.drain(..length);
                return Some(head);
            }
            if self.buffer.len() > MAX_HEAD_BYTES || self.read.read_buf(&mut self.buffer).await.ok()? == 0 {
                return None;
            }
        }
    }

    /// Reads a body and drops it; `None` if the connection ends before.
    pub(super) async fn discard_body(&mut self, length: usize) -> Option<()> {
        while self.buffer.len() < length {
            if self.read.read_buf(&mut self.buffer).await.ok()? == 0 {
                return None;
            }
        }
        self.buffer.drain(..length);
        Some(())
    }

    /// Waits until the client has closed its side. Does not return if it sends more instead.
    pub(super) async fn closed(&mut self) {
        let mut byte = [0; 1];
        if matches!(self.read.peek(&mut byte).await, Ok(1)) {
            std::future::pending::<()>().await;
        }
    }
}

/// Parses a head at the start of `bytes`. Returns it with its length, `Some(None)` if it is incomplete, and `None` if it is no
/// request.
fn parse(bytes: &[u8]) -> Option<Option<(RequestHead, usize)>> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let httparse::Status::Complete(length) = request.parse(bytes).ok()? else { return Some(None) };
    let mut head =
        RequestHead { path: request.path?.to_owned(), deadline: DEFAULT_DEADLINE, ..RequestHead::default() };
    for header in request.headers.iter() {
        let value = String::from_utf8_lossy(header.value);
        match header.name.to_ascii_lowercase().as_str() {
            "x-fennelgauge-request-id" => head.id = value.into_owned(),
            "x-fennelgauge-tenant" => head.tenant = value.into_owned(),
            "x-fennelgauge-target-instance" => head.target = value.into_owned(),
            "x-fennelgauge-request-deadline" => {
                head.deadline = value.parse().map_or(DEFAULT_DEADLINE, Duration::from_millis);
            }
            "last-event-id" => head.after = value.parse().unwrap_or(0),
            "authorization" => head.has_api_key = true,
            "content-length" => head.content_length = value.parse().ok()?,
            _ => {}
        }
    }
    Some(Some((head, length)))
}
