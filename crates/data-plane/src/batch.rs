//! Batch jobs: each request is passed to the store that is the head or the tail of the tenant's group.

use std::rc::Rc;
use std::time::Duration;

use actix_web::http::StatusCode;
use actix_web::web::{self, Bytes, Data};
use actix_web::{HttpRequest, HttpResponse};
use base64::prelude::{Engine, BASE64_STANDARD};
use fennelgauge_batch::{Item, ItemLimits, ItemOutcome, Job, Page};
use fennelgauge_coordination::{GroupNumber, Store, StoreView};
use fennelgauge_model::{stable_hash, Access, Denial, Route};
use fennelgauge_upstream::{wall_clock, POLL_WAIT, REQUEST_ID};
use fennelgauge_wire::{CallError, Reply, Request, StoreReply, StoreRequest};
use serde::Deserialize;
use tokio::time::{sleep, Instant};

use crate::attempt_log::{AttemptLog, Conclusion, Unexecuted};
use crate::frontend::{self, empty_response, header_text, refuse, refuse_unsent};
use crate::process::DataPlane;

/// `Retry-After` in responses to requests that no store executed.
const RETRY_AFTER_S: f64 = 0.2;
/// `Retry-After` in responses to batch jobs beyond the tenant's quota.
const QUOTA_RETRY_AFTER_S: f64 = 1.0;
/// How long a request is retried at stores before the client is told to try another data plane or that the outcome is
/// unknown.
const RETRY_DURATION: Duration = Duration::from_millis(2_500);
const CALL_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Time for reading results in addition to the poll's waiting time.
const READ_MARGIN: Duration = Duration::from_millis(1_100);
const RETRY_INTERVAL: Duration = Duration::from_millis(60);
const MAX_POLL_WAIT: Duration = Duration::from_secs(10);
/// Reason in responses about a batch job that was given up.
const GIVEN_UP: &str = "all stores that held this tenant's batch jobs were lost and the jobs were given up, this one with them if it \
     was accepted: submit it again under another id";

/// JSON body of a submission. Deserialization errors, which clients get to see, call it `Submitted`.
#[derive(Deserialize)]
#[serde(rename = "Submitted")]
struct SubmittedJob {
    requests: Vec<SubmittedItem>,
}

#[derive(Deserialize)]
struct SubmittedItem {
    id: String,
    path: String,
    #[serde(default)]
    headers: std::collections::BTreeMap<String, String>,
    /// Base64.
    #[serde(default)]
    body: String,
    tokens: u64,
}

/// Handles the submission of a batch job: the head of the tenant's group accepts it.
pub async fn submit(
    plane: &Rc<DataPlane>,
    request: &HttpRequest,
    access: &Access,
    body: Bytes,
) -> HttpResponse {
    let job = match parse_job(plane, request, access, &body) {
        Ok(job) => job,
        Err(reason) => return HttpResponse::BadRequest().json(serde_json::json!({ "error": reason })),
    };
    drop(body);
    let id = job.id.clone();
    let group = group_of(&job.tenant);
    let max_queued = access.route.max_queued;
    let store_request =
        |view: &StoreView| StoreRequest::Submit { epoch: view.epoch, group, job: job.clone(), max_queued };
    let deadline = Instant::now() + RETRY_DURATION;
    let mut calls = AttemptLog::default();
    let outcome =
        call_store(plane, StoreView::head, group, store_request, CALL_TIMEOUT, deadline, &mut calls).await;
    if !matches!(outcome, StoreOutcome::Replied(StoreReply::Accepted)) {
        log::info!("batch job {id}: its submission ends as {outcome:?}; {calls}");
    }
    match (outcome, calls.prove_unexecuted()) {
        (StoreOutcome::Replied(StoreReply::Accepted), _) => empty_response(plane, HttpResponse::Accepted()),
        (StoreOutcome::Replied(StoreReply::GivenUp), _) => given_up_response(plane),
        (StoreOutcome::Replied(StoreReply::OverQuota), Some(proof)) => {
            refuse(plane, proof, StatusCode::TOO_MANY_REQUESTS, QUOTA_RETRY_AFTER_S)
        }
        (StoreOutcome::Undecided, Some(proof)) => {
            refuse(plane, proof, StatusCode::SERVICE_UNAVAILABLE, RETRY_AFTER_S)
        }
        _ => empty_response(plane, HttpResponse::GatewayTimeout()),
    }
}

