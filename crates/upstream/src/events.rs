//! Cuts a stream into events.

/// One whole event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// The bytes as they came, with the blank line that ends it.
    pub bytes: Vec<u8>,
    pub id: Option<u64>,
    /// Its lines of data, joined by line feeds.
    pub data: String,
}

/// Collects bytes and gives whole events.
#[derive(Debug, Default)]
pub struct EventParser {
    pending: Vec<u8>,
    /// Up to here there is no end of an event.
    searched: usize,
}

impl EventParser {
    pub fn push(&mut self, bytes: &[u8]) {
        self.pending.extend_from_slice(bytes);
    }

    /// Whether a part of an event is left.
    pub fn has_partial_event(&self) -> bool {
        !self.pending.is_empty()
    }
}

impl Iterator for EventParser {
    type Item = Event;

    fn next(&mut self) -> Option<Event> {
        let end = end_of_event(&self.pending, self.searched);
        let Some(end) = end else {
            self.searched = self.pending.len().saturating_sub(3);
            return None;
        };
        let rest = self.pending.split_off(end);
        let bytes = std::mem::replace(&mut self.pending, rest);
        self.searched = 0;
        Some(parsed(bytes))
    }
}

/// Holds a stream to its order: a server in trouble may send events that are spoilt or come twice.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EventOrder {
    last: Option<u64>,
}

impl EventOrder {
    /// The newest event taken; a stream is continued after it.
    pub fn last_id(&self) -> Option<u64> {
        self.last
    }

    /// Takes an event if it is the next one. After one that is not, nothing of its stream counts any more.
    pub fn accept(&mut self, event: &Event) -> bool {
        let Some(id) = event.id else { return false };
        let next = self.last.is_none_or(|last| id == last + 1);
        if next {
            self.last = Some(id);
        }
        next
    }
}

fn end_of_event(bytes: &[u8], from: usize) -> Option<usize> {
    (from..bytes.len()).find_map(|at| {
        let rest = &bytes[at..];
        if rest.starts_with(b"\n\n") {
            return Some(at + 2);
        }
        rest.starts_with(b"\n\r\n").then_some(at + 3)
    })
}

fn parsed(bytes: Vec<u8>) -> Event {
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
