//! The front and the clients of a real play: each try is sent when the schedule says, whatever became of others.

use super::http::{Message, Reader};
use super::stage::Shared;
use crate::load::{again, looks};
use crate::record::{Answer, Event};
use crate::scenario::Repeat;
use crate::target::Party;
use fennelgauge::time::{Moment, Span};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// A connection that stood idle for so long is not used again.
const IDLE: Duration = Duration::from_secs(8);
/// What a connection to a limiter may take to come up.
const CONNECTS: Duration = Duration::from_millis(1_000);

/// A connection to a limiter, with what was read of it.
struct Line {
    stream: TcpStream,
    reader: Reader,
    since: Moment,
    idle: tokio::time::Instant,
}

/// Connections kept by the front.
#[derive(Default)]
pub struct Lines {
    idle: RefCell<BTreeMap<u32, Vec<Line>>>,
    /// Tries that are not over.
    pub open: Cell<u64>,
    pub over: Notify,
}

impl Lines {
    /// The one used last, if it looks sound.
    fn take(&self, gateway: u32) -> Option<Line> {
        let mut idle = self.idle.borrow_mut();
        let lines = idle.get_mut(&gateway)?;
        while let Some(line) = lines.pop() {
            let mut byte = [0; 1];
            // An end has come, or bytes that answer nothing.
            let nothing = line.stream.try_read(&mut byte);
            let open = nothing.is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock);
            if open && line.idle.elapsed() < IDLE {
                return Some(line);
            }
        }
        None
    }

    fn rest(&self, gateway: u32, line: Line) {
        self.idle.borrow_mut().entry(gateway).or_default().push(line);
    }
}

/// Sends all tries of the load.
pub async fn send_all(stage: Shared, lines: Rc<Lines>) {
    let tries = stage.world.borrow().load.tries.len();
    lines.open.set(lines.open.get() + 1);
    for index in 0..tries {
        let at = stage.world.borrow().load.tries[index].at;
        stage.clock.until(at).await;
        lines.open.set(lines.open.get() + 1);
        let (stage, lines) = (stage.clone(), lines.clone());
        tokio::task::spawn_local(async move {
            job(&stage, &lines, index).await;
            finish(&lines);
        });
    }
    finish(&lines);
}

fn finish(lines: &Lines) {
    lines.open.set(lines.open.get() - 1);
    lines.over.notify_one();
}

/// One client's job: its first try, and those after it.
async fn job(stage: &Shared, lines: &Lines, index: usize) {
    let mut nth = 0;
    loop {
        let Some((how, hold_off, abandon)) = one_try(stage, lines, index, nth).await else { return };
        if how == Answer::Satisfied || stage.clock.now() >= abandon {
            return;
        }
        let dismissed = matches!(how, Answer::Dismissed | Answer::Unreached);
        let wait = {
            let world = stage.world.borrow();
            again(&world.scenario, world.load.tries[index].band, dismissed, nth + 1, hold_off)
        };
        let Some(wait) = wait else { return };
        tokio::time::sleep(Duration::from_micros(wait.micros())).await;
        nth += 1;
    }
}

