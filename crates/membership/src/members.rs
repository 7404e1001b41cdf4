//! Failure detection and gossip with the SWIM protocol, as implemented by the library `foca`. This module adds
//! generations that tell restarts at the same address apart, announced departures, tolerance of pauses of this process,
//! and the view.

use crate::clock::{ActiveClock, MAX_ADVANCE};
use crate::codec::{encode_suspicion_probe, CodecError, IdentityCodec, ParsedMessage};
use crate::frame::{RejectReason, MAX_BODY_BYTES};
use crate::identity::{Identity, NO_ZONE};
use crate::view::{MemberState, MembershipView};
use crate::MemberIndex;
use fennelgauge::time::{Moment, Span};
use foca::{BroadcastHandler, Config, Foca, Invalidates, Notification, PeriodicParams, Runtime, Timer};
use rand::seq::IteratorRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::num::{NonZeroU8, NonZeroUsize};
use std::rc::Rc;
use std::time::Duration;

/// Each datagram begins with the digest of its sender's view.
const DIGEST_BYTES: usize = 4;
/// Largest `foca` message that fits into a frame.
const MAX_MESSAGE_BYTES: usize = MAX_BODY_BYTES - DIGEST_BYTES;
/// Interval at which each member probes one other.
const PROBE_PERIOD: Duration = Duration::from_millis(1_000);
/// How long a direct probe may stay unacknowledged before indirect probes are sent: about ten times the longest round
/// trip of the deployments, so that a loaded machine is not mistaken for a lost datagram.
const ACK_TIMEOUT: Duration = Duration::from_millis(350);
/// Number of members that are asked to probe indirectly.
const INDIRECT_PROBES: usize = 3;
/// How long a suspect may refute the suspicion, multiplied by the decimal logarithm of the number of members, because
/// the time that gossip needs to reach all members grows likewise. With 30% loss and twenty members the test
/// `loss_duplication_and_reordering_cause_no_false_failure` saw no false failure; with half this timeout it did.
const SUSPICION_TIMEOUT: Duration = Duration::from_millis(3_000);
/// An unacknowledged probe is sent again after these fractions of [`ACK_TIMEOUT`], before indirect probes: a resent
/// probe costs one datagram, indirect probes cost a dozen.
const PROBE_RESEND_FRACTIONS: [f64; 2] = [0.34, 0.67];
/// A member that was heard directly within this time is not declared failed. Any other suspect first gets
/// [`FINAL_PROBES`] more probes, direct and indirect. Without this, a gateway that reaches only a few members declares
/// those failed whose refutations did not reach it.
const RECENTLY_HEARD: Span = Span::from_millis(2_000);
/// Number of rounds of final probes before a suspect is declared failed.
const FINAL_PROBES: u32 = 4;
/// Time between two rounds of final probes.
const FINAL_PROBE_INTERVAL: Span = Span::from_millis(450);
/// Number of members through which each round also probes indirectly.
const FINAL_PROBE_RELAYS: usize = 4;
/// Interval at which pending gossip is sent apart from probes.
const GOSSIP_PERIOD: Duration = Duration::from_millis(500);
/// How many times each member transmits an update, multiplied by the decimal logarithm of the number of members.
const TRANSMISSIONS_FACTOR: f64 = 5.0;
/// Interval at which one failed member is sent an announcement. Otherwise two partitions that each believe the other
/// failed would never merge again.
const ANNOUNCE_TO_FAILED_PERIOD: Duration = Duration::from_millis(1_000);
/// First interval between announcements to members in state unknown; it grows by a quarter each time up to
/// [`MAX_ANNOUNCE_INTERVAL`]. The reply fills a datagram and names about twenty members, so that among a hundred
/// gateways each knows nearly all after ten announcements.
const MIN_ANNOUNCE_INTERVAL: Span = Span::from_millis(200);
/// Longest interval between announcements to unknown members.
const MAX_ANNOUNCE_INTERVAL: Span = Span::from_millis(8_000);
/// A generation further ahead of this gateway's clock is rejected, since no clock is wrong by that much. If it were
/// accepted, the member that it names could no longer take part.
const MAX_GENERATION_AHEAD: Span = Span::from_millis(24 * 3_600 * 1_000);

