//! Calls to the stores for one request of a client: to the store that the newest view names, again and again until one decides.

use std::time::Duration;

use fennelgauge_coordination::{GroupNumber, Store, StoreView};
use fennelgauge_wire::{CallError, Reply, Request, StoreReply, StoreRequest};
use tokio::time::{sleep, Instant};

use crate::attempt_log::{AttemptLog, Conclusion};
use crate::process::DataPlane;

/// Pause between two calls.
const RETRY_INTERVAL: Duration = Duration::from_millis(60);

/// The outcome of a request to the stores.
#[derive(Debug)]
pub(super) enum StoreOutcome {
    Replied(StoreReply),
    /// No call had a reply that decides. What is known of them is recorded.
    Undecided,
}

/// What came of a request to the stores.
pub(super) struct StoreAnswer {
    pub(super) outcome: StoreOutcome,
    /// The calls that were made for it.
    pub(super) calls: AttemptLog,
}

/// Sends a request to the store that `store` selects from the newest view. After a failure it is sent again, to the store
/// selected then, until `deadline`. `call_timeout` limits each call.
pub(super) async fn call_store(
    plane: &DataPlane,
    store: impl Fn(&StoreView, GroupNumber) -> Option<&Store>,
    group: GroupNumber,
    request: impl Fn(&StoreView) -> StoreRequest,
    call_timeout: Duration,
    deadline: Instant,
) -> StoreAnswer {
    let mut calls = AttemptLog::default();
    loop {
        let view = plane.tier_state.store_view();
        if let Some(store) = store(&view, group) {
            let time_left = deadline.saturating_duration_since(Instant::now()).min(call_timeout);
            let call = plane.caller.call(store.member.peer, Request::Store(request(&view)), time_left);
            let reply = call.await;
            record_call(&mut calls, store, &reply);
            match reply {
                Ok(Reply::Store(
                    StoreReply::NotAccepted | StoreReply::Undetermined | StoreReply::OutcomeUnknown,
                )) => {}
                Ok(Reply::Store(reply)) => {
                    return StoreAnswer { outcome: StoreOutcome::Replied(reply), calls };
                }
                Ok(_) | Err(_) => {}
            }
        }
        if Instant::now() + RETRY_INTERVAL >= deadline {
            return StoreAnswer { outcome: StoreOutcome::Undecided, calls };
        }
        sleep(RETRY_INTERVAL).await;
    }
}

/// Records a call to a store with what its reply, or the lack of one, says.
fn record_call(calls: &mut AttemptLog, store: &Store, reply: &Result<Reply, CallError>) {
    let target = &store.member.identity.node;
    match reply {
        Ok(Reply::Store(reply)) => calls.record(target, Conclusion::from(reply), <&str>::from(reply)),
        Ok(_) => calls.record(target, Conclusion::NotExecuted, "the process does not serve this request"),
        Err(error) => calls.record(target, Conclusion::from(error), error),
    }
}
