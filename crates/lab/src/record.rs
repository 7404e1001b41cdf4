//! What happened in a play, as the world outside the gateways saw it. The judge and the report know nothing else.

use crate::scenario::Scenario;
use fennelgauge::host::Health;
use fennelgauge::time::Moment;
use serde::{Deserialize, Serialize};
use std::io::{BufRead, Write};

#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq, PartialOrd, Ord)]
#[serde(rename_all = "kebab-case")]
pub enum Answer {
    Satisfied,
    Dismissed,
    Forfeited,
    /// The connection ended with no whole answer.
    Broken,
    /// No gateway took it: none was there, or the connection was refused.
    Unreached,
}

#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum RelayOver {
    Answered,
    Failed,
    TurnedAway,
    /// The gateway closed its connection.
    Closed,
    /// The server's process died, or the connection was reset.
    Reset,
}

#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Life {
    Ready,
    Down,
    Stopped,
    Continued,
    Terminating,
    /// It ended though nobody ended it.
    Crashed,
}

/// What one gateway holds of another.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Held {
    NeverHeard,
    Present,
    Suspected,
    Failed,
    Left,
}

impl From<fennelgauge_membership::view::MemberState> for Held {
    fn from(state: fennelgauge_membership::view::MemberState) -> Self {
        use fennelgauge_membership::view::MemberState;
        match state {
            MemberState::Unknown => Self::NeverHeard,
            MemberState::Alive => Self::Present,
            MemberState::Suspected => Self::Suspected,
            MemberState::Failed => Self::Failed,
            MemberState::Left => Self::Left,
        }
    }
}

#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Listed {
    Ready,
    Draining,
    Gone,
}

impl From<Health> for Listed {
    fn from(health: Health) -> Self {
        match health {
            Health::Ready => Self::Ready,
            Health::Draining => Self::Draining,
            Health::Gone => Self::Gone,
        }
    }
}

/// `job` is the number of a try; times in microseconds of the play's clock.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(tag = "e", rename_all = "kebab-case")]
pub enum Event {
    /// A client has sent a try; `nth` counts the tries before it.
    Sent {
        job: u64,
        nth: u32,
        customer: u64,
        plan: usize,
        band: usize,
        units: u32,
        gateway: u32,
        abandon: u64,
    },
    Answered {
        job: u64,
        how: Answer,
    },
    /// The client has gone; not `early` means that it waited longer than it said, and in vain.
    Left {
        job: u64,
        early: bool,
    },
    /// A relay's last byte has come; `began` is when its first did. `fresh`: on a new connection. The work is in
    /// seconds of a core.
    Relay {
        job: u64,
        server: u32,
        gateway: u32,
        began: u64,
        work: f64,
        fresh: bool,
    },
    RelayOver {
        job: u64,
        server: u32,
        how: RelayOver,
    },
    /// A relay was carried out; a repeat is one that the server dropped.
    Effect {
        job: u64,
        server: u32,
        repeat: bool,
    },
    /// A gateway was told of a server.
    Told {
        gateway: u32,
        server: u32,
        listed: Listed,
    },
    /// A server's process began; what it does when warm, in seconds of a core a second.
    Started {
        server: u32,
        place: u32,
        zone: u16,
        cell: u16,
        rating: f64,
        capacity: f64,
        cold: bool,
    },
    Ended {
        server: u32,
    },
    Gateway {
        gateway: u32,
        life: Life,
    },
    /// A gateway holds another to be in that state, in the words of its log.
    Member {
        gateway: u32,
        member: u32,
        state: Held,
    },
    /// All that a gateway has sent to others, and the time of the processor that its present life took.
    Cost {
        gateway: u32,
        datagrams: u64,
        bytes: u64,
        /// Of the datagrams, those that tell counts.
        counts: u64,
        cpu_ms: u64,
    },
    /// After the load, whether all gateways that ran came to hold one view, and how long that took.
    OneView {
        gateways: u32,
        reached: bool,
        after_ms: u64,
        /// What stood against it at last.
        differs: String,
    },
    /// A call reached the counter.
    Called {
        gateway: u32,
    },
    Fault {
        what: String,
    },
}

#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
pub struct Record {
    pub at: u64,
    #[serde(flatten)]
    pub event: Event,
}

#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Played {
    Simulated,
    Processes,
}

/// A play: its scenario, and what happened in the order of time.
#[derive(Clone, Debug, PartialEq)]
pub struct Trace {
    pub played: Played,
    pub scenario: Scenario,
    pub records: Vec<Record>,
}

#[derive(Deserialize, Serialize)]
struct Head {
    played: Played,
    scenario: Scenario,
}

impl Trace {
    pub fn new(played: Played, scenario: &Scenario) -> Self {
        Self { played, scenario: scenario.clone(), records: Vec::new() }
    }

    pub fn put(&mut self, at: Moment, event: Event) {
        self.records.push(Record { at: at.micros(), event });
    }

    /// A line of JSON for the head, then one for each record.
    pub fn write(&self, mut out: impl Write) -> std::io::Result<()> {
        serde_json::to_writer(&mut out, &Head { played: self.played, scenario: self.scenario.clone() })?;
        out.write_all(b"\n")?;
        for record in &self.records {
            serde_json::to_writer(&mut out, record)?;
            out.write_all(b"\n")?;
        }
        out.flush()
    }

    /// An error names the line.
    pub fn read(from: impl BufRead) -> Result<Self, String> {
        let mut lines = from.lines().enumerate();
        let mut next = || match lines.next() {
            None => Ok(None),
            Some((number, Ok(line))) => Ok(Some((number + 1, line))),
            Some((number, Err(error))) => Err(format!("line {}: {error}", number + 1)),
        };
        let (_, head) = next()?.ok_or("the trace is empty")?;
        let head: Head = serde_json::from_str(&head).map_err(|error| format!("line 1: {error}"))?;
        let mut records = Vec::new();
        while let Some((number, line)) = next()? {
            records.push(serde_json::from_str(&line).map_err(|error| format!("line {number}: {error}"))?);
        }
        Ok(Self { played: head.played, scenario: head.scenario, records })
    }
}
