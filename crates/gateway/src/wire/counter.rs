//! Connections to the shared counter service, and its line protocol.

use super::http;
use crate::memory::channel::{Channel, ReadOutcome};
use crate::memory::timers::TimerKind;
use crate::sockets::{settle, Limiter, Moved, Sockets};
use fennelgauge::host::{CounterKey, Outcome};
use fennelgauge::time::{Moment, Span};
use std::collections::VecDeque;
use std::net::SocketAddr;
use tracing::info;

/// Most bytes of replies that are read at once; each reply is short.
const MAX_READ_BYTES: usize = 64 * 1024;
/// A connection whose oldest call has waited this long for a reply is closed, since the other machine may have vanished
/// without closing it. An overloaded counter that replies later than this replies only to calls that timed out long
/// before.
const MAX_SILENCE: Span = Span::from_millis(2_000);
/// A connection that has owed a reply without any sign of life for this multiple of the call timeout gets no further
/// calls: the connection may be dead although the counter is available. Replies are still read from it.
const RETIRE_AFTER_TIMEOUTS: f64 = 2.0;
/// Most connections at a time; if none of these responds, another one would not help.
const MAX_CONNECTIONS: usize = 4;

/// Client of the shared counter service.
pub struct Counter {
    /// Address of the service; `None` if there is none.
    address: Option<SocketAddr>,
    /// Time after which a call is abandoned.
    timeout: Span,
    /// New calls go to the last connection; the others stay until their calls have replies or timed out.
    connections: Vec<CounterConnection>,
}

/// A connection to the counter service.
struct CounterConnection {
    channel: Channel,
    key: u64,
    /// The connection is established.
    up: bool,
    /// Gets no further calls: the address has changed, or the connection does not respond.
    retired: bool,
    /// When the last reply arrived.
    last_heard: Moment,
    /// Calls without a reply, in the order of the replies to come.
    calls: VecDeque<Call>,
    /// Total number of bytes queued on this connection.
    queued_bytes: u64,
}

/// A call without a reply.
struct Call {
    key: CounterKey,
    number: u64,
    /// Value of `queued_bytes` after this call, which tells whether all of it was written.
    end: u64,
    sent: Moment,
    /// It was abandoned; its reply may still arrive.
    timed_out: bool,
}

impl Counter {
    /// Creates a client that connects on the first call.
    pub fn new(address: Option<SocketAddr>, timeout: Span) -> Self {
        Self { address, timeout, connections: Vec::new() }
    }

    /// Returns whether a call waits for its reply and has not timed out. Call numbers ascend, so binary search is
    /// possible.
    pub fn is_pending(&self, number: u64) -> bool {
        self.connections.iter().any(|connection| {
            let found = connection.calls.binary_search_by_key(&number, |call| call.number);
            found.is_ok_and(|index| !connection.calls[index].timed_out)
        })
    }

    /// Returns the connection for new calls.
    fn active(&mut self) -> Option<&mut CounterConnection> {
        self.connections.last_mut().filter(|connection| !connection.retired)
    }
}

/// Writes a call that adds `amount` to a key and keeps it for `keep`.
fn write_bump(out: &mut Vec<u8>, key: CounterKey, amount: f64, keep: Span) {
    // Totals are exact to seven digits, so more decimals of an amount would be lost.
    http::write(out, format_args!("bump {key:016x} {amount:.4} {}\r\n", (keep.micros() / 1_000).max(1)));
}

/// Parses a reply into total and outcome; `None` if it is not a valid reply.
fn parse_reply(line: &[u8]) -> Option<(Option<f64>, Outcome)> {
    let line = http::text(line)?;
    match line.split_once(' ') {
        Some(("ok", total)) => {
            let total = total.trim().parse::<f64>().ok().filter(|total| total.is_finite())?;
            Some((Some(total), Outcome::Succeeded))
        }
        _ if line == "busy" => Some((None, Outcome::Full)),
        _ if line == "error" => Some((None, Outcome::Error)),
        _ => None,
    }
}

/// Returns whether an incomplete line may still become a valid reply. Otherwise, garbage without a line end would block
/// all calls behind it.
fn may_become_reply(part: &[u8]) -> bool {
    /// Longer than any total written without an exponent.
    const MAX_REPLY_BYTES: usize = 400;
    if part.len() > MAX_REPLY_BYTES {
        return false;
    }
    let (known, rest) = part.split_at(part.len().min(3));
    match known {
        b"ok " => rest.iter().all(|byte| b"+-.0123456789eE \r".contains(byte)),
        _ => [&b"ok "[..], b"busy\r", b"error\r"].iter().any(|reply| reply.starts_with(part)),
    }
}

/// Handles readiness of a counter connection.
pub fn moved(limiter: &mut Limiter, key: u64) {
    limiter.host.counter_moved(key);
    settle(limiter);
}

impl Sockets {
    /// Adds an amount to a counter; the total is passed to the policy module later.
    pub fn call(&mut self, key: CounterKey, amount: f64, keep: Span) {
        let now = self.clock.now();
        if self.counter.active().is_none() {
            self.open_counter();
        }
        let number = self.number();
        let Some(connection) = self.counter.active() else {
            return self.count(key, None, Outcome::ConnectFailed);
        };
        let before = connection.channel.output.len();
        write_bump(&mut connection.channel.output, key, amount, keep);
        connection.queued_bytes += (connection.channel.output.len() - before) as u64;
        connection.calls.push_back(Call {
            key,
            number,
            end: connection.queued_bytes,
            sent: now,
            timed_out: false,
        });
        self.timers.schedule(now + self.counter.timeout, TimerKind::CounterTimeout(number));
    }

