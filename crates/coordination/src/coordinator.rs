//! Time around a replica: who answers, whether a majority confirms the view, when the view has to change, and whom a
//! machine asks for what it lacks. `now` is the time on the machine's own steady clock.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::liveness::Liveness;
use crate::replica::{Phase, PlantedBug};
use crate::{
    next_view, ClusterStatus, Effects, Identity, Member, Message, Replica, Replicated, Timing, Version, View,
};

/// Whether the view stood, asked at a certain moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuorumCheck {
    epoch: u64,
    round: u64,
}

/// What became of a question or a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    Pending,
    /// A majority has confirmed the view; the write is on the disk of every link.
    Done,
    /// The view has changed: nothing can be said from here.
    Superseded,
}

/// A machine that lacks no more than so many versions is level: the rest reaches it while the view changes.
const CAUGHT_UP_MAX_LAG: u64 = 8;

#[derive(Clone, Debug)]
struct Joiner {
    member: Member,
    version: Version,
    eligible: bool,
    at: Duration,
}

/// A replica with its clock.
#[derive(Clone, Debug)]
pub struct Coordinator<S> {
    replica: Replica<S>,
    timing: Timing,
    seeds: Vec<SocketAddr>,
    started_at: Duration,
    view_installed_at: Duration,
    epoch: u64,
    /// When this machine last heard of an attempt to end its view, while it is sealed.
    last_attempt_message_at: Option<Duration>,
    liveness: Liveness,
    joiners: BTreeMap<Identity, Joiner>,
    quorum_confirmed_at: Option<Duration>,
    pinged_at: Option<Duration>,
    phase_started: (Option<Phase>, Duration),
    requests_sent_at: Duration,
    next_attempt_at: Duration,
    catch_up_requested_at: Option<Duration>,
    /// Counts questions without an answer, so that another machine is asked.
    unanswered_requests: usize,
    snapshot_requested_at: Duration,
}

impl<S: Replicated> Coordinator<S> {
    /// `seeds` are asked for news while nobody else is known.
    pub fn new(replica: Replica<S>, timing: Timing, seeds: Vec<SocketAddr>, now: Duration) -> Self {
        Self {
            epoch: replica.view().epoch,
            last_attempt_message_at: replica.is_sealed().then_some(now),
            replica,
            timing,
            seeds,
            started_at: now,
            view_installed_at: now,
            liveness: Liveness::default(),
            joiners: BTreeMap::new(),
            quorum_confirmed_at: None,
            pinged_at: None,
            phase_started: (None, now),
            requests_sent_at: now,
            next_attempt_at: now,
            catch_up_requested_at: None,
            unanswered_requests: 0,
            snapshot_requested_at: now,
        }
    }

    pub fn replica(&self) -> &Replica<S> {
        &self.replica
    }

    /// When this machine last knew that a majority was in its view, it being a link that has the value.
    pub fn quorum_confirmed_at(&self) -> Option<Duration> {
        self.quorum_confirmed_at
    }

    /// Since when this machine is in its view.
    pub fn view_installed_at(&self) -> Duration {
        self.view_installed_at
    }

    /// Makes a change as the head.
    pub fn write(
        &mut self,
        now: Duration,
        change: Vec<u8>,
    ) -> Result<(Version, Effects), crate::WriteRefusal> {
        let written = self.replica.write(change);
        self.track_changes(now);
        written
    }

    /// Asks a majority now whether the view stands.
    pub fn start_quorum_check(&mut self, now: Duration) -> (QuorumCheck, Effects) {
        let (round, sends) = self.ping(now);
        (QuorumCheck { epoch: self.epoch, round }, Effects { sends, ..Effects::default() })
    }

    /// Whether the view stood when a question was asked, so that what was committed here then was all there was.
    pub fn quorum_check_progress(&self, question: QuorumCheck) -> Progress {
        if self.replica.has(PlantedBug::ReadWithoutContact) {
            return Progress::Done;
        }
        let sealed = self.replica.is_sealed();
        if self.epoch != question.epoch || !self.replica.is_voter() || sealed {
            return Progress::Superseded;
        }
        match self.liveness.confirmed_round() >= question.round {
            true => Progress::Done,
            false => Progress::Pending,
        }
    }

