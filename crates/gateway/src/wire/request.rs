//! Requests of clients, read into jobs, and the answers to them.

use super::http::{self, Length, Wrong};
use fennelgauge::host::{Arrival, CustomerId, RepeatPolicy};
use fennelgauge::time::{Moment, Span};
use std::time::Duration;

/// One request, as far as it concerns a gateway.
#[derive(Debug)]
pub enum Request {
    /// Asks if the gateway may be given jobs.
    Ready,
    Job(Job),
}

#[derive(Debug)]
pub struct Job {
    /// Without the job's id, which is the gateway's own.
    pub arrival: Arrival,
    pub onward: Onward,
}

/// What servers get of a job; the time left is added when it is sent.
#[derive(Debug)]
pub struct Onward {
    /// As its client gave it.
    pub id: String,
    pub head: Vec<u8>,
    pub body: Vec<u8>,
}

pub struct Taken {
    pub request: Request,
    pub keep: bool,
    pub used: usize,
}

/// The names that requests use for bands and plans, in the order of their indices.
pub struct Names {
    pub bands: Vec<String>,
    pub plans: Vec<String>,
    /// Of the bands: whether a repeat is harmless, and whether servers know it by a mark.
    pub repeats: Vec<RepeatPolicy>,
    /// The most units that a job takes.
    pub most_units: f64,
    pub gateways: u32,
}

