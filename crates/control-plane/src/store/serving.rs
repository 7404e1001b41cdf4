//! What data planes ask of a store: to take a batch job, to end it, to read it.

use std::rc::Rc;
use std::time::Duration;

use fennelgauge_batch::{Admission, Command, Job};
use fennelgauge_coordination::{GroupNumber, StoreView};
use fennelgauge_replication::Role;
use fennelgauge_wire::StoreReply;
use tokio::time::Instant;

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
        let Some(view) = self.view_of(epoch).await.filter(|view| self.takes_changes(view, group)) else {
            return StoreReply::NotTaken;
        };
        let admission = self.replica(group).borrow().state().admission(&job, most_queued);
        let entry = match admission {
            Admission::OverQuota { .. } => return StoreReply::OverQuota,
            Admission::Known => self.replica(group).borrow().position(),
            Admission::Fits if self.has_room(&job) => {
                self.taken_here.borrow_mut().insert(job.id.clone(), group);
                self.change(&view, group, Command::Accept(job))
            }
            Admission::Fits => return StoreReply::NotTaken,
        };
        match self.committed(group, entry, Instant::now() + COMMIT_TIMEOUT).await {
            true => StoreReply::Accepted,
            false => StoreReply::Unknown,
        }
    }

    /// Whether this store is the head of a chain that enough links hold.
    fn takes_changes(&self, view: &StoreView, group: GroupNumber) -> bool {
        self.role(view, group).is_some_and(|role| role.takes_changes())
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
        let Some(view) = self.view_of(epoch).await.filter(|view| self.takes_changes(view, group)) else {
            return StoreReply::NotTaken;
        };
        let state = {
            let replica = self.replica(group).borrow();
            replica.state().job(&job).filter(|state| state.job.tenant == tenant).map(|state| state.ended)
        };
        let entry = match state {
            None => {
                return match self.confirmed(&view, group).await {
                    true => StoreReply::NotFound,
                    false => StoreReply::Unsure,
                }
            }
            Some(true) => self.replica(group).borrow().position(),
            Some(false) => {
                let entry = self.change(&view, group, Command::End { job: job.clone() });
                self.stop_items(group, &job);
                entry
            }
        };
        match self.committed(group, entry, Instant::now() + COMMIT_TIMEOUT).await {
            true => StoreReply::Accepted,
            false => StoreReply::Unknown,
        }
    }

    /// Results from a position on, held until there is one or the time is up.
    pub(super) async fn read(
        self: &Rc<Self>,
        epoch: u64,
        group: GroupNumber,
        (tenant, job): (&str, &str),
        start: u32,
        wait: Duration,
    ) -> StoreReply {
        let until = Instant::now() + wait;
        let Some(view) = self.readable(epoch, group).await else { return StoreReply::Unsure };
        let page = || self.replica(group).borrow().state().page(tenant, job, start);
        let has_news = || page().is_none_or(|page| !page.results.is_empty() || page.complete);
        if !has_news() {
            self.reached(until, has_news).await;
        }
        let Some(page) = page() else { return StoreReply::NotFound };
        let position = self.replica(group).borrow().position();
        let on_disk = self.synced(group, position, Instant::now() + COMMIT_TIMEOUT).await;
        if !on_disk || self.view().epoch != view.epoch {
            return StoreReply::Unsure;
        }
        if !page.results.is_empty() {
            self.replica(group).borrow_mut().mark_shown(position);
            log::info!(
                "group {}: {job} from {start} is read at {position:?} in view {}",
                group.0,
                view.epoch
            );
        }
        StoreReply::Page(page)
    }

    /// The body of an item without a result.
    pub(super) async fn body(
        self: &Rc<Self>,
        epoch: u64,
        group: GroupNumber,
        (tenant, job): (&str, &str),
        item: &str,
    ) -> StoreReply {
        if self.readable(epoch, group).await.is_none() {
            return StoreReply::Unsure;
        }
        let body = self.replica(group).borrow().state().body(tenant, job, item).map(<[u8]>::to_vec);
        body.map_or(StoreReply::NotFound, |body| StoreReply::Body(body.into()))
    }

    /// The view in which this store may answer reads of a group: it is the level tail of a chain that enough links hold, and has
    /// all that the head has.
    async fn readable(&self, epoch: u64, group: GroupNumber) -> Option<Rc<StoreView>> {
        let view = self.view_of(epoch).await?;
        let role = self.role(&view, group).filter(Role::answers_reads)?;
        self.is_certain(&view, group, &role).await.then_some(view)
    }

    /// Whether all other links confirm the view.
    async fn confirmed(&self, view: &StoreView, group: GroupNumber) -> bool {
        match self.role(view, group) {
            Some(role) => self.is_certain(view, group, &role).await,
            None => false,
        }
    }
}
