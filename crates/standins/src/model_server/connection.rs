//! Serves one connection of a stand-in server: one request at a time, each until its answer is written or its client is gone.

use std::rc::Rc;
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout, Instant};

use super::admission::{Refusal, Slot};
use super::conduct::{drawn, Conduct};
use super::request::{RequestHead, RequestReader};
use super::response::{
    chunk, promising_status, Framing, ResponseHead, Surplus, SurplusMoment, END_DELAY, EVENTS_BEFORE_BREAK,
    EVENTS_PER_RESPONSE, LARGE_EVENT_BYTES, SLOW_EVENT_INTERVAL,
};
use super::{ModelServer, Observer};

/// Idle connections of servers that state no limit are closed after this time.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Longest pause between an early refusal and the reading of the refused request's body.
const MAX_LATE_BODY_PAUSE: Duration = Duration::from_millis(30);
/// Longest pause between a part of an answer and the reset of its connection.
const MAX_RESET_PAUSE: Duration = Duration::from_millis(60);

/// Whether a connection goes on after an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Next {
    KeepOpen,
    Close,
    /// Close it with a reset.
    Reset,
}

/// A connection that is being served.
struct Connection {
    server: Rc<ModelServer>,
    reader: RequestReader,
    write: OwnedWriteHalf,
    /// What is sent in the place of the next answer.
    held_surplus: Option<Vec<u8>>,
}

/// A run; tells the observer of its end when it is dropped.
struct Run<'head> {
    head: &'head RequestHead,
    observer: Option<Rc<dyn Observer>>,
    /// Data of its events.
    data: Vec<String>,
    /// How many of them were sent.
    sent: usize,
}

impl<'head> Run<'head> {
    /// Begins work on a request.
    fn start(server: &ModelServer, head: &'head RequestHead) -> Self {
        let observer = server.observer();
        server.runs.borrow_mut().push((head.id.clone(), head.tenant.clone(), head.after));
        let run_number = server.runs.borrow().len();
        if let Some(observer) = &observer {
            observer.run_started(&head.id, head.after);
        }
        Self { head, observer, data: event_data(server, head, run_number), sent: 0 }
    }

    /// Returns the status with which the run fails, if it does, after telling the observer.
    fn failure(&self, server: &ModelServer) -> Option<u16> {
        let Self { head, observer, .. } = self;
        if head.path.contains("/poison/") {
            observer.iter().for_each(|observer| observer.run_rejected(&head.id));
            return Some(422);
        }
        if head.path.contains("/fail/") {
            observer.iter().for_each(|observer| observer.run_failed(&head.id));
            return Some(500);
        }
        drawn(server.conduct.get().unmarked_refusals).then(|| {
            server.count(|counts| counts.unmarked_refusals += 1);
            promising_status()
        })
    }
}

impl Drop for Run<'_> {
    fn drop(&mut self) {
        if let Some(observer) = &self.observer {
            observer.run_ended(&self.head.id, self.head.after, &self.data[..self.sent]);
        }
    }
}

impl ResponseHead {
    /// What follows after a whole answer with this head.
    fn next(&self) -> Next {
        match self.closes || self.is_spoilt {
            true => Next::Close,
            false => Next::KeepOpen,
        }
    }
}

/// Counts a connection as open until dropped.
struct OpenConnection(Rc<ModelServer>);

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.open_connections.set(self.0.open_connections.get() - 1);
    }
}

/// Serves a connection until either side closes it, or the server is replaced.
pub(super) async fn serve(stream: TcpStream, server: Rc<ModelServer>) {
    server.open_connections.set(server.open_connections.get() + 1);
    let _open = OpenConnection(server.clone());
    let _ = stream.set_nodelay(true);
    let mut incarnation = server.incarnation.subscribe();
    let (read, write) = stream.into_split();
    let mut connection = Connection { server, reader: RequestReader::new(read), write, held_surplus: None };
    let end = tokio::select! {
        end = connection.serve_requests() => end,
        _ = incarnation.changed() => Next::Reset,
    };
    if end == Next::Reset {
        let _ = connection.write.as_ref().set_zero_linger();
        // Dropping the half would end the connection in order before it is reset.
        connection.write.forget();
    }
}

impl Connection {
    async fn serve_requests(&mut self) -> Next {
        loop {
            let idle_timeout =
                self.server.conduct.get().idle_s.map_or(DEFAULT_IDLE_TIMEOUT, Duration::from_secs);
            let Ok(Some(head)) = timeout(idle_timeout, self.reader.head()).await else { return Next::Close };
            self.server.awake().await;
            if let Some(surplus) = self.held_surplus.take() {
                if self.write.write_all(&surplus).await.is_err() {
                    return Next::Close;
                }
            }
            match self.serve_request(&head).await {
                Some(Next::KeepOpen) => {}
                Some(end) => return end,
                None => return Next::Close,
            }
        }
    }

