//! The stream of a client's connection, which records what has been written.

use std::io::Result;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::connection::ConnectionState;

/// A client's connection.
pub(crate) struct ClientStream {
    stream: TcpStream,
    state: Rc<ConnectionState>,
}

impl ClientStream {
    /// Wraps an accepted connection whose state is `state`.
    pub(crate) fn new(stream: TcpStream, state: Rc<ConnectionState>) -> Self {
        Self { stream, state }
    }

    /// Returns the connection's state.
    pub(crate) fn state(&self) -> &Rc<ConnectionState> {
        &self.state
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
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

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
