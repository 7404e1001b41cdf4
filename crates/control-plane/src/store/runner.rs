//! Begins and ends the runs of items of the batch jobs whose groups this store heads: behind interactive requests, the most urgent first.

use std::cell::Cell;
use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

use actix_web::http::StatusCode;
use fennelgauge_batch::{Command, Item, ItemResult, Job};
use fennelgauge_coordination::{GroupNumber, StoreView};
use fennelgauge_model::{stable_fraction, Route, RouteKind, RoutingTable};
use fennelgauge_upstream::{Answer, SendError};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout, Instant};

use super::window::{ItemWindow, Offer};
use super::{wall_clock_ms, Store};

const LOOK_EVERY: Duration = Duration::from_millis(200);
const START_EVERY: Duration = Duration::from_millis(20);
/// Items that are begun at once at most: prompts that come together hold up the streams of a server.
const MOST_AT_ONCE: f64 = 6.0;
/// Items are begun at a pace at which this part of the time until they are due would do.
const PART_OF_DUE: f64 = 0.18;
/// What is overdue is begun at the pace of so many seconds.
const SHORTEST_PACE_S: f64 = 0.5;
/// Kept beyond the time for which results are promised, as clocks differ.
const KEPT_LONGER_MS: u64 = 30_000;

/// One item of one batch job.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ItemKey {
    pub group: GroupNumber,
    pub job: String,
    pub item: u32,
}

/// An item that may run, with what decides its turn.
struct Candidate {
    /// Whether it can no longer be done when it is due.
    late: bool,
    due_ms: u64,
    key: ItemKey,
}

impl Candidate {
    /// How much of this item has to be begun in a second for it to be done well before it is due.
    fn pace(&self, now_ms: u64) -> f64 {
        let left_s = self.due_ms.saturating_sub(now_ms) as f64 / 1_000.0;
        1.0 / (left_s * PART_OF_DUE).max(SHORTEST_PACE_S)
    }
}

/// How many items of one service run here.
#[derive(Clone, Debug, Default)]
pub struct RunningCount(Rc<Cell<usize>>);

impl RunningCount {
    fn count(&self) -> usize {
        self.0.get()
    }
}

/// One running item; counted until dropped, however its run ends.
struct Counted(RunningCount);

impl Counted {
    fn new(running: RunningCount) -> Self {
        running.0.set(running.count() + 1);
        Self(running)
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        let running = &self.0;
        running.0.set(running.count().saturating_sub(1));
    }
}

impl Store {
    /// Starts items without end, evenly, at the pace that their due times need.
    pub(super) async fn run_items(self: Rc<Self>) {
        let mut looked = Instant::now();
        let mut tidied = Instant::now();
        let mut credit: f64 = 0.0;
        loop {
            sleep(START_EVERY).await;
            if self.running.borrow().is_empty() {
                let _ = timeout(LOOK_EVERY, self.changed.notified()).await;
            }
            self.pool.update(&self.known.servers());
            let view = self.view();
            self.stop_foreign_items(&view);
            if tidied.elapsed() >= LOOK_EVERY {
                tidied = Instant::now();
                self.sender.keep_only(&self.known.servers().servers);
                self.remove_old_jobs(&view);
            }
            let mut candidates = self.candidates(&view);
            let passed_s = looked.elapsed().as_secs_f64().min(LOOK_EVERY.as_secs_f64());
            looked = Instant::now();
            credit = (credit + self.pace(&candidates) * passed_s).min(MOST_AT_ONCE);
            candidates.sort_by_key(|candidate| (candidate.late, candidate.due_ms));
            let mut full = HashSet::new();
            for candidate in candidates {
                if credit < 1.0 {
                    break;
                }
                let Some(service) = self.service_of(&candidate.key) else { continue };
                if full.contains(&service) {
                    continue;
                }
                match self.start(candidate.key, &service) {
                    true => credit -= 1.0,
                    false => drop(full.insert(service)),
                }
            }
        }
    }

    /// Items to be begun in a second.
    fn pace(&self, candidates: &[Candidate]) -> f64 {
        if !self.settings.policy.paced_items {
            return f64::MAX;
        }
        let now_ms = wall_clock_ms();
        candidates.iter().map(|candidate| candidate.pace(now_ms)).sum()
    }

    /// What a service's servers offer to this store's items.
    fn offer(&self, service: &str) -> Offer {
        let servers = self.known.servers();
        let of_service = servers.servers.iter().filter(|server| server.backend == service);
        Offer {
            slots: of_service.map(|server| server.slots as usize).sum(),
            stores: self.view().stores.len(),
        }
    }

    /// How many items of a service may run at once.
    fn most_running(&self, service: &str) -> usize {
        let offer = self.offer(service);
        match self.windows.borrow().get(service) {
            Some(window) if self.settings.policy.adaptive_items => window.size(offer),
            _ => ItemWindow::default().size(offer),
        }
    }

    /// An item's answer began, or a server refused it for want of room: the window follows.
    pub(super) fn learn_window(&self, service: &str, sent: &Result<Answer, SendError>, wait: Duration) {
        let offer = self.offer(service);
        let bearable = self.bearable_wait(service);
        let mut windows = self.windows.borrow_mut();
        let window = windows.entry(service.to_owned()).or_default();
        match sent {
            Ok(_) => window.answered(wait, bearable, offer, Instant::now()),
            Err(SendError::NotExecuted(StatusCode::SERVICE_UNAVAILABLE)) => {
                window.refused(offer, Instant::now());
            }
            Err(_) => {}
        }
    }

