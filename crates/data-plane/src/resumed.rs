//! A stream that goes on at another server when one breaks off: whole events only, each once.

use std::time::Duration;

use actix_web::error::ErrorBadGateway;
use actix_web::web::Bytes;
use fennelgauge_upstream::{EventOrder, EventParser, TruncatedBody};
use futures_util::stream::{self, Stream};
use tokio::time::{timeout, Instant};

use crate::front::Open;
use crate::live::{Accepted, Attempts};

struct Resumed {
    attempts: Attempts,
    accepted: Option<Accepted>,
    reader: EventParser,
    order: EventOrder,
    /// An event came that is not the next one: nothing more of this run counts.
    spoilt: bool,
    _open: Open,
}

enum Piece {
    Events(Bytes),
    End,
    Broken,
}

/// The events of an answer, continued after a break while the time and the route's retries allow.
pub(crate) fn stream(
    attempts: Attempts,
    open: Open,
    accepted: Accepted,
) -> impl Stream<Item = Result<Bytes, actix_web::Error>> {
    let resumed = Resumed {
        attempts,
        accepted: Some(accepted),
        reader: EventParser::default(),
        order: EventOrder::default(),
        spoilt: false,
        _open: open,
    };
    stream::unfold(Some(Box::new(resumed)), |resumed| async move {
        let mut resumed = resumed?;
        match resumed.piece().await {
            Piece::Events(bytes) => Some((Ok(bytes), Some(resumed))),
            Piece::End => None,
            Piece::Broken => Some((Err(ErrorBadGateway("the stream broke off")), None)),
        }
    })
}

impl Resumed {
    async fn piece(&mut self) -> Piece {
        loop {
            if std::mem::take(&mut self.spoilt) && !self.continue_elsewhere().await {
                return Piece::Broken;
            }
            let patience = self.patience();
            let Some(accepted) = self.accepted.as_mut() else { return Piece::Broken };
            let next = timeout(patience, accepted.answer.next()).await;
            match next.unwrap_or(Some(Err(TruncatedBody))) {
                Some(Ok(bytes)) => {
                    self.reader.push(&bytes);
                    let events = self.whole_events();
                    if !events.is_empty() {
                        self.attempts.watched.piece();
                        return Piece::Events(events);
                    }
                }
                None if !self.reader.has_partial_event() => return Piece::End,
                Some(Err(_)) | None => {
                    if !self.continue_elsewhere().await {
                        return Piece::Broken;
                    }
                }
            }
        }
    }

    /// How long this server may be silent; as long as the request has, where no other may go on.
    fn patience(&self) -> Duration {
        match self.attempts.leaves_silence_after(self.attempts.runs) {
            true => self.attempts.patience(),
            false => self.attempts.until.saturating_duration_since(Instant::now()),
        }
    }

    fn whole_events(&mut self) -> Bytes {
        let mut bytes = Vec::new();
        for event in self.reader.by_ref() {
            if !self.order.accept(&event) {
                self.spoilt = true;
                break;
            }
            bytes.extend_from_slice(&event.bytes);
        }
        Bytes::from(bytes)
    }

    async fn continue_elsewhere(&mut self) -> bool {
        if let Some(broken) = self.accepted.take() {
            self.attempts.plane.pool.record_failure(&broken.ticket.server.id);
        }
        self.reader = EventParser::default();
        if self.attempts.runs >= self.attempts.most_runs() {
            return false;
        }
        match self.attempts.next(self.order.last_id()).await {
            Ok(accepted) if accepted.answer.status().is_success() => {
                self.accepted = Some(accepted);
                true
            }
            _ => false,
        }
    }
}
