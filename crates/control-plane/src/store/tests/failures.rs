//! Items that servers fail, on simulated time: never sent too often, never given up too soon, never left for ever, through any
//! number of losses of power. A stand-in for a server answers on loopback.

use std::net::SocketAddr;

use fennelgauge_batch::{ItemLimits, ItemOutcome};
use fennelgauge_model::{Server, ServerList, ServerState};
use fennelgauge_upstream::TierState;
use fennelgauge_wire::{GroupSnapshot, WatchRequest};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::sleep_until;

use super::super::*;
use super::running_store::{job, run_local, RunningStore, GROUP, JOB, RETRIES, SOON};

/// An item must not reach a server again after so many answers of 500.
const MAX_FAILURES: u32 = 3 * RETRIES;
/// An item must not reach a server again after so many answers of 422.
const MAX_REJECTIONS: u32 = 3;
const LOSSES_OF_POWER: u64 = 12;
const ROUTE: &str = r#"{"name":"r","host":"h","path_prefix":"/p/","kind":"batch","timeout_ms":1000,"backend":"s","retries":2}"#;

/// The same route with a retention that does not end during a test.
const ROUTE_WITH_RETENTION: &str = r#"{"name":"r","host":"h","path_prefix":"/p/","kind":"batch","timeout_ms":1000,"backend":"s","retries":2,"retention_s":3600}"#;
const RETENTION_MS: u64 = 3_600_000;
const LOOK_INTERVAL: Duration = Duration::from_millis(10);
/// Longer than an item rests.
const LONG_LIFE: Duration = Duration::from_secs(10);

/// How long a server's queue is full. Longer than any attempt, and than all that are left early take together.
const CROWD_DURATION: Duration = Duration::from_secs(35);
/// The answer to a request whose time was up before it ran.
const NOT_EXECUTED: &str =
    "HTTP/1.1 503 Service Unavailable\r\nx-fennelgauge-request-id: i\r\nx-fennelgauge-not-executed: 1\r\ncontent-length: 0\r\n\r\n";

/// What a server answers to each request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Answer {
    Fails,
    Rejects,
    /// The connection breaks.
    Nothing,
    /// The answer is lost on its way, while the connection stays.
    Withheld,
    /// The request waits in the server's queue until [`CROWD_DURATION`] after the server's start, or until its deadline, unless its
    /// connection closes. Then the server answers.
    Queued,
    /// A response that sends a part of an event again and again, without end.
    Endless,
    Succeeds,
    /// A success that is not one, after which the connection is closed.
    Spoilt(&'static str),
}

impl Answer {
    fn response(self) -> &'static str {
        match self {
            Self::Fails => "HTTP/1.1 500 Internal Server Error\r\nx-fennelgauge-request-id: i\r\ncontent-length: 0\r\n\r\n",
            Self::Rejects => "HTTP/1.1 422 Unprocessable Entity\r\nx-fennelgauge-request-id: i\r\ncontent-length: 0\r\n\r\n",
            Self::Nothing | Self::Withheld => "",
            Self::Spoilt(response) => response,
            Self::Endless => "HTTP/1.1 200 OK\r\nx-fennelgauge-request-id: i\r\ncontent-length: 1000000\r\n\r\n",
            Self::Queued | Self::Succeeds => {
                "HTTP/1.1 200 OK\r\nx-fennelgauge-request-id: i\r\ncontent-length: 20\r\n\r\nid: 1\ndata: a text\n\n"
            }
        }
    }
}

/// Returns the time that a request's head leaves to the server.
fn deadline_of(head: &[u8]) -> Duration {
    let head = String::from_utf8_lossy(head).to_ascii_lowercase();
    let value = head.split("x-fennelgauge-request-deadline: ").nth(1).and_then(|rest| rest.lines().next());
    Duration::from_millis(value.and_then(|value| value.parse().ok()).expect("a deadline"))
}

/// A server, and what the group of the store that it serves had recorded when it answered last.
struct StandIn {
    address: SocketAddr,
    started_at: Instant,
    answer: Cell<Answer>,
    answer_count: Cell<u32>,
    store: RefCell<Option<Rc<Store>>>,
    recorded_at_answer: RefCell<Option<GroupSnapshot>>,
}

