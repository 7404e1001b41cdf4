//! The servers' side of a real play: doors, connections, and the work that all of them do.

use super::door::Door;
use super::http::{self, Reader};
use super::stage::{ServerLife, Shared};
use crate::record::{Event, RelayOver};
use crate::stand::server::{RelayNumber, Taken};
use crate::target::Party;
use crate::world::Reach;
use fennelgauge::host::ServerId;
use fennelgauge::time::{Moment, Span};
use std::cell::Cell;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::{oneshot, watch};
use tracing::warn;

/// Takes connections of one class of gateways to one server, for as long as the play lasts.
pub async fn door(stage: Shared, server: ServerId, class: usize, member: u32) {
    let Some(mut life) = stage.lives.borrow().get(&server).map(watch::Sender::subscribe) else { return };
    let at = stage.net.server(server, class);
    let party = stage.world.borrow().party(server);
    loop {
        if life.wait_for(|life| life.up).await.is_err() {
            return;
        }
        let mut door = match Door::open(at).await {
            Ok(door) => door,
            Err(error) => {
                warn!(server, error, "a server cannot listen");
                return;
            }
        };
        let silent = {
            let life = life.clone();
            move || life.borrow().silent
        };
        // A class stands for gateways that no link fault tells apart: any member's link is theirs.
        let from = Party::Gateway(member);
        loop {
            let stream = tokio::select! {
                stream = door.accept(&stage, from, party, &silent) => stream,
                gone = life.wait_for(|life| !life.up) => {
                    if gone.is_err() {
                        return;
                    }
                    // Its listener goes with the process: further connections are refused.
                    break;
                }
            };
            let (stage, life) = (stage.clone(), life.clone());
            tokio::task::spawn_local(connection(stage, server, stream, life, from));
        }
    }
}

/// How a connection ended for the server.
enum Ended {
    /// Its gateway has closed it, or sent what cannot be read.
    Closed,
    /// It is reset.
    Reset,
}

async fn connection(
    stage: Shared,
    server: ServerId,
    mut stream: TcpStream,
    mut life: watch::Receiver<ServerLife>,
    member: Party,
) {
    let (turn, since) = (life.borrow_and_update().turn, stage.clock.now());
    let has_room = with_model(&stage, server, turn, |model| model.connects()).unwrap_or(false);
    let ended = tokio::select! {
        ended = serve(&stage, server, &mut stream, turn, since, member, has_room) => ended,
        // Its process has died or begun anew; a machine that fell silent only says nothing more.
        _ = life.wait_for(|life| life.turn != turn) => Ended::Reset,
    };
    if matches!(ended, Ended::Reset) {
        let _ = stream.set_zero_linger();
    }
    with_model(&stage, server, turn, |model| model.disconnects());
}

/// The server's model, if its process is still that of the turn.
fn with_model<T>(
    stage: &Shared,
    server: ServerId,
    turn: u64,
    act: impl FnOnce(&mut crate::stand::server::Server) -> T,
) -> Option<T> {
    let same = stage.lives.borrow().get(&server).is_some_and(|life| life.borrow().turn == turn);
    let mut world = stage.world.borrow_mut();
    world.servers.get_mut(&server).filter(|_| same).map(|known| act(&mut known.model))
}

/// Ends a relay's record also where the connection's task is dropped.
struct Out<'a> {
    stage: &'a Shared,
    server: ServerId,
    turn: u64,
    job: u64,
    relay: RelayNumber,
    over: Cell<bool>,
}

impl Out<'_> {
    fn over(&self, how: RelayOver) {
        if !self.over.replace(true) {
            self.stage.put(Event::RelayOver { job: self.job, server: self.server, how });
        }
    }
}

impl Drop for Out<'_> {
    fn drop(&mut self) {
        self.stage.waiting.borrow_mut().remove(&self.relay);
        self.over(RelayOver::Reset);
        with_model(self.stage, self.server, self.turn, |model| model.leaves(self.relay));
        self.stage.work.notify_one();
    }
}

