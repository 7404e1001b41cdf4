//! How a tail answers a reader: all other links confirm the view, it waits for something to show, and shows only what is on its
//! disk, in the same view.

use std::time::Duration;

use fennelgauge_batch::Page;
use fennelgauge_coordination::StoreNumber;

use crate::{Confirmation, EntryPosition, Outcome, Replica, Role};

/// The other links have to confirm the view within this time.
pub const CONFIRM_WITHIN: Duration = Duration::from_millis(900);
/// What is shown has to be on the disk within this time.
const ON_DISK_WITHIN: Duration = Duration::from_millis(1_000);

/// What a reader asks for.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Query {
    pub tenant: String,
    pub job: String,
    /// The first position.
    pub start: u32,
}

/// One reading. Times are since it began.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Reading {
    role: Role,
    query: Query,
    /// The answer is held back for so long for a result to come.
    hold: Duration,
    stage: Stage,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Stage {
    Asking(Confirmation),
    Holding,
    Writing { page: Page, position: EntryPosition, until: Duration },
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
    Unsure,
}

impl Reading {
    /// Begins a reading in that role; none if it does not answer readers.
    pub fn new(role: Option<Role>, query: Query, hold: Duration) -> Option<Self> {
        let role = role.filter(Role::answers_reads)?;
        Some(Self::as_tail(role, query, hold))
    }

    /// Begins a reading whatever the role.
    pub fn as_tail(role: Role, query: Query, hold: Duration) -> Self {
        let stage = Stage::Asking(Confirmation::new(&role));
        Self { role, query, hold, stage }
    }

    /// The view that it is for.
    pub fn epoch(&self) -> u64 {
        self.role.epoch
    }

    /// The links whose word is needed.
    pub fn links(&self) -> &[StoreNumber] {
        &self.role.others
    }

    /// A link's answer: how far it is in the view of this reading, or none if it is in another.
    pub fn hear(&mut self, link: StoreNumber, position: Option<EntryPosition>) {
        if let Stage::Asking(confirmation) = &mut self.stage {
            confirmation.hear(link, position);
        }
    }

    /// Looks at where it is. `epoch` is that of the newest view known here.
    pub fn look(&mut self, replica: &mut Replica, epoch: u64, now: Duration) -> ReadStep {
        loop {
            if epoch != self.role.epoch {
                return ReadStep::Unsure;
            }
            let next = match &self.stage {
                Stage::Asking(confirmation) => match confirmation.outcome(replica) {
                    Outcome::Certain => Stage::Holding,
                    Outcome::Waits if now < CONFIRM_WITHIN => return ReadStep::Wait(CONFIRM_WITHIN),
                    Outcome::Waits | Outcome::Refused => return ReadStep::Unsure,
                },
                Stage::Holding => match self.page(replica) {
                    Err(missing) => return missing,
                    Ok(page) if page.results.is_empty() && !page.is_complete && now < self.hold => {
                        return ReadStep::Wait(self.hold);
                    }
                    Ok(page) => {
                        Stage::Writing { page, position: replica.position(), until: now + ON_DISK_WITHIN }
                    }
                },
                Stage::Writing { page, position, until } => match replica.has_on_disk(*position) {
                    true => {
                        if !page.results.is_empty() {
                            replica.mark_shown(*position);
                        }
                        return ReadStep::Page(page.clone(), *position);
                    }
                    false if now < *until => return ReadStep::Wait(*until),
                    false => return ReadStep::Unsure,
                },
            };
            self.stage = next;
        }
    }

    fn page(&self, replica: &Replica) -> Result<Page, ReadStep> {
        let Query { tenant, job, start } = &self.query;
        let state = replica.state();
        match state.results_page(tenant, job, *start) {
            Some(page) => Ok(page),
            None if state.may_have_given_up(job) => Err(ReadStep::GivenUp),
            None => Err(ReadStep::NotFound),
        }
    }
}
