//! What is known of the connections of clients: which have a response that is being produced or not all written.

use std::cell::Cell;
use std::fmt;
use std::rc::Rc;

/// The open connections of one or more listeners. Clones share the counts.
#[derive(Clone, Debug, Default)]
pub struct OpenConnections {
    counts: Rc<Counts>,
}

#[derive(Debug, Default)]
struct Counts {
    /// Responses that their handlers have not produced completely.
    in_progress: Cell<usize>,
    /// Connections with bytes of complete responses that the socket has not accepted yet.
    unwritten: Cell<usize>,
}

/// What is still to be done for clients.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Unfinished {
    /// Responses that their handlers have not produced completely.
    pub in_progress: usize,
    /// Connections with bytes of complete responses that the socket has not accepted yet.
    pub unwritten: usize,
}

impl fmt::Display for Unfinished {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{} responses in progress, {} connections with a response that is not all written",
            self.in_progress, self.unwritten
        )
    }
}

impl OpenConnections {
    /// Returns what is still to be done for the clients of all connections.
    pub fn unfinished(&self) -> Unfinished {
        Unfinished { in_progress: self.counts.in_progress.get(), unwritten: self.counts.unwritten.get() }
    }

    /// Starts tracking a connection.
    pub(crate) fn track(&self) -> Rc<ConnectionState> {
        Rc::new(ConnectionState {
            connections: self.clone(),
            in_progress: Cell::new(0),
            has_unwritten: Cell::new(false),
        })
    }
}

/// State of one connection, shared by its stream and its requests.
#[derive(Debug)]
pub(crate) struct ConnectionState {
    connections: OpenConnections,
    /// Responses that are being produced.
    in_progress: Cell<usize>,
    /// Whether bytes of a complete response may not have been accepted by the socket yet.
    has_unwritten: Cell<bool>,
}

impl ConnectionState {
    /// Counts a response as in progress until the guard is dropped.
    pub(crate) fn begin_response(self: &Rc<Self>) -> ResponseGuard {
        change(&self.in_progress, 1);
        change(&self.connections.counts.in_progress, 1);
        ResponseGuard { connection: self.clone() }
    }

    fn end_response(&self) {
        change(&self.in_progress, -1);
        change(&self.connections.counts.in_progress, -1);
        if !self.has_unwritten.replace(true) {
            change(&self.connections.counts.unwritten, 1);
        }
    }

    /// Records that the socket has accepted all bytes of the responses so far.
    pub(crate) fn record_flushed(&self) {
        if self.has_unwritten.replace(false) {
            change(&self.connections.counts.unwritten, -1);
        }
    }
}

impl Drop for ConnectionState {
    fn drop(&mut self) {
        self.record_flushed();
    }
}

/// Adds to a counter.
fn change(counter: &Cell<usize>, by: isize) {
    counter.set(counter.get().saturating_add_signed(by));
}

/// Counts a response as in progress until it is dropped.
pub(crate) struct ResponseGuard {
    connection: Rc<ConnectionState>,
}

impl Drop for ResponseGuard {
    fn drop(&mut self) {
        self.connection.end_response();
    }
}
