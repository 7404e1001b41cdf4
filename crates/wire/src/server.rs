//! The answering side.

use std::future::Future;
use std::rc::Rc;

use tokio::io::BufReader;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

use crate::calls::write_frames;
use crate::frame::{framed, read_frame};
use crate::messages::{CallMessage, Reply, Request};

/// Answers calls on `listener` without end; each call runs on its own.
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
                tokio::task::spawn_local(async move { answer(stream, handler).await });
            }
            Err(reason) => {
                log::warn!("calls cannot be taken in: {reason}");
                tokio::time::sleep(std::time::Duration::from_millis(50)).await;
            }
        }
    }
}

async fn answer<H, F>(stream: TcpStream, handler: Rc<H>)
where
    H: Fn(Request) -> F + 'static,
    F: Future<Output = Reply> + 'static,
{
    let _ = stream.set_nodelay(true);
    let (read, write) = stream.into_split();
    let (outgoing, queue) = mpsc::unbounded_channel();
    let writer = tokio::task::spawn_local(write_frames(write, queue));
    let mut read = BufReader::new(read);
    loop {
        let CallMessage { call_id: number, body } = match read_frame::<CallMessage<Request>>(&mut read).await
        {
            Ok(request) => request,
            Err(reason) => {
                log::debug!("a caller's connection: {reason}");
                break;
            }
        };
        let answer = handler(body);
        let outgoing = outgoing.clone();
        tokio::task::spawn_local(async move {
            let frame = framed(&CallMessage { call_id: number, body: answer.await });
            let _ = outgoing.send(frame);
        });
    }
    drop(outgoing);
    writer.abort();
}
