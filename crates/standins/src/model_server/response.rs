//! What a stand-in server answers: heads, events, refusals, and what nobody asked for.

use std::time::Duration;

/// Number of events in a complete response.
pub const EVENTS_PER_RESPONSE: u64 = 5;
/// Number of events after which a stream on `/break/` is cut off, and one on `/dark/` falls silent.
pub(super) const EVENTS_BEFORE_BREAK: u64 = 2;
/// Pause before the end of a stream, so that the bytes written before are received even if it is cut off.
pub(super) const END_DELAY: Duration = Duration::from_millis(30);
/// Size of the data of an event on `/large/`, in bytes.
pub const LARGE_EVENT_BYTES: usize = 256 << 10;
/// Interval of events on `/slow/`.
pub(super) const SLOW_EVENT_INTERVAL: Duration = Duration::from_millis(60);

/// The statuses that promise clients that their request is not executed.
const PROMISING_STATUSES: [u16; 3] = [503, 429, 408];
/// Statuses of surplus answers.
const SURPLUS_STATUSES: [u16; 6] = [503, 421, 429, 408, 422, 500];

/// What takes the place of a spoilt byte. A digit is none of them: another length or status is lawful.
const SPOILERS: &[u8] = b" \t\r\n\0\x01\x1f\x7f:;,-+xX";

/// What takes the place of a part of a head, where the head has it: each leaves open where the body ends, or is no head.
const SPOILT_PARTS: &[(&str, &str)] = &[
    ("Content-Length: ", "Content-Length : "),
    ("Content-Length", "Content-Lemgth"),
    ("Transfer-Encoding: ", "Transfer-Encoding : "),
    ("Transfer-Encoding", "Transfer-Encodimg"),
    ("chunked", "identity"),
    ("X-Fennelgauge-Response-Signature", "X Fennelgauge-Response-Signature"),
    ("HTTP/1.1 200", "HTTP/1.1 000"),
];

/// How the body of an answer ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Framing {
    Length(usize),
    /// A stream of events in chunks.
    Chunks,
    /// With the connection.
    Close,
}

impl Default for Framing {
    fn default() -> Self {
        Self::Length(0)
    }
}

/// The head of an answer.
#[derive(Clone, Debug, Default)]
pub(super) struct ResponseHead {
    pub(super) status: u16,
    /// Request id that it carries, if any.
    pub(super) id: Option<String>,
    /// Whether it says that the request was not executed.
    pub(super) not_executed: bool,
    /// Id of the server that signs it, if any.
    pub(super) signed_by: Option<String>,
    /// How its body ends.
    pub(super) framing: Framing,
    pub(super) closes: bool,
    /// Idle time after which the connection is closed, in seconds.
    pub(super) idle_s: Option<u64>,
    /// Whether a part of it is spoilt. It does not say that the connection closes then, though it does: a body whose length is lost
    /// would lawfully end with the connection.
    pub(super) is_spoilt: bool,
}

impl ResponseHead {
    /// Returns its bytes.
    pub(super) fn encode(&self) -> Vec<u8> {
        let mut text = format!("HTTP/1.1 {} Status\r\n", self.status);
        let mut header = |name: &str, value: &str| text.push_str(&format!("{name}: {value}\r\n"));
        if let Some(id) = &self.id {
            header("X-Fennelgauge-Request-Id", id);
        }
        if self.not_executed {
            header("X-Fennelgauge-Not-Executed", "1");
        }
        if let Some(server) = &self.signed_by {
            header("X-Fennelgauge-Response-Signature", &format!("signed-{server}"));
        }
        match self.framing {
            Framing::Length(length) => header("Content-Length", &length.to_string()),
            Framing::Chunks => {
                header("Content-Type", "text/event-stream");
                header("Transfer-Encoding", "chunked");
            }
            Framing::Close => {}
        }
        if self.closes && !self.is_spoilt {
            header("Connection", "close");
        }
        if let Some(idle_s) = self.idle_s {
            header("Keep-Alive", &format!("timeout={idle_s}"));
        }
        text.push_str("\r\n");
        match self.is_spoilt {
            true => spoilt(text),
            false => text.into_bytes(),
        }
    }
}

/// Returns a head with another part or another byte in the place of one.
fn spoilt(head: String) -> Vec<u8> {
    let part = fastrand::choice(SPOILT_PARTS).filter(|(part, _)| head.contains(part));
    if let Some((part, other)) = part {
        return head.replacen(part, other, 1).into_bytes();
    }
    let mut bytes = head.into_bytes();
    let place = fastrand::usize(0..bytes.len());
    bytes[place] = fastrand::choice(SPOILERS).copied().unwrap_or(0);
    bytes
}

/// Returns one of the statuses that promise that a request is not executed.
pub(super) fn promising_status() -> u16 {
    fastrand::choice(PROMISING_STATUSES).unwrap_or(503)
}

/// Returns the bytes of a chunk.
pub(super) fn chunk(data: &[u8]) -> Vec<u8> {
    let mut bytes = format!("{:x}\r\n", data.len()).into_bytes();
    bytes.extend_from_slice(data);
    bytes.extend_from_slice(b"\r\n");
    bytes
}

/// Something that a server sends beyond its answers.
#[derive(Clone, Debug)]
pub(super) struct Surplus {
    pub(super) bytes: Vec<u8>,
    pub(super) moment: SurplusMoment,
}

/// When a surplus is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SurplusMoment {
    /// Right after the answer.
    AtOnce,
    /// A moment later, while the connection is idle.
    Idle(Duration),
    /// When the next request has arrived, before its own answer.
    InPlaceOfNext,
}

impl Surplus {
    /// Draws a surplus after the answer to the request with this id: a second answer to it, an answer that belongs to no
    /// request, or bytes that form no answer.
    pub(super) fn drawn(id: &str) -> Self {
        let status = fastrand::choice(SURPLUS_STATUSES).unwrap_or(503);
        let answer = ResponseHead { status, ..ResponseHead::default() };
        let bytes = match fastrand::u8(0..5) {
            0 => ResponseHead { id: Some(id.to_owned()), not_executed: true, ..answer }.encode(),
            1 => ResponseHead { id: Some(id.to_owned()), ..answer }.encode(),
            2 => ResponseHead { not_executed: true, ..answer }.encode(),
            3 => answer.encode(),
            _ => b"\x00\x01 no answer \r\n\r\n".to_vec(),
        };
        let moment = match fastrand::u8(0..3) {
            0 => SurplusMoment::AtOnce,
            1 => SurplusMoment::Idle(Duration::from_micros(fastrand::u64(0..20_000))),
            _ => SurplusMoment::InPlaceOfNext,
        };
        Self { bytes, moment }
    }
}
