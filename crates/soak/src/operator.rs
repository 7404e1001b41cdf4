//! The operator: one configuration after the other, each until it is acknowledged; and whether data planes ever go back.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use awc::http::Method;
use awc::Client;
use tokio::sync::Mutex;
use tokio::time::{sleep, Instant};

use crate::http::{request, send, To};
use crate::schedule::Target;
use crate::world::{Phase, World};

const ORDER_WITHIN: Duration = Duration::from_millis(1_500);
const AGAIN: Duration = Duration::from_millis(150);
const PROBE_EVERY: Duration = Duration::from_millis(250);
const PROBE_WITHIN: Duration = Duration::from_millis(2_000);

/// One change at a time.
#[derive(Default)]
pub struct Operator {
    turn: Mutex<()>,
}

impl Operator {
    /// Sends the next configuration until it is acknowledged; false if it is not within `within`.
    pub async fn configure(&self, world: &World, within: Duration) -> bool {
        let _turn = self.turn.lock().await;
        let base = world.acknowledged.get();
        let generation = base + 1;
        let body = world.configuration(generation).to_string().into_bytes();
        let until = Instant::now() + within;
        while Instant::now() < until {
            let machine = fastrand::u8(0..world.plan.core);
            let to = To { address: world.tier.control_address(machine), path: "/-/Config.Put", key: "" };
            let call = request(&Client::default(), Method::POST, &to, ORDER_WITHIN).force_close();
            let call = call
                .insert_header(("X-Fennelgauge-Base-Version", base.to_string()))
                .insert_header(("Content-Type", "application/json"));
            match send(call, body.clone()).await.map(|answer| answer.status) {
                Ok(200) => {
                    world.acknowledged.set(generation);
                    world.events.note(format_args!("configuration {generation} is acknowledged"));
                    return true;
                }
                Ok(status @ 400..=499) if status != 408 && status != 429 => {
                    world.blame("CONFIG", format!("configuration {generation} is refused with {status}"));
                    return false;
                }
                _ => sleep(AGAIN).await,
            }
        }
        false
    }
}

/// What a data plane answers on the route of a configuration: true if it has the route, none if that cannot be told.
pub async fn has_route(world: &World, front: u8, generation: u64) -> Option<bool> {
    let (path, key) = (World::route_of(generation), World::key(0));
    let to = To { address: world.tier.front_address(front), path: &path, key: &key };
    let call = request(&Client::default(), Method::POST, &to, PROBE_WITHIN).force_close();
    let call = call
        .insert_header(("X-Fennelgauge-Request-Id", format!("live-{}", world.number())))
        .insert_header(("X-Fennelgauge-Request-Deadline", "1500"));
    match send(call, b"probe".to_vec()).await.ok()?.status {
        200 => Some(true),
        404 => Some(false),
        _ => None,
    }
}

/// Watches one data plane: within one life of its process, a route that it had never goes.
pub async fn watch(world: Rc<World>, front: u8) {
    let mut had: BTreeMap<u64, u64> = BTreeMap::new();
    while world.phase.get() <= Phase::Recovering {
        sleep(PROBE_EVERY).await;
        let newest = world.acknowledged.get();
        if newest < 2 {
            continue;
        }
        let generation = fastrand::u64(2.max(newest.saturating_sub(2))..=newest);
        let life = lives(&world, front).await;
        let has = has_route(&world, front, generation).await;
        if lives(&world, front).await != life {
            continue;
        }
        let highest = had.entry(life).or_default();
        match has {
            Some(true) => *highest = generation.max(*highest),
            Some(false) if generation <= *highest => {
                let what =
                    format!("edge-{front} served configuration {highest} and has no route of {generation}");
                world.blame("CONFIG", what);
            }
            _ => {}
        }
    }
}

async fn lives(world: &World, front: u8) -> u64 {
    match world.process(Target::DataPlane(front)) {
        Some(process) => process.lock().await.lives,
        None => 0,
    }
}