/// The request at the start of `input`; none until its last byte has come.
pub fn take(input: &[u8], now: Moment, names: &Names) -> Result<Option<Taken>, Wrong> {
    let mut headers = [httparse::EMPTY_HEADER; http::MOST_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    let start = match head.parse(input) {
        Ok(httparse::Status::Complete(start)) if start > http::MOST_HEAD => return Err(Wrong(431)),
        Ok(httparse::Status::Complete(start)) => start,
        Ok(httparse::Status::Partial) if input.len() > http::MOST_HEAD => return Err(Wrong(431)),
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(httparse::Error::TooManyHeaders) => return Err(Wrong(431)),
        Err(_) => return Err(Wrong(400)),
    };
    let framing = http::framing(head.headers, head.version, http::MOST_BODY)?;
    let length = framing.length.unwrap_or(Length::Exactly(0));
    let Some((body, used)) = http::body(&input[start..], length, false, http::MOST_BODY)? else {
        return Ok(None);
    };
    let (method, path) = (head.method.unwrap_or(""), head.path.unwrap_or(""));
    let request = if !matches!(method, "GET" | "POST") {
        return Err(Wrong(405));
    } else if path == "/-/ready" {
        Request::Ready
    } else {
        let (id, arrival) = arrival(head.headers, now, names).ok_or(Wrong(400))?;
        // Servers close on what they cannot read: it must not cost a connection to one, nor speak against it.
        let readable = path.starts_with('/') && path.bytes().all(|byte| byte.is_ascii_graphic());
        let pure = matches!(names.repeats[arrival.class], RepeatPolicy::Idempotent);
        if !readable || pure != (method == "GET") || (pure && !body.is_empty()) {
            return Err(Wrong(400));
        }
        let mut onward = Vec::with_capacity(start + 32);
        http::put(&mut onward, format_args!("{method} {path} HTTP/1.1\r\n"));
        http::pass_on(&mut onward, head.headers, &["x-time-left-ms"]);
        if framing.length.is_some() {
            http::put(&mut onward, format_args!("Content-Length: {}\r\n", body.len()));
        }
        Request::Job(Job { arrival, onward: Onward { id, head: onward, body: body.into_owned() } })
    };
    Ok(Some(Taken { request, keep: framing.keep, used: start + used }))
}

/// The head has come, and its client wants to be told before it sends the body.
pub fn waits_for_word(input: &[u8]) -> bool {
    let mut headers = [httparse::EMPTY_HEADER; http::MOST_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    let whole = matches!(head.parse(input), Ok(httparse::Status::Complete(start)) if start == input.len());
    let expects = |header: &httparse::Header| {
        header.name.eq_ignore_ascii_case("expect") && header.value.eq_ignore_ascii_case(b"100-continue")
    };
    whole && head.headers.iter().any(expects)
}

/// The id that its client gave to a job, and the job; none where a part is missing, told twice or out of range.
fn arrival(headers: &[httparse::Header], now: Moment, names: &Names) -> Option<(String, Arrival)> {
    let header = |name: &str| {
        let mut found = headers.iter().filter(|header| header.name.eq_ignore_ascii_case(name));
        let value = found.next().and_then(|header| http::text(header.value));
        value.filter(|value| !value.is_empty() && found.next().is_none())
    };
    let id = header("x-correlation-id")?;
    let (band, plan) = (header("x-service-class")?, header("x-tier")?);
    let left = header("x-time-left-ms")?.parse::<u64>().ok()?.min(LONGEST);
    let (mut units, mut set_size, mut set_first) = (None, None, None);
    for term in header("x-call-terms")?.split(',') {
        let (name, value) = term.split_once('=')?;
        match name.trim() {
            "units" => units = value.trim().parse::<f64>().ok(),
            "spread" => set_size = value.trim().parse().ok(),
            "first" => set_first = value.trim().parse().ok(),
            _ => {}
        }
    }
    let band = names.bands.iter().position(|name| name == band)?;
    // Rule 2: without its mark a repeat would be taken for another job.
    if matches!(names.repeats.get(band)?, RepeatPolicy::Deduplicated(..)) {
        header("idempotency-key")?;
    }
    let arrival = Arrival {
        job: 0,
        customer: customer(header("cookie")?)?,
        class: band,
        plan: names.plans.iter().position(|name| name == plan)?,
        units: units.filter(|units| *units > 0.0 && *units <= names.most_units)?,
        first_gateway: set_first.filter(|first| *first < names.gateways)?,
        gateway_set_size: set_size.filter(|size| (1..=names.gateways).contains(size))?,
        abandon_at: now + Span::from_millis(left),
    };
    Some((id.to_string(), arrival))
}

/// A client that would wait for ever is not waited for: a relay that hangs would never end. Far above any sound
/// client's patience, in milliseconds.
const LONGEST: u64 = 60_000;

fn customer(cookie: &str) -> Option<CustomerId> {
    /// Ids of customers are below this.
    const MOST: CustomerId = 1 << 33;
    let digits = cookie.split(';').find_map(|part| part.trim().strip_prefix("account="))?;
    let digits =
        Some(digits).filter(|it| it.len() == 16 && it.bytes().all(|byte| byte.is_ascii_hexdigit()))?;
    CustomerId::from_str_radix(digits, 16).ok().filter(|id| *id < MOST)
}

/// The request's head and body as a server gets them.
pub fn relay(out: &mut Vec<u8>, onward: &Onward, patience: Span) {
    out.extend_from_slice(&onward.head);
    http::put(out, format_args!("X-Time-Left-Ms: {}\r\n\r\n", (patience.micros() / 1_000).max(1)));
    out.extend_from_slice(&onward.body);
}

pub fn satisfied(out: &mut Vec<u8>, answer: &http::Answer, keep: bool) {
    out.extend_from_slice(b"HTTP/1.1 200 OK\r\n");
    http::pass_on(out, &answer.headers, &["x-backend-load"]);
    end(out, &answer.body, keep);
}

pub fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        501 => "Not Implemented",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        _ => "Error",
    }
}

/// An answer of the gateway's own, with the time after which to come back where one is named.
pub fn own(out: &mut Vec<u8>, status: u16, hold_off: Option<Span>, keep: bool) {
    http::put(out, format_args!("HTTP/1.1 {status} {}\r\n", reason(status)));
    if status == 405 {
        out.extend_from_slice(b"Allow: GET, POST\r\n");
    }
    if let Some(span) = hold_off {
        let span = Duration::from_micros(span.micros());
        http::put(out, format_args!("Retry-After: {}.{:03}\r\n", span.as_secs(), span.subsec_millis()));
    }
    end(out, b"", keep);
}

fn end(out: &mut Vec<u8>, body: &[u8], keep: bool) {
    let close = if keep { "" } else { "Connection: close\r\n" };
    http::put(out, format_args!("{close}Content-Length: {}\r\n\r\n", body.len()));
    out.extend_from_slice(body);
}

#[cfg(test)]
mod tests;
