//! What lies between two parties: delay, and what a fault makes of it for a while. Pure; the simulated and the
//! real play both ask it.

use crate::chance::{of, Use};
use crate::scenario::{Cut, Network, Scenario};
use crate::target::{Layout, Party};
use fennelgauge::time::{Moment, Span};
use rand::RngExt;
use std::collections::{BTreeMap, BTreeSet};

/// A fault on all links between two sides, from `at` until `until`.
#[derive(Clone, Debug)]
pub struct Spell {
    pub at: Moment,
    pub until: Moment,
    pub from: BTreeSet<Party>,
    pub to: BTreeSet<Party>,
    pub cut: Option<Cut>,
    pub delay: Span,
    pub jitter: Span,
    pub loss: f64,
    pub twice: f64,
    pub reset: f64,
    pub half_open: bool,
    pub bytes_per_s: Option<f64>,
}

impl Spell {
    /// Whether it lies on the link, and if so whether `a` is on its `from` side.
    fn lies_on(&self, a: Party, b: Party) -> Option<bool> {
        if self.from.contains(&a) && self.to.contains(&b) {
            Some(true)
        } else if self.from.contains(&b) && self.to.contains(&a) {
            Some(false)
        } else {
            None
        }
    }

    /// Nothing passes from `a` to `b` while it holds.
    fn cuts(&self, a: Party, b: Party) -> bool {
        let Some(forth) = self.lies_on(a, b) else { return false };
        match self.cut {
            None => false,
            Some(Cut::Both) => true,
            Some(Cut::Forth) => forth,
            Some(Cut::Back) => !forth,
        }
    }

    fn holds(&self, now: Moment) -> bool {
        self.at <= now && now < self.until
    }
}

/// One direction of a link at a moment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Way {
    pub open: bool,
    pub delay: Span,
    /// Up to this comes on top.
    pub jitter: Span,
    /// Of datagrams.
    pub loss: f64,
    /// Of datagrams, that come twice.
    pub twice: f64,
    /// Of requests, whose connection is reset under them.
    pub reset: f64,
    pub bytes_per_s: Option<f64>,
}

#[derive(Clone, Debug)]
pub struct Links {
    layout: Layout,
    network: Network,
    spells: Vec<Spell>,
    seed: u64,
}

impl Links {
    pub fn new(scenario: &Scenario, layout: Layout, spells: Vec<Spell>) -> Self {
        Self { layout, network: scenario.network.clone(), spells, seed: scenario.seed }
    }

    /// The way from `a` to `b` now.
    pub fn way(&self, a: Party, b: Party, now: Moment) -> Way {
        let same = match (self.layout.zone(a), self.layout.zone(b)) {
            (Some(a), Some(b)) => a == b,
            _ => true,
        };
        let delay = if same { self.network.delay_ms } else { self.network.cross_ms };
        let mut way = Way {
            open: true,
            delay: Span::from_secs(delay / 1e3),
            jitter: Span::from_secs(self.network.jitter_ms / 1e3),
            loss: 0.0,
            twice: 0.0,
            reset: 0.0,
            bytes_per_s: None,
        };
        for spell in self.spells.iter().filter(|spell| spell.holds(now) && spell.lies_on(a, b).is_some()) {
            way.open &= !spell.cuts(a, b);
            way.delay = way.delay + spell.delay;
            way.jitter = way.jitter.max(spell.jitter);
            way.loss = way.loss.max(spell.loss);
            way.twice = way.twice.max(spell.twice);
            way.reset = way.reset.max(spell.reset);
            way.bytes_per_s = way.bytes_per_s.or(spell.bytes_per_s);
        }
        way
    }

    /// When what is sent from `a` to `b` now can pass: now, or when the cuts are over.
    pub fn opens(&self, a: Party, b: Party, now: Moment) -> Moment {
        let mut at = now;
        // Cuts may overlap: each look goes past at least one.
        for _ in 0..=self.spells.len() {
            match self
                .spells
                .iter()
                .filter(|spell| spell.holds(at) && spell.cuts(a, b))
                .map(|it| it.until)
                .max()
            {
                Some(until) => at = until,
                None => break,
            }
        }
        at
    }

