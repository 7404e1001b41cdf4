//! A live request: tried at servers until one answers, its answer passed on as it comes.

use std::rc::Rc;
use std::time::Duration;

use actix_web::body::SizedStream;
use actix_web::error::ErrorBadGateway;
use actix_web::http::header::{self, HeaderName, HeaderValue};
use actix_web::http::StatusCode;
use actix_web::web::Bytes;
use actix_web::{HttpRequest, HttpResponse};
use fennelgauge_model::{stable_fraction, Access, RouteKind};
use fennelgauge_upstream::{
    is_hop_by_hop, Answer, Demand, Outgoing, SendError, Ticket, DEADLINE, PREFIX_HASH, PRIORITY, REQUEST_ID,
    TARGET_INSTANCE, TENANT,
};
use futures_util::stream::{self, Stream};
use tokio::time::{sleep, Instant};

use crate::front::{close_if_stopping, finished, header_text, refused, Open};
use crate::process::Plane;
use crate::resumed;
use crate::timeliness::Watched;

/// Servers that may refuse one try, one after the other.
const MOST_REFUSALS: u32 = 4;
/// With no server to be had, a request waits so long before it looks again.
const LOOK_AGAIN: Duration = Duration::from_millis(40);
/// Where the client names no deadline.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);
const RETRY_AFTER_S: f64 = 0.15;
/// A server may be silent for so long, and for so many times a route's objective.
const LEAST_PATIENCE: Duration = Duration::from_millis(700);
const PATIENCE_PER_TARGET: u32 = 3;
/// The least urgent rank that a request can have.
const LOWEST_PRIORITY: u8 = 9;

/// One request through all its attempts.
pub(crate) struct Attempts {
    pub plane: Rc<Plane>,
    pub access: Access,
    pub service: String,
    pub outgoing: Outgoing,
    pub until: Instant,
    demand: Demand,
    tried: Vec<String>,
    /// Servers that may have run it.
    pub runs: u32,
    pub watched: Watched,
}

/// An answer with the place at its server.
pub(crate) struct Accepted {
    pub answer: Answer,
    pub ticket: Ticket,
}

/// Why there is no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Failure {
    /// No server has run it or will.
    NotRun,
    /// A server may have run it.
    MayHaveRun,
    TimeUp,
}

/// Answers one request.
pub async fn answer(
    plane: Rc<Plane>,
    open: Open,
    request: &HttpRequest,
    access: Access,
    body: Bytes,
) -> HttpResponse {
    let Some(mut attempts) = Attempts::new(plane.clone(), request, access, body) else {
        return finished(&plane, HttpResponse::BadRequest());
    };
    let attempted = attempts.next(None).await;
    match attempted {
        Ok(_) => attempts.watched.piece(),
        Err(_) => attempts.watched.fail(),
    }
    match attempted {
        Ok(accepted) => {
            if let (Some(tenant), true) = (&attempts.access.tenant, accepted.answer.status().is_success()) {
                plane.usage.borrow_mut().count(&tenant.name);
            }
            pass_on(attempts, open, accepted)
        }
        Err(Failure::NotRun) => refused(&plane, StatusCode::SERVICE_UNAVAILABLE, RETRY_AFTER_S),
        Err(Failure::MayHaveRun) => finished(&plane, HttpResponse::BadGateway()),
        Err(Failure::TimeUp) => finished(&plane, HttpResponse::GatewayTimeout()),
    }
}

impl Attempts {
    fn new(plane: Rc<Plane>, request: &HttpRequest, access: Access, body: Bytes) -> Option<Self> {
        let id = header_text(request, &REQUEST_ID)?.to_owned();
        let deadline = header_text(request, &DEADLINE).and_then(|value| value.parse().ok());
        let deadline = deadline.map_or(DEFAULT_DEADLINE, Duration::from_millis);
        let held = Duration::from_millis(access.route.timeout_ms);
        let service = access.route.pick_service(stable_fraction(&id)).to_owned();
        let outgoing = Outgoing {
            method: request.method().clone(),
            path_and_query: request.uri().path_and_query().map_or("/", |path| path.as_str()).to_owned(),
            host: crate::front::host(request).to_owned(),
            headers: headers_for_server(request, &access),
            id,
            body,
        };
        Some(Self {
            watched: Watched::new(plane.clone(), &service, &access.route),
            service,
            demand: Demand::of_prefix(header_text(request, &PREFIX_HASH)),
            until: Instant::now() + deadline.min(held),
            tried: Vec::new(),
            runs: 0,
            outgoing,
            access,
            plane,
        })
    }

