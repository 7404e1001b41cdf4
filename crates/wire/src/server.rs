//! The server side: accepts connections and answers the calls that arrive on them.

use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::BufReader;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

use crate::calls::write_frames;
use crate::frame::{encode_frame, read_frame};
use crate::messages::{CallMessage, Reply, Request};

/// Pause after a failed accept. Keeps the loop from spinning while the process is out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts connections on `listener` and answers their calls with `handler`; never returns. Each call runs in a task of its
/// own, so replies may leave in another order than the requests came in. Must run within a `LocalSet`.
pub async fn serve<H, F>(listener: TcpListener, handler: H)
where
    H: Fn(Request) -> F + 'static,
    F: Future<Output = Reply> + 'static,
{
    let handler = Rc::new(handler);
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let handler = handler.clone();
                tokio::task::spawn_local(async move { serve_connection(stream, handler).await });
            }
            Err(error) => {
                log::warn!("failed to accept a connection from a peer, will retry: {error}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Answers the calls of one connection until it fails or the peer closes it.
async fn serve_connection<H, F>(stream: TcpStream, handler: Rc<H>)
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
        let outgoing = outgoing.clone();
        tokio::task::spawn_local(async move {
            let frame = encode_frame(&CallMessage { call_id, body: reply.await });
            let _ = outgoing.send(frame);
        });
    }
    drop(outgoing);
    writer.abort();
}
