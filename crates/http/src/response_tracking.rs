//! Tracks each response from the moment its request's head has been read until its body has been produced.

use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use actix_http::{Request, Response};
use actix_web::body::{BodySize, MessageBody};
use actix_web::dev::ServiceResponse;
use actix_web::web::Bytes;
use actix_web::Error;

use crate::connection::{ConnectionState, ResponseGuard};

/// Returns the state of the connection on which a request arrived.
pub(crate) fn connection_of(request: &Request) -> Option<Rc<ConnectionState>> {
    request.conn_data::<Rc<ConnectionState>>().cloned()
}

/// Calls a handler and tracks its response.
pub(crate) fn track_response<B: MessageBody>(
    connection: Option<Rc<ConnectionState>>,
    call: impl Future<Output = Result<ServiceResponse<B>, Error>>,
) -> impl Future<Output = Result<Response<TrackedBody<B>>, Error>> {
    let guard = connection.map(|connection| connection.begin_response());
    async move {
        let response: Response<B> = call.await?.into();
        Ok(response.map_body(|_, body| TrackedBody { body: Box::pin(body), _guard: guard }))
    }
}

/// A response body that counts as in progress until the HTTP library has taken its last part and drops it.
pub(crate) struct TrackedBody<B> {
    body: Pin<Box<B>>,
    _guard: Option<ResponseGuard>,
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
        self.body.as_mut().poll_next(context)
    }
}
