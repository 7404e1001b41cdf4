//! The users' rules of batch jobs, judged by what clients and servers saw. It knows nothing of how the tier works; the simulator
//! and the soak hand it the same events. Times are microseconds of whatever clock the caller has.

mod seen;

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Debug;

use seen::JobSeen;
pub use seen::{ListedResult, Outcome, SubmittedItem, SubmittedJob};
use strum::Display;

/// Microseconds.
pub type Micros = u64;

/// A rule that was broken; the names are the users'.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display)]
#[strum(serialize_all = "SCREAMING_SNAKE_CASE")]
pub enum Rule {
    /// What was accepted or read is not there.
    Lost,
    /// A position holds another result than before, or an item stands at two.
    Twice,
    /// A wrong total, a foreign item, a text that no run gave.
    Mixed,
    /// More tokens are queued than allowed at a 202.
    Quota,
    /// An item runs though its batch job was ended.
    Unasked,
    /// An item of an open batch job is not listed in the end.
    Unfinished,
    /// What an operator gave up is shown again, or what nobody gave up is told to be.
    GivenUp,
}

/// A broken rule with what was seen.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    pub rule: Rule,
    pub at: Micros,
    pub description: String,
}

/// Limits that the rules name.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// After so long what was accepted or read is there for everybody.
    pub visibility_delay: Micros,
    /// After the acknowledgement of an end nothing runs any more after so long.
    pub cancellation_grace: Micros,
    /// Tokens of a tenant that may be queued (0: any number), overage included.
    pub max_queued_tokens: u64,
}

/// What a reader got.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResultPage {
    pub start: usize,
    pub total: usize,
    pub results: Vec<ListedResult>,
}

/// The judge.
#[derive(Clone, Debug)]
pub struct BatchJobChecker {
    bounds: Limits,
    jobs: BTreeMap<String, JobSeen>,
    /// By item, the batch job that it belongs to.
    items: BTreeMap<String, String>,
    pub violations: Vec<Violation>,
    pub pages_read: u64,
}

impl BatchJobChecker {
    pub fn new(bounds: Limits) -> Self {
        Self { bounds, jobs: BTreeMap::new(), items: BTreeMap::new(), violations: Vec::new(), pages_read: 0 }
    }

    fn blame(&mut self, rule: Rule, at: Micros, what: impl Into<String>) {
        self.violations.push(Violation { rule, at, description: what.into() });
    }

    /// A batch job is sent, perhaps once more.
    pub fn record_submission(&mut self, job: &SubmittedJob) {
        for item in &job.items {
            self.items.insert(item.id.clone(), job.id.clone());
        }
        let most = self.bounds.max_queued_tokens;
        self.jobs.entry(job.id.clone()).or_insert_with(|| JobSeen::new(job.clone(), most));
    }

    /// A client got the 202 of a batch job.
    pub fn record_acceptance(&mut self, at: Micros, job: &str) {
        let Some(seen) = self.jobs.get_mut(job) else { return };
        if seen.given_up.is_some() {
            if !seen.listed.is_empty() {
                return self.blame(
                    Rule::GivenUp,
                    at,
                    format!("{job} is accepted again, its results were read"),
                );
            }
            // Nobody has read of it: it may as well be a new one.
            (seen.given_up, seen.accepted) = (None, None);
        }
        let again = seen.accepted.replace(seen.accepted.unwrap_or(at)).is_some();
        let tenant = seen.sent.tenant.clone();
        let queued: u64 =
            self.jobs.values().filter(|seen| seen.sent.tenant == tenant).map(JobSeen::queued).sum();
        // A batch job is measured by the quota as it was when it was first sent, if that was higher.
        let most = self.bounds.max_queued_tokens.max(self.jobs.get(job).map_or(0, |seen| seen.most_queued));
        if !again && most > 0 && queued > most {
            self.blame(
                Rule::Quota,
                at,
                format!("{job}: {queued} tokens of {tenant} are queued, {most} may be"),
            );
        }
    }

    /// A client asks for the end of a batch job.
    pub fn record_cancel_request(&mut self, job: &str) {
        if let Some(seen) = self.jobs.get_mut(job) {
            seen.end_asked = true;
        }
    }

    /// The end of a batch job is acknowledged.
    pub fn record_cancelled(&mut self, at: Micros, job: &str) {
        if let Some(seen) = self.jobs.get_mut(job) {
            seen.ended = seen.ended.or(Some(at));
        }
    }