/// Members that announced their departure, with the generation that left; spread by gossip.
#[derive(Clone, Default)]
struct Departures {
    member_count: MemberIndex,
    left: Rc<RefCell<BTreeMap<MemberIndex, u64>>>,
}

impl Departures {
    fn has_left(&self, identity: &Identity) -> bool {
        self.left.borrow().get(&identity.index).is_some_and(|generation| *generation >= identity.generation)
    }
}

/// Announcement that one generation of a member leaves.
struct Departure {
    index: MemberIndex,
    generation: u64,
}

impl Departure {
    fn encode(&self) -> Vec<u8> {
        let mut out = self.index.to_be_bytes().to_vec();
        out.extend(self.generation.to_be_bytes());
        out
    }

    fn decode(bytes: &[u8]) -> Result<Self, CodecError> {
        let bytes: [u8; 10] = bytes.try_into().map_err(|_| CodecError::TooShort)?;
        let [n0, n1, generation @ ..] = bytes;
        Ok(Self { index: u16::from_be_bytes([n0, n1]), generation: u64::from_be_bytes(generation) })
    }
}

impl Invalidates for Departure {
    fn invalidates(&self, other: &Self) -> bool {
        self.index == other.index && self.generation >= other.generation
    }
}

impl BroadcastHandler<Identity> for Departures {
    type Key = Departure;
    type Error = CodecError;

    fn receive_item(&mut self, data: &[u8], _: Option<&Identity>) -> Result<Option<Departure>, CodecError> {
        let departure = Departure::decode(data)?;
        // Indexes beyond the list are rejected, since each would take memory.
        if departure.index >= self.member_count {
            return Err(CodecError::TooShort);
        }
        let mut left = self.left.borrow_mut();
        let known = left.entry(departure.index).or_default();
        let new = departure.generation > *known;
        *known = (*known).max(departure.generation);
        Ok(new.then_some(departure))
    }
}

/// Datagrams and timers that `foca` requested and that are not yet handled.
#[derive(Default)]
struct PendingEffects {
    sends: Vec<(MemberIndex, Vec<u8>)>,
    timers: Vec<(Duration, Timer<Identity>)>,
}

