//! The decision about the next view, as voter and as proposer.
//!
//! A proposer asks a majority of the voters to promise, takes the newest version among their answers, has the links of the
//! next chain, and its other voters if need be, put that version on their disks, and only then asks the voters to accept. So whenever a
//! view is decided, enough of its voters have all that was acknowledged: any majority of them includes one.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use super::{PlantedBug, Replica};
use crate::{Acceptor, Ballot, Effects, Identity, LogEntry, Member, Message, Replicated, Version, View};

/// How far an attempt has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Phase {
    Preparing,
    Holding,
    Accepting,
}

/// What a voter promised.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Promise {
    voter: Member,
    accepted: Option<(Ballot, View)>,
    version: Version,
}

/// One attempt to decide the view after the present one.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Attempt {
    pub phase: Phase,
    ballot: Ballot,
    /// The view that is to be decided; while promises are collected, the one that is wished for.
    proposal: View,
    /// Whether the proposal may have been decided before: then it must not be changed.
    taken_up: bool,
    source: SocketAddr,
    promises: BTreeMap<usize, Promise>,
    holding: BTreeSet<Identity>,
    accepted: BTreeSet<usize>,
}

impl<S: Replicated> Replica<S> {
    /// Begins an attempt to have `wished` decided; an earlier attempt of this machine's ends.
    pub fn propose(&mut self, wished: View) -> Effects {
        self.highest_round += 1;
        let ballot = Ballot { round: self.highest_round, proposer: self.own_member.identity.clone() };
        self.attempt = Some(Attempt {
            phase: Phase::Preparing,
            ballot,
            proposal: wished,
            taken_up: false,
            source: self.own_member.peer,
            promises: BTreeMap::new(),
            holding: BTreeSet::new(),
            accepted: BTreeSet::new(),
        });
        self.ask_voters_to_promise();
        self.finish()
    }

    pub(crate) fn phase(&self) -> Option<Phase> {
        self.attempt.as_ref().map(|attempt| attempt.phase)
    }

    pub(crate) fn abandon_attempt(&mut self) {
        self.attempt = None;
    }

    /// Asks again whoever has not answered in the present phase.
    pub fn resend_requests(&mut self) -> Effects {
        match self.phase() {
            Some(Phase::Preparing) => self.ask_voters_to_promise(),
            Some(Phase::Holding) => self.ask_to_hold(),
            Some(Phase::Accepting) => self.ask_voters_to_accept(),
            None => {}
        }
        self.finish()
    }

    fn ask_voters_to_promise(&mut self) {
        let Some(attempt) = &self.attempt else { return };
        let prepare = Message::Prepare { epoch: self.view().epoch, ballot: attempt.ballot.clone() };
        let missing = self.voters_without(|seat| attempt.promises.contains_key(&seat));
        self.send_all(&missing, &prepare);
    }

    fn ask_to_hold(&mut self) {
        let Some(attempt) = &self.attempt else { return };
        let hold = Message::Persist {
            epoch: self.view().epoch,
            ballot: attempt.ballot.clone(),
            version: attempt.proposal.start,
            source: attempt.source,
        };
        let voters = attempt.proposal.voters.iter().filter(|it| !attempt.holding.contains(&it.identity));
        let missing: Vec<SocketAddr> = voters.map(|voter| voter.peer).collect();
        self.send_all(&missing, &hold);
    }

    fn ask_voters_to_accept(&mut self) {
        let Some(attempt) = &self.attempt else { return };
        let accept = Message::Accept {
            epoch: self.view().epoch,
            ballot: attempt.ballot.clone(),
            view: attempt.proposal.clone(),
        };
        let missing = self.voters_without(|seat| attempt.accepted.contains(&seat));
        self.send_all(&missing, &accept);
    }

    fn voters_without(&self, answered: impl Fn(usize) -> bool) -> Vec<SocketAddr> {
        let voters = self.view().voters.iter().enumerate();
        voters.filter(|(seat, _)| !answered(*seat)).map(|(_, voter)| voter.peer).collect()
    }

    fn send_all(&mut self, peers: &[SocketAddr], message: &Message) {
        for peer in peers {
            self.send(*peer, message.clone());
        }
    }

    fn own_seat(&self) -> Option<usize> {
        self.seat_in(self.view(), &self.own_member)
    }

    fn seat_of(&self, voter: &Member) -> Option<usize> {
        self.seat_in(self.view(), voter)
    }

