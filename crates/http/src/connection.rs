//! What is known of the connections of clients: which have a response that is being produced or not all written, and
//! which are being closed.

use std::cell::Cell;
use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use actix_web::http::Version;
use tokio::sync::watch;
use tokio::time::{sleep, Instant};

use crate::server::HttpTimeouts;

/// Longest time for which a connection that this process closes is kept until the client closes its side, too. Bytes
/// that arrive after the end of the process would reset the connection and take what the client has not read yet.
const LINGER_TIMEOUT: Duration = Duration::from_millis(1_000);
/// How often a drain looks whether it is complete.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// The open connections of one or more listeners. Clones share the counts.
#[derive(Clone, Debug)]
pub struct OpenConnections {
    counts: Rc<Counts>,
    /// Whether connections without a request are to be closed.
    closes_idle: Rc<watch::Sender<bool>>,
}

impl Default for OpenConnections {
    fn default() -> Self {
        Self { counts: Rc::default(), closes_idle: Rc::new(watch::Sender::new(false)) }
    }
}

#[derive(Debug, Default)]
struct Counts {
    open: Cell<usize>,
    in_progress: Cell<usize>,
    unwritten: Cell<usize>,
    lingering: Cell<usize>,
}

/// What is still to be done for clients.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Unfinished {
    /// Open connections, idle ones included.
    pub open: usize,
    /// Responses that their handlers have not produced completely.
    pub in_progress: usize,
    /// Connections with bytes of complete responses that the socket has not accepted yet.
    pub unwritten: usize,
    /// Connections that this process has closed and the client has not closed yet.
    pub lingering: usize,
}

impl Unfinished {
    /// Returns whether the last byte of each response has been written, and no client of a connection that was closed
    /// after its response may still be reading it.
    pub fn is_drained(&self) -> bool {
        self.in_progress == 0 && self.unwritten == 0 && self.lingering == 0
    }
}

impl fmt::Display for Unfinished {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{} responses in progress, {} connections with a response that is not all written, {} connections that clients \
             have not closed yet, {} open connections in all",
            self.in_progress, self.unwritten, self.lingering, self.open
        )
    }
}

impl OpenConnections {
    /// Returns what is still to be done for the clients of all connections.
    pub fn unfinished(&self) -> Unfinished {
        Unfinished {
            open: self.counts.open.get(),
            in_progress: self.counts.in_progress.get(),
            unwritten: self.counts.unwritten.get(),
            lingering: self.counts.lingering.get(),
        }
    }

    /// Waits until all responses have been written, at most until `until`, then closes the idle connections and waits
    /// until the clients have closed them, too. Requests that arrive meanwhile are answered. Nothing is awaited after
    /// the last look, so the process can end without having read a request that it leaves unanswered.
    pub async fn drain(&self, until: Instant) -> Unfinished {
        self.wait_until(until, |unfinished| unfinished.is_drained()).await;
        self.close_idle();
        let closed_by = until.min(Instant::now() + LINGER_TIMEOUT);
        let unfinished = self.wait_until(closed_by, |unfinished| unfinished.open == 0).await;
        match unfinished.is_drained() {
            true => unfinished,
            false => self.wait_until(until, |unfinished| unfinished.is_drained()).await,
        }
    }

    /// Closes each connection as soon as it has no request, those that are accepted later included.
    pub fn close_idle(&self) {
        self.closes_idle.send_replace(true);
    }

    async fn wait_until(&self, until: Instant, is_done: impl Fn(&Unfinished) -> bool) -> Unfinished {
        loop {
            let unfinished = self.unfinished();
            if is_done(&unfinished) || Instant::now() >= until {
                return unfinished;
            }
            sleep(DRAIN_CHECK_INTERVAL).await;
        }
    }

    /// Starts tracking a connection.
    pub(crate) fn track(&self, timeouts: HttpTimeouts) -> Rc<ConnectionState> {
        change(&self.counts.open, 1);
        Rc::new(ConnectionState {
            connections: self.clone(),
            timeouts,
            in_progress: Cell::new(0),
            response_limit: Cell::new(None),
            unwritten_limit: Cell::new(None),
            head_limit: Cell::new(None),
            linger_limit: Cell::new(None),
            is_incomplete: Cell::new(false),
            is_read_closed: Cell::new(false),
            awaits_bytes: Cell::new(false),
            ends_with_connection: Cell::new(false),
        })
    }

    /// Returns a receiver that is notified when idle connections are to be closed.
    pub(crate) fn idle_closing(&self) -> watch::Receiver<bool> {
        self.closes_idle.subscribe()
    }
}

/// State of one connection, shared by its stream, its requests and its task.
#[derive(Debug)]
pub(crate) struct ConnectionState {
    connections: OpenConnections,
    timeouts: HttpTimeouts,
    /// Responses that are being produced.
    in_progress: Cell<usize>,
    /// When the connection is cut if the response in progress is not written by then.
    response_limit: Cell<Option<Instant>>,
    /// Set while bytes of a complete response may not have been accepted by the socket: when the connection is cut if they
    /// are not by then.
    unwritten_limit: Cell<Option<Instant>>,
    /// Set while a part of a request's head has been received: when the connection is cut if the rest is not by then.
    head_limit: Cell<Option<Instant>>,
    /// Set while this process has closed its side of the connection: how long it waits for the client to close the other.
    linger_limit: Cell<Option<Instant>>,
    /// Whether the last response was dropped before its end.
    is_incomplete: Cell<bool>,
    /// Whether the client has closed its side of the connection, or reset it.
    is_read_closed: Cell<bool>,
    /// Whether the last read found nothing, so that the connection's task is woken when the client closes.
    awaits_bytes: Cell<bool>,
    /// Whether clients take the end of the connection for the end of the response (HTTP/1.0).
    ends_with_connection: Cell<bool>,
}

