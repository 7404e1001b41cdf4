//! Streams of events that continue at another server when a server fails. The client gets complete events only, each once.

use actix_web::error::ErrorBadGateway;
use actix_web::web::Bytes;
use fennelgauge_upstream::{EventOrder, EventParser, TruncatedBody};
use futures_util::stream::{self, Stream};
use tokio::time::{timeout_at, Instant};

use crate::live::{ActiveResponse, Attempts};

struct ResumableStream {
    attempts: Attempts,
    /// The response that is being read; `None` after it failed.
    active: Option<ActiveResponse>,
    parser: EventParser,
    order: EventOrder,
    /// Whether the current response contained an event that is not the next one. The rest of it is discarded.
    out_of_order: bool,
    /// When a server sent something last.
    last_data_at: Instant,
}

enum Step {
    /// One or more complete events.
    Events(Bytes),
    End,
    /// The stream failed and could not be continued.
    Failed,
}

/// Passes on the events of a response. After a failure the stream continues at another server, as long as the request's
/// deadline and the route's retries allow it.
pub(crate) fn stream(
    attempts: Attempts,
    active: ActiveResponse,
) -> impl Stream<Item = Result<Bytes, actix_web::Error>> {
    let resumable = ResumableStream {
        attempts,
        active: Some(active),
        parser: EventParser::default(),
        order: EventOrder::default(),
        out_of_order: false,
        last_data_at: Instant::now(),
    };
    stream::unfold(Some(Box::new(resumable)), |resumable| async move {
        let mut resumable = resumable?;
        match resumable.next().await {
            Step::Events(bytes) => Some((Ok(bytes), Some(resumable))),
            Step::End => None,
            Step::Failed => Some((Err(ErrorBadGateway("the stream broke off")), None)),
        }
    })
}

impl ResumableStream {
    async fn next(&mut self) -> Step {
        loop {
            if std::mem::take(&mut self.out_of_order) && !self.resume_elsewhere().await {
                return Step::Failed;
            }
            // A part that is there already is passed on by the timeout, however late it is.
            if self.attempts.is_past_deadline() {
                return self.cut_off();
            }
            let limit = self.silence_limit();
            let Some(active) = self.active.as_mut() else { return Step::Failed };
            let next = timeout_at(limit, active.response.next()).await;
            match next.unwrap_or(Some(Err(TruncatedBody))) {
                Some(Ok(bytes)) => {
                    self.last_data_at = Instant::now();
                    self.parser.push(&bytes);
                    let events = self.complete_events();
                    if !events.is_empty() {
                        self.attempts.timer.record_data();
                        return Step::Events(events);
                    }
                }
                None if !self.parser.has_partial_event() => return Step::End,
                _ if self.attempts.is_past_deadline() => return self.cut_off(),
                Some(Err(_)) | None => {
                    if !self.resume_elsewhere().await {
                        return Step::Failed;
                    }
                }
            }
        }
    }

    /// When the stream continues elsewhere, or ends, if the server sends nothing by then. Where no other server may run
    /// the request, this is its deadline.
    fn silence_limit(&self) -> Instant {
        match self.attempts.may_leave_idle_server(self.attempts.runs()) {
            true => self.attempts.deadline.min(Instant::now() + self.attempts.idle_timeout()),
            false => self.attempts.deadline,
        }
    }

    /// Ends the stream because the request's time is up.
    fn cut_off(&mut self) -> Step {
        self.attempts.timer.record_failure();
        if let Some(active) = &self.active {
            self.attempts.record_cut_off(active, self.last_data_at);
        }
        Step::Failed
    }

    /// Takes the complete events from the parser, up to the first one that is out of order.
    fn complete_events(&mut self) -> Bytes {
        let mut bytes = Vec::new();
        for event in self.parser.by_ref() {
            if !self.order.accept(&event) {
                self.out_of_order = true;
                break;
            }
            bytes.extend_from_slice(&event.bytes);
        }
        Bytes::from(bytes)
    }

    /// Counts a failure of the current server and continues after the last event at another one. Returns whether that
    /// succeeded.
    async fn resume_elsewhere(&mut self) -> bool {
        if let Some(failed) = self.active.take() {
            self.attempts.plane.pool.record_failure(&failed.in_flight.server.id);
        }
        self.parser = EventParser::default();
        if self.attempts.runs() >= self.attempts.max_runs() {
            return false;
        }
        match self.attempts.next_response(self.order.last_id()).await {
            Ok(active) if active.response.status().is_success() => {
                self.active = Some(active);
                self.last_data_at = Instant::now();
                true
            }
            _ => false,
        }
    }
}
