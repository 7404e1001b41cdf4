//! Batch calls: each goes to the store that answers for the tenant's group.

use std::rc::Rc;
use std::time::Duration;

use actix_web::http::StatusCode;
use actix_web::web::{self, Bytes, Data};
use actix_web::{HttpRequest, HttpResponse};
use base64::prelude::{Engine, BASE64_STANDARD};
use fennelgauge_batch::{Item, ItemOutcome, Job, Page};
use fennelgauge_coordination::{GroupNumber, Store, StoreView};
use fennelgauge_model::{stable_hash, Access, Denial};
use fennelgauge_upstream::{wall_clock, POLL_WAIT, REQUEST_ID};
use fennelgauge_wire::{CallError, Reply, Request, StoreReply, StoreRequest};
use serde::Deserialize;
use tokio::time::{sleep, Instant};

use crate::front::{self, finished, header_text, refused, Open};
use crate::process::Plane;

const RETRY_AFTER_S: f64 = 0.2;
const QUOTA_RETRY_AFTER_S: f64 = 1.0;
/// How long a batch job is offered to its store before the client is sent elsewhere.
const SUBMIT_FOR: Duration = Duration::from_millis(2_500);
const CALL_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Beyond the time that a read may be held.
const READ_MARGIN: Duration = Duration::from_millis(1_100);
const ASK_AGAIN: Duration = Duration::from_millis(60);
const LONGEST_POLL: Duration = Duration::from_secs(10);
const GIVEN_UP: &str = "all stores that held this tenant's batch jobs were lost and the jobs were given up, this one with them if it \
     was accepted: submit it again under another id";

#[derive(Deserialize)]
struct Submitted {
    requests: Vec<SubmittedItem>,
}

#[derive(Deserialize)]
struct SubmittedItem {
    id: String,
    path: String,
    #[serde(default)]
    headers: std::collections::BTreeMap<String, String>,
    #[serde(default)]
    body: String,
    tokens: u64,
}

/// Takes a batch job to its store.
pub async fn submit(plane: &Rc<Plane>, request: &HttpRequest, access: &Access, body: Bytes) -> HttpResponse {
    let job = match read_job(plane, request, access, &body) {
        Ok(job) => job,
        Err(reason) => return HttpResponse::BadRequest().json(serde_json::json!({ "error": reason })),
    };
    drop(body);
    let group = group_of(&job.tenant);
    let most_queued = access.route.max_queued;
    let ask = |view: &StoreView| StoreRequest::Submit {
        epoch: view.epoch,
        group,
        job: job.clone(),
        max_queued: most_queued,
    };
    let until = Instant::now() + SUBMIT_FOR;
    match ask_store(plane, StoreView::head, group, ask, CALL_TIMEOUT, until).await {
        Asked::Answered(StoreReply::Accepted) => finished(plane, HttpResponse::Accepted()),
        Asked::Answered(StoreReply::OverQuota) => {
            refused(plane, StatusCode::TOO_MANY_REQUESTS, QUOTA_RETRY_AFTER_S)
        }
        Asked::Answered(StoreReply::GivenUp) => given_up(plane),
        Asked::NotTaken => refused(plane, StatusCode::SERVICE_UNAVAILABLE, RETRY_AFTER_S),
        _ => finished(plane, HttpResponse::GatewayTimeout()),
    }
}

fn read_job(plane: &Plane, request: &HttpRequest, access: &Access, body: &[u8]) -> Result<Job, String> {
    let submitted: Submitted = serde_json::from_slice(body).map_err(|reason| reason.to_string())?;
    let items = submitted.requests.into_iter().map(read_item).collect::<Result<Vec<Item>, String>>()?;
    let job = Job {
        id: header_text(request, &REQUEST_ID).unwrap_or("").to_owned(),
        tenant: tenant_name(plane, request, access),
        route: access.route.name.clone(),
        host: front::host(request).to_owned(),
        received_ms: wall_clock().as_millis() as u64,
        items,
    };
    job.validate(&access.route.path_prefix).map_err(|reason| reason.to_string())?;
    Ok(job)
}