/// Returns the answer with its advice and the try's end; none if the client has left.
async fn one_try(
    stage: &Shared,
    lines: &Lines,
    index: usize,
    nth: u32,
) -> Option<(Answer, Option<Span>, Moment)> {
    let now = stage.clock.now();
    let (id, gateway, abandon, leaves, text) = {
        let mut world = stage.world.borrow_mut();
        let job = world.load.tries[index];
        let id = job.number + u64::from(nth);
        let customer = world.load.customers[job.customer].clone();
        let abandon = now + job.patience;
        let dealt = world.front.deal(&customer, id, now);
        let event = Event::Sent {
            job: id,
            nth,
            customer: customer.id,
            plan: customer.plan,
            band: job.band,
            units: job.units,
            gateway: dealt.unwrap_or(u32::MAX),
            abandon: abandon.micros(),
        };
        world.trace.put(now, event);
        let band = &world.scenario.band[job.band];
        let (method, mark) = match band.repeat {
            Repeat::Pure => ("GET", String::new()),
            _ => ("POST", format!("Idempotency-Key: {id:032x}\r\n")),
        };
        let body = if band.repeat == Repeat::Pure { "" } else { "grid" };
        let length =
            if body.is_empty() { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
        let text = format!(
            "{method} /api HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: {id:016x}\r\nX-Service-Class: {}\r\n\
             X-Tier: {}\r\nCookie: account={:016x}\r\nX-Time-Left-Ms: {}\r\n{mark}{length}\
             X-Call-Terms: units={},spread={},first={}\r\n\r\n{body}",
            band.name,
            world.scenario.plan[customer.plan].name,
            customer.id,
            job.patience.micros() / 1_000,
            job.units,
            customer.set,
            customer.first,
        );
        (id, dealt, abandon, job.leaves.map(|after| now + after), text)
    };
    let answered = |how, hold_off| {
        stage.put(Event::Answered { job: id, how });
        Some((how, hold_off, abandon))
    };
    let Some(gateway) = gateway else { return answered(Answer::Unreached, None) };
    stage.jobs.borrow_mut().insert(id, (index, gateway));
    let until = leaves.unwrap_or(abandon + looks(&stage.world.borrow().scenario));
    tokio::select! {
        (how, hold_off) = exchange(stage, lines, gateway, id, &text) => answered(how, hold_off),
        () = stage.clock.until(until) => {
            stage.put(Event::Left { job: id, early: leaves.is_some() });
            None
        }
    }
}

/// Sends a request and reads its answer. Where a kept connection ends under it with no answer begun, it is sent once
/// more on a new one: the limiter may have closed it before it read the request.
async fn exchange(
    stage: &Shared,
    lines: &Lines,
    gateway: u32,
    id: u64,
    text: &str,
) -> (Answer, Option<Span>) {
    let (front, party) = (Party::Front, Party::Gateway(gateway));
    let kept = lines.take(gateway);
    if let Some(line) = kept {
        if let Some(told) = on_line(stage, lines, gateway, id, text, line).await {
            return told;
        }
    }
    // A cut link lets no connection come up.
    let open = stage.world.borrow().timeline.links.connects(front, party, stage.clock.now());
    stage.clock.until(open).await;
    let connected = tokio::time::timeout(CONNECTS, TcpStream::connect(stage.net.gateway(gateway))).await;
    let Ok(Ok(stream)) = connected else { return (Answer::Unreached, None) };
    let _ = stream.set_nodelay(true);
    let line = Line {
        stream,
        reader: Reader::default(),
        since: stage.clock.now(),
        idle: tokio::time::Instant::now(),
    };
    on_line(stage, lines, gateway, id, text, line).await.unwrap_or((Answer::Broken, None))
}

/// None if the connection ended before any byte of an answer.
async fn on_line(
    stage: &Shared,
    lines: &Lines,
    gateway: u32,
    id: u64,
    text: &str,
    mut line: Line,
) -> Option<(Answer, Option<Span>)> {
    let (front, party) = (Party::Front, Party::Gateway(gateway));
    stage.pass(front, party).await;
    if stage.caught(front, party, line.since) {
        std::future::pending::<()>().await;
    }
    let way = stage.way(front, party);
    if stage.draws(stage.number())[1] < way.reset {
        // The request comes in part, then its connection is reset.
        let _ = line.stream.write_all(&text.as_bytes()[..text.len() / 2]).await;
        let _ = line.stream.set_zero_linger();
        return Some((Answer::Unreached, None));
    }
    line.stream.write_all(text.as_bytes()).await.ok()?;
    let slow = || stage.way(front, party).bytes_per_s;
    let next = line.reader.next(&mut line.stream, false, || {}, slow).await;
    let message = match next {
        Ok(Some(message)) => message,
        Ok(None) => return None,
        Err(_) if line.reader.begun() => return Some((Answer::Broken, None)),
        Err(_) => return None,
    };
    stage.pass(party, front).await;
    let told = read(&message, id);
    if !message.closes() && !line.reader.begun() {
        line.idle = tokio::time::Instant::now();
        lines.rest(gateway, line);
    }
    Some(told)
}

fn read(message: &Message, id: u64) -> (Answer, Option<Span>) {
    let advice = message.header("retry-after").and_then(|value| value.parse::<f64>().ok());
    let how = match message.first.0.as_str() {
        // What another job's server made is no answer to this one.
        "200" if message.body == format!("done {id:016x}").into_bytes() => Answer::Satisfied,
        "200" => Answer::Broken,
        "429" | "503" => Answer::Dismissed,
        _ => Answer::Forfeited,
    };
    (how, advice.map(Span::from_secs))
}

/// Asks a limiter that has started until it says that it is ready.
pub async fn is_ready(stage: &Shared, gateway: u32) -> bool {
    let at = stage.net.gateway(gateway);
    let ask = async {
        let mut stream = TcpStream::connect(at).await.ok()?;
        stream
            .write_all(b"GET /-/ready HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\n\r\n")
            .await
            .ok()?;
        Reader::default().next(&mut stream, false, || {}, || None).await.ok()?
    };
    let answer = tokio::time::timeout(Duration::from_secs(1), ask).await;
    answer.ok().flatten().is_some_and(|message| message.first.0 == "200")
}
