//! Live requests: each is sent to one server after the other until one responds; the response is streamed to the client.

use std::rc::Rc;
use std::time::Duration;

use actix_web::body::SizedStream;
use actix_web::http::header::{self, HeaderName, HeaderValue};
use actix_web::http::{Method, StatusCode};
use actix_web::web::Bytes;
use actix_web::{HttpRequest, HttpResponse};
use fennelgauge_model::{stable_fraction, Access, RouteKind};
use fennelgauge_upstream::{
    is_hop_by_hop, BodyEnd, InFlightGuard, OutgoingRequest, RequestProfile, SendError, UpstreamResponse,
    DEADLINE, PREFIX_HASH, PRIORITY, REQUEST_ID, RESPONSE_SIGNATURE, TARGET_INSTANCE, TENANT,
};
use tokio::time::{sleep, Instant};

use crate::attempt_log::{AttemptLog, Conclusion, Unexecuted};
use crate::forwarded_body;
use crate::frontend::{close_if_stopping, empty_response, header_text, refuse};
use crate::process::DataPlane;
use crate::resumable_stream;
use crate::timeliness::ResponseTimer;

/// How many servers may refuse a request, or be unreachable, in one search for a response before it fails.
const MAX_REFUSALS: u32 = 4;
/// Delay before a request that found no available server searches again.
const NO_SERVER_RETRY_DELAY: Duration = Duration::from_millis(40);
/// `Retry-After` in responses to requests that were not executed.
const RETRY_AFTER_S: f64 = 0.15;
/// A server that sends nothing is left for another one after this time, or after this multiple of the route's objective,
/// whichever is longer.
const MIN_IDLE_TIMEOUT: Duration = Duration::from_millis(700);
/// See [`MIN_IDLE_TIMEOUT`].
const IDLE_TIMEOUT_TARGET_MULTIPLE: u32 = 3;
/// Least urgent value of the `Priority` header.
const LOWEST_PRIORITY: u8 = 9;

/// A request with the state of all its attempts. An attempt that a server may have executed is a run.
pub(crate) struct Attempts {
    pub plane: Rc<DataPlane>,
    /// The request's route and tenant.
    pub access: Access,
    /// The service whose servers are tried.
    pub service: String,
    /// The request as it is sent to servers.
    pub outgoing: OutgoingRequest,
    /// When the client's deadline or the route's timeout ends, whichever is earlier.
    pub deadline: Instant,
    /// What the choice of a server depends on.
    profile: RequestProfile,
    /// Ids of the servers tried so far.
    tried: Vec<String>,
    /// What is known of each attempt.
    attempt_log: AttemptLog,
    /// Counts whether the response is late.
    pub timer: ResponseTimer,
}

/// A server's response while its body is being read.
pub(crate) struct ActiveResponse {
    pub response: UpstreamResponse,
    /// Counts the request as in flight at its server until dropped.
    pub in_flight: InFlightGuard,
}

/// Why a request has no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Failure {
    /// No server has executed the request or will.
    NotExecuted(Unexecuted),
    /// A server may have executed the request.
    MayHaveExecuted,
    /// The deadline passed, and a server may have executed the request.
    DeadlineExceeded,
}

/// Answers a request to a live route, which is held until `deadline` at most.
pub async fn answer(
    plane: Rc<DataPlane>,
    request: &HttpRequest,
    access: Access,
    body: Bytes,
    deadline: Instant,
) -> HttpResponse {
    let Some(mut attempts) = Attempts::new(plane.clone(), request, access, body, deadline) else {
        return empty_response(&plane, HttpResponse::BadRequest());
    };
    let result = attempts.next_response(None).await;
    attempts.log_result(&result);
    match result {
        Ok(_) => attempts.timer.record_data(),
        Err(_) => attempts.timer.record_failure(),
    }
    match result {
        Ok(active) => {
            if let (Some(tenant), true) = (&attempts.access.tenant, active.response.status().is_success()) {
                plane.usage.borrow_mut().count(&tenant.name);
            }
            forward(attempts, active)
        }
        Err(Failure::NotExecuted(proof)) => {
            refuse(&plane, proof, StatusCode::SERVICE_UNAVAILABLE, RETRY_AFTER_S)
        }
        Err(Failure::MayHaveExecuted) => empty_response(&plane, HttpResponse::BadGateway()),
        Err(Failure::DeadlineExceeded) => empty_response(&plane, HttpResponse::GatewayTimeout()),
    }
}

