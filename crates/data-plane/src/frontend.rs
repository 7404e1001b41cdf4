//! The HTTP interface for clients: determines route and tenant of each request and passes it to the live or the batch path.

use std::rc::Rc;

use actix_web::http::header::{self, HeaderValue};
use actix_web::http::{Method, StatusCode};
use actix_web::web::{self, Bytes, Data};
use actix_web::{HttpRequest, HttpResponse, HttpResponseBuilder};
use fennelgauge_model::{Denial, RouteKind};

use crate::process::DataPlane;
use crate::{batch, live};

/// Largest request body that is read at all, in bytes; the configuration may set a lower limit.
pub const MAX_BODY_BYTES: usize = 64 << 20;

/// `Retry-After` in responses before the first configuration has arrived.
const NOT_READY_RETRY_AFTER_S: f64 = 0.3;

/// `Retry-After` in responses of a process that is about to stop: another one accepts the request at once.
const STOPPING_RETRY_AFTER_S: f64 = 0.01;

/// Registers all paths for clients.
pub fn routes(service: &mut web::ServiceConfig) {
    service
        .route("/-/lots/{job}", web::get().to(batch::read_results))
        .route("/-/lots/{job}", web::delete().to(batch::cancel))
        .route("/-/items/{job}", web::get().to(batch::read_item_body))
        .default_service(web::to(handle_request));
}

async fn handle_request(request: HttpRequest, body: Bytes, plane: Data<Rc<DataPlane>>) -> HttpResponse {
    let plane: Rc<DataPlane> = plane.get_ref().clone();
    if plane.refuses_new_requests() {
        return refuse_unexecuted(&plane, StatusCode::SERVICE_UNAVAILABLE, STOPPING_RETRY_AFTER_S);
    }
    let Some(table) = plane.tier_state.routing_table() else {
        return refuse_unexecuted(&plane, StatusCode::SERVICE_UNAVAILABLE, NOT_READY_RETRY_AFTER_S);
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
        _ => live::answer(plane, &request, access, body).await,
    }
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

/// Refuses a request that was certainly not executed, with a `Retry-After` of `retry_after_s` seconds.
pub fn refuse_unexecuted(plane: &DataPlane, status: StatusCode, retry_after_s: f64) -> HttpResponse {
    let mut response = HttpResponse::build(status);
    response.insert_header((header::RETRY_AFTER, format!("{retry_after_s:.3}")));
    empty_response(plane, response)
}

/// Closes the connection after this response if the process is stopping.
pub fn close_if_stopping(plane: &DataPlane, response: &mut HttpResponseBuilder) {
    if plane.is_stopping() {
        response.force_close();
        response.insert_header((header::CONNECTION, HeaderValue::from_static("close")));
    }
}
