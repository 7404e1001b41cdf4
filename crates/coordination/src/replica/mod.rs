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
pub use chain::NotTaken;
use deciding::Attempt;
pub(crate) use deciding::Phase;
use following::{Fetch, PartialCopy, Recent, Snapshot};
pub use planted::PlantedBug;

/// What a machine must not forget besides the value.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Record {
    pub acceptor: Acceptor,
    /// The newest ballot for which this machine was asked to hold a version, and the epoch that the ballot ends.
    pub held: Option<(u64, Ballot)>,
}

impl Record {
    /// Of a machine whose disk is empty. `seeds` are the voters on the very first view; none but at the very first start.
    pub fn first<S: Replicated>(seeds: &[SocketAddr]) -> Self {
        Self { acceptor: Acceptor::new(View::of_seeds(seeds, Version::initial::<S>())), held: None }
    }
}

/// What is on a machine's disk.
#[derive(Clone, Debug)]
pub struct Stored<S> {
    pub record: Record,
    pub version: Version,
    pub value: Arc<S>,
}

impl<S: Replicated> Stored<S> {
    /// An empty disk.
    pub fn first(seeds: &[SocketAddr]) -> Self {
        Self { record: Record::first::<S>(seeds), version: Version::initial::<S>(), value: Arc::default() }
    }
}

/// What is to be done, in this order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Outcome {
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
    me: Member,
    /// Whether it may become a voter.
    eligible: bool,
    rules: ViewRules,
    record: Record,
    version: Version,
    value: Arc<S>,
    /// The newest version known to be on the disk of every link, in the present view.
    committed: Option<Version>,
    /// A later view than the one it votes in, in which it does not vote.
    heard: Option<View>,
    highest_round: u64,
    attempt: Option<Attempt>,
    fetch: Option<Fetch>,
    copy: Option<PartialCopy>,
    recent: Recent,
    snapshot: Option<Snapshot>,
    to_self: VecDeque<Message>,
    outcome: Outcome,
    planted: Option<PlantedBug>,
}