    /// A connection needs both directions to come up.
    pub fn connects(&self, a: Party, b: Party, now: Moment) -> Moment {
        let mut at = now;
        for _ in 0..=self.spells.len() {
            let open = self.opens(a, b, at).max(self.opens(b, a, at));
            if open == at {
                break;
            }
            at = open;
        }
        at
    }

    /// A connection made at `since` that a half-open spell has caught meanwhile: nothing passes on it any more.
    pub fn caught(&self, a: Party, b: Party, since: Moment, now: Moment) -> bool {
        self.spells.iter().any(|spell| {
            spell.half_open && spell.lies_on(a, b).is_some() && since < spell.at && spell.at <= now
        })
    }

    /// How long something numbered takes from `a` to `b`, sent now, when nothing is cut.
    pub fn takes(&self, a: Party, b: Party, now: Moment, number: u64) -> Span {
        let way = self.way(a, b, now);
        way.delay + way.jitter.times(of(self.seed, Use::Links, number).random::<f64>())
    }

    /// A datagram from `a` to `b`, sent now and numbered: when it comes, once or twice, or not at all; `extra` is what
    /// datagrams take and lose beside.
    pub fn datagram(
        &self,
        a: Party,
        b: Party,
        now: Moment,
        number: u64,
        extra: &crate::scenario::Membership,
    ) -> Vec<Moment> {
        let way = self.way(a, b, now);
        let mut chance = of(self.seed, Use::Links, number | 1 << 62);
        let mut arrives = || {
            let lost = chance.random::<f64>() < way.loss.max(extra.loss);
            let [least, most] = extra.delay_ms;
            let takes = Span::from_secs((least + (most - least) * chance.random::<f64>()) / 1e3);
            let takes = way.delay + way.jitter.times(chance.random()) + takes;
            // A cut that begins on the way takes it too.
            (!lost && way.open && self.way(a, b, now + takes).open).then_some(now + takes)
        };
        let mut comes: Vec<Moment> = arrives().into_iter().collect();
        if of(self.seed, Use::Links, number | 1 << 61).random::<f64>() < way.twice {
            comes.extend(arrives());
        }
        comes
    }

    /// Whether a way between that gateway and another was cut at some time of that span.
    pub fn cuts_gateway(&self, number: u32, from: Moment, until: Moment) -> bool {
        let own = Party::Gateway(number);
        let to_others = |spell: &Spell| {
            let others = |side: &BTreeSet<Party>| {
                side.iter().any(|party| *party != own && matches!(party, Party::Gateway(_)))
            };
            (spell.from.contains(&own) && others(&spell.to))
                || (spell.to.contains(&own) && others(&spell.from))
        };
        let within = |spell: &&Spell| spell.cut.is_some() && spell.at < until && from < spell.until;
        self.spells.iter().filter(within).any(to_others)
    }

    /// Moments at which any link changes, in order.
    pub fn changes(&self) -> Vec<Moment> {
        let ends: BTreeSet<Moment> = self.spells.iter().flat_map(|spell| [spell.at, spell.until]).collect();
        ends.into_iter().collect()
    }

    /// Gateways that no link fault tells apart, by the number of their class. A class shares the addresses
    /// that it reaches the servers at: one for each pair would be tens of thousands.
    pub fn classes(&self) -> Vec<usize> {
        let mut known: BTreeMap<(u16, Vec<(bool, bool)>), usize> = BTreeMap::new();
        let numbers = 0..self.layout.gateways.len() as u32;
        let class = |number: u32| {
            let party = Party::Gateway(number);
            let zone = self.layout.zone(party).unwrap_or_default();
            // What lies between gateways alone is no matter of the ways to servers.
            let others =
                |spell: &&Spell| spell.from.union(&spell.to).any(|party| !matches!(party, Party::Gateway(_)));
            let marks: Vec<(bool, bool)> = self
                .spells
                .iter()
                .filter(others)
                .map(|spell| (spell.from.contains(&party), spell.to.contains(&party)))
                .collect();
            let next = known.len();
            *known.entry((zone, marks)).or_insert(next)
        };
        numbers.map(class).collect()
    }
}
