//! Checks the guarantees that the tier gives for batch jobs against the requests and responses that clients and servers observed.
//!
//! The checker knows nothing of how the tier is implemented. The simulator and the soak test both feed it the same events. All
//! times are microseconds of a clock that the caller chooses.

mod routes;
mod seen;

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Debug;

use routes::RouteHistory;
pub use routes::{RouteTerms, Routes};
use seen::ObservedJob;
pub use seen::{ListedResult, Outcome, SubmittedItem, SubmittedJob};
use strum::Display;

/// Factor on a route's `retries`: after so many failures an item must not reach a server again.
const MAX_FAILURES_FACTOR: usize = 3;
/// After so many rejections an item must not reach a server again.
const MAX_REJECTIONS: usize = 3;

/// A time or a duration in microseconds.
pub type Micros = u64;

/// A guarantee of batch jobs that can be violated. It is printed in upper case, like `GIVEN_UP`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display)]
#[strum(serialize_all = "SCREAMING_SNAKE_CASE")]
pub enum Rule {
    /// A job that was accepted, or a result that was read, can no longer be read.
    Lost,
    /// A position of the result list shows another result than before, or one item is listed at two positions.
    Twice,
    /// A page has a wrong total, a result of an item that is not in the job, a text that no server produced for the item, or
    /// an item that was given up without a cause.
    Mixed,
    /// A job was accepted although its tenant then had more queued tokens than its quota allows.
    Quota,
    /// A server started an item of a cancelled job, or an item that no client submitted.
    Unasked,
    /// A server received an item again after three times the route's `retries` failures, or after three rejections.
    Budget,
    /// A store that is in touch with the core started an item of a route that had ended.
    Config,
    /// A server ran an item of a job whose submissions were all answered with a status that promises that it does not run.
    Refused,
    /// At the end of the run, an item of an accepted job that was neither cancelled nor given up has no result: it waits or runs
    /// on without end.
    Unfinished,
    /// A job whose data an operator gave up is shown again, a job is reported as given up that was not, or data was given up that
    /// must not be.
    GivenUp,
}

/// One violation of a rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    pub rule: Rule,
    /// The time at which the violation was observed.
    pub at: Micros,
    /// The job or item concerned, and what was observed.
    pub description: String,
}

/// Time limits and quota that the rules refer to.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Time after which an accepted job or a result that was read once must be visible to every reader.
    pub visibility_delay: Micros,
    /// Time after an acknowledged cancellation during which items of the job may still start.
    pub cancellation_grace: Micros,
    /// Maximum number of queued tokens per tenant and route, including the permitted overage; 0 means no limit.
    pub max_queued_tokens: u64,
    /// Whether items may be given up without a cause that the checker knows of: a rejection by a server, or what an acknowledged
    /// configuration allows.
    pub items_may_be_given_up: bool,
    /// Time after the end of a route during which a store that is in touch with the core may still start its items.
    pub route_end_grace: Micros,
}

/// A page of a job's result list, as a reader received it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResultPage {
    /// Position of the first result of the page in the job's result list.
    pub start: usize,
    /// Number of items in the job, according to the page.
    pub total: usize,
    pub results: Vec<ListedResult>,
}

/// Records what clients and servers observe of batch jobs, and collects violations of the rules.
#[derive(Clone, Debug)]
pub struct BatchJobChecker {
    limits: Limits,
    routes: RouteHistory,
    jobs: BTreeMap<String, ObservedJob>,
    /// The id of the job that each item belongs to, by item id.
    items: BTreeMap<String, String>,
    /// All violations found so far, in the order in which they were found.
    pub violations: Vec<Violation>,
    /// Number of result pages that were checked.
    pub pages_read: u64,
}