    /// The place of a voter in a view.
    pub(super) fn seat_in(&self, view: &View, voter: &Member) -> Option<usize> {
        if self.has(PlantedBug::NameVotes) && view.epoch > 0 {
            return view.voters.iter().position(|seat| seat.identity.node == voter.identity.node);
        }
        view.voter_index(voter)
    }

    pub(super) fn prepare(&mut self, from: &Member, epoch: u64, ballot: Ballot) {
        if !self.in_epoch(from, epoch) || self.own_seat().is_none() {
            return;
        }
        if let Err(promised) = self.promise(&ballot) {
            return self.send(from.peer, Message::Rejected { epoch, promised });
        }
        let accepted = self.record.acceptor.accepted.clone();
        self.send(from.peer, Message::Promised { epoch, ballot, accepted, version: self.version });
    }

    fn promise(&mut self, ballot: &Ballot) -> Result<(), Ballot> {
        self.highest_round = self.highest_round.max(ballot.round);
        let before = self.record.acceptor.promised.clone();
        self.record.acceptor.prepare(ballot)?;
        if before.as_ref() != Some(ballot) {
            // What was asked for under an earlier ballot must not change the version that is told under this one.
            self.catch_up = None;
            self.put_record();
        }
        Ok(())
    }

    fn attempt_at(&mut self, epoch: u64, ballot: &Ballot, phase: Phase) -> Option<&mut Attempt> {
        let here = epoch == self.view().epoch;
        self.attempt.as_mut().filter(|attempt| here && attempt.ballot == *ballot && attempt.phase == phase)
    }

    pub(super) fn promised(
        &mut self,
        from: &Member,
        epoch: u64,
        ballot: &Ballot,
        accepted: Option<(Ballot, View)>,
        version: Version,
    ) {
        let Some(seat) = self.seat_of(from) else { return };
        let majority = self.majority();
        let Some(attempt) = self.attempt_at(epoch, ballot, Phase::Preparing) else { return };
        attempt.promises.insert(seat, Promise { voter: from.clone(), accepted, version });
        if attempt.promises.len() >= majority {
            self.fix_proposal();
        }
    }

    fn majority(&self) -> usize {
        match self.has(PlantedBug::MajorityOfTheLiving) {
            true => self.attempt.as_ref().map_or(1, |attempt| attempt.proposal.chain.len() / 2 + 1),
            false => self.view().majority(),
        }
    }

    /// A majority has promised: what may have been decided is taken up, else the wish with the newest version.
    fn fix_proposal(&mut self) {
        let forget = self.has(PlantedBug::AcceptedIsForgotten);
        let own = self.has(PlantedBug::OwnVersionStarts).then_some(self.version);
        let epoch = self.view().epoch;
        let own_peer = self.own_member.peer;
        let Some(attempt) = &mut self.attempt else { return };
        let newest = attempt.promises.values().map(|promise| promise.version).max();
        // At least one voter of any majority is a link that has all of this view; without it nothing is known.
        let Some(newest) = own.or(newest).filter(|newest| newest.epoch == epoch || own.is_some()) else {
            return;
        };
        let earlier = attempt.promises.values().filter_map(|promise| promise.accepted.clone());
        match earlier.max_by(|left, right| left.0.cmp(&right.0)).filter(|_| !forget) {
            Some((_, view)) => {
                attempt.proposal = view;
                attempt.taken_up = true;
            }
            None => attempt.proposal.start = newest,
        }
        let start = attempt.proposal.start;
        let holder = attempt.promises.values().find(|promise| promise.version == start);
        attempt.source = holder.map_or(own_peer, |promise| promise.voter.peer);
        attempt.phase = Phase::Holding;
        if self.has(PlantedBug::NothingIsHeld) {
            return self.go_on_to_accept();
        }
        self.ask_to_hold();
    }

    /// Asked to have a version on the disk and to keep it.
    pub(super) fn hold(
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
        let asked = Some((epoch, ballot.clone()));
        if self.record.persist_request > asked {
            return;
        }
        if self.record.persist_request != asked {
            self.record.persist_request = asked;
            self.catch_up = None;
            self.put_record();
        }
        if self.version == version {
            return self.send(from.peer, Message::Persisted { epoch, ballot, version });
        }
        self.fetch_from(source, Some(version), Some((from.peer, epoch, ballot)));
    }