impl ConnectionState {
    /// Counts a response to a request of this HTTP version as in progress until the guard is dropped.
    pub(crate) fn begin_response(self: &Rc<Self>, version: Version) -> ResponseGuard {
        change(&self.in_progress, 1);
        change(&self.connections.counts.in_progress, 1);
        self.head_limit.set(None);
        self.limit_response(Instant::now() + self.timeouts.response);
        self.ends_with_connection.set(version < Version::HTTP_11);
        ResponseGuard { connection: self.clone(), is_complete: false }
    }

    /// Sets when the connection is cut if the response in progress is not written by then.
    pub(crate) fn limit_response(&self, until: Instant) {
        self.response_limit.set(Some(until));
    }

    fn end_response(&self, is_complete: bool) {
        change(&self.in_progress, -1);
        change(&self.connections.counts.in_progress, -1);
        self.is_incomplete.set(!is_complete);
        let limit = self.response_limit.take();
        if self.unwritten_limit.get().is_none() {
            self.unwritten_limit.set(limit);
            change(&self.connections.counts.unwritten, 1);
        }
    }

    /// Records that the socket has accepted all bytes of the responses so far.
    pub(crate) fn record_flushed(&self) {
        if self.unwritten_limit.take().is_some() {
            change(&self.connections.counts.unwritten, -1);
        }
    }

    /// Records the result of a read.
    pub(crate) fn record_read(&self, read: Read) {
        self.awaits_bytes.set(read == Read::Nothing);
        match read {
            Read::Nothing => {}
            Read::Bytes => self.record_received(),
            Read::Closed => self.is_read_closed.set(true),
        }
    }

    /// Returns whether the client has closed its side of the connection, or reset it.
    pub(crate) fn is_read_closed(&self) -> bool {
        self.is_read_closed.get()
    }

    /// Returns whether the client has left although a response to it is in progress. Clients that close only their side
    /// of the connection and go on reading look the same, and count as having left.
    pub(crate) fn client_has_left(&self) -> bool {
        self.is_read_closed.get() && self.in_progress.get() > 0
    }

    /// Returns whether a response is in progress while the HTTP library reads nothing, because its buffer is full or
    /// another request waits: the end of the connection would not be noticed.
    pub(crate) fn overlooks_close(&self) -> bool {
        self.in_progress.get() > 0 && !self.awaits_bytes.get()
    }

    fn record_received(&self) {
        if self.in_progress.get() == 0 && self.head_limit.get().is_none() {
            self.head_limit.set(Some(Instant::now() + self.timeouts.request_head));
        }
    }

    /// Returns whether the client would take the end of the connection for that of a response that is not complete.
    pub(crate) fn needs_reset(&self) -> bool {
        let is_incomplete = self.is_incomplete.get() || self.unwritten_limit.get().is_some();
        self.ends_with_connection.get() && is_incomplete
    }

    /// Returns whether the connection is to be closed because it has no request.
    pub(crate) fn closes_now(&self) -> bool {
        self.in_progress.get() == 0 && *self.connections.closes_idle.borrow()
    }

    /// Records that this process has closed its side of the connection.
    pub(crate) fn begin_linger(&self) {
        if self.linger_limit.replace(Some(Instant::now() + LINGER_TIMEOUT)).is_none() {
            change(&self.connections.counts.lingering, 1);
        }
    }

    /// Records that the client has closed its side of the connection, too.
    pub(crate) fn end_linger(&self) {
        if self.linger_limit.take().is_some() {
            change(&self.connections.counts.lingering, -1);
        }
    }

    /// Returns until when the connection is kept; `None` if there is no limit now.
    pub(crate) fn kept_until(&self) -> Option<Instant> {
        let limits = [&self.response_limit, &self.unwritten_limit, &self.head_limit, &self.linger_limit];
        limits.into_iter().filter_map(Cell::get).min()
    }
}

impl Drop for ConnectionState {
    fn drop(&mut self) {
        self.record_flushed();
        self.end_linger();
        change(&self.connections.counts.open, -1);
    }
}

/// The result of a read from a client's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Read {
    /// No bytes have arrived.
    Nothing,
    /// Bytes were received.
    Bytes,
    /// The client has closed its side of the connection, or reset it.
    Closed,
}

/// Adds to a counter.
fn change(counter: &Cell<usize>, by: isize) {
    counter.set(counter.get().saturating_add_signed(by));
}

/// Counts a response as in progress until it is dropped.
pub(crate) struct ResponseGuard {
    connection: Rc<ConnectionState>,
    is_complete: bool,
}

impl ResponseGuard {
    /// Records that the response has been produced completely.
    pub(crate) fn complete(&mut self) {
        self.is_complete = true;
    }
}

impl Drop for ResponseGuard {
    fn drop(&mut self) {
        self.connection.end_response(self.is_complete);
    }
}
