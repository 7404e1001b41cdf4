//! HTTP/1.1 parsing and writing for both clients and servers: message framing, bodies, and forwarded headers.

use fennelgauge_response_head::{parse_response_head, BodyEnd};
use httparse::Header;
use std::borrow::Cow;
use std::io::Write;

/// Largest body of a request, in bytes. Bodies of responses are limited by the available memory only.
pub const MAX_REQUEST_BODY: usize = 64 * 1024;
/// Largest head of a message, in bytes: twice what common servers allow for one line.
pub const MAX_HEAD: usize = 16 * 1024;
/// Most headers of a message.
pub const MAX_HEADERS: usize = 64;
/// Most bytes of chunk framing in a message. Chunks may be as small as one byte, each with its own framing.
const MAX_CHUNK_FRAMING: usize = 16 * 1024;
/// Size limit of a whole request, in bytes.
pub const MAX_REQUEST: usize = message_size_limit(MAX_REQUEST_BODY);

/// Returns the size limit of a whole message with a body of `bytes` bytes.
pub const fn message_size_limit(bytes: usize) -> usize {
    MAX_HEAD + bytes + MAX_CHUNK_FRAMING
}

/// A message was rejected; contains the status code for its sender.
#[derive(Debug, PartialEq, Eq)]
pub struct HttpError(pub u16);

/// How a body ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyLength {
    /// After this number of bytes.
    Exactly(usize),
    /// With the last chunk.
    Chunked,
    /// When the connection is closed.
    UntilClose,
}

/// What the headers of a request say about its framing.
#[derive(Debug)]
pub struct Framing {
    /// `None` if no header specifies it.
    pub length: Option<BodyLength>,
    /// Whether the connection stays open after the message.
    pub keep_alive: bool,
}

/// Derives the framing of a request from its headers. Errs if they contradict one another, if the transfer coding is not supported,
/// or if the body is longer than `max_body` bytes.
pub fn parse_framing(headers: &[Header], version: Option<u8>, max_body: usize) -> Result<Framing, HttpError> {
    let (mut length, mut keep_alive) = (None, version == Some(1));
    for header in headers {
        if header.name.eq_ignore_ascii_case("content-length") {
            let digits =
                text(header.value).filter(|it| !it.is_empty() && it.bytes().all(|b| b.is_ascii_digit()));
            let value =
                Some(BodyLength::Exactly(digits.and_then(|it| it.parse().ok()).ok_or(HttpError(400))?));
            // Two different lengths would allow request smuggling.
            if length.is_some() && length != value {
                return Err(HttpError(400));
            }
            length = value;
        } else if header.name.eq_ignore_ascii_case("transfer-encoding") {
            let chunked = text(header.value).is_some_and(|it| it.eq_ignore_ascii_case("chunked"));
            if length.is_some() {
                return Err(HttpError(400));
            }
            length = Some(if chunked { BodyLength::Chunked } else { return Err(HttpError(501)) });
        } else if header.name.eq_ignore_ascii_case("connection") {
            for option in text(header.value).unwrap_or("").split(',') {
                match option.trim() {
                    it if it.eq_ignore_ascii_case("close") => keep_alive = false,
                    it if it.eq_ignore_ascii_case("keep-alive") => keep_alive = true,
                    _ => {}
                }
            }
        }
    }
    match length {
        Some(BodyLength::Exactly(bytes)) if bytes > max_body => Err(HttpError(413)),
        _ => Ok(Framing { length, keep_alive }),
    }
}

/// Returns a header value as trimmed text, or `None` if it is not UTF-8.
pub fn text(value: &[u8]) -> Option<&str> {
    std::str::from_utf8(value).ok().map(str::trim)
}

/// A body, and the number of input bytes that it takes up.
pub type Body<'a> = (Cow<'a, [u8]>, usize);

/// Parses the body that follows a head. Returns `None` until it is complete. Errs if it is malformed or longer than
/// `max_body` bytes.
pub fn parse_body(
    rest: &[u8],
    length: BodyLength,
    has_ended: bool,
    max_body: usize,
) -> Result<Option<Body<'_>>, HttpError> {
    match length {
        BodyLength::Exactly(bytes) => Ok(rest.get(..bytes).map(|body| (Cow::from(body), bytes))),
        BodyLength::UntilClose if rest.len() > max_body => Err(HttpError(413)),
        BodyLength::UntilClose => Ok(has_ended.then(|| (Cow::from(rest), rest.len()))),
        BodyLength::Chunked => parse_chunks(rest, max_body),
    }
}

