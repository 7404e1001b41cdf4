//! Starts and stops the items of the batch jobs whose groups this store heads. Items run behind interactive requests,
//! the most urgent first, at a steady rate that completes them well before they are due.

use std::cell::Cell;
use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

use actix_web::http::StatusCode;
use fennelgauge_batch::{Command, Item, ItemResult, Job};
use fennelgauge_coordination::{GroupNumber, StoreView};
use fennelgauge_model::{stable_fraction, Route, RouteKind, RoutingTable};
use fennelgauge_upstream::{SendError, UpstreamResponse};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout, Instant};

use super::concurrency::{ConcurrencyWindow, ServiceCapacity};
use super::{wall_clock_ms, Store};

/// How often housekeeping runs, and the longest wait for a change that could let an item start.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Time between two rounds of starting items.
const START_INTERVAL: Duration = Duration::from_millis(20);
/// Largest number of items started in one round: prompts that arrive together delay the streams of a server.
const MAX_START_BURST: f64 = 6.0;
/// Share of the time until an item is due that sets the start rate: the rate at which all waiting items would be
/// started within this share of their remaining time.
const START_TIME_SHARE: f64 = 0.18;
/// Remaining time, in seconds, that is assumed at least when the start rate is computed, also for overdue items.
const MIN_START_TIME_S: f64 = 0.5;
/// Time for which complete jobs are kept beyond the promised retention, because clocks differ. In milliseconds.
const JOB_RETENTION_MARGIN_MS: u64 = 30_000;

/// Identifies an item of a batch job on this store.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ItemKey {
    /// Group that holds the job.
    pub group: GroupNumber,
    /// Id of the batch job.
    pub job: String,
    /// Index of the item in the job.
    pub item_index: u32,
}

/// An item that is waiting to run, with what decides its turn.
struct Candidate {
    /// Whether the item is unlikely to complete by its due time even if it is started now.
    late: bool,
    /// Wall-clock time by which the item should have a result, in milliseconds since the Unix epoch.
    due_ms: u64,
    key: ItemKey,
}

impl Candidate {
    /// Returns the item's contribution to the start rate, in items per second.
    fn start_rate(&self, now_ms: u64) -> f64 {
        let left_s = self.due_ms.saturating_sub(now_ms) as f64 / 1_000.0;
        1.0 / (left_s * START_TIME_SHARE).max(MIN_START_TIME_S)
    }
}

/// Number of items of one service that run on this store.
#[derive(Clone, Debug, Default)]
pub struct RunningCount(Rc<Cell<usize>>);

impl RunningCount {
    fn count(&self) -> usize {
        self.0.get()
    }
}

/// Counts one running item until dropped, however its run ends.
struct RunningGuard(RunningCount);

impl RunningGuard {
    fn new(running: RunningCount) -> Self {
        running.0.set(running.count() + 1);
        Self(running)
    }
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        let running = &self.0;
        running.0.set(running.count().saturating_sub(1));
    }
}

impl Store {
    /// Starts items at the rate that their due times require, and does the housekeeping of running and old jobs. Never
    /// returns.
    pub(super) async fn run_items(self: Rc<Self>) {
        let mut last_credit_update = Instant::now();
        let mut last_housekeeping = Instant::now();
        // Number of items that may be started now; grows with time at the start rate.
        let mut credit: f64 = 0.0;
        loop {
            sleep(START_INTERVAL).await;
            if self.running.borrow().is_empty() {
                let _ = timeout(POLL_INTERVAL, self.group_changed.notified()).await;
            }
            self.pool.update(&self.known.server_list());
            let view = self.view();
            self.stop_items_of_lost_groups(&view);
            if last_housekeeping.elapsed() >= POLL_INTERVAL {
                last_housekeeping = Instant::now();
                self.sender.retain_servers(&self.known.server_list().servers);
                self.remove_expired_jobs(&view);
                let headed = self.headed_groups(&view);
                self.forget_settled_jobs(&headed);
                self.forget_settled_rests(&headed);
            }
            let mut candidates = self.candidates(&view);
            let elapsed_s = last_credit_update.elapsed().as_secs_f64().min(POLL_INTERVAL.as_secs_f64());
            last_credit_update = Instant::now();
            credit = (credit + self.start_rate(&candidates) * elapsed_s).min(MAX_START_BURST);
            candidates.sort_by_key(|candidate| (candidate.late, candidate.due_ms));
            let mut services_at_limit = HashSet::new();
            for candidate in candidates {
                if credit < 1.0 {
                    break;
                }
                let Some(service) = self.item_service(&candidate.key) else { continue };
                if services_at_limit.contains(&service) {
                    continue;
                }
                match self.start(candidate.key, &service) {
                    true => credit -= 1.0,
                    false => drop(services_at_limit.insert(service)),
                }
            }
        }
    }

