//! The platform: its list of servers, and the calls that fall to one holder.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_web::web::{self, Data, Json};
use actix_web::{App, HttpRequest, HttpResponse};
use fennelgauge_http::{serve_http, HttpTimeouts};
use serde_json::{json, Value};
use tokio::net::TcpListener;
use tokio::task::spawn_local;
use tokio::time::sleep;

const LOOK_AGAIN: Duration = Duration::from_millis(20);

/// What the platform lists and what it was told.
#[derive(Default)]
pub struct Platform {
    pub instances: RefCell<Vec<Value>>,
    /// Accepted usage reports: window, counts and fence.
    pub usage_reports: RefCell<Vec<(u64, Value, u64)>>,
    /// While it is silent, calls get no answer.
    pub unresponsive: Cell<bool>,
}

/// An entry of the list.
pub fn instance_entry(id: &str, service: &str, address: SocketAddr, zone: &str) -> Value {
    json!({
        "id": id, "backend": service, "addr": address.to_string(), "zone": zone, "generation": "v1",
        "slots": 16, "state": "ready", "cold_ms": 0,
    })
}

/// Answers on `listener` without end.
pub fn start_platform(listener: TcpListener, platform: Rc<Platform>) {
    let app = App::new()
        .app_data(Data::new(platform))
        .route("/instances", web::get().to(instances))
        .route("/usage", web::post().to(usage))
        .route("/scale", web::post().to(|| async { HttpResponse::Ok().finish() }));
    spawn_local(serve_http(listener, app, HttpTimeouts::default()));
}

async fn speaks(platform: &Platform) {
    while platform.unresponsive.get() {
        sleep(LOOK_AGAIN).await;
    }
}

async fn instances(platform: Data<Rc<Platform>>) -> HttpResponse {
    speaks(&platform).await;
    let servers = platform.instances.borrow().clone();
    HttpResponse::Ok().json(json!({ "instances": servers, "next_token": null }))
}

async fn usage(request: HttpRequest, report: Json<Value>, platform: Data<Rc<Platform>>) -> HttpResponse {
    speaks(&platform).await;
    let fence = request.headers().get("x-fennelgauge-fencing-token");
    let fence: u64 = fence.and_then(|value| value.to_str().ok()?.parse().ok()).unwrap_or(0);
    let mut accepted = platform.usage_reports.borrow_mut();
    if accepted.iter().any(|(_, _, earlier)| *earlier > fence) {
        return HttpResponse::Conflict().finish();
    }
    let window = report["window"].as_u64().unwrap_or(0);
    accepted.push((window, report["counts"].clone(), fence));
    HttpResponse::Ok().finish()
}
