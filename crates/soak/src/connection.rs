//! One connection of a client that keeps it for many requests, and that tells a whole answer from one that broke off: the library's
//! client does not.

use std::net::SocketAddr;
use std::time::Duration;

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
        match timeout(within, self.exchanged(request)).await {
            Ok(Some(whole)) => Ok(whole),
            Ok(None) => Err(NoAnswer::Broken),
            Err(_) => Err(NoAnswer::TimedOut),
        }
    }

    async fn exchanged(&mut self, request: &[u8]) -> Option<Whole> {
        self.stream.get_mut().write_all(request).await.ok()?;
        let status: u16 = self.line().await?.split(' ').nth(1)?.parse().ok()?;
        let mut length = None;
        let mut chunked = false;
        loop {
            let line = self.line().await?.to_ascii_lowercase();
            let Some((name, value)) = line.split_once(':') else { break };
            match (name, value.trim()) {
                ("content-length", value) => length = Some(value.parse::<usize>().ok()?),
                ("transfer-encoding", "chunked") => chunked = true,
                ("connection", "close") => self.closes = true,
                _ => {}
            }
        }
        let body = match (chunked, length) {
            (true, _) => self.chunks().await?,
            (false, Some(length)) => self.bytes(length).await?,
            (false, None) => return None,
        };
        Some(Whole { status, body })
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
