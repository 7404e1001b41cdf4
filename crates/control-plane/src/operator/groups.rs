//! The operator's calls that concern a group of batch jobs: what is known of it, and giving it up.

use actix_web::http::StatusCode;
use actix_web::web::{self, Bytes, Data};
use actix_web::HttpResponse;
use fennelgauge_coordination::{
    GiveUpError, GiveUpRecord, GiveUpRequest, GroupNumber, HolderStatus, LastHolder, View,
};
use fennelgauge_wire::{CoreReply, CoreRequest, GiveUpReply, GroupStatus, GroupStatusReply};
use serde::{Deserialize, Serialize};

use super::{refusal, Operator, ORDER_TIMEOUT};

/// What an operator sends to give a group up.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct GiveUpBody {
    /// The stores' view at which he looked.
    view: u64,
    holders: Vec<LastHolder>,
    #[serde(default)]
    force: bool,
}

/// What an operator is told of a group.
#[derive(Serialize)]
struct GroupBody {
    group: u16,
    view: u64,
    open: bool,
    holders: Vec<HolderBody>,
    joining: Vec<String>,
    learner: Option<String>,
    given_up: Vec<GivenUpBody>,
}

#[derive(Serialize)]
struct HolderBody {
    node: String,
    entries: Option<u64>,
    heard: bool,
    /// 0 while it is heard.
    silent_s: u64,
}

#[derive(Serialize)]
struct GivenUpBody {
    view: u64,
    begun_in: u64,
    holders: Vec<LastHolder>,
    forced: bool,
    at_ms: u64,
}

/// `GET /-/Group.Get/GROUP`
pub async fn get(group: web::Path<String>, operator: Data<Operator>) -> HttpResponse {
    let Some(group) = number(&group) else { return unknown_group(&group) };
    let head = |view: &View| view.head().cloned();
    match operator.ask(head, CoreRequest::GroupStatus(group), ORDER_TIMEOUT).await {
        Some(CoreReply::GroupStatus(GroupStatusReply::Found(report))) => {
            HttpResponse::Ok().json(GroupBody::from(report))
        }
        Some(CoreReply::GroupStatus(GroupStatusReply::UnknownGroup)) => {
            refusal(StatusCode::NOT_FOUND, "no group was placed yet, or none has that number")
        }
        _ => refusal(StatusCode::SERVICE_UNAVAILABLE, "the core cannot say: ask again"),
    }
}

/// `POST /-/Group.GiveUp/GROUP`
pub async fn give_up(group: web::Path<String>, body: Bytes, operator: Data<Operator>) -> HttpResponse {
    let Some(group) = number(&group) else { return unknown_group(&group) };
    let body: GiveUpBody = match serde_json::from_slice(&body) {
        Ok(body) => body,
        Err(reason) => {
            return refusal(StatusCode::BAD_REQUEST, &format!("the body is no such order: {reason}"))
        }
    };
    let order = GiveUpRequest { group, epoch: body.view, holders: body.holders, forced: body.force };
    let head = |view: &View| view.head().cloned();
    match operator.ask(head, CoreRequest::GiveUp(order), ORDER_TIMEOUT).await {
        Some(CoreReply::GiveUp(GiveUpReply::Done)) => HttpResponse::Ok().finish(),
        Some(CoreReply::GiveUp(GiveUpReply::Refused(reason))) => refused(&reason),
        Some(CoreReply::GiveUp(GiveUpReply::Unavailable)) => {
            refusal(StatusCode::SERVICE_UNAVAILABLE, "not carried out: look at the group and send it again")
        }
        _ => refusal(
            StatusCode::GATEWAY_TIMEOUT,
            "the order may have been carried out: send it again unchanged",
        ),
    }
}

fn number(group: &str) -> Option<GroupNumber> {
    group.parse().ok().map(GroupNumber)
}

fn unknown_group(group: &str) -> HttpResponse {
    refusal(StatusCode::NOT_FOUND, &format!("{group:?} is no group: groups are numbered from 0"))
}

fn refused(reason: &GiveUpError) -> HttpResponse {
    let status = match reason {
        GiveUpError::UnknownGroup(_) => StatusCode::NOT_FOUND,
        GiveUpError::StaleView { .. } => StatusCode::PRECONDITION_FAILED,
        _ => StatusCode::CONFLICT,
    };
    refusal(status, &reason.to_string())
}

impl From<GroupStatus> for GroupBody {
    fn from(report: GroupStatus) -> Self {
        let holder = |HolderStatus { holder, silent_for }: HolderStatus| HolderBody {
            node: holder.node,
            entries: holder.entries,
            heard: silent_for.is_none(),
            silent_s: silent_for.map_or(0, |silent_for| silent_for.as_secs()),
        };
        let given_up = |GiveUpRecord { order, recreated_in_epoch: begun_in, at_ms }: GiveUpRecord| {
            GivenUpBody { view: order.epoch, begun_in, holders: order.holders, forced: order.forced, at_ms }
        };
        Self {
            group: report.group,
            view: report.view,
            open: report.is_open,
            holders: report.holders.into_iter().map(holder).collect(),
            joining: report.joining,
            learner: report.learner,
            given_up: report.given_up.into_iter().map(given_up).collect(),
        }
    }
}
