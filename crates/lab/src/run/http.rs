//! HTTP/1.1 as far as the stand-ins speak it.

use fennelgauge_response_head::{parse_response_head, BodyEnd};
use std::io;
use tokio::io::{AsyncRead, AsyncReadExt};

const MOST_HEADERS: usize = 32;
/// What a message may come to; the protocol page allows 64 KiB of body.
const MOST: usize = 80 * 1024;

/// A message's head and body, with the names of headers in lower case.
#[derive(Debug, Default)]
pub struct Message {
    /// Method and path, or the status and nothing.
    pub first: (String, String),
    headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|header| header.0 == name).map(|header| header.1.as_str())
    }

    fn length(&self) -> io::Result<usize> {
        let Some(length) = self.header("content-length") else { return Ok(0) };
        length.trim().parse().map_err(|_| bad("a length that is no number"))
    }

    pub fn closes(&self) -> bool {
        self.header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"))
    }
}

fn bad(reason: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, reason)
}

/// A head, where the body begins and where it ends, once the head is whole.
fn head(input: &[u8], request: bool) -> io::Result<Option<(Message, usize, usize)>> {
    match request {
        true => request_head(input),
        false => answer_head(input),
    }
}

fn request_head(input: &[u8]) -> io::Result<Option<(Message, usize, usize)>> {
    let mut headers = [httparse::EMPTY_HEADER; MOST_HEADERS];
    let mut parsed = httparse::Request::new(&mut headers);
    let status = parsed.parse(input).map_err(|error| bad(&error.to_string()))?;
    let httparse::Status::Complete(start) = status else { return Ok(None) };
    let first = (parsed.method.unwrap_or("").to_string(), parsed.path.unwrap_or("").to_string());
    let message = Message { first, headers: kept(parsed.headers), body: Vec::new() };
    let length = message.length()?;
    Ok(Some((message, start, start + length)))
}

fn answer_head(input: &[u8]) -> io::Result<Option<(Message, usize, usize)>> {
    let parsed = parse_response_head(input, false).map_err(|error| bad(&error.to_string()))?;
    let Some(parsed) = parsed else { return Ok(None) };
    let length = match parsed.body_end {
        BodyEnd::NoBody => 0,
        BodyEnd::Length(length) => usize::try_from(length).unwrap_or(usize::MAX),
        BodyEnd::LastChunk | BodyEnd::ConnectionClose => return Err(bad("an answer without a length")),
    };
    let start = parsed.consumed_bytes;
    let first = (parsed.status.to_string(), String::new());
    Ok(Some((
        Message { first, headers: kept(&parsed.fields), body: Vec::new() },
        start,
        start.saturating_add(length),
    )))
}

/// Headers as a message keeps them.
fn kept(headers: &[httparse::Header]) -> Vec<(String, String)> {
    let kept = headers.iter().map(|header| {
        (header.name.to_ascii_lowercase(), String::from_utf8_lossy(header.value).trim().to_string())
    });
    kept.collect()
}

/// Reads messages one after another from a connection.
#[derive(Default)]
pub struct Reader {
    input: Vec<u8>,
}

impl Reader {
    /// Bytes of the next message have come already.
    pub fn begun(&self) -> bool {
        !self.input.is_empty()
    }

    /// The next message; none if the connection ended between messages. `begun` is called at its first byte, and
    /// `slow` between reads, where the link reads slowly.
    pub async fn next(
        &mut self,
        from: &mut (impl AsyncRead + Unpin),
        request: bool,
        mut begun: impl FnMut(),
        bytes_per_s: impl Fn() -> Option<f64>,
    ) -> io::Result<Option<Message>> {
        if self.begun() {
            begun();
        }
        loop {
            if let Some((mut message, start, end)) = head(&self.input, request)? {
                if end > MOST {
                    return Err(bad("a message too large"));
                }
                if self.input.len() >= end {
                    message.body = self.input[start..end].to_vec();
                    self.input.drain(..end);
                    return Ok(Some(message));
                }
            }
            if self.input.len() > MOST {
                return Err(bad("a head too large"));
            }
            let was_empty = self.input.is_empty();
            let mut bytes = [0; 4096];
            let most = match bytes_per_s() {
                None => bytes.len(),
                Some(rate) => {
                    // A twentieth of a second's worth at a time.
                    tokio::time::sleep(std::time::Duration::from_millis(50)).await;
                    ((rate / 20.0) as usize).clamp(1, bytes.len())
                }
            };
            let many = from.read(&mut bytes[..most]).await?;
            if many == 0 {
                return if was_empty { Ok(None) } else { Err(bad("ended inside a message")) };
            }
            if was_empty {
                begun();
            }
            self.input.extend_from_slice(&bytes[..many]);
        }
    }
}

/// A whole answer.
pub fn answer(status: &str, headers: &str, body: &str) -> Vec<u8> {
    format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

#[cfg(test)]
mod tests;
