//! One run of one item: at servers until it is done, fails too often, or is over; a text that broke off goes on at the next event.

use std::rc::Rc;
use std::time::Duration;

use actix_web::http::header::{HeaderName, HeaderValue};
use actix_web::http::{Method, StatusCode};
use actix_web::web::Bytes;
use fennelgauge_batch::{Item, ItemOutcome, ItemResult};
use fennelgauge_model::{stable_fraction, Route};
use fennelgauge_upstream::{
    is_hop_by_hop, Answer, Demand, EventOrder, EventReader, Outgoing, SendError, Ticket, LAST_EVENT_ID,
    PREFIX_HASH, PRIORITY, TENANT,
};
use tokio::time::{sleep, timeout, Instant};

use super::runner::{batch_route, ItemKey};
use super::{wall_clock_ms, Store};

const TRY_AGAIN: Duration = Duration::from_millis(120);
const LONGEST_RUN: Duration = Duration::from_secs(20);
/// After a silence of this length, before the head or between events, an item goes on at another server.
const LONGEST_SILENCE: Duration = Duration::from_millis(2_500);
const COMMIT_TIMEOUT: Duration = Duration::from_millis(4_000);
/// Items wait while their servers are fuller than this, as a part of their slots.
const ENOUGH_LOAD: f64 = 0.8;
/// An item whose failures all happened here is tried again after so many times the route's `retries`; three times may not be
/// passed, whoever runs it, and a later head gives it `retries` at most.
const PATIENCE_WITH_ITEMS: u32 = 2;
/// Behind all interactive requests.
const ITEM_PRIORITY: &str = "9";
/// Past an item's retention by so much it is given up, as clocks differ.
const RETENTION_MARGIN_MS: u64 = 6_000;

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
    /// Runs one item to its end; none if it need not run any more.
    pub(super) async fn run_item(self: &Rc<Self>, key: &ItemKey) -> Option<ItemResult> {
        let mut text: Vec<String> = Vec::new();
        let mut order = EventOrder::default();
        let mut failures = 0;
        let mut tried = Vec::new();
        if !self.is_committed(key).await {
            return None;
        }
        loop {
            let OpenItem { item, route, tenant, host, received_ms } = self.item(key)?;
            let dead =
                ItemResult { item_index: key.item, outcome: ItemOutcome::DeadLettered, text: String::new() };
            let Some(route) = route else { return Some(dead) };
            let given_up_ms = received_ms + (route.retention_s * 1_000.0) as u64 + RETENTION_MARGIN_MS;
            if route.retention_s > 0.0 && wall_clock_ms() > given_up_ms {
                return Some(dead);
            }
            let service = route.pick_service(stable_fraction(&item.id));
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
                    return Some(ItemResult { item_index: key.item, outcome: ItemOutcome::Succeeded, text });
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
        let position = self.replica(key.group).borrow().position();
        self.committed(key.group, position, Instant::now() + COMMIT_TIMEOUT).await
    }

    /// The item as it stands now; none if it is over.
    fn item(&self, key: &ItemKey) -> Option<OpenItem> {
        let replica = self.replica(key.group).borrow();
        let state = replica.state().job(&key.job).filter(|state| !state.cancelled)?;
        let item = state.job.items.get(key.item as usize)?.clone();
        if state.has_result[key.item as usize] {
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
