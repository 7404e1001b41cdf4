//! Drives one connection: polls the HTTP library's dispatcher, and ends the connection when its time is up.

use std::fmt::Debug;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use tokio::time::{sleep_until, Instant, Sleep};

use crate::connection::{ConnectionState, OpenConnections};

/// Serves one connection until it ends. `dispatcher` is the HTTP library's future for it.
pub(crate) async fn serve_connection<E: Debug>(
    dispatcher: impl Future<Output = Result<(), E>>,
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
        state,
        closing: Some(Box::pin(closing)),
        timer: Box::pin(timer),
        reads_to_close: false,
    };
    match task.await {
        ConnectionEnd::Dispatcher(Ok(())) => {}
        ConnectionEnd::Dispatcher(Err(reason)) => {
            log::debug!("client connection ended with an error: {reason:?}");
        }
        ConnectionEnd::TimedOut => log::debug!("client connection ended: its time was up"),
    }
}

/// Why a connection ended.
enum ConnectionEnd<E> {
    /// The dispatcher has ended.
    Dispatcher(Result<(), E>),
    /// The connection was kept for as long as its state allows.
    TimedOut,
}

struct ConnectionTask<D, C> {
    dispatcher: Pin<Box<D>>,
    state: Rc<ConnectionState>,
    /// Resolves when idle connections are to be closed; `None` after that.
    closing: Option<Pin<Box<C>>>,
    timer: Pin<Box<Sleep>>,
    /// Whether the dispatcher was polled once more because the connection is idle and to be closed.
    reads_to_close: bool,
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
        match self.state.kept_until() {
            Some(until) => self.poll_timer(until, context).map(|()| ConnectionEnd::TimedOut),
            None => Poll::Pending,
        }
    }
}

impl<D, C> ConnectionTask<D, C> {
    fn poll_timer(&mut self, until: Instant, context: &mut Context<'_>) -> Poll<()> {
        if self.timer.deadline() != until {
            self.timer.as_mut().reset(until);
        }
        self.timer.as_mut().poll(context)
    }
}
