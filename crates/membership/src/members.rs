//! Probing, suspicion and refutation, and the spread of news: SWIM, as the library `foca` keeps it. Ours on top: lives
//! that survive a restart at the same address, partings, time that was slept through, and the view.

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
const MAX_MESSAGE_BYTES: usize = MAX_BODY_BYTES - DIGEST_BYTES;
/// Each member probes one other in so long.
const PROBE_PERIOD: Duration = Duration::from_millis(1_000);
/// An answer that takes longer than this is asked for through others: some ten times the slowest way of the
/// deployments, there and back, so that a loaded machine is not taken for a lost datagram.
const ACK_TIMEOUT: Duration = Duration::from_millis(350);
/// So many others are asked to try.
const INDIRECT_PROBES: usize = 3;
/// A suspect has so long to speak up, times the decimal logarithm of the fleet's size: news goes round in a time that
/// grows like that. With 30% loss a fleet of twenty had no false failure in the test of that name; half as long had.
const SUSPICION_TIMEOUT: Duration = Duration::from_millis(3_000);
/// A probe unanswered after these parts of [`ACK_TIMEOUT`] is sent again before others are asked: one lost datagram costs one
/// more, and what goes through others costs a dozen.
const PROBE_RESEND_FRACTIONS: [f64; 2] = [0.34, 0.67];
/// Nobody is given up that was heard itself so lately, nor before it was asked once more, itself and through others, so often and so
/// far apart. A limiter that reaches few of the others else gives up members whose word that they live did not come
/// round to it.
const RECENTLY_HEARD: Span = Span::from_millis(2_000);
const FINAL_PROBES: u32 = 4;
const FINAL_PROBE_INTERVAL: Span = Span::from_millis(450);
const FINAL_PROBE_RELAYS: usize = 4;
/// News goes out beside probes so often, while there is any.
const GOSSIP_PERIOD: Duration = Duration::from_millis(500);
/// Each member passes a piece of news on so often, times the logarithm of the fleet's size.
const TRANSMISSIONS_FACTOR: f64 = 5.0;
/// One of those held to be failed is spoken to so often: else two halves that each believe the other failed would
/// never meet again.
const ANNOUNCE_TO_FAILED_PERIOD: Duration = Duration::from_millis(1_000);
/// One that nobody has told of is spoken to so often, at first and at last, by steps of a quarter. The answer names some
/// twenty others and is as long as a datagram may be: a hundred limiters know nearly all after ten.
const MIN_ANNOUNCE_INTERVAL: Span = Span::from_millis(200);
const MAX_ANNOUNCE_INTERVAL: Span = Span::from_millis(8_000);
/// A life further ahead of this limiter's clock than this is no clock's error any more; taken for true, it would
/// lock the member out whose life it claims to be.
const MAX_GENERATION_AHEAD: Span = Span::from_millis(24 * 3_600 * 1_000);

/// Who has left, by the life that did: told along with other news.
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
        // A number beyond the list would fill the memory.
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

/// What the library wants done.
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

/// A member by the life and incarnation in which it is suspected.
type Suspect = (Identity, u16);

struct Suspicion {
    since: Moment,
    /// How often it was asked once more.
    final_probes: u32,
    /// Not before then is it looked at again.
    next_check: Moment,
}

enum TimerAction {
    Foca(Timer<Identity>),
    CheckSuspect(Suspect),
    /// A probe to that member, sent then, goes once more unless it has been heard since.
    ResendProbe(MemberIndex, Moment, Vec<u8>),
}

pub struct Members {
    foca: Foca<Identity, IdentityCodec, ChaCha8Rng, Departures>,
    effects: PendingEffects,
    /// By the time awake, then in the order they were wished for.
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

/// How long a suspect has to speak up.
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
    /// Number `own` of `of`; `zone` is its place among the zones. The life is the Unix time that `now` tells.
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

    pub fn view(&self) -> &MembershipView {
        &self.view
    }

    pub fn view_mut(&mut self) -> &mut MembershipView {
        &mut self.view
    }

    pub fn identity(&self) -> Identity {
        *self.foca.identity()
    }

    /// The time awake; `slept` of it in all was not.
    pub fn active_time(&mut self, now: Moment) -> Moment {
        let active_now = self.clock.advance(now);
        if self.clock.recent_pauses() != self.recent_pauses {
            self.recent_pauses = self.clock.recent_pauses();
            // Fails only for figures that must not change, and these do not.
            let _ =
                self.foca.set_config(config(self.view.statuses().len() as MemberIndex, self.recent_pauses));
        }
        active_now
    }

    /// When a moment of the time awake comes by the clock.
    pub fn wall_time(&self, active_now: Moment) -> Moment {
        self.clock.wall_time(active_now)
    }

    pub fn paused_time(&self) -> Span {
        self.clock.total_paused
    }

