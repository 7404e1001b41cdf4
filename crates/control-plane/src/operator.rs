//! The operator's API.

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

/// How long an order may be on its way within the core.
const ORDER_TIMEOUT: Duration = Duration::from_millis(2_600);
const READ_TIMEOUT: Duration = Duration::from_millis(1_200);
/// The largest body of an order, in bytes.
pub const MAX_ORDER_BYTES: usize = 16 << 20;

/// Whom the operator's calls reach.
pub struct Operator {
    pub core: Rc<Core>,
}

/// The routes of the API.
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
    operator.order(ChangeKind::Put, &request, body).await
}

async fn patch(request: HttpRequest, body: Bytes, operator: Data<Operator>) -> HttpResponse {
    operator.order(ChangeKind::Patch, &request, body).await
}

async fn get(operator: Data<Operator>) -> HttpResponse {
    let tail = |view: &fennelgauge_coordination::View| view.tail().cloned();
    match operator.ask(tail, CoreRequest::ReadConfiguration, READ_TIMEOUT).await {
        Some(CoreReply::Configuration(Some(ConfigurationBytes(json)))) => {
            HttpResponse::Ok().content_type("application/json").body(json)
        }
        _ => refusal(StatusCode::SERVICE_UNAVAILABLE, "no majority of the core answers: ask again"),
    }
}

async fn retire_start(node: web::Path<String>, operator: Data<Operator>) -> HttpResponse {
    operator.retire(CoreRequest::RetireStart { node: node.into_inner() }, true).await
}

async fn retire_get(node: web::Path<String>, operator: Data<Operator>) -> HttpResponse {
    operator.retire(CoreRequest::RetireStatus { node: node.into_inner() }, false).await
}

impl Operator {
    async fn order(&self, kind: ChangeKind, request: &HttpRequest, body: Bytes) -> HttpResponse {
        let base = request.headers().get(fennelgauge_upstream::BASE_VERSION);
        let base = base.and_then(|value| value.to_str().ok()?.trim().parse().ok());
        let Some(base) = base else {
            return refusal(StatusCode::BAD_REQUEST, "X-Fennelgauge-Base-Version must be a number");
        };
        if let Err(reason) = serde_json::from_slice::<serde::de::IgnoredAny>(&body) {
            return refusal(StatusCode::BAD_REQUEST, &format!("the body is no whole JSON: {reason}"));
        }
        let order = ConfigurationChange { kind, base_generation: base, body: body.to_vec() };
        let head = |view: &fennelgauge_coordination::View| view.head().cloned();
        match self.ask(head, CoreRequest::ChangeConfiguration(order), ORDER_TIMEOUT).await {
            Some(CoreReply::ChangeConfiguration(reply)) => answered(reply),
            _ => {
                refusal(StatusCode::GATEWAY_TIMEOUT, "the order may have been taken: send it again unchanged")
            }
        }
    }

    async fn retire(&self, request: CoreRequest, starts: bool) -> HttpResponse {
        let head = |view: &fennelgauge_coordination::View| view.head().cloned();
        let reply = match self.ask(head, request, ORDER_TIMEOUT).await {
            Some(CoreReply::Retire(reply)) => reply,
            _ => RetireReply::Unavailable,
        };
        match reply {
            RetireReply::Running if starts => HttpResponse::Ok().finish(),
            RetireReply::Running => state("running"),
            RetireReply::Succeeded => state("succeeded"),
            RetireReply::UnknownNode => refusal(StatusCode::NOT_FOUND, "no store has that name"),
            RetireReply::TooFewStores => {
                refusal(StatusCode::CONFLICT, "too few stores would be left: add one first")
            }
            RetireReply::Unavailable => {
                refusal(StatusCode::SERVICE_UNAVAILABLE, "the core cannot say: ask again")
            }
        }
    }

    /// Asks the member of the newest view known here.
    async fn ask(
        &self,
        member: impl Fn(&fennelgauge_coordination::View) -> Option<Member>,
        request: CoreRequest,
        within: Duration,
    ) -> Option<CoreReply> {
        let known = self.core.known.core_view();
        let view = match known {
            Some(view) if view.epoch >= self.core.epoch() => (*view).clone(),
            _ => self.core.view(),
        };
        let member = member(&view).filter(|_| view.epoch > 0)?;
        if member.identity == self.core.me.identity {
            return tokio::time::timeout(within, self.core.answer(request)).await.ok();
        }
        match self.core.caller.call(member.peer, Request::Core(request), within).await {
            Ok(Reply::Core(reply)) => Some(reply),
            _ => None,
        }
    }
}

fn answered(reply: ChangeReply) -> HttpResponse {
    match reply {
        ChangeReply::Acknowledged => HttpResponse::Ok().finish(),
        ChangeReply::Conflict { current_generation: current } => {
            let reason = format!("version {current} is current: build on it");
            refusal(StatusCode::PRECONDITION_FAILED, &reason)
        }
        ChangeReply::Invalid(reason) => refusal(StatusCode::BAD_REQUEST, &reason),
        ChangeReply::Unavailable => refusal(StatusCode::SERVICE_UNAVAILABLE, "not taken: send it again"),
        ChangeReply::OutcomeUnknown => {
            refusal(StatusCode::GATEWAY_TIMEOUT, "the order may have been taken: send it again unchanged")
        }
    }
}

fn state(state: &str) -> HttpResponse {
    HttpResponse::Ok().json(serde_json::json!({ "state": state }))
}

fn refusal(status: StatusCode, reason: &str) -> HttpResponse {
    HttpResponse::build(status).json(serde_json::json!({ "error": reason }))
}
