//! One machine's part in views, chain and learning, without time: messages come in; what has to be written and sent
//! goes out. The caller writes first, the record and then the value, and sends only when both are on the disk.

mod chain;
mod deciding;
mod following;
mod planted;

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{Acceptor, Ballot, Member, Message, Replicated, Version, View, ViewRules};
pub use chain::WriteRefusal;
use deciding::Attempt;
pub(crate) use deciding::Phase;
use following::{CatchUp, PartialSnapshot, RecentLog, Snapshot};
pub use planted::PlantedBug;

/// What a machine must not forget besides the value.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct VotingRecord {
    pub acceptor: Acceptor,
    /// The newest ballot for which this machine was asked to hold a version, and the epoch that the ballot ends.
    pub persist_request: Option<(u64, Ballot)>,
}

impl VotingRecord {
    /// Of a machine whose disk is empty. `seeds` are the voters on the very first view; none but at the very first start.
    pub fn initial<S: Replicated>(seeds: &[SocketAddr]) -> Self {
        Self {
            acceptor: Acceptor::new(View::from_seeds(seeds, Version::initial::<S>())),
            persist_request: None,
        }
    }
}

/// What is on a machine's disk.
#[derive(Clone, Debug)]
pub struct DurableState<S> {
    pub record: VotingRecord,
    pub version: Version,
    pub value: Arc<S>,
}

impl<S: Replicated> DurableState<S> {
    /// An empty disk.
    pub fn empty(seeds: &[SocketAddr]) -> Self {
        Self {
            record: VotingRecord::initial::<S>(seeds),
            version: Version::initial::<S>(),
            value: Arc::default(),
        }
    }
}

/// What is to be done, in this order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Effects {
    /// The record has changed and must be on the disk.
    pub write_record: bool,
    /// Then the value.
    pub write_value: bool,
    /// Only then these leave.
    pub sends: Vec<(SocketAddr, Message)>,
}

/// One machine of the core.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Replica<S> {
    own_member: Member,
    /// Whether it may become a voter.
    eligible: bool,
    rules: ViewRules,
    record: VotingRecord,
    version: Version,
    value: Arc<S>,
    /// The newest version known to be on the disk of every link, in the present view.
    committed_version: Option<Version>,
    /// A later view than the one it votes in, in which it does not vote.
    later_view: Option<View>,
    highest_round: u64,
    attempt: Option<Attempt>,
    catch_up: Option<CatchUp>,
    partial_snapshot: Option<PartialSnapshot>,
    recent_log: RecentLog,
    snapshot: Option<Snapshot>,
    self_messages: VecDeque<Message>,
    effects: Effects,
    planted: Option<PlantedBug>,
}

impl<S: Replicated> Replica<S> {
    pub fn new(me: Member, eligible: bool, rules: ViewRules, stored: DurableState<S>) -> Self {
        // A ballot of an earlier life must not be used for another proposal.
        let highest_round = stored.record.acceptor.promised.as_ref().map_or(0, |promised| promised.round);
        let view = &stored.record.acceptor.view;
        // A crash came between the record of a new view and the value's new name.
        let begins = view.epoch > 0 && stored.version == view.start;
        let version = if begins { stored.version.with_epoch(view.epoch) } else { stored.version };
        Self {
            own_member: me,
            eligible,
            rules,
            record: stored.record,
            version,
            value: stored.value,
            committed_version: None,
            later_view: None,
            highest_round,
            attempt: None,
            catch_up: None,
            partial_snapshot: None,
            recent_log: RecentLog::default(),
            snapshot: None,
            self_messages: VecDeque::new(),
            effects: Effects::default(),
            planted: None,
        }
    }

    /// Switches a mistake on.
    #[cfg(feature = "planted-bugs")]
    pub fn plant(&mut self, bug: PlantedBug) {
        self.planted = Some(bug);
    }

    pub(crate) fn has(&self, bug: PlantedBug) -> bool {
        self.planted == Some(bug)
    }

    pub fn own_member(&self) -> &Member {
        &self.own_member
    }

    pub fn is_eligible(&self) -> bool {
        self.eligible
    }

    pub fn rules(&self) -> ViewRules {
        self.rules
    }

    pub fn record(&self) -> &VotingRecord {
        &self.record
    }

    pub fn version(&self) -> Version {
        self.version
    }

    pub fn value(&self) -> &Arc<S> {
        &self.value
    }

    /// The view that it votes in.
    pub fn view(&self) -> &View {
        &self.record.acceptor.view
    }

    /// The newest view that it has heard of.
    pub fn latest_view(&self) -> &View {
        self.later_view.as_ref().filter(|heard| heard.epoch > self.view().epoch).unwrap_or(self.view())
    }

    /// Whether it is a voter of the newest view that it knows.
    pub fn is_voter(&self) -> bool {
        self.latest_view().epoch == self.view().epoch && self.seat_in(self.view(), &self.own_member).is_some()
    }

