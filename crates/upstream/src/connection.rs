//! Connections to servers and HTTP/1.1 exchanges on them.
//!
//! The `awc` client mistakes a connection that is lost midway for the end of the body. Exchanges are therefore
//! implemented here on top of the codec of `actix-http`: a response is complete only if its framing says so.

use std::cell::RefCell;
use std::collections::HashMap;
use std::io::Read;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::body::BodySize;
use actix_http::h1::{ClientCodec, ClientPayloadCodec, Message, MessageType};
use actix_http::{RequestHead, RequestHeadType, ResponseHead};
use actix_web::web::{Bytes, BytesMut};
use awc::http::header::{HeaderMap, HeaderValue, CONTENT_LENGTH, TRANSFER_ENCODING};
use awc::http::{Method, StatusCode};
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{timeout, Instant};
use tokio_util::codec::{Decoder, Encoder};

use crate::connect_timeout::ConnectTimeout;
use crate::{KEEP_ALIVE, REQUEST_ID};

/// Time for which an idle connection is reused if the server does not announce its own limit.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Idle connections are dropped this long before the server's limit, so that a request does not meet a connection
/// being closed.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_millis(700);
/// Initial capacity of the read buffer.
const READ_BUFFER_BYTES: usize = 8 << 10;

/// Why an exchange yields no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ExchangeError {
    /// No connection could be opened, or the request could not be encoded: the server has not received it.
    NotSent,
    /// The connection was lost or carried no valid response: the server may have executed the request.
    Broken,
}

/// Pool of idle connections, shared by its clones.
#[derive(Clone, Default)]
pub(crate) struct Connections {
    idle: Rc<RefCell<HashMap<SocketAddr, Vec<IdleConnection>>>>,
    connect_timeout: Rc<RefCell<ConnectTimeout>>,
}

struct IdleConnection {
    stream: TcpStream,
    /// Id of the last request that was sent on it, if any.
    last_request_id: Option<HeaderValue>,
    expires_at: Instant,
}

/// The response of a server: its head, and its body as a stream. Dropping it before the end of the body was read closes the
/// connection, also if there is none, until [`Self::finish_if_empty`].
pub struct UpstreamResponse {
    head: ResponseHead,
    body: Body,
    /// Whether its connection had been used for another request.
    on_reused_connection: bool,
}

/// How the end of a body is detected.
enum Framing {
    /// There is no body.
    Empty,
    /// By its length or by its chunks.
    Delimited(ClientPayloadCodec),
    /// By the orderly end of the connection; a reset means that the body is truncated.
    UntilClose,
}

struct Body {
    /// `None` after the end of the body.
    stream: Option<TcpStream>,
    buffer: BytesMut,
    framing: Framing,
    /// Whether the connection can be reused after the body.
    keep_alive: bool,
    idle_timeout: Duration,
    peer: SocketAddr,
    request_id: Option<HeaderValue>,
    connections: Connections,
}

/// The connection ended before the end of the body.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("the response body was truncated: the connection to the server ended early")]
pub struct TruncatedBody;

impl Connections {
    /// Creates an empty pool. With `adaptive`, the connect timeout is derived from the duration of earlier attempts.
    pub(crate) fn new(adaptive: bool) -> Self {
        Self { idle: Rc::default(), connect_timeout: Rc::new(RefCell::new(ConnectTimeout::new(adaptive))) }
    }