    pub(super) fn holding(&mut self, from: &Member, epoch: u64, ballot: &Ballot, version: Version) {
        let Some(attempt) = self.attempt_at(epoch, ballot, Phase::Holding) else { return };
        if attempt.proposal.start != version {
            return;
        }
        attempt.holding.insert(from.identity.clone());
        let all = attempt.proposal.chain.iter().all(|link| attempt.holding.contains(&link.identity));
        if all {
            self.go_on_to_accept();
        }
    }

    /// Goes on with the voters that hold the version, if they are enough; a voter that is new must be among them. What may have
    /// been decided stays as it is, even where its links are gone: the view after it will be without them.
    pub fn proceed_with_persisted(&mut self) -> Effects {
        let old_voters = self.view().voters.clone();
        let rules = self.rules;
        let short = self.has(PlantedBug::ChainMayBeShort);
        let Some(attempt) = self.attempt.as_mut().filter(|attempt| attempt.phase == Phase::Holding) else {
            return self.finish();
        };
        let proposal = &mut attempt.proposal;
        let holds = |voter: &&Member| attempt.holding.contains(&voter.identity);
        let holders: Vec<Member> = proposal.voters.iter().filter(holds).cloned().collect();
        let fewest = rules.min_chain_length(proposal.voters.len());
        let enough = holders.len() >= fewest || (short && !holders.is_empty());
        let is_new = |voter: &&Member| proposal.epoch > 1 && !old_voters.contains(voter);
        let new_hold = proposal.voters.iter().filter(is_new).all(|voter| holders.contains(voter));
        if enough && attempt.taken_up {
            self.go_on_to_accept();
        } else if enough && new_hold {
            proposal.chain.retain(|link| holders.contains(link));
            let others = holders.into_iter().filter(|holder| !proposal.chain.contains(holder));
            let others: Vec<Member> = others.collect();
            proposal.chain.extend(others);
            self.go_on_to_accept();
        }
        self.finish()
    }

    fn go_on_to_accept(&mut self) {
        if let Some(attempt) = &mut self.attempt {
            attempt.phase = Phase::Accepting;
        }
        self.ask_voters_to_accept();
    }

    pub(super) fn accept(&mut self, from: &Member, epoch: u64, ballot: &Ballot, view: &View) {
        if !self.in_epoch(from, epoch) || self.own_seat().is_none() {
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

    pub(super) fn accepted(&mut self, from: &Member, epoch: u64, ballot: &Ballot) {
        let Some(seat) = self.seat_of(from) else { return };
        let majority = self.majority();
        let Some(attempt) = self.attempt_at(epoch, ballot, Phase::Accepting) else { return };
        attempt.accepted.insert(seat);
        if attempt.accepted.len() < majority {
            return;
        }
        let view = attempt.proposal.clone();
        let told: BTreeSet<SocketAddr> =
            self.view().voters.iter().chain(&view.voters).map(|voter| voter.peer).collect();
        // The others learn of the view before this machine sends them its first message as the head.
        let others: Vec<SocketAddr> = told.into_iter().filter(|peer| *peer != self.own_member.peer).collect();
        self.send_all(&others, &Message::InstallView { view: view.clone() });
        self.install(view);
    }

    pub(super) fn refused(&mut self, epoch: u64, promised: &Ballot) {
        self.highest_round = self.highest_round.max(promised.round);
        let overtaken = self.attempt.as_ref().is_some_and(|attempt| attempt.ballot < *promised);
        if epoch == self.view().epoch && overtaken {
            self.attempt = None;
        }
    }

    /// Takes up a decided view; earlier ones are left alone. Whoever has the version that it begins with has it as a
    /// version of the new view from now on.
    pub(super) fn install(&mut self, view: View) {
        if view.epoch <= self.latest_view().epoch {
            return;
        }
        if self.seat_in(&view, &self.own_member).is_none() {
            // What it was to hold for the view that has ended is of no use any more.
            self.catch_up = self.catch_up.take().filter(|fetch| !fetch.is_for_ballot());
            self.later_view = Some(view);
            return;
        }
        let starts = view.start == self.version || self.has(PlantedBug::AnyVersionStarts);
        if starts {
            let result = self.version.with_epoch(view.epoch);
            let step = LogEntry { base: self.version, change: None, result };
            self.take_step(step, self.value.clone());
        }
        self.record.acceptor = Acceptor::new(view);
        self.put_record();
        self.committed_version = None;
        self.attempt = None;
        self.catch_up = None;
        self.later_view = None;
        if self.is_head() && self.may_append() {
            self.pass_on(None);
        }
    }
}