impl Runtime<Identity> for PendingEffects {
    fn notify(&mut self, _: Notification<'_, Identity>) {}

    fn send_to(&mut self, to: Identity, data: &[u8]) {
        self.sends.push((to.index, data.to_vec()));
    }

    fn submit_after(&mut self, event: Timer<Identity>, after: Duration) {
        self.timers.push((after, event));
    }
}

/// A suspected member, with the SWIM incarnation in which it is suspected.
type Suspect = (Identity, u16);

/// Progress of a suspicion towards a failure.
struct Suspicion {
    since: Moment,
    /// Rounds of final probes sent so far.
    final_probes: u32,
    /// The suspicion is not checked again before this moment.
    next_check: Moment,
}

/// What happens when a timer expires.
enum TimerAction {
    /// Passes the timer to `foca`.
    Foca(Timer<Identity>),
    /// Sends another final probe to the suspect or declares it failed.
    CheckSuspect(Suspect),
    /// Sends the probe (target, time of the first transmission, body) again unless the target was heard since.
    ResendProbe(MemberIndex, Moment, Vec<u8>),
}

/// Failure detector: `foca` with the timers, datagrams and view around it.
pub struct Members {
    foca: Foca<Identity, IdentityCodec, ChaCha8Rng, Departures>,
    effects: PendingEffects,
    /// Ordered by active time, then by order of creation.
    timers: BTreeMap<(Moment, u64), TimerAction>,
    next_timer_id: u64,
    clock: ActiveClock,
    recent_pauses: u32,
    departures: Departures,
    view: MembershipView,
    suspicions: BTreeMap<Suspect, Suspicion>,
    announce_at: Moment,
    announce_interval: Span,
    rng: ChaCha8Rng,
    left: bool,
}

fn to_span(duration: Duration) -> Span {
    Span::from_micros(u64::try_from(duration.as_micros()).unwrap_or(u64::MAX))
}

fn log_size(member_count: MemberIndex) -> f64 {
    f64::from(member_count.max(10)).log10()
}

/// Returns the suspicion timeout; each recent pause of this process extends it by its basic length.
fn suspicion_timeout(member_count: MemberIndex, recent_pauses: u32) -> Duration {
    SUSPICION_TIMEOUT.mul_f64(log_size(member_count) * f64::from(1 + recent_pauses))
}

fn config(member_count: MemberIndex, recent_pauses: u32) -> Config {
    let most =
        NonZeroU8::new((log_size(member_count) * TRANSMISSIONS_FACTOR) as u8).unwrap_or(NonZeroU8::MIN);
    let one = NonZeroUsize::MIN;
    let each = |frequency: Duration| Some(PeriodicParams { frequency, num_members: one });
    Config {
        probe_period: PROBE_PERIOD,
        probe_rtt: ACK_TIMEOUT,
        num_indirect_probes: NonZeroUsize::new(INDIRECT_PROBES).unwrap_or(one),
        max_transmissions: most,
        suspect_to_down_after: suspicion_timeout(member_count, recent_pauses),
        remove_down_after: None,
        max_packet_size: NonZeroUsize::new(MAX_MESSAGE_BYTES).unwrap_or(one),
        notify_down_members: true,
        periodic_announce: None,
        periodic_announce_to_down_members: each(ANNOUNCE_TO_FAILED_PERIOD),
        periodic_gossip: each(GOSSIP_PERIOD),
    }
}

impl Members {
    /// Starts member `own_index` of `member_count` in the zone with index `zone`. Its generation is `now` in
    /// milliseconds of Unix time.
    pub fn start(
        now: Moment,
        own_index: MemberIndex,
        member_count: MemberIndex,
        zone: Option<u8>,
        seed: u64,
    ) -> Self {
        let zone = zone.unwrap_or(NO_ZONE);
        let identity =
            Identity { index: own_index, generation: (now.micros() / 1_000).min((1 << 47) - 1), zone };
        let departures = Departures { member_count, ..Departures::default() };
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let foca_rng = ChaCha8Rng::seed_from_u64(rng.random());
        let foca = Foca::with_custom_broadcast(
            identity,
            config(member_count, 0),
            foca_rng,
            IdentityCodec,
            departures.clone(),
        );
        Self {
            foca,
            effects: PendingEffects::default(),
            timers: BTreeMap::new(),
            next_timer_id: 0,
            clock: ActiveClock::new(now),
            recent_pauses: 0,
            departures,
            view: MembershipView::new(own_index, zone, member_count, now),
            suspicions: BTreeMap::new(),
            announce_at: now,
            announce_interval: MIN_ANNOUNCE_INTERVAL,
            rng,
            left: false,
        }
    }

    /// Returns the view of all members.
    pub fn view(&self) -> &MembershipView {
        &self.view
    }

    /// Returns the view for modification.
    pub fn view_mut(&mut self) -> &mut MembershipView {
        &mut self.view
    }

    /// Returns this member's present identity.
    pub fn identity(&self) -> Identity {
        *self.foca.identity()
    }

    /// Takes a reading of the system clock and returns the active time; adapts the suspicion timeout to recent pauses.
    pub fn active_time(&mut self, now: Moment) -> Moment {
        let active_now = self.clock.advance(now);
        if self.clock.recent_pauses() != self.recent_pauses {
            self.recent_pauses = self.clock.recent_pauses();
            // Errs only if settings differ that `foca` can't change at run time; these stay the same.
            let _ =
                self.foca.set_config(config(self.view.statuses().len() as MemberIndex, self.recent_pauses));
        }
        active_now
    }

    /// Converts a moment of active time to system time.
    pub fn wall_time(&self, active_now: Moment) -> Moment {
        self.clock.wall_time(active_now)
    }

    /// Returns the total time that was excluded from active time as pauses.
    pub fn paused_time(&self) -> Span {
        self.clock.total_paused
    }

