//! One gateway's part in the group: consumes and produces datagrams, keeps the view and the peer counts.

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

/// Settings of a [`MembershipNode`].
#[derive(Clone, Copy, Debug)]
pub struct NodeConfig {
    /// Index of this gateway in the deployment's list.
    pub own_index: MemberIndex,
    /// Number of gateways in the list, this one included.
    pub member_count: MemberIndex,
    /// Index of this gateway's zone, if it has one.
    pub zone: Option<u8>,
    /// Datagrams per second that each gateway accepts.
    pub max_datagrams_per_s: f64,
    /// Whether the members keep counts among themselves.
    pub peer_counting: bool,
    /// Seed of the random choices of the failure detector.
    pub seed: u64,
}

/// Budget of count queries as a fraction of `max_datagrams_per_s`; on average, each gateway receives as much as it
/// sends. A query costs two datagrams. Probes and gossip use the rest, of which they need a tenth in normal operation.
const COUNT_SHARE: f64 = 0.4;
/// While the inflow exceeds this fraction of `max_datagrams_per_s`, a gateway sends no count queries: it would drop the
/// excess on arrival, and the replies first.
const MAX_INFLOW_FOR_COUNTS: f64 = 0.85;
/// Time constant of the average of the inflow, in seconds.
const INFLOW_AVERAGING_S: f64 = 0.7;
/// Budget of probes and gossip as a fraction of `max_datagrams_per_s`.
const GOSSIP_SHARE: f64 = 0.5;

/// The membership of one gateway: failure detector, peer counts and rate limits.
pub struct MembershipNode {
    config: NodeConfig,
    members: Members,
    counts: PeerCounts,
    gossip_budget: TokenBucket,
    count_budget: TokenBucket,
    receive_budget: TokenBucket,
    rejected: BTreeMap<RejectReason, u64>,
    /// Number of datagrams and bytes sent since the start.
    pub sent: (u64, u64),
    /// Number of datagrams and bytes received since the start, rejected ones included.
    pub received: (u64, u64),
    /// Decaying average of received datagrams per second, and the active time at which it was computed.
    inflow: (f64, Moment),
    out: Vec<(MemberIndex, Vec<u8>)>,
    left: bool,
}

impl OwnerLiveness for Members {
    fn live_generation(&self, index: MemberIndex) -> Option<u64> {
        // A suspect owns no counts from the first moment. Until the suspicion has spread, for about a second, a count
        // may have two owners and be too low; with an owner that does not respond there would be no total at all.
        let status = self.view().status(index)?;
        matches!(status.state, MemberState::Alive | MemberState::Unknown).then_some(status.generation)
    }
}

impl MembershipNode {
    /// Starts the gateway's membership at `now`, which also determines its generation.
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

    /// Processes a datagram that arrived from the address of member `from`, or from an unknown address. Errs if it is
    /// dropped, and counts the reason.
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
        // A malfunctioning member must not use up this gateway's CPU time.
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

    /// Runs all expired timers. To be called at [`Self::next_due_at`] and after input.
    pub fn run_due(&mut self, now: Moment) {
        self.members.run_due(now);
        let active_now = self.members.active_time(now);
        self.counts.run_due(active_now, &self.members);
        self.collect(active_now);
    }

    /// Returns when [`Self::run_due`] must be called next.
    pub fn next_due_at(&self, now: Moment) -> Moment {
        let next = self.members.next_due_at().min(now + MAX_ADVANCE);
        self.counts.next_due_at().map_or(next, |at| self.members.wall_time(at).min(next))
    }

    /// Returns whether a peer count can be queried now: the feature is enabled, this gateway is not isolated or
    /// leaving, and the budget allows it.
    pub fn can_count(&mut self, now: Moment) -> bool {
        let active_now = self.members.active_time(now);
        let is_saturated = self.inflow(active_now) > MAX_INFLOW_FOR_COUNTS * self.config.max_datagrams_per_s;
        self.config.peer_counting
            && !self.left
            && !is_saturated
            && self.count_budget.has_token(active_now)
            && !self.is_isolated(active_now)
    }

    /// Adds to a peer count. The total, or `None` if there is no reply, is returned later by [`Self::take_outcomes`].
    pub fn add_to_count(&mut self, now: Moment, key: CounterKey, amount: f64, conditional: ConditionalAdd) {
        let active_now = self.members.active_time(now);
        self.count_budget.try_take(active_now);
        self.counts.add(active_now, key, amount, conditional, &self.members);
    }

