//! The state of one group: its batch jobs, their results, and the queued tokens by tenant and route.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::{AttemptEvent, Attempts, Item, ItemResult, Job};

/// Limit on the text in one page of results, in bytes. A page whose first result alone is longer exceeds it.
pub const MAX_PAGE_TEXT_BYTES: usize = 900_000;

/// A change to a group. A command that no longer applies (its job is unknown, its item has a result) has no effect,
/// on every replica alike.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Command {
    /// Adds a job; no effect if a job with that id exists.
    Accept(Job),
    /// Appends results to a job; a result for an item that has one is ignored.
    RecordResults {
        /// Id of the job.
        job: String,
        /// Results in the order in which they are appended.
        results: Vec<ItemResult>,
    },
    /// Marks a job as cancelled by its owner; its unfinished items do not run.
    Cancel {
        /// Id of the job.
        job: String,
    },
    /// Forgets a job with its results.
    Remove {
        /// Id of the job.
        job: String,
    },
    /// Replaces a group whose data an operator gave up by an empty one, in the view with this epoch. `given_up_jobs`
    /// holds the ids of the lost jobs as far as they are known; they are not accepted again.
    Recreate {
        /// Epoch of the view in which the group starts again.
        epoch: u64,
        /// Ids of the lost jobs, as far as they are known.
        given_up_jobs: BTreeSet<String>,
    },
    /// Changes what is recorded of the attempts at items; no effect on an item that has a result.
    RecordAttempts {
        /// Id of the job.
        job: String,
        /// Index of the item in the job.
        item_index: u32,
        /// What happened.
        event: AttemptEvent,
    },
}

/// A batch job with its results so far.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct JobState {
    /// The job as submitted, without the bodies of items that need not run any more.
    pub job: Job,
    /// Results in the order in which they were recorded. A result's index here is its position, which never changes.
    pub results: Vec<ItemResult>,
    /// For each item, by its index: whether it has a result.
    pub has_result: Vec<bool>,
    /// Whether the job's owner cancelled it.
    pub cancelled: bool,
    /// The attempts at unfinished items, by item index; without items of which nothing was recorded since the acceptance.
    attempts: BTreeMap<u32, Attempts>,
}

impl JobState {
    fn new(job: Job) -> Self {
        let has_result = vec![false; job.items.len()];
        Self { job, results: Vec::new(), has_result, cancelled: false, attempts: BTreeMap::new() }
    }

    /// Returns what is recorded of the attempts at an item.
    pub fn attempts(&self, item_index: u32) -> Attempts {
        self.attempts.get(&item_index).copied().unwrap_or_default()
    }

    /// Returns true if no item is left to run: every item has a result, or the job was cancelled.
    pub fn is_complete(&self) -> bool {
        self.cancelled || self.results.len() == self.has_result.len()
    }

    /// Returns the indexes of the items without a result, also those of a cancelled job.
    pub fn unfinished_items(&self) -> impl Iterator<Item = u32> + '_ {
        let unfinished = self.has_result.iter().enumerate().filter(|(_, has_result)| !**has_result);
        unfinished.map(|(index, _)| index as u32)
    }

    /// Returns the tokens of the items that may still run.
    fn queued_tokens(&self) -> u64 {
        match self.cancelled {
            true => 0,
            false => self.unfinished_items().map(|item| self.job.items[item as usize].tokens).sum(),
        }
    }
}

/// A page of a job's results, from a given position on.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Page {
    /// Number of items in the job.
    pub total_items: u32,
    /// Position of the first result after this page: where the next read starts.
    pub next_position: u32,
    /// Results in the order of their positions, each with its item's id.
    pub results: Vec<(String, ItemResult)>,
    /// Whether the job is complete: no item is left to run.
    pub is_complete: bool,
}

/// Whether a submitted batch job may be accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The job may be accepted.
    Admitted,
    /// The group already has a job with this id.
    AlreadyAccepted,
    /// A job with this id was lost when an operator gave up the group; the id cannot be used again.
    GivenUp,
    /// With this job, the tenant would exceed its limit of queued tokens on the route.
    OverQuota {
        /// Tokens queued by the tenant on the route without this job.
        queued: u64,
        /// Largest number of queued tokens allowed.
        limit: u64,
    },
}

/// All batch jobs of one group, in the order of their ids.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct GroupState {
    /// Jobs by id.
    jobs: BTreeMap<String, JobState>,
    /// Queued tokens by (tenant, route); without entries that are 0.
    queued: BTreeMap<(String, String), u64>,
    /// Epoch of the view in which the group was recreated after it was given up; 0 if it never was.
    recreated_in_epoch: u64,
    /// Ids of jobs that are known to have been lost with the group when it was given up.
    given_up_jobs: BTreeSet<String>,
}

impl GroupState {
    /// Checks whether a job may be accepted if its tenant may have at most `limit` tokens queued on the job's route
    /// (0: no limit).
    pub fn check_admission(&self, job: &Job, limit: u64) -> Admission {
        if self.jobs.contains_key(&job.id) {
            return Admission::AlreadyAccepted;
        }
        if self.given_up_jobs.contains(&job.id) {
            return Admission::GivenUp;
        }
        let queued = self.queued_tokens(&job.tenant, &job.route);
        match limit > 0 && queued + job.total_tokens() > limit {
            true => Admission::OverQuota { queued, limit },
            false => Admission::Admitted,
        }
    }

