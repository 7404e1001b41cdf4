//! Parsing of client requests into jobs, and writing of requests to servers and of responses to clients.

use super::http::{self, BodyLength, HttpError};
use fennelgauge::host::{Arrival, CustomerId, RepeatPolicy};
use fennelgauge::time::{Moment, Span};
use std::time::Duration;

/// A parsed client request.
#[derive(Debug)]
pub enum Request {
    /// A readiness check.
    Ready,
    /// A job to forward.
    Job(Job),
}

/// A job as received from a client.
#[derive(Debug)]
pub struct Job {
    /// Description for the policy module. The job id is 0 until the gateway assigns one.
    pub arrival: Arrival,
    /// The request for the server.
    pub forwarded_request: ForwardedRequest,
}

/// The request that is forwarded to a server. The header with the time left is added when it is sent.
#[derive(Debug)]
pub struct ForwardedRequest {
    /// The client's id of the job.
    pub id: String,
    /// Request line and headers, without the final empty line.
    pub head: Vec<u8>,
    /// Body without chunk framing.
    pub body: Vec<u8>,
}

/// A request and what it means for its connection.
pub struct ParsedRequest {
    /// The request.
    pub request: Request,
    /// Whether the client keeps the connection open.
    pub keep_alive: bool,
    /// Number of input bytes that the request takes up.
    pub consumed: usize,
}

/// Names and limits against which requests are checked. Names are in the order of the policy's indices.
pub struct RequestNames {
    /// Names of service classes.
    pub classes: Vec<String>,
    /// Names of plans.
    pub plans: Vec<String>,
    /// Repeat policy of each service class.
    pub repeat_policies: Vec<RepeatPolicy>,
    /// Most units that a job may cost.
    pub max_units: f64,
    /// Number of gateways in the deployment.
    pub gateway_count: u32,
}

