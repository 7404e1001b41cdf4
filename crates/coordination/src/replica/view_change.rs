//! View changes: the decision about the next view, by voters and proposers.
//!
//! A proposer first gets promises from a majority of the voters, and takes the newest version among them as the start version
//! of the next view. Before it asks the voters to accept, it has the links of the next chain make that version durable, or
//! other voters of the next view if links are missing. So when a view is decided, enough of its voters have every acknowledged
//! write for any majority of them to include one.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use super::{PlantedBug, Replica};
use crate::{Acceptor, Ballot, Effects, Identity, LogEntry, Member, Message, Replicated, Version, View};

/// The phase of an attempt to change the view.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Phase {
    /// Collecting promises (Paxos phase 1).
    Preparing,
    /// Waiting until members of the next view have made the start version durable.
    Persisting,
    /// Collecting acceptances (Paxos phase 2).
    Accepting,
}

/// A voter's promise.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Promise {
    voter: Member,
    accepted: Option<(Ballot, View)>,
    version: Version,
}

/// This machine's attempt, as proposer, to have the view after the present one decided.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Attempt {
    /// How far the attempt has got.
    pub phase: Phase,
    ballot: Ballot,
    /// The view to decide; while promises are collected, the one that this proposer prefers.
    proposal: View,
    /// Whether the proposal comes from an earlier ballot and may have been decided, so that it must not be changed.
    adopted: bool,
    /// Address of a member that has the start version.
    source: SocketAddr,
    /// Promises by index of the voter.
    promises: BTreeMap<usize, Promise>,
    /// Members that have made the start version durable.
    persisted: BTreeSet<Identity>,
    /// Indexes of the voters that have accepted the proposal.
    accepted: BTreeSet<usize>,
}

impl<S: Replicated> Replica<S> {
    /// Starts an attempt to have `preferred` decided; an earlier attempt of this machine ends.
    pub fn propose(&mut self, preferred: View) -> Effects {
        self.highest_round += 1;
        let ballot = Ballot { round: self.highest_round, proposer: self.own_member.identity.clone() };
        self.attempt = Some(Attempt {
            phase: Phase::Preparing,
            ballot,
            proposal: preferred,
            adopted: false,
            source: self.own_member.peer,
            promises: BTreeMap::new(),
            persisted: BTreeSet::new(),
            accepted: BTreeSet::new(),
        });
        self.ask_voters_to_promise();
        self.finish()
    }

    /// Returns the phase of this machine's attempt; none if it makes none.
    pub(crate) fn phase(&self) -> Option<Phase> {
        self.attempt.as_ref().map(|attempt| attempt.phase)
    }

    /// Ends this machine's attempt without a result.
    pub(crate) fn abandon_attempt(&mut self) {
        self.attempt = None;
    }

    /// Repeats the requests of the present phase to the members that have not answered.
    pub fn resend_requests(&mut self) -> Effects {
        match self.phase() {
            Some(Phase::Preparing) => self.ask_voters_to_promise(),
            Some(Phase::Persisting) => self.ask_to_persist(),
            Some(Phase::Accepting) => self.ask_voters_to_accept(),
            None => {}
        }
        self.finish()
    }

    fn ask_voters_to_promise(&mut self) {
        let Some(attempt) = &self.attempt else { return };
        let prepare = Message::Prepare { epoch: self.view().epoch, ballot: attempt.ballot.clone() };
        let missing = self.voters_without(|index| attempt.promises.contains_key(&index));
        self.send_all(&missing, &prepare);
    }

    fn ask_to_persist(&mut self) {
        let Some(attempt) = &self.attempt else { return };
        let persist = Message::Persist {
            epoch: self.view().epoch,
            ballot: attempt.ballot.clone(),
            version: attempt.proposal.start,
            source: attempt.source,
        };
        let voters =
            attempt.proposal.voters.iter().filter(|voter| !attempt.persisted.contains(&voter.identity));
        let missing: Vec<SocketAddr> = voters.map(|voter| voter.peer).collect();
        self.send_all(&missing, &persist);
    }