    /// Processes the body of a membership frame from member `from`. Errs if the body is malformed, names another
    /// sender, or comes from an earlier generation of the sender.
    pub fn receive(&mut self, now: Moment, from: MemberIndex, body: &[u8]) -> Result<(), RejectReason> {
        let active_now = self.active_time(now);
        let (digest, body) = body.split_first_chunk::<DIGEST_BYTES>().ok_or(RejectReason::Malformed)?;
        let digest = u32::from_be_bytes(*digest);
        let message = ParsedMessage::new(body).map_err(|_| RejectReason::Malformed)?;
        let identities = message.mentioned();
        if identities[0].index != from {
            return Err(RejectReason::UnknownSender);
        }
        let member_count = self.view.statuses().len();
        let latest = (now + MAX_GENERATION_AHEAD).micros() / 1_000;
        if identities.iter().any(|it| usize::from(it.index) >= member_count || it.generation > latest) {
            return Err(RejectReason::Malformed);
        }
        let own = self.identity();
        if let Some(later) =
            identities.iter().filter(|it| it.index == own.index && it.generation > own.generation).max()
        {
            // This gateway's clock was set back before the restart: other members know a later generation of it.
            let next = own.with_generation_after(later.generation);
            if !self.left && self.foca.change_identity(next, &mut self.effects).is_err() {
                return Err(RejectReason::Malformed);
            }
        }
        let known = self.view.status(from).copied().unwrap_or_default();
        self.apply_unknown_members(message.alive());
        let body = message.with_doubted_failures(|failed| self.doubts_failure(active_now, failed));
        let body = body.map_err(|_| RejectReason::Malformed)?;
        let handled = self.foca.handle_data(&body, &mut self.effects);
        // `foca` ignores a datagram addressed to an earlier generation, and its sender would believe that this member
        // does not respond until gossip about the present generation arrived. So this member announces itself to the
        // sender.
        let for_earlier_generation =
            identities[1].index == own.index && identities[1].generation < own.generation;
        if for_earlier_generation && identities[1] != Identity::any_generation(own.index) && !self.left {
            // Errs only if the message does not fit into a datagram.
            let _ = self.foca.announce(identities[0], &mut self.effects);
        }
        self.apply_effects(active_now);
        match handled {
            Ok(()) => {}
            // A member requested an indirect probe of itself, or this member has left: harmless.
            Err(foca::Error::IndirectForOurselves | foca::Error::NotConnected) => {}
            Err(_) => return Err(RejectReason::Malformed),
        }
        if identities[0].generation < known.generation {
            return Err(RejectReason::Stale);
        }
        self.view.record_view_digest(from, active_now, digest);
        Ok(())
    }

    /// Returns whether a reported failure is treated as a suspicion only. In SWIM such a report is final, but it may
    /// come from the other side of a partition that has just healed, or from a gateway that reaches few members, about
    /// a member that this gateway hears. So it is accepted only once the suspicion timeout has expired here as well.
    fn doubts_failure(&self, active_now: Moment, failed: &foca::Member<Identity>) -> bool {
        let id = failed.id();
        let status = self
            .view
            .status(id.index)
            .filter(|status| status.generation == id.generation && status.state.may_be_alive());
        let Some(status) =
            status.filter(|_| id.index != self.view.own_index && !self.departures.has_left(id))
        else {
            return false;
        };
        let recently_heard = status.last_heard.is_some_and(|heard| active_now.since(heard) < RECENTLY_HEARD);
        let suspicion = self.suspicions.get(&(*id, failed.incarnation()));
        recently_heard
            || suspicion.is_none_or(|suspicion| active_now < suspicion.since + self.suspicion_timeout())
    }

    fn suspicion_timeout(&self) -> Span {
        to_span(suspicion_timeout(self.view.statuses().len() as MemberIndex, self.recent_pauses))
    }