    pub fn is_link(&self) -> bool {
        self.is_voter() && self.view().chain_index(&self.own_member.identity).is_some()
    }

    pub fn is_head(&self) -> bool {
        self.is_voter() && self.view().head() == Some(&self.own_member)
    }

    pub fn is_tail(&self) -> bool {
        self.is_voter() && self.view().tail() == Some(&self.own_member)
    }

    /// Whether it has promised to take no more writes of its view.
    pub fn is_sealed(&self) -> bool {
        self.record.acceptor.is_sealed()
    }

    /// Whether it has the value as a link of the present view.
    pub fn is_caught_up(&self) -> bool {
        self.is_voter() && self.version.epoch == self.view().epoch && self.view().epoch > 0
    }

    pub fn committed_version(&self) -> Option<Version> {
        self.committed_version
    }

    /// The value, if all of it is known to be committed.
    pub fn committed_value(&self) -> Option<&Arc<S>> {
        let committed =
            self.committed_version == Some(self.version) || self.has(PlantedBug::UncommittedIsPublished);
        committed.then_some(&self.value)
    }

    /// Takes one message.
    pub fn handle(&mut self, from: &Member, message: Message) -> Effects {
        self.receive(from, message);
        self.finish()
    }

    pub(crate) fn finish(&mut self) -> Effects {
        while let Some(message) = self.self_messages.pop_front() {
            let me = self.own_member.clone();
            self.receive(&me, message);
        }
        std::mem::take(&mut self.effects)
    }

    fn receive(&mut self, from: &Member, message: Message) {
        match message {
            Message::Ping { epoch, round: number, committed } => self.pinged(from, epoch, number, committed),
            Message::Pong { epoch, .. } => self.ponged(from, epoch),
            Message::Prepare { epoch, ballot } => self.prepare(from, epoch, ballot),
            Message::Promised { epoch, ballot, accepted, version } => {
                self.promised(from, epoch, &ballot, accepted, version)
            }
            Message::Rejected { epoch, promised } => self.refused(epoch, &promised),
            Message::Persist { epoch, ballot, version, source } => {
                self.hold(from, epoch, ballot, version, source)
            }
            Message::Persisted { epoch, ballot, version } => self.holding(from, epoch, &ballot, version),
            Message::Accept { epoch, ballot, view } => self.accept(from, epoch, &ballot, &view),
            Message::Accepted { epoch, ballot } => self.accepted(from, epoch, &ballot),
            Message::InstallView { view } => self.install(view),
            Message::ViewRequest { epoch } => self.tell_view_if_later(from, epoch),
            Message::Append { epoch, version, entry: step } => self.append(from, epoch, version, step),
            Message::Committed { epoch, version } => self.learn_committed(epoch, version),
            Message::CatchUpRequest {
                current: have,
                snapshot_progress: copying,
                target: wanted,
                epoch,
                ..
            } => self.followed(from, epoch, have, copying, wanted),
            Message::UpToDate { version } => self.found_level(version),
            Message::LogEntries { entries: steps } => self.take_steps(steps),
            Message::SnapshotChunk { version, total, offset, bytes } => {
                self.take_piece(version, total, offset, &bytes)
            }
        }
    }

    fn pinged(&mut self, from: &Member, epoch: u64, number: u64, committed: Option<Version>) {
        let newest = self.latest_view().epoch;
        if newest > epoch {
            return self.tell_view_if_later(from, epoch);
        }
        let pong = Message::Pong {
            epoch: self.view().epoch,
            round: number,
            sealed: self.is_sealed(),
            version: self.version,
        };
        self.send(from.peer, pong);
        if let Some(committed) = committed {
            self.learn_committed(epoch, committed);
        }
    }

    fn ponged(&mut self, from: &Member, epoch: u64) {
        self.tell_view_if_later(from, epoch);
    }

    /// Brings the newest view to a machine that is in an earlier one.
    fn tell_view_if_later(&mut self, to: &Member, epoch: u64) {
        let newest = self.latest_view();
        if newest.epoch > epoch {
            let view = newest.clone();
            self.send(to.peer, Message::InstallView { view });
        }
    }

    /// Whether a message belongs to the view that this machine votes in; else the one who is behind is told.
    fn in_epoch(&mut self, from: &Member, epoch: u64) -> bool {
        let newest = self.latest_view().epoch;
        if epoch < newest {
            self.tell_view_if_later(from, epoch);
        }
        if epoch > newest {
            self.send(from.peer, Message::ViewRequest { epoch: newest });
        }
        epoch == self.view().epoch
    }

    pub(crate) fn send(&mut self, to: SocketAddr, message: Message) {
        match to == self.own_member.peer {
            true => self.self_messages.push_back(message),
            false => self.effects.sends.push((to, message)),
        }
    }

    fn put_version(&mut self, version: Version, value: Arc<S>) {
        self.version = version;
        self.value = value;
        self.effects.write_value = true;
    }

    fn put_record(&mut self) {
        self.effects.write_record = !self.has(PlantedBug::PromiseIsNotWritten);
    }
}
