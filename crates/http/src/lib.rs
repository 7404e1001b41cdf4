//! Serves an actix-web application on the current thread, so that it shares its state with the rest of the process
//! without locks.

use std::time::Duration;

use actix_http::HttpService;
use actix_service::{map_config, IntoServiceFactory, Service, ServiceFactory, ServiceFactoryExt};
use actix_web::body::MessageBody;
use actix_web::dev::{AppConfig, ServiceRequest, ServiceResponse};
use actix_web::{App, Error};
use tokio::net::TcpListener;
use tokio::task::spawn_local;

/// How long clients may take.
#[derive(Clone, Copy, Debug)]
pub struct HttpTimeouts {
    /// For the head of a request.
    pub request_head: Duration,
    /// Between two requests of a connection.
    pub keep_alive: Duration,
}

impl Default for HttpTimeouts {
    fn default() -> Self {
        Self { request_head: Duration::from_secs(5), keep_alive: Duration::from_secs(30) }
    }
}

/// Takes connections in without end, each on a task of its own.
pub async fn serve_http<T, B>(listener: TcpListener, app: App<T>, times: HttpTimeouts)
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
    let app = app.into_factory().map_err(|error: Error| error.error_response());
    let service = HttpService::build()
        .keep_alive(times.keep_alive)
        .client_request_timeout(times.request_head)
        .client_disconnect_timeout(Duration::from_millis(500))
        .finish(map_config(app, |()| AppConfig::default()))
        .tcp();
    let Ok(service) = service.new_service(()).await else {
        log::error!("the HTTP service cannot be made");
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
                        log::debug!("a client's connection: {reason:?}");
                    }
                });
            }
            Err(reason) => {
                log::warn!("connections cannot be taken in: {reason}");
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

/// Waits for a signal that asks for the end. A hangup asks for nothing: settings are read anew whenever they are needed.
pub async fn wait_for_shutdown_signal() {
    use tokio::signal::unix::{signal, SignalKind};
    let (Ok(mut terminate), Ok(mut interrupt), Ok(mut hangup)) =
        (signal(SignalKind::terminate()), signal(SignalKind::interrupt()), signal(SignalKind::hangup()))
    else {
        log::error!("signals cannot be heard: the process ends only when it is killed");
        return std::future::pending().await;
    };
    loop {
        tokio::select! {
            _ = terminate.recv() => return,
            _ = interrupt.recv() => return,
            _ = hangup.recv() => log::info!("hangup: the settings are read when they are needed"),
        }
    }
}
