//! Clients of batch jobs: they submit, end, send once more, and read from any position at any data plane.

use std::rc::Rc;
use std::time::Duration;

use awc::http::Method;
use awc::Client;
use base64::prelude::{Engine, BASE64_STANDARD};
use fennelgauge_batch_judge::{ListedResult, Outcome, ResultPage, SubmittedItem, SubmittedJob};
use serde::Deserialize;
use serde_json::json;
use tokio::time::{sleep, Instant};

use crate::http::{request, send, NoAnswer, To};
use crate::world::{Phase, World, BATCH_ROUTE};

const TOKENS: u64 = 10;
const MOST_ITEMS: u8 = 8;
const SUBMIT_WITHIN: Duration = Duration::from_millis(4_000);
const READ_WITHIN: Duration = Duration::from_millis(2_500);
const AGAIN: Duration = Duration::from_millis(120);
const POLL_WAIT_MS: u64 = 300;

#[derive(Deserialize)]
struct PageBody {
    total: usize,
    results: Vec<ResultBody>,
}

#[derive(Deserialize)]
struct ResultBody {
    id: String,
    state: String,
    text: String,
}

fn tenant_of(job: &str) -> u8 {
    job.split('-').nth(1).and_then(|tenant| tenant.parse().ok()).unwrap_or(0)
}

fn any_front(world: &World) -> u8 {
    fastrand::u8(0..world.plan.data_planes)
}

/// One tenant's batch jobs, one after the other, until no new ones are to come.
pub async fn submit(world: Rc<World>, tenant: u8) {
    while world.phase.get() <= Phase::Troubled {
        let id = format!("job-{tenant}-{}", world.number());
        let items: Vec<SubmittedItem> = (0..fastrand::u8(1..=MOST_ITEMS))
            .map(|place| SubmittedItem { id: format!("{id}-{place}"), tokens: TOKENS })
            .collect();
        let (route, submitted_at) = (BATCH_ROUTE.to_owned(), world.events.now());
        let job = SubmittedJob { id: id.clone(), tenant: World::tenant(tenant), route, submitted_at, items };
        if submitted(&world, &job).await && fastrand::u8(0..8) == 0 {
            world.to_end.borrow_mut().push(id);
        } else if fastrand::u8(0..6) == 0 {
            // As if its 202 had been lost.
            submitted(&world, &job).await;
        }
        sleep(Duration::from_millis(fastrand::u64(20..300))).await;
    }
}

/// The path of an item: of each sixteen, one fails at each run and one is rejected, at each submission alike.
fn item_path(item: &str) -> &'static str {
    match item.bytes().map(u32::from).sum::<u32>() % 16 {
        0 => "/batch/fail/x",
        1 => "/batch/poison/x",
        _ => "/batch/run/slow/x",
    }
}

/// Offers a batch job until it is taken or clearly refused; true if it was taken. One that every answer promised not to run is told
/// to the judge.
async fn submitted(world: &Rc<World>, job: &SubmittedJob) -> bool {
    let body = |item: &SubmittedItem| {
        json!({ "id": item.id, "path": item_path(&item.id), "headers": {}, "tokens": item.tokens,
                "body": BASE64_STANDARD.encode(&item.id) })
    };
    let requests: Vec<_> = job.items.iter().map(body).collect();
    let body = json!({ "requests": requests }).to_string().into_bytes();
    let key = World::key(tenant_of(&job.id));
    let mut only_promises = true;
    world.judge.borrow_mut().record_submission(job);
    while world.phase.get() <= Phase::Recovering {
        let to = To { address: world.tier.front_address(any_front(world)), path: "/batch/submit", key: &key };
        let call = request(&Client::default(), Method::POST, &to, SUBMIT_WITHIN).force_close();
        let call = call
            .insert_header(("X-Fennelgauge-Request-Id", job.id.clone()))
            .insert_header(("X-Fennelgauge-Request-Deadline", "4000"));
        match send(call, body.clone()).await.map(|answer| answer.status) {
            Ok(202) => {
                world.judge.borrow_mut().record_acceptance(world.events.now(), &job.id);
                return true;
            }
            Ok(status @ 400..=499) if status != 408 && status != 421 => {
                if status != 429 {
                    world.blame("DENIED", format!("{} is refused with {status}", job.id));
                } else if only_promises && !is_accepted(world, &job.id) {
                    world.judge.borrow_mut().record_refusal(world.events.now(), &job.id);
                }
                return false;
            }
            Ok(503 | 408 | 421) | Err(NoAnswer::NotConnected) => sleep(AGAIN).await,
            _ => {
                only_promises = false;
                sleep(AGAIN).await;
            }
        }
    }
    false
}