    /// Answers one request; `None` if the connection is broken.
    async fn serve_request(&mut self, head: &RequestHead) -> Option<Next> {
        let is_misdirected = !head.target.is_empty() && head.target != self.server.id();
        let refuses_early = head.content_length > 0 && drawn(self.server.conduct.get().early_refusals);
        if refuses_early && !is_misdirected {
            return self.refuse_early(head).await;
        }
        let answers_early = head.content_length > 0 && drawn(self.server.conduct.get().early_parts);
        if answers_early && !is_misdirected {
            return self.answer_early(head).await;
        }
        self.reader.discard_body(head.content_length).await?;
        if is_misdirected {
            self.server.count(|counts| counts.misdirected += 1);
            return self.refuse(head, 421).await;
        }
        if head.has_api_key {
            *self.server.received_api_key.borrow_mut() = true;
        }
        let server = self.server.clone();
        let _slot = match self.admit(&server, head).await? {
            Ok(slot) => slot,
            Err(refusal) => {
                server.count(|counts| match refusal {
                    Refusal::Full => counts.refused_full += 1,
                    Refusal::DeadlinePassed => counts.refused_in_queue += 1,
                });
                return self.refuse(head, 503).await;
            }
        };
        let Self { reader, write, .. } = self;
        let next = tokio::select! {
            next = run(&server, head, write) => next?,
            () = reader.closed() => return None,
        };
        match next {
            Next::KeepOpen => self.send_surplus(&head.id).await,
            end => Some(end),
        }
    }

    /// Waits for a slot; `None` if the client leaves.
    async fn admit<'server>(
        &mut self,
        server: &'server ModelServer,
        head: &RequestHead,
    ) -> Option<Result<Slot<'server>, Refusal>> {
        let Conduct { slots, queue, .. } = server.conduct.get();
        tokio::select! {
            admitted = server.admission.admit(slots, queue, Instant::now() + head.deadline) => Some(admitted),
            () = self.reader.closed() => None,
        }
    }

    /// Refuses a request before its body is read, and reads that later.
    async fn refuse_early(&mut self, head: &RequestHead) -> Option<Next> {
        self.server.count(|counts| counts.refused_early += 1);
        let next = self.refuse(head, 503).await?;
        sleep(MAX_LATE_BODY_PAUSE.mul_f64(fastrand::f64())).await;
        self.reader.discard_body(head.content_length).await?;
        Some(next)
    }

    /// Runs a request before its body is read, sends a part of an answer without a length and resets the connection.
    async fn answer_early(&mut self, head: &RequestHead) -> Option<Next> {
        self.server.count(|counts| counts.early_parts += 1);
        let mut run = Run::start(&self.server, head);
        run.observer.iter().for_each(|observer| observer.run_broken_off(&head.id));
        let response = ResponseHead {
            status: 200,
            id: Some(head.id.clone()),
            signed_by: Some(self.server.id()),
            framing: Framing::Close,
            closes: true,
            ..ResponseHead::default()
        };
        let mut part = response.encode();
        part.extend(event_text(head, 0, run.data.first()?).into_bytes());
        run.sent = 1;
        self.write.write_all(&part).await.ok()?;
        sleep(MAX_RESET_PAUSE.mul_f64(fastrand::f64())).await;
        Some(Next::Reset)
    }

    /// Answers that a request was not executed.
    async fn refuse(&mut self, head: &RequestHead, status: u16) -> Option<Next> {
        let conduct = self.server.conduct.get();
        let response = ResponseHead {
            status,
            id: Some(head.id.clone()),
            not_executed: true,
            closes: drawn(conduct.closing_answers),
            idle_s: conduct.idle_s,
            ..ResponseHead::default()
        };
        self.server.awake().await;
        self.write.write_all(&response.encode()).await.ok()?;
        Some(response.next())
    }

    /// Sends, or holds back, what nobody asked for after an answer to the request with this id, now and then.
    async fn send_surplus(&mut self, id: &str) -> Option<Next> {
        if !drawn(self.server.conduct.get().surplus) {
            return Some(Next::KeepOpen);
        }
        self.server.count(|counts| counts.surplus += 1);
        let Surplus { bytes, moment } = Surplus::drawn(id);
        match moment {
            SurplusMoment::InPlaceOfNext => self.held_surplus = Some(bytes),
            SurplusMoment::AtOnce => self.write.write_all(&bytes).await.ok()?,
            SurplusMoment::Idle(pause) => {
                sleep(pause).await;
                self.write.write_all(&bytes).await.ok()?;
            }
        }
        Some(Next::KeepOpen)
    }
}