    /// Adds members in state unknown that a message reports alive, without gossiping them further. When all gateways
    /// start at once, gossiping every member to every other cost more datagrams than a day of normal operation.
    fn apply_unknown_members(&mut self, alive: impl Iterator<Item = foca::Member<Identity>>) {
        let new = |member: &foca::Member<Identity>| {
            let status = self.view.status(member.id().index);
            member.id().index != self.view.own_index
                && status.is_some_and(|it| it.state == MemberState::Unknown)
        };
        let new: Vec<foca::Member<Identity>> = alive.filter(new).collect();
        if !new.is_empty() {
            // Cannot err: nothing is encoded or decoded here.
            let _ = self.foca.apply_many(new.into_iter(), false, &mut self.effects);
        }
    }

    /// Notes that a datagram of any kind arrived from a member.
    pub fn record_datagram(&mut self, active_now: Moment, from: MemberIndex) {
        self.view.record_datagram(from, active_now);
    }

    /// Runs all expired timers. To be called at [`Self::next_due_at`] and after input.
    pub fn run_due(&mut self, now: Moment) {
        let active_now = self.active_time(now);
        while let Some(entry) = self.timers.first_entry().filter(|entry| entry.key().0 <= active_now) {
            match entry.remove() {
                // `foca` itself would declare the suspect failed at once. If the suspicion was refuted meanwhile, it
                // would tell a live member that it is considered failed, which would make that member begin a new
                // generation.
                TimerAction::Foca(Timer::ChangeSuspectToDown { member_id, incarnation, .. }) => {
                    self.check_suspect(active_now, (member_id, incarnation));
                }
                TimerAction::CheckSuspect(suspect) => self.check_suspect(active_now, suspect),
                TimerAction::Foca(timer) => {
                    // Errs only for timers that no longer apply.
                    let _ = self.foca.handle_timer(timer, &mut self.effects);
                }
                TimerAction::ResendProbe(to, sent, body) => {
                    if self.view.status(to).is_some_and(|status| status.last_heard < Some(sent)) {
                        self.effects.sends.push((to, body));
                    }
                }
            }
            self.apply_effects(active_now);
        }
        if active_now >= self.announce_at && !self.left {
            self.announce_to_unknown(active_now);
        }
        self.apply_effects(active_now);
    }

    /// Called after the suspicion timeout: sends a round of final probes, or declares the suspect failed if
    /// [`FINAL_PROBES`] rounds had no reply.
    fn check_suspect(&mut self, active_now: Moment, suspect: Suspect) {
        // The suspicion was refuted, or the member is already failed.
        let Some(suspicion) = self.suspicions.get_mut(&suspect) else { return };
        // Each failed probe starts another timer for the same suspicion; only one of them is needed.
        if active_now < suspicion.next_check {
            return;
        }
        let (id, incarnation) = suspect;
        let heard = self.view.status(id.index).and_then(|status| status.last_heard);
        let recently_heard = heard.is_some_and(|heard| active_now.since(heard) < RECENTLY_HEARD);
        if !recently_heard && suspicion.final_probes == FINAL_PROBES {
            let failed = foca::Member::new(id, incarnation, foca::State::Down);
            // Errs only if the message does not fit into a datagram.
            let _ = self.foca.apply_many(std::iter::once(failed), true, &mut self.effects);
            return;
        }
        let next_check = active_now + if recently_heard { RECENTLY_HEARD } else { FINAL_PROBE_INTERVAL };
        suspicion.next_check = next_check;
        suspicion.final_probes += u32::from(!recently_heard);
        self.schedule(next_check, TimerAction::CheckSuspect(suspect));
        if !recently_heard {
            self.send_final_probe(&foca::Member::new(id, incarnation, foca::State::Suspect));
        }
    }

    /// Probes the suspect directly and through other members.
    fn send_final_probe(&mut self, suspect: &foca::Member<Identity>) {
        let others = self
            .foca
            .iter_members()
            .filter(|member| member.id() != suspect.id() && member.state() == foca::State::Alive);
        let relays = others.map(|member| *member.id()).sample(&mut self.rng, FINAL_PROBE_RELAYS);
        let own = self.identity();
        for to in relays.into_iter().chain([*suspect.id()]) {
            if let Ok(body) = encode_suspicion_probe(own, to, suspect) {
                self.effects.sends.push((to.index, body));
            }
        }
    }

