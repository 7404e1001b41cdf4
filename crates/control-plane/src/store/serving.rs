//! What data planes ask of a store: to take a batch job, to end it, to read it.

use std::rc::Rc;
use std::time::Duration;

use fennelgauge_batch::{Command, Job};
use fennelgauge_coordination::{GroupNumber, StoreView};
use fennelgauge_replication::{CancelDecision, ReadOperation, ReadQuery, ReadStep, Role, SubmissionDecision};
use fennelgauge_wire::StoreReply;
use tokio::time::{timeout_at, Instant};

use super::Store;

const COMMIT_TIMEOUT: Duration = Duration::from_millis(1_000);

impl Store {
    /// Takes a batch job that fits its tenant's queued-token count.
    pub(super) async fn submit(
        self: &Rc<Self>,
        epoch: u64,
        group: GroupNumber,
        job: Job,
        most_queued: u64,
    ) -> StoreReply {
        let Some(view) = self.view_of(epoch).await else { return StoreReply::NotAccepted };
        let role = self.role(&view, group);
        let submission = self.replica(group).borrow().decide_submission(role.as_ref(), &job, most_queued);
        let entry = match submission {
            SubmissionDecision::NotWritable => return StoreReply::NotAccepted,
            SubmissionDecision::OverQuota => return StoreReply::OverQuota,
            SubmissionDecision::GivenUp => return StoreReply::GivenUp,
            SubmissionDecision::AlreadyAccepted(entry) => entry,
            SubmissionDecision::Accept if self.has_room(&job) => {
                self.accepted_here.borrow_mut().insert(job.id.clone(), group);
                self.change(&view, group, Command::Accept(job))
            }
            SubmissionDecision::Accept => return StoreReply::NotAccepted,
        };
        match self.committed(group, entry, Instant::now() + COMMIT_TIMEOUT).await {
            true => StoreReply::Accepted,
            false => StoreReply::OutcomeUnknown,
        }
    }

    /// Whether this store is the head of a chain that enough links hold, and has the group as it was begun last.
    pub(super) fn accepts_changes(&self, view: &StoreView, group: GroupNumber) -> bool {
        self.replica(group).borrow().accepts_writes(self.role(view, group).as_ref())
    }

    /// Whether memory and disk have room for one more batch job.
    fn has_room(&self, job: &Job) -> bool {
        let size: usize = job.items.iter().map(|item| item.body.len() + 512).sum();
        let kept = self.written.get() + self.whole_size.get() + size;
        let disk = self.settings.limits.disk_mb as usize * (1 << 20) / 3;
        let memory = self.settings.limits.memory_mb as usize * (1 << 20) / 3;
        kept < disk.min(memory)
    }

    /// Ends a batch job: its items no longer run or count.
    pub(super) async fn end(
        self: &Rc<Self>,
        epoch: u64,
        group: GroupNumber,
        tenant: &str,
        job: String,
    ) -> StoreReply {
        let Some(view) = self.view_of(epoch).await else { return StoreReply::NotAccepted };
        let role = self.role(&view, group);
        let ending = self.replica(group).borrow().decide_cancellation(role.as_ref(), tenant, &job);
        let entry = match ending {
            CancelDecision::NotWritable => return StoreReply::NotAccepted,
            CancelDecision::NotFound => return self.not_here(&view, group, &job).await,
            CancelDecision::AlreadyCancelled(entry) => entry,
            CancelDecision::Cancel => {
                let entry = self.change(&view, group, Command::Cancel { job: job.clone() });
                self.stop_items(group, &job);
                entry
            }
        };
        match self.committed(group, entry, Instant::now() + COMMIT_TIMEOUT).await {
            true => StoreReply::Accepted,
            false => StoreReply::OutcomeUnknown,
        }
    }

    /// The answer for a batch job that this head does not have.
    async fn not_here(self: &Rc<Self>, view: &StoreView, group: GroupNumber, job: &str) -> StoreReply {
        match self.confirmed(view, group).await {
            true if self.replica(group).borrow().state().may_have_given_up(job) => StoreReply::GivenUp,
            true => StoreReply::NotFound,
            false => StoreReply::Undetermined,
        }
    }

    /// Results from a position on, held until there is one or the time is up.
    pub(super) async fn read(
        self: &Rc<Self>,
        epoch: u64,
        group: GroupNumber,
        query: ReadQuery,
        hold: Duration,
    ) -> StoreReply {
        let began = Instant::now();
        let Some(view) = self.view_of(epoch).await else { return StoreReply::Undetermined };
        let (job, start) = (query.job.clone(), query.start);
        let Some(mut reading) = ReadOperation::new(self.role(&view, group), query, hold) else {
            return StoreReply::Undetermined;
        };
        for (link, position) in self.ask_positions(&view, group, reading.confirming_links()).await {
            reading.record_answer(link, position);
        }
        loop {
            let (changed, news) = (self.changed.notified(), self.known.changed());
            let step = {
                let mut replica = self.replica(group).borrow_mut();
                reading.poll(&mut replica, self.view().epoch, began.elapsed())
            };
            match step {
                ReadStep::Wait(until) => {
                    let either = async {
                        tokio::select! { () = changed => {}, () = news => {} }
                    };
                    let _ = timeout_at(began + until, either).await;
                }
                ReadStep::Page(page, position) => {
                    if !page.results.is_empty() {
                        log::info!(
                            "group {}: {job} from {start} is read at {position:?} in view {epoch}",
                            group.0
                        );
                    }
                    return StoreReply::Page(page);
                }
                ReadStep::NotFound => return StoreReply::NotFound,
                ReadStep::GivenUp => return StoreReply::GivenUp,
                ReadStep::Undetermined => return StoreReply::Undetermined,
            }
        }
    }

    /// The body of an item without a result.
    pub(super) async fn body(
        self: &Rc<Self>,
        epoch: u64,
        group: GroupNumber,
        (tenant, job): (&str, &str),
        item: &str,
    ) -> StoreReply {
        if !self.is_readable(epoch, group).await {
            return StoreReply::Undetermined;
        }
        let replica = self.replica(group).borrow();
        match replica.state().unfinished_item_body(tenant, job, item) {
            Some(body) => StoreReply::Body(body.to_vec().into()),
            None if replica.state().may_have_given_up(job) => StoreReply::GivenUp,
            None => StoreReply::NotFound,
        }
    }

    /// Whether this store may answer reads of a group in the view of `epoch`: it is the level tail of a chain that enough links hold,
    /// and has all that the head has.
    async fn is_readable(self: &Rc<Self>, epoch: u64, group: GroupNumber) -> bool {
        let Some(view) = self.view_of(epoch).await else { return false };
        match self.role(&view, group).filter(Role::serves_reads) {
            Some(role) => self.is_certain(&view, group, &role).await,
            None => false,
        }
    }

    /// Whether all other links confirm the view.
    async fn confirmed(self: &Rc<Self>, view: &StoreView, group: GroupNumber) -> bool {
        match self.role(view, group) {
            Some(role) => self.is_certain(view, group, &role).await,
            None => false,
        }
    }
}
