//! Probing, suspicion and refutation, and the spread of news: SWIM, as the library `foca` keeps it. Ours on top: lives
//! that survive a restart at the same address, partings, time that was slept through, and the view.

use crate::clock::{Awake, BEAT};
use crate::code::{asking, Code, Opened, Wrong};
use crate::frame::{Refused, ROOM as FRAME};
use crate::identity::{Identity, NO_ZONE};
use crate::view::{State, View};
use crate::Number;
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
const DIGEST: usize = 4;
const ROOM: usize = FRAME - DIGEST;
/// Each member probes one other in so long.
const PROBE: Duration = Duration::from_millis(1_000);
/// An answer that takes longer than this is asked for through others: some ten times the slowest way of the
/// deployments, there and back, so that a loaded machine is not taken for a lost datagram.
const ANSWER: Duration = Duration::from_millis(350);
/// So many others are asked to try.
const INDIRECT: usize = 3;
/// A suspect has so long to speak up, times the decimal logarithm of the fleet's size: news goes round in a time that
/// grows like that. With 30% loss a fleet of twenty had no false failure in the test of that name; half as long had.
const SPEAK_UP: Duration = Duration::from_millis(3_000);
/// A probe unanswered after these parts of [`ANSWER`] is sent again before others are asked: one lost datagram costs one
/// more, and what goes through others costs a dozen.
const AGAIN: [f64; 2] = [0.34, 0.67];
/// Nobody is given up that was heard itself so lately, nor before it was asked once more, itself and through others, so often and so
/// far apart. A limiter that reaches few of the others else gives up members whose word that they live did not come
/// round to it.
const LATELY: Span = Span::from_millis(2_000);
const LAST_ASKS: u32 = 4;
const LAST_APART: Span = Span::from_millis(450);
const LAST_THROUGH: usize = 4;
/// News goes out beside probes so often, while there is any.
const NEWS: Duration = Duration::from_millis(500);
/// Each member passes a piece of news on so often, times the logarithm of the fleet's size.
const TOLD: f64 = 5.0;
/// One of those held to be failed is spoken to so often: else two halves that each believe the other failed would
/// never meet again.
const TRY_FAILED: Duration = Duration::from_millis(1_000);
/// One that nobody has told of is spoken to so often, at first and at last, by steps of a quarter. The answer names some
/// twenty others and is as long as a datagram may be: a hundred limiters know nearly all after ten.
const INTRODUCE: Span = Span::from_millis(200);
const INTRODUCE_LAST: Span = Span::from_millis(8_000);
/// A life further ahead of this limiter's clock than this is no clock's error any more; taken for true, it would
/// lock the member out whose life it claims to be.
const AHEAD: Span = Span::from_millis(24 * 3_600 * 1_000);

/// Who has left, by the life that did: told along with other news.
#[derive(Clone, Default)]
struct Partings {
    of: Number,
    left: Rc<RefCell<BTreeMap<Number, u64>>>,
}

impl Partings {
    fn has_left(&self, who: &Identity) -> bool {
        self.left.borrow().get(&who.number).is_some_and(|life| *life >= who.life)
    }
}

struct Parting {
    number: Number,
    life: u64,
}

impl Parting {
    fn encode(&self) -> Vec<u8> {
        let mut out = self.number.to_be_bytes().to_vec();
        out.extend(self.life.to_be_bytes());
        out
    }

    fn decode(bytes: &[u8]) -> Result<Self, Wrong> {
        let bytes: [u8; 10] = bytes.try_into().map_err(|_| Wrong::Short)?;
        let [n0, n1, life @ ..] = bytes;
        Ok(Self { number: u16::from_be_bytes([n0, n1]), life: u64::from_be_bytes(life) })
    }
}

impl Invalidates for Parting {
    fn invalidates(&self, other: &Self) -> bool {
        self.number == other.number && self.life >= other.life
    }
}

