//! Checks the guarantees of the core on a simulated day. The checker sees only observable results: committed versions, views, and
//! responses to operators.

use std::collections::{BTreeMap, BTreeSet};

use fennelgauge_coordination::{Identity, Version, View};
use strum::Display;

use crate::day::Micros;
use crate::ledger::Order;

/// A guarantee that can be violated. It is printed in kebab case, like `old-read`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Rule {
    /// Two different values were committed at one sequence number.
    OneHistory,
    /// An acknowledged change is missing from the committed history.
    Lost,
    /// A read returned a version older than a change that was acknowledged before the read was requested.
    OldRead,
    /// A change that was rejected with a conflict took effect, or one that had taken effect was rejected.
    Refused,
    /// Two different views exist for one epoch.
    OneView,
    /// A machine published an older version than before, without a restart in between.
    WentBack,
    /// Two machines called the platform for one subject with the same fence.
    OneHolder,
    /// After the recovery time at the end of the day, a process outside the core has no source that is in touch with the core.
    CoreNotFound,
    /// After the recovery time at the end of the day, no changes or reads succeed, or too few machines are caught up.
    NotRecovered,
}

/// One violation of a rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    pub rule: Rule,
    /// The simulated time of the violation.
    pub at: Micros,
    /// What was observed.
    pub description: String,
}

/// Records the observable results of a day and collects violations of the rules.
#[derive(Debug, Default)]
pub struct InvariantChecker {
    /// Digest of the committed value, by sequence number.
    history: BTreeMap<u64, u128>,
    /// The view that was seen first, by epoch.
    views: BTreeMap<u64, View>,
    /// The highest sequence number that was acknowledged.
    max_acknowledged: u64,
    acknowledged_orders: BTreeSet<Order>,
    rejected_orders: BTreeSet<Order>,
    /// All orders that ever took effect, with the sequence number at which that was first seen.
    effective: BTreeMap<Order, u64>,
    /// The last sequence number that each running machine published as committed.
    published: BTreeMap<Identity, u64>,
    /// All violations, in the order in which they were found.
    pub violations: Vec<Violation>,
    /// Number of acknowledgements of orders.
    pub acknowledgements: u64,
    /// Number of answered reads.
    pub reads: u64,
    /// Number of rejections of orders.
    pub refusals: u64,
}

impl InvariantChecker {
    fn report(&mut self, rule: Rule, at: Micros, description: String) {
        self.violations.push(Violation { rule, at, description });
    }

    /// Records that a machine publishes a version as committed, with the orders that its value remembers, oldest first.
    pub fn record_committed(&mut self, at: Micros, by: &Identity, version: Version, orders: &[Order]) {
        let known = *self.history.entry(version.sequence).or_insert(version.digest);
        if known != version.digest {
            let description = format!(
                "sequence number {} has two different values, one of them published by {}",
                version.sequence, by.node
            );
            self.report(Rule::OneHistory, at, description);
        }
        for order in orders.iter().rev() {
            if self.effective.insert(*order, version.sequence).is_some() {
                break;
            }
            if self.rejected_orders.contains(order) {
                self.report(Rule::Refused, at, format!("{order:?} was rejected and then took effect"));
            }
        }
        let before = self.published.insert(by.clone(), version.sequence).unwrap_or(0);
        if before > version.sequence {
            let description =
                format!("{} went back from sequence number {before} to {}", by.node, version.sequence);
            self.report(Rule::WentBack, at, description);
        }
    }

    /// Records that two machines used one fence.
    pub fn record_shared_fence(&mut self, at: Micros, description: String) {
        self.report(Rule::OneHolder, at, description);
    }

    /// Records that a process does not find the core.
    pub fn record_lost_watcher(&mut self, at: Micros, description: String) {
        self.report(Rule::CoreNotFound, at, description);
    }

    /// Records the end of a process. After a restart it may publish older versions than before.
    pub fn record_end(&mut self, of: &Identity) {
        self.published.remove(of);
    }

    /// Records that a machine has installed a view.
    pub fn record_view(&mut self, at: Micros, view: &View) {
        if view.epoch == 0 {
            return;
        }
        let known = self.views.entry(view.epoch).or_insert_with(|| view.clone());
        if known != view {
            let description = format!("epoch {} has two different views", view.epoch);
            self.report(Rule::OneView, at, description);
        }
    }

    /// Records that an order was acknowledged, at this sequence number or an earlier one.
    pub fn record_acknowledgement(&mut self, order: Order, sequence: u64) {
        self.acknowledgements += 1;
        self.max_acknowledged = self.max_acknowledged.max(sequence);
        self.acknowledged_orders.insert(order);
    }

    /// Records that an order was rejected with a conflict.
    pub fn record_refusal(&mut self, at: Micros, order: Order) {
        self.refusals += 1;
        self.rejected_orders.insert(order);
        if self.effective.contains_key(&order) {
            self.report(Rule::Refused, at, format!("{order:?} had taken effect and was then rejected"));
        }
    }

    /// Returns the lowest sequence number that a read requested now may return.
    pub fn min_read_position(&self) -> u64 {
        self.max_acknowledged
    }

    /// Records the sequence number that a read returned; `min_position` is what `min_read_position` gave when it was requested.
    pub fn record_read(&mut self, at: Micros, min_position: u64, sequence: u64) {
        self.reads += 1;
        if sequence < min_position {
            self.report(
                Rule::OldRead,
                at,
                format!("sequence number {sequence} was read after {min_position} was acknowledged"),
            );
        }
    }

    /// Records that the core has not recovered in time.
    pub fn record_no_recovery(&mut self, at: Micros, description: String) {
        self.report(Rule::NotRecovered, at, description);
    }

    /// Checks at the end of the day that every acknowledged order is in the committed history. `last` is its highest sequence
    /// number; without one, nothing is checked.
    pub fn check_durability(&mut self, at: Micros, last: Option<u64>) {
        let Some(last) = last else { return };
        if last < self.max_acknowledged {
            let description = format!(
                "sequence number {} was acknowledged, but the highest committed one is {last}",
                self.max_acknowledged
            );
            self.report(Rule::Lost, at, description);
        }
        let mut bases: BTreeMap<u64, Order> = BTreeMap::new();
        for order in self.acknowledged_orders.clone() {
            if let Some(other) = bases.insert(order.base, order).filter(|other| *other != order) {
                let description =
                    format!("{order:?} and {other:?} were both acknowledged with the same base generation");
                self.report(Rule::Lost, at, description);
            }
            if !self.effective.contains_key(&order) {
                self.report(
                    Rule::Lost,
                    at,
                    format!("{order:?} was acknowledged, but never published as committed"),
                );
            }
        }
    }
}
