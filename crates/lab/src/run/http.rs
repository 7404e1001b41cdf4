//! HTTP/1.1 as far as the stand-ins speak it.

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

/// Head and where the body begins, once the head is whole.
fn head(input: &[u8], request: bool) -> io::Result<Option<(Message, usize)>> {
    let mut headers = [httparse::EMPTY_HEADER; MOST_HEADERS];
    let (status, first, headers) = if request {
        let mut parsed = httparse::Request::new(&mut headers);
        let status = parsed.parse(input).map_err(|error| bad(&error.to_string()))?;
        let first = (parsed.method.unwrap_or("").to_string(), parsed.path.unwrap_or("").to_string());
        (status, first, parsed.headers)
    } else {
        let mut parsed = httparse::Response::new(&mut headers);
        let status = parsed.parse(input).map_err(|error| bad(&error.to_string()))?;
        let first = (parsed.code.unwrap_or(0).to_string(), String::new());
        (status, first, parsed.headers)
    };
    let httparse::Status::Complete(start) = status else { return Ok(None) };
    let headers = headers.iter().map(|header| {
        (header.name.to_ascii_lowercase(), String::from_utf8_lossy(header.value).trim().to_string())
    });
    Ok(Some((Message { first, headers: headers.collect(), body: Vec::new() }, start)))
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
            if let Some((mut message, start)) = head(&self.input, request)? {
                let end = start + message.length()?;
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
