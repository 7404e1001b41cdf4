//! The client side: one connection per peer, opened on the first call to it. A connection is closed when a call on it times
//! out and no reply to any other call has arrived since that call began. A reply of which a part has arrived extends the
//! time limit of the call.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWriteExt, BufReader, ReadBuf};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{timeout, timeout_at, Instant};

use crate::frame::{encode_frame, read_frame};
use crate::messages::{CallMessage, Reply, Request};
use crate::server::UnwrittenReply;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);
/// A partially received reply counts as still arriving for this long after its latest bytes.
const PARTIAL_REPLY_TIMEOUT: Duration = Duration::from_millis(400);
/// Upper bound of a call's duration while its reply keeps arriving, as a multiple of the call's time limit.
const MAX_TIME_LIMIT_MULTIPLE: u32 = 5;

/// A connection whose peer accepts no byte for this long is closed: a frozen peer would hold it, and what waits to be written,
/// for as long as it is frozen.
const WRITE_STALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Why a call has no reply.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// The request did not reach the peer, so it was certainly not executed.
    #[error("{0} could not be reached: check that its process is running and the network is up")]
    NotSent(SocketAddr),
    /// The request was handed to the connection and no reply came: the peer may have executed it.
    #[error("no reply from {0}: the request may have been executed")]
    NoReply(SocketAddr),
}

/// Totals of a [`Caller`] and all its clones since it was created.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallStats {
    /// Requests handed to a connection.
    pub calls: u64,
    /// Bytes of these requests, with their frame headers.
    pub bytes: u64,
}

/// Calls other processes. Clones share their connections. Must be used within a `LocalSet`.
#[derive(Clone, Default)]
pub struct Caller {
    connections: Rc<RefCell<HashMap<SocketAddr, Rc<Connection>>>>,
    /// Lock per peer that keeps concurrent calls from opening more than one connection to it.
    connect_locks: Rc<RefCell<HashMap<SocketAddr, Rc<tokio::sync::Mutex<()>>>>>,
    /// Local IP address of outgoing connections; `None` leaves the choice to the operating system.
    source_ip: Option<IpAddr>,
    stats: Rc<Cell<CallStats>>,
}

struct Connection {
    /// Encoded requests for the writer; an empty frame tells it to stop.
    outgoing: mpsc::UnboundedSender<OutgoingFrame>,
    /// Calls without a reply, by call id.
    pending: RefCell<HashMap<u64, oneshot::Sender<Reply>>>,
    next_call_id: Cell<u64>,
    /// When the latest complete reply arrived; when the connection was opened if there was none.
    last_reply_at: Cell<Instant>,
    /// When the latest bytes of a partially received reply arrived; `None` between replies.
    partial_reply_at: Rc<Cell<Option<Instant>>>,
    closed: Cell<bool>,
}

impl Caller {
    /// Creates a caller whose connections are bound to the local address `source_ip`, if one is given.
    pub fn with_source(source_ip: Option<IpAddr>) -> Self {
        Self { source_ip, ..Self::default() }
    }

    /// Returns the totals of this caller and all its clones.
    pub fn stats(&self) -> CallStats {
        self.stats.get()
    }

    /// Sends a request to a peer and waits for the reply: at most for `time_limit`, or for five times as long while parts
    /// of a reply keep arriving.
    pub async fn call(
        &self,
        peer: SocketAddr,
        request: Request,
        time_limit: Duration,
    ) -> Result<Reply, CallError> {
        let started = Instant::now();
        let connection = match timeout(time_limit, self.get_or_connect(peer)).await {
            Ok(Some(connection)) => connection,
            _ => return Err(CallError::NotSent(peer)),
        };
        let (call_id, reply, frame_bytes) =
            connection.send(request).map_err(|()| CallError::NotSent(peer))?;
        let CallStats { calls, bytes } = self.stats.get();
        self.stats.set(CallStats { calls: calls + 1, bytes: bytes + frame_bytes as u64 });
        let _pending = PendingCall { connection: &connection, call_id };
        match connection.wait_for_reply(reply, started, time_limit).await {
            Some(Ok(reply)) => Ok(reply),
            Some(Err(_)) => Err(CallError::NoReply(peer)),
            None => {
                if connection.last_reply_at.get() < started {
                    self.close(peer, &connection);
                }
                Err(CallError::NoReply(peer))
            }
        }
    }

