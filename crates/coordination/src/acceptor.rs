//! The Paxos acceptor of a voter: single-decree Paxos, with one instance for each epoch that decides the next view.

use serde::{Deserialize, Serialize};

use crate::{Identity, View};

/// A Paxos ballot number; unique, because it includes its proposer.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ballot {
    /// Counter that a proposer raises above all rounds it knows.
    pub round: u64,
    /// Member that made the ballot; orders ballots of the same round.
    pub proposer: Identity,
}

/// The acceptor state of a voter. A change must be durable before an answer that depends on it is sent.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Acceptor {
    /// The present view; the instance decides its successor.
    pub view: View,
    /// Highest ballot promised. A promise seals the view: from then on this voter takes no writes of it.
    pub promised: Option<Ballot>,
    /// The proposal accepted last, with its ballot.
    pub accepted: Option<(Ballot, View)>,
}

impl Acceptor {
    /// Starts the instance that decides the successor of `view`.
    pub fn new(view: View) -> Self {
        Self { view, promised: None, accepted: None }
    }

    /// Whether this voter takes no more writes of the present view.
    pub fn is_sealed(&self) -> bool {
        self.promised.is_some()
    }

    /// Promises to take part in no earlier ballot.
    ///
    /// # Errors
    /// Returns the promised ballot if that is higher.
    pub fn prepare(&mut self, ballot: &Ballot) -> Result<(), Ballot> {
        match &self.promised {
            Some(promised) if promised > ballot => Err(promised.clone()),
            _ => {
                self.promised = Some(ballot.clone());
                Ok(())
            }
        }
    }

    /// Accepts a proposal.
    ///
    /// # Errors
    /// Returns the promised ballot if that is higher.
    pub fn accept(&mut self, ballot: &Ballot, proposal: &View) -> Result<(), Ballot> {
        self.prepare(ballot)?;
        self.accepted = Some((ballot.clone(), proposal.clone()));
        Ok(())
    }
}
