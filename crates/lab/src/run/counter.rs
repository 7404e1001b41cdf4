//! The counter's side of a real play: a door for each limiter, and its lines.

use super::door::Door;
use super::stage::Shared;
use crate::record::Event;
use crate::stand::counter::Told;
use crate::target::Party;
use fennelgauge::time::{Moment, Span};
use std::rc::Rc;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tracing::warn;

/// Connections that it holds of a limiter; further ones are reset.
const MOST: usize = 32;
/// The longest line that is a call.
const LONGEST: u64 = 256;

pub async fn door(stage: Shared, gateway: u32) {
    let at = stage.net.counter(gateway);
    let mut door = match Door::open(at).await {
        Ok(door) => door,
        Err(error) => {
            warn!(gateway, error, "the counter cannot listen");
            return;
        }
    };
    let held = Rc::new(());
    loop {
        let stream = door.accept(&stage, Party::Gateway(gateway), Party::Counter, || false).await;
        if Rc::strong_count(&held) > MOST {
            let _ = stream.set_zero_linger();
            continue;
        }
        tokio::task::spawn_local(connection(stage.clone(), gateway, stream, held.clone()));
    }
}

enum Call {
    Add { name: u64, amount: f64, keep: Span },
    Ping,
    Wrong,
}

fn call(line: &str) -> Call {
    let words: Vec<&str> = line.split_whitespace().collect();
    match words[..] {
        ["ping"] => Call::Ping,
        ["bump", name, amount, life] => {
            // Any name does; the totals go by a number that stands for it.
            let number = u64::from_str_radix(name, 16).ok();
            let amount = amount.parse::<f64>().ok().filter(|amount| amount.abs() <= 1e9);
            match (number, amount, life.parse::<u64>().ok().filter(|life| *life >= 1)) {
                (Some(name), Some(amount), Some(life)) => {
                    Call::Add { name, amount, keep: Span::from_millis(life) }
                }
                _ => Call::Wrong,
            }
        }
        _ => Call::Wrong,
    }
}

/// Reads calls, lets each have its turn when it has come all the way, and writes the answers in their order.
async fn connection(stage: Shared, gateway: u32, stream: TcpStream, _held: Rc<()>) {
    let (from, to) = (Party::Gateway(gateway), Party::Counter);
    let since = stage.clock.now();
    let (read, mut write) = stream.into_split();
    let (calls, mut coming) = mpsc::unbounded_channel::<(Call, Moment)>();
    let (answers, mut going) = mpsc::unbounded_channel::<(String, Moment)>();
    let reads = async {
        let mut lines = BufReader::new(read);
        loop {
            let mut line = String::new();
            match (&mut lines).take(LONGEST).read_line(&mut line).await {
                Ok(many) if many > 0 => {}
                _ => return,
            }
            if calls.send((call(&line), stage.arrival(from, to))).is_err() {
                return;
            }
        }
    };
    let counts = async {
        while let Some((call, at)) = coming.recv().await {
            stage.clock.until(at).await;
            if stage.caught(from, to, since) {
                std::future::pending::<()>().await;
            }
            let now = stage.clock.now();
            let told = match call {
                Call::Ping => Some(("pong\r\n".to_string(), now)),
                Call::Wrong => Some(("error\r\n".to_string(), now)),
                Call::Add { name, amount, keep } => {
                    stage.put(Event::Called { gateway });
                    let mut world = stage.world.borrow_mut();
                    let told = world.counter.as_mut().map(|it| it.call(now, gateway, name, amount, keep));
                    match told {
                        Some(Told::Total(total, at)) => Some((format!("ok {total}\r\n"), at)),
                        Some(Told::Busy) => Some(("busy\r\n".to_string(), now)),
                        // Silent: no answer to this call, nor to those behind it.
                        Some(Told::Nothing) | None => None,
                    }
                }
            };
            let Some((text, at)) = told else { std::future::pending().await };
            if answers.send((text, at)).is_err() {
                return;
            }
        }
        // The other side has closed; what it is owed may still be written.
        drop(answers);
    };
    let writes = async {
        while let Some((text, at)) = going.recv().await {
            stage.clock.until(at).await;
            stage.pass(to, from).await;
            if stage.caught(from, to, since) {
                std::future::pending::<()>().await;
            }
            if write.write_all(text.as_bytes()).await.is_err() {
                return;
            }
        }
    };
    // It ends when its reader does: a gateway that closes wants nothing more.
    tokio::select! {
        () = reads => {}
        () = async { tokio::join!(counts, writes); } => {}
    }
}

#[cfg(test)]
mod tests;
