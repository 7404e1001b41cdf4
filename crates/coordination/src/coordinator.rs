//! Time around a replica: who answers, whether a majority confirms the view, when the view has to change, and whom a
//! machine asks for what it lacks. `now` is the time on the machine's own steady clock.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::liveness::Liveness;
use crate::replica::{Phase, PlantedBug};
use crate::{
    next_view, Identity, Judgement, Member, Message, Outcome, Replica, Replicated, Timing, Version, View,
};

/// Whether the view stood, asked at a certain moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Question {
    epoch: u64,
    round: u64,
}

/// What became of a question or a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    Waiting,
    /// A majority has confirmed the view; the write is on the disk of every link.
    Done,
    /// The view has changed: nothing can be said from here.
    Overtaken,
}

/// A machine that lacks no more than so many versions is level: the rest reaches it while the view changes.
const LEVEL_WITHIN: u64 = 8;

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
    started: Duration,
    installed_at: Duration,
    epoch: u64,
    /// When this machine last heard of an attempt to end its view, while it is sealed.
    attempt_heard: Option<Duration>,
    liveness: Liveness,
    joiners: BTreeMap<Identity, Joiner>,
    confirmed_at: Option<Duration>,
    pinged_at: Option<Duration>,
    phase_began: (Option<Phase>, Duration),
    asked_at: Duration,
    retry_at: Duration,
    followed_at: Option<Duration>,
    /// Counts questions without an answer, so that another machine is asked.
    unanswered: usize,
    copy_asked_at: Duration,
}

impl<S: Replicated> Coordinator<S> {
    /// `seeds` are asked for news while nobody else is known.
    pub fn new(replica: Replica<S>, timing: Timing, seeds: Vec<SocketAddr>, now: Duration) -> Self {
        Self {
            epoch: replica.view().epoch,
            attempt_heard: replica.is_sealed().then_some(now),
            replica,
            timing,
            seeds,
            started: now,
            installed_at: now,
            liveness: Liveness::default(),
            joiners: BTreeMap::new(),
            confirmed_at: None,
            pinged_at: None,
            phase_began: (None, now),
            asked_at: now,
            retry_at: now,
            followed_at: None,
            unanswered: 0,
            copy_asked_at: now,
        }
    }

    pub fn replica(&self) -> &Replica<S> {
        &self.replica
    }

    /// When this machine last knew that a majority was in its view, it being a link that has the value.
    pub fn confirmed_at(&self) -> Option<Duration> {
        self.confirmed_at
    }

    /// Since when this machine is in its view.
    pub fn installed_at(&self) -> Duration {
        self.installed_at
    }

    /// Makes a change as the head.
    pub fn write(&mut self, now: Duration, change: Vec<u8>) -> Result<(Version, Outcome), crate::NotTaken> {
        let written = self.replica.write(change);
        self.notice(now);
        written
    }

    /// Asks a majority now whether the view stands.
    pub fn ask_majority(&mut self, now: Duration) -> (Question, Outcome) {
        let (round, sends) = self.ping(now);
        (Question { epoch: self.epoch, round }, Outcome { sends, ..Outcome::default() })
    }

    /// Whether the view stood when a question was asked, so that what was committed here then was all there was.
    pub fn answer_to(&self, question: Question) -> Progress {
        if self.replica.has(PlantedBug::ReadWithoutContact) {
            return Progress::Done;
        }
        let sealed = self.replica.is_sealed();
        if self.epoch != question.epoch || !self.replica.is_voter() || sealed {
            return Progress::Overtaken;
        }
        match self.liveness.confirmed_round() >= question.round {
            true => Progress::Done,
            false => Progress::Waiting,
        }
    }

    /// What became of a version that this machine made as the head.
    pub fn progress_of(&self, written: Version) -> Progress {
        // A machine that was put out of its view goes on learning what others committed: that says nothing of its own write.
        if !self.replica.is_link() || self.replica.view().epoch != written.epoch {
            return Progress::Overtaken;
        }
        match self.replica.committed() >= Some(written) {
            true => Progress::Done,
            false => Progress::Waiting,
        }
    }