fn read_item(item: SubmittedItem) -> Result<Item, String> {
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

/// On a public route, too, a batch job belongs to the tenant whose key came with it.
fn tenant_name(plane: &Plane, request: &HttpRequest, access: &Access) -> String {
    match &access.tenant {
        Some(tenant) => tenant.name.clone(),
        None => caller_tenant(plane, request).unwrap_or_default(),
    }
}

fn group_of(tenant: &str) -> GroupNumber {
    GroupNumber::of(stable_hash(tenant))
}

/// What became of a call to a store.
enum Asked {
    Answered(StoreReply),
    /// No store has got it.
    NotTaken,
    /// A store may have got it.
    Unknown,
}

/// Asks the store that the newest view names, again after a failure, until the time is up.
async fn ask_store(
    plane: &Plane,
    store: impl Fn(&StoreView, GroupNumber) -> Option<&Store>,
    group: GroupNumber,
    request: impl Fn(&StoreView) -> StoreRequest,
    within: Duration,
    until: Instant,
) -> Asked {
    let mut arrived = false;
    loop {
        let view = plane.known.store_view();
        if let Some(store) = store(&view, group) {
            let left = until.saturating_duration_since(Instant::now()).min(within);
            let call = plane.caller.call(store.member.peer, Request::Store(request(&view)), left);
            match call.await {
                Ok(Reply::Store(StoreReply::NotAccepted | StoreReply::Undetermined))
                | Ok(Reply::Unsupported) => {}
                Ok(Reply::Store(StoreReply::OutcomeUnknown)) | Err(CallError::NoAnswer(_)) => arrived = true,
                Ok(Reply::Store(reply)) => return Asked::Answered(reply),
                Ok(_) | Err(CallError::NotSent(_)) => {}
            }
        }
        if Instant::now() + ASK_AGAIN >= until {
            return if arrived { Asked::Unknown } else { Asked::NotTaken };
        }
        sleep(ASK_AGAIN).await;
    }
}

/// The tenant of a call that names a batch job, by the host's batch routes and the key.
fn caller_tenant(plane: &Plane, request: &HttpRequest) -> Result<String, Denial> {
    let table = plane.known.routing_table().ok_or(Denial::NoRoute)?;
    table.routes_for_host(front::host(request)).ok_or(Denial::NoRoute)?;
    match table.tenant_from_authorization(front::authorization(request)) {
        Some(tenant) => Ok(tenant.name.clone()),
        None if table.configuration.tenants.is_none() => Ok(String::new()),
        None => Err(Denial::UnknownKey),
    }
}

/// Whose call it is, and where its batch jobs are.
struct Owner {
    tenant: String,
    group: GroupNumber,
}

fn caller(plane: &Plane, request: &HttpRequest) -> Result<Owner, Denial> {
    let tenant = caller_tenant(plane, request)?;
    Ok(Owner { group: group_of(&tenant), tenant })
}

fn denied(plane: &Plane, denial: Denial) -> HttpResponse {
    match denial {
        // A host without routes may be one whose configuration is still on its way.
        Denial::NoRoute => refused(plane, StatusCode::SERVICE_UNAVAILABLE, RETRY_AFTER_S),
        Denial::UnknownKey => finished(plane, HttpResponse::Unauthorized()),
    }
}

#[derive(Deserialize)]
pub struct ReadQuery {
    #[serde(default)]
    start_after: u32,
}

/// Results of a batch job.
pub async fn read(
    request: HttpRequest,
    job: web::Path<String>,
    query: web::Query<ReadQuery>,
    plane: Data<Rc<Plane>>,
) -> HttpResponse {
    let plane = plane.get_ref().clone();
    let _open = Open::new(&plane);
    let Owner { tenant, group } = match caller(&plane, &request) {
        Ok(owner) => owner,
        Err(denial) => return denied(&plane, denial),
    };
    let wait = header_text(&request, &POLL_WAIT).and_then(|value| value.parse().ok());
    let wait = wait.map_or(Duration::ZERO, Duration::from_millis).min(LONGEST_POLL);
    let until = Instant::now() + wait + READ_MARGIN;
    let ask = |view: &StoreView| StoreRequest::ReadResults {
        epoch: view.epoch,
        group,
        tenant: tenant.clone(),
        job: job.to_string(),
        start_after: query.start_after,
        wait_ms: wait.as_millis() as u64,
    };
    match ask_store(&plane, StoreView::tail, group, ask, wait + READ_MARGIN, until).await {
        Asked::Answered(StoreReply::Page(page)) => finished_page(&plane, page),
        Asked::Answered(StoreReply::NotFound) => finished(&plane, HttpResponse::NotFound()),
        Asked::Answered(StoreReply::GivenUp) => given_up(&plane),
        _ => refused(&plane, StatusCode::SERVICE_UNAVAILABLE, RETRY_AFTER_S),
    }
}

/// The answer for a batch job that an operator gave up, after the loss of more stores than are borne.
fn given_up(plane: &Plane) -> HttpResponse {
    let mut answer = HttpResponse::Gone();
    front::close_if_stopping(plane, &mut answer);
    answer.json(serde_json::json!({ "error": "given_up", "reason": GIVEN_UP }))
}

fn finished_page(plane: &Plane, page: Page) -> HttpResponse {
    let result = |(id, result): &(String, fennelgauge_batch::ItemResult)| {
        let state = match result.outcome {
            ItemOutcome::Succeeded => "succeeded",
            ItemOutcome::DeadLettered => "dead_lettered",
        };
        serde_json::json!({ "id": id, "state": state, "text": result.text })
    };
    let results: Vec<serde_json::Value> = page.results.iter().map(result).collect();
    let mut answer = HttpResponse::Ok();
    front::close_if_stopping(plane, &mut answer);
    answer.json(serde_json::json!({ "total": page.total_items, "next_token": page.next_position, "results": results }))
}

#[derive(Deserialize)]
pub struct BodyQuery {
    id: String,
}

/// The body of an item that has no result yet.
pub async fn body(
    request: HttpRequest,
    job: web::Path<String>,
    query: web::Query<BodyQuery>,
    plane: Data<Rc<Plane>>,
) -> HttpResponse {
    let plane = plane.get_ref().clone();
    let _open = Open::new(&plane);
    let Owner { tenant, group } = match caller(&plane, &request) {
        Ok(owner) => owner,
        Err(denial) => return denied(&plane, denial),
    };
    let ask = |view: &StoreView| StoreRequest::ReadItemBody {
        epoch: view.epoch,
        group,
        tenant: tenant.clone(),
        job: job.to_string(),
        item: query.id.clone(),
    };
    match ask_store(&plane, StoreView::tail, group, ask, CALL_TIMEOUT, Instant::now() + SUBMIT_FOR).await {
        Asked::Answered(StoreReply::Body(body)) => {
            HttpResponse::Ok().content_type("application/octet-stream").body(body.into_vec())
        }
        Asked::Answered(StoreReply::NotFound) => finished(&plane, HttpResponse::NotFound()),
        Asked::Answered(StoreReply::GivenUp) => given_up(&plane),
        _ => refused(&plane, StatusCode::SERVICE_UNAVAILABLE, RETRY_AFTER_S),
    }
}

/// Ends a batch job.
pub async fn end(request: HttpRequest, job: web::Path<String>, plane: Data<Rc<Plane>>) -> HttpResponse {
    let plane = plane.get_ref().clone();
    let _open = Open::new(&plane);
    let Owner { tenant, group } = match caller(&plane, &request) {
        Ok(owner) => owner,
        Err(denial) => return denied(&plane, denial),
    };
    let ask = |view: &StoreView| StoreRequest::Cancel {
        epoch: view.epoch,
        group,
        tenant: tenant.clone(),
        job: job.to_string(),
    };
    match ask_store(&plane, StoreView::head, group, ask, CALL_TIMEOUT, Instant::now() + SUBMIT_FOR).await {
        Asked::Answered(StoreReply::Accepted) => finished(&plane, HttpResponse::Ok()),
        Asked::Answered(StoreReply::NotFound) => finished(&plane, HttpResponse::NotFound()),
        Asked::Answered(StoreReply::GivenUp) => given_up(&plane),
        _ => finished(&plane, HttpResponse::GatewayTimeout()),
    }
}
