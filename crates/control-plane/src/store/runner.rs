//! Runs the items of the batch jobs whose groups this store heads: behind interactive requests, the most urgent first.

use std::cell::Cell;
use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

use actix_web::http::header::{HeaderName, HeaderValue};
use actix_web::http::{Method, StatusCode};
use actix_web::web::Bytes;
use fennelgauge_batch::{Command, Item, ItemOutcome, ItemResult, Job};
use fennelgauge_coordination::{GroupNumber, StoreView};
use fennelgauge_model::{fixed_chance, Route, RouteKind, RoutingTable};
use fennelgauge_upstream::{
    is_hop_by_hop, Answer, Demand, EventOrder, EventReader, Outgoing, SendError, Ticket, LAST_EVENT_ID,
    PREFIX_HASH, PRIORITY, TENANT,
};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout, Instant};

use super::window::{ItemWindow, Offer};
use super::{wall_clock_ms, Store};

const LOOK_EVERY: Duration = Duration::from_millis(200);
const START_EVERY: Duration = Duration::from_millis(20);
/// Items that are begun at once at most: prompts that come together hold up the streams of a server.
const MOST_AT_ONCE: f64 = 6.0;
const TRY_AGAIN: Duration = Duration::from_millis(120);
const LONGEST_RUN: Duration = Duration::from_secs(20);
/// After a silence of this length, before the head or between events, an item goes on at another server.
const LONGEST_SILENCE: Duration = Duration::from_millis(2_500);
const COMMIT_TIMEOUT: Duration = Duration::from_millis(4_000);
/// Items wait while their servers are fuller than this, as a part of their slots.
const ENOUGH_LOAD: f64 = 0.8;
/// Items are begun at a pace at which this part of the time until they are due would do.
const PART_OF_DUE: f64 = 0.18;
/// What is overdue is begun at the pace of so many seconds.
const SHORTEST_PACE_S: f64 = 0.5;
/// An item whose failures all happened here is tried again after so many times the route's `retries`; three times may not be
/// passed, whoever runs it, and a later head gives it `retries` at most.
const PATIENCE_WITH_ITEMS: u32 = 2;
/// Behind all interactive requests.
const ITEM_PRIORITY: &str = "9";
/// Kept beyond the time for which results are promised, as clocks differ.
const KEPT_LONGER_MS: u64 = 30_000;
/// Past an item's retention by so much it is given up, as clocks differ.
const RETENTION_MARGIN_MS: u64 = 6_000;

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

/// What a run needs of an item and its batch job.
struct OpenItem {
    item: Item,
    /// None where the configuration has no such route any more.
    route: Option<Rc<Route>>,
    tenant: String,
    host: String,
    received_ms: u64,
}

/// What one attempt came to.
enum Attempt {
    Finished(ItemOutcome),
    /// The server tried and failed.
    Failed,
    /// Broke off, refused or not reached: again, from the next event.
    Again,
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
    fn learn_window(&self, service: &str, sent: &Result<Answer, SendError>, wait: Duration) {
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
        for group in GroupNumber::all().filter(|group| self.is_head(view, *group)) {
            let held = self.held(group).borrow();
            if held.committed == 0 && held.position().sequence > 0 {
                continue;
            }
            for state in held.state().jobs().filter(|state| !state.is_over()) {
                let route = table.configuration.routes.iter().find(|route| route.name == state.job.route);
                let due_ms = state.job.received_ms + route.map_or(0, |route| route.batch_target_ms);
                for item in state.open_items() {
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
                store.finish_item(&own, result);
            }
            store.running.borrow_mut().remove(&own);
            store.changed.notify_waiters();
        });
        self.running.borrow_mut().insert(key, task.abort_handle());
        true
    }

    /// The service whose servers an item goes to; an empty name where it can only be given up; none if it is over.
    fn service_of(&self, key: &ItemKey) -> Option<String> {
        let held = self.held(key.group).borrow();
        let state = held.state().job(&key.job).filter(|state| !state.ended)?;
        let item = state.job.items.get(key.item as usize)?;
        if state.finished[key.item as usize] {
            return None;
        }
        let route = batch_route(&*self.known.table()?, &state.job, item);
        Some(route.map_or(String::new(), |route| route.service(fixed_chance(&item.id)).to_owned()))
    }