impl Attempts {
    /// Prepares a client's request; `None` if it has no request id.
    fn new(
        plane: Rc<DataPlane>,
        request: &HttpRequest,
        access: Access,
        body: Bytes,
        deadline: Instant,
    ) -> Option<Self> {
        let id = header_text(request, &REQUEST_ID)?.to_owned();
        let service = access.route.pick_service(stable_fraction(&id)).to_owned();
        let outgoing = OutgoingRequest {
            method: request.method().clone(),
            path_and_query: request.uri().path_and_query().map_or("/", |path| path.as_str()).to_owned(),
            host: crate::frontend::host(request).to_owned(),
            headers: headers_for_server(request, &access),
            id,
            body,
        };
        Some(Self {
            timer: ResponseTimer::new(plane.clone(), &service, &access.route),
            service,
            profile: RequestProfile::from_prefix_header(header_text(request, &PREFIX_HASH)),
            deadline,
            tried: Vec::new(),
            attempt_log: AttemptLog::default(),
            outgoing,
            access,
            plane,
        })
    }

    /// Tries servers until one responds. With `last_event`, the server is asked to continue the stream after that event.
    pub(crate) async fn next_response(&mut self, last_event: Option<u64>) -> Result<ActiveResponse, Failure> {
        let mut refusals = 0;
        let mut outgoing = self.outgoing.clone();
        if let Some(last_event) = last_event {
            outgoing.headers.push((fennelgauge_upstream::LAST_EVENT_ID, HeaderValue::from(last_event)));
        }
        loop {
            let time_left = self.deadline.saturating_duration_since(Instant::now());
            if time_left.is_zero() {
                return Err(self.failure());
            }
            let Some(in_flight) = self.plane.pool.choose(&self.service, &self.tried, &self.profile) else {
                if self.tried.is_empty() && time_left > NO_SERVER_RETRY_DELAY {
                    sleep(NO_SERVER_RETRY_DELAY).await;
                    continue;
                }
                return Err(self.failure());
            };
            self.tried.push(in_flight.server.id.clone());
            let response_timeout = if self.may_leave_idle_server(self.runs() + 1) {
                time_left.min(self.idle_timeout())
            } else {
                time_left
            };
            let sent =
                self.plane.sender.send(&in_flight.server, &outgoing, time_left, response_timeout).await;
            let error = match sent.and_then(require_signature) {
                Ok(response) => {
                    self.plane.pool.record_response(&in_flight, &response);
                    self.attempt_log.record(&in_flight.server.id, Conclusion::Executed, response.status());
                    return Ok(ActiveResponse { response, in_flight });
                }
                Err(error) => error,
            };
            self.plane.pool.record_send_error(&in_flight.server, &error);
            let conclusion = Conclusion::from(&error);
            self.attempt_log.record(&in_flight.server.id, conclusion, &error);
            if matches!(conclusion, Conclusion::NotSent | Conclusion::NotExecuted) {
                refusals += 1;
            }
            let may_run_again = self.access.route.is_retry_safe() && self.runs() < self.max_runs();
            if self.runs() > 0 && !may_run_again {
                return Err(self.failure());
            }
            if refusals > MAX_REFUSALS {
                return Err(self.failure());
            }
        }
    }

    /// Logs what the client is told if it is no success, with the attempts before that.
    fn log_result(&self, result: &Result<ActiveResponse, Failure>) {
        let (id, attempts) = (&self.outgoing.id, &self.attempt_log);
        match result {
            Ok(active) if active.response.status().is_success() => {}
            Ok(active) => {
                let (status, server) = (active.response.status(), &active.in_flight.server.id);
                log::info!("request {id}: the response {status} of server {server} is passed on; {attempts}");
            }
            Err(failure) => log::info!("request {id}: fails as {failure:?}; {attempts}"),
        }
    }

    /// Returns how many servers may have executed the request.
    pub(crate) fn runs(&self) -> u32 {
        self.attempt_log.possible_executions()
    }

    /// Returns how many servers may execute the request.
    pub(crate) fn max_runs(&self) -> u32 {
        self.access.route.retries.max(1)
    }

    /// Whether a server that sends nothing may be left for another one, given that `runs` servers may have executed the
    /// request by then.
    pub(crate) fn may_leave_idle_server(&self, runs: u32) -> bool {
        let enabled = self.plane.settings.policy.leave_silent_servers;
        enabled && self.access.route.is_retry_safe() && runs < self.max_runs()
    }

