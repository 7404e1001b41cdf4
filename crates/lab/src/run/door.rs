//! A listening socket behind a link. While the link is cut nothing may be refused and nothing accepted: the queue
//! of connections is shut and filled, so that further ones never come up, as with a machine that was cut off.

use super::stage::Shared;
use crate::target::Party;
use fennelgauge::time::{Moment, Span};
use std::net::SocketAddr;
use tokio::net::{TcpListener, TcpStream};
use tracing::warn;

/// Hundreds may connect at once.
const BACKLOG: i32 = 1_024;

pub struct Door {
    listener: TcpListener,
    at: SocketAddr,
    /// Fills the queue while it is shut.
    filler: Option<std::net::TcpStream>,
}

impl Door {
    pub async fn open(at: SocketAddr) -> Result<Self, String> {
        let listener = TcpListener::bind(at).await.map_err(|error| format!("{at}: {error}"))?;
        rustix::net::listen(&listener, BACKLOG).map_err(|error| format!("{at}: {error}"))?;
        Ok(Self { listener, at, filler: None })
    }

    fn shut(&mut self) {
        if self.filler.is_some() {
            return;
        }
        // A queue of none still takes one: the filler.
        let shut = rustix::net::listen(&self.listener, 0).map_err(std::io::Error::from);
        match shut
            .and_then(|()| std::net::TcpStream::connect_timeout(&self.at, std::time::Duration::from_secs(1)))
        {
            Ok(filler) => self.filler = Some(filler),
            // Others fill the queue already.
            Err(error) if error.kind() == std::io::ErrorKind::TimedOut => {}
            Err(error) => warn!(at = %self.at, %error, "a link could not be cut for new connections"),
        }
    }

    fn reopen(&mut self) {
        if self.filler.take().is_some() {
            if let Err(error) = rustix::net::listen(&self.listener, BACKLOG) {
                warn!(at = %self.at, %error, "a link could not be healed for new connections");
            }
        }
    }

    /// The next connection, once the link between the two lets one come up. `silent` tells whether the machine
    /// behind the door is cut off for another reason; it is asked again at least every twentieth of a second.
    pub async fn accept(
        &mut self,
        stage: &Shared,
        from: Party,
        to: Party,
        silent: impl Fn() -> bool,
    ) -> TcpStream {
        const LOOK: Span = Span::from_millis(50);
        loop {
            let now = stage.clock.now();
            let open: Moment = stage.world.borrow().timeline.links.connects(from, to, now);
            if open > now || silent() {
                self.shut();
                stage.clock.until(open.max(now + Span::from_millis(1)).min(now + LOOK)).await;
                tokio::time::sleep(std::time::Duration::from_millis(5)).await;
                continue;
            }
            self.reopen();
            let look = std::time::Duration::from_micros(LOOK.micros());
            let Ok(accepted) = tokio::time::timeout(look, self.listener.accept()).await else { continue };
            match accepted {
                Ok((stream, _)) => {
                    // The filler is at the other end of its own; it has gone, and its connection ends.
                    let _ = stream.set_nodelay(true);
                    return stream;
                }
                Err(error) => {
                    warn!(at = %self.at, %error, "not accepted");
                    tokio::time::sleep(look).await;
                }
            }
        }
    }
}
