//! What a limiter holds of the others, how old each fact is, and what the whole looks like from here.

use crate::identity::NO_ZONE;
use crate::Number;
use fennelgauge::time::{Moment, Span};
use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::{Display, Formatter};
use std::hash::{Hash, Hasher};

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum State {
    /// Nobody has told of it yet.
    #[default]
    NeverHeard,
    Present,
    /// It did not answer, neither this limiter nor those asked to try; it may still speak up.
    Suspected,
    Failed,
    /// It said itself that it goes.
    Left,
}

impl State {
    /// It may be working.
    pub fn may_work(self) -> bool {
        !matches!(self, Self::Failed | Self::Left)
    }
}

impl Display for State {
    fn fmt(&self, out: &mut Formatter<'_>) -> std::fmt::Result {
        out.write_str(match self {
            Self::NeverHeard => "never heard",
            Self::Present => "present",
            Self::Suspected => "suspected",
            Self::Failed => "failed",
            Self::Left => "left",
        })
    }
}

/// What is known of one member; moments are of the time awake.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Fact {
    pub state: State,
    /// The life that this is of, in milliseconds of Unix time.
    pub life: u64,
    /// Its place among the zones, where it told one.
    pub zone: Option<u8>,
    /// Since when it is in this state.
    pub since: Moment,
    /// The last datagram that came from itself.
    pub heard: Option<Moment>,
    /// Since when its view differs from this one.
    pub differs: Option<Moment>,
}

/// How the fleet looks from here.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reach {
    /// Nobody that was ever heard of is missing.
    Whole,
    /// Some members failed, and no site as a whole.
    Failed(Vec<Number>),
    /// All members of these sites are missing, and others of theirs are not: the sites are lost or cut off.
    Sites(Vec<u8>),
    /// All other sites are missing at once: this site is the one that is cut off, or the only one left.
    OwnSite,
    /// Nobody is heard any more: it is this limiter that is cut off.
    CutOff,
}

impl Display for Reach {
    fn fmt(&self, out: &mut Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Whole => out.write_str("whole"),
            Self::Failed(who) => write!(out, "{} failed", who.len()),
            Self::Sites(which) => write!(out, "sites {which:?} lost or cut off"),
            Self::OwnSite => out.write_str("this site is cut off or alone"),
            Self::CutOff => out.write_str("this limiter is cut off"),
        }
    }
}

/// A change, for the log.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Change {
    pub number: Number,
    pub from: State,
    pub to: State,
    pub life: u64,
}

/// Where nobody at all is heard for so long, it is not the others: probes go out every second, to somebody else each.
const ALONE: Span = Span::from_millis(4_000);

#[derive(Clone, Debug)]
pub struct View {
    pub own: Number,
    pub own_zone: u8,
    facts: Vec<Fact>,
    changes: Vec<Change>,
}

impl View {
    pub fn new(own: Number, own_zone: u8, of: Number, now: Moment) -> Self {
        let fact = Fact { since: now, ..Fact::default() };
        Self { own, own_zone, facts: vec![fact; usize::from(of)], changes: Vec::new() }
    }

    /// By number; this limiter's own stands among them and says nothing.
    pub fn facts(&self) -> &[Fact] {
        &self.facts
    }

    pub fn fact(&self, number: Number) -> Option<&Fact> {
        self.facts.get(usize::from(number))
    }

    /// The others, with what is known of them.
    pub fn others(&self) -> impl Iterator<Item = (Number, &Fact)> {
        let own = self.own;
        self.facts.iter().enumerate().map(|(at, fact)| (at as Number, fact)).filter(move |it| it.0 != own)
    }

    pub fn count(&self, state: State) -> usize {
        self.others().filter(|(_, fact)| fact.state == state).count()
    }

    /// Of what life and state a member is; a zone is kept where none is told.
    pub fn set(&mut self, number: Number, state: State, life: u64, zone: u8, now: Moment) {
        let Some(fact) = self.facts.get_mut(usize::from(number)).filter(|_| number != self.own) else {
            return;
        };
        if zone != NO_ZONE {
            fact.zone = Some(zone);
        }
        if (fact.state, fact.life) == (state, life) {
            return;
        }
        self.changes.push(Change { number, from: fact.state, to: state, life });
        if fact.state != state {
            fact.since = now;
        }
        (fact.state, fact.life) = (state, life);
    }

    /// A datagram came from it.
    pub fn seen(&mut self, number: Number, now: Moment) {
        let fact = self.facts.get_mut(usize::from(number)).filter(|fact| fact.state != State::NeverHeard);
        if let Some(fact) = fact {
            fact.heard = Some(now);
        }
    }

    /// A datagram came from it that told its view.
    pub fn heard(&mut self, number: Number, now: Moment, digest: u32) {
        let same = digest == self.digest();
        let Some(fact) = self.facts.get_mut(usize::from(number)) else { return };
        fact.heard = Some(now);
        fact.differs = if same { None } else { fact.differs.or(Some(now)) };
    }

    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    /// Sums up who is taken to be there, this limiter included: two views that agree have the same digest.
    pub fn digest(&self) -> u32 {
        self.facts.iter().enumerate().fold(0, |sum, (number, fact)| {
            let there =
                number == usize::from(self.own) || matches!(fact.state, State::Present | State::Suspected);
            let mut hasher = DefaultHasher::new();
            (number, there).hash(&mut hasher);
            sum ^ if there { hasher.finish() as u32 } else { 0 }
        })
    }

    /// How many members of late held another view, and for how long one of them has.
    pub fn disagreement(&self, now: Moment) -> (usize, Span) {
        let differing = self.others().filter(|(_, fact)| fact.state == State::Present);
        let differing: Vec<Moment> = differing.filter_map(|(_, fact)| fact.differs).collect();
        let longest = differing.iter().map(|since| now.since(*since)).max().unwrap_or(Span::ZERO);
        (differing.len(), longest)
    }

    pub fn reach(&self, now: Moment) -> Reach {
        let known: Vec<(Number, &Fact)> =
            self.others().filter(|(_, fact)| fact.state != State::NeverHeard).collect();
        // One that has left, said so: it is missed by nobody.
        let missing: BTreeSet<Number> =
            known.iter().filter(|(_, fact)| fact.state == State::Failed).map(|it| it.0).collect();
        let working = known.iter().filter(|(_, fact)| fact.state.may_work());
        let last = working.clone().filter_map(|(_, fact)| fact.heard).max();
        let silent = last.is_none_or(|last| now.since(last) > ALONE);
        if working.clone().count() + missing.len() >= 2 && (silent || working.count() == 0) {
            return Reach::CutOff;
        }
        if missing.is_empty() {
            return Reach::Whole;
        }
        // By zone: how many are known there, and how many of them are missing.
        let mut zones: BTreeMap<u8, (usize, usize)> = BTreeMap::new();
        for (number, fact) in known.iter().filter(|(_, fact)| fact.state != State::Left) {
            let Some(zone) = fact.zone else { continue };
            let of = zones.entry(zone).or_default();
            of.0 += 1;
            of.1 += usize::from(missing.contains(number));
        }
        zones.remove(&self.own_zone);
        let lost: Vec<u8> =
            zones.iter().filter(|(_, of)| of.0 >= 2 && of.0 == of.1).map(|it| *it.0).collect();
        if lost.is_empty() {
            return Reach::Failed(missing.into_iter().collect());
        }
        if lost.len() == zones.len() && lost.len() >= 2 {
            return Reach::OwnSite;
        }
        Reach::Sites(lost)
    }
}

#[cfg(test)]
mod tests;
