//! What was observed of one batch job, and the checks of its result pages.

use std::collections::BTreeMap;

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
    /// Whether items of the job may be given up.
    pub items_may_be_given_up: bool,
    /// When a client first received status 202.
    pub accepted: Option<Micros>,
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
}

impl ObservedJob {
    pub fn new(submitted: SubmittedJob, limits: &Limits) -> Self {
        Self {
            submitted,
            max_queued_tokens: limits.max_queued_tokens,
            items_may_be_given_up: limits.items_may_be_given_up,
            accepted: None,
            cancel_requested: false,
            cancelled: None,
            given_up: None,
            listed: BTreeMap::new(),
            outputs: BTreeMap::new(),
        }
    }

    /// Returns the tokens of all items that no server has completed; 0 unless the job is accepted and still to be run.
    pub fn queued_tokens(&self) -> u64 {
        if self.accepted.is_none() || self.cancel_requested || self.given_up.is_some() {
            return 0;
        }
        let waiting = self.submitted.items.iter().filter(|item| !self.outputs.contains_key(&item.id));
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
        if result.outcome == Outcome::DeadLettered && !self.items_may_be_given_up {
            return Some((Rule::Mixed, format!("{} was given up without a cause", result.item)));
        }
        self.listed.insert(position, (result.clone(), at));
        None
    }
}