    fn ask_voters_to_accept(&mut self) {
        let Some(attempt) = &self.attempt else { return };
        let accept = Message::Accept {
            epoch: self.view().epoch,
            ballot: attempt.ballot.clone(),
            view: attempt.proposal.clone(),
        };
        let missing = self.voters_without(|index| attempt.accepted.contains(&index));
        self.send_all(&missing, &accept);
    }

    /// Returns the addresses of the voters whose index does not satisfy `answered`.
    fn voters_without(&self, answered: impl Fn(usize) -> bool) -> Vec<SocketAddr> {
        let voters = self.view().voters.iter().enumerate();
        voters.filter(|(index, _)| !answered(*index)).map(|(_, voter)| voter.peer).collect()
    }

    fn send_all(&mut self, peers: &[SocketAddr], message: &Message) {
        for peer in peers {
            self.send(*peer, message.clone());
        }
    }

    fn own_voter_index(&self) -> Option<usize> {
        self.voter_index_in(self.view(), &self.own_member)
    }

    fn voter_index_of(&self, voter: &Member) -> Option<usize> {
        self.voter_index_in(self.view(), voter)
    }

    /// Returns the index of a voter in a view.
    pub(super) fn voter_index_in(&self, view: &View, voter: &Member) -> Option<usize> {
        if self.has(PlantedBug::NameVotes) && view.epoch > 0 {
            return view.voters.iter().position(|it| it.identity.node == voter.identity.node);
        }
        view.voter_index(voter)
    }

    /// Handles a Paxos phase 1 request as a voter.
    pub(super) fn prepare(&mut self, from: &Member, epoch: u64, ballot: Ballot) {
        if !self.in_epoch(from, epoch) || self.own_voter_index().is_none() {
            return;
        }
        if let Err(promised) = self.promise(&ballot) {
            return self.send(from.peer, Message::Rejected { epoch, promised });
        }
        let accepted = self.record.acceptor.accepted.clone();
        self.send(from.peer, Message::Promised { epoch, ballot, accepted, version: self.version });
    }

    /// Promises a ballot, or returns the higher one that was promised.
    fn promise(&mut self, ballot: &Ballot) -> Result<(), Ballot> {
        self.highest_round = self.highest_round.max(ballot.round);
        let previous = self.record.acceptor.promised.clone();
        self.record.acceptor.prepare(ballot)?;
        if previous.as_ref() != Some(ballot) {
            // A fetch for an earlier ballot must not change the version that is reported under this one.
            self.catch_up = None;
            self.put_record();
        }
        Ok(())
    }

    /// Returns this machine's attempt if it has that epoch, ballot and phase.
    fn attempt_at(&mut self, epoch: u64, ballot: &Ballot, phase: Phase) -> Option<&mut Attempt> {
        let same_epoch = epoch == self.view().epoch;
        self.attempt
            .as_mut()
            .filter(|attempt| same_epoch && attempt.ballot == *ballot && attempt.phase == phase)
    }

    /// Handles a promise as the proposer.
    pub(super) fn promised(
        &mut self,
        from: &Member,
        epoch: u64,
        ballot: &Ballot,
        accepted: Option<(Ballot, View)>,
        version: Version,
    ) {
        let Some(index) = self.voter_index_of(from) else { return };
        let majority = self.majority();
        let Some(attempt) = self.attempt_at(epoch, ballot, Phase::Preparing) else { return };
        attempt.promises.insert(index, Promise { voter: from.clone(), accepted, version });
        if attempt.promises.len() >= majority {
            self.fix_proposal();
        }
    }

    /// Returns the number of voters that decide.
    fn majority(&self) -> usize {
        match self.has(PlantedBug::MajorityOfTheLiving) {
            true => self.attempt.as_ref().map_or(1, |attempt| attempt.proposal.chain.len() / 2 + 1),
            false => self.view().majority(),
        }
    }

