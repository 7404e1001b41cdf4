//! Parses a stream of server-sent events and checks the order of their ids.

/// A complete event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// The bytes as received, including the blank line that ends the event.
    pub bytes: Vec<u8>,
    /// Value of the `id` field, if it is a number.
    pub id: Option<u64>,
    /// Values of the `data` fields, joined by line feeds.
    pub data: String,
}

/// Incremental parser: an iterator over the complete events among the bytes pushed so far.
#[derive(Debug, Default)]
pub struct EventParser {
    pending: Vec<u8>,
    /// No event ends before this offset in `pending`.
    searched: usize,
}

impl EventParser {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.pending.extend_from_slice(bytes);
    }

    /// Returns whether bytes of an incomplete event remain.
    pub fn has_partial_event(&self) -> bool {
        !self.pending.is_empty()
    }
}

impl Iterator for EventParser {
    type Item = Event;

    fn next(&mut self) -> Option<Event> {
        let end = find_event_end(&self.pending, self.searched);
        let Some(end) = end else {
            self.searched = self.pending.len().saturating_sub(3);
            return None;
        };
        let rest = self.pending.split_off(end);
        let bytes = std::mem::replace(&mut self.pending, rest);
        self.searched = 0;
        Some(parse_event(bytes))
    }
}

/// Checks that the ids of events are consecutive: a failing server may send corrupt or repeated events.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EventOrder {
    last: Option<u64>,
}

impl EventOrder {
    /// Returns the id of the last accepted event, after which a stream is to be continued.
    pub fn last_id(&self) -> Option<u64> {
        self.last
    }

    /// Accepts an event and returns true if its id follows that of the last accepted one; the first id may be any.
    /// After a rejected event the caller must discard the rest of that server's stream.
    pub fn accept(&mut self, event: &Event) -> bool {
        let Some(id) = event.id else { return false };
        let is_next = self.last.is_none_or(|last| id == last + 1);
        if is_next {
            self.last = Some(id);
        }
        is_next
    }
}

/// Returns the offset after the first blank line that begins at or after `from`.
fn find_event_end(bytes: &[u8], from: usize) -> Option<usize> {
    (from..bytes.len()).find_map(|at| {
        let rest = &bytes[at..];
        if rest.starts_with(b"\n\n") {
            return Some(at + 2);
        }
        rest.starts_with(b"\n\r\n").then_some(at + 3)
    })
}

fn parse_event(bytes: Vec<u8>) -> Event {
    let mut id = None;
    let mut data = Vec::new();
    for line in bytes.split(|byte| *byte == b'\n') {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        let Some(colon) = line.iter().position(|byte| *byte == b':') else { continue };
        let value = &line[colon + 1..];
        let value = String::from_utf8_lossy(value.strip_prefix(b" ").unwrap_or(value)).into_owned();
        match &line[..colon] {
            b"id" => id = value.trim().parse().ok(),
            b"data" => data.push(value),
            _ => {}
        }
    }
    Event { id, data: data.join("\n"), bytes }
}