impl<S: Replicated> Replica<S> {
    pub fn new(me: Member, eligible: bool, rules: ViewRules, stored: Stored<S>) -> Self {
        // A ballot of an earlier life must not be used for another proposal.
        let highest_round = stored.record.acceptor.promised.as_ref().map_or(0, |promised| promised.round);
        let view = &stored.record.acceptor.view;
        // A crash came between the record of a new view and the value's new name.
        let begins = view.epoch > 0 && stored.version == view.start;
        let version = if begins { stored.version.in_epoch(view.epoch) } else { stored.version };
        Self {
            me,
            eligible,
            rules,
            record: stored.record,
            version,
            value: stored.value,
            committed: None,
            heard: None,
            highest_round,
            attempt: None,
            fetch: None,
            copy: None,
            recent: Recent::default(),
            snapshot: None,
            to_self: VecDeque::new(),
            outcome: Outcome::default(),
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

    pub fn me(&self) -> &Member {
        &self.me
    }

    pub fn is_eligible(&self) -> bool {
        self.eligible
    }

    pub fn rules(&self) -> ViewRules {
        self.rules
    }

    pub fn record(&self) -> &Record {
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
    pub fn newest_view(&self) -> &View {
        self.heard.as_ref().filter(|heard| heard.epoch > self.view().epoch).unwrap_or(self.view())
    }

    /// Whether it is a voter of the newest view that it knows.
    pub fn is_voter(&self) -> bool {
        self.newest_view().epoch == self.view().epoch && self.seat_in(self.view(), &self.me).is_some()
    }

    pub fn is_link(&self) -> bool {
        self.is_voter() && self.view().link(&self.me.identity).is_some()
    }

    pub fn is_head(&self) -> bool {
        self.is_voter() && self.view().head() == Some(&self.me)
    }

    pub fn is_tail(&self) -> bool {
        self.is_voter() && self.view().tail() == Some(&self.me)
    }

    /// Whether it has promised to take no more writes of its view.
    pub fn is_sealed(&self) -> bool {
        self.record.acceptor.sealed()
    }

    /// Whether it has the value as a link of the present view.
    pub fn is_level(&self) -> bool {
        self.is_voter() && self.version.epoch == self.view().epoch && self.view().epoch > 0
    }

    pub fn committed(&self) -> Option<Version> {
        self.committed
    }

    /// The value, if all of it is known to be committed.
    pub fn committed_value(&self) -> Option<&Arc<S>> {
        let committed = self.committed == Some(self.version) || self.has(PlantedBug::UncommittedIsPublished);
        committed.then_some(&self.value)
    }

    /// Takes one message.
    pub fn handle(&mut self, from: &Member, message: Message) -> Outcome {
        self.receive(from, message);
        self.finish()
    }

    pub(crate) fn finish(&mut self) -> Outcome {
        while let Some(message) = self.to_self.pop_front() {
            let me = self.me.clone();
            self.receive(&me, message);
        }
        std::mem::take(&mut self.outcome)
    }

    fn receive(&mut self, from: &Member, message: Message) {
        match message {
            Message::Ping { epoch, number, committed } => self.pinged(from, epoch, number, committed),
            Message::Pong { epoch, .. } => self.ponged(from, epoch),
            Message::Prepare { epoch, ballot } => self.prepare(from, epoch, ballot),
            Message::Promised { epoch, ballot, accepted, version } => {
                self.promised(from, epoch, &ballot, accepted, version)
            }
            Message::Refused { epoch, promised } => self.refused(epoch, &promised),
            Message::Hold { epoch, ballot, version, source } => {
                self.hold(from, epoch, ballot, version, source)
            }
            Message::Holding { epoch, ballot, version } => self.holding(from, epoch, &ballot, version),
            Message::Accept { epoch, ballot, view } => self.accept(from, epoch, &ballot, &view),
            Message::Accepted { epoch, ballot } => self.accepted(from, epoch, &ballot),
            Message::Install { view } => self.install(view),
            Message::Behind { epoch } => self.tell_view_if_later(from, epoch),
            Message::Append { epoch, version, step } => self.append(from, epoch, version, step),
            Message::Committed { epoch, version } => self.learn_committed(epoch, version),
            Message::Follow { have, copying, wanted, epoch, .. } => {
                self.followed(from, epoch, have, copying, wanted)
            }
            Message::Level { version } => self.found_level(version),
            Message::Steps { steps } => self.take_steps(steps),
            Message::Piece { version, total, offset, bytes } => {
                self.take_piece(version, total, offset, &bytes)
            }
        }
    }

    fn pinged(&mut self, from: &Member, epoch: u64, number: u64, committed: Option<Version>) {
        let newest = self.newest_view().epoch;
        if newest > epoch {
            return self.tell_view_if_later(from, epoch);
        }
        let pong = Message::Pong {
            epoch: self.view().epoch,
            number,
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
        let newest = self.newest_view();
        if newest.epoch > epoch {
            let view = newest.clone();
            self.send(to.peer, Message::Install { view });
        }
    }

    /// Whether a message belongs to the view that this machine votes in; else the one who is behind is told.
    fn in_epoch(&mut self, from: &Member, epoch: u64) -> bool {
        let newest = self.newest_view().epoch;
        if epoch < newest {
            self.tell_view_if_later(from, epoch);
        }
        if epoch > newest {
            self.send(from.peer, Message::Behind { epoch: newest });
        }
        epoch == self.view().epoch
    }

    pub(crate) fn send(&mut self, to: SocketAddr, message: Message) {
        match to == self.me.peer {
            true => self.to_self.push_back(message),
            false => self.outcome.sends.push((to, message)),
        }
    }

    fn put_version(&mut self, version: Version, value: Arc<S>) {
        self.version = version;
        self.value = value;
        self.outcome.write_value = true;
    }

    fn put_record(&mut self) {
        self.outcome.write_record = !self.has(PlantedBug::PromiseIsNotWritten);
    }
}
