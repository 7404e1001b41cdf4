//! The operator's HTTP API: configuration, retirement of stores, and groups of batch jobs. Any core member serves it and
//! passes a request on to the head, or to the tail for reads of the configuration.

mod groups;

use std::rc::Rc;
use std::time::Duration;

use actix_web::http::StatusCode;
use actix_web::web::{self, Bytes, Data};
use actix_web::{HttpRequest, HttpResponse};
use fennelgauge_coordination::Member;
use fennelgauge_wire::{
    ChangeKind, ChangeReply, ConfigurationBytes, ConfigurationChange, CoreReply, CoreRequest, Reply, Request,
    RetireReply,
};

use crate::core::Core;

/// Timeout of a request to the head of the core.
const HEAD_REQUEST_TIMEOUT: Duration = Duration::from_millis(2_600);
/// Timeout of a read from the tail of the core.
const TAIL_READ_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Largest request body that the API accepts, in bytes.
pub const MAX_REQUEST_BYTES: usize = 16 << 20;

/// State of the API's handlers.
pub struct Operator {
    /// The core member that serves the API.
    pub core: Rc<Core>,
}

/// Adds the API's routes.
pub fn routes(service: &mut web::ServiceConfig) {
    service
        .route("/-/Config.Put", web::post().to(put))
        .route("/-/Config.Patch", web::post().to(patch))
        .route("/-/Config.Get", web::get().to(get))
        .route("/-/Retire.Start/{node}", web::post().to(retire_start))
        .route("/-/Retire.Get/{node}", web::get().to(retire_get))
        .route("/-/Group.Get/{group}", web::get().to(groups::get))
        .route("/-/Group.GiveUp/{group}", web::post().to(groups::give_up));
}

async fn put(request: HttpRequest, body: Bytes, operator: Data<Operator>) -> HttpResponse {
    operator.change_configuration(ChangeKind::Put, &request, body).await
}

async fn patch(request: HttpRequest, body: Bytes, operator: Data<Operator>) -> HttpResponse {
    operator.change_configuration(ChangeKind::Patch, &request, body).await
}

async fn get(operator: Data<Operator>) -> HttpResponse {
    let tail = |view: &fennelgauge_coordination::View| view.tail().cloned();
    match operator.ask(tail, CoreRequest::ReadConfiguration, TAIL_READ_TIMEOUT).await {
        Some(CoreReply::Configuration(Some(ConfigurationBytes(json)))) => {
            HttpResponse::Ok().content_type("application/json").body(json)
        }
        _ => error_response(StatusCode::SERVICE_UNAVAILABLE, "no majority of the core answers: ask again"),
    }
}

async fn retire_start(node: web::Path<String>, operator: Data<Operator>) -> HttpResponse {
    operator.retire(CoreRequest::RetireStart { node: node.into_inner() }, true).await
}

async fn retire_get(node: web::Path<String>, operator: Data<Operator>) -> HttpResponse {
    operator.retire(CoreRequest::RetireStatus { node: node.into_inner() }, false).await
}

impl Operator {
    /// Applies a configuration change to the generation named by the request's base-version header.
    async fn change_configuration(
        &self,
        kind: ChangeKind,
        request: &HttpRequest,
        body: Bytes,
    ) -> HttpResponse {
        let base = request.headers().get(fennelgauge_upstream::BASE_VERSION);
        let base = base.and_then(|value| value.to_str().ok()?.trim().parse().ok());
        let Some(base) = base else {
            return error_response(StatusCode::BAD_REQUEST, "X-Fennelgauge-Base-Version must be a number");
        };
        if let Err(reason) = serde_json::from_slice::<serde::de::IgnoredAny>(&body) {
            return error_response(StatusCode::BAD_REQUEST, &format!("the body is no whole JSON: {reason}"));
        }
        let order = ConfigurationChange { kind, base_generation: base, body: body.to_vec() };
        let head = |view: &fennelgauge_coordination::View| view.head().cloned();
        match self.ask(head, CoreRequest::ChangeConfiguration(order), HEAD_REQUEST_TIMEOUT).await {
            Some(CoreReply::ChangeConfiguration(reply)) => change_response(reply),
            _ => error_response(
                StatusCode::GATEWAY_TIMEOUT,
                "the order may have been taken: send it again unchanged",
            ),
        }
    }

    /// Starts a retirement or reads its progress; `starts` says which of the two.
    async fn retire(&self, request: CoreRequest, starts: bool) -> HttpResponse {
        let head = |view: &fennelgauge_coordination::View| view.head().cloned();
        let reply = match self.ask(head, request, HEAD_REQUEST_TIMEOUT).await {
            Some(CoreReply::Retire(reply)) => reply,
            _ => RetireReply::Unavailable,
        };
        match reply {
            RetireReply::Running if starts => HttpResponse::Ok().finish(),
            RetireReply::Running => state_response("running"),
            RetireReply::Succeeded => state_response("succeeded"),
            RetireReply::UnknownNode => error_response(StatusCode::NOT_FOUND, "no store has that name"),
            RetireReply::TooFewStores => {
                error_response(StatusCode::CONFLICT, "too few stores would be left: add one first")
            }
            RetireReply::Unavailable => {
                error_response(StatusCode::SERVICE_UNAVAILABLE, "the core cannot say: ask again")
            }
        }
    }

    /// Sends a request to the member that `member` picks from the newest view known here. Returns `None` if there is no
    /// such member or it does not answer in time.
    async fn ask(
        &self,
        member: impl Fn(&fennelgauge_coordination::View) -> Option<Member>,
        request: CoreRequest,
        timeout: Duration,
    ) -> Option<CoreReply> {
        let known = self.core.known.core_view();
        let view = match known {
            Some(view) if view.epoch >= self.core.epoch() => (*view).clone(),
            _ => self.core.view(),
        };
        let member = member(&view).filter(|_| view.epoch > 0)?;
        if member.identity == self.core.me.identity {
            return tokio::time::timeout(timeout, self.core.answer(request)).await.ok();
        }
        match self.core.caller.call(member.peer, Request::Core(request), timeout).await {
            Ok(Reply::Core(reply)) => Some(reply),
            _ => None,
        }
    }
}

/// Returns the response to a configuration change.
fn change_response(reply: ChangeReply) -> HttpResponse {
    match reply {
        ChangeReply::Acknowledged => HttpResponse::Ok().finish(),
        ChangeReply::Conflict { current_generation: current } => {
            let reason = format!("version {current} is current: build on it");
            error_response(StatusCode::PRECONDITION_FAILED, &reason)
        }
        ChangeReply::Invalid(reason) => error_response(StatusCode::BAD_REQUEST, &reason),
        ChangeReply::Unavailable => {
            error_response(StatusCode::SERVICE_UNAVAILABLE, "not taken: send it again")
        }
        ChangeReply::OutcomeUnknown => error_response(
            StatusCode::GATEWAY_TIMEOUT,
            "the order may have been taken: send it again unchanged",
        ),
    }
}

/// Returns a response that names the state of a retirement.
fn state_response(state: &str) -> HttpResponse {
    HttpResponse::Ok().json(serde_json::json!({ "state": state }))
}

fn error_response(status: StatusCode, reason: &str) -> HttpResponse {
    HttpResponse::build(status).json(serde_json::json!({ "error": reason }))
}