    /// Fixes the proposal once a majority has promised: the accepted proposal of the highest ballot, which may have been
    /// decided, or else the preferred view, with the newest version of the majority as its start.
    fn fix_proposal(&mut self) {
        let ignore_accepted = self.has(PlantedBug::AcceptedIsForgotten);
        let forced_start = self.has(PlantedBug::OwnVersionStarts).then_some(self.version);
        let epoch = self.view().epoch;
        let own_peer = self.own_member.peer;
        let Some(attempt) = &mut self.attempt else { return };
        let newest = attempt.promises.values().map(|promise| promise.version).max();
        // Every majority includes a link, which has all acknowledged writes of this view once it is caught up. Until such a link
        // has promised, the newest acknowledged version is unknown.
        let Some(newest) =
            forced_start.or(newest).filter(|newest| newest.epoch == epoch || forced_start.is_some())
        else {
            return;
        };
        let accepted = attempt.promises.values().filter_map(|promise| promise.accepted.clone());
        match accepted.max_by(|left, right| left.0.cmp(&right.0)).filter(|_| !ignore_accepted) {
            Some((_, view)) => {
                attempt.proposal = view;
                attempt.adopted = true;
            }
            None => attempt.proposal.start = newest,
        }
        let start = attempt.proposal.start;
        let source = attempt.promises.values().find(|promise| promise.version == start);
        attempt.source = source.map_or(own_peer, |promise| promise.voter.peer);
        attempt.phase = Phase::Persisting;
        if self.has(PlantedBug::NothingIsHeld) {
            return self.start_accept_phase();
        }
        self.ask_to_persist();
    }

    /// Handles a proposer's request to make a version durable and to keep it while the ballot lasts.
    pub(super) fn persist(
        &mut self,
        from: &Member,
        epoch: u64,
        ballot: Ballot,
        version: Version,
        source: SocketAddr,
    ) {
        let newest = self.latest_view().epoch;
        if newest != epoch {
            self.in_epoch(from, epoch);
            return;
        }
        if self.is_voter() {
            if let Err(promised) = self.promise(&ballot) {
                return self.send(from.peer, Message::Rejected { epoch, promised });
            }
        }
        let request = Some((epoch, ballot.clone()));
        if self.record.persist_request > request {
            return;
        }
        if self.record.persist_request != request {
            self.record.persist_request = request;
            self.catch_up = None;
            self.put_record();
        }
        if self.version == version {
            return self.send(from.peer, Message::Persisted { epoch, ballot, version });
        }
        self.fetch_from(source, Some(version), Some((from.peer, epoch, ballot)));
    }

    /// Handles, as the proposer, that a member has made the start version durable.
    pub(super) fn persisted(&mut self, from: &Member, epoch: u64, ballot: &Ballot, version: Version) {
        let Some(attempt) = self.attempt_at(epoch, ballot, Phase::Persisting) else { return };
        if attempt.proposal.start != version {
            return;
        }
        attempt.persisted.insert(from.identity.clone());
        let all_links = attempt.proposal.chain.iter().all(|link| attempt.persisted.contains(&link.identity));
        if all_links {
            self.start_accept_phase();
        }
    }

    /// Continues without the members that have not made the start version durable, if enough voters have and all new voters are
    /// among them; these voters become the chain. A proposal that may have been decided is kept unchanged, even if some of its
    /// links are gone: the view after it will exclude them.
    pub fn proceed_with_persisted(&mut self) -> Effects {
        let old_voters = self.view().voters.clone();
        let rules = self.rules;
        let allow_short_chain = self.has(PlantedBug::ChainMayBeShort);
        let Some(attempt) = self.attempt.as_mut().filter(|attempt| attempt.phase == Phase::Persisting) else {
            return self.finish();
        };
        let proposal = &mut attempt.proposal;
        let has_persisted = |voter: &&Member| attempt.persisted.contains(&voter.identity);
        let durable_voters: Vec<Member> = proposal.voters.iter().filter(has_persisted).cloned().collect();
        let min_length = rules.min_chain_length(proposal.voters.len());
        let enough = durable_voters.len() >= min_length || (allow_short_chain && !durable_voters.is_empty());
        let is_new = |voter: &&Member| proposal.epoch > 1 && !old_voters.contains(voter);
        let new_voters_persisted =
            proposal.voters.iter().filter(is_new).all(|voter| durable_voters.contains(voter));
        if enough && attempt.adopted {
            self.start_accept_phase();
        } else if enough && new_voters_persisted {
            proposal.chain.retain(|link| durable_voters.contains(link));
            let others = durable_voters.into_iter().filter(|voter| !proposal.chain.contains(voter));
            let others: Vec<Member> = others.collect();
            proposal.chain.extend(others);
            self.start_accept_phase();
        }
        self.finish()
    }

