//! Requests from data planes: submitting a batch job, cancelling it, and reading its results.

use std::rc::Rc;
use std::time::Duration;

use fennelgauge_batch::{Command, Job};
use fennelgauge_coordination::{GroupNumber, StoreView};
use fennelgauge_model::RouteKind;
use fennelgauge_replication::{CancelDecision, ReadOperation, ReadQuery, ReadStep, Role, SubmissionDecision};
use fennelgauge_wire::StoreReply;
use tokio::time::{timeout_at, Instant};

use super::permits::AcceptedJob;
use super::Store;

/// Longest wait for an entry to be committed before the reply.
const COMMIT_TIMEOUT: Duration = Duration::from_millis(1_000);

impl Store {
    /// Handles a submission: accepts the job if it does not exceed its tenant's limit of queued tokens and there is room.
    pub(super) async fn submit(
        self: &Rc<Self>,
        epoch: u64,
        group: GroupNumber,
        job: Job,
        max_queued_tokens: u64,
    ) -> StoreReply {
        let Some(view) = self.wait_for_view(epoch).await else { return StoreReply::NotAccepted };
        let max_queued_tokens = self.newest_quota(&job).unwrap_or(max_queued_tokens);
        let role = self.role(&view, group);
        let submission =
            self.replica(group).borrow().decide_submission(role.as_ref(), &job, max_queued_tokens);
        log::info!("group {}: batch job {} is submitted in view {epoch}: {submission:?}", group.0, job.id);
        let entry = match submission {
            SubmissionDecision::NotWritable => return StoreReply::NotAccepted,
            SubmissionDecision::OverQuota => return self.over_quota_reply(&view, group).await,
            SubmissionDecision::GivenUp => return StoreReply::GivenUp,
            SubmissionDecision::AlreadyAccepted(entry) => entry,
            SubmissionDecision::Accept if self.has_room(&job) => {
                let entry = self.append_command(&view, group, Command::Accept(job.clone()));
                let accepted = AcceptedJob::new(group, entry, &job);
                self.accepted_here.borrow_mut().insert(job.id, accepted);
                entry
            }
            SubmissionDecision::Accept => return StoreReply::NotAccepted,
        };
        match self.wait_committed(group, entry, Instant::now() + COMMIT_TIMEOUT).await {
            true => StoreReply::Accepted,
            false => StoreReply::OutcomeUnknown,
        }
    }

    /// Returns the reply for a batch job that exceeds the limit by this store's count. Another head may count otherwise, and may
    /// have taken the job, unless the other links confirm that there is none.
    async fn over_quota_reply(self: &Rc<Self>, view: &StoreView, group: GroupNumber) -> StoreReply {
        match self.chain_confirms_view(view, group).await {
            true => StoreReply::OverQuota,
            false => StoreReply::NotAccepted,
        }
    }

    /// Returns the limit of queued tokens of a submitted job's route, if the configuration known here is newer than the one by
    /// which the data plane took the submission and still has the route.
    fn newest_quota(&self, job: &Job) -> Option<u64> {
        let table = self.known.routing_table().filter(|_| self.known.generation() > job.generation)?;
        let route = table.configuration.routes.iter().find(|route| route.name == job.route)?;
        (route.kind == RouteKind::Batch).then_some(route.max_queued)
    }

    /// Returns true if this store is the group's head, enough stores hold the group, and the group here is not one that was
    /// given up.
    pub(super) fn accepts_changes(&self, view: &StoreView, group: GroupNumber) -> bool {
        self.replica(group).borrow().accepts_writes(self.role(view, group).as_ref())
    }

    /// Returns true if memory and disk have room for another batch job. The journal may take a third of the
    /// smaller of their limits.
    fn has_room(&self, job: &Job) -> bool {
        let size: usize = job.items.iter().map(|item| item.body.len() + 512).sum();
        let journal_size = self.bytes_since_checkpoint.get() + self.checkpoint_size.get() + size;
        let disk_share = self.settings.limits.disk_mb as usize * (1 << 20) / 3;
        let memory_share = self.settings.limits.memory_mb as usize * (1 << 20) / 3;
        journal_size < disk_share.min(memory_share)
    }

