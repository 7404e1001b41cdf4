//! One attempt to decide the next view: collects promises, then acceptances.

use std::collections::BTreeMap;

use crate::{AcceptReply, Ballot, Member, PrepareReply, Promise, Proposal, StateVersion, View};

/// What to do next in an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Wait for more answers.
    Wait,
    /// Enough have promised: ask them to accept.
    Propose,
    /// Decided: install it.
    Decided(Proposal),
    /// Overtaken: a higher ballot, or a later view.
    Lost { round: u64 },
}

/// An attempt of one proposer. Members are counted by their position in the present view.
#[derive(Clone, Debug)]
pub struct Proposer {
    view: View,
    ballot: Ballot,
    promises: BTreeMap<usize, Promise>,
    proposal: Option<Proposal>,
    accepted: BTreeMap<usize, ()>,
}

impl Proposer {
    pub fn new(view: View, ballot: Ballot) -> Self {
        Self { view, ballot, promises: BTreeMap::new(), proposal: None, accepted: BTreeMap::new() }
    }

    pub fn ballot(&self) -> &Ballot {
        &self.ballot
    }

    /// An answer to the first question.
    pub fn promised(&mut self, member: usize, reply: PrepareReply) -> Step {
        match reply {
            PrepareReply::Promised(promise) => {
                self.promises.insert(member, *promise);
                self.progress()
            }
            PrepareReply::Refused(ballot) => Step::Lost { round: ballot.round },
            PrepareReply::Ahead(_) => Step::Lost { round: self.ballot.round },
            PrepareReply::Behind(_) => Step::Wait,
        }
    }

    fn progress(&self) -> Step {
        match self.promises.len() >= self.view.majority() {
            true => Step::Propose,
            false => Step::Wait,
        }
    }

    /// Members that have promised, and those among them that may be members of the next view.
    pub fn candidates(&self) -> Vec<Member> {
        self.promises.values().filter_map(|promise| promise.candidate.clone()).collect()
    }

    /// Fixes what is proposed: what may have been decided already, else `wanted` with the newest state among the
    /// promises.
    pub fn propose(&mut self, wanted: View) -> Proposal {
        let earlier = self.promises.values().filter_map(|promise| promise.accepted.as_ref());
        let proposal = match earlier.max_by(|left, right| left.0.cmp(&right.0)) {
            Some((_, proposal)) => proposal.clone(),
            None => Proposal { state: self.newest_state(wanted.epoch), view: wanted },
        };
        self.proposal = Some(proposal.clone());
        proposal
    }

    fn newest_state(&self, epoch: u64) -> StateVersion {
        let states = self.promises.values().map(|promise| &promise.state);
        let newest = states.max_by_key(|state| state.order()).cloned().unwrap_or_default();
        StateVersion { epoch, ..newest }
    }

    /// An answer to the second question.
    pub fn accepted(&mut self, member: usize, reply: AcceptReply) -> Step {
        match reply {
            AcceptReply::Accepted => {
                self.accepted.insert(member, ());
            }
            AcceptReply::Refused(ballot) => return Step::Lost { round: ballot.round },
            AcceptReply::Ahead(_) => return Step::Lost { round: self.ballot.round },
            AcceptReply::Behind(_) => {}
        }
        match &self.proposal {
            Some(proposal) if self.accepted.len() >= self.view.majority() => Step::Decided(proposal.clone()),
            _ => Step::Wait,
        }
    }
}
