//! A non-blocking TCP connection with its input and output buffers.

use crate::sockets::{Limiter, Moved};
use calloop::generic::Generic;
use calloop::{Interest, LoopHandle, Mode, PostAction, RegistrationToken};
use rustix::net::{AddressFamily, SocketFlags, SocketType};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::rc::Rc;

/// A TCP connection that is registered with the event loop.
pub struct Channel {
    stream: Rc<TcpStream>,
    token: RegistrationToken,
    /// Bytes received and not consumed yet.
    pub input: Vec<u8>,
    /// Bytes to send; [`Self::flush`] clears them once all are written.
    pub output: Vec<u8>,
    /// Number of bytes of `output` that are written.
    written: usize,
    /// The last read stopped at its limit, so more data may wait, for which the edge-triggered event loop sends no
    /// event.
    pub may_have_more: bool,
}

/// State of a connection after a read.
#[derive(PartialEq, Eq)]
pub enum ReadOutcome {
    /// The peer may send more.
    Open,
    /// The peer has finished sending.
    Eof,
    /// The connection failed.
    Failed,
}

/// An empty buffer with more capacity than this, in bytes, is released.
const MAX_RETAINED_CAPACITY: usize = 16 * 1024;
/// Buffer space, in bytes, with which a typical message is received in one read.
const TYPICAL_MESSAGE_BYTES: usize = 2 * 1024;

impl Channel {
    /// Registers a connected stream: `moved` is noted whenever it becomes readable or writable. Errs if registration
    /// fails.
    pub fn new(handle: &LoopHandle<'static, Limiter>, stream: TcpStream, moved: Moved) -> io::Result<Self> {
        let stream = Rc::new(stream);
        let source = Generic::new(Rc::clone(&stream), Interest::BOTH, Mode::Edge);
        let inserted = handle.insert_source(source, move |_, _, limiter| {
            limiter.host.note(moved);
            Ok(PostAction::Continue)
        });
        let token = inserted.map_err(|error| io::Error::other(error.to_string()))?;
        Ok(Self { stream, token, input: Vec::new(), output: Vec::new(), written: 0, may_have_more: false })
    }

    /// Starts to connect to `address`; `moved` is noted when the connection is established or has failed.
    pub fn connect(
        handle: &LoopHandle<'static, Limiter>,
        address: SocketAddr,
        moved: Moved,
    ) -> io::Result<Self> {
        let family = if address.is_ipv4() { AddressFamily::INET } else { AddressFamily::INET6 };
        let flags = SocketFlags::NONBLOCK | SocketFlags::CLOEXEC;
        let socket = rustix::net::socket_with(family, SocketType::STREAM, flags, None)?;
        match rustix::net::connect(&socket, &address) {
            Ok(()) | Err(rustix::io::Errno::INPROGRESS) => {}
            Err(error) => return Err(error.into()),
        }
        let stream = TcpStream::from(socket);
        stream.set_nodelay(true)?;
        Self::new(handle, stream, moved)
    }

    /// Returns whether the connection is established. Errs if it failed.
    pub fn is_up(&self) -> io::Result<bool> {
        match self.stream.take_error()? {
            Some(error) => Err(error),
            None => Ok(self.stream.peer_addr().is_ok()),
        }
    }

    /// Reads available bytes into `input`, up to a total of `max_bytes` there.
    pub fn fill(&mut self, max_bytes: usize) -> ReadOutcome {
        let room = max_bytes.saturating_sub(self.input.len());
        if self.input.capacity() - self.input.len() < TYPICAL_MESSAGE_BYTES / 2 {
            self.input.reserve(TYPICAL_MESSAGE_BYTES);
        }
        let read = (&*self.stream).take(room as u64).read_to_end(&mut self.input);
        self.may_have_more = matches!(read, Ok(bytes) if bytes == room);
        match read {
            Ok(bytes) if bytes < room => ReadOutcome::Eof,
            Ok(_) => ReadOutcome::Open,
            Err(error) if error.kind() == ErrorKind::WouldBlock => ReadOutcome::Open,
            Err(_) => ReadOutcome::Failed,
        }
    }

    /// Reads and discards up to about `max_bytes` bytes, in order to notice whether the peer has closed the connection.
    pub fn skip(&mut self, max_bytes: usize) -> ReadOutcome {
        let (mut bytes, mut left) = ([0; MAX_RETAINED_CAPACITY], max_bytes);
        loop {
            match (&*self.stream).read(&mut bytes) {
                Ok(0) => return ReadOutcome::Eof,
                Ok(read) => left = left.saturating_sub(read),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    self.may_have_more = false;
                    return ReadOutcome::Open;
                }
                Err(_) => return ReadOutcome::Failed,
            }
            if left == 0 {
                return ReadOutcome::Open;
            }
        }
    }

    /// Removes the first `bytes` bytes of the input.
    pub fn consume(&mut self, bytes: usize) {
        self.input.drain(..bytes.min(self.input.len()));
        if self.input.is_empty() && self.input.capacity() > MAX_RETAINED_CAPACITY {
            self.input = Vec::new();
        }
    }

    /// Writes as much of the output as possible and returns whether all of it is written. Errs if the connection
    /// failed.
    pub fn flush(&mut self) -> io::Result<bool> {
        while self.written < self.output.len() {
            match (&*self.stream).write(&self.output[self.written..]) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(bytes) => self.written += bytes,
                Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(false),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        self.output.clear();
        self.written = 0;
        if self.output.capacity() > MAX_RETAINED_CAPACITY {
            self.output = Vec::new();
        }
        Ok(true)
    }

    /// Returns the number of output bytes that are not written yet.
    pub fn unwritten(&self) -> usize {
        self.output.len() - self.written
    }

    /// Closes the sending direction; the peer may still send.
    pub fn shutdown_write(&self) {
        // Errs only if the peer is gone, which reading detects.
        let _ = self.stream.shutdown(Shutdown::Write);
    }

    /// Unregisters and closes the connection.
    pub fn close(self, handle: &LoopHandle<'static, Limiter>) {
        handle.remove(self.token);
    }
}
