//! Runs one item: sends it to servers of its service until it completes, fails too often, or need not run any more. If a
//! response breaks off, the next attempt resumes after the last event received.

use std::rc::Rc;
use std::time::Duration;

use actix_web::http::header::{HeaderName, HeaderValue};
use actix_web::http::{Method, StatusCode};
use actix_web::web::Bytes;
use fennelgauge_batch::{AttemptEvent, Attempts, Item, ItemOutcome, ItemPast, ItemResult, ItemStep};
use fennelgauge_model::{stable_fraction, Route};
use fennelgauge_upstream::{
    is_hop_by_hop, EventOrder, EventParser, InFlightGuard, OutgoingRequest, RequestProfile, SendError,
    UpstreamResponse, LAST_EVENT_ID, PREFIX_HASH, PRIORITY, TENANT,
};
use fennelgauge_wire::EntryPosition;
use strum::Display;
use tokio::time::{sleep, timeout_at, Instant};

use super::configuration_wait::ConfigurationWait;
use super::runner::{batch_route, ItemKey};
use super::Store;

/// Pause between two attempts, or between two looks for a server with room.
const RETRY_DELAY: Duration = Duration::from_millis(120);
/// Time limit for one attempt, of which the server is informed.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(20);
/// When an attempt is given up although its server still sends: it was told to stop at [`ATTEMPT_TIMEOUT`].
const MAX_ATTEMPT_DURATION: Duration = Duration::from_secs(22);
/// Longest wait for the head of a response or for more of its body; after it the item goes to another server. The head is
/// awaited for longer in the last attempt that the item's limits allow.
const IDLE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Time limit for the acceptance of the item's job to be committed.
const COMMIT_TIMEOUT: Duration = Duration::from_millis(4_000);
/// Mean load of a service's servers, as a share of their slots, above which items wait.
const MAX_MEAN_LOAD: f64 = 0.8;
/// Priority header of items: behind all interactive requests.
const ITEM_PRIORITY: &str = "9";

/// An unfinished item with what a run needs of its batch job.
struct UnfinishedItem {
    item: Item,
    /// `None` if the configuration known here has no such route.
    route: Option<Rc<Route>>,
    step: ItemStep,
    past: ItemPast,
    /// Longest wait of the next attempt for the head of its response.
    head_timeout: Duration,
    tenant: String,
    host: String,
}

/// Outcome of one attempt at one server.
enum Attempt {
    /// The item has its result.
    Finished(ItemOutcome),
    /// The server executed the item and failed; counts towards the item's failure limit.
    Failed,
    /// No response came: the server may have executed the item and failed.
    Lost,
    /// The response broke off, or the server refused the item or was not reached: try again, after the last event.
    Retry,
}

/// What a run knows of its item, from one attempt to the next.
#[derive(Default)]
struct ItemRun {
    /// Entry that permits the next attempt; `None` if a permit has to be taken first.
    permit: Option<EntryPosition>,
    /// Whether the last attempt failed, and that is not recorded yet.
    has_unrecorded_failure: bool,
    wait: Option<ConfigurationWait>,
    logged_wait: Option<WaitReason>,
    excluded_servers: Vec<String>,
    event_data: Vec<String>,
    event_order: EventOrder,
}

/// Why an unfinished item is not sent to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
enum WaitReason {
    /// The core has not confirmed the configuration by which the item is to be given up, or runs.
    #[strum(to_string = "the core has not confirmed the configuration")]
    Configuration,
    /// The item is to be given up, but its group takes no changes.
    #[strum(to_string = "its group takes no changes")]
    GroupClosed,
    /// The outcome of so many attempts is unknown that the item may have failed too often.
    #[strum(to_string = "the outcome of too many attempts is unknown")]
    UnknownOutcomes,
}

