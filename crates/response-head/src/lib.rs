//! Parses the head of an HTTP/1.1 response and decides where its body ends, by RFC 9112, section 6.3.
//!
//! What is no head, or contradicts itself, is no response: a lenient reader would take a part of the body, or something else, for
//! the whole body. Names and values of fields are checked by `httparse` with its strict defaults. This crate refuses what that
//! still allows: lines that end with a bare line feed, and empty lines before the head.

mod body_end;

use httparse::{Header, Status, EMPTY_HEADER};

pub use body_end::BodyEnd;

/// Longest head of a response, with the interim responses before it, in bytes.
pub const MAX_HEAD_BYTES: usize = 128 << 10;
/// Most fields of a head.
pub const MAX_FIELDS: usize = 96;

/// The status that switches to another protocol, which is final though its class is that of interim responses.
const SWITCHING_PROTOCOLS: u16 = 101;

/// Why bytes are not the head of a response. The end of the body is unknown, so the connection has to be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HeadError {
    /// The bytes do not follow the syntax of a status line and fields.
    #[error("malformed head: {0}")]
    Malformed(#[from] httparse::Error),
    /// The first line is empty.
    #[error("an empty line in the place of the status line")]
    EmptyFirstLine,
    /// A line ends with a line feed without a carriage return.
    #[error("a bare line feed in the head")]
    BareLineFeed,
    /// The head exceeds [`MAX_HEAD_BYTES`].
    #[error("head of more than {MAX_HEAD_BYTES} bytes")]
    TooLong,
    /// The status is outside the range from 100 to 599.
    #[error("invalid status {0}")]
    InvalidStatus(u16),
    /// The peer switches protocols, which no request asks for.
    #[error("the peer switches to another protocol")]
    SwitchingProtocols,
    /// A length that is not one number.
    #[error("invalid Content-Length")]
    InvalidLength,
    /// More than one length.
    #[error("repeated Content-Length")]
    RepeatedLength,
    /// A transfer coding other than `chunked` alone, or one that the protocol version does not have.
    #[error("unsupported Transfer-Encoding")]
    UnsupportedCoding,
    /// Both a length and a transfer coding.
    #[error("both Content-Length and Transfer-Encoding")]
    LengthAndCoding,
    /// A body is declared though the status does not allow one.
    #[error("a body is declared though status {0} does not allow one")]
    UnexpectedBody(u16),
    /// Nothing says where the body ends.
    #[error("neither a length, nor chunks, nor a close says where the body ends")]
    UnknownEnd,
}

/// The head of a response.
#[derive(Clone, Debug)]
pub struct ResponseHead<'input> {
    /// Status code, from 200 to 599.
    pub status: u16,
    /// All fields, in their order.
    pub fields: Vec<Header<'input>>,
    /// Where the body ends.
    pub body_end: BodyEnd,
    /// Whether the connection stays open after the response.
    pub keep_alive: bool,
    /// Number of input bytes up to the body, interim responses included.
    pub consumed_bytes: usize,
}

/// Parses the head of the response at the start of `input`, after interim responses, which are skipped. `answers_head_request` says
/// that the request had the method HEAD, so that the response has no body. Returns `None` until the head is complete.
///
/// # Errors
/// If the bytes are no head, or the head leaves open or contradicts itself in where the body ends.
pub fn parse_response_head(
    input: &[u8],
    answers_head_request: bool,
) -> Result<Option<ResponseHead<'_>>, HeadError> {
    let mut start = 0;
    loop {
        let mut fields = [EMPTY_HEADER; MAX_FIELDS];
        let mut parsed = httparse::Response::new(&mut fields);
        let rest = &input[start..];
        if matches!(rest.first(), Some(b'\r' | b'\n')) {
            return Err(HeadError::EmptyFirstLine);
        }
        let status = parsed.parse(rest)?;
        let head = match status {
            Status::Complete(head_bytes) => &rest[..head_bytes],
            Status::Partial => rest,
        };
        if has_bare_line_feed(head) {
            return Err(HeadError::BareLineFeed);
        }
        if start + head.len() > MAX_HEAD_BYTES {
            return Err(HeadError::TooLong);
        }
        let (Status::Complete(_), Some(code), Some(minor_version)) = (status, parsed.code, parsed.version)
        else {
            return Ok(None);
        };
        start += head.len();
        match code {
            SWITCHING_PROTOCOLS => return Err(HeadError::SwitchingProtocols),
            100..=199 => body_end::check_interim(code, parsed.headers)?,
            200..=599 => {
                let keep_alive = body_end::keeps_connection(parsed.headers, minor_version);
                let declared = body_end::declared(head, parsed.headers, minor_version)?;
                let body_end = body_end::decide(declared, code, answers_head_request, keep_alive)?;
                let fields = parsed.headers.to_vec();
                return Ok(Some(ResponseHead {
                    status: code,
                    fields,
                    body_end,
                    keep_alive,
                    consumed_bytes: start,
                }));
            }
            _ => return Err(HeadError::InvalidStatus(code)),
        }
    }
}

fn has_bare_line_feed(head: &[u8]) -> bool {
    let is_bare = |at: usize| head[at] == b'\n' && (at == 0 || head[at - 1] != b'\r');
    (0..head.len()).any(is_bare)
}
