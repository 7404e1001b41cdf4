//! Timing around a replica: failure detection, quorum checks, when to attempt a view change, and from whom to catch up. `now`
//! is the time on the machine's own steady clock.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::liveness::Liveness;
use crate::replica::{Phase, PlantedBug};
use crate::{
    next_view, ClusterStatus, Effects, Identity, Member, Message, Replica, Replicated, Timing, Version, View,
};

/// A check, started at a certain moment, whether a majority of the voters is still in the view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuorumCheck {
    epoch: u64,
    round: u64,
}

/// The progress of a quorum check or a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// Not decided yet.
    Pending,
    /// A majority has confirmed the view, or the write is durable on every link.
    Done,
    /// The view has changed, so that this machine cannot tell the outcome.
    Superseded,
}

/// A machine that lacks at most this many versions counts as caught up: it receives the rest during the view change.
const CAUGHT_UP_MAX_LAG: u64 = 8;

/// A machine that has sent a catch-up request and may be made a voter.
#[derive(Clone, Debug)]
struct Joiner {
    member: Member,
    version: Version,
    eligible: bool,
    /// When the request arrived.
    at: Duration,
}

/// Drives a [`Replica`]: sends heartbeats, detects failures, starts view changes and requests catch-up.
#[derive(Clone, Debug)]
pub struct Coordinator<S> {
    replica: Replica<S>,
    timing: Timing,
    seeds: Vec<SocketAddr>,
    views_compared_at: Option<Duration>,
    started_at: Duration,
    view_installed_at: Duration,
    epoch: u64,
    /// While the view is sealed: when this machine last received a message of an attempt to end it.
    last_attempt_message_at: Option<Duration>,
    liveness: Liveness,
    joiners: BTreeMap<Identity, Joiner>,
    quorum_confirmed_at: Option<Duration>,
    pinged_at: Option<Duration>,
    phase_started: (Option<Phase>, Duration),
    requests_sent_at: Duration,
    next_attempt_at: Duration,
    catch_up_requested_at: Option<Duration>,
    /// Catch-up requests since the last answer; selects the next machine to ask.
    unanswered_requests: usize,
    snapshot_requested_at: Duration,
}