    /// Sends a request on an idle or a new connection and reads the head of the response.
    pub(crate) async fn exchange(
        &self,
        peer: SocketAddr,
        head: RequestHead,
        body: &Bytes,
    ) -> Result<UpstreamResponse, ExchangeError> {
        let mut codec = ClientCodec::default();
        let mut request = BytesMut::new();
        let size = BodySize::Sized(body.len() as u64);
        let method = head.method.clone();
        let request_id = head.headers().get(REQUEST_ID).cloned();
        let head = RequestHeadType::Owned(head);
        codec.encode(Message::Item((head, size)), &mut request).map_err(|_| ExchangeError::NotSent)?;
        let (mut stream, on_reused_connection) =
            self.acquire(peer, &request_id).await.ok_or(ExchangeError::NotSent)?;
        request.extend_from_slice(body);
        let written = stream.write_all(&request).await;
        let mut buffer = BytesMut::with_capacity(READ_BUFFER_BYTES);
        let head = loop {
            match codec.decode(&mut buffer) {
                Ok(Some(head)) => break head,
                Ok(None) => {}
                Err(_) => return Err(ExchangeError::Broken),
            }
            match stream.read_buf(&mut buffer).await {
                Ok(read) if read > 0 => {}
                _ => return Err(ExchangeError::Broken),
            }
        };
        let has_body = codec.message_type() != MessageType::None;
        // The codec takes a response without framing headers for one without a body.
        let ends_with_connection = !has_body && ends_with_connection(&method, &head);
        let is_until_close = ends_with_connection || codec.message_type() == MessageType::Stream;
        // A write that failed has taken the connection's error: the end of file says nothing any more.
        if is_until_close && written.is_err() {
            return Err(ExchangeError::Broken);
        }
        let keep_alive = codec.keep_alive() && written.is_ok() && !ends_with_connection;
        let idle_timeout = announced_idle_timeout(head.headers()).unwrap_or(DEFAULT_IDLE_TIMEOUT);
        let framing = match codec.message_type() {
            _ if is_until_close => Framing::UntilClose,
            MessageType::Stream => Framing::UntilClose,
            MessageType::None => Framing::Empty,
            MessageType::Payload => Framing::Delimited(codec.into_payload_codec()),
        };
        let body = Body {
            stream: Some(stream),
            buffer,
            framing,
            keep_alive,
            idle_timeout,
            peer,
            request_id,
            connections: self.clone(),
        };
        Ok(UpstreamResponse { head, body, on_reused_connection })
    }

    /// Takes a usable idle connection or opens a new one; returns it with whether it was idle.
    async fn acquire(&self, peer: SocketAddr, request_id: &Option<HeaderValue>) -> Option<(TcpStream, bool)> {
        while let Some(stream) = self.take_idle(peer, request_id) {
            if is_open_and_unread(&stream) {
                return Some((stream, true));
            }
        }
        Some((self.open(peer).await?, false))
    }

    async fn open(&self, peer: SocketAddr) -> Option<TcpStream> {
        let started = Instant::now();
        let limit = self.connect_timeout.borrow().timeout();
        let connected = timeout(limit, TcpStream::connect(peer)).await;
        match &connected {
            Ok(_) => self.connect_timeout.borrow_mut().record_completed(started.elapsed()),
            Err(_) => self.connect_timeout.borrow_mut().record_timeout(),
        }
        let stream = connected.ok()?.ok()?;
        stream.set_nodelay(true).ok()?;
        Some(stream)
    }

    /// Opens a connection and adds it to the pool; returns whether that succeeded.
    pub(crate) async fn open_idle(&self, peer: SocketAddr) -> bool {
        let Some(stream) = self.open(peer).await else { return false };
        self.add_idle(peer, stream, None, DEFAULT_IDLE_TIMEOUT);
        true
    }

    /// Takes the newest idle connection on which the last request was another one: a second answer to that request would be taken
    /// for one to its next attempt, which has the same id.
    fn take_idle(&self, peer: SocketAddr, request_id: &Option<HeaderValue>) -> Option<TcpStream> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&peer)?;
        let now = Instant::now();
        connections.retain(|connection| connection.expires_at > now);
        let is_usable = |connection: &IdleConnection| {
            connection.last_request_id.is_none() || connection.last_request_id != *request_id
        };
        let index = connections.iter().rposition(is_usable)?;
        Some(connections.remove(index).stream)
    }

    fn add_idle(
        &self,
        peer: SocketAddr,
        stream: TcpStream,
        last_request_id: Option<HeaderValue>,
        idle_timeout: Duration,
    ) {
        let expires_at = Instant::now() + idle_timeout.saturating_sub(IDLE_TIMEOUT_MARGIN);
        self.idle.borrow_mut().entry(peer).or_default().push(IdleConnection {
            stream,
            last_request_id,
            expires_at,
        });
    }

    /// Closes the idle connections that have expired or lead to a peer for which `is_listed` returns false.
    pub(crate) fn retain_peers(&self, is_listed: impl Fn(&SocketAddr) -> bool) {
        let now = Instant::now();
        self.idle.borrow_mut().retain(|peer, connections| {
            connections.retain(|connection| connection.expires_at > now);
            !connections.is_empty() && is_listed(peer)
        });
    }
}

