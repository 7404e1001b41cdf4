//! Runs a data plane: shared state, listeners, background tasks and graceful shutdown.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use actix_web::web::{Data, PayloadConfig};
use actix_web::App;
use fennelgauge_http::{serve_http, wait_for_shutdown_signal, HttpTimeouts, OpenConnections};
use fennelgauge_settings::Settings;
use fennelgauge_upstream::{
    exchange_server_stats, fetch_server_list, platform_client, probe_connections, subscribe, RequestSender,
    ServerListVersioner, ServerPool, Subscription, TierState,
};
use fennelgauge_wire::{serve, Caller, Reply, Request, UnwrittenReplies};
use tokio::net::TcpListener;
use tokio::task::spawn_local;
use tokio::time::{sleep, Instant};

use crate::timeliness::TimelinessCounters;
use crate::usage::{report_usage, UsageCounters};
use crate::{frontend, readiness};

/// How long after a stop is requested new connections keep arriving, until clients have noticed that the process is no longer
/// ready.
const NEW_CONNECTION_GRACE: Duration = Duration::from_millis(2_600);
/// Requests on kept-alive connections are refused from this long after a stop is requested, since they may not finish in time.
const NEW_REQUEST_GRACE: Duration = Duration::from_millis(2_900);
/// Upper bound of [`NEW_REQUEST_GRACE`] as a share of the time that a stop may take.
const MAX_NEW_REQUEST_GRACE_SHARE: f64 = 0.4;
/// Longest time that a client's connection may be idle between two requests.
const CLIENT_KEEP_ALIVE: Duration = Duration::from_secs(60);
/// Reserve at the end of the time that a stop may take; open requests are abandoned when only this is left.
const SHUTDOWN_MARGIN: Duration = Duration::from_millis(600);
/// Longest time for writing the last replies to other processes. They ask another process when they get none.
const PEER_REPLY_TIMEOUT: Duration = Duration::from_millis(500);
const POOL_UPDATE_INTERVAL: Duration = Duration::from_millis(500);
/// Age of the control plane's server list from which this process reads the list from the platform itself.
const MAX_SERVER_LIST_AGE: Duration = Duration::from_millis(2_500);

/// State that the tasks of a data plane share.
pub struct DataPlane {
    /// The settings file with the policy of the command line.
    pub settings: Settings,
    /// The configuration, server list and views received so far.
    pub tier_state: Rc<TierState>,
    /// Calls other processes of the tier.
    pub caller: Caller,
    /// The servers to choose from, with their load and failures.
    pub pool: ServerPool,
    /// Sends requests to servers.
    pub sender: RequestSender,
    /// Requests by window and tenant, to be reported to the core.
    pub usage: RefCell<UsageCounters>,
    /// Late responses by service, to be reported to the core.
    pub timeliness: RefCell<TimelinessCounters>,
    /// Connections of clients, with what is still to be done on them.
    pub connections: OpenConnections,
    /// When a stop was requested; `None` while the process is running normally.
    pub stop_requested_at: Cell<Option<Instant>>,
    /// Whether a configuration and servers were available at some time.
    was_ready: Cell<bool>,
    started_at: Instant,
}

impl DataPlane {
    /// Creates the state of a process that knows nothing yet and has no open requests.
    pub fn new(settings: Settings) -> Self {
        let caller = Caller::with_source(settings.peer_source_ip());
        Self {
            usage: RefCell::new(UsageCounters::new(settings.bounds.usage_window_s)),
            pool: ServerPool::new(&settings.zone, &settings.policy),
            sender: RequestSender::new(&settings.policy),
            settings,
            timeliness: RefCell::default(),
            tier_state: Rc::new(TierState::default()),
            caller,
            connections: OpenConnections::default(),
            stop_requested_at: Cell::new(None),
            was_ready: Cell::new(false),
            started_at: Instant::now(),
        }
    }

    /// Whether a stop was requested.
    pub fn is_stopping(&self) -> bool {
        self.stop_requested_at.get().is_some()
    }

    /// Whether a request that arrives now is refused, because the process could end before its response is complete.
    pub fn refuses_new_requests(&self) -> bool {
        self.stop_requested_at.get().is_some_and(|since| since.elapsed() > self.new_request_grace())
    }

    /// How long a request that arrives now may take so that its response is complete when the process ends, even if a stop is
    /// requested the next moment.
    pub fn time_for_new_request(&self) -> Duration {
        let stopping_for = self.stop_requested_at.get().map_or(Duration::ZERO, |since| since.elapsed());
        self.stop_time_limit().saturating_sub(stopping_for)
    }

    /// How long after a stop is requested new requests are accepted.
    fn new_request_grace(&self) -> Duration {
        NEW_REQUEST_GRACE.min(self.settings.shutdown_grace().mul_f64(MAX_NEW_REQUEST_GRACE_SHARE))
    }

    /// Longest duration of a stop.
    fn stop_time_limit(&self) -> Duration {
        self.settings.shutdown_grace().saturating_sub(SHUTDOWN_MARGIN)
    }