impl<S: Replicated> Coordinator<S> {
    /// Creates the coordinator of a replica. The `seeds` are the addresses to contact while no voters are known, and
    /// through which machines without a view find those that have one.
    pub fn new(replica: Replica<S>, timing: Timing, seeds: Vec<SocketAddr>, now: Duration) -> Self {
        Self {
            epoch: replica.view().epoch,
            last_attempt_message_at: replica.is_sealed().then_some(now),
            replica,
            timing,
            seeds,
            views_compared_at: None,
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

    /// Replaces the seeds: the operator's list changes while a machine runs.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
    }

    /// Whether this machine is to compare its view with those of the seeds; the seeds should be up to date then.
    pub fn is_view_comparison_due(&self, now: Duration) -> bool {
        let interval = match self.replica.latest_view().epoch {
            0 => self.timing.catch_up_interval,
            _ => self.timing.view_comparison_interval,
        };
        self.views_compared_at.is_none_or(|at| now >= at + interval)
    }

    /// Returns the intervals and timeouts.
    pub(crate) fn timing(&self) -> &Timing {
        &self.timing
    }

    /// Returns the replica.
    pub fn replica(&self) -> &Replica<S> {
        &self.replica
    }

    /// Returns the newest time at which a majority is known to have been in this machine's view, while it was a caught-up link.
    pub fn quorum_confirmed_at(&self) -> Option<Duration> {
        self.quorum_confirmed_at
    }

    /// Returns a moment up to which every acknowledged change is in the committed value. Returns `None` while a write is not
    /// known here to be committed, since the head may have acknowledged it already.
    pub fn committed_value_confirmed_at(&self) -> Option<Duration> {
        self.replica.committed_value().and(self.quorum_confirmed_at)
    }

    /// Returns when this machine entered its view.
    pub fn view_installed_at(&self) -> Duration {
        self.view_installed_at
    }

    /// Makes a change as the head.
    ///
    /// # Errors
    /// If this machine is not the head, is not ready for the next write, or the change is invalid.
    pub fn write(
        &mut self,
        now: Duration,
        change: Vec<u8>,
    ) -> Result<(Version, Effects), crate::WriteRefusal> {
        let written = self.replica.write(change);
        self.track_changes(now);
        written
    }

    /// Starts a check whether a majority of the voters is still in the view.
    pub fn start_quorum_check(&mut self, now: Duration) -> (QuorumCheck, Effects) {
        let (round, sends) = self.ping(now);
        (QuorumCheck { epoch: self.epoch, round }, Effects { sends, ..Effects::default() })
    }

    /// Returns the progress of a quorum check. Once it is done, everything that was committed when the check started was known
    /// to be committed here.
    pub fn quorum_check_progress(&self, check: QuorumCheck) -> Progress {
        if self.replica.has(PlantedBug::ReadWithoutContact) {
            return Progress::Done;
        }
        let sealed = self.replica.is_sealed();
        if self.epoch != check.epoch || !self.replica.is_voter() || sealed {
            return Progress::Superseded;
        }
        match self.liveness.confirmed_round() >= check.round {
            true => Progress::Done,
            false => Progress::Pending,
        }
    }

    /// Returns the progress of a write that this machine made as the head.
    pub fn write_progress(&self, written: Version) -> Progress {
        // A machine that was removed from the chain still learns versions that others committed; these say nothing about its
        // own write.
        if !self.replica.is_link() || self.replica.view().epoch != written.epoch {
            return Progress::Superseded;
        }
        match self.replica.committed_version() >= Some(written) {
            true => Progress::Done,
            false => Progress::Pending,
        }
    }

    /// Returns the committed value if this machine is the tail and so answers reads.
    pub fn readable_value(&self) -> Option<&std::sync::Arc<S>> {
        self.replica.committed_value().filter(|_| self.replica.is_tail())
    }

    /// Handles a message from another member.
    pub fn handle(&mut self, now: Duration, from: &Member, message: Message) -> Effects {
        match &message {
            Message::Pong { epoch, round, sealed, version } => {
                self.record_pong(from, *epoch, *round, *sealed, *version)
            }
            Message::CatchUpRequest { current, eligible, snapshot_progress, .. } => {
                self.record_join_request(now, from, *current, *eligible);
                if snapshot_progress.is_some() {
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

    /// Does everything that is due at `now`.
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
        merge(&mut due, self.compare_views(now));
        merge(&mut due, self.request_catch_up(now));
        merge(&mut due, self.continue_attempt(now));
        if self.replica.phase().is_none() && now >= self.next_attempt_at {
            merge(&mut due, self.change_view(now));
        }
        self.track_changes(now);
        due
    }

    /// Updates timers after the view, the seal or the attempt's phase may have changed.
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

    /// Starts a ping round to all voters; returns its number and the messages.
    fn ping(&mut self, now: Duration) -> (u64, Vec<(SocketAddr, Message)>) {
        let round = self.liveness.begin_round(now);
        if !self.replica.is_voter() || self.epoch == 0 {
            return (round, Vec::new());
        }
        let own = self.replica.own_member().clone();
        if !self.replica.is_sealed() {
            self.record_confirmation(&own, round);
        }
        let ping = Message::Ping { epoch: self.epoch, round, committed: self.replica.committed_version() };
        let voters = self.replica.view().voters.iter().map(|voter| voter.peer);
        (round, voters.filter(|peer| *peer != own.peer).map(|peer| (peer, ping.clone())).collect())
    }

    fn record_pong(&mut self, from: &Member, epoch: u64, round: u64, sealed: bool, version: Version) {
        let is_tracked = self.liveness.record_answer(from, round, version);
        if is_tracked && epoch == self.epoch && !sealed {
            self.record_confirmation(from, round);
        }
    }

    /// Records that a voter was in this view, unsealed, when it answered that round.
    fn record_confirmation(&mut self, voter: &Member, round: u64) {
        let view = self.replica.view();
        if view.voter_index(voter).is_none() {
            return;
        }
        let accepts_minority = self.replica.has(PlantedBug::MinorityConfirms);
        let majority = if accepts_minority { 1 } else { view.majority() };
        let Some(sent_at) = self.liveness.record_confirmation(voter, round, majority) else { return };
        if self.replica.is_caught_up() && self.replica.is_link() {
            self.quorum_confirmed_at = self.quorum_confirmed_at.max(Some(sent_at));
        }
    }

    fn record_join_request(&mut self, now: Duration, from: &Member, version: Version, eligible: bool) {
        let joiner = Joiner { member: from.clone(), version, eligible, at: now };
        self.joiners.insert(from.identity.clone(), joiner);
        // The same machine with its former disk does not come back.
        let replaced = |member: &Member| {
            member.identity.node == from.identity.node && member.identity.disk != from.identity.disk
        };
        self.joiners.retain(|_, joiner| !replaced(&joiner.member));
    }

    fn is_alive(&self, now: Duration, member: &Member) -> bool {
        self.contacted_within(now, member, self.timing.suspect_after)
    }

    fn contacted_within(&self, now: Duration, member: &Member, within: Duration) -> bool {
        let is_self = member.identity == self.replica.own_member().identity;
        is_self || self.liveness.last_alive_at(&member.identity).is_some_and(|at| now < at + within)
    }

    fn is_nearly_caught_up(&self, version: Version) -> bool {
        let own = self.replica.version();
        let is_near = version.epoch == own.epoch && version.sequence + CAUGHT_UP_MAX_LAG >= own.sequence;
        is_near || self.replica.has(PlantedBug::EmptyIsLevel)
    }

    fn is_caught_up(&self, member: &Member) -> bool {
        let is_self = member.identity == self.replica.own_member().identity;
        is_self
            || self
                .liveness
                .version_of(&member.identity)
                .is_some_and(|version| self.is_nearly_caught_up(version))
    }

    /// Returns the machines outside the view that may become voters and are nearly caught up.
    fn caught_up_joiners(&self) -> Vec<Member> {
        let caught_up = self
            .joiners
            .values()
            .filter(|joiner| joiner.eligible && self.is_nearly_caught_up(joiner.version));
        let joiners = caught_up.map(|joiner| joiner.member.clone());
        joiners.filter(|joiner| self.replica.view().voter_index(joiner).is_none()).collect()
    }

    /// Compares this machine's view with those of the seeds if that is due. Every machine does so, with a view or without:
    /// a seed may have started without a disk after all machines were down, and a machine that starts asks only seeds.
    fn compare_views(&mut self, now: Duration) -> Effects {
        let is_planted = self.replica.has(PlantedBug::SeedsAreNotTold);
        if !self.is_view_comparison_due(now) || is_planted {
            return Effects::default();
        }
        self.views_compared_at = Some(now);
        self.replica.start_view_comparison(&self.seeds)
    }

    /// Requests catch-up if this machine is a learner or is fetching something, and a request is due.
    fn request_catch_up(&mut self, now: Duration) -> Effects {
        let wants_catch_up = self.replica.is_learner() || self.replica.is_catching_up();
        let due = self.catch_up_requested_at.is_none_or(|at| now >= at + self.timing.catch_up_interval);
        if !wants_catch_up || !due {
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
        // Each machine is asked twice in a row, the head first: it must know of this machine to make it a voter. If the head is
        // unknown or gone, asking the others finds the new one.
        let source = sources[(self.unanswered_requests / 2) % sources.len()];
        self.unanswered_requests += 1;
        self.replica.request_catch_up(source)
    }

    /// Announces this machine to the seeds, before there is a first view.
    fn announce_to_seeds(&self, seeds: &[SocketAddr]) -> Effects {
        let request = Message::CatchUpRequest {
            epoch: 0,
            current: self.replica.version(),
            snapshot_progress: None,
            target: None,
            eligible: self.replica.is_eligible(),
        };
        let sends = seeds.iter().map(|seed| (*seed, request.clone())).collect();
        Effects { sends, ..Effects::default() }
    }

    /// Returns the machines to ask for what this one lacks: voters in takeover order, then seeds.
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

    /// Continues this machine's attempt to change the view: resends requests, or abandons it after a timeout.
    fn continue_attempt(&mut self, now: Duration) -> Effects {
        let Some(phase) = self.replica.phase() else { return Effects::default() };
        let in_phase = now.saturating_sub(self.phase_started.1);
        let timeout = match phase {
            Phase::Persisting => self.timing.persist_timeout,
            Phase::Preparing | Phase::Accepting => self.timing.attempt_timeout,
        };
        if in_phase > timeout {
            self.replica.abandon_attempt();
            self.next_attempt_at = now + self.timing.takeover_stagger * self.takeover_rank();
            return Effects::default();
        }
        let mut due = Effects::default();
        if phase == Phase::Persisting && in_phase > self.timing.persist_grace_period {
            due = self.replica.proceed_with_persisted();
        }
        if now >= self.requests_sent_at + self.timing.resend_interval {
            self.requests_sent_at = now;
            merge(&mut due, self.replica.resend_requests());
        }
        due
    }

    /// Returns this machine's rank in the takeover order, from 1; 0 if it is not in the order.
    fn takeover_rank(&self) -> u32 {
        let own = &self.replica.own_member().identity;
        let index = self.replica.view().takeover_order().position(|voter| voter.identity == *own);
        index.map_or(0, |index| index as u32 + 1)
    }

    /// Starts an attempt to change the view if that is needed and it is this machine's turn.
    fn change_view(&mut self, now: Duration) -> Effects {
        let proposal = match self.epoch {
            0 => self.bootstrap_view(now),
            _ if !self.replica.is_voter() => None,
            _ => self.desired_view(now),
        };
        let Some(proposal) = proposal else { return Effects::default() };
        self.next_attempt_at = now + self.timing.takeover_stagger * self.takeover_rank();
        self.replica.propose(proposal)
    }

    /// Returns the view to propose: a changed one or, if the present view is sealed and no attempt makes progress, one with the
    /// same members. None if this machine should not propose now.
    fn desired_view(&self, now: Duration) -> Option<View> {
        let view = self.replica.view();
        let just_installed = now < self.view_installed_at + self.timing.suspect_after / 2;
        let just_started = now < self.started_at + self.timing.suspect_after;
        let idle_for = self.last_attempt_message_at.map(|at| now.saturating_sub(at));
        let timeout = self.timing.sealed_view_timeout + self.timing.takeover_stagger * self.takeover_rank();
        let stuck = idle_for.is_some_and(|idle| idle > timeout);
        let first_alive = view.takeover_order().find(|voter| self.is_alive(now, voter));
        let is_own_turn = first_alive == Some(self.replica.own_member()) && !self.replica.is_sealed();
        if !stuck && (!is_own_turn || just_installed || just_started) {
            return None;
        }
        let joiners = self.caught_up_joiners();
        let status = ClusterStatus {
            is_alive: &|member| self.is_alive(now, member),
            is_lost: &|member| {
                !self.contacted_within(now, member, self.timing.replace_after) && !just_started
            },
            is_caught_up: &|member| self.is_caught_up(member),
            joiners: &joiners,
        };
        let mut next = next_view(view, &status, self.replica.rules());
        if self.replica.has(PlantedBug::ChainMayBeShort) {
            next = next.map(|next| View { chain: vec![self.replica.own_member().clone()], ..next });
        }
        let same_members = || View { epoch: view.epoch + 1, ..view.clone() };
        next.or_else(|| stuck.then(same_members))
    }

    /// Returns the first view, formed of the machines that have announced themselves. The seeds try one after the other.
    fn bootstrap_view(&self, now: Duration) -> Option<View> {
        let rules = self.replica.rules();
        let index = self.replica.view().voter_index(self.replica.own_member())? as u32;
        let since_start = now.saturating_sub(self.started_at);
        if since_start < self.timing.ping_interval * 2 * (index + 1) {
            return None;
        }
        let voter_index = |member: &Member| self.replica.view().voter_index(member).unwrap_or(usize::MAX);
        let eligible =
            self.joiners.values().filter(|joiner| joiner.eligible).map(|joiner| joiner.member.clone());
        let mut voters: Vec<Member> = eligible.collect();
        if self.replica.is_eligible() {
            voters.push(self.replica.own_member().clone());
        }
        voters.sort_by_key(|member| (voter_index(member), member.identity.clone()));
        voters.dedup();
        voters.truncate(rules.voter_count());
        let grace_period = self.timing.bootstrap_grace_period + self.timing.takeover_stagger * index;
        let min_voters = match since_start > grace_period {
            true => rules.min_chain_length(voters.len()),
            false => rules.voter_count(),
        };
        let chain = voters.clone();
        (voters.len() >= min_voters).then(|| View { epoch: 1, voters, chain, start: Version::initial::<S>() })
    }
}

/// Adds the effects `more` to `due`.
fn merge(due: &mut Effects, more: Effects) {
    due.write_value |= more.write_value;
    due.write_record |= more.write_record;
    due.sends.extend(more.sends);
}