    /// Decays the average of the inflow to `active_now` and returns it.
    fn inflow(&mut self, active_now: Moment) -> f64 {
        let decayed = self.inflow.0 * (-active_now.since(self.inflow.1).secs() / INFLOW_AVERAGING_S).exp();
        self.inflow = (decayed, active_now);
        decayed
    }

    /// Returns whether this gateway or its zone is partitioned, so that a total among members would be meaningless.
    fn is_isolated(&self, active_now: Moment) -> bool {
        matches!(
            self.members.view().reachability(active_now),
            Reachability::Isolated | Reachability::OwnZoneIsolated
        )
    }

    /// Returns the outcomes of [`Self::add_to_count`] since the last call.
    pub fn take_outcomes(&mut self) -> Vec<(CounterKey, AddOutcome)> {
        self.counts.take_outcomes()
    }

    /// Returns among how many members a customer's quota is divided; see [`shares::quota_sharers`].
    pub fn quota_sharers(&mut self, now: Moment, first: u32, size: f64) -> f64 {
        let active_now = self.members.active_time(now);
        shares::quota_sharers(self.members.view(), active_now, first, size)
    }

    /// Announces that this gateway leaves; afterwards [`Self::can_count`] returns false.
    pub fn leave(&mut self, now: Moment) {
        self.left = true;
        self.members.leave(now);
        let active_now = self.members.active_time(now);
        self.collect(active_now);
    }

    /// Moves the datagrams of the failure detector and of the counts to the output.
    fn collect(&mut self, active_now: Moment) {
        let own_index = self.config.own_index;
        let frame = |kind, body: &[u8]| Frame { kind, body }.encode(self.config.member_count, own_index);
        for (to, body) in self.members.take_datagrams() {
            // A datagram above the budget is dropped, as if lost in transit.
            if to != own_index && self.gossip_budget.try_take(active_now) {
                self.out.push((to, frame(FrameKind::Membership, &body)));
            }
        }
        for (to, kind, body) in self.counts.take_datagrams() {
            self.out.push((to, frame(kind, &body)));
        }
    }

    /// Returns the datagrams to send now, each with its receiver.
    pub fn take_datagrams(&mut self, now: Moment) -> Vec<(MemberIndex, Vec<u8>)> {
        let active_now = self.members.active_time(now);
        self.collect(active_now);
        let out = std::mem::take(&mut self.out);
        let bytes: usize = out.iter().map(|it| it.1.len()).sum();
        self.sent = (self.sent.0 + out.len() as u64, self.sent.1 + bytes as u64);
        out
    }

    /// Returns the view of all members.
    pub fn view(&self) -> &MembershipView {
        self.members.view()
    }

    /// Returns which part of the group is unreachable from this gateway.
    pub fn reachability(&mut self, now: Moment) -> Reachability {
        let active_now = self.members.active_time(now);
        self.members.view().reachability(active_now)
    }

    /// Returns how many live members have a different view, and the longest time for which one of them has.
    pub fn disagreement(&mut self, now: Moment) -> (usize, Span) {
        let active_now = self.members.active_time(now);
        self.members.view().disagreement(active_now)
    }

    /// Returns the changes of members' states since the last call.
    pub fn take_changes(&mut self) -> Vec<StateChange> {
        self.members.view_mut().take_changes()
    }

    /// Returns the number of received datagrams that were dropped, by reason.
    pub fn rejected_datagrams(&self) -> &BTreeMap<RejectReason, u64> {
        &self.rejected
    }

    /// Returns how often the budgets were exhausted: of probes and gossip (datagrams dropped), and of count queries.
    pub fn over_budget(&self) -> (u64, u64) {
        (self.gossip_budget.rejected, self.count_budget.rejected)
    }

    /// Returns the total time in which this process did not run, as far as noticed.
    pub fn paused_time(&self) -> Span {
        self.members.paused_time()
    }

    /// Returns the number of count queries, of retries, and of queries without a reply.
    pub fn query_stats(&self) -> (u64, u64, u64) {
        self.counts.query_stats
    }

    /// Returns the number of counts that this gateway owns, and of those that it adds to.
    pub fn count_sizes(&self) -> (usize, usize) {
        self.counts.sizes()
    }

    /// Returns the present generation; it is raised when others declared this gateway failed while it ran.
    pub fn generation(&self) -> u64 {
        self.members.identity().generation
    }

    /// Returns the active time at `now`, for computing ages of statuses.
    pub fn active_time(&mut self, now: Moment) -> Moment {
        self.members.active_time(now)
    }
}
