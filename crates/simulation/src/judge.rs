//! What must hold on every day, and whether it did. The judge sees only what came out of the machines.

use std::collections::{BTreeMap, BTreeSet};

use fennelgauge_coordination::{Identity, Version, View};
use strum::Display;

use crate::day::Micros;
use crate::ledger::Order;

/// A rule that was broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Rule {
    /// Two contents were committed at one place in the history.
    OneHistory,
    /// What was acknowledged is not in the history.
    Lost,
    /// A read was older than what was acknowledged before it was asked.
    OldRead,
    /// An order that was refused took effect, or one that had taken effect was refused.
    Refused,
    /// Two views, or two heads, for one epoch.
    OneView,
    /// A machine went back to an older state within one life.
    WentBack,
    /// Not serving, or a machine not level, so long after all are back.
    NotRecovered,
}

/// A broken rule with what was seen.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Broken {
    pub rule: Rule,
    pub at: Micros,
    pub what: String,
}

#[derive(Debug, Default)]
pub struct Judge {
    history: BTreeMap<u64, u128>,
    views: BTreeMap<u64, View>,
    /// The newest place that was acknowledged.
    acknowledged: u64,
    acknowledged_orders: BTreeSet<Order>,
    refused: BTreeSet<Order>,
    /// All orders that ever took effect, by place.
    effective: BTreeMap<Order, u64>,
    published: BTreeMap<Identity, u64>,
    pub broken: Vec<Broken>,
    pub acknowledgements: u64,
    pub reads: u64,
    pub refusals: u64,
}

impl Judge {
    fn breaks(&mut self, rule: Rule, at: Micros, what: String) {
        self.broken.push(Broken { rule, at, what });
    }

    /// A machine takes this version for committed and hands it on.
    pub fn saw_committed(&mut self, at: Micros, by: &Identity, version: Version, orders: &[Order]) {
        let known = *self.history.entry(version.sequence).or_insert(version.digest);
        if known != version.digest {
            let what = format!("place {} has two contents, one seen at {}", version.sequence, by.node);
            self.breaks(Rule::OneHistory, at, what);
        }
        for order in orders.iter().rev() {
            if self.effective.insert(*order, version.sequence).is_some() {
                break;
            }
            if self.refused.contains(order) {
                self.breaks(Rule::Refused, at, format!("{order:?} was refused and took effect"));
            }
        }
        let before = self.published.insert(by.clone(), version.sequence).unwrap_or(0);
        if before > version.sequence {
            let what = format!("{} went from place {before} to {}", by.node, version.sequence);
            self.breaks(Rule::WentBack, at, what);
        }
    }

    /// A process has ended: its next life begins anew.
    pub fn saw_end(&mut self, of: &Identity) {
        self.published.remove(of);
    }

    pub fn saw_view(&mut self, at: Micros, view: &View) {
        if view.epoch == 0 {
            return;
        }
        let known = self.views.entry(view.epoch).or_insert_with(|| view.clone());
        if known != view {
            let what = format!("epoch {} has two views", view.epoch);
            self.breaks(Rule::OneView, at, what);
        }
    }

    pub fn saw_acknowledgement(&mut self, order: Order, place: u64) {
        self.acknowledgements += 1;
        self.acknowledged = self.acknowledged.max(place);
        self.acknowledged_orders.insert(order);
    }

    pub fn saw_refusal(&mut self, at: Micros, order: Order) {
        self.refusals += 1;
        self.refused.insert(order);
        if self.effective.contains_key(&order) {
            self.breaks(Rule::Refused, at, format!("{order:?} had taken effect and was refused"));
        }
    }

    /// The place that a read must not be older than, if it is asked now.
    pub fn floor_for_reads(&self) -> u64 {
        self.acknowledged
    }

    pub fn saw_read(&mut self, at: Micros, floor: u64, place: u64) {
        self.reads += 1;
        if place < floor {
            self.breaks(Rule::OldRead, at, format!("place {place} was read after {floor} was acknowledged"));
        }
    }

    pub fn saw_no_recovery(&mut self, at: Micros, what: String) {
        self.breaks(Rule::NotRecovered, at, what);
    }

    /// At the end: all that was acknowledged is in the history that survived, of which `last` is the newest place.
    pub fn close(&mut self, at: Micros, last: Option<u64>) {
        let Some(last) = last else { return };
        if last < self.acknowledged {
            let what = format!("place {} was acknowledged, {last} is the newest", self.acknowledged);
            self.breaks(Rule::Lost, at, what);
        }
        let mut bases: BTreeMap<u64, Order> = BTreeMap::new();
        for order in self.acknowledged_orders.clone() {
            if let Some(other) = bases.insert(order.base, order).filter(|other| *other != order) {
                let what = format!("{order:?} and {other:?} build on one version");
                self.breaks(Rule::Lost, at, what);
            }
            if !self.effective.contains_key(&order) {
                self.breaks(Rule::Lost, at, format!("{order:?} was acknowledged and never seen committed"));
            }
        }
    }
}
