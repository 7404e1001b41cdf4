//! The stream of a client's connection, which records what is read and written and closes in an orderly way.

use std::cell::RefCell;
use std::future::Future;
use std::io::Result;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::{ready, Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;

use crate::connection::{ConnectionState, Read};

/// Number of bytes that are read and dropped at once while a closed connection lingers.
const DISCARD_BYTES: usize = 4 << 10;

/// The socket of a client's connection, shared by its stream and its task.
#[derive(Clone)]
pub(crate) struct ClientSocket(Rc<RefCell<TcpStream>>);

impl ClientSocket {
    /// Wraps an accepted connection.
    pub(crate) fn new(stream: TcpStream) -> Self {
        Self(Rc::new(RefCell::new(stream)))
    }

    /// Returns whether the client is known to have closed its side of the connection, whatever is still to be read.
    pub(crate) fn is_closed_by_client(&self, context: &mut Context<'_>) -> bool {
        let stream = self.0.borrow();
        let ready = pin!(stream.ready(Interest::READABLE)).poll(context);
        matches!(ready, Poll::Ready(Ok(ready)) if ready.is_read_closed())
    }

    fn poll_read(&self, context: &mut Context<'_>, buffer: &mut ReadBuf<'_>) -> Poll<Result<()>> {
        Pin::new(&mut *self.0.borrow_mut()).poll_read(context, buffer)
    }
}

/// A client's connection.
pub(crate) struct ClientStream {
    socket: ClientSocket,
    state: Rc<ConnectionState>,
    /// Whether this side of the connection is closed.
    is_shut_down: bool,
}

impl ClientStream {
    /// Wraps the socket of a connection whose state is `state`.
    pub(crate) fn new(socket: ClientSocket, state: Rc<ConnectionState>) -> Self {
        Self { socket, state, is_shut_down: false }
    }

    /// Returns the connection's state.
    pub(crate) fn state(&self) -> &Rc<ConnectionState> {
        &self.state
    }

    /// Reads from the socket and records the result.
    fn poll_tracked_read(&self, context: &mut Context<'_>, buffer: &mut ReadBuf<'_>) -> Poll<Result<()>> {
        let filled_before = buffer.filled().len();
        let polled = self.socket.poll_read(context, buffer);
        let has_bytes = buffer.filled().len() > filled_before;
        self.state.record_read(match &polled {
            Poll::Pending => Read::Nothing,
            Poll::Ready(Ok(())) if has_bytes => Read::Bytes,
            Poll::Ready(_) => Read::Closed,
        });
        polled
    }

    /// Reads and drops what the client still sends, until it closes its side of the connection.
    fn poll_discard(&self, context: &mut Context<'_>) -> Poll<()> {
        while !self.state.is_read_closed() {
            let mut bytes = [0; DISCARD_BYTES];
            let read = self.poll_tracked_read(context, &mut ReadBuf::new(&mut bytes));
            if ready!(read).is_err() {
                break;
            }
        }
        Poll::Ready(())
    }
}

impl Drop for ClientStream {
    /// Resets the connection if its end would be taken for the end of a response that is not complete.
    fn drop(&mut self) {
        if self.state.needs_reset() {
            let _ = self.socket.0.borrow().set_zero_linger();
        }
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        match self.poll_tracked_read(context, buffer) {
            Poll::Pending if self.state.closes_now() => Poll::Ready(Ok(())),
            polled => polled,
        }
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8]) -> Poll<Result<usize>> {
        Pin::new(&mut *self.socket.0.borrow_mut()).poll_write(context, bytes)
    }

    /// The HTTP library flushes only once its own buffer has been written completely.
    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        ready!(Pin::new(&mut *self.socket.0.borrow_mut()).poll_flush(context))?;
        self.state.record_flushed();
        Poll::Ready(Ok(()))
    }

    /// Closes this side of the connection and waits until the client closes the other: a socket that is closed while
    /// bytes of the client are unread, or arrive later, resets the connection, and the client may lose the end of its
    /// response. The connection's task bounds the wait.
    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        if !self.is_shut_down {
            ready!(Pin::new(&mut *self.socket.0.borrow_mut()).poll_shutdown(context))?;
            self.is_shut_down = true;
            self.state.begin_linger();
        }
        ready!(self.poll_discard(context));
        self.state.end_linger();
        Poll::Ready(Ok(()))
    }
}
