//! Connections to servers. The library's client takes a connection that ends midway for the end of the body, so the
//! exchange is made here, on the library's own codec: an answer is complete only when its framing says so.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::body::BodySize;
use actix_http::h1::{ClientCodec, ClientPayloadCodec, Message, MessageType};
use actix_http::{RequestHead, RequestHeadType, ResponseHead};
use actix_web::web::{Bytes, BytesMut};
use awc::http::header::{HeaderMap, CONTENT_LENGTH, TRANSFER_ENCODING};
use awc::http::{Method, StatusCode};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{timeout, Instant};
use tokio_util::codec::{Decoder, Encoder};

use crate::connect_timeout::ConnectTimes;
use crate::KEEP_ALIVE;

/// An idle connection is used again for so long where the server says nothing.
const IDLE_FOR: Duration = Duration::from_secs(15);
/// Left of the time that a server keeps an idle connection.
const IDLE_MARGIN: Duration = Duration::from_millis(700);
const READ_BYTES: usize = 8 << 10;

/// Why an exchange has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ExchangeError {
    NotSent,
    Broken,
}

/// The idle connections of this process.
#[derive(Clone, Default)]
pub(crate) struct Connections {
    idle: Rc<RefCell<HashMap<SocketAddr, Vec<Idle>>>>,
    times: Rc<RefCell<ConnectTimes>>,
}

struct Idle {
    stream: TcpStream,
    until: Instant,
}

/// An answer's head, with its body still to come. Dropped before its end, it takes the connection with it.
pub struct UpstreamResponse {
    head: ResponseHead,
    body: Body,
}

/// How the end of a body is known.
enum Framing {
    /// By a length or by chunks.
    Told(ClientPayloadCodec),
    /// By the end of the connection, in order; a reset is no end.
    EndOfConnection,
}

struct Body {
    stream: Option<TcpStream>,
    buffer: BytesMut,
    framing: Framing,
    keep_alive: bool,
    idle_for: Duration,
    peer: SocketAddr,
    connections: Connections,
}

/// The body ended before its framing said so.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("the server broke its answer off")]
pub struct TruncatedBody;

impl Connections {
    /// `adaptive`: attempts are given up by what they usually take.
    pub(crate) fn new(adaptive: bool) -> Self {
        Self { idle: Rc::default(), times: Rc::new(RefCell::new(ConnectTimes::new(adaptive))) }
    }

    /// Sends a request and reads the head of its answer.
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
        let head = RequestHeadType::Owned(head);
        codec.encode(Message::Item((head, size)), &mut request).map_err(|_| ExchangeError::NotSent)?;
        let mut stream = self.connection(peer).await.ok_or(ExchangeError::NotSent)?;
        request.extend_from_slice(body);
        let written = stream.write_all(&request).await;
        let mut buffer = BytesMut::with_capacity(READ_BYTES);
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
        // The library takes an answer without a length for one without a body.
        let is_unframed = !has_body && is_unframed(&method, &head);
        let keep_alive = codec.keep_alive() && written.is_ok() && !is_unframed;
        let idle_for = told_idle(head.headers()).unwrap_or(IDLE_FOR);
        let mut body = Body {
            stream: Some(stream),
            buffer,
            framing: match is_unframed || codec.message_type() == MessageType::Stream {
                true => Framing::EndOfConnection,
                false => Framing::Told(codec.into_payload_codec()),
            },
            keep_alive,
            idle_for,
            peer,
            connections: self.clone(),
        };
        if !has_body && !is_unframed {
            body.finish();
        }
        Ok(UpstreamResponse { head, body })
    }

    async fn connection(&self, peer: SocketAddr) -> Option<TcpStream> {
        while let Some(stream) = self.idle_connection(peer) {
            if is_quiet(&stream) {
                return Some(stream);
            }
        }
        self.open(peer).await
    }

    async fn open(&self, peer: SocketAddr) -> Option<TcpStream> {
        let began = Instant::now();
        let patience = self.times.borrow().patience();
        let opened = timeout(patience, TcpStream::connect(peer)).await;
        match &opened {
            Ok(_) => self.times.borrow_mut().took(began.elapsed()),
            Err(_) => self.times.borrow_mut().timed_out(),
        }
        let stream = opened.ok()?.ok()?;
        stream.set_nodelay(true).ok()?;
        Some(stream)
    }

    /// Opens a connection and keeps it idle.
    pub(crate) async fn open_idle(&self, peer: SocketAddr) -> bool {
        let Some(stream) = self.open(peer).await else { return false };
        self.keep(peer, stream, IDLE_FOR);
        true
    }

    fn idle_connection(&self, peer: SocketAddr) -> Option<TcpStream> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&peer)?;
        let now = Instant::now();
        connections.retain(|idle| idle.until > now);
        connections.pop().map(|idle| idle.stream)
    }

    fn keep(&self, peer: SocketAddr, stream: TcpStream, idle_for: Duration) {
        let until = Instant::now() + idle_for.saturating_sub(IDLE_MARGIN);
        self.idle.borrow_mut().entry(peer).or_default().push(Idle { stream, until });
    }

    /// Closes the idle connections to servers that are not among `peers`, and those whose time is over.
    pub(crate) fn retain_servers(&self, peers: impl Fn(&SocketAddr) -> bool) {
        let now = Instant::now();
        self.idle.borrow_mut().retain(|peer, connections| {
            connections.retain(|idle| idle.until > now);
            !connections.is_empty() && peers(peer)
        });
    }
}