impl Store {
    /// Runs an item until it has a result. Returns `None` if it need not run any more, or is to rest. One that the
    /// configuration gives up is returned only while its group takes changes, and is to be recorded at once.
    pub(super) async fn run_item(self: &Rc<Self>, key: &ItemKey) -> Option<ItemResult> {
        if !self.job_is_committed(key).await {
            return None;
        }
        let mut run = ItemRun {
            permit: self.take_first_permit(key),
            wait: self.wait_of_job(key.group, &key.job),
            ..ItemRun::default()
        };
        loop {
            let unfinished = self.unfinished_item(key, &run)?;
            if run.has_unrecorded_failure {
                self.record_failure(key, &mut run, &unfinished).await;
                continue;
            }
            match (unfinished.step, &unfinished.route) {
                (ItemStep::Run, Some(_)) => {}
                (ItemStep::AwaitConfiguration, _) => {
                    self.log_wait(key, &unfinished, &mut run, WaitReason::Configuration);
                    run.wait = Some(run.wait.unwrap_or_else(ConfigurationWait::begin));
                    sleep(RETRY_DELAY).await;
                    continue;
                }
                (ItemStep::Rest, _) => {
                    self.log_wait(key, &unfinished, &mut run, WaitReason::UnknownOutcomes);
                    self.begin_rest(key);
                    return None;
                }
                // Decided anew once the result can be recorded: the configuration may have been replaced by then.
                (ItemStep::Run | ItemStep::DeadLetter, _)
                    if !self.accepts_changes(&self.view(), key.group) =>
                {
                    self.log_wait(key, &unfinished, &mut run, WaitReason::GroupClosed);
                    sleep(RETRY_DELAY).await;
                    continue;
                }
                (ItemStep::Run | ItemStep::DeadLetter, _) => return Some(dead_letter(key)),
            }
            (run.wait, run.logged_wait) = (None, None);
            if !self.is_permit_committed(key, run.permit) {
                run.permit = self.obtain_permit(key, run.permit).await;
                continue;
            }
            match self.send_to_server(key, &mut run, &unfinished).await {
                Some(Attempt::Finished(ItemOutcome::Succeeded)) => {
                    let text = run.event_data.join("\n");
                    let outcome = ItemOutcome::Succeeded;
                    return Some(ItemResult { item_index: key.item_index, outcome, text });
                }
                Some(Attempt::Finished(ItemOutcome::DeadLettered)) => return Some(dead_letter(key)),
                Some(Attempt::Failed) => run.has_unrecorded_failure = true,
                Some(Attempt::Lost) => run.permit = None,
                Some(Attempt::Retry) | None => {}
            }
            sleep(RETRY_DELAY).await;
        }
    }

    /// Makes one attempt at an item under the run's permit. Returns `None` if no server has room.
    async fn send_to_server(
        &self,
        key: &ItemKey,
        run: &mut ItemRun,
        unfinished: &UnfinishedItem,
    ) -> Option<Attempt> {
        let UnfinishedItem { item, route, tenant, host, head_timeout, .. } = unfinished;
        let service = route.as_ref()?.pick_service(stable_fraction(&item.id));
        if self.pool.mean_load(service).is_some_and(|load| load > MAX_MEAN_LOAD) {
            return None;
        }
        let Some(ticket) = self.pool.choose(service, &run.excluded_servers, &demand(item)) else {
            run.excluded_servers.clear();
            return None;
        };
        self.end_rest(key);
        let outgoing = outgoing(item, tenant, host, run.event_order.last_id());
        let started = Instant::now();
        let attempt = self.attempt(key, service, &ticket, &outgoing, *head_timeout, run).await;
        match &attempt {
            Attempt::Finished(ItemOutcome::Succeeded) => {
                self.run_durations.borrow_mut().record(item.tokens, started.elapsed());
            }
            Attempt::Failed => self.log_failure(key, unfinished, &ticket.server.id),
            _ => {}
        }
        run.excluded_servers = vec![ticket.server.id.clone()];
        Some(attempt)
    }

