//! Where the body of a response ends, by what its head declares.

use httparse::Header;

use crate::HeadError;

const CONTENT_LENGTH: &str = "content-length";
const TRANSFER_ENCODING: &str = "transfer-encoding";
const CONNECTION: &str = "connection";
/// The only transfer coding that is read.
const CHUNKED: &str = "chunked";
/// Minor version of HTTP/1.1.
const HTTP_1_1: u8 = 1;
/// Statuses of responses that never have a body.
const NO_CONTENT: u16 = 204;
const NOT_MODIFIED: u16 = 304;

/// Where a body ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyEnd {
    /// There is no body.
    NoBody,
    /// After this number of bytes.
    Length(u64),
    /// With the last chunk.
    LastChunk,
    /// With the orderly end of the connection. The end of file means that only if nothing has failed on the connection before: an
    /// error is reported once, by the first operation that meets it, and a read after that returns the end of file.
    ConnectionClose,
}

/// What the fields of a head declare.
pub(crate) enum Declared {
    Nothing,
    Length(u64),
    Chunks,
}

/// Rejects an interim response that declares a body (RFC 9112, 6.1 and RFC 9110, 8.6).
pub(crate) fn check_interim(status: u16, fields: &[Header]) -> Result<(), HeadError> {
    let declares_body = has_field(fields, CONTENT_LENGTH) || has_field(fields, TRANSFER_ENCODING);
    match declares_body {
        true => Err(HeadError::UnexpectedBody(status)),
        false => Ok(()),
    }
}

/// Returns what a head declares about its body.
pub(crate) fn declared(head: &[u8], fields: &[Header], minor_version: u8) -> Result<Declared, HeadError> {
    let has_length = has_field(fields, CONTENT_LENGTH);
    match (coding(fields, minor_version)?, has_length) {
        (true, true) => Err(HeadError::LengthAndCoding),
        (true, false) => Ok(Declared::Chunks),
        (false, true) => Ok(Declared::Length(length(head)?)),
        (false, false) => Ok(Declared::Nothing),
    }
}

/// Decides where the body ends. A body that nothing delimits ends with the connection only if the head says that the connection
/// ends: otherwise the field that says where may have been lost.
pub(crate) fn decide(
    declared: Declared,
    status: u16,
    answers_head_request: bool,
    keep_alive: bool,
) -> Result<BodyEnd, HeadError> {
    if answers_head_request || status == NOT_MODIFIED {
        return Ok(BodyEnd::NoBody);
    }
    match declared {
        Declared::Nothing | Declared::Length(0) if status == NO_CONTENT => Ok(BodyEnd::NoBody),
        _ if status == NO_CONTENT => Err(HeadError::UnexpectedBody(status)),
        Declared::Length(bytes) => Ok(BodyEnd::Length(bytes)),
        Declared::Chunks => Ok(BodyEnd::LastChunk),
        Declared::Nothing if keep_alive => Err(HeadError::UnknownEnd),
        Declared::Nothing => Ok(BodyEnd::ConnectionClose),
    }
}

/// Returns whether the connection stays open after the response (RFC 9112, 9.3).
pub(crate) fn keeps_connection(fields: &[Header], minor_version: u8) -> bool {
    let has_option = |option: &str| {
        let lists = fields.iter().filter(|field| field.name.eq_ignore_ascii_case(CONNECTION));
        let mut options = lists.flat_map(|field| field.value.split(|byte| *byte == b','));
        options.any(|value| value.trim_ascii().eq_ignore_ascii_case(option.as_bytes()))
    };
    !has_option("close") && (minor_version >= HTTP_1_1 || has_option("keep-alive"))
}

fn has_field(fields: &[Header], name: &str) -> bool {
    fields.iter().any(|field| field.name.eq_ignore_ascii_case(name))
}

/// Returns whether the body is in chunks. HTTP/1.0 has no transfer codings, and no other one than `chunked`, alone and once, can
/// be undone here.
fn coding(fields: &[Header], minor_version: u8) -> Result<bool, HeadError> {
    let mut codings = fields.iter().filter(|field| field.name.eq_ignore_ascii_case(TRANSFER_ENCODING));
    let Some(coding) = codings.next() else { return Ok(false) };
    let is_chunked = coding.value.eq_ignore_ascii_case(CHUNKED.as_bytes());
    match is_chunked && codings.next().is_none() && minor_version >= HTTP_1_1 {
        true => Ok(true),
        false => Err(HeadError::UnsupportedCoding),
    }
}

/// Returns the length that a head declares in its only field for it. The value is one number, after one blank at most: a digit
/// that was spoilt to a blank would shorten a number with blanks around it.
fn length(head: &[u8]) -> Result<u64, HeadError> {
    let values = head.split(|byte| *byte == b'\n').filter_map(|line| {
        let (name, value) = line.split_at(line.iter().position(|byte| *byte == b':')?);
        name.eq_ignore_ascii_case(CONTENT_LENGTH.as_bytes()).then_some(&value[1..])
    });
    let mut values = values;
    let value = values.next().ok_or(HeadError::InvalidLength)?;
    if values.next().is_some() {
        return Err(HeadError::RepeatedLength);
    }
    let value = value.strip_suffix(b"\r").unwrap_or(value);
    let digits = value.strip_prefix(b" ").unwrap_or(value);
    let is_number = !digits.is_empty() && digits.iter().all(u8::is_ascii_digit);
    let number = std::str::from_utf8(digits).ok().filter(|_| is_number);
    number.and_then(|number| number.parse().ok()).ok_or(HeadError::InvalidLength)
}