/// Parses the request at the start of `input`. Returns `None` until it is complete. Errs with the status to respond
/// with.
pub fn parse(input: &[u8], now: Moment, names: &RequestNames) -> Result<Option<ParsedRequest>, HttpError> {
    let mut headers = [httparse::EMPTY_HEADER; http::MAX_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    let start = match head.parse(input) {
        Ok(httparse::Status::Complete(start)) if start > http::MAX_HEAD => return Err(HttpError(431)),
        Ok(httparse::Status::Complete(start)) => start,
        Ok(httparse::Status::Partial) if input.len() > http::MAX_HEAD => return Err(HttpError(431)),
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(httparse::Error::TooManyHeaders) => return Err(HttpError(431)),
        Err(_) => return Err(HttpError(400)),
    };
    let framing = http::parse_framing(head.headers, head.version, http::MAX_REQUEST_BODY)?;
    let length = framing.length.unwrap_or(BodyLength::Exactly(0));
    let Some((body, consumed)) = http::parse_body(&input[start..], length, false, http::MAX_REQUEST_BODY)?
    else {
        return Ok(None);
    };
    let (method, path) = (head.method.unwrap_or(""), head.path.unwrap_or(""));
    let request = if !matches!(method, "GET" | "POST") {
        return Err(HttpError(405));
    } else if path == "/-/ready" {
        Request::Ready
    } else {
        let (id, arrival) = parse_arrival(head.headers, now, names).ok_or(HttpError(400))?;
        // Servers close the connection on requests that they can't parse. Such a request must not cost a server
        // connection or count as a failure of the server.
        let is_valid_path = path.starts_with('/') && path.bytes().all(|byte| byte.is_ascii_graphic());
        let idempotent = matches!(names.repeat_policies[arrival.class], RepeatPolicy::Idempotent);
        if !is_valid_path || idempotent != (method == "GET") || (idempotent && !body.is_empty()) {
            return Err(HttpError(400));
        }
        let mut forwarded = Vec::with_capacity(start + 32);
        http::write(&mut forwarded, format_args!("{method} {path} HTTP/1.1\r\n"));
        http::write_end_to_end_headers(&mut forwarded, head.headers, &["x-time-left-ms"]);
        if framing.length.is_some() {
            http::write(&mut forwarded, format_args!("Content-Length: {}\r\n", body.len()));
        }
        Request::Job(Job {
            arrival,
            forwarded_request: ForwardedRequest { id, head: forwarded, body: body.into_owned() },
        })
    };
    Ok(Some(ParsedRequest { request, keep_alive: framing.keep_alive, consumed: start + consumed }))
}

/// Returns whether the input is just a complete head with `Expect: 100-continue`.
pub fn expects_continue(input: &[u8]) -> bool {
    let mut headers = [httparse::EMPTY_HEADER; http::MAX_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    let head_only =
        matches!(head.parse(input), Ok(httparse::Status::Complete(start)) if start == input.len());
    let expects = |header: &httparse::Header| {
        header.name.eq_ignore_ascii_case("expect") && header.value.eq_ignore_ascii_case(b"100-continue")
    };
    head_only && head.headers.iter().any(expects)
}

/// Returns the client's id of a job, and the job. `None` if a required value is missing, duplicated or out of range.
fn parse_arrival(
    headers: &[httparse::Header],
    now: Moment,
    names: &RequestNames,
) -> Option<(String, Arrival)> {
    let header = |name: &str| {
        let mut found = headers.iter().filter(|header| header.name.eq_ignore_ascii_case(name));
        let value = found.next().and_then(|header| http::text(header.value));
        value.filter(|value| !value.is_empty() && found.next().is_none())
    };
    let id = header("x-correlation-id")?;
    let (class, plan) = (header("x-service-class")?, header("x-tier")?);
    let time_left_ms = header("x-time-left-ms")?.parse::<u64>().ok()?.min(MAX_TIME_LEFT_MS);
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
    let class = names.classes.iter().position(|name| name == class)?;
    // Without its idempotency key a repeat would be processed as another job.
    if matches!(names.repeat_policies.get(class)?, RepeatPolicy::Deduplicated(..)) {
        header("idempotency-key")?;
    }
    let arrival = Arrival {
        job: 0,
        customer: parse_customer(header("cookie")?)?,
        class,
        plan: names.plans.iter().position(|name| name == plan)?,
        units: units.filter(|units| *units > 0.0 && *units <= names.max_units)?,
        first_gateway: set_first.filter(|first| *first < names.gateway_count)?,
        gateway_set_size: set_size.filter(|size| (1..=names.gateway_count).contains(size))?,
        abandon_at: now + Span::from_millis(time_left_ms),
    };
    Some((id.to_string(), arrival))
}

/// Upper bound of a client's time limit, in milliseconds, far above any reasonable one: without it, a relay that hangs
/// could wait for ever.
const MAX_TIME_LEFT_MS: u64 = 60_000;

/// Returns the customer id in the cookie `account`, which must have 16 hexadecimal digits.
fn parse_customer(cookie: &str) -> Option<CustomerId> {
    /// Customer ids are below this value.
    const CUSTOMER_ID_LIMIT: CustomerId = 1 << 33;
    let digits = cookie.split(';').find_map(|part| part.trim().strip_prefix("account="))?;
    let digits =
        Some(digits).filter(|it| it.len() == 16 && it.bytes().all(|byte| byte.is_ascii_hexdigit()))?;
    CustomerId::from_str_radix(digits, 16).ok().filter(|id| *id < CUSTOMER_ID_LIMIT)
}

/// Writes a request to a server, with the time that is left for it.
pub fn write_relay(out: &mut Vec<u8>, forwarded_request: &ForwardedRequest, time_left: Span) {
    out.extend_from_slice(&forwarded_request.head);
    http::write(out, format_args!("X-Time-Left-Ms: {}\r\n\r\n", (time_left.micros() / 1_000).max(1)));
    out.extend_from_slice(&forwarded_request.body);
}

/// Writes a server's successful response to a client, without the headers meant for the gateway.
pub fn write_success(out: &mut Vec<u8>, response: &http::Response, keep_alive: bool) {
    out.extend_from_slice(b"HTTP/1.1 200 OK\r\n");
    http::write_end_to_end_headers(out, &response.headers, &["x-backend-load"]);
    write_body(out, &response.body, keep_alive);
}

/// Returns the reason phrase of a status code.
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

/// Writes a response of the gateway itself without a body, with a `Retry-After` header if a time is given.
pub fn write_response(out: &mut Vec<u8>, status: u16, retry_after: Option<Span>, keep_alive: bool) {
    http::write(out, format_args!("HTTP/1.1 {status} {}\r\n", reason(status)));
    if status == 405 {
        out.extend_from_slice(b"Allow: GET, POST\r\n");
    }
    if let Some(span) = retry_after {
        let span = Duration::from_micros(span.micros());
        http::write(out, format_args!("Retry-After: {}.{:03}\r\n", span.as_secs(), span.subsec_millis()));
    }
    write_body(out, b"", keep_alive);
}

/// Ends the headers and writes the body.
fn write_body(out: &mut Vec<u8>, body: &[u8], keep_alive: bool) {
    let close = if keep_alive { "" } else { "Connection: close\r\n" };
    http::write(out, format_args!("{close}Content-Length: {}\r\n\r\n", body.len()));
    out.extend_from_slice(body);
}

#[cfg(test)]
mod tests;
