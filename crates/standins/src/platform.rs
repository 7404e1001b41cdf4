//! A stand-in for the platform: it lists the instances of model servers and accepts usage reports and scaling orders.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_web::web::{self, Data, Json};
use actix_web::{App, HttpRequest, HttpResponse};
use fennelgauge_http::{serve_http, HttpTimeouts, OpenConnections};
use serde_json::{json, Value};
use tokio::net::TcpListener;
use tokio::task::spawn_local;
use tokio::time::sleep;

const UNRESPONSIVE_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The platform's state, shared with the test.
#[derive(Default)]
pub struct Platform {
    /// The instance list as it is served; see [`instance_entry`].
    pub instances: RefCell<Vec<Value>>,
    /// Accepted usage reports: window, counts by tenant, fencing token.
    pub usage_reports: RefCell<Vec<(u64, Value, u64)>>,
    /// While set, calls for instances and usage reports are held without a response.
    pub unresponsive: Cell<bool>,
}

/// Builds an entry of the instance list for a server that is ready.
pub fn instance_entry(id: &str, service: &str, address: SocketAddr, zone: &str) -> Value {
    json!({
        "id": id, "backend": service, "addr": address.to_string(), "zone": zone, "generation": "v1",
        "slots": 16, "state": "ready", "cold_ms": 0,
    })
}

/// Serves the platform's API on `listener` in the background.
pub fn start_platform(listener: TcpListener, platform: Rc<Platform>) {
    let app = App::new()
        .app_data(Data::new(platform))
        .route("/instances", web::get().to(list_instances))
        .route("/usage", web::post().to(accept_usage))
        .route("/scale", web::post().to(|| async { HttpResponse::Ok().finish() }));
    spawn_local(serve_http(listener, app, HttpTimeouts::default(), OpenConnections::default()));
}

async fn wait_until_responsive(platform: &Platform) {
    while platform.unresponsive.get() {
        sleep(UNRESPONSIVE_POLL_INTERVAL).await;
    }
}

async fn list_instances(platform: Data<Rc<Platform>>) -> HttpResponse {
    wait_until_responsive(&platform).await;
    let instances = platform.instances.borrow().clone();
    HttpResponse::Ok().json(json!({ "instances": instances, "next_token": null }))
}

/// Accepts a usage report, unless a report with a higher fencing token was accepted before.
async fn accept_usage(
    request: HttpRequest,
    report: Json<Value>,
    platform: Data<Rc<Platform>>,
) -> HttpResponse {
    wait_until_responsive(&platform).await;
    let token = request.headers().get("x-fennelgauge-fencing-token");
    let token: u64 = token.and_then(|value| value.to_str().ok()?.parse().ok()).unwrap_or(0);
    let mut accepted = platform.usage_reports.borrow_mut();
    if accepted.iter().any(|(_, _, earlier)| *earlier > token) {
        return HttpResponse::Conflict().finish();
    }
    let window = report["window"].as_u64().unwrap_or(0);
    accepted.push((window, report["counts"].clone(), token));
    HttpResponse::Ok().finish()
}
