//! Tells the platform whether clients may come.

use std::rc::Rc;

use actix_web::web::{self, Data};
use actix_web::HttpResponse;

use crate::process::Plane;

/// `GET /-/ready`.
pub fn routes(service: &mut web::ServiceConfig) {
    service.route("/-/ready", web::get().to(ready));
}

async fn ready(plane: Data<Rc<Plane>>) -> HttpResponse {
    match plane.is_ready() {
        true => HttpResponse::Ok().finish(),
        false => HttpResponse::ServiceUnavailable().finish(),
    }
}