    /// Records that the last attempt failed, which renews the permit, once the group takes changes.
    async fn record_failure(&self, key: &ItemKey, run: &mut ItemRun, unfinished: &UnfinishedItem) {
        match self.record_attempt_event(key, AttemptEvent::Failed) {
            Some(entry) => {
                run.permit = Some(entry);
                run.has_unrecorded_failure = false;
            }
            None => {
                self.log_wait(key, unfinished, run, WaitReason::GroupClosed);
                sleep(RETRY_DELAY).await;
            }
        }
    }

    /// Logs that a server failed an item, with what decides how often it may be sent again.
    fn log_failure(&self, key: &ItemKey, unfinished: &UnfinishedItem, server: &str) {
        log::warn!(
            "item {} of batch job {}: server {server} failed it after {}, view {}, configuration {}",
            unfinished.item.id,
            key.job,
            describe(unfinished.past.attempts),
            self.view().epoch,
            self.known.generation()
        );
    }

    /// Logs why an item waits, once for each reason in a row.
    fn log_wait(&self, key: &ItemKey, unfinished: &UnfinishedItem, run: &mut ItemRun, reason: WaitReason) {
        if run.logged_wait.replace(reason) == Some(reason) {
            return;
        }
        log::warn!(
            "item {} of batch job {} waits: {reason}; {}, view {}, configuration {}",
            unfinished.item.id,
            key.job,
            describe(unfinished.past.attempts),
            self.view().epoch,
            self.known.generation()
        );
    }

    /// Waits until all entries of the group up to now, with the acceptance of the item's job, are committed. Returns
    /// false if that takes too long.
    async fn job_is_committed(&self, key: &ItemKey) -> bool {
        let position = self.replica(key.group).borrow().position();
        self.wait_committed(key.group, position, Instant::now() + COMMIT_TIMEOUT).await
    }

    /// Returns the item of a run with the current route and the next step, or `None` if it has a result or its job was cancelled
    /// or removed.
    fn unfinished_item(&self, key: &ItemKey, run: &ItemRun) -> Option<UnfinishedItem> {
        let replica = self.replica(key.group).borrow();
        let state = replica.state().job(&key.job).filter(|state| !state.cancelled)?;
        let item = state.job.items.get(key.item_index as usize)?.clone();
        if state.has_result[key.item_index as usize] {
            return None;
        }
        let table = self.known.routing_table()?;
        let route = batch_route(&table, &state.job, &item);
        let recorded = state.attempts(key.item_index);
        let attempts = match run.permit {
            Some(_) => recorded.without_own_permit(),
            None => recorded,
        };
        let past = ItemPast { attempts, has_rested: self.has_rested(key) };
        let step = self.next_item_step(&state.job, route.as_deref(), past, run.wait);
        let status = self.route_status(&state.job, route.as_deref());
        Some(UnfinishedItem {
            item,
            route,
            step,
            past,
            head_timeout: match status.leaves_silent_server(attempts) {
                true => IDLE_TIMEOUT,
                false => MAX_ATTEMPT_DURATION,
            },
            tenant: state.job.tenant.clone(),
            host: state.job.host.clone(),
        })
    }