impl StandIn {
    async fn start(answer: Answer) -> Rc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let server = Rc::new(Self {
            address: listener.local_addr().expect("its address"),
            started_at: Instant::now(),
            answer: Cell::new(answer),
            answer_count: Cell::new(0),
            store: RefCell::default(),
            recorded_at_answer: RefCell::default(),
        });
        let accepting = server.clone();
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                spawn_local(accepting.clone().serve(stream));
            }
        });
        server
    }

    /// Answers the requests of a connection; their bodies are empty.
    async fn serve(self: Rc<Self>, mut stream: TcpStream) {
        let mut received = Vec::new();
        while stream.read_buf(&mut received).await.is_ok_and(|read| read > 0) {
            if !received.ends_with(b"\r\n\r\n") {
                continue;
            }
            let deadline = deadline_of(&received);
            received.clear();
            self.answer_count.set(self.answer_count.get() + 1);
            let recorded = self.store.borrow().as_ref().map(|store| store.replica(GROUP).borrow().snapshot());
            *self.recorded_at_answer.borrow_mut() = recorded;
            if self.answer.get() == Answer::Withheld {
                std::future::pending::<()>().await;
            }
            let mut response = self.answer.get().response();
            if self.answer.get() == Answer::Queued {
                tokio::select! {
                    () = sleep_until(self.started_at + CROWD_DURATION) => {}
                    () = sleep(deadline) => response = NOT_EXECUTED,
                    _ = stream.read_u8() => return,
                }
            }
            if self.answer.get() == Answer::Endless {
                let _ = stream.write_all(response.as_bytes()).await;
                while stream.write_all(b": still here\n").await.is_ok() {
                    sleep(Duration::from_secs(1)).await;
                }
            }
            if matches!(self.answer.get(), Answer::Spoilt(_)) {
                let _ = stream.write_all(response.as_bytes()).await;
                return;
            }
            if response.is_empty() || stream.write_all(response.as_bytes()).await.is_err() {
                return;
            }
        }
    }

    /// The only server of the store's items.
    fn serve_store(&self, store: &RunningStore) {
        let server = Server {
            id: "server".into(),
            backend: "s".into(),
            addr: self.address,
            zone: "z".into(),
            slots: 4,
            state: ServerState::Ready,
            cold_ms: 0,
        };
        let list = ServerList { version: 1, reader_incarnation: 1, servers: vec![server] };
        store.0.known.update_server_list(Some(list), Duration::ZERO);
        *self.store.borrow_mut() = Some(store.0.clone());
    }
}

/// Runs a store from what was recorded before, for some time, by a configuration that the core does not confirm. Returns what
/// is recorded in the end.
async fn live(server: &StandIn, recorded: &GroupSnapshot, epoch: u64, time: Duration) -> GroupSnapshot {
    let store = RunningStore::recover(recorded, epoch);
    store.configure(5 + epoch, ROUTE);
    server.serve_store(&store);
    store.pass(time).await;
    store.lose_power();
    store.recorded()
}

/// Like [`live`], on the route with a retention and for longer than an item rests. The store loses power as a server answers.
async fn live_until_answered(server: &StandIn, recorded: &GroupSnapshot, epoch: u64) -> GroupSnapshot {
    let store = RunningStore::recover(recorded, epoch);
    store.configure(5 + epoch, ROUTE_WITH_RETENTION);
    server.serve_store(&store);
    let before = server.answer_count.get();
    let ends_at = Instant::now() + LONG_LIFE;
    while server.answer_count.get() == before && Instant::now() < ends_at {
        store.pass(LOOK_INTERVAL).await;
    }
    store.lose_power();
    match server.answer_count.get() > before {
        true => server.recorded_at_answer.take().expect("recorded"),
        false => store.recorded(),
    }
}

/// Runs a store by a configuration that the core confirms again and again, and returns the outcome of its item.
async fn outcome_in_the_end(server: &StandIn, recorded: &GroupSnapshot) -> Vec<ItemOutcome> {
    let store = RunningStore::recover(recorded, 100);
    store.configure(100, ROUTE);
    server.serve_store(&store);
    for _ in 0..8 {
        store.pass(SOON).await;
        store.confirm_configuration();
    }
    store.pass(SOON).await;
    store.lose_power();
    store.outcomes()
}

async fn recorded_job() -> GroupSnapshot {
    recorded_job_with_retention(None).await
}

async fn recorded_job_with_retention(retention_ms: Option<u64>) -> GroupSnapshot {
    let store = RunningStore::start_with_job(retention_ms).await;
    store.pass(SOON).await;
    store.lose_power();
    store.recorded()
}