/// Runs a request and answers it; `None` if the connection is broken.
async fn run(server: &ModelServer, head: &RequestHead, write: &mut OwnedWriteHalf) -> Option<Next> {
    let conduct = server.conduct.get();
    let mut run = Run::start(server, head);
    let response = ResponseHead {
        status: 200,
        id: Some(head.id.clone()),
        signed_by: Some(server.id()),
        closes: drawn(conduct.closing_answers),
        idle_s: conduct.idle_s,
        is_spoilt: drawn(conduct.spoilt_heads),
        ..ResponseHead::default()
    };
    let next = response.next();
    server.count(|counts| counts.spoilt_heads += u64::from(response.is_spoilt));
    if drawn(conduct.lost_answers) {
        server.count(|counts| counts.lost_answers += 1);
        sleep(END_DELAY).await;
        return Some(Next::Reset);
    }
    if let Some(status) = run.failure(server) {
        let response = ResponseHead { status, ..response };
        write.write_all(&response.encode()).await.ok()?;
        return Some(next);
    }
    if head.path.contains("/silent/") {
        std::future::pending::<()>().await;
    }
    let is_complete = match head.path.contains("/body/") {
        true => send_body(server, response, &mut run, write).await?,
        false => {
            let response = ResponseHead { framing: Framing::Chunks, ..response };
            write.write_all(&response.encode()).await.ok()?;
            send_events(server, &mut run, write).await?
        }
    };
    if !is_complete {
        return Some(Next::Close);
    }
    if let Some(observer) = &run.observer {
        observer.run_completed(&head.id, head.after, &run.data);
    }
    Some(next)
}

/// Returns the data of the events of a run.
fn event_data(server: &ModelServer, head: &RequestHead, run_number: usize) -> Vec<String> {
    let id = &head.id;
    let suffix = match head.path.contains("/run/") {
        true => format!(" run {}.{run_number}", server.id()),
        false => String::new(),
    };
    let padded_bytes = if head.path.contains("/large/") { LARGE_EVENT_BYTES } else { 0 };
    let data = |event| {
        let text = format!("{id} {event}{suffix}");
        let padding = ".".repeat(padded_bytes.saturating_sub(text.len()));
        text + &padding
    };
    (head.after + 1..=EVENTS_PER_RESPONSE).map(data).collect()
}

fn event_text(head: &RequestHead, index: usize, data: &str) -> String {
    format!("id: {}\ndata: {data}\n\n", head.after + 1 + index as u64)
}

/// Sends all events as one body of known length.
async fn send_body(
    server: &ModelServer,
    mut response: ResponseHead,
    run: &mut Run<'_>,
    write: &mut OwnedWriteHalf,
) -> Option<bool> {
    let body: String = run.data.iter().map(|data| format!("data: {data}\n")).collect();
    sleep(SLOW_EVENT_INTERVAL).await;
    server.awake().await;
    response.framing = Framing::Length(body.len());
    write.write_all(&response.encode()).await.ok()?;
    write.write_all(body.as_bytes()).await.ok()?;
    run.sent = run.data.len();
    Some(true)
}

/// Sends events one after the other. Returns whether all were sent, which a stream on `/break/` is not.
async fn send_events(server: &ModelServer, run: &mut Run<'_>, write: &mut OwnedWriteHalf) -> Option<bool> {
    let head = run.head;
    let breaks = head.path.contains("/break/") && head.after == 0;
    let pause = if head.path.contains("/slow/") { SLOW_EVENT_INTERVAL } else { Duration::ZERO };
    for index in 0..run.data.len() {
        let is_past_break = head.after + index as u64 >= EVENTS_BEFORE_BREAK;
        if breaks && is_past_break {
            sleep(END_DELAY).await;
            return Some(false);
        }
        if head.path.contains("/dark/") && is_past_break {
            std::future::pending::<()>().await;
        }
        sleep(pause).await;
        server.awake().await;
        let event = event_text(head, index, &run.data[index]);
        // Part of it may arrive even if the write fails.
        run.sent = index + 1;
        write.write_all(&chunk(event.as_bytes())).await.ok()?;
    }
    sleep(END_DELAY).await;
    server.awake().await;
    write.write_all(&chunk(&[])).await.ok()?;
    Some(true)
}
