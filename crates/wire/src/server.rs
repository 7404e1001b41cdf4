//! The server side: accepts connections and answers the calls that arrive on them.

use std::cell::Cell;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::BufReader;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::{sleep, Instant};

use crate::calls::{write_frames, OutgoingFrame};
use crate::frame::{encode_frame, read_frame};
use crate::messages::{CallMessage, Reply, Request};

/// Pause after a failed accept. Keeps the loop from spinning while the process is out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// How often the end of the replies' writing is looked for.
const REPLY_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// Counts replies that are complete but not all written to their connections. Clones share the count.
#[derive(Clone, Debug, Default)]
pub struct UnwrittenReplies {
    count: Rc<Cell<usize>>,
}

impl UnwrittenReplies {
    /// Waits until all complete replies are written, at most until `until`. Calls that have no reply yet, such as those
    /// that wait for news, are not waited for: their callers learn from the closed connection that they get none.
    pub async fn wait_until_written(&self, until: Instant) {
        while self.count.get() > 0 && Instant::now() < until {
            sleep(REPLY_CHECK_INTERVAL).await;
        }
    }

    fn begin(&self) -> UnwrittenReply {
        self.count.set(self.count.get() + 1);
        UnwrittenReply(self.clone())
    }
}

/// Counts one reply until it is dropped.
pub(crate) struct UnwrittenReply(UnwrittenReplies);

impl Drop for UnwrittenReply {
    fn drop(&mut self) {
        self.0.count.set(self.0.count.get().saturating_sub(1));
    }
}

/// Accepts connections on `listener` and answers their calls with `handler`; never returns. Each call runs in a task of its
/// own, so replies may leave in another order than the requests came in. Counts the replies that are not written in `replies`. Must run within a `LocalSet`.
pub async fn serve<H, F>(listener: TcpListener, replies: UnwrittenReplies, handler: H)
where
    H: Fn(Request) -> F + 'static,
    F: Future<Output = Reply> + 'static,
{
    let handler = Rc::new(handler);
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::task::spawn_local(serve_connection(stream, replies.clone(), handler.clone()));
            }
            Err(error) => {
                log::warn!("failed to accept a connection from a peer, will retry: {error}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Answers the calls of one connection until it fails or the peer closes it.
async fn serve_connection<H, F>(stream: TcpStream, replies: UnwrittenReplies, handler: Rc<H>)
where
    H: Fn(Request) -> F + 'static,
    F: Future<Output = Reply> + 'static,
{
    let _ = stream.set_nodelay(true);
    let (read, write) = stream.into_split();
    let (outgoing, frames) = mpsc::unbounded_channel();
    let writer = tokio::task::spawn_local(write_frames(write, frames));
    let mut read = BufReader::new(read);
    loop {
        let CallMessage { call_id, body } = match read_frame::<CallMessage<Request>>(&mut read).await {
            Ok(request) => request,
            Err(error) => {
                log::debug!("closing an incoming connection: {error}");
                break;
            }
        };
        let reply = handler(body);
        let (outgoing, replies) = (outgoing.clone(), replies.clone());
        tokio::task::spawn_local(async move {
            let message = CallMessage { call_id, body: reply.await };
            let unwritten = replies.begin();
            let _ =
                outgoing.send(OutgoingFrame { bytes: encode_frame(&message), _unwritten: Some(unwritten) });
        });
    }
    drop(outgoing);
    writer.abort();
}