/// Guards against an item that fails at each run and is sent again without end, because the count of its failures is lost with
/// each head while the end of the item waits for the core.
#[test]
fn a_failing_item_is_not_sent_too_often_through_many_losses_of_power() {
    run_local(async {
        let server = StandIn::start(Answer::Fails).await;
        let mut recorded = recorded_job().await;
        for loss in 1..=LOSSES_OF_POWER {
            recorded = live(&server, &recorded, 1 + loss, SOON).await;
        }
        assert!(server.answer_count.get() >= RETRIES, "{} answers of 500", server.answer_count.get());
        assert!(server.answer_count.get() <= MAX_FAILURES, "{} answers of 500", server.answer_count.get());
        assert_eq!(outcome_in_the_end(&server, &recorded).await, [ItemOutcome::DeadLettered]);
        assert!(server.answer_count.get() <= MAX_FAILURES, "{} answers of 500", server.answer_count.get());
    });
}

/// Guards against an item that is sent again without end because each head is lost as a server answers it.
#[test]
fn an_item_whose_answers_are_lost_with_the_heads_is_not_sent_too_often() {
    for (answer, most) in [(Answer::Fails, MAX_FAILURES), (Answer::Rejects, MAX_REJECTIONS)] {
        run_local(async {
            let server = StandIn::start(answer).await;
            let mut recorded = recorded_job().await;
            for loss in 1..=LOSSES_OF_POWER {
                let before = server.answer_count.get();
                live(&server, &recorded, 1 + loss, SOON).await;
                if server.answer_count.get() > before {
                    recorded = server.recorded_at_answer.take().expect("recorded");
                }
            }
            assert!(server.answer_count.get() <= most, "{answer:?}: {} answers", server.answer_count.get());
        });
    }
}

/// Guards against an item that is sent once more after each rest, without end, because no answer ever comes to be recorded: each head
/// is lost as a server answers, or each connection breaks.
#[test]
fn an_item_whose_answers_are_all_lost_is_not_sent_too_often_however_often_it_rests() {
    for answer in [Answer::Withheld, Answer::Nothing] {
        run_local(async {
            let server = StandIn::start(answer).await;
            let mut recorded = recorded_job_with_retention(Some(RETENTION_MS)).await;
            for loss in 1..=LOSSES_OF_POWER {
                recorded = live_until_answered(&server, &recorded, 1 + loss).await;
            }
            let answers = server.answer_count.get();
            assert!(answers <= MAX_FAILURES, "{answer:?}: {answers} answers");
        });
    }
}

/// Guards against an item that is sent again and again by one head, whose connections to servers all break.
#[test]
fn an_item_whose_connections_break_is_not_sent_too_often_by_one_head() {
    run_local(async {
        let server = StandIn::start(Answer::Nothing).await;
        let store = RunningStore::recover(&recorded_job_with_retention(Some(RETENTION_MS)).await, 2);
        store.configure(7, ROUTE_WITH_RETENTION);
        server.serve_store(&store);
        for _ in 0..LOSSES_OF_POWER {
            store.pass(LONG_LIFE).await;
        }
        store.lose_power();
        let answers = server.answer_count.get();
        assert!((MAX_REJECTIONS..=MAX_FAILURES).contains(&answers), "{answers} attempts");
    });
}

/// Guards against a permit that is used once more by each run of an item on the head that accepted its job.
#[test]
fn an_item_whose_runs_are_stopped_again_and_again_is_not_sent_too_often() {
    run_local(async {
        let server = StandIn::start(Answer::Withheld).await;
        let store = RunningStore::start_empty();
        store.publish_view(2, true);
        store.0.known.update_view_confirmation(Duration::ZERO);
        store.configure(7, ROUTE_WITH_RETENTION);
        server.serve_store(&store);
        let limits = ItemLimits { retention_ms: Some(RETENTION_MS), retries: RETRIES };
        assert!(matches!(store.0.submit(2, GROUP, job(JOB, limits), 0).await, StoreReply::Accepted));
        for _ in 0..LOSSES_OF_POWER {
            let before = server.answer_count.get();
            let ends_at = Instant::now() + SOON;
            while server.answer_count.get() == before && Instant::now() < ends_at {
                store.pass(LOOK_INTERVAL).await;
            }
            store.0.stop_group(GROUP);
        }
        store.lose_power();
        let answers = server.answer_count.get();
        assert!((MAX_REJECTIONS..=MAX_FAILURES).contains(&answers), "{answers} attempts");
    });
}

/// Guards against an item that is left for ever because the answers to several attempts were lost.
#[test]
fn an_item_whose_answers_were_lost_runs_in_the_end() {
    run_local(async {
        let server = StandIn::start(Answer::Nothing).await;
        let mut recorded = recorded_job().await;
        for loss in 1..=LOSSES_OF_POWER {
            recorded = live(&server, &recorded, 1 + loss, SOON).await;
        }
        server.answer.set(Answer::Succeeds);
        assert_eq!(outcome_in_the_end(&server, &recorded).await, [ItemOutcome::Succeeded]);
    });
}