fn parse_job(plane: &DataPlane, request: &HttpRequest, access: &Access, body: &[u8]) -> Result<Job, String> {
    let submitted: SubmittedJob = serde_json::from_slice(body).map_err(|reason| reason.to_string())?;
    let items = submitted.requests.into_iter().map(parse_item).collect::<Result<Vec<Item>, String>>()?;
    let job = Job {
        id: header_text(request, &REQUEST_ID).unwrap_or("").to_owned(),
        tenant: tenant_name(plane, request, access),
        route: access.route.name.clone(),
        host: frontend::host(request).to_owned(),
        received_ms: wall_clock().as_millis() as u64,
        generation: plane.tier_state.generation(),
        limits: item_limits(&access.route),
        items,
    };
    job.validate(&access.route.path_prefix).map_err(|reason| reason.to_string())?;
    Ok(Job { id: stored_id(&job.tenant, &job.id), ..job })
}

/// Returns the id under which the stores hold a batch job. Clients choose the ids of their jobs; two tenants may choose the same.
fn stored_id(tenant: &str, id: &str) -> String {
    let tenant = tenant.replace('%', "%25").replace('/', "%2F");
    format!("{tenant}/{id}")
}

/// Returns the limits that a batch route sets for its items.
fn item_limits(route: &Route) -> ItemLimits {
    ItemLimits { retention_ms: route.retention_ms(), retries: route.max_failures() }
}

fn parse_item(item: SubmittedItem) -> Result<Item, String> {
    let body = BASE64_STANDARD.decode(&item.body);
    let body = body.map_err(|reason| format!("item {:?}: its body is no base64: {reason}", item.id))?;
    Ok(Item {
        id: item.id,
        path: item.path,
        headers: item.headers.into_iter().collect(),
        body,
        tokens: item.tokens,
    })
}

/// Returns the name of the tenant that owns a submitted batch job. Also on a public route this is the tenant whose key the
/// client sent; it is empty if the client sent no valid key.
fn tenant_name(plane: &DataPlane, request: &HttpRequest, access: &Access) -> String {
    match &access.tenant {
        Some(tenant) => tenant.name.clone(),
        None => authenticate(plane, request).unwrap_or_default(),
    }
}

fn group_of(tenant: &str) -> GroupNumber {
    GroupNumber::of(stable_hash(tenant))
}

/// The outcome of a request to the stores.
#[derive(Debug)]
enum StoreOutcome {
    Replied(StoreReply),
    /// No call had a reply that decides. What is known of them is recorded.
    Undecided,
}

/// Sends a request to the store that `store` selects from the newest view. After a failure it is sent again, to the store
/// selected then, until `deadline`. `call_timeout` limits each call. Each call is recorded in `calls`.
async fn call_store(
    plane: &DataPlane,
    store: impl Fn(&StoreView, GroupNumber) -> Option<&Store>,
    group: GroupNumber,
    request: impl Fn(&StoreView) -> StoreRequest,
    call_timeout: Duration,
    deadline: Instant,
    calls: &mut AttemptLog,
) -> StoreOutcome {
    loop {
        let view = plane.tier_state.store_view();
        if let Some(store) = store(&view, group) {
            let time_left = deadline.saturating_duration_since(Instant::now()).min(call_timeout);
            let call = plane.caller.call(store.member.peer, Request::Store(request(&view)), time_left);
            let reply = call.await;
            record_call(calls, store, &reply);
            match reply {
                Ok(Reply::Store(
                    StoreReply::NotAccepted | StoreReply::Undetermined | StoreReply::OutcomeUnknown,
                )) => {}
                Ok(Reply::Store(reply)) => return StoreOutcome::Replied(reply),
                Ok(_) | Err(_) => {}
            }
        }
        if Instant::now() + RETRY_INTERVAL >= deadline {
            return StoreOutcome::Undecided;
        }
        sleep(RETRY_INTERVAL).await;
    }
}