impl BatchJobChecker {
    /// Creates a checker that has observed nothing yet.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            routes: RouteHistory::default(),
            jobs: BTreeMap::new(),
            items: BTreeMap::new(),
            violations: Vec::new(),
            pages_read: 0,
        }
    }

    fn report(&mut self, rule: Rule, at: Micros, description: impl Into<String>) {
        self.violations.push(Violation { rule, at, description: description.into() });
    }

    /// Records that a client submits a job. A repeated submission of the same job changes nothing but that it is not refused until
    /// the responses to this one say so, too.
    pub fn record_submission(&mut self, job: &SubmittedJob) {
        for item in &job.items {
            self.items.insert(item.id.clone(), job.id.clone());
        }
        let limits = self.limits;
        let observed =
            self.jobs.entry(job.id.clone()).or_insert_with(|| ObservedJob::new(job.clone(), &limits));
        observed.refused = false;
    }

    /// Records that a client received status 202 for a job, and checks the tenant's quota at its first acceptance.
    pub fn record_acceptance(&mut self, at: Micros, job: &str) {
        let Some(observed) = self.jobs.get_mut(job) else { return };
        if observed.given_up.is_some() {
            if !observed.listed.is_empty() {
                return self.report(
                    Rule::GivenUp,
                    at,
                    format!(
                        "{job} is accepted again after it was given up, although its results had been read"
                    ),
                );
            }
            // No result of the given-up job was ever read, so the tier may treat the submission as a new job.
            (observed.given_up, observed.accepted) = (None, None);
        }
        let again = observed.accepted.replace(observed.accepted.unwrap_or(at)).is_some();
        let (tenant, route) = (observed.submitted.tenant.clone(), observed.submitted.route.clone());
        let queued: u64 = self
            .jobs
            .values()
            .filter(|observed| observed.submitted.tenant == tenant && observed.submitted.route == route)
            .map(|observed| observed.queued_tokens(at, &self.routes))
            .sum();
        // If the quota was lowered since the job was first submitted, the quota of that time applies.
        let max_queued_tokens = self
            .limits
            .max_queued_tokens
            .max(self.jobs.get(job).map_or(0, |observed| observed.max_queued_tokens));
        if !again && max_queued_tokens > 0 && queued > max_queued_tokens {
            self.report(
                Rule::Quota,
                at,
                format!("{job}: {queued} tokens of {tenant} are queued, the limit is {max_queued_tokens}"),
            );
        }
    }

    /// Records that a client gives up the submission of a job after each response to it promised that the job does not run.
    pub fn record_refusal(&mut self, at: Micros, job: &str) {
        let Some(observed) = self.jobs.get_mut(job) else { return };
        observed.refused = true;
        if let Some(item) = observed.started.first() {
            let description = format!("{item} ran although its batch job is refused");
            self.report(Rule::Refused, at, description);
        }
    }

    /// Records that a server starts an item, and checks that its job was not refused. In contrast to
    /// [`Self::record_item_start`] this holds for items that any store sends, in touch or not.
    pub fn check_refusal_of_start(&mut self, at: Micros, item: &str) {
        let Some(observed) = self.items.get(item).and_then(|job| self.jobs.get_mut(job)) else { return };
        observed.started.insert(item.to_owned());
        if observed.refused {
            self.report(Rule::Refused, at, format!("{item} starts although its batch job was refused"));
        }
    }

    /// Records that a client requests the cancellation of a job.
    pub fn record_cancel_request(&mut self, job: &str) {
        if let Some(observed) = self.jobs.get_mut(job) {
            observed.cancel_requested = true;
        }
    }

    /// Records that the tier acknowledged the cancellation of a job. The first acknowledgement counts.
    pub fn record_cancelled(&mut self, at: Micros, job: &str) {
        if let Some(observed) = self.jobs.get_mut(job) {
            observed.cancelled = observed.cancelled.or(Some(at));
        }
    }

    /// Records that a server starts an item, and checks that the item may run.
    pub fn record_item_start(&mut self, at: Micros, item: &str) {
        let Some(job) = self.items.get(item) else {
            return self.report(Rule::Unasked, at, format!("{item} starts, but no client submitted it"));
        };
        let Some(observed) = self.jobs.get(job) else { return };
        if observed.cancelled.is_some_and(|cancelled| at > cancelled + self.limits.cancellation_grace) {
            self.report(Rule::Unasked, at, format!("{item} starts although its batch job was cancelled"));
        }
        self.check_attempts(at, item);
    }

    /// Checks that an item that starts has not failed, or been rejected, too often at all servers together.
    fn check_attempts(&mut self, at: Micros, item: &str) {
        let Some(observed) = self.items.get(item).and_then(|job| self.jobs.get(job)) else { return };
        let failures = observed.failures.get(item).map_or(0, Vec::len);
        let rejections = observed.rejections.get(item).copied().unwrap_or(0);
        let SubmittedJob { route, submitted_at, .. } = &observed.submitted;
        // The processes that take and run the item may not know for that long that a configuration was replaced.
        let since = submitted_at.saturating_sub(self.limits.route_end_grace);
        let retries = self.routes.most_retries(route, since, at);
        let has_failed_too_often =
            retries.is_some_and(|retries| failures >= MAX_FAILURES_FACTOR * retries.max(1));
        if has_failed_too_often || rejections >= MAX_REJECTIONS {
            let description =
                format!("{item} starts after {failures} failures and {rejections} rejections by servers");
            self.report(Rule::Budget, at, description);
        }
    }

    /// Records that a configuration with these batch routes is acknowledged.
    pub fn record_configuration(&mut self, at: Micros, routes: Routes) {
        self.routes.record(at, routes);
    }

    /// Checks that an item which a store that is in touch with the core starts belongs to a route that has not ended.
    pub fn check_route_of_start(&mut self, at: Micros, item: &str) {
        let Some(observed) = self.items.get(item).and_then(|job| self.jobs.get(job)) else { return };
        let route = &observed.submitted.route;
        let ended = self.routes.absent_since(route, at);
        if ended.is_some_and(|ended| at > ended + self.limits.route_end_grace) {
            let description = format!("{item} starts although its route {route} has ended");
            self.report(Rule::Config, at, description);
        }
    }

    /// Records that a server failed to run an item. An item may be run again.
    pub fn record_item_failure(&mut self, at: Micros, item: &str) {
        if let Some(observed) = self.items.get(item).and_then(|job| self.jobs.get_mut(job)) {
            observed.failures.entry(item.to_owned()).or_default().push(at);
        }
    }

    /// Records that a server rejected an item for good.
    pub fn record_item_rejection(&mut self, item: &str) {
        if let Some(observed) = self.items.get(item).and_then(|job| self.jobs.get_mut(job)) {
            *observed.rejections.entry(item.to_owned()).or_default() += 1;
        }
    }

    /// Records that a server completed an item with this text. An item may be run more than once.
    pub fn record_item_output(&mut self, item: &str, text: &str) {
        if let Some(observed) = self.items.get(item).and_then(|job| self.jobs.get_mut(job)) {
            observed.outputs.entry(item.to_owned()).or_default().push(text.to_owned());
        }
    }

    /// Checks a result page that `reader` requested at `requested_at` and received at `at`.
    pub fn check_page(
        &mut self,
        requested_at: Micros,
        at: Micros,
        job: &str,
        page: &ResultPage,
        reader: &str,
    ) {
        self.pages_read += 1;
        let Some(observed) = self.jobs.get_mut(job) else { return };
        let visibility_delay = self.limits.visibility_delay;
        let mut violations = observed.check_page(requested_at, at, page, visibility_delay);
        if !self.limits.items_may_be_given_up {
            violations.extend(given_up_without_cause(observed, page, at, &self.routes));
        }
        for (rule, description) in violations {
            self.report(rule, at, format!("{job}: {description} (through {reader})"));
        }
    }

    /// Returns the maximum number of queued tokens per tenant.
    pub fn max_queued_tokens(&self) -> u64 {
        self.limits.max_queued_tokens
    }

    /// Sets the maximum number of queued tokens per tenant for jobs accepted from now on.
    pub fn set_max_queued_tokens(&mut self, max_queued_tokens: u64) {
        self.limits.max_queued_tokens = max_queued_tokens;
    }

    /// Records that an operator gives up all jobs of a tenant that were accepted so far.
    ///
    /// `known_jobs` are the ids of the lost jobs that the tier still knows. Accepted jobs that are not among them are no longer
    /// checked, because the tier guarantees nothing about them. Returns the number of these jobs.
    pub fn record_give_up(&mut self, at: Micros, tenant: &str, known_jobs: &BTreeSet<String>) -> usize {
        let before = self.jobs.len();
        let is_still_checked = |id: &String, observed: &mut ObservedJob| {
            observed.submitted.tenant != tenant
                || observed.accepted.is_none()
                || observed.given_up.is_some()
                || known_jobs.contains(id)
        };
        self.jobs.retain(is_still_checked);
        for observed in self.jobs.values_mut().filter(|observed| observed.submitted.tenant == tenant) {
            if observed.accepted.is_some() {
                observed.given_up = observed.given_up.or(Some(at));
            }
        }
        before - self.jobs.len()
    }

    /// Records a violation: data was given up that must not be.
    pub fn record_wrongful_give_up(&mut self, at: Micros, description: String) {
        self.report(Rule::GivenUp, at, description);
    }

    /// Checks a response to a request of `requested_at` that says the job was given up.
    pub fn check_reported_given_up(&mut self, requested_at: Micros, at: Micros, job: &str, reader: &str) {
        let Some(observed) = self.jobs.get(job) else { return };
        let must_be_visible =
            observed.accepted.is_some_and(|accepted| requested_at > accepted + self.limits.visibility_delay);
        if must_be_visible && observed.given_up.is_none() {
            self.report(
                Rule::GivenUp,
                at,
                format!("{job} is reported as given up, but was not (through {reader})"),
            );
        }
    }

    /// Checks a response to a request of `requested_at` that has status 404 for the job.
    pub fn check_not_found(&mut self, requested_at: Micros, at: Micros, job: &str, reader: &str) {
        let Some(observed) = self.jobs.get(job) else { return };
        if observed.accepted.is_some_and(|accepted| requested_at > accepted + self.limits.visibility_delay) {
            self.report(Rule::Lost, at, format!("{job} is not found (through {reader})"));
        }
    }

    /// Returns the ids of all accepted jobs.
    pub fn accepted_jobs(&self) -> Vec<String> {
        self.jobs
            .iter()
            .filter(|(_, observed)| observed.accepted.is_some())
            .map(|(id, _)| id.clone())
            .collect()
    }

    /// Returns whether no more results of the job are expected: cancellation was requested, or a result of every item was read.
    pub fn is_complete(&self, job: &str) -> bool {
        self.jobs.get(job).is_some_and(|observed| {
            observed.cancel_requested || observed.listed.len() == observed.submitted.items.len()
        })
    }

    /// Checks, at the end of a run, that every accepted job that was neither cancelled nor given up has all its results.
    pub fn check_completeness(&mut self, at: Micros) {
        let unfinished: Vec<String> = self
            .jobs
            .iter()
            .filter(|(_, observed)| {
                observed.accepted.is_some() && !observed.cancel_requested && observed.given_up.is_none()
            })
            .filter(|(_, observed)| observed.listed.len() < observed.submitted.items.len())
            .map(|(id, observed)| {
                format!(
                    "{id}: {} of {} items have a listed result",
                    observed.listed.len(),
                    observed.submitted.items.len()
                )
            })
            .collect();
        for description in unfinished {
            self.report(Rule::Unfinished, at, description);
        }
    }
}

/// Returns a violation for each item that a page of `at` is the first to list as given up, although no server had rejected it and no
/// configuration allowed it by then.
fn given_up_without_cause(
    job: &ObservedJob,
    page: &ResultPage,
    at: Micros,
    routes: &RouteHistory,
) -> Vec<(Rule, String)> {
    let given_up = page.results.iter().filter(|result| result.outcome == Outcome::DeadLettered);
    let is_first = |result: &&ListedResult| {
        job.listed.values().any(|(listed, first_read)| listed == *result && *first_read == at)
    };
    given_up
        .filter(is_first)
        .filter(|result| !job.may_be_given_up(&result.item, at, routes))
        .map(|result| (Rule::Mixed, format!("{} was given up without a cause", result.item)))
        .collect()
}
