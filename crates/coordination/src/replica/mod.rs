//! The state machine of one member: view changes, chain replication and catch-up, without any notion of time. It takes messages
//! and returns effects. The caller first writes the voting record, then the value, and sends messages only once both are
//! durable.

mod catch_up;
mod chain;
mod planted;
mod view_change;

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{Acceptor, Ballot, Member, Message, Replicated, Version, View, ViewRules};
use catch_up::{CatchUp, PartialSnapshot, RecentLog, Snapshot};
pub use chain::WriteRefusal;
pub use planted::PlantedBug;
use view_change::Attempt;
pub(crate) use view_change::Phase;

/// The durable state of a member besides the value.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct VotingRecord {
    /// State of the Paxos acceptor, with the present view.
    pub acceptor: Acceptor,
    /// Newest ballot for which this machine was asked to persist a version, with the epoch of the view that it is to replace.
    pub persist_request: Option<(u64, Ballot)>,
}

impl VotingRecord {
    /// Returns the record of a machine with an empty disk. `seeds` are the voters that decide the first view; there are none
    /// unless the whole system starts for the first time.
    pub fn initial<S: Replicated>(seeds: &[SocketAddr]) -> Self {
        Self {
            acceptor: Acceptor::new(View::from_seeds(seeds, Version::initial::<S>())),
            persist_request: None,
        }
    }
}

/// Everything that a member has on its disk.
#[derive(Clone, Debug)]
pub struct DurableState<S> {
    /// State of voting.
    pub record: VotingRecord,
    /// Version of the value.
    pub version: Version,
    /// The replicated value.
    pub value: Arc<S>,
}

impl<S: Replicated> DurableState<S> {
    /// Returns the state of an empty disk; for `seeds` see [`VotingRecord::initial`].
    pub fn empty(seeds: &[SocketAddr]) -> Self {
        Self {
            record: VotingRecord::initial::<S>(seeds),
            version: Version::initial::<S>(),
            value: Arc::default(),
        }
    }
}

/// What the caller has to do, in this order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Effects {
    /// Whether the voting record has changed and must be made durable.
    pub write_record: bool,
    /// Whether the value has changed and must be made durable, after the record.
    pub write_value: bool,
    /// Messages to send once the writes are durable, with the addresses of their receivers.
    pub sends: Vec<(SocketAddr, Message)>,
}