    /// Handles a cancellation: the job's remaining items do not run and no longer count as queued.
    pub(super) async fn cancel(
        self: &Rc<Self>,
        epoch: u64,
        group: GroupNumber,
        tenant: &str,
        job: String,
    ) -> StoreReply {
        let Some(view) = self.wait_for_view(epoch).await else { return StoreReply::NotAccepted };
        let role = self.role(&view, group);
        let ending = self.replica(group).borrow().decide_cancellation(role.as_ref(), tenant, &job);
        let entry = match ending {
            CancelDecision::NotWritable => return StoreReply::NotAccepted,
            CancelDecision::NotFound => return self.unknown_job_reply(&view, group, &job).await,
            CancelDecision::AlreadyCancelled(entry) => entry,
            CancelDecision::Cancel => {
                let entry = self.append_command(&view, group, Command::Cancel { job: job.clone() });
                self.stop_items(group, &job);
                entry
            }
        };
        match self.wait_committed(group, entry, Instant::now() + COMMIT_TIMEOUT).await {
            true => StoreReply::Accepted,
            false => StoreReply::OutcomeUnknown,
        }
    }

    /// Returns the reply for a batch job that this head does not have.
    async fn unknown_job_reply(
        self: &Rc<Self>,
        view: &StoreView,
        group: GroupNumber,
        job: &str,
    ) -> StoreReply {
        match self.chain_confirms_view(view, group).await {
            true if self.replica(group).borrow().state().may_have_given_up(job) => StoreReply::GivenUp,
            true => StoreReply::NotFound,
            false => StoreReply::Undetermined,
        }
    }

    /// Handles a read of results from a position on. The reply waits up to `hold` for a result to come.
    pub(super) async fn read_results(
        self: &Rc<Self>,
        epoch: u64,
        group: GroupNumber,
        query: ReadQuery,
        hold: Duration,
    ) -> StoreReply {
        let started = Instant::now();
        let Some(view) = self.wait_for_view(epoch).await else { return StoreReply::Undetermined };
        let (job, start) = (query.job.clone(), query.start);
        let Some(mut reading) = ReadOperation::new(self.role(&view, group), query, hold) else {
            return StoreReply::Undetermined;
        };
        for (link, position) in self.query_positions(&view, group, reading.confirming_links()).await {
            reading.record_answer(link, position);
        }
        loop {
            let (group_changed, update) = (self.group_changed.notified(), self.known.changed());
            let step = {
                let mut replica = self.replica(group).borrow_mut();
                reading.poll(&mut replica, self.view().epoch, started.elapsed())
            };
            match step {
                ReadStep::Wait(until) => {
                    let either = async {
                        tokio::select! { () = group_changed => {}, () = update => {} }
                    };
                    let _ = timeout_at(started + until, either).await;
                }
                ReadStep::Page(page, position) => {
                    if !page.results.is_empty() {
                        log::info!(
                            "group {}: batch job {job} from position {start} is read at {position:?} in view {epoch}",
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

    /// Handles a read of the body of an item that has no result.
    pub(super) async fn read_item_body(
        self: &Rc<Self>,
        epoch: u64,
        group: GroupNumber,
        (tenant, job): (&str, &str),
        item: &str,
    ) -> StoreReply {
        if !self.can_answer_reads(epoch, group).await {
            return StoreReply::Undetermined;
        }
        let replica = self.replica(group).borrow();
        match replica.state().unfinished_item_body(tenant, job, item) {
            Some(body) => StoreReply::Body(body.to_vec().into()),
            None if replica.state().may_have_given_up(job) => StoreReply::GivenUp,
            None => StoreReply::NotFound,
        }
    }

    /// Returns true if this store may answer reads of a group in the view with this epoch: it is the caught-up tail of a
    /// chain of enough stores, and has all that the head has.
    async fn can_answer_reads(self: &Rc<Self>, epoch: u64, group: GroupNumber) -> bool {
        let Some(view) = self.wait_for_view(epoch).await else { return false };
        match self.role(&view, group).filter(Role::serves_reads) {
            Some(role) => self.confirm_up_to_date(&view, group, &role).await,
            None => false,
        }
    }

    /// Returns true if all other stores of the chain confirm the view.
    async fn chain_confirms_view(self: &Rc<Self>, view: &StoreView, group: GroupNumber) -> bool {
        match self.role(view, group) {
            Some(role) => self.confirm_up_to_date(view, group, &role).await,
            None => false,
        }
    }
}