    fn running_of(&self, service: &str) -> RunningCount {
        self.running_counts.borrow_mut().entry(service.to_owned()).or_default().clone()
    }

    fn finish_item(&self, key: &ItemKey, result: ItemResult) {
        let view = self.view();
        if self.is_head(&view, key.group) {
            self.change(&view, key.group, Command::Finish { job: key.job.clone(), results: vec![result] });
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

    /// Ends the running items of groups that this store no longer heads.
    fn stop_foreign_items(&self, view: &StoreView) {
        self.taken_here.borrow_mut().retain(|_, group| self.is_head(view, *group));
        self.running.borrow_mut().retain(|key, task| {
            let own = self.is_head(view, key.group);
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
        for group in GroupNumber::all().filter(|group| self.is_head(view, *group)) {
            let old: Vec<String> = {
                let held = self.held(group).borrow();
                let jobs = held.state().jobs();
                jobs.filter(|state| state.is_over() && state.job.received_ms + kept_ms < now_ms)
                    .map(|state| state.job.id.clone())
                    .collect()
            };
            for job in old {
                self.taken_here.borrow_mut().remove(&job);
                self.change(view, group, Command::Remove { job });
            }
        }
    }

    /// Runs one item to its end; none if it need not run any more.
    async fn run_item(self: &Rc<Self>, key: &ItemKey) -> Option<ItemResult> {
        let mut text: Vec<String> = Vec::new();
        let mut order = EventOrder::default();
        let mut failures = 0;
        let mut tried = Vec::new();
        if !self.is_committed(key).await {
            return None;
        }
        loop {
            let OpenItem { item, route, tenant, host, received_ms } = self.item(key)?;
            let dead = ItemResult { item: key.item, outcome: ItemOutcome::DeadLettered, text: String::new() };
            let Some(route) = route else { return Some(dead) };
            let given_up_ms = received_ms + (route.retention_s * 1_000.0) as u64 + RETENTION_MARGIN_MS;
            if route.retention_s > 0.0 && wall_clock_ms() > given_up_ms {
                return Some(dead);
            }
            let service = route.service(fixed_chance(&item.id));
            if self.pool.mean_load(service).is_some_and(|load| load > ENOUGH_LOAD) {
                sleep(TRY_AGAIN).await;
                continue;
            }
            let Some(ticket) = self.pool.choose(service, &tried, &demand(&item)) else {
                tried.clear();
                sleep(TRY_AGAIN).await;
                continue;
            };
            let outgoing = outgoing(&item, &tenant, &host, order.last());
            let began = Instant::now();
            match self.attempt(service, &ticket, &outgoing, &mut text, &mut order).await {
                Attempt::Finished(ItemOutcome::Succeeded) => {
                    self.run_times.borrow_mut().took(item.tokens, began.elapsed());
                    let text = text.join("\n");
                    return Some(ItemResult { item: key.item, outcome: ItemOutcome::Succeeded, text });
                }
                Attempt::Finished(ItemOutcome::DeadLettered) => return Some(dead),
                Attempt::Failed => {
                    failures += 1;
                    if failures >= self.most_failures(key, &route) {
                        return Some(dead);
                    }
                }
                Attempt::Again => {}
            }
            tried = vec![ticket.server.id.clone()];
            drop(ticket);
            sleep(TRY_AGAIN).await;
        }
    }

    /// After how many failures at servers an item is given up.
    fn most_failures(&self, key: &ItemKey, route: &Route) -> u32 {
        let retries = route.retries.max(1);
        match self.settings.policy.patient_items && self.taken_here.borrow().contains_key(&key.job) {
            true => retries * PATIENCE_WITH_ITEMS,
            false => retries,
        }
    }

    /// Waits until the acceptance of the item's batch job is committed.
    async fn is_committed(&self, key: &ItemKey) -> bool {
        let position = self.held(key.group).borrow().position();
        self.committed(key.group, position, Instant::now() + COMMIT_TIMEOUT).await
    }

    /// The item as it stands now; none if it is over.
    fn item(&self, key: &ItemKey) -> Option<OpenItem> {
        let held = self.held(key.group).borrow();
        let state = held.state().job(&key.job).filter(|state| !state.ended)?;
        let item = state.job.items.get(key.item as usize)?.clone();
        if state.finished[key.item as usize] {
            return None;
        }
        let table = self.known.table()?;
        let route = batch_route(&table, &state.job, &item);
        Some(OpenItem {
            item,
            route,
            tenant: state.job.tenant.clone(),
            host: state.job.host.clone(),
            received_ms: state.job.received_ms,
        })
    }

    async fn attempt(
        &self,
        service: &str,
        ticket: &Ticket,
        outgoing: &Outgoing,
        text: &mut Vec<String>,
        order: &mut EventOrder,
    ) -> Attempt {
        let began = Instant::now();
        let sent = self.sender.send(&ticket.server, outgoing, LONGEST_RUN, LONGEST_SILENCE).await;
        self.learn_window(service, &sent, began.elapsed());
        let answer = match sent {
            Ok(answer) => answer,
            Err(error) => {
                self.pool.learn_failure(&ticket.server, &error);
                if error == SendError::MayHaveRun {
                    log::info!("item {}: {error}", outgoing.id);
                }
                return Attempt::Again;
            }
        };
        self.pool.learn(ticket, &answer);
        match answer.status() {
            status if status.is_success() => read_events(answer, text, order).await,
            StatusCode::UNPROCESSABLE_ENTITY => Attempt::Finished(ItemOutcome::DeadLettered),
            StatusCode::INTERNAL_SERVER_ERROR => Attempt::Failed,
            _ => Attempt::Again,
        }
    }
}

/// The batch route of an item; none where the configuration has it no more.
fn batch_route(table: &RoutingTable, job: &Job, item: &Item) -> Option<Rc<Route>> {
    let path = item.path.split('?').next().unwrap_or("");
    table.route(&job.host, path).filter(|route| route.kind == RouteKind::Batch)
}

/// Collects the events of an answer; a break leaves what was whole.
async fn read_events(mut answer: Answer, text: &mut Vec<String>, order: &mut EventOrder) -> Attempt {
    let mut reader = EventReader::default();
    loop {
        let piece = match timeout(LONGEST_SILENCE, answer.next()).await {
            Ok(Some(Ok(piece))) => piece,
            Ok(None) if !reader.has_rest() => return Attempt::Finished(ItemOutcome::Succeeded),
            _ => return Attempt::Again,
        };
        reader.push(&piece);
        for event in reader.by_ref() {
            if !order.take(&event) {
                return Attempt::Again;
            }
            text.push(event.data);
        }
    }
}

fn outgoing(item: &Item, tenant: &str, host: &str, last_event: Option<u64>) -> Outgoing {
    let own = [TENANT, PRIORITY, LAST_EVENT_ID];
    let mut headers: Vec<(HeaderName, HeaderValue)> = item
        .headers
        .iter()
        .filter_map(|(name, value)| Some((name.parse().ok()?, HeaderValue::from_str(value).ok()?)))
        .filter(|(name, _): &(HeaderName, HeaderValue)| {
            !is_hop_by_hop(name) && !own.contains(name) && name != "authorization" && name != "host"
        })
        .collect();
    if let Ok(tenant) = HeaderValue::from_str(tenant) {
        headers.push((TENANT, tenant));
    }
    headers.push((PRIORITY, HeaderValue::from_static(ITEM_PRIORITY)));
    if let Some(last_event) = last_event {
        headers.push((LAST_EVENT_ID, HeaderValue::from(last_event)));
    }
    Outgoing {
        method: Method::POST,
        path_and_query: item.path.clone(),
        host: host.to_owned(),
        id: item.id.clone(),
        headers,
        body: Bytes::copy_from_slice(&item.body),
    }
}

/// What the choice of a server goes by.
fn demand(item: &Item) -> Demand {
    let prefix = item.headers.iter().find(|(name, _)| PREFIX_HASH == name.to_ascii_lowercase().as_str());
    Demand::of_item(prefix.map(|(_, value)| value.as_str()))
}