/// Records a call to a store with what its reply, or the lack of one, says.
fn record_call(calls: &mut AttemptLog, store: &Store, reply: &Result<Reply, CallError>) {
    let target = &store.member.identity.node;
    match reply {
        Ok(Reply::Store(reply)) => calls.record(target, Conclusion::from(reply), <&str>::from(reply)),
        Ok(_) => calls.record(target, Conclusion::NotExecuted, "the process does not serve this request"),
        Err(error) => calls.record(target, Conclusion::from(error), error),
    }
}

/// Returns the name of the tenant whose key a request carries; empty if the configuration has no tenants. Errs before the
/// first configuration, or if the key is unknown.
fn authenticate(plane: &DataPlane, request: &HttpRequest) -> Result<String, Denial> {
    let table = plane.tier_state.routing_table().ok_or(Denial::NoRoute)?;
    table.batch_owner(frontend::host(request), frontend::authorization(request))
}

/// The tenant that a request comes from and the group that holds its batch jobs.
struct Owner {
    tenant: String,
    group: GroupNumber,
}

/// Why a call about a batch job is refused.
enum Refusal {
    /// It arrived too late during a stop.
    Stopping,
    /// It does not come from a known client.
    Denied(Denial),
}

fn owner(plane: &DataPlane, request: &HttpRequest) -> Result<Owner, Refusal> {
    if plane.refuses_new_requests() {
        return Err(Refusal::Stopping);
    }
    let tenant = authenticate(plane, request).map_err(Refusal::Denied)?;
    Ok(Owner { group: group_of(&tenant), tenant })
}

fn refusal_response(plane: &DataPlane, refusal: Refusal) -> HttpResponse {
    match refusal {
        Refusal::Stopping => frontend::refuse_while_stopping(plane),
        // A configuration with routes for this host may not have arrived yet.
        Refusal::Denied(Denial::NoRoute) => {
            refuse_unsent(plane, StatusCode::SERVICE_UNAVAILABLE, RETRY_AFTER_S)
        }
        Refusal::Denied(Denial::UnknownKey) => empty_response(plane, HttpResponse::Unauthorized()),
    }
}

/// Query parameters of a request for results.
#[derive(Deserialize)]
pub struct ResultsQuery {
    /// How many results to skip.
    #[serde(default)]
    start_after: u32,
}

/// Handles a long poll for a batch job's results.
pub async fn read_results(
    request: HttpRequest,
    job: web::Path<String>,
    query: web::Query<ResultsQuery>,
    plane: Data<Rc<DataPlane>>,
) -> HttpResponse {
    let plane = plane.get_ref().clone();
    let Owner { tenant, group } = match owner(&plane, &request) {
        Ok(owner) => owner,
        Err(refusal) => return refusal_response(&plane, refusal),
    };
    let wait = header_text(&request, &POLL_WAIT).and_then(|value| value.parse().ok());
    let longest_wait = plane.time_for_new_request().saturating_sub(READ_MARGIN).min(MAX_POLL_WAIT);
    let wait = wait.map_or(Duration::ZERO, Duration::from_millis).min(longest_wait);
    let deadline = Instant::now() + wait + READ_MARGIN;
    let store_request = |view: &StoreView| StoreRequest::ReadResults {
        epoch: view.epoch,
        group,
        job: stored_id(&tenant, &job),
        tenant: tenant.clone(),
        start_after: query.start_after,
        wait_ms: wait.as_millis() as u64,
    };
    let mut calls = AttemptLog::default();
    match call_store(&plane, StoreView::tail, group, store_request, wait + READ_MARGIN, deadline, &mut calls)
        .await
    {
        StoreOutcome::Replied(StoreReply::Page(page)) => page_response(&plane, page),
        StoreOutcome::Replied(StoreReply::NotFound) => empty_response(&plane, HttpResponse::NotFound()),
        StoreOutcome::Replied(StoreReply::GivenUp) => given_up_response(&plane),
        _ => refuse_read(&plane),
    }
}

