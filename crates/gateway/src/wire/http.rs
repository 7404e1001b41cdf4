//! What both sides of HTTP/1.1 share: how long a message is, its body, and the headers that travel on.

use httparse::Header;
use std::borrow::Cow;
use std::io::Write;

/// A body of a request holds this much at most; those of answers are bounded by memory alone.
pub const MOST_BODY: usize = 64 * 1024;
/// A head holds this much at most; twice what common servers allow a line.
pub const MOST_HEAD: usize = 16 * 1024;
pub const MOST_HEADERS: usize = 64;
/// Chunks may be as small as a byte, each with its own framing; this much of it at most.
const MOST_FRAMING: usize = 16 * 1024;
/// A whole message fits in this much.
pub const MOST_MESSAGE: usize = with_body(MOST_BODY);

/// A whole message with a body of that size fits in so much.
pub const fn with_body(bytes: usize) -> usize {
    MOST_HEAD + bytes + MOST_FRAMING
}

/// Why a message cannot be read, as the status that tells its sender.
#[derive(Debug, PartialEq, Eq)]
pub struct Wrong(pub u16);

/// How a body ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Length {
    Exactly(usize),
    Chunked,
    ToEnd,
}

/// What the headers say of the message itself.
#[derive(Debug)]
pub struct Framing {
    /// None where no header tells.
    pub length: Option<Length>,
    pub keep: bool,
}

pub fn framing(headers: &[Header], version: Option<u8>, most: usize) -> Result<Framing, Wrong> {
    let (mut length, mut keep) = (None, version == Some(1));
    for header in headers {
        if header.name.eq_ignore_ascii_case("content-length") {
            let digits =
                text(header.value).filter(|it| !it.is_empty() && it.bytes().all(|b| b.is_ascii_digit()));
            let told = Some(Length::Exactly(digits.and_then(|it| it.parse().ok()).ok_or(Wrong(400))?));
            // Two lengths that differ would let one message pass for two.
            if length.is_some() && length != told {
                return Err(Wrong(400));
            }
            length = told;
        } else if header.name.eq_ignore_ascii_case("transfer-encoding") {
            let chunked = text(header.value).is_some_and(|it| it.eq_ignore_ascii_case("chunked"));
            if length.is_some() {
                return Err(Wrong(400));
            }
            length = Some(if chunked { Length::Chunked } else { return Err(Wrong(501)) });
        } else if header.name.eq_ignore_ascii_case("connection") {
            for option in text(header.value).unwrap_or("").split(',') {
                match option.trim() {
                    it if it.eq_ignore_ascii_case("close") => keep = false,
                    it if it.eq_ignore_ascii_case("keep-alive") => keep = true,
                    _ => {}
                }
            }
        }
    }
    match length {
        Some(Length::Exactly(bytes)) if bytes > most => Err(Wrong(413)),
        _ => Ok(Framing { length, keep }),
    }
}

pub fn text(value: &[u8]) -> Option<&str> {
    std::str::from_utf8(value).ok().map(str::trim)
}

/// A body and how much of the input it takes.
pub type Body<'a> = (Cow<'a, [u8]>, usize);

/// The body of `most` bytes at most that follows a head; none until all of it has come.
pub fn body(rest: &[u8], length: Length, ended: bool, most: usize) -> Result<Option<Body<'_>>, Wrong> {
    match length {
        Length::Exactly(bytes) => Ok(rest.get(..bytes).map(|body| (Cow::from(body), bytes))),
        Length::ToEnd if rest.len() > most => Err(Wrong(413)),
        Length::ToEnd => Ok(ended.then(|| (Cow::from(rest), rest.len()))),
        Length::Chunked => chunks(rest, most),
    }
}

fn chunks(rest: &[u8], most: usize) -> Result<Option<Body<'_>>, Wrong> {
    let (mut body, mut at) = (Vec::new(), 0);
    loop {
        let (line, size) = match httparse::parse_chunk_size(&rest[at..]) {
            Ok(httparse::Status::Complete((line, size))) => (line, size as usize),
            Ok(httparse::Status::Partial) => break,
            Err(_) => return Err(Wrong(400)),
        };
        at += line;
        if size == 0 {
            // Trailers are read over.
            let mut trailers = [httparse::EMPTY_HEADER; MOST_HEADERS];
            return match httparse::parse_headers(&rest[at..], &mut trailers) {
                Ok(httparse::Status::Complete((used, _))) => Ok(Some((Cow::from(body), at + used))),
                Ok(httparse::Status::Partial) => Ok(None),
                Err(_) => Err(Wrong(400)),
            };
        }
        if size > most - body.len() {
            return Err(Wrong(413));
        }
        let Some(data) = rest.get(at..at + size + 2) else { break };
        if !data.ends_with(b"\r\n") {
            return Err(Wrong(400));
        }
        body.extend_from_slice(&data[..size]);
        at += size + 2;
    }
    if rest.len() > most + MOST_FRAMING {
        return Err(Wrong(413));
    }
    Ok(None)
}

/// Writes the headers that are meant for the far end, but for those named.
pub fn pass_on(out: &mut Vec<u8>, headers: &[Header], but: &[&str]) {
    const OF_THE_CONNECTION: [&str; 9] = [
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
        let named = |names: &[&str]| names.iter().any(|name| header.name.eq_ignore_ascii_case(name));
        if !named(&OF_THE_CONNECTION) && !named(but) {
            out.extend_from_slice(header.name.as_bytes());
            out.extend_from_slice(b": ");
            out.extend_from_slice(header.value);
            out.extend_from_slice(b"\r\n");
        }
    }
}

/// Writes to memory, which cannot fail.
pub fn put(out: &mut Vec<u8>, text: std::fmt::Arguments) {
    let written = out.write_fmt(text);
    debug_assert!(written.is_ok());
}

/// An answer as it came.
#[derive(Debug)]
pub struct Answer<'a> {
    pub status: u16,
    pub headers: Vec<Header<'a>>,
    pub body: Cow<'a, [u8]>,
    /// The connection may carry another request.
    pub keep: bool,
    pub used: usize,
}

/// The answer at the start of `input`, with a body of `most` bytes at most; none until all of it has come.
pub fn answer(input: &[u8], ended: bool, most: usize) -> Result<Option<Answer<'_>>, Wrong> {
    let mut start = 0;
    loop {
        let mut headers = [httparse::EMPTY_HEADER; MOST_HEADERS];
        let mut head = httparse::Response::new(&mut headers);
        let used = match head.parse(&input[start..]) {
            Ok(httparse::Status::Complete(used)) => start + used,
            Ok(httparse::Status::Partial) if input.len() - start > MOST_HEAD => return Err(Wrong(502)),
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(_) => return Err(Wrong(502)),
        };
        let (version, status) = (head.version, head.code.unwrap_or(0));
        // An interim answer says nothing yet.
        if (100..200).contains(&status) {
            start = used;
            continue;
        }
        let framing = framing(head.headers, version, most)?;
        let bare = status == 204 || status == 304;
        let length = if bare { Length::Exactly(0) } else { framing.length.unwrap_or(Length::ToEnd) };
        let Some((body, length_used)) = body(&input[used..], length, ended, most)? else { return Ok(None) };
        let keep = framing.keep && length != Length::ToEnd;
        let headers = head.headers.to_vec();
        return Ok(Some(Answer { status, headers, body, keep, used: used + length_used }));
    }
}