    /// Tries servers until one answers. `last_event` continues a stream after that event.
    pub(crate) async fn next(&mut self, last_event: Option<u64>) -> Result<Accepted, Failure> {
        let mut refusals = 0;
        let mut outgoing = self.outgoing.clone();
        if let Some(last_event) = last_event {
            outgoing.headers.push((fennelgauge_upstream::LAST_EVENT_ID, HeaderValue::from(last_event)));
        }
        loop {
            let left = self.until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err(if self.runs > 0 { Failure::TimeUp } else { Failure::NotRun });
            }
            let Some(ticket) = self.plane.pool.choose(&self.service, &self.tried, &self.demand) else {
                if self.tried.is_empty() && left > LOOK_AGAIN {
                    sleep(LOOK_AGAIN).await;
                    continue;
                }
                return Err(self.given_up());
            };
            self.tried.push(ticket.server.id.clone());
            let within =
                if self.leaves_silence_after(self.runs + 1) { left.min(self.patience()) } else { left };
            let sent = self.plane.sender.send(&ticket.server, &outgoing, left, within).await;
            let error = match sent {
                Ok(answer) => {
                    self.plane.pool.learn(&ticket, &answer);
                    self.runs += 1;
                    return Ok(Accepted { answer, ticket });
                }
                Err(error) => error,
            };
            self.plane.pool.learn_failure(&ticket.server, &error);
            match error {
                SendError::NotSent | SendError::NotExecuted(_) => refusals += 1,
                SendError::MayHaveRun | SendError::TimeUp => self.runs += 1,
            }
            let runs_left = self.access.route.is_retry_safe() && self.runs < self.most_runs();
            if self.runs > 0 && !runs_left {
                return Err(self.given_up());
            }
            if refusals > MOST_REFUSALS {
                return Err(self.given_up());
            }
        }
    }

    pub(crate) fn most_runs(&self) -> u32 {
        self.access.route.retries.max(1)
    }

    /// Whether a server's silence is left for another one, which may run the request after `runs` others.
    pub(crate) fn leaves_silence_after(&self, runs: u32) -> bool {
        let leaves = self.plane.settings.policy.leave_silent_servers;
        leaves && self.access.route.is_retry_safe() && runs < self.most_runs()
    }

    /// After a silence of this length a request that may be repeated goes to another server.
    pub(crate) fn patience(&self) -> Duration {
        LEAST_PATIENCE.max(Duration::from_millis(self.access.route.target_ms) * PATIENCE_PER_TARGET)
    }

    fn given_up(&self) -> Failure {
        match self.runs {
            0 => Failure::NotRun,
            _ if Instant::now() >= self.until => Failure::TimeUp,
            _ => Failure::MayHaveRun,
        }
    }
}

/// What the server gets of the client's headers, with the tenant and the rank.
fn headers_for_server(request: &HttpRequest, access: &Access) -> Vec<(HeaderName, HeaderValue)> {
    let set_here =
        [header::HOST, header::AUTHORIZATION, REQUEST_ID, DEADLINE, TARGET_INSTANCE, TENANT, PRIORITY];
    let passed = request
        .headers()
        .iter()
        .filter(|(name, _)| !is_hop_by_hop(name) && !set_here.contains(name))
        .map(|(name, value)| (name.clone(), value.clone()));
    let mut headers: Vec<(HeaderName, HeaderValue)> = passed.collect();
    if let Some(tenant) = access.tenant.as_ref().and_then(|tenant| HeaderValue::from_str(&tenant.name).ok()) {
        headers.push((TENANT, tenant));
    }
    let priority = access.priority().min(LOWEST_PRIORITY);
    headers.push((PRIORITY, HeaderValue::from(u64::from(priority))));
    headers
}

/// Passes an answer on as it comes.
fn pass_on(attempts: Attempts, open: Open, accepted: Accepted) -> HttpResponse {
    let answer = &accepted.answer;
    let mut response = HttpResponse::build(answer.status());
    let own = answer.headers().iter().filter(|(name, _)| !is_hop_by_hop(name));
    for (name, value) in own {
        response.append_header((name.clone(), value.clone()));
    }
    close_if_stopping(&attempts.plane, &mut response);
    let length = answer.headers().get(header::CONTENT_LENGTH);
    let length: Option<u64> = length.and_then(|value| value.to_str().ok()?.parse().ok());
    let resumable = attempts.access.route.kind == RouteKind::Streaming
        && attempts.access.route.resumable
        && answer.status().is_success();
    match length {
        _ if resumable => response.streaming(resumed::stream(attempts, open, accepted)),
        Some(length) => response.body(SizedStream::new(length, plain(attempts, open, accepted))),
        None => response.streaming(plain(attempts, open, accepted)),
    }
}

/// The bytes as they come; a break is passed on as a break.
fn plain(
    attempts: Attempts,
    open: Open,
    accepted: Accepted,
) -> impl Stream<Item = Result<Bytes, actix_web::Error>> {
    let Accepted { answer, ticket } = accepted;
    let parts = Box::new((answer, attempts.watched, ticket, open));
    stream::unfold(Some(parts), |parts| async move {
        let mut parts = parts?;
        match parts.0.next().await? {
            Ok(bytes) => {
                parts.1.piece();
                Some((Ok(bytes), Some(parts)))
            }
            Err(broken) => Some((Err(ErrorBadGateway(broken)), None)),
        }
    })
}
