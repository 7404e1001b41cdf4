//! Runs a control process: its parts, its sockets, its end.

use std::cell::RefCell;
use std::rc::Rc;

use actix_web::web::{Data, PayloadConfig};
use actix_web::App;
use fennelgauge_http::{serve_http, wait_for_shutdown_signal, HttpTimeouts};
use fennelgauge_settings::Settings;
use fennelgauge_sharing::StatsAggregator;
use fennelgauge_upstream::{subscribe, Known, Subscription};
use fennelgauge_wire::{serve, Caller, Reply, Request};
use tokio::net::TcpListener;
use tokio::task::spawn_local;
use tokio::time::Instant;

use crate::core::Core;
use crate::duties::{order_servers, report_usage, UsageCollector};
use crate::operator::{routes, Operator, MAX_ORDER_BYTES};
use crate::placement::keep_placement;
use crate::platform_reader::{follow_head, keep_list};
use crate::store;

/// Runs as a store where the settings say so, else as a part of the core, until a signal ends it.
pub async fn run(settings: Settings) -> anyhow::Result<()> {
    let settings = Rc::new(settings);
    match settings.serves("storage") {
        true => store::run(settings).await,
        false => run_core(settings).await,
    }
}

async fn run_core(settings: Rc<Settings>) -> anyhow::Result<()> {
    let known = Rc::new(Known::of_source());
    let caller = Caller::with_source(settings.peer_source_ip());
    let told = settings.advertised_peer_address();
    let core = Core::open(settings.clone(), known.clone(), caller.clone(), told)?;
    let collector = Rc::new(UsageCollector::default());

    let listener = TcpListener::bind(settings.control_peer_address()).await?;
    let answering = Answering {
        core: core.clone(),
        collector: collector.clone(),
        home: Rc::default(),
        began: Instant::now(),
    };
    spawn_local(serve(listener, move |request| answer(answering.clone(), request)));
    spawn_local(core.clone().keep());
    spawn_local(keep_list(core.clone()));
    spawn_local(follow_head(core.clone()));
    spawn_local(keep_placement(core.clone()));
    spawn_local(report_usage(core.clone(), collector.clone()));
    spawn_local(order_servers(core.clone(), collector));
    spawn_local(subscribe(known, caller, Subscription::new(&settings)));
    serve_operator(&settings, core).await
}

/// What calls of our own processes are answered from.
#[derive(Clone)]
struct Answering {
    core: Rc<Core>,
    collector: Rc<UsageCollector>,
    /// Of the processes that report here what servers they use.
    home: Rc<RefCell<StatsAggregator>>,
    began: Instant,
}

async fn answer(answering: Answering, request: Request) -> Reply {
    let Answering { core, collector, home, began } = answering;
    match request {
        Request::ServerStats(report) => match home.borrow_mut().add_report(report, began.elapsed()) {
            Ok(sums) => Reply::ServerStats(sums),
            Err(reason) => {
                log::warn!("{reason}");
                Reply::Unsupported
            }
        },
        Request::Watch(watch) => Reply::Watch(Box::new(core.known.answer_in_touch(&watch).await)),
        Request::Core(request) => Reply::Core(core.answer(request).await),
        Request::Coordination(envelope) => {
            spawn_local(core.hear(*envelope));
            Reply::Acknowledged
        }
        Request::StoreHeartbeat(told) => {
            core.presence.hear(told);
            Reply::Acknowledged
        }
        Request::Usage(report) => {
            collector.hear(report);
            Reply::Acknowledged
        }
        Request::Store(_) => Reply::Unsupported,
    }
}

async fn serve_operator(settings: &Settings, core: Rc<Core>) -> anyhow::Result<()> {
    if let Some(control) = settings.listen.control {
        let listener = TcpListener::bind(control).await?;
        let operator = Data::new(Operator { core });
        let app =
            App::new().app_data(PayloadConfig::new(MAX_ORDER_BYTES)).app_data(operator).configure(routes);
        spawn_local(serve_http(listener, app, HttpTimeouts::default()));
    }
    wait_for_shutdown_signal().await;
    Ok(())
}
