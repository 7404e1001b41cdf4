//! A limiter's place among the others: datagrams in, datagrams out, a view, and counts.

use crate::clock::MAX_ADVANCE;
use crate::counting::{AddOutcome, CounterKey, OwnerLiveness, PeerCounts};
use crate::frame::{Frame, FrameKind, RejectReason};
use crate::members::Members;
use crate::shares;
use crate::token_bucket::TokenBucket;
use crate::view::{MemberState, MembershipView, Reachability, StateChange};
use crate::MemberIndex;
use fennelgauge::host::ConditionalAdd;
use fennelgauge::time::{Moment, Span};
use std::collections::BTreeMap;

/// What a limiter needs to know to take its place.
#[derive(Clone, Copy, Debug)]
pub struct NodeConfig {
    pub own_index: MemberIndex,
    /// Members in the list, this limiter included.
    pub member_count: MemberIndex,
    /// Its place among the zones.
    pub zone: Option<u8>,
    /// Datagrams a second that a limiter takes in.
    pub max_datagrams_per_s: f64,
    /// Whether counts are told among members.
    pub peer_counting: bool,
    pub seed: u64,
}

/// Shares of what a limiter takes in a second: each is sent about as much as it sends. A count costs two datagrams,
/// there and back; probes and news have what is left, of which they need a tenth on a quiet day.
const COUNT_SHARE: f64 = 0.4;
/// While more than this part of what it takes in comes in already, a limiter asks for no counts: what is beyond would be
/// dropped at its own door, answers first.
const MAX_INFLOW_FOR_COUNTS: f64 = 0.85;
/// Over which what comes in is averaged, in seconds.
const INFLOW_AVERAGING_S: f64 = 0.7;
const GOSSIP_SHARE: f64 = 0.5;

pub struct MembershipNode {
    config: NodeConfig,
    members: Members,
    counts: PeerCounts,
    gossip_budget: TokenBucket,
    count_budget: TokenBucket,
    receive_budget: TokenBucket,
    rejected: BTreeMap<RejectReason, u64>,
    /// Datagrams and bytes, sent and taken in.
    pub sent: (u64, u64),
    pub received: (u64, u64),
    /// Datagrams a second of late, as of a moment awake.
    inflow: (f64, Moment),
    out: Vec<(MemberIndex, Vec<u8>)>,
    left: bool,
}

impl OwnerLiveness for Members {
    fn live_generation(&self, index: MemberIndex) -> Option<u64> {
        // One that is suspected is passed over at once: the suspicion goes round within a second, and a count kept at
        // two places for as long says too little, while one kept nowhere says nothing.
        let status = self.view().status(index)?;
        matches!(status.state, MemberState::Alive | MemberState::Unknown).then_some(status.generation)
    }
}

impl MembershipNode {
    pub fn start(now: Moment, config: NodeConfig) -> Self {
        let members = Members::start(now, config.own_index, config.member_count, config.zone, config.seed);
        let budget = |share: f64| {
            TokenBucket::new(
                now,
                config.max_datagrams_per_s * share,
                (config.max_datagrams_per_s * share).max(4.0),
            )
        };
        Self {
            counts: PeerCounts::new(
                now,
                config.own_index,
                config.member_count,
                members.identity().generation,
            ),
            members,
            gossip_budget: budget(GOSSIP_SHARE),
            count_budget: budget(COUNT_SHARE),
            receive_budget: budget(2.0),
            rejected: BTreeMap::new(),
            sent: (0, 0),
            received: (0, 0),
            inflow: (0.0, now),
            out: Vec::new(),
            left: false,
            config,
        }
    }

    /// A datagram has come, from the address of that member; none: of no member. What is refused is counted.
    pub fn receive(
        &mut self,
        now: Moment,
        from: Option<MemberIndex>,
        bytes: &[u8],
    ) -> Result<(), RejectReason> {
        self.received = (self.received.0 + 1, self.received.1 + bytes.len() as u64);
        let active_now = self.members.active_time(now);
        self.inflow.0 = self.inflow(active_now) + 1.0 / INFLOW_AVERAGING_S;
        let result = self.process(now, active_now, from, bytes);
        if let Err(reason) = result {
            *self.rejected.entry(reason).or_default() += 1;
        }
        result
    }

    fn process(
        &mut self,
        now: Moment,
        active_now: Moment,
        from: Option<MemberIndex>,
        bytes: &[u8],
    ) -> Result<(), RejectReason> {
        let from = from.filter(|from| *from != self.config.own_index).ok_or(RejectReason::UnknownSender)?;
        let frame = Frame::decode(bytes, self.config.member_count, from)?;
        // A member gone mad must not take all of this limiter's time.
        if !self.receive_budget.try_take(active_now) {
            return Err(RejectReason::RateLimited);
        }
        match frame.kind {
            FrameKind::Membership => self.members.receive(now, from, frame.body)?,
            FrameKind::CountUpdates => self.counts.receive_updates(active_now, from, frame.body)?,
            FrameKind::CountTotals => self.counts.receive_totals(active_now, from, frame.body)?,
        }
        self.members.record_datagram(active_now, from);
        self.collect(active_now);
        Ok(())
    }

