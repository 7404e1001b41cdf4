//! One connection: its bytes on the way in and out.

use crate::sockets::{Limiter, Moved};
use calloop::generic::Generic;
use calloop::{Interest, LoopHandle, Mode, PostAction, RegistrationToken};
use rustix::net::{AddressFamily, SocketFlags, SocketType};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::rc::Rc;

pub struct Channel {
    stream: Rc<TcpStream>,
    token: RegistrationToken,
    pub input: Vec<u8>,
    pub output: Vec<u8>,
    written: usize,
    /// More has come than was read; no further event will tell of it.
    pub stuffed: bool,
}

/// How reading left a connection.
#[derive(PartialEq, Eq)]
pub enum Filled {
    Open,
    Ended,
    Broken,
}

/// Buffers that grew beyond this for a large message give their memory back.
const KEPT: usize = 16 * 1024;
/// Room for a usual message, so that one read takes it.
const USUAL: usize = 2 * 1024;

impl Channel {
    /// Has `moved` noted whenever bytes may be read or written.
    pub fn new(handle: &LoopHandle<'static, Limiter>, stream: TcpStream, moved: Moved) -> io::Result<Self> {
        let stream = Rc::new(stream);
        let source = Generic::new(Rc::clone(&stream), Interest::BOTH, Mode::Edge);
        let inserted = handle.insert_source(source, move |_, _, limiter| {
            limiter.host.note(moved);
            Ok(PostAction::Continue)
        });
        let token = inserted.map_err(|error| io::Error::other(error.to_string()))?;
        Ok(Self { stream, token, input: Vec::new(), output: Vec::new(), written: 0, stuffed: false })
    }

    /// Begins to connect; the connection moves when it has come up or failed.
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

    /// Whether a connection that was begun has come up.
    pub fn is_up(&self) -> io::Result<bool> {
        match self.stream.take_error()? {
            Some(error) => Err(error),
            None => Ok(self.stream.peer_addr().is_ok()),
        }
    }

    /// Reads all that has come, as long as no more than `most` bytes wait to be used.
    pub fn fill(&mut self, most: usize) -> Filled {
        let room = most.saturating_sub(self.input.len());
        if self.input.capacity() - self.input.len() < USUAL / 2 {
            self.input.reserve(USUAL);
        }
        let read = (&*self.stream).take(room as u64).read_to_end(&mut self.input);
        self.stuffed = matches!(read, Ok(bytes) if bytes == room);
        match read {
            Ok(bytes) if bytes < room => Filled::Ended,
            Ok(_) => Filled::Open,
            Err(error) if error.kind() == ErrorKind::WouldBlock => Filled::Open,
            Err(_) => Filled::Broken,
        }
    }

    /// Reads over what has come, up to `most` bytes, so that an end that stands behind it is seen.
    pub fn skip(&mut self, most: usize) -> Filled {
        let (mut bytes, mut left) = ([0; KEPT], most);
        loop {
            match (&*self.stream).read(&mut bytes) {
                Ok(0) => return Filled::Ended,
                Ok(read) => left = left.saturating_sub(read),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    self.stuffed = false;
                    return Filled::Open;
                }
                Err(_) => return Filled::Broken,
            }
            if left == 0 {
                return Filled::Open;
            }
        }
    }

    /// Lets go of the first bytes of the input.
    pub fn used(&mut self, bytes: usize) {
        self.input.drain(..bytes.min(self.input.len()));
        if self.input.is_empty() && self.input.capacity() > KEPT {
            self.input = Vec::new();
        }
    }

    /// Writes what the other side takes now; true once nothing is left.
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
        if self.output.capacity() > KEPT {
            self.output = Vec::new();
        }
        Ok(true)
    }

    /// Bytes that are not written yet.
    pub fn unwritten(&self) -> usize {
        self.output.len() - self.written
    }

    /// Ends the sending; the other side may finish its own.
    pub fn end(&self) {
        // Fails only where the other side is gone, which reading tells.
        let _ = self.stream.shutdown(Shutdown::Write);
    }

    pub fn close(self, handle: &LoopHandle<'static, Limiter>) {
        handle.remove(self.token);
    }
}
