//! A stand-in for a model server, on its own sockets: it answers each request with a stream of events. Parts of the request's path
//! change that:
//!
//! - `/break/` cuts the stream off after two events, unless the request resumes a stream,
//! - `/poison/` is answered with 422: the request can never succeed,
//! - `/fail/` is answered with 500,
//! - `/slow/` sends events at an interval,
//! - `/silent/` is not answered at all,
//! - `/dark/` sends nothing more after two events, as a server does that goes dark amid its response,
//! - `/large/` pads each event to [`LARGE_EVENT_BYTES`],
//! - `/run/` makes the events' text differ between runs of the same request,
//! - `/body/` is answered with one body of a known length that holds all events.
//!
//! How often it refuses requests, closes connections, sends more than it was asked for and so on, is its [`Conduct`].

mod admission;
mod conduct;
mod connection;
mod request;
mod response;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::sleep;

pub use conduct::{Conduct, ConductCounts};
pub use response::{EVENTS_PER_RESPONSE, LARGE_EVENT_BYTES};

use admission::Admission;

/// How often a frozen server looks whether it is woken.
const WAKE_POLL_INTERVAL: Duration = Duration::from_millis(5);

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

    /// The server breaks its answer to a run off.
    fn run_broken_off(&self, _id: &str) {}

    /// A run is over: it has sent all its events, or its connection is closed. `sent` is the data of the events after `after` that
    /// were sent.
    fn run_ended(&self, _id: &str, _after: u64, _sent: &[String]) {}
}

/// A running server's state, shared with the test.
#[derive(Default)]
pub struct ModelServer {
    /// Its id in the platform's instance list.
    id: RefCell<String>,
    /// The runs so far: request id, tenant, and the event that the run resumes after (0 if none).
    pub runs: RefCell<Vec<(String, String, u64)>>,
    /// Whether any request carried an API key; the tier must not pass keys on.
    pub received_api_key: RefCell<bool>,
    /// Notified of runs, if set.
    pub observer: RefCell<Option<Rc<dyn Observer>>>,
    /// How it behaves.
    pub conduct: Cell<Conduct>,
    /// How often it behaved so.
    pub counts: Cell<ConductCounts>,
    /// While set, it neither reads nor writes; its sockets go on receiving.
    pub frozen: Cell<bool>,
    admission: Admission,
    open_connections: Cell<usize>,
    /// Counts the incarnations; the connections of an earlier one are closed.
    incarnation: watch::Sender<u64>,
}

impl ModelServer {
    /// Returns its id in the platform's instance list.
    pub fn id(&self) -> String {
        self.id.borrow().clone()
    }

    /// Ends this incarnation, with all its connections and requests, and begins another one with a new id at the same address.
    pub fn replace(&self, id: &str) {
        *self.id.borrow_mut() = id.to_owned();
        self.incarnation.send_modify(|incarnation| *incarnation += 1);
    }

    /// Waits until it is not frozen.
    async fn awake(&self) {
        while self.frozen.get() {
            sleep(WAKE_POLL_INTERVAL).await;
        }
    }

    fn count(&self, change: impl FnOnce(&mut ConductCounts)) {
        let mut counts = self.counts.get();
        change(&mut counts);
        self.counts.set(counts);
    }

    fn observer(&self) -> Option<Rc<dyn Observer>> {
        self.observer.borrow().clone()
    }
}

/// Starts a server on a free loopback port. Returns its address and its state.
///
/// # Errors
/// If no port can be bound.
pub async fn start_model_server(id: &str) -> anyhow::Result<(SocketAddr, Rc<ModelServer>)> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let server = Rc::new(ModelServer { id: RefCell::new(id.to_owned()), ..ModelServer::default() });
    spawn_local(accept(listener, server.clone()));
    Ok((address, server))
}

async fn accept(listener: TcpListener, server: Rc<ModelServer>) {
    while let Ok((stream, _)) = listener.accept().await {
        server.awake().await;
        if server.open_connections.get() >= server.conduct.get().max_connections {
            server.count(|counts| counts.connections_reset += 1);
            let _ = stream.set_zero_linger();
            continue;
        }
        spawn_local(connection::serve(stream, server.clone()));
    }
}