    /// Returns the number of items to start per second; unlimited if the policy does not pace items.
    fn start_rate(&self, candidates: &[Candidate]) -> f64 {
        if !self.settings.policy.paced_items {
            return f64::MAX;
        }
        let now_ms = wall_clock_ms();
        candidates.iter().map(|candidate| candidate.start_rate(now_ms)).sum()
    }

    /// Returns the capacity that this store's items share with interactive requests and other stores.
    fn service_capacity(&self, service: &str) -> ServiceCapacity {
        let servers = self.known.server_list();
        let service_servers = servers.servers.iter().filter(|server| server.backend == service);
        ServiceCapacity {
            slots: service_servers.map(|server| server.slots as usize).sum(),
            stores: self.view().stores.len(),
        }
    }

    /// Returns how many items of a service may run at once on this store.
    fn concurrency_limit(&self, service: &str) -> usize {
        let capacity = self.service_capacity(service);
        match self.concurrency_windows.borrow().get(service) {
            Some(window) if self.settings.policy.adaptive_items => window.size(capacity),
            _ => ConcurrencyWindow::default().size(capacity),
        }
    }

    /// Adapts the concurrency limit of a service to the outcome of an attempt: the response began after `wait`, or the
    /// server refused the item because it is overloaded.
    pub(super) fn update_concurrency(
        &self,
        service: &str,
        sent: &Result<UpstreamResponse, SendError>,
        wait: Duration,
    ) {
        let capacity = self.service_capacity(service);
        let max_wait = self.max_queue_wait(service);
        let mut concurrency_windows = self.concurrency_windows.borrow_mut();
        let window = concurrency_windows.entry(service.to_owned()).or_default();
        match sent {
            Ok(_) => window.on_response(wait, max_wait, capacity, Instant::now()),
            Err(SendError::NotExecuted(StatusCode::SERVICE_UNAVAILABLE)) => {
                window.on_overload(capacity, Instant::now());
            }
            Err(_) => {}
        }
    }

    /// Returns how long items may wait in the queues of a service's servers. Interactive requests wait in the same queues
    /// and have to answer within their target time. Servers that report their load serve items behind interactive
    /// requests, so there the wait is not limited and the load is watched instead.
    fn max_queue_wait(&self, service: &str) -> Duration {
        if self.pool.has_reported_load(service) {
            return Duration::MAX;
        }
        let Some(table) = self.known.routing_table() else { return Duration::MAX };
        let interactive = table.configuration.routes.iter().filter(|route| {
            route.kind != RouteKind::Batch
                && route.target_ms > 0
                && route.services().any(|route_service| route_service == service)
        });
        let shortest_target_ms = interactive.map(|route| route.target_ms).min();
        shortest_target_ms.map_or(Duration::MAX, |ms| {
            Duration::from_millis(ms).mul_f64(self.settings.policy.items_wait_part)
        })
    }

    /// Returns the waiting items of all groups that this store may change.
    fn candidates(&self, view: &StoreView) -> Vec<Candidate> {
        let Some(table) = self.known.routing_table() else { return Vec::new() };
        let running = self.running.borrow();
        let now_ms = wall_clock_ms();
        let run_durations = self.run_durations.borrow();
        let mut candidates = Vec::new();
        for group in self.writable_groups(view) {
            let replica = self.replica(group).borrow();
            if replica.commit_position_unknown() {
                continue;
            }
            let unfinished = replica.state().jobs().filter(|state| !state.is_complete());
            for state in unfinished {
                let route = table.configuration.routes.iter().find(|route| route.name == state.job.route);
                if self.is_held_for_configuration(group, &state.job, route) {
                    continue;
                }
                let target_ms = route.map_or(0, |route| route.batch_target_ms);
                let due_ms = state.job.received_ms.saturating_add(target_ms);
                for item_index in state.unfinished_items() {
                    let key = ItemKey { group, job: state.job.id.clone(), item_index };
                    if !running.contains_key(&key) && !self.is_resting(&key) {
                        let tokens = state.job.items[item_index as usize].tokens;
                        let late = self.settings.policy.late_items_last
                            && now_ms.saturating_add(run_durations.upper_estimate_ms(tokens)) > due_ms;
                        candidates.push(Candidate { late, due_ms, key });
                    }
                }
            }
        }
        candidates
    }