    /// The committed value, where this machine answers reads: it is the tail.
    pub fn value_for_reads(&self) -> Option<&std::sync::Arc<S>> {
        self.replica.committed_value().filter(|_| self.replica.is_tail())
    }

    /// Takes a message.
    pub fn handle(&mut self, now: Duration, from: &Member, message: Message) -> Outcome {
        match &message {
            Message::Pong { epoch, number, sealed, version } => {
                self.ponged(from, *epoch, *number, *sealed, *version)
            }
            Message::Follow { have, eligible, copying, .. } => {
                self.asked_to_join(now, from, *have, *eligible);
                if copying.is_some() {
                    self.copy_asked_at = now;
                }
            }
            Message::Level { .. } | Message::Steps { .. } | Message::Piece { .. } => {
                self.unanswered = 0;
                self.followed_at = Some(now);
            }
            Message::Prepare { ballot, .. }
            | Message::Hold { ballot, .. }
            | Message::Accept { ballot, .. } => {
                let promised = self.replica.record().acceptor.promised.as_ref();
                if promised.is_none_or(|promised| promised <= ballot) {
                    self.attempt_heard = None;
                }
            }
            _ => {}
        }
        let outcome = self.replica.handle(from, message);
        self.notice(now);
        outcome
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Duration) -> Outcome {
        let mut due = Outcome::default();
        if self.copy_asked_at + self.timing.copy_idle < now {
            self.replica.drop_snapshot();
        }
        if self.pinged_at.is_none_or(|at| now >= at + self.timing.ping_every) {
            self.pinged_at = Some(now);
            due.sends.extend(self.ping(now).1);
            merge(&mut due, self.replica.settle());
        }
        self.joiners.retain(|_, joiner| now < joiner.at + self.timing.joiner_holds);
        merge(&mut due, self.follow(now));
        merge(&mut due, self.press_on(now));
        if self.replica.phase().is_none() && now >= self.retry_at {
            merge(&mut due, self.change_view(now));
        }
        self.notice(now);
        due
    }

    /// Notices what a message has changed.
    fn notice(&mut self, now: Duration) {
        let epoch = self.replica.view().epoch;
        if epoch != self.epoch {
            self.epoch = epoch;
            self.installed_at = now;
            self.retry_at = now;
            self.liveness.begin_view(now, &self.replica.view().voters);
        }
        match self.replica.is_sealed() {
            true => self.attempt_heard = self.attempt_heard.or(Some(now)),
            false => self.attempt_heard = None,
        }
        if self.phase_began.0 != self.replica.phase() {
            self.phase_began = (self.replica.phase(), now);
            self.asked_at = now;
        }
    }

    /// Asks all voters; gives the number of the round.
    fn ping(&mut self, now: Duration) -> (u64, Vec<(SocketAddr, Message)>) {
        let number = self.liveness.begin_round(now);
        if !self.replica.is_voter() || self.epoch == 0 {
            return (number, Vec::new());
        }
        let own = self.replica.me().clone();
        if !self.replica.is_sealed() {
            self.count_standing(&own, number);
        }
        let ping = Message::Ping { epoch: self.epoch, number, committed: self.replica.committed() };
        let voters = self.replica.view().voters.iter().map(|voter| voter.peer);
        (number, voters.filter(|peer| *peer != own.peer).map(|peer| (peer, ping.clone())).collect())
    }

    fn ponged(&mut self, from: &Member, epoch: u64, number: u64, sealed: bool, version: Version) {
        let counts = self.liveness.hear(from, number, version);
        if counts && epoch == self.epoch && !sealed {
            self.count_standing(from, number);
        }
    }

    /// A voter was in this view, taking its writes, when it was asked in that round.
    fn count_standing(&mut self, voter: &Member, number: u64) {
        let view = self.replica.view();
        if view.seat(voter).is_none() {
            return;
        }
        let minority = self.replica.has(PlantedBug::MinorityConfirms);
        let majority = if minority { 1 } else { view.majority() };
        let Some(sent_at) = self.liveness.count_standing(voter, number, majority) else { return };
        if self.replica.is_level() && self.replica.is_link() {
            self.confirmed_at = self.confirmed_at.max(Some(sent_at));
        }
    }