/// Returns whether an idle connection is open and has no unread data, which could not belong to the next response. Asks the
/// socket itself: the runtime knows only what it has been told of since it last waited for events.
fn is_open_and_unread(stream: &TcpStream) -> bool {
    let mut byte = [0; 1];
    let read = (&*SockRef::from(stream)).read(&mut byte);
    matches!(read, Err(reason) if reason.kind() == std::io::ErrorKind::WouldBlock)
}

/// Returns whether a response has a body that ends with its connection: it may have a body, but no header says where
/// that ends.
fn ends_with_connection(method: &Method, head: &ResponseHead) -> bool {
    let headers = head.headers();
    let is_delimited = headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING);
    let has_no_body = [StatusCode::NO_CONTENT, StatusCode::NOT_MODIFIED].contains(&head.status);
    !is_delimited && !has_no_body && !head.status.is_informational() && method != Method::HEAD
}

/// Returns how long the server keeps an idle connection, from the `timeout` of its `Keep-Alive` header.
fn announced_idle_timeout(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get(KEEP_ALIVE)?.to_str().ok()?;
    let timeout = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    timeout.trim().parse().ok().map(Duration::from_secs)
}

impl UpstreamResponse {
    /// Returns the status code.
    pub fn status(&self) -> StatusCode {
        self.head.status
    }

    /// Returns the headers.
    pub fn headers(&self) -> &HeaderMap {
        self.head.headers()
    }

    /// Whether the connection of this response had been idle before its request.
    pub fn on_reused_connection(&self) -> bool {
        self.on_reused_connection
    }

    /// Returns the next bytes of the body, or `None` if it is complete.
    pub async fn next(&mut self) -> Option<Result<Bytes, TruncatedBody>> {
        self.body.next().await
    }

    /// Makes the connection reusable at once if the response has no body.
    pub(crate) fn finish_if_empty(&mut self) {
        if matches!(self.body.framing, Framing::Empty) {
            self.body.finish();
        }
    }

    /// Reads and drops the rest of the body, so that the connection can be reused.
    pub async fn discard(mut self) {
        while let Some(Ok(_)) = self.next().await {}
    }
}

impl Body {
    async fn next(&mut self) -> Option<Result<Bytes, TruncatedBody>> {
        loop {
            self.stream.as_ref()?;
            match &mut self.framing {
                Framing::Empty => {
                    self.finish();
                    return None;
                }
                Framing::UntilClose if !self.buffer.is_empty() => {
                    return Some(Ok(self.buffer.split().freeze()));
                }
                Framing::UntilClose => {}
                Framing::Delimited(codec) => match codec.decode(&mut self.buffer) {
                    Ok(Some(Some(bytes))) => return Some(Ok(bytes)),
                    Ok(Some(None)) => {
                        self.finish();
                        return None;
                    }
                    Ok(None) => {}
                    Err(_) => return self.truncated(),
                },
            }
            let stream = self.stream.as_mut()?;
            match stream.read_buf(&mut self.buffer).await {
                Ok(read) if read > 0 => {}
                Ok(_) if matches!(self.framing, Framing::UntilClose) => {
                    self.stream = None;
                    return None;
                }
                _ => return self.truncated(),
            }
        }
    }

    fn truncated(&mut self) -> Option<Result<Bytes, TruncatedBody>> {
        self.stream = None;
        Some(Err(TruncatedBody))
    }

    /// Ends a complete body and returns the connection to the pool if it is reusable and no surplus data was
    /// received.
    fn finish(&mut self) {
        let Some(stream) = self.stream.take() else { return };
        if self.keep_alive && self.buffer.is_empty() && !matches!(self.framing, Framing::UntilClose) {
            self.connections.add_idle(self.peer, stream, self.request_id.take(), self.idle_timeout);
        }
    }
}
