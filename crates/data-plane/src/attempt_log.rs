//! What is known of the attempts to have one request executed: a record for each server or store that it was sent to, with what
//! was concluded and from what. A client may only be promised that its request is not executed on the ground of all of them.

use std::fmt;

use fennelgauge_upstream::SendError;
use fennelgauge_wire::{CallError, StoreReply};
use strum::Display;

/// What an attempt says about the execution of its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "lowercase")]
pub enum Conclusion {
    /// The request did not reach the other side.
    #[strum(to_string = "not sent")]
    NotSent,
    /// The other side said that it has not executed the request and will not.
    #[strum(to_string = "not executed")]
    NotExecuted,
    /// The other side may have executed the request, or may yet.
    Unknown,
    /// The other side executed the request.
    Executed,
}

impl From<&SendError> for Conclusion {
    fn from(error: &SendError) -> Self {
        match error {
            SendError::NotSent => Self::NotSent,
            SendError::NotExecuted(_) => Self::NotExecuted,
            SendError::UnmarkedRefusal(_) | SendError::MayHaveExecuted | SendError::TimedOut => Self::Unknown,
        }
    }
}

impl From<&CallError> for Conclusion {
    fn from(error: &CallError) -> Self {
        match error {
            CallError::NotSent(_) => Self::NotSent,
            CallError::NoReply(_) => Self::Unknown,
        }
    }
}

impl From<&StoreReply> for Conclusion {
    fn from(reply: &StoreReply) -> Self {
        match reply {
            StoreReply::NotAccepted | StoreReply::Undetermined | StoreReply::OverQuota => Self::NotExecuted,
            StoreReply::OutcomeUnknown => Self::Unknown,
            _ => Self::Executed,
        }
    }
}

/// One attempt.
#[derive(Clone, Debug)]
struct AttemptRecord {
    /// Instance id of the server, or name of the store.
    target: String,
    conclusion: Conclusion,
    /// What the conclusion rests on.
    basis: String,
}

impl fmt::Display for AttemptRecord {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        let Self { target, conclusion, basis } = self;
        write!(formatter, "{target}: {conclusion} ({basis})")
    }
}

/// The attempts to have one request executed, oldest first.
#[derive(Clone, Debug, Default)]
pub struct AttemptLog {
    records: Vec<AttemptRecord>,
}

/// Proof that no server or store has executed a request or will: only with it may a client be promised so, by a status of 429, 503,
/// 408 or 421.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unexecuted(());

impl Unexecuted {
    /// The request was not sent to any server or store.
    pub fn before_any_attempt() -> Self {
        Self(())
    }

    /// The request only reads, so that there is nothing to execute.
    pub fn read_only() -> Self {
        Self(())
    }
}

impl AttemptLog {
    /// Adds an attempt at the server or store called `target`; `basis` is what the conclusion rests on.
    pub fn record(&mut self, target: &str, conclusion: Conclusion, basis: impl fmt::Display) {
        self.records.push(AttemptRecord { target: target.to_owned(), conclusion, basis: basis.to_string() });
    }

    /// Returns how many of the attempts may have been executed.
    pub fn possible_executions(&self) -> u32 {
        let may_have_executed =
            |record: &&AttemptRecord| matches!(record.conclusion, Conclusion::Unknown | Conclusion::Executed);
        self.records.iter().filter(may_have_executed).count() as u32
    }

    /// Returns the proof that no attempt has been executed or will be, if that is certain of every one of them.
    pub fn prove_unexecuted(&self) -> Option<Unexecuted> {
        (self.possible_executions() == 0).then_some(Unexecuted(()))
    }
}

impl fmt::Display for AttemptLog {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        if self.records.is_empty() {
            return formatter.write_str("no attempts");
        }
        for (index, record) in self.records.iter().enumerate() {
            let separator = if index > 0 { "; " } else { "" };
            write!(formatter, "{separator}{record}")?;
        }
        Ok(())
    }
}
