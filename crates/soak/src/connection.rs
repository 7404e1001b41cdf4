//! One connection of a client that keeps it for many requests, and that tells a whole answer from one that broke off: the library's
//! client does not.

use std::net::SocketAddr;
use std::time::Duration;

use fennelgauge_response_head::{parse_response_head, BodyEnd, MAX_HEAD_BYTES};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::http::{NoAnswer, Whole};

const CONNECT_WITHIN: Duration = Duration::from_secs(1);
const MOST_BYTES: usize = 1 << 20;

pub struct Connection {
    stream: BufReader<TcpStream>,
    /// The other end said that it closes after the last answer.
    closes: bool,
}

impl Connection {
    pub async fn open(address: SocketAddr) -> Option<Self> {
        let stream = timeout(CONNECT_WITHIN, TcpStream::connect(address)).await.ok()?.ok()?;
        stream.set_nodelay(true).ok()?;
        Some(Self { stream: BufReader::new(stream), closes: false })
    }

    /// Whether another request may be sent on it.
    pub fn is_open(&self) -> bool {
        !self.closes
    }

    /// Sends a request and reads its whole answer.
    pub async fn exchange(&mut self, request: &[u8], within: Duration) -> Result<Whole, NoAnswer> {
        timeout(within, self.exchanged(request)).await.unwrap_or(Err(NoAnswer::TimedOut))
    }

    async fn exchanged(&mut self, request: &[u8]) -> Result<Whole, NoAnswer> {
        self.stream.get_mut().write_all(request).await.map_err(|_| NoAnswer::Broken)?;
        let head = self.head().await?;
        let parsed = parse_response_head(&head, false).map_err(|_| NoAnswer::Malformed)?;
        let parsed = parsed.ok_or(NoAnswer::Broken)?;
        self.closes = !parsed.keep_alive;
        let body = match parsed.body_end {
            BodyEnd::NoBody => Some(Vec::new()),
            BodyEnd::Length(length) => self.bytes(usize::try_from(length).unwrap_or(usize::MAX)).await,
            BodyEnd::LastChunk => self.chunks().await,
            // Data planes delimit all bodies.
            BodyEnd::ConnectionClose => return Err(NoAnswer::Malformed),
        };
        let body = body.ok_or(NoAnswer::Broken)?;
        Ok(Whole { status: parsed.status, body })
    }

    /// The lines up to the first empty one.
    async fn head(&mut self) -> Result<Vec<u8>, NoAnswer> {
        let mut head = Vec::new();
        loop {
            let line = self.stream.read_until(b'\n', &mut head).await.map_err(|_| NoAnswer::Broken)?;
            if line == 0 {
                return Err(NoAnswer::Broken);
            }
            if head.ends_with(b"\r\n\r\n") {
                return Ok(head);
            }
            if head.len() > MAX_HEAD_BYTES {
                return Err(NoAnswer::Malformed);
            }
        }
    }

    async fn chunks(&mut self) -> Option<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let size = usize::from_str_radix(self.line().await?.trim(), 16).ok()?;
            body.extend(self.bytes(size).await?);
            self.line().await.filter(String::is_empty)?;
            if size == 0 {
                return Some(body);
            }
        }
    }

    async fn bytes(&mut self, length: usize) -> Option<Vec<u8>> {
        if length > MOST_BYTES {
            return None;
        }
        let mut bytes = vec![0; length];
        self.stream.read_exact(&mut bytes).await.ok()?;
        Some(bytes)
    }

    /// One line without its end; none if the connection ends before it does.
    async fn line(&mut self) -> Option<String> {
        let mut line = String::new();
        self.stream.read_line(&mut line).await.ok()?;
        line.strip_suffix("\r\n").map(str::to_owned)
    }
}