impl BroadcastHandler<Identity> for Partings {
    type Key = Parting;
    type Error = Wrong;

    fn receive_item(&mut self, data: &[u8], _: Option<&Identity>) -> Result<Option<Parting>, Wrong> {
        let parting = Parting::decode(data)?;
        // A number beyond the list would fill the memory.
        if parting.number >= self.of {
            return Err(Wrong::Short);
        }
        let mut left = self.left.borrow_mut();
        let known = left.entry(parting.number).or_default();
        let new = parting.life > *known;
        *known = (*known).max(parting.life);
        Ok(new.then_some(parting))
    }
}

/// What the library wants done.
#[derive(Default)]
struct Wishes {
    sends: Vec<(Number, Vec<u8>)>,
    timers: Vec<(Duration, Timer<Identity>)>,
}

impl Runtime<Identity> for Wishes {
    fn notify(&mut self, _: Notification<'_, Identity>) {}

    fn send_to(&mut self, to: Identity, data: &[u8]) {
        self.sends.push((to.number, data.to_vec()));
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
    asked: u32,
    /// Not before then is it looked at again.
    looks: Moment,
}

enum Due {
    Library(Timer<Identity>),
    Look(Suspect),
    /// A probe to that member, sent then, goes once more unless it has been heard since.
    Probe(Number, Moment, Vec<u8>),
}

pub struct Members {
    foca: Foca<Identity, Code, ChaCha8Rng, Partings>,
    wishes: Wishes,
    /// By the time awake, then in the order they were wished for.
    timers: BTreeMap<(Moment, u64), Due>,
    numbered: u64,
    awake: Awake,
    lapses: u32,
    partings: Partings,
    view: View,
    suspicions: BTreeMap<Suspect, Suspicion>,
    introduces: Moment,
    apart: Span,
    chance: ChaCha8Rng,
    left: bool,
}

fn span(of: Duration) -> Span {
    Span::from_micros(u64::try_from(of.as_micros()).unwrap_or(u64::MAX))
}

fn size(of: Number) -> f64 {
    f64::from(of.max(10)).log10()
}

/// How long a suspect has to speak up.
fn speak_up(of: Number, lapses: u32) -> Duration {
    SPEAK_UP.mul_f64(size(of) * f64::from(1 + lapses))
}

fn config(of: Number, lapses: u32) -> Config {
    let most = NonZeroU8::new((size(of) * TOLD) as u8).unwrap_or(NonZeroU8::MIN);
    let one = NonZeroUsize::MIN;
    let each = |frequency: Duration| Some(PeriodicParams { frequency, num_members: one });
    Config {
        probe_period: PROBE,
        probe_rtt: ANSWER,
        num_indirect_probes: NonZeroUsize::new(INDIRECT).unwrap_or(one),
        max_transmissions: most,
        suspect_to_down_after: speak_up(of, lapses),
        remove_down_after: None,
        max_packet_size: NonZeroUsize::new(ROOM).unwrap_or(one),
        notify_down_members: true,
        periodic_announce: None,
        periodic_announce_to_down_members: each(TRY_FAILED),
        periodic_gossip: each(NEWS),
    }
}

impl Members {
    /// Number `own` of `of`; `zone` is its place among the zones. The life is the Unix time that `now` tells.
    pub fn start(now: Moment, own: Number, of: Number, zone: Option<u8>, seed: u64) -> Self {
        let zone = zone.unwrap_or(NO_ZONE);
        let identity = Identity { number: own, life: (now.micros() / 1_000).min((1 << 47) - 1), zone };
        let partings = Partings { of, ..Partings::default() };
        let mut chance = ChaCha8Rng::seed_from_u64(seed);
        let of_foca = ChaCha8Rng::seed_from_u64(chance.random());
        let foca = Foca::with_custom_broadcast(identity, config(of, 0), of_foca, Code, partings.clone());
        Self {
            foca,
            wishes: Wishes::default(),
            timers: BTreeMap::new(),
            numbered: 0,
            awake: Awake::new(now),
            lapses: 0,
            partings,
            view: View::new(own, zone, of, now),
            suspicions: BTreeMap::new(),
            introduces: now,
            apart: INTRODUCE,
            chance,
            left: false,
        }
    }

    pub fn view(&self) -> &View {
        &self.view
    }

    pub fn view_mut(&mut self) -> &mut View {
        &mut self.view
    }

    pub fn identity(&self) -> Identity {
        *self.foca.identity()
    }

    /// The time awake; `slept` of it in all was not.
    pub fn awake(&mut self, now: Moment) -> Moment {
        let awake = self.awake.look(now);
        if self.awake.lapses() != self.lapses {
            self.lapses = self.awake.lapses();
            // Fails only for figures that must not change, and these do not.
            let _ = self.foca.set_config(config(self.view.facts().len() as Number, self.lapses));
        }
        awake
    }

    /// When a moment of the time awake comes by the clock.
    pub fn real(&self, awake: Moment) -> Moment {
        self.awake.real(awake)
    }

    pub fn slept(&self) -> Span {
        self.awake.slept
    }

    /// Takes in what a member's datagram holds besides its head.
    pub fn heard(&mut self, now: Moment, from: Number, body: &[u8]) -> Result<(), Refused> {
        let awake = self.awake(now);
        let (digest, body) = body.split_first_chunk::<DIGEST>().ok_or(Refused::Unreadable)?;
        let digest = u32::from_be_bytes(*digest);
        let message = Opened::new(body).map_err(|_| Refused::Unreadable)?;
        let who = message.named();
        if who[0].number != from {
            return Err(Refused::Stranger);
        }
        let of = self.view.facts().len();
        let latest = (now + AHEAD).micros() / 1_000;
        if who.iter().any(|it| usize::from(it.number) >= of || it.life > latest) {
            return Err(Refused::Unreadable);
        }
        let own = self.identity();
        if let Some(later) = who.iter().filter(|it| it.number == own.number && it.life > own.life).max() {
            // A clock that was set back: the others know a life of this place that looks later than this one.
            let next = own.after(later.life);
            if !self.left && self.foca.change_identity(next, &mut self.wishes).is_err() {
                return Err(Refused::Unreadable);
            }
        }
        let known = self.view.fact(from).copied().unwrap_or_default();
        self.meet(message.alive());
        let body = message.with_doubts(|failed| self.doubts(awake, failed));
        let body = body.map_err(|_| Refused::Unreadable)?;
        let taken = self.foca.handle_data(&body, &mut self.wishes);
        // To a datagram for a former life the library says nothing, and its sender would hold this member for silent until
        // news of the present life came round.
        let former = who[1].number == own.number && who[1].life < own.life;
        if former && who[1] != Identity::anybody(own.number) && !self.left {
            // Only the room of a datagram could fail it.
            let _ = self.foca.announce(who[0], &mut self.wishes);
        }
        self.take_in(awake);
        match taken {
            Ok(()) => {}
            // Told by a member that asks about itself: nothing to do with it, and nothing spoilt.
            Err(foca::Error::IndirectForOurselves | foca::Error::NotConnected) => {}
            Err(_) => return Err(Refused::Unreadable),
        }
        if who[0].life < known.life {
            return Err(Refused::Old);
        }
        self.view.heard(from, awake, digest);
        Ok(())
    }

    /// Whether word that a member failed is no more than a suspicion to this limiter. By the protocol such word is final;
    /// it may come from the other side of a cut that has just healed, or from a limiter that reaches few, about a member
    /// that was heard here all along. So it is taken about those only whose time to speak up is over here too.
    fn doubts(&self, awake: Moment, failed: &foca::Member<Identity>) -> bool {
        let id = failed.id();
        let fact = self.view.fact(id.number).filter(|fact| fact.life == id.life && fact.state.may_work());
        let Some(fact) = fact.filter(|_| id.number != self.view.own && !self.partings.has_left(id)) else {
            return false;
        };
        let lately = fact.heard.is_some_and(|heard| awake.since(heard) < LATELY);
        let suspicion = self.suspicions.get(&(*id, failed.incarnation()));
        lately || suspicion.is_none_or(|suspicion| awake < suspicion.since + self.speak_up())
    }

    fn speak_up(&self) -> Span {
        span(speak_up(self.view.facts().len() as Number, self.lapses))
    }

    /// Takes in members that nobody has told of yet, without passing it on: a fleet that begins at once would else tell
    /// everybody of everybody many times over, which cost more than all other datagrams of a day together.
    fn meet(&mut self, alive: impl Iterator<Item = foca::Member<Identity>>) {
        let new = |member: &foca::Member<Identity>| {
            let fact = self.view.fact(member.id().number);
            member.id().number != self.view.own && fact.is_some_and(|it| it.state == State::NeverHeard)
        };
        let new: Vec<foca::Member<Identity>> = alive.filter(new).collect();
        if !new.is_empty() {
            // No codec is at work here that could fail.
            let _ = self.foca.apply_many(new.into_iter(), false, &mut self.wishes);
        }
    }

    /// A datagram of any kind came from a member: it is there.
    pub fn seen(&mut self, awake: Moment, who: Number) {
        self.view.seen(who, awake);
    }

    /// Sees to what is due. To be called when [`Self::next`] says, and after input.
    pub fn due(&mut self, now: Moment) {
        let awake = self.awake(now);
        while let Some(entry) = self.timers.first_entry().filter(|entry| entry.key().0 <= awake) {
            match entry.remove() {
                // The library would give it up at once; or, where it was refuted meanwhile, tell a living member that it is
                // held to be failed, and that one would begin a new life.
                Due::Library(Timer::ChangeSuspectToDown { member_id, incarnation, .. }) => {
                    self.look_at(awake, (member_id, incarnation));
                }
                Due::Look(suspect) => self.look_at(awake, suspect),
                Due::Library(timer) => {
                    // Its errors are about timers that have lost their cause.
                    let _ = self.foca.handle_timer(timer, &mut self.wishes);
                }
                Due::Probe(to, sent, body) => {
                    if self.view.fact(to).is_some_and(|fact| fact.heard < Some(sent)) {
                        self.wishes.sends.push((to, body));
                    }
                }
            }
            self.take_in(awake);
        }
        if awake >= self.introduces && !self.left {
            self.introduce(awake);
        }
        self.take_in(awake);
    }

    /// A suspect's time to speak up is over: it is asked once more, and given up when that was in vain so often.
    fn look_at(&mut self, awake: Moment, suspect: Suspect) {
        // Refuted meanwhile, or known to have failed.
        let Some(suspicion) = self.suspicions.get_mut(&suspect) else { return };
        // Each probe in vain winds up one more timer for the same suspicion: one of them is enough.
        if awake < suspicion.looks {
            return;
        }
        let (id, incarnation) = suspect;
        let heard = self.view.fact(id.number).and_then(|fact| fact.heard);
        let lately = heard.is_some_and(|heard| awake.since(heard) < LATELY);
        if !lately && suspicion.asked == LAST_ASKS {
            let failed = foca::Member::new(id, incarnation, foca::State::Down);
            // Only the room of a datagram could fail it.
            let _ = self.foca.apply_many(std::iter::once(failed), true, &mut self.wishes);
            return;
        }
        let looks = awake + if lately { LATELY } else { LAST_APART };
        suspicion.looks = looks;
        suspicion.asked += u32::from(!lately);
        self.set(looks, Due::Look(suspect));
        if !lately {
            self.ask_once_more(&foca::Member::new(id, incarnation, foca::State::Suspect));
        }
    }

    /// Itself, and through others.
    fn ask_once_more(&mut self, suspect: &foca::Member<Identity>) {
        let others = self
            .foca
            .iter_members()
            .filter(|member| member.id() != suspect.id() && member.state() == foca::State::Alive);
        let through = others.map(|member| *member.id()).sample(&mut self.chance, LAST_THROUGH);
        let own = self.identity();
        for to in through.into_iter().chain([*suspect.id()]) {
            if let Ok(body) = asking(own, to, suspect) {
                self.wishes.sends.push((to.number, body));
            }
        }
    }

    fn set(&mut self, at: Moment, due: Due) {
        self.numbered += 1;
        self.timers.insert((at, self.numbered), due);
    }

    /// Speaks to somebody that nobody has told of.
    fn introduce(&mut self, awake: Moment) {
        let unheard = self.view.others().filter(|(_, fact)| fact.state == State::NeverHeard);
        let Some((number, _)) = unheard.choose(&mut self.chance) else {
            self.introduces = awake + INTRODUCE_LAST;
            return;
        };
        // Set apart by chance: a fleet that starts at once would else speak in one breath.
        self.introduces = awake + self.apart.times(0.5 + self.chance.random::<f64>());
        self.apart = self.apart.times(1.25).min(INTRODUCE_LAST);
        // Only the room of a datagram could fail it.
        let _ = self.foca.announce(Identity::anybody(number), &mut self.wishes);
    }

    /// When something is due at the latest.
    pub fn next(&self) -> Moment {
        let first = self.timers.first_key_value().map_or(self.introduces, |it| it.0 .0);
        self.awake.real(first.min(self.introduces)).min(self.awake.real(Moment::default()) + BEAT)
    }

    /// This limiter goes, and says so.
    pub fn leave(&mut self, now: Moment) {
        let awake = self.awake(now);
        if std::mem::replace(&mut self.left, true) {
            return;
        }
        let Identity { number, life, .. } = self.identity();
        // Both fail only for want of room, and a parting is short.
        let _ = self.foca.add_broadcast(&Parting { number, life }.encode());
        let _ = self.foca.leave_cluster(&mut self.wishes);
        self.take_in(awake);
    }

    /// What is to be sent: to whom, and the bodies of their datagrams.
    pub fn sends(&mut self) -> Vec<(Number, Vec<u8>)> {
        let digest = self.view.digest().to_be_bytes();
        let whole = |(to, body): (Number, Vec<u8>)| (to, [&digest[..], &body].concat());
        std::mem::take(&mut self.wishes.sends).into_iter().map(whole).collect()
    }

    fn take_in(&mut self, awake: Moment) {
        for (after, timer) in std::mem::take(&mut self.wishes.timers) {
            let after = span(after);
            let probes = matches!(timer, Timer::SendIndirectProbe { .. });
            self.set(awake + after, Due::Library(timer));
            // With the probe itself comes the wish to ask others later.
            if let Some((to, body)) = self.wishes.sends.last().filter(|_| probes).cloned() {
                for part in AGAIN {
                    self.set(awake + after.times(part), Due::Probe(to, awake, body.clone()));
                }
            }
        }
        let mut suspects = BTreeSet::new();
        for member in self.foca.iter_membership_state() {
            let id = member.id();
            let state = match member.state() {
                _ if self.partings.has_left(id) => State::Left,
                foca::State::Alive => State::Present,
                foca::State::Suspect => State::Suspected,
                foca::State::Down => State::Failed,
            };
            self.view.set(id.number, state, id.life, id.zone, awake);
            if member.state() == foca::State::Suspect {
                suspects.insert((*id, member.incarnation()));
            }
        }
        self.suspicions.retain(|suspect, _| suspects.contains(suspect));
        for suspect in suspects {
            let new = Suspicion { since: awake, asked: 0, looks: awake };
            self.suspicions.entry(suspect).or_insert(new);
        }
    }
}

#[cfg(test)]
mod tests;
