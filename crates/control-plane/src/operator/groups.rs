//! The part of the operator's API about groups of batch jobs: reading the state of a group, and giving it up.

use actix_web::http::StatusCode;
use actix_web::web::{self, Bytes, Data};
use actix_web::HttpResponse;
use fennelgauge_coordination::{
    GiveUpError, GiveUpRecord, GiveUpRequest, GroupNumber, HolderStatus, LastHolder, View,
};
use fennelgauge_wire::{CoreReply, CoreRequest, GiveUpReply, GroupStatus, GroupStatusReply};
use serde::{Deserialize, Serialize};

use super::{error_response, Operator, HEAD_REQUEST_TIMEOUT};

/// Body of a request to give up a group.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct GiveUpBody {
    /// Epoch of the store view that the operator saw.
    view: u64,
    /// The holders as the operator saw them.
    holders: Vec<LastHolder>,
    /// Whether to give up the group although its holders have not been silent for the usual time.
    #[serde(default)]
    force: bool,
}

/// Body of the response about a group.
#[derive(Serialize)]
struct GroupBody {
    /// Number of the group.
    group: u16,
    /// Epoch of the store view that this response describes.
    view: u64,
    /// Whether enough stores hold the group for it to accept changes and answer reads.
    open: bool,
    /// The stores that hold the group, or held it when they were heard last.
    holders: Vec<HolderBody>,
    /// Nodes in the chain that have not reported yet that they have everything.
    joining: Vec<String>,
    /// Node that copies the group before it joins the chain.
    learner: Option<String>,
    /// The times that the group was given up, oldest first.
    given_up: Vec<GivenUpBody>,
}

/// A store that holds the group.
#[derive(Serialize)]
struct HolderBody {
    node: String,
    /// Number of entries that it reported last; null if it never reported one.
    entries: Option<u64>,
    /// Whether the store is live.
    heard: bool,
    /// Time since the last heartbeat, in seconds; 0 while the store is live.
    silent_s: u64,
}

/// A record of the group having been given up.
#[derive(Serialize)]
struct GivenUpBody {
    /// Epoch of the store view that the operator saw.
    view: u64,
    /// Epoch of the store view in which the group started again, empty.
    begun_in: u64,
    /// The holders that the operator's order named.
    holders: Vec<LastHolder>,
    /// Whether the order was forced.
    forced: bool,
    /// Wall-clock time of the change, in milliseconds since the Unix epoch.
    at_ms: u64,
}

/// Handles `GET /-/Group.Get/GROUP`: returns the state of a group.
pub async fn get(group: web::Path<String>, operator: Data<Operator>) -> HttpResponse {
    let Some(group) = parse_group(&group) else { return unknown_group_response(&group) };
    let head = |view: &View| view.head().cloned();
    match operator.ask(head, CoreRequest::GroupStatus(group), HEAD_REQUEST_TIMEOUT).await {
        Some(CoreReply::GroupStatus(GroupStatusReply::Found(report))) => {
            HttpResponse::Ok().json(GroupBody::from(report))
        }
        Some(CoreReply::GroupStatus(GroupStatusReply::UnknownGroup)) => {
            error_response(StatusCode::NOT_FOUND, "no group was placed yet, or none has that number")
        }
        _ => error_response(StatusCode::SERVICE_UNAVAILABLE, "the core cannot say: ask again"),
    }
}

/// Handles `POST /-/Group.GiveUp/GROUP`: replaces a group whose holders are lost by an empty one.
pub async fn give_up(group: web::Path<String>, body: Bytes, operator: Data<Operator>) -> HttpResponse {
    let Some(group) = parse_group(&group) else { return unknown_group_response(&group) };
    let body: GiveUpBody = match serde_json::from_slice(&body) {
        Ok(body) => body,
        Err(reason) => {
            return error_response(StatusCode::BAD_REQUEST, &format!("the body is no such order: {reason}"))
        }
    };
    let order = GiveUpRequest { group, epoch: body.view, holders: body.holders, forced: body.force };
    let head = |view: &View| view.head().cloned();
    match operator.ask(head, CoreRequest::GiveUp(order), HEAD_REQUEST_TIMEOUT).await {
        Some(CoreReply::GiveUp(GiveUpReply::Done)) => HttpResponse::Ok().finish(),
        Some(CoreReply::GiveUp(GiveUpReply::Refused(reason))) => refused_response(&reason),
        Some(CoreReply::GiveUp(GiveUpReply::Unavailable)) => error_response(
            StatusCode::SERVICE_UNAVAILABLE,
            "not carried out: look at the group and send it again",
        ),
        _ => error_response(
            StatusCode::GATEWAY_TIMEOUT,
            "the order may have been carried out: send it again unchanged",
        ),
    }
}

fn parse_group(group: &str) -> Option<GroupNumber> {
    group.parse().ok().map(GroupNumber)
}

fn unknown_group_response(group: &str) -> HttpResponse {
    error_response(StatusCode::NOT_FOUND, &format!("{group:?} is no group: groups are numbered from 0"))
}

/// Returns the response to an order that the head refused.
fn refused_response(reason: &GiveUpError) -> HttpResponse {
    let status = match reason {
        GiveUpError::UnknownGroup(_) => StatusCode::NOT_FOUND,
        GiveUpError::StaleView { .. } => StatusCode::PRECONDITION_FAILED,
        _ => StatusCode::CONFLICT,
    };
    error_response(status, &reason.to_string())
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