    /// Sends the item to one server and collects the events of its response.
    async fn attempt(
        &self,
        key: &ItemKey,
        service: &str,
        ticket: &InFlightGuard,
        outgoing: &OutgoingRequest,
        head_timeout: Duration,
        run: &mut ItemRun,
    ) -> Attempt {
        let started = Instant::now();
        let sent = self.sender.send(&ticket.server, outgoing, ATTEMPT_TIMEOUT, head_timeout).await;
        self.update_concurrency(service, &sent, started.elapsed());
        let response = match sent {
            Ok(response) => response,
            Err(error) => {
                self.pool.record_send_error(&ticket.server, &error);
                if matches!(error, SendError::MayHaveExecuted | SendError::TimedOut) {
                    log::info!(
                        "item {}: attempt at server {} failed after {:?}: {error}",
                        outgoing.id,
                        ticket.server.id,
                        started.elapsed()
                    );
                }
                return match error {
                    SendError::MayHaveExecuted | SendError::TimedOut => Attempt::Lost,
                    // No answer of 500, which alone counts as a failure of the item.
                    SendError::UnmarkedRefusal(_) => Attempt::Retry,
                    SendError::NotSent | SendError::NotExecuted(_) => Attempt::Retry,
                };
            }
        };
        self.pool.record_response(ticket, &response);
        match response.status() {
            status if status.is_success() => {
                self.record_response_begun(key);
                read_events(response, started + MAX_ATTEMPT_DURATION, run).await
            }
            StatusCode::UNPROCESSABLE_ENTITY => Attempt::Finished(ItemOutcome::DeadLettered),
            StatusCode::INTERNAL_SERVER_ERROR => Attempt::Failed,
            _ => Attempt::Retry,
        }
    }
}

/// Returns the result of an item that is given up.
fn dead_letter(key: &ItemKey) -> ItemResult {
    ItemResult { item_index: key.item_index, outcome: ItemOutcome::DeadLettered, text: String::new() }
}

/// Describes recorded attempts in the log.
fn describe(attempts: Attempts) -> String {
    format!("{} failures, {} unknown outcomes so far", attempts.failures, attempts.open_permits)
}

/// Collects the events of a response until `until` at most. If it breaks off, the events received whole are kept for the
/// next attempt.
async fn read_events(mut response: UpstreamResponse, until: Instant, run: &mut ItemRun) -> Attempt {
    let mut reader = EventParser::default();
    while Instant::now() < until {
        let silence_limit = until.min(Instant::now() + IDLE_TIMEOUT);
        let chunk = match timeout_at(silence_limit, response.next()).await {
            Ok(Some(Ok(chunk))) => chunk,
            Ok(None) if !reader.has_partial_event() => return Attempt::Finished(ItemOutcome::Succeeded),
            _ => return Attempt::Retry,
        };
        reader.push(&chunk);
        for event in reader.by_ref() {
            if !run.event_order.accept(&event) {
                return Attempt::Retry;
            }
            run.event_data.push(event.data);
        }
    }
    Attempt::Retry
}

/// Builds the request for an item: its own headers without those that describe a connection, a caller or a position in
/// a stream, and the store's headers for tenant, priority and the event to resume after.
fn outgoing(item: &Item, tenant: &str, host: &str, last_event: Option<u64>) -> OutgoingRequest {
    let set_by_store = [TENANT, PRIORITY, LAST_EVENT_ID];
    let mut headers: Vec<(HeaderName, HeaderValue)> = item
        .headers
        .iter()
        .filter_map(|(name, value)| Some((name.parse().ok()?, HeaderValue::from_str(value).ok()?)))
        .filter(|(name, _): &(HeaderName, HeaderValue)| {
            !is_hop_by_hop(name) && !set_by_store.contains(name) && name != "authorization" && name != "host"
        })
        .collect();
    if let Ok(tenant) = HeaderValue::from_str(tenant) {
        headers.push((TENANT, tenant));
    }
    headers.push((PRIORITY, HeaderValue::from_static(ITEM_PRIORITY)));
    if let Some(last_event) = last_event {
        headers.push((LAST_EVENT_ID, HeaderValue::from(last_event)));
    }
    OutgoingRequest {
        method: Method::POST,
        path_and_query: item.path.clone(),
        host: host.to_owned(),
        id: item.id.clone(),
        headers,
        body: Bytes::copy_from_slice(&item.body),
    }
}

/// Returns what the choice of a server depends on: the hash of the item's prompt prefix, if the item has one.
fn demand(item: &Item) -> RequestProfile {
    let prefix = item.headers.iter().find(|(name, _)| PREFIX_HASH == name.to_ascii_lowercase().as_str());
    RequestProfile::for_batch_item(prefix.map(|(_, value)| value.as_str()))
}