    /// What became of a version that this machine made as the head.
    pub fn write_progress(&self, written: Version) -> Progress {
        // A machine that was put out of its view goes on learning what others committed: that says nothing of its own write.
        if !self.replica.is_link() || self.replica.view().epoch != written.epoch {
            return Progress::Superseded;
        }
        match self.replica.committed_version() >= Some(written) {
            true => Progress::Done,
            false => Progress::Pending,
        }
    }

    /// The committed value, where this machine answers reads: it is the tail.
    pub fn readable_value(&self) -> Option<&std::sync::Arc<S>> {
        self.replica.committed_value().filter(|_| self.replica.is_tail())
    }

    /// Takes a message.
    pub fn handle(&mut self, now: Duration, from: &Member, message: Message) -> Effects {
        match &message {
            Message::Pong { epoch, round: number, sealed, version } => {
                self.record_pong(from, *epoch, *number, *sealed, *version)
            }
            Message::CatchUpRequest { current: have, eligible, snapshot_progress: copying, .. } => {
                self.record_join_request(now, from, *have, *eligible);
                if copying.is_some() {
                    self.snapshot_requested_at = now;
                }
            }
            Message::UpToDate { .. } | Message::LogEntries { .. } | Message::SnapshotChunk { .. } => {
                self.unanswered_requests = 0;
                self.catch_up_requested_at = Some(now);
            }
            Message::Prepare { ballot, .. }
            | Message::Persist { ballot, .. }
            | Message::Accept { ballot, .. } => {
                let promised = self.replica.record().acceptor.promised.as_ref();
                if promised.is_none_or(|promised| promised <= ballot) {
                    self.last_attempt_message_at = None;
                }
            }
            _ => {}
        }
        let outcome = self.replica.handle(from, message);
        self.track_changes(now);
        outcome
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Duration) -> Effects {
        let mut due = Effects::default();
        if self.snapshot_requested_at + self.timing.snapshot_idle_timeout < now {
            self.replica.drop_snapshot();
        }
        if self.pinged_at.is_none_or(|at| now >= at + self.timing.ping_interval) {
            self.pinged_at = Some(now);
            due.sends.extend(self.ping(now).1);
            merge(&mut due, self.replica.resend_uncommitted());
        }
        self.joiners.retain(|_, joiner| now < joiner.at + self.timing.join_request_ttl);
        merge(&mut due, self.request_catch_up(now));
        merge(&mut due, self.continue_attempt(now));
        if self.replica.phase().is_none() && now >= self.next_attempt_at {
            merge(&mut due, self.change_view(now));
        }
        self.track_changes(now);
        due
    }

    /// Notices what a message has changed.
    fn track_changes(&mut self, now: Duration) {
        let epoch = self.replica.view().epoch;
        if epoch != self.epoch {
            self.epoch = epoch;
            self.view_installed_at = now;
            self.next_attempt_at = now;
            self.liveness.begin_view(now, &self.replica.view().voters);
        }
        match self.replica.is_sealed() {
            true => self.last_attempt_message_at = self.last_attempt_message_at.or(Some(now)),
            false => self.last_attempt_message_at = None,
        }
        if self.phase_started.0 != self.replica.phase() {
            self.phase_started = (self.replica.phase(), now);
            self.requests_sent_at = now;
        }
    }

    /// Asks all voters; gives the number of the round.
    fn ping(&mut self, now: Duration) -> (u64, Vec<(SocketAddr, Message)>) {
        let number = self.liveness.begin_round(now);
        if !self.replica.is_voter() || self.epoch == 0 {
            return (number, Vec::new());
        }
        let own = self.replica.own_member().clone();
        if !self.replica.is_sealed() {
            self.count_standing(&own, number);
        }
        let ping =
            Message::Ping { epoch: self.epoch, round: number, committed: self.replica.committed_version() };
        let voters = self.replica.view().voters.iter().map(|voter| voter.peer);
        (number, voters.filter(|peer| *peer != own.peer).map(|peer| (peer, ping.clone())).collect())
    }

    fn record_pong(&mut self, from: &Member, epoch: u64, number: u64, sealed: bool, version: Version) {
        let counts = self.liveness.hear(from, number, version);
        if counts && epoch == self.epoch && !sealed {
            self.count_standing(from, number);
        }
    }