/// Refuses a read that no store answers for certain.
fn refuse_read(plane: &DataPlane) -> HttpResponse {
    refuse(plane, Unexecuted::read_only(), StatusCode::SERVICE_UNAVAILABLE, RETRY_AFTER_S)
}

/// Builds the response about a batch job that was given up by an operator after more stores were lost than the deployment
/// tolerates.
fn given_up_response(plane: &DataPlane) -> HttpResponse {
    let mut response = HttpResponse::Gone();
    frontend::close_if_stopping(plane, &mut response);
    response.json(serde_json::json!({ "error": "given_up", "reason": GIVEN_UP }))
}

fn page_response(plane: &DataPlane, page: Page) -> HttpResponse {
    let to_json = |(id, result): &(String, fennelgauge_batch::ItemResult)| {
        let state = match result.outcome {
            ItemOutcome::Succeeded => "succeeded",
            ItemOutcome::DeadLettered => "dead_lettered",
        };
        serde_json::json!({ "id": id, "state": state, "text": result.text })
    };
    let results: Vec<serde_json::Value> = page.results.iter().map(to_json).collect();
    let mut response = HttpResponse::Ok();
    frontend::close_if_stopping(plane, &mut response);
    response.json(serde_json::json!({ "total": page.total_items, "next_token": page.next_position, "results": results }))
}

/// Query parameters of a request for an item's body.
#[derive(Deserialize)]
pub struct ItemBodyQuery {
    /// Id of the item.
    id: String,
}

/// Handles a request for the body of an item that has no result yet.
pub async fn read_item_body(
    request: HttpRequest,
    job: web::Path<String>,
    query: web::Query<ItemBodyQuery>,
    plane: Data<Rc<DataPlane>>,
) -> HttpResponse {
    let plane = plane.get_ref().clone();
    let Owner { tenant, group } = match owner(&plane, &request) {
        Ok(owner) => owner,
        Err(refusal) => return refusal_response(&plane, refusal),
    };
    let store_request = |view: &StoreView| StoreRequest::ReadItemBody {
        epoch: view.epoch,
        group,
        job: stored_id(&tenant, &job),
        tenant: tenant.clone(),
        item: query.id.clone(),
    };
    match call_store(
        &plane,
        StoreView::tail,
        group,
        store_request,
        CALL_TIMEOUT,
        Instant::now() + RETRY_DURATION,
        &mut AttemptLog::default(),
    )
    .await
    {
        StoreOutcome::Replied(StoreReply::Body(body)) => {
            HttpResponse::Ok().content_type("application/octet-stream").body(body.into_vec())
        }
        StoreOutcome::Replied(StoreReply::NotFound) => empty_response(&plane, HttpResponse::NotFound()),
        StoreOutcome::Replied(StoreReply::GivenUp) => given_up_response(&plane),
        _ => refuse_read(&plane),
    }
}

/// Handles the cancellation of a batch job.
pub async fn cancel(
    request: HttpRequest,
    job: web::Path<String>,
    plane: Data<Rc<DataPlane>>,
) -> HttpResponse {
    let plane = plane.get_ref().clone();
    let Owner { tenant, group } = match owner(&plane, &request) {
        Ok(owner) => owner,
        Err(refusal) => return refusal_response(&plane, refusal),
    };
    let store_request = |view: &StoreView| StoreRequest::Cancel {
        epoch: view.epoch,
        group,
        job: stored_id(&tenant, &job),
        tenant: tenant.clone(),
    };
    match call_store(
        &plane,
        StoreView::head,
        group,
        store_request,
        CALL_TIMEOUT,
        Instant::now() + RETRY_DURATION,
        &mut AttemptLog::default(),
    )
    .await
    {
        StoreOutcome::Replied(StoreReply::Accepted) => empty_response(&plane, HttpResponse::Ok()),
        StoreOutcome::Replied(StoreReply::NotFound) => empty_response(&plane, HttpResponse::NotFound()),
        StoreOutcome::Replied(StoreReply::GivenUp) => given_up_response(&plane),
        _ => empty_response(&plane, HttpResponse::GatewayTimeout()),
    }
}

#[cfg(test)]
mod tests;