fn parse_chunks(rest: &[u8], max_body: usize) -> Result<Option<Body<'_>>, HttpError> {
    let (mut body, mut at) = (Vec::new(), 0);
    loop {
        let (line, size) = match httparse::parse_chunk_size(&rest[at..]) {
            Ok(httparse::Status::Complete((line, size))) => (line, size as usize),
            Ok(httparse::Status::Partial) => break,
            Err(_) => return Err(HttpError(400)),
        };
        at += line;
        if size == 0 {
            // Trailers are ignored.
            let mut trailers = [httparse::EMPTY_HEADER; MAX_HEADERS];
            return match httparse::parse_headers(&rest[at..], &mut trailers) {
                Ok(httparse::Status::Complete((consumed, _))) => Ok(Some((Cow::from(body), at + consumed))),
                Ok(httparse::Status::Partial) => Ok(None),
                Err(_) => Err(HttpError(400)),
            };
        }
        if size > max_body - body.len() {
            return Err(HttpError(413));
        }
        let Some(data) = rest.get(at..at + size + 2) else { break };
        if !data.ends_with(b"\r\n") {
            return Err(HttpError(400));
        }
        body.extend_from_slice(&data[..size]);
        at += size + 2;
    }
    if rest.len() > max_body + MAX_CHUNK_FRAMING {
        return Err(HttpError(413));
    }
    Ok(None)
}

/// Writes all headers except hop-by-hop ones and those in `except`.
pub fn write_end_to_end_headers(out: &mut Vec<u8>, headers: &[Header], except: &[&str]) {
    const HOP_BY_HOP: [&str; 9] = [
        "connection",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
    ];
    for header in headers {
        let is_in = |names: &[&str]| names.iter().any(|name| header.name.eq_ignore_ascii_case(name));
        if !is_in(&HOP_BY_HOP) && !is_in(except) {
            out.extend_from_slice(header.name.as_bytes());
            out.extend_from_slice(b": ");
            out.extend_from_slice(header.value);
            out.extend_from_slice(b"\r\n");
        }
    }
}

/// Appends formatted text. Writing to memory does not fail.
pub fn write(out: &mut Vec<u8>, text: std::fmt::Arguments) {
    let written = out.write_fmt(text);
    debug_assert!(written.is_ok());
}

/// A response as received.
#[derive(Debug)]
pub struct Response<'a> {
    /// Status code.
    pub status: u16,
    /// All headers.
    pub headers: Vec<Header<'a>>,
    /// Body without chunk framing.
    pub body: Cow<'a, [u8]>,
    /// Whether the connection may carry another request.
    pub keep_alive: bool,
    /// Number of input bytes that the response takes up, interim responses before it included.
    pub consumed: usize,
}

/// Parses the response at the start of `input`. `has_ended` says that the server has ended the connection in order, and that nothing
/// had failed on it before: only then does that end a body. Returns `None` until the response is complete. Errs if it is malformed or
/// its body is longer than `max_body` bytes.
pub fn parse_response(
    input: &[u8],
    has_ended: bool,
    max_body: usize,
) -> Result<Option<Response<'_>>, HttpError> {
    let Some(head) = parse_response_head(input, false).map_err(|_| HttpError(502))? else {
        return if input.len() > MAX_HEAD { Err(HttpError(502)) } else { Ok(None) };
    };
    let length = body_length(head.body_end, max_body)?;
    let rest = &input[head.consumed_bytes..];
    let Some((body, body_consumed)) = parse_body(rest, length, has_ended, max_body)? else {
        return Ok(None);
    };
    Ok(Some(Response {
        status: head.status,
        headers: head.fields,
        body,
        keep_alive: head.keep_alive && length != BodyLength::UntilClose,
        consumed: head.consumed_bytes + body_consumed,
    }))
}

/// Returns how the body of a response ends. Errs if it is longer than `max_body` bytes.
fn body_length(body_end: BodyEnd, max_body: usize) -> Result<BodyLength, HttpError> {
    match body_end {
        BodyEnd::NoBody => Ok(BodyLength::Exactly(0)),
        BodyEnd::Length(bytes) => {
            let bytes = usize::try_from(bytes).ok().filter(|bytes| *bytes <= max_body);
            bytes.map(BodyLength::Exactly).ok_or(HttpError(413))
        }
        BodyEnd::LastChunk => Ok(BodyLength::Chunked),
        BodyEnd::ConnectionClose => Ok(BodyLength::UntilClose),
    }
}