    /// Returns the open connection to a peer, or opens one; `None` if the peer can't be connected to.
    async fn get_or_connect(&self, peer: SocketAddr) -> Option<Rc<Connection>> {
        if let Some(open) = self.open_connection(peer) {
            return Some(open);
        }
        let connect_lock = self.connect_locks.borrow_mut().entry(peer).or_default().clone();
        let _guard = connect_lock.lock().await;
        // Another call may have connected while this one waited for the lock.
        if let Some(open) = self.open_connection(peer) {
            return Some(open);
        }
        let stream = timeout(CONNECT_TIMEOUT, self.connect(peer)).await.ok()?.ok()?;
        stream.set_nodelay(true).ok()?;
        let connection = self.start(peer, stream);
        self.connections.borrow_mut().insert(peer, connection.clone());
        Some(connection)
    }

    async fn connect(&self, peer: SocketAddr) -> std::io::Result<TcpStream> {
        let Some(source_ip) = self.source_ip else { return TcpStream::connect(peer).await };
        let socket = if source_ip.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
        socket.bind(SocketAddr::new(source_ip, 0))?;
        socket.connect(peer).await
    }

    fn open_connection(&self, peer: SocketAddr) -> Option<Rc<Connection>> {
        self.connections.borrow().get(&peer).filter(|connection| !connection.closed.get()).cloned()
    }

    /// Starts the task that reads and writes a new connection until either direction fails.
    fn start(&self, peer: SocketAddr, stream: TcpStream) -> Rc<Connection> {
        let (read, write) = stream.into_split();
        let (outgoing, frames) = mpsc::unbounded_channel();
        let connection = Rc::new(Connection {
            outgoing,
            pending: RefCell::new(HashMap::new()),
            next_call_id: Cell::new(0),
            last_reply_at: Cell::new(Instant::now()),
            partial_reply_at: Rc::default(),
            closed: Cell::new(false),
        });
        let caller = self.clone();
        let task_connection = connection.clone();
        tokio::task::spawn_local(async move {
            tokio::select! {
                () = read_replies(read, &task_connection) => {}
                () = write_frames(write, frames) => {}
            }
            caller.close(peer, &task_connection);
        });
        connection
    }

    /// Closes a connection; its pending calls fail with [`CallError::NoReply`].
    fn close(&self, peer: SocketAddr, connection: &Rc<Connection>) {
        connection.closed.set(true);
        connection.pending.borrow_mut().clear();
        let _ = connection.outgoing.send(OutgoingFrame::default());
        let mut connections = self.connections.borrow_mut();
        if connections.get(&peer).is_some_and(|current| Rc::ptr_eq(current, connection)) {
            connections.remove(&peer);
        }
    }
}

impl Connection {
    /// Waits for a reply; `None` when the time is up. The time is extended while a reply, to this or another call, is
    /// partially received, since replies arrive one after the other.
    async fn wait_for_reply(
        &self,
        mut reply: oneshot::Receiver<Reply>,
        started: Instant,
        time_limit: Duration,
    ) -> Option<Result<Reply, oneshot::error::RecvError>> {
        let mut deadline = started + time_limit;
        loop {
            if let Ok(received) = timeout_at(deadline, &mut reply).await {
                return Some(received);
            }
            let extended = self.partial_reply_at.get().map(|at| at + PARTIAL_REPLY_TIMEOUT);
            deadline = extended
                .filter(|extended| *extended > deadline)?
                .min(started + time_limit * MAX_TIME_LIMIT_MULTIPLE);
            if deadline <= Instant::now() {
                return None;
            }
        }
    }

