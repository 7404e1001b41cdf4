//! A model server: answers each request with a stream of events. Paths tell what goes wrong: `/break/` ends the stream
//! after two events unless it continues one, `/poison/` can never be done, `/fail/` fails. With `/slow/` events come apart; with
//! `/run/` no two runs of one request give the same text.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_web::http::header::HeaderMap;
use actix_web::http::StatusCode;
use actix_web::web::{self, Bytes, Data};
use actix_web::{App, HttpRequest, HttpResponse};
use fennelgauge_http::{serve_http, HttpTimeouts};
use futures_util::stream;
use tokio::net::TcpListener;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Events of a whole answer.
pub const EVENTS_PER_RESPONSE: u64 = 5;
/// Events before a stream on `/break/` ends.
const EVENTS_BEFORE_BREAK: u64 = 2;
const BREAK_AFTER: Duration = Duration::from_millis(30);

const SLOW_EVENT: Duration = Duration::from_millis(60);

/// Told of each run as it happens.
pub trait Observer {
    /// A request begins to run, after an event that it continues from (0: from the start).
    fn run_started(&self, id: &str, after: u64);

    /// A run has given all its events: their data, from the one after which it continued.
    fn run_completed(&self, id: &str, after: u64, events: &[String]);
}

/// What a server has seen.
#[derive(Default)]
pub struct ModelServer {
    pub id: String,
    /// Of each request that ran: its id, its tenant and the event it continues from.
    pub runs: RefCell<Vec<(String, String, u64)>>,
    /// Whether a key was passed on to it.
    pub received_api_key: RefCell<bool>,
    pub observer: RefCell<Option<Rc<dyn Observer>>>,
}

/// Starts a server; gives its address.
pub async fn start_model_server(id: &str) -> anyhow::Result<(SocketAddr, Rc<ModelServer>)> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let server = Rc::new(ModelServer { id: id.to_owned(), ..ModelServer::default() });
    let app = App::new().app_data(Data::new(server.clone())).default_service(web::to(answer));
    spawn_local(serve_http(listener, app, HttpTimeouts::default()));
    Ok((address, server))
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or("")
}

async fn answer(request: HttpRequest, _body: Bytes, server: Data<Rc<ModelServer>>) -> HttpResponse {
    let headers = request.headers();
    let id = text(headers, "x-fennelgauge-request-id").to_owned();
    let target = text(headers, "x-fennelgauge-target-instance");
    if !target.is_empty() && target != server.id {
        return HttpResponse::build(StatusCode::MISDIRECTED_REQUEST).finish();
    }
    if headers.contains_key("authorization") {
        *server.received_api_key.borrow_mut() = true;
    }
    let after: u64 = text(headers, "last-event-id").parse().unwrap_or(0);
    let tenant = text(headers, "x-fennelgauge-tenant").to_owned();
    server.runs.borrow_mut().push((id.clone(), tenant, after));
    let run = server.runs.borrow().len();
    let observer = server.observer.borrow().clone();
    if let Some(observer) = &observer {
        observer.run_started(&id, after);
    }
    let mut answer = HttpResponse::Ok();
    answer.insert_header(("X-Fennelgauge-Request-Id", id.clone()));
    answer.insert_header(("X-Fennelgauge-Response-Signature", format!("signed-{}", server.id)));
    let path = request.path();
    if path.contains("/poison/") {
        return answer.status(StatusCode::UNPROCESSABLE_ENTITY).finish();
    }
    if path.contains("/fail/") {
        return answer.status(StatusCode::INTERNAL_SERVER_ERROR).finish();
    }
    let breaks = path.contains("/break/") && after == 0;
    let last = if breaks { EVENTS_BEFORE_BREAK } else { EVENTS_PER_RESPONSE };
    let pause = if path.contains("/slow/") { SLOW_EVENT } else { Duration::ZERO };
    let of_run = if path.contains("/run/") { format!(" run {}.{run}", server.id) } else { String::new() };
    let data: Vec<String> =
        (after + 1..=EVENTS_PER_RESPONSE).map(|event| format!("{id} {event}{of_run}")).collect();
    let events = stream::unfold(after + 1, move |event| {
        let (id, data, observer) = (id.clone(), data.clone(), observer.clone());
        async move {
            if event > last {
                // What was written before leaves before the break.
                sleep(BREAK_AFTER).await;
                if let Some(observer) = observer.filter(|_| !breaks) {
                    observer.run_completed(&id, after, &data);
                }
                return (breaks && event == last + 1)
                    .then(|| (Err(std::io::Error::other("breaks off")), u64::MAX));
            }
            sleep(pause).await;
            let text = data.get((event - after - 1) as usize)?;
            let bytes = Bytes::from(format!("id: {event}\ndata: {text}\n\n"));
            Some((Ok(bytes), event + 1))
        }
    });
    answer.content_type("text/event-stream").streaming(Box::pin(events))
}