    /// Returns how long a server may send nothing before the request is sent to another one.
    pub(crate) fn idle_timeout(&self) -> Duration {
        MIN_IDLE_TIMEOUT
            .max(Duration::from_millis(self.access.route.target_ms) * IDLE_TIMEOUT_TARGET_MULTIPLE)
    }

    /// Returns whether the request's time is up.
    pub(crate) fn is_past_deadline(&self) -> bool {
        Instant::now() >= self.deadline
    }

    /// Records that a response is cut off because the request's time is up. Its server counts as failed if it has sent
    /// nothing since `last_data_at` and for so long that it would have been left where that is allowed.
    pub(crate) fn record_cut_off(&self, active: &ActiveResponse, last_data_at: Instant) {
        let server = &active.in_flight.server.id;
        let silence = last_data_at.elapsed();
        log::info!(
            "request {}: response cut off at the request's time limit, server {server} sent nothing for {silence:?}",
            self.outgoing.id
        );
        if silence >= self.idle_timeout() {
            self.plane.pool.record_failure(server);
        }
    }

    /// Returns the failure to report when no further server is tried.
    fn failure(&self) -> Failure {
        match self.attempt_log.prove_unexecuted() {
            Some(proof) => Failure::NotExecuted(proof),
            None if self.is_past_deadline() => Failure::DeadlineExceeded,
            None => Failure::MayHaveExecuted,
        }
    }
}

/// Rejects a success that the server has not signed: clients count none without the signature, and a head that has lost one field
/// may have lost others.
fn require_signature(response: UpstreamResponse) -> Result<UpstreamResponse, SendError> {
    let is_signed = response.headers().contains_key(RESPONSE_SIGNATURE);
    match is_signed || !response.status().is_success() {
        true => Ok(response),
        false => Err(SendError::MayHaveExecuted),
    }
}

/// Returns the client's headers that are passed to the server, with the tenant and the priority added. Hop-by-hop headers,
/// the client's key and the headers that the data plane sets itself are left out.
fn headers_for_server(request: &HttpRequest, access: &Access) -> Vec<(HeaderName, HeaderValue)> {
    let replaced =
        [header::HOST, header::AUTHORIZATION, REQUEST_ID, DEADLINE, TARGET_INSTANCE, TENANT, PRIORITY];
    let forwarded = request
        .headers()
        .iter()
        .filter(|(name, _)| !is_hop_by_hop(name) && !replaced.contains(name))
        .map(|(name, value)| (name.clone(), value.clone()));
    let mut headers: Vec<(HeaderName, HeaderValue)> = forwarded.collect();
    if let Some(tenant) = access.tenant.as_ref().and_then(|tenant| HeaderValue::from_str(&tenant.name).ok()) {
        headers.push((TENANT, tenant));
    }
    let priority = access.priority().min(LOWEST_PRIORITY);
    headers.push((PRIORITY, HeaderValue::from(u64::from(priority))));
    headers
}

/// Streams a server's response to the client.
fn forward(attempts: Attempts, active: ActiveResponse) -> HttpResponse {
    let upstream = &active.response;
    let mut response = HttpResponse::build(upstream.status());
    let end_to_end = upstream.headers().iter().filter(|(name, _)| !is_hop_by_hop(name));
    for (name, value) in end_to_end {
        response.append_header((name.clone(), value.clone()));
    }
    close_if_stopping(&attempts.plane, &mut response);
    let resumable = attempts.access.route.kind == RouteKind::Streaming
        && attempts.access.route.resumable
        && upstream.status().is_success();
    match upstream.body_end() {
        BodyEnd::NoBody => {
            let length = declared_length(&attempts, upstream);
            response.body(SizedStream::new(length, forwarded_body::stream(attempts, active)))
        }
        _ if resumable => response.streaming(resumable_stream::stream(attempts, active)),
        BodyEnd::Length(length) => {
            response.body(SizedStream::new(length, forwarded_body::stream(attempts, active)))
        }
        BodyEnd::LastChunk | BodyEnd::ConnectionClose => {
            response.streaming(forwarded_body::stream(attempts, active))
        }
    }
}

/// Returns the length to declare in a response without a body: the server's if the client asked for the head only.
fn declared_length(attempts: &Attempts, upstream: &UpstreamResponse) -> u64 {
    if attempts.outgoing.method != Method::HEAD {
        return 0;
    }
    let length = upstream.headers().get(header::CONTENT_LENGTH);
    length.and_then(|value| value.to_str().ok()?.parse().ok()).unwrap_or(0)
}