    /// Queues a request for the writer. Returns its call id, the receiver of its reply and the size of its frame in bytes;
    /// errs if the connection's task has ended.
    fn send(&self, request: Request) -> Result<(u64, oneshot::Receiver<Reply>, usize), ()> {
        let call_id = self.next_call_id.get();
        self.next_call_id.set(call_id + 1);
        let frame = encode_frame(&CallMessage { call_id, body: request });
        let frame_bytes = frame.len();
        let (sender, reply) = oneshot::channel();
        self.pending.borrow_mut().insert(call_id, sender);
        self.outgoing.send(OutgoingFrame { bytes: frame, _unwritten: None }).map_err(|_| ())?;
        Ok((call_id, reply, frame_bytes))
    }
}

/// Forgets a call when its caller no longer waits, also if that is dropped: its reply is then read and discarded.
struct PendingCall<'connection> {
    connection: &'connection Connection,
    call_id: u64,
}

impl Drop for PendingCall<'_> {
    fn drop(&mut self) {
        self.connection.pending.borrow_mut().remove(&self.call_id);
    }
}

/// Passes replies to their pending calls until the connection fails. A reply to a call that was abandoned is dropped.
async fn read_replies(read: OwnedReadHalf, connection: &Connection) {
    let mut read = BufReader::new(ActivityReader { read, last_read_at: connection.partial_reply_at.clone() });
    loop {
        match read_frame::<CallMessage<Reply>>(&mut read).await {
            Ok(reply) => {
                if read.buffer().is_empty() {
                    connection.partial_reply_at.set(None);
                }
                connection.last_reply_at.set(Instant::now());
                if let Some(pending) = connection.pending.borrow_mut().remove(&reply.call_id) {
                    let _ = pending.send(reply.body);
                }
            }
            Err(error) => return log::debug!("closing an outgoing connection: {error}"),
        }
    }
}

/// Records when bytes were last read.
struct ActivityReader<R> {
    read: R,
    last_read_at: Rc<Cell<Option<Instant>>>,
}

impl<R: AsyncRead + Unpin> AsyncRead for ActivityReader<R> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        let polled = Pin::new(&mut self.read).poll_read(context, buffer);
        if polled.is_ready() {
            self.last_read_at.set(Some(Instant::now()));
        }
        polled
    }
}

/// A frame on its way to the writer of a connection.
#[derive(Default)]
pub(crate) struct OutgoingFrame {
    /// The encoded frame; empty to stop the writer.
    pub bytes: Vec<u8>,
    /// Counts a reply until the frame is written or dropped.
    pub _unwritten: Option<UnwrittenReply>,
}

/// Writes queued frames until the connection fails or stalls, the queue is closed or an empty frame arrives. Frames that are already
/// queued are written together.
pub(crate) async fn write_frames(
    mut write: OwnedWriteHalf,
    mut frames: mpsc::UnboundedReceiver<OutgoingFrame>,
) {
    while let Some(first) = frames.recv().await {
        let mut batch = vec![first];
        while let Ok(next) = frames.try_recv() {
            batch.push(next);
        }
        let stop = batch.iter().any(|frame| frame.bytes.is_empty());
        let bytes = match batch.as_mut_slice() {
            [only] => std::mem::take(&mut only.bytes),
            several => several.iter().map(|frame| frame.bytes.as_slice()).collect::<Vec<_>>().concat(),
        };
        if stop || write_while_accepted(&mut write, &bytes).await.is_err() {
            return;
        }
    }
}

/// Writes all bytes. Errs if the connection fails, or if the peer accepts none for [`WRITE_STALL_TIMEOUT`].
async fn write_while_accepted(write: &mut OwnedWriteHalf, bytes: &[u8]) -> io::Result<()> {
    let mut unwritten = bytes;
    while !unwritten.is_empty() {
        match timeout(WRITE_STALL_TIMEOUT, write.write(unwritten)).await?? {
            0 => return Err(io::ErrorKind::WriteZero.into()),
            written => unwritten = &unwritten[written..],
        }
    }
    Ok(())
}
