//! A stand-in for a model server: it answers each request with a stream of events. Parts of the request's path change that:
//!
//! - `/break/` cuts the stream off after two events, unless the request resumes a stream,
//! - `/poison/` is answered with 422: the request can never succeed,
//! - `/fail/` is answered with 500,
//! - `/slow/` sends events at an interval,
//! - `/silent/` is not answered at all,
//! - `/dark/` sends nothing more after two events, as a server does that goes dark amid its response,
//! - `/large/` pads each event to [`LARGE_EVENT_BYTES`],
//! - `/run/` makes the events' text differ between runs of the same request.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_web::http::header::HeaderMap;
use actix_web::http::StatusCode;
use actix_web::web::{self, Bytes, Data};
use actix_web::{App, HttpRequest, HttpResponse};
use fennelgauge_http::{serve_http, HttpTimeouts, OpenConnections};
use futures_util::stream;
use tokio::net::TcpListener;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Number of events in a complete response.
pub const EVENTS_PER_RESPONSE: u64 = 5;
/// Number of events after which a stream on `/break/` is cut off, and one on `/dark/` falls silent.
const EVENTS_BEFORE_BREAK: u64 = 2;
/// Pause before the end of a stream, so that the bytes written before are received even if it is cut off.
const END_DELAY: Duration = Duration::from_millis(30);
/// Size of the data of an event on `/large/`, in bytes.
pub const LARGE_EVENT_BYTES: usize = 256 << 10;
/// Interval of events on `/slow/`.
const SLOW_EVENT_INTERVAL: Duration = Duration::from_millis(60);

/// Is notified of each run of a request at a server.
pub trait Observer {
    /// A run started. `after` is the event that it resumes after, or 0 if it starts from the beginning.
    fn run_started(&self, id: &str, after: u64);

    /// A run sent all its events. `events` is the data of the events after `after`.
    fn run_completed(&self, id: &str, after: u64, events: &[String]);

    /// A run is answered with 500.
    fn run_failed(&self, _id: &str) {}

    /// A run is answered with 422.
    fn run_rejected(&self, _id: &str) {}

    /// A run that sends events is over: it has sent all of them, or its connection is closed.
    fn run_ended(&self, _id: &str) {}
}

/// Notifies the observer of the end of a run when it is dropped.
struct RunGuard {
    id: String,
    observer: Option<Rc<dyn Observer>>,
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        if let Some(observer) = &self.observer {
            observer.run_ended(&self.id);
        }
    }
}

/// A running server's state, shared with the test.
#[derive(Default)]
pub struct ModelServer {
    /// Its id in the platform's instance list.
    pub id: String,
    /// The runs so far: request id, tenant, and the event that the run resumes after (0 if none).
    pub runs: RefCell<Vec<(String, String, u64)>>,
    /// Whether any request carried an API key; the tier must not pass keys on.
    pub received_api_key: RefCell<bool>,
    /// Notified of runs, if set.
    pub observer: RefCell<Option<Rc<dyn Observer>>>,
}

/// Starts a server on a free loopback port. Returns its address and its state.
pub async fn start_model_server(id: &str) -> anyhow::Result<(SocketAddr, Rc<ModelServer>)> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let server = Rc::new(ModelServer { id: id.to_owned(), ..ModelServer::default() });
    let app = App::new().app_data(Data::new(server.clone())).default_service(web::to(handle_request));
    spawn_local(serve_http(listener, app, HttpTimeouts::default(), OpenConnections::default()));
    Ok((address, server))
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or("")
}

async fn handle_request(request: HttpRequest, _body: Bytes, server: Data<Rc<ModelServer>>) -> HttpResponse {
    let headers = request.headers();
    let id = header_text(headers, "x-fennelgauge-request-id").to_owned();
    let target = header_text(headers, "x-fennelgauge-target-instance");
    if !target.is_empty() && target != server.id {
        return HttpResponse::build(StatusCode::MISDIRECTED_REQUEST).finish();
    }
    if headers.contains_key("authorization") {
        *server.received_api_key.borrow_mut() = true;
    }
    let after: u64 = header_text(headers, "last-event-id").parse().unwrap_or(0);
    let tenant = header_text(headers, "x-fennelgauge-tenant").to_owned();
    server.runs.borrow_mut().push((id.clone(), tenant, after));
    let run_number = server.runs.borrow().len();
    let observer = server.observer.borrow().clone();
    if let Some(observer) = &observer {
        observer.run_started(&id, after);
    }
    let mut response = HttpResponse::Ok();
    response.insert_header(("X-Fennelgauge-Request-Id", id.clone()));
    response.insert_header(("X-Fennelgauge-Response-Signature", format!("signed-{}", server.id)));
    let path = request.path();
    if path.contains("/poison/") {
        if let Some(observer) = &observer {
            observer.run_rejected(&id);
        }
        return response.status(StatusCode::UNPROCESSABLE_ENTITY).finish();
    }
    if path.contains("/fail/") {
        if let Some(observer) = &observer {
            observer.run_failed(&id);
        }
        return response.status(StatusCode::INTERNAL_SERVER_ERROR).finish();
    }
    let breaks = path.contains("/break/") && after == 0;
    let last = if breaks { EVENTS_BEFORE_BREAK } else { EVENTS_PER_RESPONSE };
    let pause = if path.contains("/slow/") { SLOW_EVENT_INTERVAL } else { Duration::ZERO };
    let run_suffix =
        if path.contains("/run/") { format!(" run {}.{run_number}", server.id) } else { String::new() };
    let padded_bytes = if path.contains("/large/") { LARGE_EVENT_BYTES } else { 0 };
    let event_data = |event| {
        let text = format!("{id} {event}{run_suffix}");
        let padding = ".".repeat(padded_bytes.saturating_sub(text.len()));
        text + &padding
    };
    let data: Rc<Vec<String>> = Rc::new((after + 1..=EVENTS_PER_RESPONSE).map(event_data).collect());
    let goes_dark = path.contains("/dark/");
    let run = RunGuard { id: id.clone(), observer: observer.clone() };
    if path.contains("/silent/") {
        return std::future::pending().await;
    }
    let events = stream::unfold((after + 1, run), move |(event, run)| {
        let (id, data, observer) = (id.clone(), data.clone(), observer.clone());
        async move {
            if goes_dark && event > EVENTS_BEFORE_BREAK {
                std::future::pending::<()>().await;
            }
            if event > last {
                sleep(END_DELAY).await;
                if let Some(observer) = observer.filter(|_| !breaks) {
                    observer.run_completed(&id, after, &data);
                }
                return (breaks && event == last + 1)
                    .then(|| (Err(std::io::Error::other("stream cut off")), (u64::MAX, run)));
            }
            sleep(pause).await;
            let text = data.get((event - after - 1) as usize)?;
            let bytes = Bytes::from(format!("id: {event}\ndata: {text}\n\n"));
            Some((Ok(bytes), (event + 1, run)))
        }
    });
    response.content_type("text/event-stream").streaming(Box::pin(events))
}