    /// A voter was in this view, taking its writes, when it was asked in that round.
    fn count_standing(&mut self, voter: &Member, number: u64) {
        let view = self.replica.view();
        if view.voter_index(voter).is_none() {
            return;
        }
        let minority = self.replica.has(PlantedBug::MinorityConfirms);
        let majority = if minority { 1 } else { view.majority() };
        let Some(sent_at) = self.liveness.count_standing(voter, number, majority) else { return };
        if self.replica.is_caught_up() && self.replica.is_link() {
            self.quorum_confirmed_at = self.quorum_confirmed_at.max(Some(sent_at));
        }
    }

    fn record_join_request(&mut self, now: Duration, from: &Member, version: Version, eligible: bool) {
        let joiner = Joiner { member: from.clone(), version, eligible, at: now };
        self.joiners.insert(from.identity.clone(), joiner);
        // The same machine with another disk is gone.
        let replaced = |member: &Member| {
            member.identity.node == from.identity.node && member.identity.disk != from.identity.disk
        };
        self.joiners.retain(|_, joiner| !replaced(&joiner.member));
    }

    fn is_alive(&self, now: Duration, member: &Member) -> bool {
        self.contacted_within(now, member, self.timing.suspect_after)
    }

    fn contacted_within(&self, now: Duration, member: &Member, within: Duration) -> bool {
        let own = member.identity == self.replica.own_member().identity;
        own || self.liveness.heard_at(&member.identity).is_some_and(|at| now < at + within)
    }

    fn is_nearly_caught_up(&self, version: Version) -> bool {
        let own = self.replica.version();
        let near = version.epoch == own.epoch && version.sequence + CAUGHT_UP_MAX_LAG >= own.sequence;
        near || self.replica.has(PlantedBug::EmptyIsLevel)
    }

    fn is_caught_up(&self, member: &Member) -> bool {
        let own = member.identity == self.replica.own_member().identity;
        own || self
            .liveness
            .version_of(&member.identity)
            .is_some_and(|version| self.is_nearly_caught_up(version))
    }

    /// Machines that asked lately, may be voters, and lack next to nothing.
    fn caught_up_joiners(&self) -> Vec<Member> {
        let level = self
            .joiners
            .values()
            .filter(|joiner| joiner.eligible && self.is_nearly_caught_up(joiner.version));
        let joiners = level.map(|joiner| joiner.member.clone());
        joiners.filter(|joiner| self.replica.view().voter_index(joiner).is_none()).collect()
    }

    /// Asks for what this machine lacks, or whether there is anything.
    fn request_catch_up(&mut self, now: Duration) -> Effects {
        let wants = self.replica.is_learner() || self.replica.is_catching_up();
        let due = self.catch_up_requested_at.is_none_or(|at| now >= at + self.timing.catch_up_interval);
        if !wants || !due {
            return Effects::default();
        }
        self.catch_up_requested_at = Some(now);
        let sources = self.catch_up_sources();
        if self.replica.latest_view().epoch == 0 {
            return self.announce_to_seeds(&sources);
        }
        if sources.is_empty() {
            return Effects::default();
        }
        // Half of the questions go to the head, which has to know of this machine; the others find out who that is.
        let source = sources[(self.unanswered_requests / 2) % sources.len()];
        self.unanswered_requests += 1;
        self.replica.request_catch_up(source)
    }

    /// Before there is a view: tells the seeds that this machine is there.
    fn announce_to_seeds(&self, seeds: &[SocketAddr]) -> Effects {
        let follow = Message::CatchUpRequest {
            epoch: 0,
            current: self.replica.version(),
            snapshot_progress: None,
            target: None,
            eligible: self.replica.is_eligible(),
        };
        let sends = seeds.iter().map(|seed| (*seed, follow.clone())).collect();
        Effects { sends, ..Effects::default() }
    }

    fn catch_up_sources(&self) -> Vec<SocketAddr> {
        let own = self.replica.own_member().peer;
        let voters = self.replica.latest_view().takeover_order().map(|voter| voter.peer);
        let mut sources: Vec<SocketAddr> = voters.filter(|peer| *peer != own).collect();
        for seed in self.seeds.iter().filter(|seed| **seed != own) {
            if !sources.contains(seed) {
                sources.push(*seed);
            }
        }
        sources
    }