    /// A server begins an item.
    pub fn record_item_start(&mut self, at: Micros, item: &str) {
        let Some(job) = self.items.get(item) else {
            return self.blame(Rule::Unasked, at, format!("{item} was never sent"));
        };
        let Some(seen) = self.jobs.get(job) else { return };
        if seen.ended.is_some_and(|ended| at > ended + self.bounds.cancellation_grace) {
            self.blame(Rule::Unasked, at, format!("{item} runs, its batch job was ended"));
        }
    }

    /// A server has done an item whole, with this text.
    pub fn record_item_output(&mut self, item: &str, text: &str) {
        if let Some(seen) = self.items.get(item).and_then(|job| self.jobs.get_mut(job)) {
            seen.outputs.entry(item.to_owned()).or_default().push(text.to_owned());
        }
    }

    /// A reader that asked at `asked` got a page.
    pub fn check_page(&mut self, asked: Micros, at: Micros, job: &str, page: &ResultPage, reader: &str) {
        self.pages_read += 1;
        let Some(seen) = self.jobs.get_mut(job) else { return };
        let visibility_delay = self.bounds.visibility_delay;
        let broken = seen.take_page(asked, at, page, visibility_delay);
        for (rule, what) in broken {
            self.blame(rule, at, format!("{job}: {what} (through {reader})"));
        }
    }

    /// Tokens of a tenant that may be queued.
    pub fn max_queued_tokens(&self) -> u64 {
        self.bounds.max_queued_tokens
    }

    /// Another quota is in force.
    pub fn set_max_queued_tokens(&mut self, max_queued_tokens: u64) {
        self.bounds.max_queued_tokens = max_queued_tokens;
    }

    /// An operator gives up all batch jobs of a tenant that were accepted by now. Those of which the tier does not know the names any more
    /// are judged no longer: nobody promises anything of them. Gives how many these are.
    pub fn record_give_up(&mut self, at: Micros, tenant: &str, names: &BTreeSet<String>) -> usize {
        let before = self.jobs.len();
        let is_judged = |id: &String, seen: &mut JobSeen| {
            seen.sent.tenant != tenant
                || seen.accepted.is_none()
                || seen.given_up.is_some()
                || names.contains(id)
        };
        self.jobs.retain(is_judged);
        for seen in self.jobs.values_mut().filter(|seen| seen.sent.tenant == tenant) {
            if seen.accepted.is_some() {
                seen.given_up = seen.given_up.or(Some(at));
            }
        }
        before - self.jobs.len()
    }

    /// Something was given up that must not be.
    pub fn record_wrongful_give_up(&mut self, at: Micros, what: String) {
        self.blame(Rule::GivenUp, at, what);
    }

    /// A reader that asked at `asked` was told that a batch job was given up.
    pub fn check_reported_given_up(&mut self, asked: Micros, at: Micros, job: &str, reader: &str) {
        let Some(seen) = self.jobs.get(job) else { return };
        let is_there = seen.accepted.is_some_and(|accepted| asked > accepted + self.bounds.visibility_delay);
        if is_there && seen.given_up.is_none() {
            self.blame(Rule::GivenUp, at, format!("{job} is told to be given up (through {reader})"));
        }
    }

    /// A reader that asked at `asked` got 404 for a batch job.
    pub fn check_not_found(&mut self, asked: Micros, at: Micros, job: &str, reader: &str) {
        let Some(seen) = self.jobs.get(job) else { return };
        if seen.accepted.is_some_and(|accepted| asked > accepted + self.bounds.visibility_delay) {
            self.blame(Rule::Lost, at, format!("{job} is not found (through {reader})"));
        }
    }

    /// Batch jobs that were accepted.
    pub fn accepted_jobs(&self) -> Vec<String> {
        self.jobs.iter().filter(|(_, seen)| seen.accepted.is_some()).map(|(id, _)| id.clone()).collect()
    }

    /// Of an accepted batch job: how many items it has, whether its end was asked for.
    pub fn is_complete(&self, job: &str) -> bool {
        self.jobs.get(job).is_some_and(|seen| seen.end_asked || seen.listed.len() == seen.sent.items.len())
    }

    /// Nothing may be asked of the tier any more: what is open must be finished.
    pub fn check_completeness(&mut self, at: Micros) {
        let unfinished: Vec<String> = self
            .jobs
            .iter()
            .filter(|(_, seen)| seen.accepted.is_some() && !seen.end_asked && seen.given_up.is_none())
            .filter(|(_, seen)| seen.listed.len() < seen.sent.items.len())
            .map(|(id, seen)| {
                format!("{id}: {} of {} items are listed", seen.listed.len(), seen.sent.items.len())
            })
            .collect();
        for what in unfinished {
            self.blame(Rule::Unfinished, at, what);
        }
    }
}
