//! The stream of a client's connection, which records what has been written and closes in an orderly way.

use std::io::Result;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::connection::ConnectionState;

/// Number of bytes that are read and dropped at once while a closed connection lingers.
const DISCARD_BYTES: usize = 4 << 10;

/// A client's connection.
pub(crate) struct ClientStream {
    stream: TcpStream,
    state: Rc<ConnectionState>,
    /// Whether this side of the connection is closed.
    is_shut_down: bool,
    /// Whether the client's end of the connection has been read.
    is_read_closed: bool,
}

impl ClientStream {
    /// Wraps an accepted connection whose state is `state`.
    pub(crate) fn new(stream: TcpStream, state: Rc<ConnectionState>) -> Self {
        Self { stream, state, is_shut_down: false, is_read_closed: false }
    }

    /// Returns the connection's state.
    pub(crate) fn state(&self) -> &Rc<ConnectionState> {
        &self.state
    }

    /// Reads and drops what the client still sends, until it closes its side of the connection.
    fn poll_discard(&mut self, context: &mut Context<'_>) -> Poll<()> {
        while !self.is_read_closed {
            let mut bytes = [0; DISCARD_BYTES];
            let mut buffer = ReadBuf::new(&mut bytes);
            let read = ready!(Pin::new(&mut self.stream).poll_read(context, &mut buffer));
            self.is_read_closed = read.is_err() || buffer.filled().is_empty();
        }
        Poll::Ready(())
    }
}

impl Drop for ClientStream {
    /// Resets the connection if its end would be taken for the end of a response that is not complete.
    fn drop(&mut self) {
        if self.state.needs_reset() {
            let _ = self.stream.set_zero_linger();
        }
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        let filled_before = buffer.filled().len();
        match Pin::new(&mut self.stream).poll_read(context, buffer) {
            Poll::Pending if self.state.closes_now() => Poll::Ready(Ok(())),
            Poll::Ready(Ok(())) => {
                self.is_read_closed = buffer.filled().len() == filled_before;
                if !self.is_read_closed {
                    self.state.record_received();
                }
                Poll::Ready(Ok(()))
            }
            other => other,
        }
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(mut self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8]) -> Poll<Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    /// The HTTP library flushes only once its own buffer has been written completely.
    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_flush(context))?;
        self.state.record_flushed();
        Poll::Ready(Ok(()))
    }

    /// Closes this side of the connection and waits until the client closes the other: a socket that is closed while
    /// bytes of the client are unread, or arrive later, resets the connection, and the client may lose the end of its
    /// response. The connection's task bounds the wait.
    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        if !self.is_shut_down {
            ready!(Pin::new(&mut self.stream).poll_shutdown(context))?;
            self.is_shut_down = true;
            self.state.begin_linger();
        }
        ready!(self.poll_discard(context));
        self.state.end_linger();
        Poll::Ready(Ok(()))
    }
}
