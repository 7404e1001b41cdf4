//! The batch routes of the configurations that an operator had acknowledged, and for what they allow an item to be given up.

use std::collections::BTreeMap;

use crate::Micros;

/// What a configuration says about a batch route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouteTerms {
    /// Time after the submission from which on an unfinished item may be given up; `None`: never.
    pub retention: Option<Micros>,
    /// Number of failures at servers after which an item may be given up.
    pub retries: usize,
}

/// The batch routes of a configuration, by name.
pub type Routes = BTreeMap<String, RouteTerms>;

/// An item about whose end a judgement is due.
pub(crate) struct UnfinishedItem<'a> {
    pub route: &'a str,
    pub submitted_at: Micros,
    /// When servers failed to run it.
    pub failures: &'a [Micros],
}

/// All acknowledged configurations, oldest first, each with the time of its acknowledgement.
#[derive(Clone, Debug, Default)]
pub(crate) struct RouteHistory(Vec<(Micros, Routes)>);

impl RouteHistory {
    pub fn record(&mut self, at: Micros, routes: Routes) {
        self.0.push((at, routes));
    }

    /// Returns whether, at some moment from the submission until `until`, the newest configuration allowed the item to be
    /// given up. A store that goes by an older one at each of these moments has no cause.
    pub fn has_cause_to_give_up(&self, item: &UnfinishedItem, until: Micros) -> bool {
        self.0.iter().enumerate().any(|(index, (from, routes))| {
            let replaced_at = self.0.get(index + 1).map_or(Micros::MAX, |(at, _)| *at);
            let in_force_until = replaced_at.min(until);
            let overlaps = *from <= until && replaced_at > item.submitted_at;
            overlaps && allows_give_up(routes.get(item.route), item, in_force_until)
        })
    }

    /// Returns the largest number of failures that a configuration in force from `since` until `until` named for a route; `None` if
    /// none of them has the route.
    pub fn most_retries(&self, route: &str, since: Micros, until: Micros) -> Option<usize> {
        let in_force = self.0.iter().enumerate().filter(|(index, (from, _))| {
            let replaced_at = self.0.get(index + 1).map_or(Micros::MAX, |(at, _)| *at);
            *from <= until && replaced_at > since
        });
        in_force.filter_map(|(_, (_, routes))| routes.get(route)).map(|terms| terms.retries).max()
    }

    /// Returns since when the newest configuration at `at` and those right before it have not had a route; `None` if it has it.
    pub fn absent_since(&self, route: &str, at: Micros) -> Option<Micros> {
        let known = self.0.iter().rev().filter(|(from, _)| *from <= at);
        known.take_while(|(_, routes)| !routes.contains_key(route)).last().map(|(from, _)| *from)
    }
}

/// Returns whether an item may be given up at `at` or earlier while the configuration says this about its route.
fn allows_give_up(terms: Option<&RouteTerms>, item: &UnfinishedItem, at: Micros) -> bool {
    let Some(terms) = terms else { return true };
    let failures = item.failures.iter().filter(|failed_at| **failed_at <= at).count();
    let is_expired = terms.retention.is_some_and(|retention| at >= item.submitted_at + retention);
    is_expired || failures >= terms.retries
}
