//! Connections to servers and HTTP/1.1 exchanges on them.
//!
//! The `awc` client mistakes a connection that is lost midway for the end of the body, and reads heads leniently. Exchanges are
//! therefore implemented here: a response is complete only if its head says where it ends, and it ended there.

use std::cell::RefCell;
use std::collections::HashMap;
use std::io::Read;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::body::BodySize;
use actix_http::h1::{ClientCodec, Message};
use actix_http::{RequestHead, RequestHeadType};
use actix_web::web::{Bytes, BytesMut};
use awc::http::header::{HeaderMap, HeaderValue};
use awc::http::Method;
use fennelgauge_response_head::BodyEnd;
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{timeout, Instant};
use tokio_util::codec::Encoder;

use crate::connect_timeout::ConnectTimeout;
use crate::response::{reserve_for_read, Body, ReceivedHead, UpstreamResponse};
use crate::{KEEP_ALIVE, REQUEST_ID};

/// Time for which an idle connection is reused if the server does not announce its own limit.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Idle connections are dropped this long before the server's limit, so that a request does not meet a connection
/// being closed.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_millis(700);

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

/// Where a connection goes when its response is complete.
pub(crate) struct IdlePlace {
    connections: Connections,
    peer: SocketAddr,
    request_id: Option<HeaderValue>,
    idle_timeout: Duration,
}

impl IdlePlace {
    /// Makes the connection available to other requests.
    pub(crate) fn add(self, stream: TcpStream) {
        self.connections.add_idle(self.peer, stream, self.request_id, self.idle_timeout);
    }
}

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
        let answers_head_request = head.method == Method::HEAD;
        let request_id = head.headers().get(REQUEST_ID).cloned();
        let request = encode_request(head, body).ok_or(ExchangeError::NotSent)?;
        let (mut stream, on_reused_connection) =
            self.acquire(peer, &request_id).await.ok_or(ExchangeError::NotSent)?;
        let is_written = stream.write_all(&request).await.is_ok();
        let mut buffer = BytesMut::new();
        let head = read_head(&mut stream, &mut buffer, answers_head_request, peer).await?;
        // A write that failed has taken the connection's error: the end of file says nothing any more.
        if head.body_end == BodyEnd::ConnectionClose && !is_written {
            return Err(ExchangeError::Broken);
        }
        let idle_timeout = announced_idle_timeout(&head.headers).unwrap_or(DEFAULT_IDLE_TIMEOUT);
        let return_to = (head.keep_alive && is_written).then(|| IdlePlace {
            connections: self.clone(),
            peer,
            request_id,
            idle_timeout,
        });
        let body = Body::new(stream, buffer, head.body_end, return_to);
        Ok(UpstreamResponse::new(head, body, on_reused_connection))
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

/// Encodes a request; `None` if its head is invalid.
fn encode_request(head: RequestHead, body: &Bytes) -> Option<BytesMut> {
    let mut request = BytesMut::new();
    let size = BodySize::Sized(body.len() as u64);
    let head = RequestHeadType::Owned(head);
    ClientCodec::default().encode(Message::Item((head, size)), &mut request).ok()?;
    request.extend_from_slice(body);
    Some(request)
}

/// Reads the head of a response; what follows it is left in the buffer.
async fn read_head(
    stream: &mut TcpStream,
    buffer: &mut BytesMut,
    answers_head_request: bool,
    peer: SocketAddr,
) -> Result<ReceivedHead, ExchangeError> {
    loop {
        match ReceivedHead::split_from(buffer, answers_head_request) {
            Ok(Some(head)) => return Ok(head),
            Ok(None) => {}
            Err(reason) => {
                log::info!("server at {peer}: what it sends is no response: {reason}");
                return Err(ExchangeError::Broken);
            }
        }
        reserve_for_read(buffer);
        match stream.read_buf(buffer).await {
            Ok(1..) => {}
            _ => return Err(ExchangeError::Broken),
        }
    }
}

/// Returns how long the server keeps an idle connection, from the `timeout` of its `Keep-Alive` header.
fn announced_idle_timeout(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get(KEEP_ALIVE)?.to_str().ok()?;
    let timeout = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    timeout.trim().parse().ok().map(Duration::from_secs)
}
