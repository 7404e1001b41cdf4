//! The calling side: one connection a peer, opened when needed, given up when a call on it finds no answer and nothing
//! else came meanwhile. An answer that has begun to come is waited for longer.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
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

use crate::frame::{framed, read_frame};
use crate::messages::{CallMessage, Reply, Request};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);
/// An answer of which something came within this time is still coming.
const STILL_COMING: Duration = Duration::from_millis(400);
/// It is waited for so many times as long as others at most.
const LONGEST_TIMES: u32 = 5;

/// Why a call has no answer.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// The peer has not got the request.
    #[error("{0} cannot be reached: check that its process runs and the link is up")]
    NotSent(SocketAddr),
    /// The peer may have got the request.
    #[error("{0} gave no answer: what was asked may have happened")]
    NoAnswer(SocketAddr),
}

/// What was sent since the beginning.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallStats {
    pub calls: u64,
    pub bytes: u64,
}

/// Calls peers.
#[derive(Clone, Default)]
pub struct Caller {
    connections: Rc<RefCell<HashMap<SocketAddr, Rc<Connection>>>>,
    opening: Rc<RefCell<HashMap<SocketAddr, Rc<tokio::sync::Mutex<()>>>>>,
    /// The address that calls leave from; none where the system may choose.
    source: Option<IpAddr>,
    stats: Rc<Cell<CallStats>>,
}

struct Connection {
    outgoing: mpsc::UnboundedSender<Vec<u8>>,
    waiting: RefCell<HashMap<u64, oneshot::Sender<Reply>>>,
    next: Cell<u64>,
    heard: Cell<Instant>,
    /// Since when nothing more came of an answer that has begun; none between answers.
    coming: Rc<Cell<Option<Instant>>>,
    closed: Cell<bool>,
}

impl Caller {
    /// Calls that leave from an address.
    pub fn with_source(source: Option<IpAddr>) -> Self {
        Self { source, ..Self::default() }
    }

    /// What was sent by this and all its clones.
    pub fn stats(&self) -> CallStats {
        self.stats.get()
    }

    /// Asks a peer, for at most `within`.
    pub async fn call(
        &self,
        peer: SocketAddr,
        request: Request,
        within: Duration,
    ) -> Result<Reply, CallError> {
        let began = Instant::now();
        let connection = match timeout(within, self.connection(peer)).await {
            Ok(Some(connection)) => connection,
            _ => return Err(CallError::NotSent(peer)),
        };
        let (number, answer, bytes) = connection.send(request).map_err(|()| CallError::NotSent(peer))?;
        let CallStats { calls, bytes: before } = self.stats.get();
        self.stats.set(CallStats { calls: calls + 1, bytes: before + bytes as u64 });
        match connection.answered(answer, began, within).await {
            Some(Ok(reply)) => Ok(reply),
            Some(Err(_)) => Err(CallError::NoAnswer(peer)),
            None => {
                connection.waiting.borrow_mut().remove(&number);
                if connection.heard.get() < began {
                    self.give_up(peer, &connection);
                }
                Err(CallError::NoAnswer(peer))
            }
        }
    }

    async fn connection(&self, peer: SocketAddr) -> Option<Rc<Connection>> {
        if let Some(open) = self.open_connection(peer) {
            return Some(open);
        }
        let turn = self.opening.borrow_mut().entry(peer).or_default().clone();
        let _turn = turn.lock().await;
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
        let Some(source) = self.source else { return TcpStream::connect(peer).await };
        let socket = if source.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
        socket.bind(SocketAddr::new(source, 0))?;
        socket.connect(peer).await
    }

    fn open_connection(&self, peer: SocketAddr) -> Option<Rc<Connection>> {
        self.connections.borrow().get(&peer).filter(|connection| !connection.closed.get()).cloned()
    }

    fn start(&self, peer: SocketAddr, stream: TcpStream) -> Rc<Connection> {
        let (read, write) = stream.into_split();
        let (outgoing, queue) = mpsc::unbounded_channel();
        let connection = Rc::new(Connection {
            outgoing,
            waiting: RefCell::new(HashMap::new()),
            next: Cell::new(0),
            heard: Cell::new(Instant::now()),
            coming: Rc::default(),
            closed: Cell::new(false),
        });
        let caller = self.clone();
        let reading = connection.clone();
        tokio::task::spawn_local(async move {
            tokio::select! {
                () = read_replies(read, &reading) => {}
                () = write_frames(write, queue) => {}
            }
            caller.give_up(peer, &reading);
        });
        connection
    }

    fn give_up(&self, peer: SocketAddr, connection: &Rc<Connection>) {
        connection.closed.set(true);
        connection.waiting.borrow_mut().clear();
        let _ = connection.outgoing.send(Vec::new());
        let mut connections = self.connections.borrow_mut();
        if connections.get(&peer).is_some_and(|present| Rc::ptr_eq(present, connection)) {
            connections.remove(&peer);
        }
    }
}

impl Connection {
    /// The answer, or none when the time is up and nothing is coming.
    async fn answered(
        &self,
        mut answer: oneshot::Receiver<Reply>,
        began: Instant,
        within: Duration,
    ) -> Option<Result<Reply, oneshot::error::RecvError>> {
        let mut until = began + within;
        loop {
            if let Ok(answered) = timeout_at(until, &mut answer).await {
                return Some(answered);
            }
            let still_coming = self.coming.get().map(|at| at + STILL_COMING);
            until = still_coming.filter(|next| *next > until)?.min(began + within * LONGEST_TIMES);
            if until <= Instant::now() {
                return None;
            }
        }
    }

    /// Hands a call over; gives its number, its answer to come, and its bytes.
    fn send(&self, request: Request) -> Result<(u64, oneshot::Receiver<Reply>, usize), ()> {
        let number = self.next.get();
        self.next.set(number + 1);
        let frame = framed(&CallMessage { call_id: number, body: request });
        let bytes = frame.len();
        let (sender, answer) = oneshot::channel();
        self.waiting.borrow_mut().insert(number, sender);
        self.outgoing.send(frame).map_err(|_| ())?;
        Ok((number, answer, bytes))
    }
}

async fn read_replies(read: OwnedReadHalf, connection: &Connection) {
    let mut read = BufReader::new(Noting { read, coming: connection.coming.clone() });
    loop {
        match read_frame::<CallMessage<Reply>>(&mut read).await {
            Ok(reply) => {
                if read.buffer().is_empty() {
                    connection.coming.set(None);
                }
                connection.heard.set(Instant::now());
                if let Some(waiting) = connection.waiting.borrow_mut().remove(&reply.call_id) {
                    let _ = waiting.send(reply.body);
                }
            }
            Err(reason) => return log::debug!("calls: {reason}"),
        }
    }
}

/// Notes when something came.
struct Noting<R> {
    read: R,
    coming: Rc<Cell<Option<Instant>>>,
}

impl<R: AsyncRead + Unpin> AsyncRead for Noting<R> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        let polled = Pin::new(&mut self.read).poll_read(context, buffer);
        if polled.is_ready() {
            self.coming.set(Some(Instant::now()));
        }
        polled
    }
}

/// Writes frames until the connection fails or an empty frame asks for its end.
pub(crate) async fn write_frames(mut write: OwnedWriteHalf, mut queue: mpsc::UnboundedReceiver<Vec<u8>>) {
    while let Some(mut frame) = queue.recv().await {
        let mut ends = frame.is_empty();
        while let Ok(more) = queue.try_recv() {
            ends |= more.is_empty();
            frame.extend_from_slice(&more);
        }
        if ends || write.write_all(&frame).await.is_err() {
            return;
        }
    }
}
