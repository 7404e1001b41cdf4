//! Starts the tasks and sockets of a control-plane process and runs it until a signal stops it.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use actix_web::web::{Data, PayloadConfig};
use actix_web::App;
use fennelgauge_http::{serve_http, wait_for_shutdown_signal, HttpTimeouts, OpenConnections};
use fennelgauge_settings::Settings;
use fennelgauge_sharing::StatsAggregator;
use fennelgauge_upstream::{subscribe, Subscription, TierState};
use fennelgauge_wire::{serve, Caller, Reply, Request, UnwrittenReplies};
use tokio::net::TcpListener;
use tokio::task::spawn_local;
use tokio::time::Instant;

use crate::core::Core;
use crate::duties::{report_usage, scale_services, UsageCollector};
use crate::operator::{routes, Operator, MAX_REQUEST_BYTES};
use crate::placement::maintain_placement;
use crate::platform_reader::{read_server_list, watch_head};
use crate::store;

/// Reserve at the end of the time that a stop may take; responses are abandoned when only this is left.
pub(crate) const SHUTDOWN_MARGIN: Duration = Duration::from_millis(600);

/// Runs a store if the settings list the role `storage`, else a core member, until a signal stops the process.
/// Fails if the data directory cannot be read or a socket cannot be opened.
pub async fn run(settings: Settings) -> anyhow::Result<()> {
    let settings = Rc::new(settings);
    match settings.serves("storage") {
        true => store::run(settings).await,
        false => run_core(settings).await,
    }
}

/// Runs a core member until a signal stops the process.
async fn run_core(settings: Rc<Settings>) -> anyhow::Result<()> {
    let known = Rc::new(TierState::for_source());
    let caller = Caller::with_source(settings.peer_source_ip());
    let advertised_peer = settings.advertised_peer_address();
    let core = Core::open(settings.clone(), known.clone(), caller.clone(), advertised_peer)?;
    let collector = Rc::new(UsageCollector::default());

    let listener = TcpListener::bind(settings.control_peer_address()).await?;
    let context = AnswerContext {
        core: core.clone(),
        collector: collector.clone(),
        home: Rc::default(),
        started: Instant::now(),
    };
    let replies = UnwrittenReplies::default();
    spawn_local(serve(listener, replies.clone(), move |request| answer(context.clone(), request)));
    let subscription = Subscription::new(&settings);
    spawn_local(core.clone().run(Subscription::new(&settings).seeds));
    spawn_local(read_server_list(core.clone()));
    spawn_local(watch_head(core.clone()));
    spawn_local(maintain_placement(core.clone()));
    spawn_local(report_usage(core.clone(), collector.clone()));
    spawn_local(scale_services(core.clone(), collector));
    spawn_local(subscribe(known, caller, subscription));
    serve_operator(&settings, core, replies).await
}

/// State from which calls of the tier's own processes are answered.
#[derive(Clone)]
struct AnswerContext {
    core: Rc<Core>,
    collector: Rc<UsageCollector>,
    /// Adds up the server statistics of the processes that report to this machine.
    home: Rc<RefCell<StatsAggregator>>,
    /// Origin of the times given to `home`.
    started: Instant,
}

/// Answers a call from another process of the tier.
async fn answer(context: AnswerContext, request: Request) -> Reply {
    let AnswerContext { core, collector, home, started } = context;
    match request {
        Request::ServerStats(report) => match home.borrow_mut().add_report(report, started.elapsed()) {
            Ok(sums) => Reply::ServerStats(sums),
            Err(reason) => {
                log::warn!("rejected a report of server statistics: {reason}");
                Reply::Unsupported
            }
        },
        Request::Watch(watch) => Reply::Watch(Box::new(core.known.wait_for_confirmed_update(&watch).await)),
        Request::Core(request) => Reply::Core(core.answer(request).await),
        Request::Coordination(envelope) => {
            spawn_local(core.handle_message(*envelope));
            Reply::Acknowledged
        }
        Request::StoreHeartbeat(heartbeats) => {
            core.heartbeats.record(heartbeats);
            Reply::Acknowledged
        }
        Request::Usage(report) => {
            collector.record_report(report);
            Reply::Acknowledged
        }
        Request::Store(_) => Reply::Unsupported,
    }
}

/// Serves the operator's API if the settings name an address for it; returns when a signal has stopped the process and
/// the responses that operators and other processes wait for are written.
async fn serve_operator(
    settings: &Settings,
    core: Rc<Core>,
    replies: UnwrittenReplies,
) -> anyhow::Result<()> {
    let connections = OpenConnections::default();
    let mut accepting = None;
    if let Some(control) = settings.listen.control {
        let listener = TcpListener::bind(control).await?;
        let operator = Data::new(Operator { core });
        let app =
            App::new().app_data(PayloadConfig::new(MAX_REQUEST_BYTES)).app_data(operator).configure(routes);
        let served = serve_http(listener, app, HttpTimeouts::default(), connections.clone());
        accepting = Some(spawn_local(served));
    }
    wait_for_shutdown_signal().await;
    let until = Instant::now() + settings.shutdown_grace().saturating_sub(SHUTDOWN_MARGIN);
    if let Some(accepting) = accepting {
        // Operators turn to another machine at once when this one accepts no connections.
        accepting.abort();
    }
    connections.close_idle();
    let unfinished = connections.drain(until).await;
    replies.wait_until_written(until).await;
    log::info!("stopped: {unfinished} at the operator's API");
    Ok(())
}
