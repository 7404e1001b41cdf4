//! Submissions of batch jobs: the head of the tenant's group accepts them.

use std::rc::Rc;

use actix_web::http::StatusCode;
use actix_web::web::Bytes;
use actix_web::{HttpRequest, HttpResponse};
use base64::prelude::{Engine, BASE64_STANDARD};
use fennelgauge_batch::{Item, ItemLimits, Job};
use fennelgauge_coordination::StoreView;
use fennelgauge_model::{Access, Route};
use fennelgauge_upstream::{wall_clock, REQUEST_ID};
use fennelgauge_wire::{StoreReply, StoreRequest};
use serde::Deserialize;
use tokio::time::Instant;

use super::store_calls::{call_store, StoreAnswer, StoreOutcome};
use super::{authenticate, given_up_response, group_of, CALL_TIMEOUT, RETRY_AFTER_S, RETRY_DURATION};
use crate::frontend::{self, empty_response, header_text, refuse};
use crate::process::DataPlane;

/// `Retry-After` in responses to batch jobs beyond the tenant's quota.
const QUOTA_RETRY_AFTER_S: f64 = 1.0;

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
    let StoreAnswer { outcome, calls } =
        call_store(plane, StoreView::head, group, store_request, CALL_TIMEOUT, deadline).await;
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
pub(super) fn stored_id(tenant: &str, id: &str) -> String {
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

#[cfg(test)]
mod tests;
