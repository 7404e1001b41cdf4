//! A voter's part in the decision about the next view: single-decree Paxos, one instance for each epoch.

use serde::{Deserialize, Serialize};

use crate::{Identity, View};

/// The number of an attempt to decide; unique by its proposer.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ballot {
    pub round: u64,
    pub proposer: Identity,
}

/// A voter's part in the decisions. All of it must be on disk before an answer that follows from a change is sent.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Acceptor {
    pub view: View,
    /// A promise seals the view here: from then on this voter takes no writes of it.
    pub promised: Option<Ballot>,
    pub accepted: Option<(Ballot, View)>,
}

impl Acceptor {
    pub fn new(view: View) -> Self {
        Self { view, promised: None, accepted: None }
    }

    /// Whether the present view takes no more writes here.
    pub fn is_sealed(&self) -> bool {
        self.promised.is_some()
    }

    /// Promises to take part in no earlier ballot; the higher ballot where there is one.
    pub fn prepare(&mut self, ballot: &Ballot) -> Result<(), Ballot> {
        match &self.promised {
            Some(promised) if promised > ballot => Err(promised.clone()),
            _ => {
                self.promised = Some(ballot.clone());
                Ok(())
            }
        }
    }

    /// Accepts a proposal, unless a higher ballot was promised.
    pub fn accept(&mut self, ballot: &Ballot, proposal: &View) -> Result<(), Ballot> {
        self.prepare(ballot)?;
        self.accepted = Some((ballot.clone(), proposal.clone()));
        Ok(())
    }
}