    /// Returns the tokens of the tenant's unfinished items on a route, without those of cancelled jobs.
    pub fn queued_tokens(&self, tenant: &str, route: &str) -> u64 {
        self.queued.get(&(tenant.to_owned(), route.to_owned())).copied().unwrap_or(0)
    }

    /// Returns the job with this id.
    pub fn job(&self, id: &str) -> Option<&JobState> {
        self.jobs.get(id)
    }

    /// Returns all jobs in the order of their ids.
    pub fn jobs(&self) -> impl Iterator<Item = &JobState> {
        self.jobs.values()
    }

    /// Returns the epoch of the view in which the group was recreated after it was given up; 0 if it never was.
    pub fn recreated_in_epoch(&self) -> u64 {
        self.recreated_in_epoch
    }

    /// Returns true if a job that the group does not have may have been lost when the group was given up. Not all ids
    /// of lost jobs are known, so this holds for every unknown id once the group was recreated.
    pub fn may_have_given_up(&self, id: &str) -> bool {
        self.recreated_in_epoch > 0 && !self.jobs.contains_key(id)
    }

    /// Returns the ids of the jobs that are lost if the group is given up now, and of those lost before.
    pub fn known_job_ids(&self) -> BTreeSet<String> {
        self.jobs.keys().chain(&self.given_up_jobs).cloned().collect()
    }

    /// Applies a command.
    pub fn apply(&mut self, command: Command) {
        match command {
            Command::Accept(job) => self.accept(job),
            Command::RecordResults { job, results } => self.record_results(&job, results),
            Command::Cancel { job } => self.cancel(&job),
            Command::Remove { job } => self.remove(&job),
            Command::Recreate { epoch, given_up_jobs } => {
                *self = Self { recreated_in_epoch: epoch, given_up_jobs, ..Self::default() }
            }
            Command::RecordAttempts { job, item_index, event } => {
                self.record_attempt(&job, item_index, event);
            }
        }
    }

    fn accept(&mut self, job: Job) {
        if self.jobs.contains_key(&job.id) {
            return;
        }
        *self.queued.entry((job.tenant.clone(), job.route.clone())).or_default() += job.total_tokens();
        self.jobs.insert(job.id.clone(), JobState::new(job));
    }

    fn record_results(&mut self, id: &str, results: Vec<ItemResult>) {
        let Some(state) = self.jobs.get_mut(id) else { return };
        let mut released = 0;
        for result in results {
            let Some(has_result) = state.has_result.get_mut(result.item_index as usize) else { continue };
            if std::mem::replace(has_result, true) {
                continue;
            }
            state.attempts.remove(&result.item_index);
            let item: &mut Item = &mut state.job.items[result.item_index as usize];
            item.body = Vec::new();
            released += if state.cancelled { 0 } else { item.tokens };
            state.results.push(result);
        }
        let key = (state.job.tenant.clone(), state.job.route.clone());
        self.release(key, released);
    }

    fn record_attempt(&mut self, id: &str, item_index: u32, event: AttemptEvent) {
        let Some(state) = self.jobs.get_mut(id).filter(|state| !state.cancelled) else { return };
        if state.has_result.get(item_index as usize) == Some(&false) {
            state.attempts.entry(item_index).or_default().apply(event);
        }
    }

    fn cancel(&mut self, id: &str) {
        let Some(state) = self.jobs.get_mut(id) else { return };
        let released = state.queued_tokens();
        state.cancelled = true;
        state.attempts.clear();
        for item in &mut state.job.items {
            item.body = Vec::new();
        }
        let key = (state.job.tenant.clone(), state.job.route.clone());
        self.release(key, released);
    }

    fn remove(&mut self, id: &str) {
        let Some(state) = self.jobs.remove(id) else { return };
        let released = state.queued_tokens();
        self.release((state.job.tenant, state.job.route), released);
    }

    /// Subtracts tokens that are no longer queued from the count of a tenant and route.
    fn release(&mut self, key: (String, String), tokens: u64) {
        if let Some(queued) = self.queued.get_mut(&key) {
            *queued = queued.saturating_sub(tokens);
            if *queued == 0 {
                self.queued.remove(&key);
            }
        }
    }

    /// Returns the results from `start_position` on, up to `MAX_PAGE_TEXT_BYTES` of text but at least one if there is
    /// one. Returns `None` if the job is unknown or belongs to another tenant.
    pub fn results_page(&self, tenant: &str, id: &str, start_position: u32) -> Option<Page> {
        let state = self.jobs.get(id).filter(|state| state.job.tenant == tenant)?;
        let mut results = Vec::new();
        let mut bytes = 0;
        for result in state.results.iter().skip(start_position as usize) {
            bytes += result.text.len();
            if bytes > MAX_PAGE_TEXT_BYTES && !results.is_empty() {
                break;
            }
            results.push((state.job.items[result.item_index as usize].id.clone(), result.clone()));
        }
        Some(Page {
            total_items: state.job.items.len() as u32,
            next_position: start_position + results.len() as u32,
            results,
            is_complete: state.is_complete(),
        })
    }

    /// Returns the request body of an item without a result. Returns `None` if the item has a result, the job was
    /// cancelled, or the tenant has no such job or item.
    pub fn unfinished_item_body(&self, tenant: &str, id: &str, item: &str) -> Option<&[u8]> {
        let state = self.jobs.get(id).filter(|state| state.job.tenant == tenant && !state.cancelled)?;
        let index = state.job.items.iter().position(|candidate| candidate.id == item)?;
        (!state.has_result[index]).then(|| state.job.items[index].body.as_slice())
    }
}
