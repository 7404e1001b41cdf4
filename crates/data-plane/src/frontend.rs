//! The HTTP interface for clients: determines route and tenant of each request and passes it to the live or the batch path.

use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use actix_web::http::header::{self, HeaderValue};
use actix_web::http::{Method, StatusCode};
use actix_web::web::{self, Bytes, Data};
use actix_web::{HttpRequest, HttpResponse, HttpResponseBuilder};
use fennelgauge_http::limit_response;
use fennelgauge_model::{Denial, Route, RouteKind};
use fennelgauge_upstream::DEADLINE;
use futures_util::FutureExt;
use tokio::time::{timeout_at, Instant};

use crate::attempt_log::Unexecuted;
use crate::process::DataPlane;
use crate::{batch, live};

/// Largest request body that is read at all, in bytes; the configuration may set a lower limit.
pub const MAX_BODY_BYTES: usize = 64 << 20;

/// `Retry-After` in responses before the first configuration has arrived.
const NOT_READY_RETRY_AFTER_S: f64 = 0.3;

/// `Retry-After` in responses of a process that is about to stop: another one accepts the request at once.
const STOPPING_RETRY_AFTER_S: f64 = 0.01;

/// Deadline of requests whose client names none.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);

/// Longest time for receiving the body of a request without a known route.
const DEFAULT_UPLOAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Time after the end of a live request's time in which the last bytes of its response can still be written.
const RESPONSE_WRITE_MARGIN: Duration = Duration::from_millis(150);

/// Registers all paths for clients.
pub fn routes(service: &mut web::ServiceConfig) {
    service
        .route("/-/lots/{job}", web::get().to(batch::read_results))
        .route("/-/lots/{job}", web::delete().to(batch::cancel))
        .route("/-/items/{job}", web::get().to(batch::read_item_body))
        .default_service(web::to(handle_request));
}

async fn handle_request(
    request: HttpRequest,
    payload: web::Payload,
    plane: Data<Rc<DataPlane>>,
) -> HttpResponse {
    let plane: Rc<DataPlane> = plane.get_ref().clone();
    let received_at = Instant::now();
    let body = match receive_body(&plane, &request, payload, received_at).await {
        Ok(body) => body,
        Err(error) => return upload_error_response(&plane, error),
    };
    if plane.refuses_new_requests() {
        return refuse_while_stopping(&plane);
    }
    let Some(table) = plane.tier_state.routing_table() else {
        return refuse_unsent(&plane, StatusCode::SERVICE_UNAVAILABLE, NOT_READY_RETRY_AFTER_S);
    };
    let access = match table.authorize(host(&request), request.uri().path(), authorization(&request)) {
        Ok(access) => access,
        Err(denial) => return empty_response(&plane, denial_response(denial)),
    };
    if body.len() > table.configuration.limits.max_body_bytes {
        return empty_response(&plane, HttpResponse::build(StatusCode::PAYLOAD_TOO_LARGE));
    }
    match access.route.kind {
        RouteKind::Batch if request.method() == Method::POST => {
            batch::submit(&plane, &request, &access, body).await
        }
        RouteKind::Batch => empty_response(&plane, HttpResponse::build(StatusCode::METHOD_NOT_ALLOWED)),
        _ => {
            let deadline = received_at + time_limit(&request, &access.route);
            limit_response(&request, deadline + RESPONSE_WRITE_MARGIN);
            live::answer(plane, &request, access, body, deadline).await
        }
    }
}

/// Why the body of a request was not received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum UploadError {
    /// It did not arrive in the time that the request has.
    TimedOut,
    /// It is longer than any configuration allows.
    TooLarge,
    /// It is not well-formed, or the client broke it off.
    Broken,
}

/// Receives the body of a request, whose head arrived at `received_at`, in the time that the request has.
async fn receive_body(
    plane: &DataPlane,
    request: &HttpRequest,
    payload: web::Payload,
    received_at: Instant,
) -> Result<Bytes, UploadError> {
    let mut receiving = pin!(payload.to_bytes_limited(MAX_BODY_BYTES));
    let received = match receiving.as_mut().now_or_never() {
        Some(received) => received,
        None => {
            let deadline = received_at + upload_time_limit(plane, request);
            timeout_at(deadline, receiving).await.map_err(|_| UploadError::TimedOut)?
        }
    };
    received.map_err(|_| UploadError::TooLarge)?.map_err(|_| UploadError::Broken)
}

