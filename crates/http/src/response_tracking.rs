//! Tracks each response from the moment its request's head has been read until its body has been produced.

use std::future::{poll_fn, Future};
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::{ready, Context, Poll};

use actix_http::{Request, Response};
use actix_web::body::{BodySize, MessageBody};
use actix_web::dev::ServiceResponse;
use actix_web::http::Version;
use actix_web::web::Bytes;
use actix_web::{Error, HttpRequest};
use tokio::time::Instant;

use crate::connection::{ConnectionState, ResponseGuard};

/// Returns the state of the connection on which a request arrived.
pub(crate) fn connection_of(request: &Request) -> Option<Rc<ConnectionState>> {
    request.conn_data::<Rc<ConnectionState>>().cloned()
}

/// Sets when the connection of a request is cut if its response is not all written by then, in place of
/// [`HttpTimeouts::response`](crate::HttpTimeouts::response). The handler itself is expected to end its response earlier;
/// the limit bounds the wait for a client that does not read.
pub fn limit_response(request: &HttpRequest, until: Instant) {
    if let Some(connection) = request.conn_data::<Rc<ConnectionState>>() {
        connection.limit_response(until);
    }
}

/// Calls a handler for a request of this HTTP version, and tracks its response.
pub(crate) fn track_response<B: MessageBody>(
    connection: Option<Rc<ConnectionState>>,
    version: Version,
    call: impl Future<Output = Result<ServiceResponse<B>, Error>>,
) -> impl Future<Output = Result<Response<TrackedBody<B>>, Error>> {
    let guard = connection.as_ref().map(|connection| connection.begin_response(version));
    async move {
        let mut call = pin!(call);
        // A request whose client has left when it is read, or leaves amid it, goes no step further: the connection's task
        // drops it.
        let response = poll_fn(|context| match &connection {
            Some(connection) if connection.client_has_left() => Poll::Pending,
            _ => call.as_mut().poll(context),
        });
        let response: Response<B> = response.await?.into();
        Ok(response.map_body(|_, body| TrackedBody::new(body, guard)))
    }
}

/// A response body that counts as in progress until the HTTP library has taken its last part and drops it.
pub(crate) struct TrackedBody<B> {
    body: Pin<Box<B>>,
    guard: Option<ResponseGuard>,
}

impl<B: MessageBody> TrackedBody<B> {
    fn new(body: B, guard: Option<ResponseGuard>) -> Self {
        let mut tracked = Self { body: Box::pin(body), guard };
        // The library does not ask for parts of an empty body.
        if matches!(tracked.body.size(), BodySize::None | BodySize::Sized(0)) {
            tracked.complete();
        }
        tracked
    }

    fn complete(&mut self) {
        if let Some(guard) = &mut self.guard {
            guard.complete();
        }
    }
}

impl<B: MessageBody> MessageBody for TrackedBody<B> {
    type Error = B::Error;

    fn size(&self) -> BodySize {
        self.body.size()
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Self::Error>>> {
        let next = ready!(self.body.as_mut().poll_next(context));
        if next.is_none() {
            self.complete();
        }
        Poll::Ready(next)
    }
}
