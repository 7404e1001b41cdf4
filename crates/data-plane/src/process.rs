//! Runs a data plane: its parts, its sockets, its end.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use actix_web::web::{Data, PayloadConfig};
use actix_web::App;
use fennelgauge_http::{serve_http, wait_for_shutdown_signal, HttpTimeouts};
use fennelgauge_settings::Settings;
use fennelgauge_upstream::{
    exchange_server_stats, fetch_server_list, platform_client, probe_connections, subscribe, RequestSender,
    ServerListVersioner, ServerPool, Subscription, TierState,
};
use fennelgauge_wire::{serve, Caller, Reply, Request};
use tokio::net::TcpListener;
use tokio::task::spawn_local;
use tokio::time::{sleep, Instant};

use crate::timeliness::TimelinessCounts;
use crate::usage::{report_usage, UsageCounts};
use crate::{front, ready};

/// After a stop is asked for, new connections still come for so long.
const LAST_CONNECTIONS: Duration = Duration::from_millis(2_600);
/// A request that comes on a kept connection so long after a stop was asked for may not end in time: it is refused.
const LAST_REQUESTS: Duration = Duration::from_millis(2_900);
/// And no later than this part of the time that a stop may take.
const LAST_REQUESTS_PART: f64 = 0.4;
/// An answer's last bytes leave within so long.
const ANSWER_LEAVES: Duration = Duration::from_millis(30);
/// Left of the time for a stop when the last requests are given up.
const STOP_MARGIN: Duration = Duration::from_millis(600);
const POOL_EVERY: Duration = Duration::from_millis(500);
/// The list is read here once what the control plane tells is so old.
const OWN_LIST_AFTER: Duration = Duration::from_millis(2_500);
/// All that the parts of a data plane share.
pub struct Plane {
    pub settings: Settings,
    pub known: Rc<TierState>,
    pub caller: Caller,
    pub pool: ServerPool,
    pub sender: RequestSender,
    pub usage: RefCell<UsageCounts>,
    pub timeliness: RefCell<TimelinessCounts>,
    /// Requests being answered.
    pub open: Cell<usize>,
    /// When the last of them ended.
    pub last_ended: Cell<Instant>,
    /// Since when a stop is asked for.
    pub stopping: Cell<Option<Instant>>,
    ready: Cell<bool>,
    started: Instant,
}

impl Plane {
    pub fn new(settings: Settings) -> Self {
        let caller = Caller::with_source(settings.peer_source_ip());
        Self {
            usage: RefCell::new(UsageCounts::new(settings.bounds.usage_window_s)),
            pool: ServerPool::new(&settings.zone, &settings.policy),
            sender: RequestSender::new(&settings.policy),
            settings,
            timeliness: RefCell::default(),
            known: Rc::new(TierState::default()),
            caller,
            open: Cell::new(0),
            last_ended: Cell::new(Instant::now()),
            stopping: Cell::new(None),
            ready: Cell::new(false),
            started: Instant::now(),
        }
    }

    pub fn is_stopping(&self) -> bool {
        self.stopping.get().is_some()
    }

    /// Whether a request that is read now could be cut off by this process's end.
    pub fn takes_no_more(&self) -> bool {
        let last = LAST_REQUESTS.min(self.settings.shutdown_grace().mul_f64(LAST_REQUESTS_PART));
        self.stopping.get().is_some_and(|since| since.elapsed() > last)
    }

    /// Whether no request is open and the last answer has left.
    fn is_quiet(&self) -> bool {
        self.open.get() == 0 && self.last_ended.get().elapsed() >= ANSWER_LEAVES
    }

    /// Whether clients may come: a configuration and some servers are known, and no stop was asked for. Only a source that is
    /// in touch with a majority gives out a configuration, so what is known was in force when it came.
    pub fn is_ready(&self) -> bool {
        if !self.ready.get() {
            let servers = !self.known.server_list().servers.is_empty();
            self.ready.set(self.known.routing_table().is_some() && servers);
        }
        self.ready.get() && !self.is_stopping()
    }
}

/// Runs until a signal ends it.
pub async fn run(settings: Settings) -> anyhow::Result<()> {
    let plane = Rc::new(Plane::new(settings));
    let peers = TcpListener::bind(plane.settings.data_peer_address()).await?;
    let known = plane.known.clone();
    spawn_local(serve(peers, move |request| answer(known.clone(), request)));
    spawn_local(subscribe(plane.known.clone(), plane.caller.clone(), Subscription::new(&plane.settings)));
    spawn_local(keep_pool(plane.clone()));
    let life = getrandom::u64().unwrap_or(1);
    let sharing = Subscription::new(&plane.settings);
    spawn_local(exchange_server_stats(
        plane.pool.clone(),
        plane.known.clone(),
        plane.caller.clone(),
        sharing,
        life,
    ));
    spawn_local(probe_connections(plane.pool.clone(), plane.sender.clone()));
    spawn_local(report_usage(plane.clone()));
    if let Some(address) = plane.settings.listen.ready {
        let app = App::new().app_data(Data::new(plane.clone())).configure(ready::routes);
        spawn_local(serve_http(TcpListener::bind(address).await?, app, HttpTimeouts::default()));
    }
    if let Some(address) = plane.settings.listen.front {
        let app = App::new()
            .app_data(PayloadConfig::new(front::MAX_BODY_BYTES))
            .app_data(Data::new(plane.clone()))
            .configure(front::routes);
        let times =
            HttpTimeouts { request_head: Duration::from_secs(5), keep_alive: Duration::from_secs(60) };
        spawn_local(serve_http(TcpListener::bind(address).await?, app, times));
    }
    wait_for_shutdown_signal().await;
    stop(&plane).await;
    Ok(())
}

/// Says that it is no longer ready, answers what comes meanwhile, and waits for the last answers.
async fn stop(plane: &Plane) {
    let began = Instant::now();
    let until = plane.settings.shutdown_grace().saturating_sub(STOP_MARGIN);
    plane.stopping.set(Some(began));
    sleep(LAST_CONNECTIONS.min(until)).await;
    // After the last check nothing is awaited: a request that is read after it has nobody to answer it.
    while !plane.is_quiet() && began.elapsed() < until {
        sleep(Duration::from_millis(10)).await;
    }
}

async fn answer(known: Rc<TierState>, request: Request) -> Reply {
    match request {
        Request::Watch(watch) => Reply::Watch(Box::new(known.wait_for_update(&watch).await)),
        _ => Reply::Unsupported,
    }
}

/// Keeps the pool level with the list; reads the list itself while the control plane is silent.
async fn keep_pool(plane: Rc<Plane>) {
    let client = platform_client();
    let mut reader = ServerListVersioner::new(getrandom::u64().unwrap_or(1));
    loop {
        plane.pool.update(&plane.known.server_list());
        plane.sender.retain_servers(&plane.known.server_list().servers);
        let silent = plane.known.server_list_age().is_none_or(|age| age > OWN_LIST_AFTER);
        let long_up = plane.started.elapsed() > OWN_LIST_AFTER * 2;
        if let (true, true, Some(platform)) = (silent, long_up, plane.settings.cloud.addr) {
            let began = Instant::now();
            match fetch_server_list(&client, platform).await {
                Ok(servers) => {
                    plane.known.update_server_list(Some(reader.assign_version(servers)), began.elapsed());
                    plane.pool.update(&plane.known.server_list());
                }
                Err(reason) => log::warn!("{reason}"),
            }
        }
        let _ = tokio::time::timeout(POOL_EVERY, plane.known.changed()).await;
    }
}

#[cfg(test)]
mod tests;