/// The state machine of one member of the core.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Replica<S> {
    own_member: Member,
    /// Whether this machine may become a voter.
    eligible: bool,
    rules: ViewRules,
    record: VotingRecord,
    version: Version,
    value: Arc<S>,
    /// Newest version known to be durable on every link of the present view.
    committed_version: Option<Version>,
    /// Newest view after the present one, if this machine is not a voter in it.
    later_view: Option<View>,
    /// Highest ballot round seen.
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
    /// Restores a member from its durable state.
    pub fn new(own_member: Member, eligible: bool, rules: ViewRules, stored: DurableState<S>) -> Self {
        // A ballot from before the restart must not be reused for another proposal.
        let highest_round = stored.record.acceptor.promised.as_ref().map_or(0, |promised| promised.round);
        let view = &stored.record.acceptor.view;
        // If the process crashed after it wrote the record of a new view and before it wrote the value under its new version, the
        // stored version is the view's start version.
        let has_start = view.epoch > 0 && stored.version == view.start;
        let version = if has_start { stored.version.with_epoch(view.epoch) } else { stored.version };
        Self {
            own_member,
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

    /// Enables a planted bug.
    #[cfg(feature = "planted-bugs")]
    pub fn plant(&mut self, bug: PlantedBug) {
        self.planted = Some(bug);
    }

    /// Whether this bug is planted.
    pub(crate) fn has(&self, bug: PlantedBug) -> bool {
        self.planted == Some(bug)
    }

    /// Returns this machine's identity and address.
    pub fn own_member(&self) -> &Member {
        &self.own_member
    }

    /// Whether this machine may become a voter.
    pub fn is_eligible(&self) -> bool {
        self.eligible
    }

    /// Returns the sizes of voter sets and chains.
    pub fn rules(&self) -> ViewRules {
        self.rules
    }

    /// Returns the voting record.
    pub fn record(&self) -> &VotingRecord {
        &self.record
    }

    /// Returns the version of the value.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Returns the value, which may include a write that is not committed.
    pub fn value(&self) -> &Arc<S> {
        &self.value
    }

    /// Returns the view whose successor this machine votes on.
    pub fn view(&self) -> &View {
        &self.record.acceptor.view
    }

    /// Returns the newest view that this machine knows of.
    pub fn latest_view(&self) -> &View {
        self.later_view.as_ref().filter(|later| later.epoch > self.view().epoch).unwrap_or(self.view())
    }

    /// Whether this machine is a voter of the newest view that it knows of.
    pub fn is_voter(&self) -> bool {
        self.latest_view().epoch == self.view().epoch
            && self.voter_index_in(self.view(), &self.own_member).is_some()
    }

    /// Whether this machine is a link of the chain.
    pub fn is_link(&self) -> bool {
        self.is_voter() && self.view().chain_index(&self.own_member.identity).is_some()
    }

    /// Whether this machine is the head of the chain.
    pub fn is_head(&self) -> bool {
        self.is_voter() && self.view().head() == Some(&self.own_member)
    }

    /// Whether this machine is the tail of the chain.
    pub fn is_tail(&self) -> bool {
        self.is_voter() && self.view().tail() == Some(&self.own_member)
    }

    /// Whether this machine has promised a ballot, and so takes no more writes of its view.
    pub fn is_sealed(&self) -> bool {
        self.record.acceptor.is_sealed()
    }

    /// Whether this machine has a version of the present view, and so at least the view's start version.
    pub fn is_caught_up(&self) -> bool {
        self.is_voter() && self.version.epoch == self.view().epoch && self.view().epoch > 0
    }

    /// Returns the newest version known to be durable on every link of the present view; for a learner, the version that it
    /// has learned to be committed.
    pub fn committed_version(&self) -> Option<Version> {
        self.committed_version
    }

    /// Returns the value if all of it is known to be committed.
    pub fn committed_value(&self) -> Option<&Arc<S>> {
        let committed =
            self.committed_version == Some(self.version) || self.has(PlantedBug::UncommittedIsPublished);
        committed.then_some(&self.value)
    }

    /// Handles one message.
    pub fn handle(&mut self, from: &Member, message: Message) -> Effects {
        self.receive(from, message);
        self.finish()
    }

    /// Handles the messages to itself, and returns the effects collected since the last call.
    pub(crate) fn finish(&mut self) -> Effects {
        while let Some(message) = self.self_messages.pop_front() {
            let own_member = self.own_member.clone();
            self.receive(&own_member, message);
        }
        std::mem::take(&mut self.effects)
    }

    fn receive(&mut self, from: &Member, message: Message) {
        match message {
            Message::Ping { epoch, round, committed } => self.handle_ping(from, epoch, round, committed),
            Message::Pong { epoch, .. } => self.handle_pong(from, epoch),
            Message::Prepare { epoch, ballot } => self.prepare(from, epoch, ballot),
            Message::Promised { epoch, ballot, accepted, version } => {
                self.promised(from, epoch, &ballot, accepted, version)
            }
            Message::Rejected { epoch, promised } => self.rejected(epoch, &promised),
            Message::Persist { epoch, ballot, version, source } => {
                self.persist(from, epoch, ballot, version, source)
            }
            Message::Persisted { epoch, ballot, version } => self.persisted(from, epoch, &ballot, version),
            Message::Accept { epoch, ballot, view } => self.accept(from, epoch, &ballot, &view),
            Message::Accepted { epoch, ballot } => self.accepted(from, epoch, &ballot),
            Message::InstallView { view } => self.install(view),
            Message::CompareViews { epoch } => self.compare_views(from, epoch),
            Message::Append { epoch, version, entry } => self.append(from, epoch, version, entry),
            Message::Committed { epoch, version } => self.learn_committed(epoch, version),
            Message::CatchUpRequest { epoch, current, snapshot_progress, target, .. } => {
                self.answer_catch_up(from, epoch, current, snapshot_progress, target)
            }
            Message::UpToDate { version } => self.take_up_to_date(version),
            Message::LogEntries { entries } => self.take_entries(entries),
            Message::SnapshotChunk { version, total, offset, bytes } => {
                self.take_chunk(version, total, offset, &bytes)
            }
        }
    }

    fn handle_ping(&mut self, from: &Member, epoch: u64, round: u64, committed: Option<Version>) {
        let newest = self.latest_view().epoch;
        if newest > epoch {
            return self.send_view_if_later(from, epoch);
        }
        let pong = Message::Pong {
            epoch: self.view().epoch,
            round,
            sealed: self.is_sealed(),
            version: self.version,
        };
        self.send(from.peer, pong);
        if let Some(committed) = committed {
            self.learn_committed(epoch, committed);
        }
    }

    fn handle_pong(&mut self, from: &Member, epoch: u64) {
        self.send_view_if_later(from, epoch);
    }

    /// Sends the newest view to a machine that is in an earlier one.
    fn send_view_if_later(&mut self, to: &Member, epoch: u64) {
        let newest = self.latest_view();
        if newest.epoch > epoch {
            let view = newest.clone();
            self.send(to.peer, Message::InstallView { view });
        }
    }

    /// Whether a message belongs to the view that this machine votes in. If not, whichever side has the older view is brought up
    /// to date.
    fn in_epoch(&mut self, from: &Member, epoch: u64) -> bool {
        let newest = self.latest_view().epoch;
        if epoch < newest {
            self.send_view_if_later(from, epoch);
        }
        if epoch > newest {
            self.send(from.peer, Message::CompareViews { epoch: newest });
        }
        epoch == self.view().epoch
    }

    /// Handles the epoch of the newest view that another machine knows: gives it a later view, or asks for one.
    fn compare_views(&mut self, from: &Member, epoch: u64) {
        let newest = self.latest_view().epoch;
        match epoch > newest {
            true => self.send(from.peer, Message::CompareViews { epoch: newest }),
            false => self.send_view_if_later(from, epoch),
        }
    }

    /// Tells a machine, which need not be a voter, the epoch of the newest view that this machine knows.
    pub fn start_view_comparison(&mut self, peers: &[SocketAddr]) -> Effects {
        let epoch = self.latest_view().epoch;
        for peer in peers.iter().filter(|peer| **peer != self.own_member.peer) {
            self.effects.sends.push((*peer, Message::CompareViews { epoch }));
        }
        self.finish()
    }

    /// Queues a message; a message to this machine itself is handled before the effects are returned.
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
