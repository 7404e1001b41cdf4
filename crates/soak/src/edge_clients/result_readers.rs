//! Clients that read a large page of a batch job's results slowly, also through a SIGTERM. Such a response is made at once and
//! written for as long as its client reads.

use std::rc::Rc;
use std::time::Duration;

use base64::prelude::{Engine, BASE64_STANDARD};
use fennelgauge_standins::{EVENTS_PER_RESPONSE, LARGE_EVENT_BYTES};
use serde_json::json;
use tokio::time::{sleep, Instant};

use super::{
    connect, count, exchange, request_head, ResponseEnd, MACHINE_SLACK, PAUSE, SLACK, SLOW_BYTES_PER_S,
};
use crate::world::{Phase, World, PAGES_PREFIX};

/// Time that clients give their requests, in milliseconds.
const DEADLINE_MS: u64 = 5_000;
/// Longest wait for the result of the only item of a job.
const RESULT_TIMEOUT: Duration = Duration::from_secs(3);
/// Bytes of the text of an item's result.
const RESULT_BYTES: usize = EVENTS_PER_RESPONSE as usize * LARGE_EVENT_BYTES;

/// Reads the results of finished batch jobs slowly, one after the other. One that breaks off around planned work only is lost.
pub async fn read_results_slowly(world: Rc<World>, front: u8) {
    let mut finished = None;
    while world.phase.get() <= Phase::Recovering {
        sleep(PAUSE).await;
        let Some(job) = finished.take() else {
            finished = finish_job(&world, front).await;
            continue;
        };
        let (sent, sent_at) = (world.events.now(), Instant::now());
        let Some(stream) = connect(&world, front).await else { continue };
        match exchange(stream, &results_request(&job), Some(SLOW_BYTES_PER_S)).await {
            ResponseEnd::Whole { status: 200, body } if body.len() >= RESULT_BYTES => {
                count(&world, |cases| cases.pages_read_slowly += 1);
                finished = Some(job);
            }
            ResponseEnd::Broken { has_begun } => {
                let late = sent_at.elapsed() > SLACK + MACHINE_SLACK;
                if world.only_planned_since(sent) && (has_begun || late) {
                    let took = sent_at.elapsed().as_millis();
                    world.blame("LOST", format!("results of {job} at edge-{front}: cut after {took} ms"));
                }
                finished = Some(job);
            }
            // Its retention is over, or its result cannot be read now.
            _ => world.events.note(format_args!("results of {job} at edge-{front}: not read")),
        }
    }
}

/// Submits a batch job of one item with a long text, and waits until it has its result. Returns its id, unless it takes too long.
async fn finish_job(world: &World, front: u8) -> Option<String> {
    let job = format!("{PAGES_PREFIX}{}", world.number());
    let stream = connect(world, front).await?;
    let ResponseEnd::Whole { status: 202, .. } = exchange(stream, &submission(&job), None).await else {
        return None;
    };
    let until = Instant::now() + RESULT_TIMEOUT;
    while Instant::now() < until {
        let stream = connect(world, front).await?;
        match exchange(stream, &results_request(&job), None).await {
            ResponseEnd::Whole { status: 200, body } if body.len() >= RESULT_BYTES => return Some(job),
            _ => sleep(PAUSE).await,
        }
    }
    None
}

fn submission(job: &str) -> Vec<u8> {
    let item = json!({ "id": format!("{job}-0"), "path": "/batch/large/x", "headers": {}, "tokens": 1,
                       "body": BASE64_STANDARD.encode(job) });
    let body = json!({ "requests": [item] }).to_string();
    let length = body.len();
    format!(
        "{}Content-Length: {length}\r\n\r\n{body}",
        request_head("POST", "/batch/submit", job, DEADLINE_MS)
    )
    .into_bytes()
}

fn results_request(job: &str) -> Vec<u8> {
    format!("{}\r\n", request_head("GET", &format!("/-/lots/{job}?start_after=0"), job, DEADLINE_MS))
        .into_bytes()
}
