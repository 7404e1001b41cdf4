//! The readiness probe that the platform calls before it sends clients to this process.

use std::rc::Rc;

use actix_web::web::{self, Data};
use actix_web::HttpResponse;

use crate::process::DataPlane;

/// Registers `GET /-/ready`.
pub fn routes(service: &mut web::ServiceConfig) {
    service.route("/-/ready", web::get().to(ready));
}

async fn ready(plane: Data<Rc<DataPlane>>) -> HttpResponse {
    match plane.is_ready() {
        true => HttpResponse::Ok().finish(),
        false => HttpResponse::ServiceUnavailable().finish(),
    }
}