    fn schedule(&mut self, at: Moment, action: TimerAction) {
        self.next_timer_id += 1;
        self.timers.insert((at, self.next_timer_id), action);
    }

    /// Announces this member to a random member in state unknown.
    fn announce_to_unknown(&mut self, active_now: Moment) {
        let unknown = self.view.peers().filter(|(_, status)| status.state == MemberState::Unknown);
        let Some((index, _)) = unknown.choose(&mut self.rng) else {
            self.announce_at = active_now + MAX_ANNOUNCE_INTERVAL;
            return;
        };
        // Random jitter: gateways that start together must not all announce at the same moment.
        self.announce_at = active_now + self.announce_interval.times(0.5 + self.rng.random::<f64>());
        self.announce_interval = self.announce_interval.times(1.25).min(MAX_ANNOUNCE_INTERVAL);
        // Errs only if the message does not fit into a datagram.
        let _ = self.foca.announce(Identity::any_generation(index), &mut self.effects);
    }

    /// Returns when [`Self::run_due`] must be called next, in system time.
    pub fn next_due_at(&self) -> Moment {
        let first = self.timers.first_key_value().map_or(self.announce_at, |it| it.0 .0);
        self.clock
            .wall_time(first.min(self.announce_at))
            .min(self.clock.wall_time(Moment::default()) + MAX_ADVANCE)
    }

    /// Announces that this member leaves.
    pub fn leave(&mut self, now: Moment) {
        let active_now = self.active_time(now);
        if std::mem::replace(&mut self.left, true) {
            return;
        }
        let Identity { index, generation, .. } = self.identity();
        // Both err only if the message does not fit into a datagram, and a departure is short.
        let _ = self.foca.add_broadcast(&Departure { index, generation }.encode());
        let _ = self.foca.leave_cluster(&mut self.effects);
        self.apply_effects(active_now);
    }

    /// Returns the frame bodies to send, each with its receiver.
    pub fn take_datagrams(&mut self) -> Vec<(MemberIndex, Vec<u8>)> {
        let digest = self.view.digest().to_be_bytes();
        let whole = |(to, body): (MemberIndex, Vec<u8>)| (to, [&digest[..], &body].concat());
        std::mem::take(&mut self.effects.sends).into_iter().map(whole).collect()
    }

    /// Schedules the timers that `foca` requested and copies its member states to the view.
    fn apply_effects(&mut self, active_now: Moment) {
        for (after, timer) in std::mem::take(&mut self.effects.timers) {
            let after = to_span(after);
            let probes = matches!(timer, Timer::SendIndirectProbe { .. });
            self.schedule(active_now + after, TimerAction::Foca(timer));
            // `foca` requests the timer for indirect probes together with the direct probe, the last datagram to be
            // sent.
            if let Some((to, body)) = self.effects.sends.last().filter(|_| probes).cloned() {
                for part in PROBE_RESEND_FRACTIONS {
                    self.schedule(
                        active_now + after.times(part),
                        TimerAction::ResendProbe(to, active_now, body.clone()),
                    );
                }
            }
        }
        let mut suspects = BTreeSet::new();
        for member in self.foca.iter_membership_state() {
            let id = member.id();
            let state = match member.state() {
                _ if self.departures.has_left(id) => MemberState::Left,
                foca::State::Alive => MemberState::Alive,
                foca::State::Suspect => MemberState::Suspected,
                foca::State::Down => MemberState::Failed,
            };
            self.view.update(id.index, state, id.generation, id.zone, active_now);
            if member.state() == foca::State::Suspect {
                suspects.insert((*id, member.incarnation()));
            }
        }
        self.suspicions.retain(|suspect, _| suspects.contains(suspect));
        for suspect in suspects {
            let new = Suspicion { since: active_now, final_probes: 0, next_check: active_now };
            self.suspicions.entry(suspect).or_insert(new);
        }
    }
}

#[cfg(test)]
mod tests;