    fn asked_to_join(&mut self, now: Duration, from: &Member, version: Version, eligible: bool) {
        let joiner = Joiner { member: from.clone(), version, eligible, at: now };
        self.joiners.insert(from.identity.clone(), joiner);
        // The same machine with another disk is gone.
        let replaced = |member: &Member| {
            member.identity.node == from.identity.node && member.identity.disk != from.identity.disk
        };
        self.joiners.retain(|_, joiner| !replaced(&joiner.member));
    }

    fn is_alive(&self, now: Duration, member: &Member) -> bool {
        self.heard_within(now, member, self.timing.down_after)
    }

    fn heard_within(&self, now: Duration, member: &Member, within: Duration) -> bool {
        let own = member.identity == self.replica.me().identity;
        own || self.liveness.heard_at(&member.identity).is_some_and(|at| now < at + within)
    }

    fn is_near(&self, version: Version) -> bool {
        let own = self.replica.version();
        let near = version.epoch == own.epoch && version.sequence + LEVEL_WITHIN >= own.sequence;
        near || self.replica.has(PlantedBug::EmptyIsLevel)
    }

    fn is_level(&self, member: &Member) -> bool {
        let own = member.identity == self.replica.me().identity;
        own || self.liveness.version_of(&member.identity).is_some_and(|version| self.is_near(version))
    }

    /// Machines that asked lately, may be voters, and lack next to nothing.
    fn level_joiners(&self) -> Vec<Member> {
        let level = self.joiners.values().filter(|joiner| joiner.eligible && self.is_near(joiner.version));
        let joiners = level.map(|joiner| joiner.member.clone());
        joiners.filter(|joiner| self.replica.view().seat(joiner).is_none()).collect()
    }

    /// Asks for what this machine lacks, or whether there is anything.
    fn follow(&mut self, now: Duration) -> Outcome {
        let wants = self.replica.is_follower() || self.replica.is_fetching();
        let due = self.followed_at.is_none_or(|at| now >= at + self.timing.follow_every);
        if !wants || !due {
            return Outcome::default();
        }
        self.followed_at = Some(now);
        let sources = self.sources();
        if self.replica.newest_view().epoch == 0 {
            return self.greet(&sources);
        }
        if sources.is_empty() {
            return Outcome::default();
        }
        // Half of the questions go to the head, which has to know of this machine; the others find out who that is.
        let source = sources[(self.unanswered / 2) % sources.len()];
        self.unanswered += 1;
        self.replica.follow(source)
    }

    /// Before there is a view: tells the seeds that this machine is there.
    fn greet(&self, seeds: &[SocketAddr]) -> Outcome {
        let follow = Message::Follow {
            epoch: 0,
            have: self.replica.version(),
            copying: None,
            wanted: None,
            eligible: self.replica.is_eligible(),
        };
        let sends = seeds.iter().map(|seed| (*seed, follow.clone())).collect();
        Outcome { sends, ..Outcome::default() }
    }

    fn sources(&self) -> Vec<SocketAddr> {
        let own = self.replica.me().peer;
        let voters = self.replica.newest_view().succession().map(|voter| voter.peer);
        let mut sources: Vec<SocketAddr> = voters.filter(|peer| *peer != own).collect();
        for seed in self.seeds.iter().filter(|seed| **seed != own) {
            if !sources.contains(seed) {
                sources.push(*seed);
            }
        }
        sources
    }