/// Returns for how long the body of a request is awaited.
fn upload_time_limit(plane: &DataPlane, request: &HttpRequest) -> Duration {
    let access = plane
        .tier_state
        .routing_table()
        .and_then(|table| table.authorize(host(request), request.uri().path(), authorization(request)).ok());
    access.map_or(DEFAULT_UPLOAD_TIMEOUT, |access| time_limit(request, &access.route))
}

fn upload_error_response(plane: &DataPlane, error: UploadError) -> HttpResponse {
    match error {
        UploadError::TimedOut => refuse_unsent(plane, StatusCode::REQUEST_TIMEOUT, 0.0),
        UploadError::TooLarge => empty_response(plane, HttpResponse::build(StatusCode::PAYLOAD_TOO_LARGE)),
        UploadError::Broken => empty_response(plane, HttpResponse::BadRequest()),
    }
}

/// Returns for how long a request may be held, from its head on: until the client's deadline, or as long as its route
/// allows.
fn time_limit(request: &HttpRequest, route: &Route) -> Duration {
    let deadline = header_text(request, &DEADLINE).and_then(|value| value.parse().ok());
    let deadline = deadline.map_or(DEFAULT_DEADLINE, Duration::from_millis);
    deadline.min(Duration::from_millis(route.timeout_ms))
}

/// Returns the host that the client named, in the `Host` header or the URI; empty if it named none.
pub fn host(request: &HttpRequest) -> &str {
    header_text(request, &header::HOST).or_else(|| request.uri().host()).unwrap_or("")
}

/// Returns the value of the client's `Authorization` header.
pub fn authorization(request: &HttpRequest) -> Option<&str> {
    header_text(request, &header::AUTHORIZATION)
}

/// Returns a header's value; `None` if it is absent or not visible ASCII.
pub fn header_text<'a>(request: &'a HttpRequest, name: &header::HeaderName) -> Option<&'a str> {
    request.headers().get(name)?.to_str().ok()
}

fn denial_response(denial: Denial) -> HttpResponseBuilder {
    match denial {
        Denial::NoRoute => HttpResponse::NotFound(),
        Denial::UnknownKey => HttpResponse::Unauthorized(),
    }
}

/// Finishes a response without a body. Closes the connection if the process is stopping.
pub fn empty_response(plane: &DataPlane, mut response: HttpResponseBuilder) -> HttpResponse {
    close_if_stopping(plane, &mut response);
    response.finish()
}

/// Refuses a request with a status by which the client may rely on it that the request is not executed, and a `Retry-After` of
/// `retry_after_s` seconds.
pub fn refuse(plane: &DataPlane, _proof: Unexecuted, status: StatusCode, retry_after_s: f64) -> HttpResponse {
    let mut response = HttpResponse::build(status);
    response.insert_header((header::RETRY_AFTER, format!("{retry_after_s:.3}")));
    empty_response(plane, response)
}

/// Refuses a request that was not sent to any server or store; see [`refuse`].
pub fn refuse_unsent(plane: &DataPlane, status: StatusCode, retry_after_s: f64) -> HttpResponse {
    refuse(plane, Unexecuted::before_any_attempt(), status, retry_after_s)
}

/// Refuses a request that arrived too late during a stop.
pub fn refuse_while_stopping(plane: &DataPlane) -> HttpResponse {
    refuse_unsent(plane, StatusCode::SERVICE_UNAVAILABLE, STOPPING_RETRY_AFTER_S)
}

/// Closes the connection after this response if the process is stopping.
pub fn close_if_stopping(plane: &DataPlane, response: &mut HttpResponseBuilder) {
    if plane.is_stopping() {
        response.force_close();
        response.insert_header((header::CONNECTION, HeaderValue::from_static("close")));
    }
}
