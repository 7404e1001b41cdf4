//! The state of a group: its batch jobs and the count of queued tokens.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::{Item, ItemResult, Job};

/// The limit that one reading of results holds, in bytes of text.
pub const MAX_PAGE_TEXT_BYTES: usize = 900_000;

/// A change of a group. Changes that have no effect any more are left out silently, alike at every copy.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Command {
    Accept(Job),
    RecordResults {
        job: String,
        results: Vec<ItemResult>,
    },
    Cancel {
        job: String,
    },
    Remove {
        job: String,
    },
    /// The first change of a group that was given up: it is begun anew in that view, without the batch jobs that it held. Of some of
    /// them the names are known.
    Recreate {
        epoch: u64,
        given_up_jobs: BTreeSet<String>,
    },
}

/// A batch job with what has become of it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct JobState {
    pub job: Job,
    /// In the order of their positions.
    pub results: Vec<ItemResult>,
    /// By item: whether it has a result.
    pub has_result: Vec<bool>,
    pub cancelled: bool,
}

impl JobState {
    fn new(job: Job) -> Self {
        let has_result = vec![false; job.items.len()];
        Self { job, results: Vec::new(), has_result, cancelled: false }
    }

    /// Whether nothing is left to run.
    pub fn is_complete(&self) -> bool {
        self.cancelled || self.results.len() == self.has_result.len()
    }

    /// Items without a result, by their place.
    pub fn unfinished_items(&self) -> impl Iterator<Item = u32> + '_ {
        let open = self.has_result.iter().enumerate().filter(|(_, finished)| !**finished);
        open.map(|(item, _)| item as u32)
    }

    fn queued_tokens(&self) -> u64 {
        match self.cancelled {
            true => 0,
            false => self.unfinished_items().map(|item| self.job.items[item as usize].tokens).sum(),
        }
    }
}

/// Results read from a position on.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Page {
    pub total_items: u32,
    pub next_position: u32,
    /// Each with the id of its item.
    pub results: Vec<(String, ItemResult)>,
    /// Whether no more results can come.
    pub is_complete: bool,
}

/// The answer to whether a batch job may be accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    Admitted,
    /// It is there already.
    AlreadyAccepted,
    /// It was given up with all that its group held: its name is not used again.
    GivenUp,
    /// Its tenant would have more tokens queued on the route than allowed.
    OverQuota {
        queued: u64,
        limit: u64,
    },
}

/// All batch jobs of a group.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct GroupState {
    jobs: BTreeMap<String, JobState>,
    /// Queued tokens by tenant and route.
    queued: BTreeMap<(String, String), u64>,
    /// The view in which the group was begun anew; 0 where it never was.
    recreated_in_epoch: u64,
    /// Batch jobs that are known to have been given up.
    given_up_jobs: BTreeSet<String>,
}

impl GroupState {
    /// Whether a job may be accepted where `limit` tokens (0: any number) may be queued.
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

    /// Tokens of a tenant's items on a route that are neither finished nor ended.
    pub fn queued_tokens(&self, tenant: &str, route: &str) -> u64 {
        self.queued.get(&(tenant.to_owned(), route.to_owned())).copied().unwrap_or(0)
    }

    pub fn job(&self, id: &str) -> Option<&JobState> {
        self.jobs.get(id)
    }

    pub fn jobs(&self) -> impl Iterator<Item = &JobState> {
        self.jobs.values()
    }

    /// The view in which the group was begun anew; 0 where it never was.
    pub fn recreated_in_epoch(&self) -> u64 {
        self.recreated_in_epoch
    }

    /// Whether a batch job that is not here may have been given up with the group.
    pub fn may_have_given_up(&self, id: &str) -> bool {
        self.recreated_in_epoch > 0 && !self.jobs.contains_key(id)
    }

    /// Names of all batch jobs that are lost once the group is given up.
    pub fn known_job_ids(&self) -> BTreeSet<String> {
        self.jobs.keys().chain(&self.given_up_jobs).cloned().collect()
    }

    /// Carries out a change.
    pub fn apply(&mut self, command: Command) {
        match command {
            Command::Accept(job) => self.accept(job),
            Command::RecordResults { job, results } => self.record_results(&job, results),
            Command::Cancel { job } => self.cancel(&job),
            Command::Remove { job } => self.remove(&job),
            Command::Recreate { epoch, given_up_jobs } => {
                *self = Self { recreated_in_epoch: epoch, given_up_jobs, ..Self::default() }
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
            let Some(finished) = state.has_result.get_mut(result.item_index as usize) else { continue };
            if std::mem::replace(finished, true) {
                continue;
            }
            let item: &mut Item = &mut state.job.items[result.item_index as usize];
            item.body = Vec::new();
            released += if state.cancelled { 0 } else { item.tokens };
            state.results.push(result);
        }
        let key = (state.job.tenant.clone(), state.job.route.clone());
        self.release(key, released);
    }

    fn cancel(&mut self, id: &str) {
        let Some(state) = self.jobs.get_mut(id) else { return };
        let released = state.queued_tokens();
        state.cancelled = true;
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

    fn release(&mut self, key: (String, String), tokens: u64) {
        if let Some(queued) = self.queued.get_mut(&key) {
            *queued = queued.saturating_sub(tokens);
            if *queued == 0 {
                self.queued.remove(&key);
            }
        }
    }

    /// Results from a position on; at least one if one exists. None if the job is unknown or another tenant's.
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

    /// The body of an item that has no result yet.
    pub fn unfinished_item_body(&self, tenant: &str, id: &str, item: &str) -> Option<&[u8]> {
        let state = self.jobs.get(id).filter(|state| state.job.tenant == tenant && !state.cancelled)?;
        let place = state.job.items.iter().position(|there| there.id == item)?;
        (!state.has_result[place]).then(|| state.job.items[place].body.as_slice())
    }
}