    /// Goes on with this machine's own attempt to change the view.
    fn continue_attempt(&mut self, now: Duration) -> Effects {
        let Some(phase) = self.replica.phase() else { return Effects::default() };
        let in_phase = now.saturating_sub(self.phase_started.1);
        let timeout = match phase {
            Phase::Holding => self.timing.persist_timeout,
            Phase::Preparing | Phase::Accepting => self.timing.attempt_timeout,
        };
        if in_phase > timeout {
            self.replica.abandon_attempt();
            self.next_attempt_at = now + self.timing.takeover_stagger * self.takeover_rank();
            return Effects::default();
        }
        let mut due = Effects::default();
        if phase == Phase::Holding && in_phase > self.timing.persist_grace_period {
            due = self.replica.proceed_with_persisted();
        }
        if now >= self.requests_sent_at + self.timing.resend_interval {
            self.requests_sent_at = now;
            merge(&mut due, self.replica.resend_requests());
        }
        due
    }

    fn takeover_rank(&self) -> u32 {
        let own = &self.replica.own_member().identity;
        let turn = self.replica.view().takeover_order().position(|voter| voter.identity == *own);
        turn.map_or(0, |turn| turn as u32 + 1)
    }

    /// Begins to change the view where that is needed and this machine's turn.
    fn change_view(&mut self, now: Duration) -> Effects {
        let wished = match self.epoch {
            0 => self.bootstrap_view(now),
            _ if !self.replica.is_voter() => None,
            _ => self.desired_view(now),
        };
        let Some(wished) = wished else { return Effects::default() };
        self.next_attempt_at = now + self.timing.takeover_stagger * self.takeover_rank();
        self.replica.propose(wished)
    }

    fn desired_view(&self, now: Duration) -> Option<View> {
        let view = self.replica.view();
        let settling = now < self.view_installed_at + self.timing.suspect_after / 2;
        let fresh_start = now < self.started_at + self.timing.suspect_after;
        let quiet_for = self.last_attempt_message_at.map(|heard| now.saturating_sub(heard));
        let waited = self.timing.sealed_view_timeout + self.timing.takeover_stagger * self.takeover_rank();
        let stuck = quiet_for.is_some_and(|quiet| quiet > waited);
        let first_alive = view.takeover_order().find(|voter| self.is_alive(now, voter));
        let own_turn = first_alive == Some(self.replica.own_member()) && !self.replica.is_sealed();
        if !stuck && (!own_turn || settling || fresh_start) {
            return None;
        }
        let joiners = self.caught_up_joiners();
        let judged = ClusterStatus {
            is_alive: &|member| self.is_alive(now, member),
            is_lost: &|member| !self.contacted_within(now, member, self.timing.replace_after) && !fresh_start,
            is_caught_up: &|member| self.is_caught_up(member),
            joiners: &joiners,
        };
        let mut next = next_view(view, &judged, self.replica.rules());
        if self.replica.has(PlantedBug::ChainMayBeShort) {
            next = next.map(|next| View { chain: vec![self.replica.own_member().clone()], ..next });
        }
        let same = || View { epoch: view.epoch + 1, ..view.clone() };
        next.or_else(|| stuck.then(same))
    }

    /// The very first view, of the machines that are there; seeds try one after the other.
    fn bootstrap_view(&self, now: Duration) -> Option<View> {
        let rules = self.replica.rules();
        let turn = self.replica.view().voter_index(self.replica.own_member())? as u32;
        let since_start = now.saturating_sub(self.started_at);
        if since_start < self.timing.ping_interval * 2 * (turn + 1) {
            return None;
        }
        let seat = |member: &Member| self.replica.view().voter_index(member).unwrap_or(usize::MAX);
        let eligible =
            self.joiners.values().filter(|joiner| joiner.eligible).map(|joiner| joiner.member.clone());
        let mut voters: Vec<Member> = eligible.collect();
        if self.replica.is_eligible() {
            voters.push(self.replica.own_member().clone());
        }
        voters.sort_by_key(|member| (seat(member), member.identity.clone()));
        voters.dedup();
        voters.truncate(rules.voter_count());
        let patience = self.timing.bootstrap_grace_period + self.timing.takeover_stagger * turn;
        let enough = match since_start > patience {
            true => rules.min_chain_length(voters.len()),
            false => rules.voter_count(),
        };
        let chain = voters.clone();
        (voters.len() >= enough).then(|| View { epoch: 1, voters, chain, start: Version::initial::<S>() })
    }
}

/// Adds what is to be done to what is to be done.
fn merge(due: &mut Effects, more: Effects) {
    due.write_value |= more.write_value;
    due.write_record |= more.write_record;
    due.sends.extend(more.sends);
}