    fn start_accept_phase(&mut self) {
        if let Some(attempt) = &mut self.attempt {
            attempt.phase = Phase::Accepting;
        }
        self.ask_voters_to_accept();
    }

    /// Handles a Paxos phase 2 request as a voter.
    pub(super) fn accept(&mut self, from: &Member, epoch: u64, ballot: &Ballot, view: &View) {
        if !self.in_epoch(from, epoch) || self.own_voter_index().is_none() {
            return;
        }
        if self.has(PlantedBug::PromiseIsIgnored) {
            self.record.acceptor.promised = None;
        }
        if let Err(promised) = self.record.acceptor.accept(ballot, view) {
            return self.send(from.peer, Message::Rejected { epoch, promised });
        }
        self.put_record();
        self.send(from.peer, Message::Accepted { epoch, ballot: ballot.clone() });
    }

    /// Handles an acceptance as the proposer; announces the view once a majority has accepted it.
    pub(super) fn accepted(&mut self, from: &Member, epoch: u64, ballot: &Ballot) {
        let Some(index) = self.voter_index_of(from) else { return };
        let majority = self.majority();
        let Some(attempt) = self.attempt_at(epoch, ballot, Phase::Accepting) else { return };
        attempt.accepted.insert(index);
        if attempt.accepted.len() < majority {
            return;
        }
        let view = attempt.proposal.clone();
        let members: BTreeSet<SocketAddr> =
            self.view().voters.iter().chain(&view.voters).map(|voter| voter.peer).collect();
        // The announcement goes out before this machine's first message as the head of the new view.
        let others: Vec<SocketAddr> =
            members.into_iter().filter(|peer| *peer != self.own_member.peer).collect();
        self.send_all(&others, &Message::InstallView { view: view.clone() });
        self.install(view);
    }

    /// Handles a rejection as the proposer: abandons the attempt if its ballot was superseded.
    pub(super) fn rejected(&mut self, epoch: u64, promised: &Ballot) {
        self.highest_round = self.highest_round.max(promised.round);
        let superseded = self.attempt.as_ref().is_some_and(|attempt| attempt.ballot < *promised);
        if epoch == self.view().epoch && superseded {
            self.attempt = None;
        }
    }

    /// Installs a decided view, unless a newer one is known. If this machine has the start version, that becomes its version of
    /// the new view.
    pub(super) fn install(&mut self, view: View) {
        if view.epoch <= self.latest_view().epoch {
            return;
        }
        if self.voter_index_in(&view, &self.own_member).is_none() {
            // A version that a proposer asked for, to replace the view that has ended, is no longer needed.
            self.catch_up = self.catch_up.take().filter(|fetch| !fetch.is_for_ballot());
            self.later_view = Some(view);
            return;
        }
        let has_start = view.start == self.version || self.has(PlantedBug::AnyVersionStarts);
        if has_start {
            let result = self.version.with_epoch(view.epoch);
            let entry = LogEntry { base: self.version, change: None, result };
            self.adopt_entry(entry, self.value.clone());
        }
        self.record.acceptor = Acceptor::new(view);
        self.put_record();
        self.committed_version = None;
        self.attempt = None;
        self.catch_up = None;
        self.later_view = None;
        if self.is_head() && self.may_append() {
            self.forward(None);
        }
    }
}