    /// How long items may wait at a service's servers: interactive requests wait there, too, and have to answer in time. Where
    /// servers tell their load, items wait behind interactive requests, and the load is what is looked at.
    fn bearable_wait(&self, service: &str) -> Duration {
        if self.pool.tells_load(service) {
            return Duration::MAX;
        }
        let Some(table) = self.known.table() else { return Duration::MAX };
        let interactive = table.configuration.routes.iter().filter(|route| {
            route.kind != RouteKind::Batch
                && route.target_ms > 0
                && route.services().any(|of_route| of_route == service)
        });
        let least_ms = interactive.map(|route| route.target_ms).min();
        least_ms.map_or(Duration::MAX, |ms| {
            Duration::from_millis(ms).mul_f64(self.settings.policy.items_wait_part)
        })
    }

    fn candidates(&self, view: &StoreView) -> Vec<Candidate> {
        let Some(table) = self.known.table() else { return Vec::new() };
        let running = self.running.borrow();
        let now_ms = wall_clock_ms();
        let run_times = self.run_times.borrow();
        let mut candidates = Vec::new();
        for group in self.changeable(view) {
            let replica = self.replica(group).borrow();
            if replica.knows_nothing_committed() {
                continue;
            }
            for state in replica.state().jobs().filter(|state| !state.is_complete()) {
                let route = table.configuration.routes.iter().find(|route| route.name == state.job.route);
                let due_ms = state.job.received_ms + route.map_or(0, |route| route.batch_target_ms);
                for item in state.unfinished_items() {
                    let key = ItemKey { group, job: state.job.id.clone(), item };
                    if !running.contains_key(&key) {
                        let tokens = state.job.items[item as usize].tokens;
                        let late = self.settings.policy.late_items_last
                            && now_ms + run_times.longest_usual_ms(tokens) > due_ms;
                        candidates.push(Candidate { late, due_ms, key });
                    }
                }
            }
        }
        candidates
    }

    /// Starts an item if its service has room for it.
    fn start(self: &Rc<Self>, key: ItemKey, service: &str) -> bool {
        let running = self.running_of(service);
        if running.count() >= self.most_running(service) {
            return false;
        }
        let store = self.clone();
        let own = key.clone();
        let counted = Counted::new(running);
        let task = spawn_local(async move {
            let _counted = counted;
            if let Some(result) = store.run_item(&own).await {
                store.finish_item(&own, result).await;
            }
            store.running.borrow_mut().remove(&own);
            store.changed.notify_waiters();
        });
        self.running.borrow_mut().insert(key, task.abort_handle());
        true
    }

    /// The service whose servers an item goes to; an empty name where it can only be given up; none if it is over.
    fn service_of(&self, key: &ItemKey) -> Option<String> {
        let replica = self.replica(key.group).borrow();
        let state = replica.state().job(&key.job).filter(|state| !state.cancelled)?;
        let item = state.job.items.get(key.item as usize)?;
        if state.has_result[key.item as usize] {
            return None;
        }
        let route = batch_route(&*self.known.table()?, &state.job, item);
        Some(route.map_or(String::new(), |route| route.pick_service(stable_fraction(&item.id)).to_owned()))
    }

    fn running_of(&self, service: &str) -> RunningCount {
        self.running_counts.borrow_mut().entry(service.to_owned()).or_default().clone()
    }

    /// Makes an entry of a result, as soon as the group may be changed; nothing if this store heads it no more.
    async fn finish_item(&self, key: &ItemKey, result: ItemResult) {
        loop {
            let view = self.view();
            if self.takes_changes(&view, key.group) {
                let finish = Command::RecordResults { job: key.job.clone(), results: vec![result] };
                self.change(&view, key.group, finish);
                return;
            }
            if !self.role(&view, key.group).is_some_and(|role| role.is_head()) {
                return;
            }
            let _ = timeout(LOOK_EVERY, self.known.changed()).await;
        }
    }

    /// Ends the running items of one batch job.
    pub(super) fn stop_items(&self, group: GroupNumber, job: &str) {
        self.running.borrow_mut().retain(|key, task| {
            let stops = key.group == group && key.job == job;
            if stops {
                task.abort();
            }
            !stops
        });
    }

    /// Ends the running items of a whole group.
    pub(super) fn stop_group(&self, group: GroupNumber) {
        self.running.borrow_mut().retain(|key, task| {
            if key.group == group {
                task.abort();
            }
            key.group != group
        });
    }

    /// Ends the running items of groups that this store no longer heads.
    fn stop_foreign_items(&self, view: &StoreView) {
        let headed = self.headed(view);
        self.taken_here.borrow_mut().retain(|_, group| headed.contains(group));
        self.running.borrow_mut().retain(|key, task| {
            let own = headed.contains(&key.group);
            if !own {
                task.abort();
            }
            own
        });
    }

    /// Removes batch jobs whose results are no longer promised.
    fn remove_old_jobs(&self, view: &StoreView) {
        let kept_ms = (self.settings.bounds.status_s * 1_000.0) as u64 + KEPT_LONGER_MS;
        let now_ms = wall_clock_ms();
        for group in self.changeable(view) {
            let old: Vec<String> = {
                let replica = self.replica(group).borrow();
                let jobs = replica.state().jobs();
                jobs.filter(|state| state.is_complete() && state.job.received_ms + kept_ms < now_ms)
                    .map(|state| state.job.id.clone())
                    .collect()
            };
            for job in old {
                self.taken_here.borrow_mut().remove(&job);
                self.change(view, group, Command::Remove { job });
            }
        }
    }
}

/// The batch route of an item; none where the configuration has it no more.
pub(super) fn batch_route(table: &RoutingTable, job: &Job, item: &Item) -> Option<Rc<Route>> {
    let path = item.path.split('?').next().unwrap_or("");
    table.find_route(&job.host, path).filter(|route| route.kind == RouteKind::Batch)
}
