//! Drives one connection: polls the HTTP library's dispatcher, and ends the connection when its client has left or its
//! time is up. Whatever is in progress then is dropped: a handler, or a response body, can end at any of its awaits.

use std::fmt::Debug;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;

use tokio::time::{sleep_until, Instant, Sleep};

use crate::client_stream::ClientSocket;
use crate::connection::{ConnectionState, OpenConnections};

/// How often it is looked whether the client has left while the HTTP library reads nothing.
const CLOSE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Serves one connection until it ends. `dispatcher` is the HTTP library's future for it.
pub(crate) async fn serve_connection<E: Debug>(
    dispatcher: impl Future<Output = Result<(), E>>,
    socket: ClientSocket,
    state: Rc<ConnectionState>,
    connections: OpenConnections,
) {
    let mut closing = connections.idle_closing();
    let closing = async move {
        let _ = closing.wait_for(|closes_idle| *closes_idle).await;
    };
    let timer = sleep_until(Instant::now());
    let task = ConnectionTask {
        dispatcher: Box::pin(dispatcher),
        socket,
        state,
        closing: Some(Box::pin(closing)),
        timer: Box::pin(timer),
        reads_to_close: false,
        close_check_at: None,
    };
    match task.await {
        ConnectionEnd::Dispatcher(Ok(())) => {}
        ConnectionEnd::Dispatcher(Err(reason)) => {
            log::debug!("client connection ended with an error: {reason:?}");
        }
        ConnectionEnd::ClientLeft => log::debug!("client left: its request is dropped"),
        ConnectionEnd::TimedOut => log::debug!("client connection ended: its time was up"),
    }
}

/// Why a connection ended.
enum ConnectionEnd<E> {
    /// The dispatcher has ended.
    Dispatcher(Result<(), E>),
    /// The client has left while a response to it was in progress.
    ClientLeft,
    /// The connection was kept for as long as its state allows.
    TimedOut,
}

struct ConnectionTask<D, C> {
    dispatcher: Pin<Box<D>>,
    socket: ClientSocket,
    state: Rc<ConnectionState>,
    /// Resolves when idle connections are to be closed; `None` after that.
    closing: Option<Pin<Box<C>>>,
    timer: Pin<Box<Sleep>>,
    /// Whether the dispatcher was polled once more because the connection is idle and to be closed.
    reads_to_close: bool,
    /// When to look next whether the client has left; `None` while the HTTP library would notice.
    close_check_at: Option<Instant>,
}

impl<D, C, E> Future for ConnectionTask<D, C>
where
    D: Future<Output = Result<(), E>>,
    C: Future<Output = ()>,
{
    type Output = ConnectionEnd<E>;

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Self::Output> {
        if self.closing.as_mut().is_some_and(|closing| closing.as_mut().poll(context).is_ready()) {
            self.closing = None;
        }
        self.reads_to_close &= self.state.closes_now();
        if let Poll::Ready(result) = self.dispatcher.as_mut().poll(context) {
            return Poll::Ready(ConnectionEnd::Dispatcher(result));
        }
        if self.state.closes_now() && !std::mem::replace(&mut self.reads_to_close, true) {
            // The dispatcher finds the end of the connection at its next read.
            context.waker().wake_by_ref();
        }
        loop {
            if self.state.client_has_left() {
                return Poll::Ready(ConnectionEnd::ClientLeft);
            }
            let limit = self.state.kept_until();
            let Some(next) = limit.into_iter().chain(self.next_close_check()).min() else {
                return Poll::Pending;
            };
            ready!(self.poll_timer(next, context));
            if limit.is_some_and(|limit| limit <= next) {
                return Poll::Ready(ConnectionEnd::TimedOut);
            }
            self.close_check_at = None;
            if self.socket.is_closed_by_client(context) {
                return Poll::Ready(ConnectionEnd::ClientLeft);
            }
        }
    }
}

impl<D, C> ConnectionTask<D, C> {
    fn next_close_check(&mut self) -> Option<Instant> {
        match self.state.overlooks_close() {
            true => Some(*self.close_check_at.get_or_insert_with(|| Instant::now() + CLOSE_CHECK_INTERVAL)),
            false => {
                self.close_check_at = None;
                None
            }
        }
    }

    fn poll_timer(&mut self, until: Instant, context: &mut Context<'_>) -> Poll<()> {
        if self.timer.deadline() != until {
            self.timer.as_mut().reset(until);
        }
        self.timer.as_mut().poll(context)
    }
}
