//! How a stand-in for a model server behaves, within what the protocol allows servers.

use std::fmt;

use serde::{Deserialize, Serialize};

/// What a server does besides answering. Shares are of a hundred requests, or of a hundred answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Conduct {
    /// Requests that it runs at once.
    pub slots: usize,
    /// Requests that wait for a slot; any more are refused.
    pub queue: usize,
    /// Connections that it keeps; any more are reset.
    pub max_connections: usize,
    /// Idle connections are closed after this time, which its answers state, in seconds; `None` keeps them.
    pub idle_s: Option<u64>,
    /// Share of the requests with a body that are refused before their body is read.
    pub early_refusals: u8,
    /// Share of the requests that run and are answered with 503, 429 or 408 that does not say that they did not run.
    pub unmarked_refusals: u8,
    /// Share of the requests that run and whose answers are lost, with their connections.
    pub lost_answers: u8,
    /// Share of the answers that say `Connection: close`.
    pub closing_answers: u8,
    /// Share of the answers that are followed by something that nobody asked for.
    pub surplus: u8,
    /// Share of the answers in whose heads a part is spoilt.
    pub spoilt_heads: u8,
    /// Share of the requests with a body that run and are answered before their body is read, with a part of a body that has no
    /// length, and a reset.
    pub early_parts: u8,
}

impl Default for Conduct {
    fn default() -> Self {
        Self {
            slots: usize::MAX,
            queue: 0,
            max_connections: usize::MAX,
            idle_s: None,
            early_refusals: 0,
            unmarked_refusals: 0,
            lost_answers: 0,
            closing_answers: 0,
            surplus: 0,
            spoilt_heads: 0,
            early_parts: 0,
        }
    }
}

/// How often a server behaved in each way.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct ConductCounts {
    /// Requests refused because all places were taken.
    pub refused_full: u64,
    /// Requests refused because their deadline passed in the queue.
    pub refused_in_queue: u64,
    /// Requests refused before their body was read.
    pub refused_early: u64,
    /// Requests for another incarnation.
    pub misdirected: u64,
    /// Runs answered with a refusal that does not say that they did not run.
    pub unmarked_refusals: u64,
    /// Runs whose answers were lost.
    pub lost_answers: u64,
    /// Connections beyond the limit.
    pub connections_reset: u64,
    /// Surplus answers and bytes.
    pub surplus: u64,
    /// Answers in whose heads a part was spoilt.
    pub spoilt_heads: u64,
    /// Parts of answers before the end of an upload.
    pub early_parts: u64,
}

impl ConductCounts {
    /// Adds the counts of another server.
    pub fn add(&mut self, other: &Self) {
        self.refused_full += other.refused_full;
        self.refused_in_queue += other.refused_in_queue;
        self.refused_early += other.refused_early;
        self.misdirected += other.misdirected;
        self.unmarked_refusals += other.unmarked_refusals;
        self.lost_answers += other.lost_answers;
        self.connections_reset += other.connections_reset;
        self.surplus += other.surplus;
        self.spoilt_heads += other.spoilt_heads;
        self.early_parts += other.early_parts;
    }
}

impl fmt::Display for ConductCounts {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        write!(
            formatter,
            "servers: {} requests refused full, {} in the queue, {} early, {} misdirected, {} unmarked refusals, {} answers lost, \
             {} connections reset, {} surplus, {} spoilt heads, {} parts before the end of an upload",
            self.refused_full,
            self.refused_in_queue,
            self.refused_early,
            self.misdirected,
            self.unmarked_refusals,
            self.lost_answers,
            self.connections_reset,
            self.surplus,
            self.spoilt_heads,
            self.early_parts
        )
    }
}

/// Returns true for so many of a hundred.
pub(super) fn drawn(share: u8) -> bool {
    fastrand::u8(0..100) < share
}
