//! Reads at the tail: all other links confirm the view, the tail waits for results if there are none yet, and it answers only
//! with entries that are durable on its disk, in the same view.

use std::time::Duration;

use fennelgauge_batch::Page;
use fennelgauge_coordination::StoreNumber;

use crate::{Confirmation, ConfirmationStatus, EntryPosition, Replica, Role};

/// Time within which the other links must confirm the view.
pub const CONFIRM_TIMEOUT: Duration = Duration::from_millis(900);
/// Time within which the results to return must become durable.
const DURABILITY_TIMEOUT: Duration = Duration::from_millis(1_000);

/// A request to read the results of a batch job.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ReadQuery {
    /// Tenant that owns the job.
    pub tenant: String,
    /// Name of the job.
    pub job: String,
    /// Index of the first result to return.
    pub start: u32,
}

/// A read in progress. All times are measured from its start.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ReadOperation {
    role: Role,
    query: ReadQuery,
    /// How long to wait for a result before an empty page is returned.
    long_poll: Duration,
    stage: Stage,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Stage {
    /// The other links are confirming the view.
    Confirming(Confirmation),
    /// Waits until there is a result, the job is complete, or the long poll ends.
    AwaitingResults,
    /// Waits until the page's position is durable on this disk.
    AwaitingDurability { page: Page, position: EntryPosition, deadline: Duration },
}

/// What a read needs next, or its answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadStep {
    /// Poll again when the replica has changed, and at the latest at this time.
    Wait(Duration),
    /// A page of results, as of that position of the group's log.
    Page(Page, EntryPosition),
    /// The tenant has no such job.
    NotFound,
    /// The job was given up with its group, or never existed.
    GivenUp,
    /// This store cannot prove that its answer is current; the reader should ask again, perhaps another store.
    Undetermined,
}

impl ReadOperation {
    /// Starts a read; none if the role does not answer reads.
    pub fn new(role: Option<Role>, query: ReadQuery, hold: Duration) -> Option<Self> {
        let role = role.filter(Role::serves_reads)?;
        Some(Self::without_role_check(role, query, hold))
    }

    /// Starts a read without checking the role; for planted bugs and tests.
    pub fn without_role_check(role: Role, query: ReadQuery, hold: Duration) -> Self {
        let stage = Stage::Confirming(Confirmation::new(&role));
        Self { role, query, long_poll: hold, stage }
    }

    /// Returns the epoch of the view that the read belongs to.
    pub fn epoch(&self) -> u64 {
        self.role.epoch
    }

    /// Returns the links that must confirm the view.
    pub fn confirming_links(&self) -> &[StoreNumber] {
        &self.role.others
    }

    /// Records a link's answer: its position in the view of the read, or none if it is in another view.
    pub fn record_answer(&mut self, link: StoreNumber, position: Option<EntryPosition>) {
        if let Stage::Confirming(confirmation) = &mut self.stage {
            confirmation.record_answer(link, position);
        }
    }

    /// Advances the read as far as possible. `epoch` is that of the newest view known here, `now` the time since the start.
    pub fn poll(&mut self, replica: &mut Replica, epoch: u64, now: Duration) -> ReadStep {
        loop {
            if epoch != self.role.epoch {
                return ReadStep::Undetermined;
            }
            let next = match &self.stage {
                Stage::Confirming(confirmation) => match confirmation.status(replica) {
                    ConfirmationStatus::Confirmed => Stage::AwaitingResults,
                    ConfirmationStatus::Pending if now < CONFIRM_TIMEOUT => {
                        return ReadStep::Wait(CONFIRM_TIMEOUT)
                    }
                    ConfirmationStatus::Pending | ConfirmationStatus::Rejected => {
                        return ReadStep::Undetermined
                    }
                },
                Stage::AwaitingResults => match self.page(replica) {
                    Err(answer) => return answer,
                    Ok(page) if page.results.is_empty() && !page.is_complete && now < self.long_poll => {
                        return ReadStep::Wait(self.long_poll);
                    }
                    Ok(page) => Stage::AwaitingDurability {
                        page,
                        position: replica.position(),
                        deadline: now + DURABILITY_TIMEOUT,
                    },
                },
                Stage::AwaitingDurability { page, position, deadline: until } => {
                    match replica.is_durable(*position) {
                        true => {
                            if !page.results.is_empty() {
                                replica.mark_read(*position);
                            }
                            return ReadStep::Page(page.clone(), *position);
                        }
                        false if now < *until => return ReadStep::Wait(*until),
                        false => return ReadStep::Undetermined,
                    }
                }
            };
            self.stage = next;
        }
    }

    /// Returns the page to answer with, or the final answer if the job is not here.
    fn page(&self, replica: &Replica) -> Result<Page, ReadStep> {
        let ReadQuery { tenant, job, start } = &self.query;
        let state = replica.state();
        match state.results_page(tenant, job, *start) {
            Some(page) => Ok(page),
            None if state.may_have_given_up(job) => Err(ReadStep::GivenUp),
            None => Err(ReadStep::NotFound),
        }
    }
}
