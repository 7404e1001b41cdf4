//! The connection to the counter, and its lines.

use super::http;
use crate::memory::channel::{Channel, Filled};
use crate::memory::timers::Due;
use crate::sockets::{settle, Limiter, Moved, Sockets};
use fennelgauge::host::{CounterKey, Outcome};
use fennelgauge::time::{Moment, Span};
use std::collections::VecDeque;
use std::net::SocketAddr;
use tracing::info;

/// Answers are short; this many bytes of them are read at once.
const MOST: usize = 64 * 1024;
/// A machine that vanished keeps its connections open and silent: one that owes an answer for so long is left.
/// A crowded counter answers later than that only calls that were given up long before.
const SILENT: Span = Span::from_millis(2_000);
/// A connection that owes an answer and was not heard of for so many times of what a call is waited for takes no
/// further calls: it may be silent for good while the counter is well. Answers still come on it.
const UNHEARD: f64 = 2.0;
/// So many connections at once; where all of these say nothing, a further one would not help.
const MOST_LINES: usize = 4;

pub struct Counter {
    address: Option<SocketAddr>,
    /// A call is given up after this.
    within: Span,
    /// The connection that calls are written to is the last; those before it stay until their calls are answered.
    lines: Vec<Line>,
}

/// One connection.
struct Line {
    channel: Channel,
    key: u64,
    up: bool,
    /// Takes no further calls: the counter has another address since, or nothing was heard on it.
    former: bool,
    heard: Moment,
    /// Calls in the order of their answers.
    calls: VecDeque<Call>,
    /// Bytes handed to this connection.
    handed: u64,
}

struct Call {
    name: CounterKey,
    number: u64,
    /// The bytes handed to the connection up to its last.
    end: u64,
    sent: Moment,
    /// It was given up; its answer is still to come.
    over: bool,
}

impl Counter {
    pub fn new(address: Option<SocketAddr>, within: Span) -> Self {
        Self { address, within, lines: Vec::new() }
    }

    /// That call is out and was not given up. Numbers rise from call to call.
    pub fn awaits(&self, number: u64) -> bool {
        self.lines.iter().any(|line| {
            let found = line.calls.binary_search_by_key(&number, |call| call.number);
            found.is_ok_and(|index| !line.calls[index].over)
        })
    }

    fn present(&mut self) -> Option<&mut Line> {
        self.lines.last_mut().filter(|line| !line.former)
    }
}

fn bump(out: &mut Vec<u8>, name: CounterKey, amount: f64, keep: Span) {
    // Seven digits of a total are exact; finer parts of an amount would be lost in it.
    http::put(out, format_args!("bump {name:016x} {amount:.4} {}\r\n", (keep.micros() / 1_000).max(1)));
}