    /// Takes in what a member's datagram holds besides its head.
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
            // A clock that was set back: the others know a life of this place that looks later than this one.
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
        // To a datagram for a former life the library says nothing, and its sender would hold this member for silent until
        // news of the present life came round.
        let for_earlier_generation =
            identities[1].index == own.index && identities[1].generation < own.generation;
        if for_earlier_generation && identities[1] != Identity::any_generation(own.index) && !self.left {
            // Only the room of a datagram could fail it.
            let _ = self.foca.announce(identities[0], &mut self.effects);
        }
        self.apply_effects(active_now);
        match handled {
            Ok(()) => {}
            // Told by a member that asks about itself: nothing to do with it, and nothing spoilt.
            Err(foca::Error::IndirectForOurselves | foca::Error::NotConnected) => {}
            Err(_) => return Err(RejectReason::Malformed),
        }
        if identities[0].generation < known.generation {
            return Err(RejectReason::Stale);
        }
        self.view.record_view_digest(from, active_now, digest);
        Ok(())
    }

    /// Whether word that a member failed is no more than a suspicion to this limiter. By the protocol such word is final;
    /// it may come from the other side of a cut that has just healed, or from a limiter that reaches few, about a member
    /// that was heard here all along. So it is taken about those only whose time to speak up is over here too.
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

    /// Takes in members that nobody has told of yet, without passing it on: a fleet that begins at once would else tell
    /// everybody of everybody many times over, which cost more than all other datagrams of a day together.
    fn apply_unknown_members(&mut self, alive: impl Iterator<Item = foca::Member<Identity>>) {
        let new = |member: &foca::Member<Identity>| {
            let status = self.view.status(member.id().index);
            member.id().index != self.view.own_index
                && status.is_some_and(|it| it.state == MemberState::Unknown)
        };
        let new: Vec<foca::Member<Identity>> = alive.filter(new).collect();
        if !new.is_empty() {
            // No codec is at work here that could fail.
            let _ = self.foca.apply_many(new.into_iter(), false, &mut self.effects);
        }
    }

    /// A datagram of any kind came from a member: it is there.
    pub fn record_datagram(&mut self, active_now: Moment, from: MemberIndex) {
        self.view.record_datagram(from, active_now);
    }

    /// Sees to what is due. To be called when [`Self::next`] says, and after input.
    pub fn run_due(&mut self, now: Moment) {
        let active_now = self.active_time(now);
        while let Some(entry) = self.timers.first_entry().filter(|entry| entry.key().0 <= active_now) {
            match entry.remove() {
                // The library would give it up at once; or, where it was refuted meanwhile, tell a living member that it is
                // held to be failed, and that one would begin a new life.
                TimerAction::Foca(Timer::ChangeSuspectToDown { member_id, incarnation, .. }) => {
                    self.check_suspect(active_now, (member_id, incarnation));
                }
                TimerAction::CheckSuspect(suspect) => self.check_suspect(active_now, suspect),
                TimerAction::Foca(timer) => {
                    // Its errors are about timers that have lost their cause.
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

    /// A suspect's time to speak up is over: it is asked once more, and given up when that was in vain so often.
    fn check_suspect(&mut self, active_now: Moment, suspect: Suspect) {
        // Refuted meanwhile, or known to have failed.
        let Some(suspicion) = self.suspicions.get_mut(&suspect) else { return };
        // Each probe in vain winds up one more timer for the same suspicion: one of them is enough.
        if active_now < suspicion.next_check {
            return;
        }
        let (id, incarnation) = suspect;
        let heard = self.view.status(id.index).and_then(|status| status.last_heard);
        let recently_heard = heard.is_some_and(|heard| active_now.since(heard) < RECENTLY_HEARD);
        if !recently_heard && suspicion.final_probes == FINAL_PROBES {
            let failed = foca::Member::new(id, incarnation, foca::State::Down);
            // Only the room of a datagram could fail it.
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

    /// Itself, and through others.
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

    /// Speaks to somebody that nobody has told of.
    fn announce_to_unknown(&mut self, active_now: Moment) {
        let unknown = self.view.peers().filter(|(_, status)| status.state == MemberState::Unknown);
        let Some((index, _)) = unknown.choose(&mut self.rng) else {
            self.announce_at = active_now + MAX_ANNOUNCE_INTERVAL;
            return;
        };
        // Set apart by chance: a fleet that starts at once would else speak in one breath.
        self.announce_at = active_now + self.announce_interval.times(0.5 + self.rng.random::<f64>());
        self.announce_interval = self.announce_interval.times(1.25).min(MAX_ANNOUNCE_INTERVAL);
        // Only the room of a datagram could fail it.
        let _ = self.foca.announce(Identity::any_generation(index), &mut self.effects);
    }

    /// When something is due at the latest.
    pub fn next_due_at(&self) -> Moment {
        let first = self.timers.first_key_value().map_or(self.announce_at, |it| it.0 .0);
        self.clock
            .wall_time(first.min(self.announce_at))
            .min(self.clock.wall_time(Moment::default()) + MAX_ADVANCE)
    }

    /// This limiter goes, and says so.
    pub fn leave(&mut self, now: Moment) {
        let active_now = self.active_time(now);
        if std::mem::replace(&mut self.left, true) {
            return;
        }
        let Identity { index, generation, .. } = self.identity();
        // Both fail only for want of room, and a parting is short.
        let _ = self.foca.add_broadcast(&Departure { index, generation }.encode());
        let _ = self.foca.leave_cluster(&mut self.effects);
        self.apply_effects(active_now);
    }

    /// What is to be sent: to whom, and the bodies of their datagrams.
    pub fn take_datagrams(&mut self) -> Vec<(MemberIndex, Vec<u8>)> {
        let digest = self.view.digest().to_be_bytes();
        let whole = |(to, body): (MemberIndex, Vec<u8>)| (to, [&digest[..], &body].concat());
        std::mem::take(&mut self.effects.sends).into_iter().map(whole).collect()
    }

    fn apply_effects(&mut self, active_now: Moment) {
        for (after, timer) in std::mem::take(&mut self.effects.timers) {
            let after = to_span(after);
            let probes = matches!(timer, Timer::SendIndirectProbe { .. });
            self.schedule(active_now + after, TimerAction::Foca(timer));
            // With the probe itself comes the wish to ask others later.
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
