//! What clients speak: finds route and tenant of each request and hands it to the live or the batch path.

use std::rc::Rc;

use actix_web::http::header::{self, HeaderValue};
use actix_web::http::{Method, StatusCode};
use actix_web::web::{self, Bytes, Data};
use actix_web::{HttpRequest, HttpResponse, HttpResponseBuilder};
use fennelgauge_model::{Denial, RouteKind};

use crate::process::Plane;
use crate::{batch, live};

/// The largest body that is read at all, in bytes; a configuration may allow less.
pub const MAX_BODY_BYTES: usize = 64 << 20;

/// For clients that come before there is a configuration.
const NOT_READY_RETRY_AFTER_S: f64 = 0.3;

/// For clients on a connection to a process that is about to end: another one takes them at once.
const STOPPING_RETRY_AFTER_S: f64 = 0.01;

/// All paths.
pub fn routes(service: &mut web::ServiceConfig) {
    service
        .route("/-/lots/{job}", web::get().to(batch::read))
        .route("/-/lots/{job}", web::delete().to(batch::end))
        .route("/-/items/{job}", web::get().to(batch::body))
        .default_service(web::to(request));
}

/// A request being answered; counted until dropped.
pub struct Open(Rc<Plane>);

impl Open {
    pub fn new(plane: &Rc<Plane>) -> Self {
        plane.open.set(plane.open.get() + 1);
        Self(plane.clone())
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get().saturating_sub(1));
        self.0.last_ended.set(tokio::time::Instant::now());
    }
}

async fn request(request: HttpRequest, body: Bytes, plane: Data<Rc<Plane>>) -> HttpResponse {
    let plane: Rc<Plane> = plane.get_ref().clone();
    let open = Open::new(&plane);
    if plane.takes_no_more() {
        return refused(&plane, StatusCode::SERVICE_UNAVAILABLE, STOPPING_RETRY_AFTER_S);
    }
    let Some(table) = plane.known.table() else {
        return refused(&plane, StatusCode::SERVICE_UNAVAILABLE, NOT_READY_RETRY_AFTER_S);
    };
    let access = match table.authorize(host(&request), request.uri().path(), authorization(&request)) {
        Ok(access) => access,
        Err(denial) => return finished(&plane, denied(denial)),
    };
    if body.len() > table.configuration.limits.max_body_bytes {
        return finished(&plane, HttpResponse::build(StatusCode::PAYLOAD_TOO_LARGE));
    }
    match access.route.kind {
        RouteKind::Batch if request.method() == Method::POST => {
            batch::submit(&plane, &request, &access, body).await
        }
        RouteKind::Batch => finished(&plane, HttpResponse::build(StatusCode::METHOD_NOT_ALLOWED)),
        _ => live::answer(plane, open, &request, access, body).await,
    }
}

/// The host that the client named.
pub fn host(request: &HttpRequest) -> &str {
    header_text(request, &header::HOST).or_else(|| request.uri().host()).unwrap_or("")
}

/// The value of the client's `Authorization`.
pub fn authorization(request: &HttpRequest) -> Option<&str> {
    header_text(request, &header::AUTHORIZATION)
}

/// A header's value as text.
pub fn header_text<'a>(request: &'a HttpRequest, name: &header::HeaderName) -> Option<&'a str> {
    request.headers().get(name)?.to_str().ok()
}

fn denied(denial: Denial) -> HttpResponseBuilder {
    match denial {
        Denial::NoRoute => HttpResponse::NotFound(),
        Denial::UnknownKey => HttpResponse::Unauthorized(),
    }
}

/// An empty answer; the connection ends with it once a stop was asked for.
pub fn finished(plane: &Plane, mut answer: HttpResponseBuilder) -> HttpResponse {
    close_if_stopping(plane, &mut answer);
    answer.finish()
}

/// A refusal that promises that the request has not run, with the time to come back.
pub fn refused(plane: &Plane, status: StatusCode, retry_after_s: f64) -> HttpResponse {
    let mut answer = HttpResponse::build(status);
    answer.insert_header((header::RETRY_AFTER, format!("{retry_after_s:.3}")));
    finished(plane, answer)
}

/// Asks the client to leave the connection once a stop was asked for.
pub fn close_if_stopping(plane: &Plane, answer: &mut HttpResponseBuilder) {
    if plane.is_stopping() {
        answer.force_close();
        answer.insert_header((header::CONNECTION, HeaderValue::from_static("close")));
    }
}
