//! Since a client that leaves drops its handler, a handler can end at any of its awaits. Whatever it had begun by then, later
//! requests get their own responses, load and usage stay right, and no reply of a store is taken for another.

mod support;

use std::cell::Cell;
use std::future::{poll_fn, Future};
use std::pin::pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use actix_web::test::TestRequest;
use fennelgauge_batch::Page;
use fennelgauge_wire::{serve, Reply, Request, StoreReply, StoreRequest};
use support::*;
use tokio::net::TcpListener;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// More polls than any handler of these tests needs.
const MAX_POLLS: usize = 200;
/// How long the store of these tests takes for a reply.
const STORE_DELAY: Duration = Duration::from_millis(3);

/// Polls a future at most `polls` times, as often as it is woken, and then drops it. Returns its output if it was complete.
async fn poll_times<F: Future>(future: F, polls: usize) -> Option<F::Output> {
    let mut future = pin!(future);
    let mut left = polls;
    poll_fn(move |context| {
        if left == 0 {
            return Poll::Ready(None);
        }
        left -= 1;
        match future.as_mut().poll(context) {
            Poll::Ready(output) => Poll::Ready(Some(output)),
            Poll::Pending if left == 0 => Poll::Ready(None),
            Poll::Pending => Poll::Pending,
        }
    })
    .await
}

fn live_request(path: &str, id: &str) -> TestRequest {
    TestRequest::post()
        .uri(path)
        .insert_header(("host", "h"))
        .insert_header(("authorization", format!("Bearer {API_KEY}")))
        .insert_header(("x-fennelgauge-request-id", id.to_owned()))
        .insert_header(("x-fennelgauge-request-deadline", "5000"))
        .set_payload("prompt")
}

/// Returns how many requests of the tenant are counted as use.
fn usage(plane: &TestPlane) -> u64 {
    let report = plane.plane.usage.borrow().report("e", Vec::new());
    report.windows.iter().flat_map(|window| &window.tenant_counts).map(|(_, count)| count).sum()
}

#[test]
fn live_request_that_is_dropped_at_any_await_leaves_load_usage_and_connections_right() {
    for (path, script) in [
        ("/long/idempotent/a", Script::Whole),
        ("/long/stream/a", Script::FewEvents),
        ("/long/resume/a", Script::FewEvents),
        ("/long/resume/a", Script::BrokenEvents),
    ] {
        run_local(async {
            let plane = TestPlane::start(&[script, script]).await;
            let mut completed = false;
            for polls in 1..MAX_POLLS {
                let name = format!("{path} {script:?}, dropped after {polls} polls");
                let before = usage(&plane);
                let dropped = plane.answer(live_request(path, &format!("dropped-{polls}")));
                completed = poll_times(dropped, polls).await.is_some();
                assert!(usage(&plane) <= before + 1, "{name}: counted twice");
                let before = usage(&plane);
                let (status, body) = plane.answer(live_request(path, &format!("next-{polls}"))).await;
                assert!(status == 200 && body.contains(&format!("next-{polls}")), "{name}: {status} {body}");
                assert!(!body.contains("dropped"), "{name}: another request's response: {body}");
                assert_eq!(usage(&plane), before + 1, "{name}");
                until(&name, || plane.at_work() == 0).await;
                assert_eq!(plane.plane.pool.mean_load("model"), Some(0.0), "{name}");
                if completed {
                    break;
                }
            }
            assert!(completed, "{path}: the handler takes more polls than were tried");
        });
    }
}

/// A stand-in for all stores, which replies after a moment to each request in another way.
async fn start_store(plane: &TestPlane, submitted: Rc<Cell<usize>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let peer = listener.local_addr().expect("an address");
    spawn_local(serve(listener, Default::default(), move |request| {
        let submitted = submitted.clone();
        async move {
            sleep(STORE_DELAY).await;
            Reply::Store(match request {
                Request::Store(StoreRequest::Submit { .. }) => {
                    submitted.set(submitted.get() + 1);
                    StoreReply::Accepted
                }
                Request::Store(StoreRequest::ReadResults { start_after, .. }) => StoreReply::Page(Page {
                    total_items: 7,
                    next_position: start_after,
                    results: Vec::new(),
                    is_complete: false,
                }),
                Request::Store(StoreRequest::ReadItemBody { item, .. }) => {
                    StoreReply::Body(item.into_bytes().into())
                }
                _ => StoreReply::NotFound,
            })
        }
    }));
    plane.list_stores(peer);
}

fn batch_request(number: usize, id: &str) -> TestRequest {
    let job = r#"{"requests":[{"id":"item","path":"/batch/1","headers":{},"body":"","tokens":1}]}"#;
    let request = match number % 4 {
        0 => TestRequest::post().uri("/batch/x").set_payload(job),
        1 => TestRequest::get().uri("/-/lots/job?start_after=3"),
        2 => TestRequest::get().uri("/-/items/job?id=item-5"),
        _ => TestRequest::delete().uri("/-/lots/job"),
    };
    let request =
        request.insert_header(("host", "h")).insert_header(("authorization", format!("Bearer {API_KEY}")));
    request.insert_header(("x-fennelgauge-request-id", id.to_owned()))
}

/// Guards against a reply of a store that is taken for the reply to the next call, after the handler of its own was dropped.
#[test]
fn batch_call_that_is_dropped_at_any_await_leaves_the_next_calls_their_own_replies() {
    let expected = [(202, ""), (200, "\"total\":7"), (200, "item-5"), (404, "")];
    for kind in 0..expected.len() {
        run_local(async {
            let plane = TestPlane::start(&[]).await;
            let submitted = Rc::new(Cell::new(0));
            start_store(&plane, submitted.clone()).await;
            let mut completed = false;
            for polls in 1..MAX_POLLS {
                let before = submitted.get();
                let dropped = plane.answer(batch_request(kind, "dropped"));
                completed = poll_times(dropped, polls).await.is_some();
                for (next, (status, body)) in expected.iter().enumerate() {
                    let reply = plane.answer(batch_request(next, "next")).await;
                    let is_own = reply.0 == *status && reply.1.contains(body);
                    assert!(is_own, "call {next} after call {kind}, dropped after {polls} polls: {reply:?}");
                }
                sleep(STORE_DELAY * 2).await;
                assert!(submitted.get() <= before + 2, "a submission is sent to a store at most once");
                if completed {
                    break;
                }
            }
            assert!(completed, "the handler takes more polls than were tried");
        });
    }
}