    /// Starts an item unless its service is at the concurrency limit; returns whether it was started.
    fn start(self: &Rc<Self>, key: ItemKey, service: &str) -> bool {
        let running = self.running_count(service);
        if running.count() >= self.concurrency_limit(service) {
            return false;
        }
        let store = self.clone();
        let task_key = key.clone();
        let guard = RunningGuard::new(running);
        let task = spawn_local(async move {
            let _guard = guard;
            if let Some(result) = store.run_item(&task_key).await {
                store.record_result(&task_key, result).await;
            }
            store.running.borrow_mut().remove(&task_key);
            store.group_changed.notify_waiters();
        });
        self.running.borrow_mut().insert(key, task.abort_handle());
        true
    }

    /// Returns the service to whose servers an item goes: an empty name if no route leads to one any more, so that the
    /// item can only be dead-lettered, and `None` if the item need not run.
    fn item_service(&self, key: &ItemKey) -> Option<String> {
        let replica = self.replica(key.group).borrow();
        let state = replica.state().job(&key.job).filter(|state| !state.cancelled)?;
        let item = state.job.items.get(key.item_index as usize)?;
        if state.has_result[key.item_index as usize] {
            return None;
        }
        let route = batch_route(&*self.known.routing_table()?, &state.job, item);
        Some(route.map_or(String::new(), |route| route.pick_service(stable_fraction(&item.id)).to_owned()))
    }

    fn running_count(&self, service: &str) -> RunningCount {
        self.running_counts.borrow_mut().entry(service.to_owned()).or_default().clone()
    }

    /// Appends a result to the group's log as soon as the group accepts changes. Does nothing if this store stops being
    /// the group's head.
    async fn record_result(&self, key: &ItemKey, result: ItemResult) {
        loop {
            let view = self.view();
            if self.accepts_changes(&view, key.group) {
                let command = Command::RecordResults { job: key.job.clone(), results: vec![result] };
                self.append_command(&view, key.group, command);
                return;
            }
            if !self.role(&view, key.group).is_some_and(|role| role.is_head()) {
                return;
            }
            let _ = timeout(POLL_INTERVAL, self.known.changed()).await;
        }
    }

    /// Stops the running items of one batch job.
    pub(super) fn stop_items(&self, group: GroupNumber, job: &str) {
        self.running.borrow_mut().retain(|key, task| {
            let stops = key.group == group && key.job == job;
            if stops {
                task.abort();
            }
            !stops
        });
    }

    /// Stops the running items of a group.
    pub(super) fn stop_group(&self, group: GroupNumber) {
        self.running.borrow_mut().retain(|key, task| {
            if key.group == group {
                task.abort();
            }
            key.group != group
        });
    }

    /// Stops the running items of groups that this store no longer heads.
    fn stop_items_of_lost_groups(&self, view: &StoreView) {
        let headed = self.headed_groups(view);
        self.accepted_here.borrow_mut().retain(|_, accepted| headed.contains(&accepted.group));
        self.running.borrow_mut().retain(|key, task| {
            let is_headed = headed.contains(&key.group);
            if !is_headed {
                task.abort();
            }
            is_headed
        });
    }

    /// Removes complete batch jobs whose retention has ended.
    fn remove_expired_jobs(&self, view: &StoreView) {
        let retention_ms = (self.settings.bounds.status_s * 1_000.0) as u64 + JOB_RETENTION_MARGIN_MS;
        let now_ms = wall_clock_ms();
        for group in self.writable_groups(view) {
            let expired: Vec<String> = {
                let replica = self.replica(group).borrow();
                let jobs = replica.state().jobs();
                jobs.filter(|state| state.is_complete() && state.job.received_ms + retention_ms < now_ms)
                    .map(|state| state.job.id.clone())
                    .collect()
            };
            for job in expired {
                self.accepted_here.borrow_mut().remove(&job);
                self.append_command(view, group, Command::Remove { job });
            }
        }
    }
}

/// Returns the batch route of an item, or `None` if the configuration has no such route any more.
pub(super) fn batch_route(table: &RoutingTable, job: &Job, item: &Item) -> Option<Rc<Route>> {
    let path = item.path.split('?').next().unwrap_or("");
    table.find_batch_route(&job.route, &job.host, path)
}