    /// Sees to what is due; to be called when [`Self::next`] says, and after input.
    pub fn run_due(&mut self, now: Moment) {
        self.members.run_due(now);
        let active_now = self.members.active_time(now);
        self.counts.run_due(active_now, &self.members);
        self.collect(active_now);
    }

    pub fn next_due_at(&self, now: Moment) -> Moment {
        let next = self.members.next_due_at().min(now + MAX_ADVANCE);
        self.counts.next_due_at().map_or(next, |at| self.members.wall_time(at).min(next))
    }

    /// Whether members can keep counts now: they may, some are heard, and the budget has room.
    pub fn can_count(&mut self, now: Moment) -> bool {
        let active_now = self.members.active_time(now);
        let is_saturated = self.inflow(active_now) > MAX_INFLOW_FOR_COUNTS * self.config.max_datagrams_per_s;
        self.config.peer_counting
            && !self.left
            && !is_saturated
            && self.count_budget.has_token(active_now)
            && !self.is_isolated(active_now)
    }

    /// Adds to a count among members; its total, or word that none will come, comes among [`Self::results`].
    pub fn add_to_count(&mut self, now: Moment, key: CounterKey, amount: f64, conditional: ConditionalAdd) {
        let active_now = self.members.active_time(now);
        self.count_budget.try_take(active_now);
        self.counts.add(active_now, key, amount, conditional, &self.members);
    }

    fn inflow(&mut self, active_now: Moment) -> f64 {
        let decayed = self.inflow.0 * (-active_now.since(self.inflow.1).secs() / INFLOW_AVERAGING_S).exp();
        self.inflow = (decayed, active_now);
        decayed
    }

    /// So few hear this limiter that a total among members would say nothing.
    fn is_isolated(&self, active_now: Moment) -> bool {
        matches!(
            self.members.view().reachability(active_now),
            Reachability::Isolated | Reachability::OwnZoneIsolated
        )
    }

    pub fn take_outcomes(&mut self) -> Vec<(CounterKey, AddOutcome)> {
        self.counts.take_outcomes()
    }

    /// Among how many a customer's quota is shared; see [`shares::quota_sharers`].
    pub fn quota_sharers(&mut self, now: Moment, first: u32, size: f64) -> f64 {
        let active_now = self.members.active_time(now);
        shares::quota_sharers(self.members.view(), active_now, first, size)
    }

    /// This limiter goes, and says so; nothing is asked of it any more.
    pub fn leave(&mut self, now: Moment) {
        self.left = true;
        self.members.leave(now);
        let active_now = self.members.active_time(now);
        self.collect(active_now);
    }

    fn collect(&mut self, active_now: Moment) {
        let own_index = self.config.own_index;
        let frame = |kind, body: &[u8]| Frame { kind, body }.encode(self.config.member_count, own_index);
        for (to, body) in self.members.take_datagrams() {
            // What the budget does not allow is as if lost on the way.
            if to != own_index && self.gossip_budget.try_take(active_now) {
                self.out.push((to, frame(FrameKind::Membership, &body)));
            }
        }
        for (to, kind, body) in self.counts.take_datagrams() {
            self.out.push((to, frame(kind, &body)));
        }
    }

    /// What is to be sent now: to whom, and the whole datagram.
    pub fn take_datagrams(&mut self, now: Moment) -> Vec<(MemberIndex, Vec<u8>)> {
        let active_now = self.members.active_time(now);
        self.collect(active_now);
        let out = std::mem::take(&mut self.out);
        let bytes: usize = out.iter().map(|it| it.1.len()).sum();
        self.sent = (self.sent.0 + out.len() as u64, self.sent.1 + bytes as u64);
        out
    }

    pub fn view(&self) -> &MembershipView {
        self.members.view()
    }

    pub fn reachability(&mut self, now: Moment) -> Reachability {
        let active_now = self.members.active_time(now);
        self.members.view().reachability(active_now)
    }

    /// How many members hold another view, and for how long one has.
    pub fn disagreement(&mut self, now: Moment) -> (usize, Span) {
        let active_now = self.members.active_time(now);
        self.members.view().disagreement(active_now)
    }

    pub fn take_changes(&mut self) -> Vec<StateChange> {
        self.members.view_mut().take_changes()
    }

    /// Datagrams dropped, by reason.
    pub fn rejected_datagrams(&self) -> &BTreeMap<RejectReason, u64> {
        &self.rejected
    }

    /// Datagrams of its own that the budget held back, of news and of counts.
    pub fn over_budget(&self) -> (u64, u64) {
        (self.gossip_budget.rejected, self.count_budget.rejected)
    }

    pub fn paused_time(&self) -> Span {
        self.members.paused_time()
    }

    /// Asks for totals so far, how many went again, and how many stayed unanswered.
    pub fn query_stats(&self) -> (u64, u64, u64) {
        self.counts.query_stats
    }

    /// Names of counts kept for others and of its own.
    pub fn count_sizes(&self) -> (usize, usize) {
        self.counts.sizes()
    }

    /// Its present life; another than that of its start where others had declared it failed.
    pub fn generation(&self) -> u64 {
        self.members.identity().generation
    }

    /// A moment of the time awake, for ages of facts.
    pub fn active_time(&mut self, now: Moment) -> Moment {
        self.members.active_time(now)
    }
}