/// What a line says of the call that it answers; none if it is no answer.
fn answer(line: &[u8]) -> Option<(Option<f64>, Outcome)> {
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

/// The first bytes of a line may still become an answer. What cannot would else keep all calls behind it
/// waiting for an end that never comes.
fn may_become_one(part: &[u8]) -> bool {
    /// Above the longest total that is written out in full.
    const MOST_LINE: usize = 400;
    if part.len() > MOST_LINE {
        return false;
    }
    let (known, rest) = part.split_at(part.len().min(3));
    match known {
        b"ok " => rest.iter().all(|byte| b"+-.0123456789eE \r".contains(byte)),
        _ => [&b"ok "[..], b"busy\r", b"error\r"].iter().any(|answer| answer.starts_with(part)),
    }
}

pub fn moved(limiter: &mut Limiter, key: u64) {
    limiter.host.counter_moved(key);
    settle(limiter);
}

impl Sockets {
    pub fn call(&mut self, name: CounterKey, amount: f64, keep: Span) {
        let now = self.clock.now();
        if self.counter.present().is_none() {
            self.open_counter();
        }
        let number = self.number();
        let Some(line) = self.counter.present() else {
            return self.count(name, None, Outcome::ConnectFailed);
        };
        let before = line.channel.output.len();
        bump(&mut line.channel.output, name, amount, keep);
        line.handed += (line.channel.output.len() - before) as u64;
        line.calls.push_back(Call { name, number, end: line.handed, sent: now, over: false });
        self.timers.set(now + self.counter.within, Due::Counted(number));
    }

    fn open_counter(&mut self) {
        let Some(address) = self.counter.address else { return };
        let (key, heard) = (self.number(), self.clock.now());
        match Channel::connect(&self.handle, address, Moved::Counter(key)) {
            Ok(channel) => {
                let calls = VecDeque::new();
                let line = Line { channel, key, up: false, former: false, heard, calls, handed: 0 };
                self.counter.lines.push(line);
            }
            Err(error) => info!(side = "counter", key, reason = "refused", %error),
        }
    }

    /// Further calls go to that address; those that are out may still be answered where they are.
    pub fn move_counter(&mut self, address: Option<SocketAddr>) {
        if address != self.counter.address {
            self.counter.address = address;
            self.counter.lines.iter_mut().for_each(|line| line.former = true);
            self.leave_former_counters();
        }
    }

    fn leave_former_counters(&mut self) {
        let left = |line: &&Line| line.former && line.calls.iter().all(|call| call.over);
        let left: Vec<u64> = self.counter.lines.iter().filter(left).map(|line| line.key).collect();
        left.into_iter().for_each(|key| self.close_counter(key, "moved"));
    }

    /// Calls made at one time are written together. True if something has ended by it.
    pub fn flush_calls(&mut self) -> bool {
        let Some(line) = self.counter.present().filter(|it| it.up && it.channel.unwritten() > 0) else {
            return false;
        };
        if line.channel.flush().is_err() {
            let key = line.key;
            self.close_counter(key, "broken");
        }
        !self.counted.is_empty()
    }

    fn counter_moved(&mut self, key: u64) {
        if let Err(reason) = self.read_counter(key) {
            self.close_counter(key, reason);
        }
        self.leave_former_counters();
    }

    /// Takes in what has come; or tells why the connection is of no further use.
    fn read_counter(&mut self, key: u64) -> Result<(), &'static str> {
        let now = self.clock.now();
        let Some(line) = self.counter.lines.iter_mut().find(|line| line.key == key) else { return Ok(()) };
        if !line.up {
            line.up = line.channel.is_up().map_err(|_| "refused")?;
            if !line.up {
                return Ok(());
            }
        }
        let broken = line.channel.flush().is_err();
        loop {
            let filled = line.channel.fill(MOST);
            let mut used = 0;
            while let Some(length) = line.channel.input[used..].iter().position(|byte| *byte == b'\n') {
                let told = answer(&line.channel.input[used..used + length]);
                used += length + 1;
                // An answer that fits no call would shift all that follow, and a spoilt one is the call's own:
                // it was added, and the module must hear that no total comes.
                let (Some((total, outcome)), Some(call)) = (told, line.calls.front()) else {
                    return Err("garbled");
                };
                if !call.over {
                    self.counted.push_back((call.name, total, outcome));
                }
                line.calls.pop_front();
                line.heard = now;
            }
            line.channel.used(used);
            if !may_become_one(&line.channel.input) {
                return Err("garbled");
            } else if filled == Filled::Ended {
                return Err("closed by counter");
            } else if broken || filled == Filled::Broken {
                return Err("broken");
            } else if !line.channel.stuffed {
                return Ok(());
            }
        }
    }

    /// Ends all calls of the connection: those whose last byte was written may have been added.
    fn close_counter(&mut self, key: u64, reason: &str) {
        let Some(index) = self.counter.lines.iter().position(|line| line.key == key) else { return };
        let line = self.counter.lines.remove(index);
        info!(side = "counter", key, reason, calls = line.calls.len());
        let written = line.handed - line.channel.unwritten() as u64;
        line.channel.close(&self.handle);
        for call in line.calls.into_iter().filter(|call| !call.over) {
            let outcome = if call.end <= written { Outcome::TimedOut } else { Outcome::ConnectFailed };
            self.counted.push_back((call.name, None, outcome));
        }
    }

    /// A call was waited for long enough; its answer, when it comes, is read over.
    pub fn call_over(&mut self, number: u64) {
        let (now, few) = (self.clock.now(), self.counter.lines.len() < MOST_LINES);
        let unheard = self.counter.within.times(UNHEARD);
        let has = |line: &&mut Line| line.calls.iter().any(|call| call.number == number);
        let Some(line) = self.counter.lines.iter_mut().find(has) else { return };
        if !line.up {
            let key = line.key;
            return self.close_counter(key, "never came up");
        }
        if let Some(call) = line.calls.iter_mut().find(|call| call.number == number) {
            call.over = true;
            let name = call.name;
            let owes_since = line.calls.front().map_or(now, |call| call.sent.max(line.heard));
            line.former |= few && now.since(owes_since) >= unheard;
            self.count(name, None, Outcome::TimedOut);
        }
        self.leave_former_counters();
    }

    pub fn sweep_counter(&mut self, now: Moment) {
        let silent = |line: &&Line| line.calls.front().is_some_and(|call| now.since(call.sent) > SILENT);
        let silent: Vec<u64> = self.counter.lines.iter().filter(silent).map(|line| line.key).collect();
        silent.into_iter().for_each(|key| self.close_counter(key, "silent"));
    }
}
