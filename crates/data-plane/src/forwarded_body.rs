//! The body of a server's response that is passed on as it arrives. A body that the server cuts short, or that is not
//! complete when the request's time is up, is cut short for the client, too.

use actix_web::error::ErrorBadGateway;
use actix_web::web::Bytes;
use actix_web::Error;
use futures_util::stream::{self, Stream};
use tokio::time::{timeout_at, Instant};

use crate::live::{ActiveResponse, Attempts};

struct ForwardedBody {
    attempts: Attempts,
    active: ActiveResponse,
    /// When the server sent something last.
    last_data_at: Instant,
}

/// Returns the parts of a response's body.
pub(crate) fn stream(attempts: Attempts, active: ActiveResponse) -> impl Stream<Item = Result<Bytes, Error>> {
    let body = ForwardedBody { attempts, active, last_data_at: Instant::now() };
    stream::unfold(Some(Box::new(body)), |body| async move {
        let mut body = body?;
        match body.next().await? {
            Ok(bytes) => Some((Ok(bytes), Some(body))),
            Err(error) => Some((Err(error), None)),
        }
    })
}

impl ForwardedBody {
    async fn next(&mut self) -> Option<Result<Bytes, Error>> {
        let deadline = self.attempts.deadline;
        // A part that is there already is passed on by the timeout, however late it is.
        if self.attempts.is_past_deadline() {
            return Some(Err(self.cut_off()));
        }
        let Ok(next) = timeout_at(deadline, self.active.response.next()).await else {
            return Some(Err(self.cut_off()));
        };
        if matches!(next, Some(Ok(_))) {
            self.attempts.timer.record_data();
            self.last_data_at = Instant::now();
        }
        next.map(|part| part.map_err(ErrorBadGateway))
    }

    fn cut_off(&mut self) -> Error {
        self.attempts.timer.record_failure();
        self.attempts.record_cut_off(&self.active, self.last_data_at);
        ErrorBadGateway("the request's time is up")
    }
}
