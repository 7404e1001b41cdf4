//! What was observed of one batch job, and the checks of its result pages.

use std::collections::{BTreeMap, BTreeSet};

use crate::routes::{RouteHistory, UnfinishedItem};
use crate::{Limits, Micros, ResultPage, Rule};

/// An item of a job as a client submitted it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SubmittedItem {
    pub id: String,
    /// Tokens that count towards the tenant's quota while the item is queued.
    pub tokens: u64,
}

/// A batch job as a client submitted it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SubmittedJob {
    pub id: String,
    pub tenant: String,
    /// Name of the batch route that it was submitted to.
    pub route: String,
    /// When it was first submitted.
    pub submitted_at: Micros,
    pub items: Vec<SubmittedItem>,
}

/// The final state of an item.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A server completed the item.
    Succeeded,
    /// The item failed for good and is not tried again.
    DeadLettered,
}

/// One entry of a job's result list, as a reader received it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedResult {
    /// Id of the item.
    pub item: String,
    pub outcome: Outcome,
    /// The text that a server produced; empty for a dead-lettered item.
    pub text: String,
}

/// Everything that was observed of one job.
#[derive(Clone, Debug)]
pub(crate) struct ObservedJob {
    pub submitted: SubmittedJob,
    /// The tenant's limit of queued tokens when the job was first submitted.
    pub max_queued_tokens: u64,
    /// When a client first received status 202.
    pub accepted: Option<Micros>,
    /// Whether the client gave up the submission after each response to it promised that the job does not run.
    pub refused: bool,
    /// Items that servers have started.
    pub started: BTreeSet<String>,
    /// Whether a client requested the cancellation of the job.
    pub cancel_requested: bool,
    /// When the cancellation was first acknowledged.
    pub cancelled: Option<Micros>,
    /// When an operator gave up the group of stores that held the job.
    pub given_up: Option<Micros>,
    /// Results that were read, by position in the result list, with the time of the first read.
    pub listed: BTreeMap<usize, (ListedResult, Micros)>,
    /// Texts that servers produced in completed runs, by item id.
    pub outputs: BTreeMap<String, Vec<String>>,
    /// When servers failed to run items, by item id.
    pub failures: BTreeMap<String, Vec<Micros>>,
    /// How often servers rejected items for good, by item id.
    pub rejections: BTreeMap<String, usize>,
}

impl ObservedJob {
    pub fn new(submitted: SubmittedJob, limits: &Limits) -> Self {
        Self {
            submitted,
            max_queued_tokens: limits.max_queued_tokens,
            accepted: None,
            refused: false,
            started: BTreeSet::new(),
            cancel_requested: false,
            cancelled: None,
            given_up: None,
            listed: BTreeMap::new(),
            outputs: BTreeMap::new(),
            failures: BTreeMap::new(),
            rejections: BTreeMap::new(),
        }
    }

    /// Returns whether a server had rejected an item, or a configuration allowed to give it up, by `at`.
    pub fn may_be_given_up(&self, item: &str, at: Micros, routes: &RouteHistory) -> bool {
        let item_of_route = UnfinishedItem {
            route: &self.submitted.route,
            submitted_at: self.submitted.submitted_at,
            failures: self.failures.get(item).map_or(&[], |failures| failures),
        };
        self.rejections.contains_key(item) || routes.has_cause_to_give_up(&item_of_route, at)
    }

    /// Returns the tokens of all items that no server has completed and that may not have been given up by `at`; 0 unless the
    /// job is accepted and still to be run.
    pub fn queued_tokens(&self, at: Micros, routes: &RouteHistory) -> u64 {
        if self.accepted.is_none() || self.cancel_requested || self.given_up.is_some() {
            return 0;
        }
        let waiting = self.submitted.items.iter().filter(|item| !self.outputs.contains_key(&item.id));
        let waiting = waiting.filter(|item| !self.may_be_given_up(&item.id, at, routes));
        waiting.map(|item| item.tokens).sum()
    }

    /// Compares a page with everything that was read before, records its results, and returns the violations found.
    pub fn check_page(
        &mut self,
        requested_at: Micros,
        at: Micros,
        page: &ResultPage,
        visibility_delay: Micros,
    ) -> Vec<(Rule, String)> {
        let mut violations = Vec::new();
        if self.given_up.is_some_and(|given_up| requested_at > given_up + visibility_delay) {
            violations.push((Rule::GivenUp, "was given up, but its results are shown".to_owned()));
        }
        if page.total != self.submitted.items.len() {
            violations.push((
                Rule::Mixed,
                format!(
                    "the page has a total of {}, the job has {} items",
                    page.total,
                    self.submitted.items.len()
                ),
            ));
        }
        let was_read = self
            .listed
            .get(&page.start)
            .is_some_and(|(_, first_read)| requested_at > first_read + visibility_delay);
        if page.results.is_empty() && was_read {
            violations.push((Rule::Lost, format!("no result is listed at position {} any more", page.start)));
        }
        for (offset, result) in page.results.iter().enumerate() {
            violations.extend(self.check_result(at, page.start + offset, result));
        }
        violations
    }

    /// Checks one result, and records it if it is new and violates no rule.
    fn check_result(&mut self, at: Micros, position: usize, result: &ListedResult) -> Option<(Rule, String)> {
        if !self.submitted.items.iter().any(|item| item.id == result.item) {
            return Some((
                Rule::Mixed,
                format!("position {position} holds {}, which is not an item of the job", result.item),
            ));
        }
        if let Some((before, _)) = self.listed.get(&position) {
            return (before != result).then(|| {
                (Rule::Twice, format!("position {position} holds another result than before: {result:?}"))
            });
        }
        let elsewhere = self.listed.iter().find(|(_, (listed, _))| listed.item == result.item);
        if let Some((first, _)) = elsewhere {
            return Some((
                Rule::Twice,
                format!("{} is listed at positions {first} and {position}", result.item),
            ));
        }
        let outputs = self.outputs.get(&result.item);
        let is_known_output = outputs.is_some_and(|outputs| outputs.contains(&result.text));
        if result.outcome == Outcome::Succeeded && !is_known_output {
            return Some((Rule::Mixed, format!("{} has a text that no server produced", result.item)));
        }
        self.listed.insert(position, (result.clone(), at));
        None
    }
}
