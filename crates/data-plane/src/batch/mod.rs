//! Batch jobs: each request is passed to the store that is the head or the tail of the tenant's group.

mod store_calls;
mod submission;

use std::rc::Rc;
use std::time::Duration;

use actix_web::http::StatusCode;
use actix_web::web::{self, Data};
use actix_web::{HttpRequest, HttpResponse};
use fennelgauge_batch::{ItemOutcome, Page};
use fennelgauge_coordination::{GroupNumber, StoreView};
use fennelgauge_model::{stable_hash, Denial};
use fennelgauge_upstream::POLL_WAIT;
use fennelgauge_wire::{StoreReply, StoreRequest};
use serde::Deserialize;
use tokio::time::Instant;

pub use submission::submit;

use self::store_calls::{call_store, StoreOutcome};
use self::submission::stored_id;
use crate::attempt_log::Unexecuted;
use crate::frontend::{self, empty_response, header_text, refuse, refuse_unsent};
use crate::process::DataPlane;

/// `Retry-After` in responses to requests that no store executed.
const RETRY_AFTER_S: f64 = 0.2;
/// How long a request is retried at stores before the client is told to try another data plane or that the outcome is
/// unknown.
const RETRY_DURATION: Duration = Duration::from_millis(2_500);
/// Longest wait for a store's reply, except to a read that may be held.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Time for reading results in addition to the poll's waiting time.
const READ_MARGIN: Duration = Duration::from_millis(1_100);
const MAX_POLL_WAIT: Duration = Duration::from_secs(10);
/// Reason in responses about a batch job that was given up.
const GIVEN_UP: &str = "all stores that held this tenant's batch jobs were lost and the jobs were given up, this one with them if it \
     was accepted: submit it again under another id";

fn group_of(tenant: &str) -> GroupNumber {
    GroupNumber::of(stable_hash(tenant))
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
    let answer =
        call_store(&plane, StoreView::tail, group, store_request, wait + READ_MARGIN, deadline).await;
    match answer.outcome {
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
    )
    .await
    .outcome
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
    )
    .await
    .outcome
    {
        StoreOutcome::Replied(StoreReply::Accepted) => empty_response(&plane, HttpResponse::Ok()),
        StoreOutcome::Replied(StoreReply::NotFound) => empty_response(&plane, HttpResponse::NotFound()),
        StoreOutcome::Replied(StoreReply::GivenUp) => given_up_response(&plane),
        _ => empty_response(&plane, HttpResponse::GatewayTimeout()),
    }
}
