//! Serves an actix-web application on the current thread, so that it shares state with the rest of the process without locks, and
//! waits for the signal that asks the process to shut down.

use std::time::Duration;

use actix_http::HttpService;
use actix_service::{map_config, IntoServiceFactory, Service, ServiceFactory, ServiceFactoryExt};
use actix_web::body::MessageBody;
use actix_web::dev::{AppConfig, ServiceRequest, ServiceResponse};
use actix_web::{App, Error};
use tokio::net::TcpListener;
use tokio::task::spawn_local;

/// Longest time for closing a connection in an orderly way.
const DISCONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause after a failed `accept`, which would fail again at once if, for example, no file descriptor is left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Timeouts for client connections.
#[derive(Clone, Copy, Debug)]
pub struct HttpTimeouts {
    /// Longest time for receiving the request line and headers.
    pub request_head: Duration,
    /// Longest time that a connection may be idle between two requests.
    pub keep_alive: Duration,
}

impl Default for HttpTimeouts {
    fn default() -> Self {
        Self { request_head: Duration::from_secs(5), keep_alive: Duration::from_secs(30) }
    }
}

/// Accepts connections and serves `app` on each of them in a task of its own. Returns only if the service cannot be created; must run
/// inside a `LocalSet`.
pub async fn serve_http<T, B>(listener: TcpListener, app: App<T>, timeouts: HttpTimeouts)
where
    T: ServiceFactory<
            ServiceRequest,
            Config = (),
            Response = ServiceResponse<B>,
            Error = Error,
            InitError = (),
        > + 'static,
    B: MessageBody + 'static,
{
    let address =
        listener.local_addr().map_or_else(|reason| reason.to_string(), |address| address.to_string());
    let app = app.into_factory().map_err(|error: Error| error.error_response());
    let service = HttpService::build()
        .keep_alive(timeouts.keep_alive)
        .client_request_timeout(timeouts.request_head)
        .client_disconnect_timeout(DISCONNECT_TIMEOUT)
        .finish(map_config(app, |()| AppConfig::default()))
        .tcp();
    let Ok(service) = service.new_service(()).await else {
        log::error!("no HTTP requests are served on {address}: the service cannot be created");
        return;
    };
    let service = std::rc::Rc::new(service);
    loop {
        match listener.accept().await {
            Ok((stream, _peer)) => {
                let _ = stream.set_nodelay(true);
                let service = service.clone();
                spawn_local(async move {
                    if let Err(reason) = service.call(stream).await {
                        log::debug!("client connection ended with an error: {reason:?}");
                    }
                });
            }
            Err(reason) => {
                log::warn!("accept failed on {address}, retrying in {ACCEPT_RETRY_DELAY:?}: {reason}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Waits for SIGTERM or SIGINT. SIGHUP is logged and otherwise ignored: the settings file is read again whenever it is needed, so
/// there is nothing to reload. Never returns if the signal handlers cannot be installed.
pub async fn wait_for_shutdown_signal() {
    use tokio::signal::unix::{signal, SignalKind};
    let (Ok(mut terminate), Ok(mut interrupt), Ok(mut hangup)) =
        (signal(SignalKind::terminate()), signal(SignalKind::interrupt()), signal(SignalKind::hangup()))
    else {
        log::error!("signal handlers cannot be installed: only SIGKILL ends this process");
        return std::future::pending().await;
    };
    loop {
        tokio::select! {
            _ = terminate.recv() => return,
            _ = interrupt.recv() => return,
            _ = hangup.recv() => log::info!("SIGHUP ignored: the settings file is read again whenever it is needed"),
        }
    }
}
