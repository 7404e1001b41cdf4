//! What data planes ask of a store: to take a batch job, to end it, to read it.

use std::rc::Rc;
use std::time::Duration;

use fennelgauge_batch::{Admission, Command, Job};
use fennelgauge_coordination::{GroupNumber, StoreView};
use fennelgauge_wire::{StoreReply, StoreRequest};
use futures_util::future::join_all;
use tokio::time::Instant;

use super::Store;

const COMMIT_TIMEOUT: Duration = Duration::from_millis(1_000);
const BARRIER_TIMEOUT: Duration = Duration::from_millis(900);

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
        let admission = self.held(group).borrow().state().admission(&job, most_queued);
        let entry = match admission {
            Admission::OverQuota { .. } => return StoreReply::OverQuota,
            Admission::Known => self.held(group).borrow().position(),
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

    /// Whether this store is the head of a chain that is long enough.
    fn takes_changes(&self, view: &StoreView, group: GroupNumber) -> bool {
        let fewest = self.settings.tolerate.losses() + 1;
        self.is_head(view, group) && view.group(group).is_some_and(|group| group.chain.len() >= fewest)
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
            let held = self.held(group).borrow();
            held.state().job(&job).filter(|state| state.job.tenant == tenant).map(|state| state.ended)
        };
        let entry = match state {
            None if self.barrier(&view, group).await => return StoreReply::NotFound,
            None => return StoreReply::Unsure,
            Some(true) => self.held(group).borrow().position(),
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
        let page = || self.held(group).borrow().state().page(tenant, job, start);
        let has_news = || page().is_none_or(|page| !page.results.is_empty() || page.complete);
        if !has_news() {
            self.reached(until, has_news).await;
        }
        let Some(page) = page() else { return StoreReply::NotFound };
        let position = self.held(group).borrow().position();
        match self.view().epoch == view.epoch
            && self.synced(group, position, Instant::now() + COMMIT_TIMEOUT).await
        {
            true => {
                self.held(group).borrow_mut().shown = position;
                log::info!(
                    "group {}: {job} from {start} is read at {position:?} in view {}",
                    group.0,
                    view.epoch
                );
                StoreReply::Page(page)
            }
            false => StoreReply::Unsure,
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
        if self.readable(epoch, group).await.is_none() {
            return StoreReply::Unsure;
        }
        let body = self.held(group).borrow().state().body(tenant, job, item).map(<[u8]>::to_vec);
        body.map_or(StoreReply::NotFound, |body| StoreReply::Body(body.into()))
    }

    /// The view in which this store may answer reads of a group: it is the tail and has all that the head has.
    async fn readable(&self, epoch: u64, group: GroupNumber) -> Option<Rc<StoreView>> {
        let view = self.view_of(epoch).await.filter(|view| self.is_tail(view, group))?;
        self.barrier(&view, group).await.then_some(view)
    }

    /// Asks all other links whether the view still stands, and waits until this store has what the head had then.
    async fn barrier(&self, view: &StoreView, group: GroupNumber) -> bool {
        let until = Instant::now() + BARRIER_TIMEOUT;
        let Some(chain) = view.group(group).map(|group| &group.chain) else { return false };
        let others = chain
            .iter()
            .filter_map(|number| view.store(*number))
            .filter(|store| store.member.identity != self.me.identity);
        let asked = others.map(|store| {
            let request = StoreRequest::Position { epoch: view.epoch, group };
            self.ask(store.member.peer, request, BARRIER_TIMEOUT)
        });
        let mut head_position = None;
        for (place, reply) in join_all(asked).await.into_iter().enumerate() {
            match reply {
                Some(StoreReply::Position(position)) if place == 0 => head_position = Some(position),
                Some(StoreReply::Position(_)) => {}
                _ => return false,
            }
        }
        if self.is_head(view, group) {
            let own = self.held(group).borrow().position();
            return self.synced(group, own, until).await;
        }
        let Some(position) = head_position else { return false };
        self.synced(group, position, until).await
    }
}