    /// Whether the platform may send clients: a configuration and some servers have been received, and no stop was requested.
    /// Only a source whose view a majority confirmed a moment ago sends a configuration, so it was in force when it arrived.
    pub fn is_ready(&self) -> bool {
        if !self.was_ready.get() {
            let has_servers = !self.tier_state.server_list().servers.is_empty();
            self.was_ready.set(self.tier_state.routing_table().is_some() && has_servers);
        }
        self.was_ready.get() && !self.is_stopping()
    }
}

/// Runs a data plane until a signal stops it. Errs if a listener can't be bound.
pub async fn run(settings: Settings) -> anyhow::Result<()> {
    let plane = Rc::new(DataPlane::new(settings));
    let peer_listener = TcpListener::bind(plane.settings.data_peer_address()).await?;
    let tier_state = plane.tier_state.clone();
    let replies = UnwrittenReplies::default();
    spawn_local(serve(peer_listener, replies.clone(), move |request| {
        answer_peer(tier_state.clone(), request)
    }));
    spawn_local(subscribe(
        plane.tier_state.clone(),
        plane.caller.clone(),
        Subscription::new(&plane.settings),
    ));
    spawn_local(update_pool(plane.clone()));
    let incarnation = getrandom::u64().unwrap_or(1);
    let stats_subscription = Subscription::new(&plane.settings);
    spawn_local(exchange_server_stats(
        plane.pool.clone(),
        plane.tier_state.clone(),
        plane.caller.clone(),
        stats_subscription,
        incarnation,
    ));
    spawn_local(probe_connections(plane.pool.clone(), plane.sender.clone()));
    spawn_local(report_usage(plane.clone()));
    if let Some(address) = plane.settings.listen.ready {
        let app = App::new().app_data(Data::new(plane.clone())).configure(readiness::routes);
        let (listener, connections) = (TcpListener::bind(address).await?, OpenConnections::default());
        spawn_local(serve_http(listener, app, HttpTimeouts::default(), connections));
    }
    if let Some(address) = plane.settings.listen.front {
        let app = App::new()
            .app_data(PayloadConfig::new(frontend::MAX_BODY_BYTES))
            .app_data(Data::new(plane.clone()))
            .configure(frontend::routes);
        let times = HttpTimeouts { keep_alive: CLIENT_KEEP_ALIVE, ..HttpTimeouts::default() };
        let listener = TcpListener::bind(address).await?;
        spawn_local(serve_http(listener, app, times, plane.connections.clone()));
    }
    wait_for_shutdown_signal().await;
    stop(&plane, &replies).await;
    Ok(())
}

/// Shuts down gracefully: reports the process as not ready, keeps answering requests that still arrive, and waits until the
/// last responses and replies are written or the time for a stop is used up.
async fn stop(plane: &DataPlane, replies: &UnwrittenReplies) {
    let stop_requested_at = Instant::now();
    let time_limit = plane.stop_time_limit();
    plane.stop_requested_at.set(Some(stop_requested_at));
    sleep(NEW_CONNECTION_GRACE.min(time_limit)).await;
    let until = stop_requested_at + time_limit;
    replies.wait_until_written(until.min(Instant::now() + PEER_REPLY_TIMEOUT)).await;
    let unfinished = plane.connections.drain(until).await;
    let duration = stop_requested_at.elapsed();
    match unfinished.is_drained() {
        true => log::info!("stopped after {duration:?} of {time_limit:?}: {unfinished}"),
        false => log::warn!("stopped at the time limit of {time_limit:?} with unfinished work: {unfinished}"),
    }
}

/// Answers a call from another process: data planes pass on what they received from the control plane.
async fn answer_peer(tier_state: Rc<TierState>, request: Request) -> Reply {
    match request {
        Request::Watch(watch) => Reply::Watch(Box::new(tier_state.wait_for_update(&watch).await)),
        _ => Reply::Unsupported,
    }
}

/// Keeps the pool and the connections up to date with the server list; never returns. Reads the list from the platform while
/// the control plane's list is out of date.
async fn update_pool(plane: Rc<DataPlane>) {
    let client = platform_client();
    let mut versioner = ServerListVersioner::new(getrandom::u64().unwrap_or(1));
    loop {
        plane.pool.update(&plane.tier_state.server_list());
        plane.sender.retain_servers(&plane.tier_state.server_list().servers);
        let is_outdated = plane.tier_state.server_list_age().is_none_or(|age| age > MAX_SERVER_LIST_AGE);
        // Gives the control plane time to send the first list after this process has started.
        let is_settled = plane.started_at.elapsed() > MAX_SERVER_LIST_AGE * 2;
        if let (true, true, Some(platform)) = (is_outdated, is_settled, plane.settings.cloud.addr) {
            let requested_at = Instant::now();
            match fetch_server_list(&client, platform).await {
                Ok(servers) => {
                    plane
                        .tier_state
                        .update_server_list(Some(versioner.assign_version(servers)), requested_at.elapsed());
                    plane.pool.update(&plane.tier_state.server_list());
                }
                Err(error) => {
                    log::warn!(
                        "direct read of the server list from the platform at {platform} failed: {error}"
                    )
                }
            }
        }
        let _ = tokio::time::timeout(POOL_UPDATE_INTERVAL, plane.tier_state.changed()).await;
    }
}

#[cfg(test)]
mod tests;