/// Guards against an item that is not sent again, though its servers are sound and soon idle, because its attempts were left while
/// they waited in the servers' queues.
#[test]
fn an_item_that_waits_in_a_crowd_has_its_result_as_soon_as_servers_are_free() {
    for retries in 1..=4 {
        run_local(async {
            let server = StandIn::start(Answer::Queued).await;
            let store = RunningStore::start_empty();
            store.publish_view(2, true);
            store.0.known.update_view_confirmation(Duration::ZERO);
            let retries_of_route = format!("\"retries\":{retries}");
            store.configure(7, &ROUTE_WITH_RETENTION.replace("\"retries\":2", &retries_of_route));
            server.serve_store(&store);
            let limits = ItemLimits { retention_ms: Some(RETENTION_MS), retries };
            assert!(matches!(store.0.submit(2, GROUP, job(JOB, limits), 0).await, StoreReply::Accepted));
            while server.started_at.elapsed() < CROWD_DURATION + SOON {
                store.pass(SOON).await;
            }
            store.lose_power();
            let sent = server.answer_count.get();
            assert_eq!(store.outcomes(), [ItemOutcome::Succeeded], "{retries} retries, sent {sent} times");
        });
    }
}

/// Guards against an item that has a part of its output, or nothing, as its result because the answer's head was spoilt.
#[test]
fn an_item_whose_answer_has_a_spoilt_head_has_no_result() {
    let answers = [
        "HTTP/1.1 200 OK\r\nx-fennelgauge-request-id: i\r\ncontent-lexgth: 40\r\n\r\nid: 1\ndata: a text\n\n",
        "HTTP/1.1 200 OK\r\nx-fennelgauge-request-id: i\r\ncontent-length : 20\r\n\r\nid: 1\ndata: a text\n\n",
        "HTTP/1.1 200 OK\r\nx-fennelgauge-request-id: i\r\ntransfer-encoding: identity\r\n\r\nid: 1\ndata: a text\n\n",
        "HTTP/1.1 200 OK\r\nx-fennelgauge-request-id: i\r\nno field\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 000 OK\r\nx-fennelgauge-request-id: i\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nx-fennelgauge-request-id: i\r\nx a: b\r\ncontent-length: 0\r\n\r\n",
    ];
    for answer in answers {
        run_local(async {
            let server = StandIn::start(Answer::Spoilt(answer)).await;
            let store = RunningStore::recover(&recorded_job_with_retention(Some(RETENTION_MS)).await, 2);
            store.configure(7, ROUTE_WITH_RETENTION);
            server.serve_store(&store);
            while server.answer_count.get() < 2 && store.outcomes().is_empty() {
                store.pass(SOON).await;
            }
            store.lose_power();
            assert_eq!(store.outcomes(), [], "{answer:?}");
        });
    }
}

/// Guards against a run of an item that goes on for as long as its server sends something.
#[test]
fn a_run_whose_server_never_ends_its_response_is_followed_by_another() {
    const SEVERAL_RUNS: Duration = Duration::from_secs(60);
    run_local(async {
        let server = StandIn::start(Answer::Endless).await;
        let store = RunningStore::recover(&recorded_job_with_retention(Some(RETENTION_MS)).await, 2);
        store.configure(7, ROUTE_WITH_RETENTION);
        server.serve_store(&store);
        while server.started_at.elapsed() < SEVERAL_RUNS {
            store.pass(SOON).await;
        }
        store.lose_power();
        let runs = server.answer_count.get();
        assert!((2..=4).contains(&runs), "{runs} runs in {SEVERAL_RUNS:?}");
    });
}

/// Guards against items that are never given up while the configuration changes again and again: each change came before the
/// core could confirm the one before it.
#[test]
fn items_are_given_up_while_the_configuration_changes_each_tenth_of_a_second() {
    const CHANGE_INTERVAL: Duration = Duration::from_millis(100);
    const CHANGES: u64 = 40;
    run_local(async {
        let store = RunningStore::start().await;
        let core = TierState::for_source();
        for generation in 6..6 + CHANGES {
            let requested_at = Instant::now();
            let known = store.0.known.known_versions();
            store.pass(CHANGE_INTERVAL).await;
            let json = format!(r#"{{"generation":{generation},"routes":[],"services":[]}}"#);
            assert!(core.update_configuration(generation, json.into_bytes()));
            core.update_configuration_confirmation(Instant::now());
            let reply = core.wait_for_update(&WatchRequest { known, wait_ms: 0 }).await;
            assert!(store.0.known.apply_update(reply, requested_at));
        }
        assert_eq!(store.outcomes(), [ItemOutcome::DeadLettered], "the job has no route any more");
    });
}