fn is_accepted(world: &World, job: &str) -> bool {
    world.judge.borrow().accepted_jobs().iter().any(|accepted| accepted == job)
}

/// Ends batch jobs that are to be ended.
pub async fn end(world: Rc<World>) {
    while world.phase.get() <= Phase::Recovering {
        sleep(AGAIN).await;
        let Some(job) = world.to_end.borrow_mut().pop() else { continue };
        world.judge.borrow_mut().record_cancel_request(&job);
        let (path, key) = (format!("/-/lots/{job}"), World::key(tenant_of(&job)));
        while world.phase.get() <= Phase::Recovering {
            let to = To { address: world.tier.front_address(any_front(&world)), path: &path, key: &key };
            let call = request(&Client::default(), Method::DELETE, &to, SUBMIT_WITHIN).force_close();
            match send(call, Vec::new()).await.map(|answer| answer.status) {
                Ok(200) => {
                    world.judge.borrow_mut().record_cancelled(world.events.now(), &job);
                    break;
                }
                _ => sleep(AGAIN).await,
            }
        }
    }
}

/// Reads batch jobs without end, the newest most, from any position, at any data plane.
pub async fn read_on(world: Rc<World>) {
    while world.phase.get() <= Phase::Recovering {
        sleep(Duration::from_millis(fastrand::u64(10..150))).await;
        let jobs = world.judge.borrow().accepted_jobs();
        let Some(job) = fastrand::choice(jobs.iter()) else { continue };
        let start = if fastrand::bool() { 0 } else { fastrand::usize(0..usize::from(MOST_ITEMS)) };
        read(&world, job, start, any_front(&world)).await;
    }
}

/// Reads one page and hands it to the judge; true if there was one.
pub async fn read(world: &World, job: &str, start: usize, front: u8) -> bool {
    let (path, key) = (format!("/-/lots/{job}?start_after={start}"), World::key(tenant_of(job)));
    let to = To { address: world.tier.front_address(front), path: &path, key: &key };
    let call = request(&Client::default(), Method::GET, &to, READ_WITHIN).force_close();
    let call = call.insert_header(("X-Fennelgauge-Poll-Wait", POLL_WAIT_MS.to_string()));
    let asked = world.events.now();
    let Ok(answer) = send(call, Vec::new()).await else { return false };
    let now = world.events.now();
    let reader = format!("edge-{front}");
    match answer.status {
        200 => match serde_json::from_slice::<PageBody>(&answer.body) {
            Ok(page) => {
                world.judge.borrow_mut().check_page(asked, now, job, &seen(start, page), &reader);
                true
            }
            Err(reason) => {
                world.blame("MIXED", format!("{job}: a page of {reader} cannot be read: {reason}"));
                false
            }
        },
        404 => {
            world.judge.borrow_mut().check_not_found(asked, now, job, &reader);
            false
        }
        _ => false,
    }
}

fn seen(start: usize, page: PageBody) -> ResultPage {
    let listed = |result: ResultBody| ListedResult {
        item: result.id,
        outcome: match result.state.as_str() {
            "succeeded" => Outcome::Succeeded,
            _ => Outcome::DeadLettered,
        },
        text: result.text,
    };
    ResultPage { start, total: page.total, results: page.results.into_iter().map(listed).collect() }
}

/// Reads a batch job from its start until it answers whole, or the time is up.
pub async fn sweep(world: &World, job: &str, front: u8, until: Instant) -> bool {
    while Instant::now() < until {
        if read(world, job, 0, front).await {
            return true;
        }
        sleep(AGAIN).await;
    }
    false
}