async fn serve(
    stage: &Shared,
    server: ServerId,
    stream: &mut TcpStream,
    turn: u64,
    since: Moment,
    member: Party,
    has_room: bool,
) -> Ended {
    let party = stage.world.borrow().party(server);
    let (mut reader, mut fresh) = (Reader::default(), true);
    loop {
        let began = Cell::new(Moment::default());
        let slow = || stage.way(member, party).bytes_per_s;
        let next = reader.next(stream, true, || began.set(stage.clock.now()), slow).await;
        let Ok(Some(message)) = next else { return Ended::Closed };
        let id = message.header("x-correlation-id").and_then(|id| u64::from_str_radix(id, 16).ok());
        let known = id.and_then(|job| Some((job, stage.gateway_of(job)?)));
        let Some((job, gateway)) = known else {
            let status = if id.is_some() { "400 Bad Request" } else { "404 Not Found" };
            if stream.write_all(&http::answer(status, "", "")).await.is_err() {
                return Ended::Closed;
            }
            continue;
        };
        let from = Party::Gateway(gateway);
        if is_silent(stage, server) || stage.caught(from, party, since) {
            // Nothing more is heard on it by either side.
            std::future::pending::<()>().await;
        }
        stage.pass(from, party).await;
        let relay = stage.number();
        let (way, work) = (stage.way(from, party), stage.work_of(job));
        let handshake = Span::from_secs(stage.world.borrow().scenario.servers.handshake_ms / 1e3);
        let cost = if fresh { work + handshake } else { work };
        stage.put(Event::Relay {
            job,
            server,
            gateway,
            began: began.get().micros(),
            work: cost.secs(),
            fresh: std::mem::take(&mut fresh),
        });
        let out = Out { stage, server, turn, job, relay, over: Cell::new(false) };
        let (draws, now) = (stage.draws(relay), stage.clock.now());
        if draws[1] < way.reset {
            out.over(RelayOver::Reset);
            return Ended::Reset;
        }
        let taken = match has_room {
            true => take_in(stage, server, turn, relay, job, cost, draws[0], now),
            false => (Taken::TurnedAway, None),
        };
        let text = match taken {
            (Taken::TurnedAway, _) => {
                out.over(RelayOver::TurnedAway);
                let close = if has_room { "" } else { "Connection: close\r\n" };
                http::answer("503 Service Unavailable", &format!("X-Unprocessed: 1\r\n{close}"), "")
            }
            (Taken::Failed, _) => {
                out.over(RelayOver::Failed);
                http::answer("500 Internal Server Error", "", "")
            }
            (Taken::In, Some(done)) => {
                tokio::select! {
                    how = done => out.over(how.unwrap_or(RelayOver::Reset)),
                    () = closed(stream) => {
                        out.over(RelayOver::Closed);
                        return Ended::Closed;
                    }
                }
                http::answer("200 OK", "", &format!("done {job:016x}"))
            }
            (Taken::In, None) => return Ended::Reset,
        };
        drop(out);
        stage.pass(party, from).await;
        if is_silent(stage, server) || stage.caught(from, party, since) {
            std::future::pending::<()>().await;
        }
        if stream.write_all(&text).await.is_err() || !has_room {
            return Ended::Closed;
        }
    }
}

fn is_silent(stage: &Shared, server: ServerId) -> bool {
    stage.world.borrow().servers.get(&server).is_some_and(|known| known.reach == Reach::Silent)
}

/// The other side has closed it. A next request behind the present one is not looked at.
async fn closed(stream: &TcpStream) {
    let mut byte = [0; 1];
    if matches!(stream.peek(&mut byte).await, Ok(1..)) {
        std::future::pending::<()>().await;
    }
}

#[allow(clippy::too_many_arguments)]
fn take_in(
    stage: &Shared,
    server: ServerId,
    turn: u64,
    relay: RelayNumber,
    job: u64,
    cost: Span,
    draw: f64,
    now: Moment,
) -> (Taken, Option<oneshot::Receiver<RelayOver>>) {
    advance(stage, server, now);
    let taken = with_model(stage, server, turn, |model| model.arrives(now, relay, cost, draw));
    match taken {
        Some(Taken::In) => {
            let (done, waits) = oneshot::channel();
            stage.waiting.borrow_mut().insert(relay, done);
            stage.relays.borrow_mut().insert(relay, (job, server));
            stage.work.notify_one();
            (Taken::In, Some(waits))
        }
        Some(taken) => (taken, None),
        None => (Taken::In, None),
    }
}

/// Lets a server work until now, and tells those who wait.
fn advance(stage: &Shared, server: ServerId, now: Moment) {
    let done = match stage.world.borrow_mut().servers.get_mut(&server) {
        Some(known) if known.reach != Reach::Down => known.model.advance(now),
        _ => return,
    };
    for (relay, _) in done {
        let Some((job, server)) = stage.relays.borrow_mut().remove(&relay) else { continue };
        stage.world.borrow_mut().effect(now, job, server);
        let waiting = stage.waiting.borrow_mut().remove(&relay);
        if let Some(waiting) = waiting {
            // One that has just gone has its end recorded as that.
            let _ = waiting.send(RelayOver::Answered);
        }
    }
}

/// Drives the servers' work by the clock.
pub async fn work(stage: Shared) {
    loop {
        let now = stage.clock.now();
        let servers: Vec<ServerId> = stage.world.borrow().servers.keys().copied().collect();
        for server in &servers {
            advance(&stage, *server, now);
        }
        let next = {
            let world = stage.world.borrow();
            let up = world.servers.values().filter(|known| known.reach != Reach::Down);
            up.filter_map(|known| known.model.next()).min()
        };
        match next {
            None => stage.work.notified().await,
            Some(at) => {
                tokio::select! {
                    () = stage.clock.until(at) => {}
                    () = stage.work.notified() => {}
                }
            }
        }
    }
}