    /// Goes on with this machine's own attempt to change the view.
    fn press_on(&mut self, now: Duration) -> Outcome {
        let Some(phase) = self.replica.phase() else { return Outcome::default() };
        let in_phase = now.saturating_sub(self.phase_began.1);
        let timeout = match phase {
            Phase::Holding => self.timing.hold_timeout,
            Phase::Preparing | Phase::Accepting => self.timing.attempt_timeout,
        };
        if in_phase > timeout {
            self.replica.give_up_attempt();
            self.retry_at = now + self.timing.turn * self.own_turn();
            return Outcome::default();
        }
        let mut due = Outcome::default();
        if phase == Phase::Holding && in_phase > self.timing.hold_patience {
            due = self.replica.go_on_with_holders();
        }
        if now >= self.asked_at + self.timing.ask_again_after {
            self.asked_at = now;
            merge(&mut due, self.replica.ask_again());
        }
        due
    }

    fn own_turn(&self) -> u32 {
        let own = &self.replica.me().identity;
        let turn = self.replica.view().succession().position(|voter| voter.identity == *own);
        turn.map_or(0, |turn| turn as u32 + 1)
    }

    /// Begins to change the view where that is needed and this machine's turn.
    fn change_view(&mut self, now: Duration) -> Outcome {
        let wished = match self.epoch {
            0 => self.first_view(now),
            _ if !self.replica.is_voter() => None,
            _ => self.wished_view(now),
        };
        let Some(wished) = wished else { return Outcome::default() };
        self.retry_at = now + self.timing.turn * self.own_turn();
        self.replica.propose(wished)
    }

    fn wished_view(&self, now: Duration) -> Option<View> {
        let view = self.replica.view();
        let settling = now < self.installed_at + self.timing.down_after / 2;
        let fresh_start = now < self.started + self.timing.down_after;
        let quiet_for = self.attempt_heard.map(|heard| now.saturating_sub(heard));
        let waited = self.timing.sealed_too_long + self.timing.turn * self.own_turn();
        let stuck = quiet_for.is_some_and(|quiet| quiet > waited);
        let first_alive = view.succession().find(|voter| self.is_alive(now, voter));
        let own_turn = first_alive == Some(self.replica.me()) && !self.replica.is_sealed();
        if !stuck && (!own_turn || settling || fresh_start) {
            return None;
        }
        let joiners = self.level_joiners();
        let judged = Judgement {
            alive: &|member| self.is_alive(now, member),
            lost: &|member| !self.heard_within(now, member, self.timing.lost_after) && !fresh_start,
            level: &|member| self.is_level(member),
            joiners: &joiners,
        };
        let mut next = next_view(view, &judged, self.replica.rules());
        if self.replica.has(PlantedBug::ChainMayBeShort) {
            next = next.map(|next| View { chain: vec![self.replica.me().clone()], ..next });
        }
        let same = || View { epoch: view.epoch + 1, ..view.clone() };
        next.or_else(|| stuck.then(same))
    }

    /// The very first view, of the machines that are there; seeds try one after the other.
    fn first_view(&self, now: Duration) -> Option<View> {
        let rules = self.replica.rules();
        let turn = self.replica.view().seat(self.replica.me())? as u32;
        let since_start = now.saturating_sub(self.started);
        if since_start < self.timing.ping_every * 2 * (turn + 1) {
            return None;
        }
        let seat = |member: &Member| self.replica.view().seat(member).unwrap_or(usize::MAX);
        let eligible =
            self.joiners.values().filter(|joiner| joiner.eligible).map(|joiner| joiner.member.clone());
        let mut voters: Vec<Member> = eligible.collect();
        if self.replica.is_eligible() {
            voters.push(self.replica.me().clone());
        }
        voters.sort_by_key(|member| (seat(member), member.identity.clone()));
        voters.dedup();
        voters.truncate(rules.voters());
        let patience = self.timing.first_view_patience + self.timing.turn * turn;
        let enough = match since_start > patience {
            true => rules.fewest_links(voters.len()),
            false => rules.voters(),
        };
        let chain = voters.clone();
        (voters.len() >= enough).then(|| View { epoch: 1, voters, chain, start: Version::initial::<S>() })
    }
}

/// Adds what is to be done to what is to be done.
fn merge(due: &mut Outcome, more: Outcome) {
    due.write_value |= more.write_value;
    due.write_record |= more.write_record;
    due.sends.extend(more.sends);
}
