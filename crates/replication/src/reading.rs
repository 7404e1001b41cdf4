//! How a tail answers a reader: all other links confirm the view, it waits for something to show, and shows only what is on its
//! disk, in the same view.

use std::time::Duration;

use fennelgauge_batch::Page;
use fennelgauge_coordination::StoreNumber;

use crate::{Confirmation, ConfirmationStatus, EntryPosition, Replica, Role};

/// The other links have to confirm the view within this time.
pub const CONFIRM_TIMEOUT: Duration = Duration::from_millis(900);
/// What is shown has to be on the disk within this time.
const DURABILITY_TIMEOUT: Duration = Duration::from_millis(1_000);

/// What a reader asks for.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ReadQuery {
    pub tenant: String,
    pub job: String,
    /// The first position.
    pub start: u32,
}

/// One reading. Times are since it began.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ReadOperation {
    role: Role,
    query: ReadQuery,
    /// The answer is held back for so long for a result to come.
    long_poll: Duration,
    stage: Stage,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Stage {
    Confirming(Confirmation),
    AwaitingResults,
    AwaitingDurability { page: Page, position: EntryPosition, deadline: Duration },
}

/// What a reading has come to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadStep {
    /// Look again when something has changed, and then.
    Wait(Duration),
    /// The group at that place.
    Page(Page, EntryPosition),
    NotFound,
    /// It was given up with its group, or never was.
    GivenUp,
    /// Another store may know.
    Undetermined,
}

impl ReadOperation {
    /// Begins a reading in that role; none if it does not answer readers.
    pub fn new(role: Option<Role>, query: ReadQuery, hold: Duration) -> Option<Self> {
        let role = role.filter(Role::serves_reads)?;
        Some(Self::new_unchecked(role, query, hold))
    }

    /// Begins a reading whatever the role.
    pub fn new_unchecked(role: Role, query: ReadQuery, hold: Duration) -> Self {
        let stage = Stage::Confirming(Confirmation::new(&role));
        Self { role, query, long_poll: hold, stage }
    }

    /// The view that it is for.
    pub fn epoch(&self) -> u64 {
        self.role.epoch
    }

    /// The links whose word is needed.
    pub fn confirming_links(&self) -> &[StoreNumber] {
        &self.role.others
    }

    /// A link's answer: how far it is in the view of this reading, or none if it is in another.
    pub fn record_answer(&mut self, link: StoreNumber, position: Option<EntryPosition>) {
        if let Stage::Confirming(confirmation) = &mut self.stage {
            confirmation.record_answer(link, position);
        }
    }

    /// Looks at where it is. `epoch` is that of the newest view known here.
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
                    Err(missing) => return missing,
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