/// Whether an idle connection is open and nothing came on it.
fn is_quiet(stream: &TcpStream) -> bool {
    let mut byte = [0; 1];
    matches!(stream.try_read(&mut byte), Err(reason) if reason.kind() == std::io::ErrorKind::WouldBlock)
}

/// Whether an answer has a body that ends with its connection: it tells neither a length nor chunks, and may have a body.
fn is_unframed(method: &Method, head: &ResponseHead) -> bool {
    let headers = head.headers();
    let told = headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING);
    let bodiless = [StatusCode::NO_CONTENT, StatusCode::NOT_MODIFIED].contains(&head.status);
    !told && !bodiless && !head.status.is_informational() && method != Method::HEAD
}

/// How long the server keeps an idle connection, by its `Keep-Alive`.
fn told_idle(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get(KEEP_ALIVE)?.to_str().ok()?;
    let timeout = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    timeout.trim().parse().ok().map(Duration::from_secs)
}

impl UpstreamResponse {
    pub fn status(&self) -> StatusCode {
        self.head.status
    }

    pub fn headers(&self) -> &HeaderMap {
        self.head.headers()
    }

    /// The next bytes of the body; none once it is complete.
    pub async fn next(&mut self) -> Option<Result<Bytes, TruncatedBody>> {
        self.body.next().await
    }

    /// Reads the rest of a short body, so that the connection can be used again.
    pub async fn discard(mut self) {
        while let Some(Ok(_)) = self.next().await {}
    }
}

impl Body {
    async fn next(&mut self) -> Option<Result<Bytes, TruncatedBody>> {
        loop {
            self.stream.as_ref()?;
            match &mut self.framing {
                Framing::EndOfConnection if !self.buffer.is_empty() => {
                    return Some(Ok(self.buffer.split().freeze()));
                }
                Framing::EndOfConnection => {}
                Framing::Told(codec) => match codec.decode(&mut self.buffer) {
                    Ok(Some(Some(bytes))) => return Some(Ok(bytes)),
                    Ok(Some(None)) => {
                        self.finish();
                        return None;
                    }
                    Ok(None) => {}
                    Err(_) => return self.broken(),
                },
            }
            let stream = self.stream.as_mut()?;
            match stream.read_buf(&mut self.buffer).await {
                Ok(read) if read > 0 => {}
                Ok(_) if matches!(self.framing, Framing::EndOfConnection) => {
                    self.stream = None;
                    return None;
                }
                _ => return self.broken(),
            }
        }
    }

    fn broken(&mut self) -> Option<Result<Bytes, TruncatedBody>> {
        self.stream = None;
        Some(Err(TruncatedBody))
    }

    /// The body is complete: the connection can be used again if nothing is left on it.
    fn finish(&mut self) {
        let Some(stream) = self.stream.take() else { return };
        if self.keep_alive && self.buffer.is_empty() && matches!(self.framing, Framing::Told(_)) {
            self.connections.keep(self.peer, stream, self.idle_for);
        }
    }
}
