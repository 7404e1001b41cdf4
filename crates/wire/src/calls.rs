//! The calling side: one connection a peer, opened when needed, given up when a call on it finds no answer and nothing
//! else came meanwhile.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{timeout, Instant};

use crate::frame::{framed, read_frame};
use crate::messages::{Reply, Request, Tagged};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);

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

/// Calls peers.
#[derive(Clone, Default)]
pub struct Caller {
    connections: Rc<RefCell<HashMap<SocketAddr, Rc<Connection>>>>,
    opening: Rc<RefCell<HashMap<SocketAddr, Rc<tokio::sync::Mutex<()>>>>>,
}

struct Connection {
    outgoing: mpsc::UnboundedSender<Vec<u8>>,
    waiting: RefCell<HashMap<u64, oneshot::Sender<Reply>>>,
    next: Cell<u64>,
    heard: Cell<Instant>,
    closed: Cell<bool>,
}

impl Caller {
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
        let (number, answer) = connection.send(request).map_err(|()| CallError::NotSent(peer))?;
        let left = within.saturating_sub(began.elapsed());
        match timeout(left, answer).await {
            Ok(Ok(reply)) => Ok(reply),
            Ok(Err(_)) => Err(CallError::NoAnswer(peer)),
            Err(_) => {
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
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(peer)).await.ok()?.ok()?;
        stream.set_nodelay(true).ok()?;
        let connection = self.start(peer, stream);
        self.connections.borrow_mut().insert(peer, connection.clone());
        Some(connection)
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
    fn send(&self, request: Request) -> Result<(u64, oneshot::Receiver<Reply>), ()> {
        let number = self.next.get();
        self.next.set(number + 1);
        let frame = framed(&Tagged { number, body: request });
        let (sender, answer) = oneshot::channel();
        self.waiting.borrow_mut().insert(number, sender);
        self.outgoing.send(frame).map_err(|_| ())?;
        Ok((number, answer))
    }
}

async fn read_replies(read: OwnedReadHalf, connection: &Connection) {
    let mut read = BufReader::new(read);
    loop {
        match read_frame::<Tagged<Reply>>(&mut read).await {
            Ok(reply) => {
                connection.heard.set(Instant::now());
                if let Some(waiting) = connection.waiting.borrow_mut().remove(&reply.number) {
                    let _ = waiting.send(reply.body);
                }
            }
            Err(reason) => return log::debug!("calls: {reason}"),
        }
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