    fn open_counter(&mut self) {
        let Some(address) = self.counter.address else { return };
        let (key, last_heard) = (self.number(), self.clock.now());
        match Channel::connect(&self.handle, address, Moved::Counter(key)) {
            Ok(channel) => {
                let calls = VecDeque::new();
                let connection = CounterConnection {
                    channel,
                    key,
                    up: false,
                    retired: false,
                    last_heard,
                    calls,
                    queued_bytes: 0,
                };
                self.counter.connections.push(connection);
            }
            Err(error) => info!(side = "counter", key, reason = "refused", %error),
        }
    }

    /// Sends further calls to another address; replies to earlier calls are still accepted.
    pub fn move_counter(&mut self, address: Option<SocketAddr>) {
        if address != self.counter.address {
            self.counter.address = address;
            self.counter.connections.iter_mut().for_each(|connection| connection.retired = true);
            self.close_retired_counters();
        }
    }

    /// Closes retired connections whose calls have all ended.
    fn close_retired_counters(&mut self) {
        let is_unused = |connection: &&CounterConnection| {
            connection.retired && connection.calls.iter().all(|call| call.timed_out)
        };
        let unused: Vec<u64> =
            self.counter.connections.iter().filter(is_unused).map(|connection| connection.key).collect();
        unused.into_iter().for_each(|key| self.close_counter(key, "moved"));
    }

    /// Writes queued calls together. Returns whether the policy module must be told of ended calls.
    pub fn flush_calls(&mut self) -> bool {
        let Some(connection) = self.counter.active().filter(|it| it.up && it.channel.unwritten() > 0) else {
            return false;
        };
        if connection.channel.flush().is_err() {
            let key = connection.key;
            self.close_counter(key, "broken");
        }
        !self.counted.is_empty()
    }

    fn counter_moved(&mut self, key: u64) {
        if let Err(reason) = self.read_counter(key) {
            self.close_counter(key, reason);
        }
        self.close_retired_counters();
    }

    /// Reads replies. Errs with the reason if the connection must be closed.
    fn read_counter(&mut self, key: u64) -> Result<(), &'static str> {
        let now = self.clock.now();
        let Some(connection) = self.counter.connections.iter_mut().find(|connection| connection.key == key)
        else {
            return Ok(());
        };
        if !connection.up {
            connection.up = connection.channel.is_up().map_err(|_| "refused")?;
            if !connection.up {
                return Ok(());
            }
        }
        let broken = connection.channel.flush().is_err();
        loop {
            let read = connection.channel.fill(MAX_READ_BYTES);
            let mut consumed = 0;
            while let Some(length) =
                connection.channel.input[consumed..].iter().position(|byte| *byte == b'\n')
            {
                let reply = parse_reply(&connection.channel.input[consumed..consumed + length]);
                consumed += length + 1;
                // A reply without a call would assign all later replies to the wrong calls. An invalid reply means that
                // the amount may have been added but its total is lost. In both cases all calls of the connection end.
                let (Some((total, outcome)), Some(call)) = (reply, connection.calls.front()) else {
                    return Err("garbled");
                };
                if !call.timed_out {
                    self.counted.push_back((call.key, total, outcome));
                }
                connection.calls.pop_front();
                connection.last_heard = now;
            }
            connection.channel.consume(consumed);
            if !may_become_reply(&connection.channel.input) {
                return Err("garbled");
            } else if read == ReadOutcome::Eof {
                return Err("closed by counter");
            } else if broken || read == ReadOutcome::Failed {
                return Err("broken");
            } else if !connection.channel.may_have_more {
                return Ok(());
            }
        }
    }

    /// Closes a connection and ends its calls. Those that were completely written may have been executed.
    fn close_counter(&mut self, key: u64, reason: &str) {
        let Some(index) = self.counter.connections.iter().position(|connection| connection.key == key) else {
            return;
        };
        let connection = self.counter.connections.remove(index);
        info!(side = "counter", key, reason, calls = connection.calls.len());
        let written = connection.queued_bytes - connection.channel.unwritten() as u64;
        connection.channel.close(&self.handle);
        for call in connection.calls.into_iter().filter(|call| !call.timed_out) {
            let outcome = if call.end <= written { Outcome::TimedOut } else { Outcome::ConnectFailed };
            self.counted.push_back((call.key, None, outcome));
        }
    }

    /// Ends a call that timed out; its reply is ignored if it still arrives.
    pub fn counter_call_timed_out(&mut self, number: u64) {
        let (now, may_open) = (self.clock.now(), self.counter.connections.len() < MAX_CONNECTIONS);
        let retire_after = self.counter.timeout.times(RETIRE_AFTER_TIMEOUTS);
        let has =
            |connection: &&mut CounterConnection| connection.calls.iter().any(|call| call.number == number);
        let Some(connection) = self.counter.connections.iter_mut().find(has) else { return };
        if !connection.up {
            let key = connection.key;
            return self.close_counter(key, "never came up");
        }
        if let Some(call) = connection.calls.iter_mut().find(|call| call.number == number) {
            call.timed_out = true;
            let key = call.key;
            let waiting_since =
                connection.calls.front().map_or(now, |call| call.sent.max(connection.last_heard));
            connection.retired |= may_open && now.since(waiting_since) >= retire_after;
            self.count(key, None, Outcome::TimedOut);
        }
        self.close_retired_counters();
    }

    /// Closes connections that have not replied for [`MAX_SILENCE`].
    pub fn sweep_counter(&mut self, now: Moment) {
        let silent = |connection: &&CounterConnection| {
            connection.calls.front().is_some_and(|call| now.since(call.sent) > MAX_SILENCE)
        };
        let silent: Vec<u64> =
            self.counter.connections.iter().filter(silent).map(|connection| connection.key).collect();
        silent.into_iter().for_each(|key| self.close_counter(key, "silent"));
    }
}
