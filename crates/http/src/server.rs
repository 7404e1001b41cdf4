//! Accepts connections and serves an application on them.

use std::time::Duration;

use actix_http::{HttpService, Request};
use actix_service::{apply_fn_factory, map_config, Service, ServiceFactory};
use actix_web::body::MessageBody;
use actix_web::dev::{AppConfig, ServiceRequest, ServiceResponse};
use actix_web::{App, Error};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

use crate::client_stream::{ClientSocket, ClientStream};
use crate::connection::OpenConnections;
use crate::connection_task::serve_connection;
use crate::response_tracking::{connection_of, track_response};

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
    /// Longest time from a request's head until the last byte of its response is written, unless its handler sets another
    /// limit. At most `keep_alive`: after that the HTTP library closes the connection, whatever is still to be written.
    pub response: Duration,
}

impl Default for HttpTimeouts {
    fn default() -> Self {
        Self {
            request_head: Duration::from_secs(5),
            keep_alive: Duration::from_secs(30),
            response: Duration::from_secs(30),
        }
    }
}

/// Accepts connections, counts them in `connections` and serves `app` on each of them in a task of its own. Returns only
/// if the service cannot be created; must run inside a `LocalSet`.
pub async fn serve_http<T, B>(
    listener: TcpListener,
    app: App<T>,
    timeouts: HttpTimeouts,
    connections: OpenConnections,
) where
    T: ServiceFactory<
            ServiceRequest,
            Config = (),
            Response = ServiceResponse<B>,
            Error = Error,
            InitError = (),
        > + 'static,
    B: MessageBody + 'static,
{
    let app = map_config(app, |()| AppConfig::default());
    let app = apply_fn_factory(app, |request: Request, app: &_| {
        let (connection, version) = (connection_of(&request), request.version());
        track_response(connection, version, Service::call(app, request))
    });
    let service = HttpService::build()
        .keep_alive(timeouts.keep_alive)
        .client_request_timeout(timeouts.request_head)
        .client_disconnect_timeout(DISCONNECT_TIMEOUT)
        .on_connect_ext(|stream: &ClientStream, data| {
            data.insert(stream.state().clone());
        })
        .h1(app);
    let Ok(service) = service.new_service(()).await else {
        log::error!(
            "no HTTP requests are served on {}: the service cannot be created",
            address_of(&listener)
        );
        return;
    };
    loop {
        let Some(stream) = accept(&listener).await else { continue };
        let peer = stream.peer_addr().ok();
        let state = connections.track(timeouts);
        let socket = ClientSocket::new(stream);
        let dispatcher = service.call((ClientStream::new(socket.clone(), state.clone()), peer));
        spawn_local(serve_connection(dispatcher, socket, state, connections.clone()));
    }
}

/// Accepts a connection; returns `None` after a pause if that fails.
async fn accept(listener: &TcpListener) -> Option<TcpStream> {
    match listener.accept().await {
        Ok((stream, _peer)) => {
            let _ = stream.set_nodelay(true);
            Some(stream)
        }
        Err(reason) => {
            log::warn!(
                "accept failed on {}, retrying in {ACCEPT_RETRY_DELAY:?}: {reason}",
                address_of(listener)
            );
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            None
        }
    }
}

/// Returns the address of a listener for log lines.
fn address_of(listener: &TcpListener) -> String {
    listener.local_addr().map_or_else(|reason| reason.to_string(), |address| address.to_string())
}
