//! Tells the home of this process's servers of what was seen of them here, and takes what others saw.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use fennelgauge_sharing::{ServerKey, ServerStats, StatsReport, StatsTotals};
use fennelgauge_wire::{Caller, Reply, Request};
use tokio::time::{sleep, Instant};

use crate::subscriber::source_at;
use crate::{ServerPool, Subscription, TierState};

/// A report is sent so often, or as seldom as its size makes it.
const REPORT_EVERY: Duration = Duration::from_millis(100);
/// What reports and their answers may take of the link, in bytes a second.
const MOST_BYTES_A_SECOND: f64 = 4_000.0;
/// Of one server in a report or an answer.
const USE_BYTES: f64 = 14.0;
/// After so many reports the nearest source is tried again.
const NEAREST_AGAIN_AFTER: u64 = 30;
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);
/// A request waits unusually long from here on at least, and at most, whatever answers take.
const LEAST_SILENCE: Duration = Duration::from_millis(100);
const MOST_SILENCE: Duration = Duration::from_millis(700);
/// A process that cannot reach this part of its servers is cut off itself: it spreads no suspicion.
const CUT_OFF_PART: f64 = 0.5;

impl ServerPool {
    /// What is longer than answers usually take to begin.
    fn unusual_silence(&self) -> Duration {
        let usual = self.heads.borrow().upper_bound().unwrap_or(MOST_SILENCE);
        usual.clamp(LEAST_SILENCE, MOST_SILENCE)
    }

    /// Marks servers that may be silent.
    pub(crate) fn suspect_silent(&self) {
        if !self.policy.suspect_silent {
            return;
        }
        let (usual, now) = (self.unusual_silence(), Instant::now());
        self.servers.borrow_mut().values_mut().for_each(|seen| seen.suspect(usual, now));
    }

    /// What this process has to tell.
    fn uses(&self) -> Vec<ServerStats> {
        let now = Instant::now();
        let servers = self.servers.borrow();
        let unreachable = servers.values().filter(|seen| seen.is_unreachable()).count();
        let cut_off = unreachable as f64 > servers.len() as f64 * CUT_OFF_PART;
        let own = servers.values().map(|seen| match cut_off {
            true => ServerStats { suspected_by: 0, ..seen.own_use(now) },
            false => seen.own_use(now),
        });
        own.filter(|told| !told.is_empty()).collect()
    }

    fn take_sums(&self, sums: &StatsTotals) {
        let now = Instant::now();
        let told: HashMap<ServerKey, &ServerStats> =
            sums.servers.iter().map(|told| (told.server, told)).collect();
        for seen in self.servers.borrow_mut().values_mut() {
            let told = told.get(&ServerKey::from_id(&seen.server.id)).copied();
            seen.take_others(told, now);
        }
    }
}

/// Reports without end, to the next source when one gives no answer. Nothing waits for it: without answers servers are
/// chosen by what is seen here.
pub async fn exchange_server_stats(
    pool: ServerPool,
    known: Rc<TierState>,
    caller: Caller,
    subscription: Subscription,
    life: u64,
) {
    if !pool.policy.shared_uses {
        return;
    }
    let mut source = 0;
    let mut sequence = 0;
    let mut pause = REPORT_EVERY;
    loop {
        sleep(pause).await;
        if sequence % NEAREST_AGAIN_AFTER == 0 {
            source = 0;
        }
        let Some(home) = source_at(source, &known, &subscription) else { continue };
        sequence += 1;
        let report = StatsReport { incarnation: life, sequence, servers: pool.uses() };
        let told = report.servers.len();
        match caller.call(home, Request::ServerStats(report), ANSWER_TIMEOUT).await {
            Ok(Reply::ServerStats(sums)) => {
                pool.take_sums(&sums);
                pause = pause_for(told + sums.servers.len());
            }
            _ => source += 1,
        }
    }
}

/// The time until the next report, by how many servers the last one and its answer named.
fn pause_for(uses: usize) -> Duration {
    Duration::from_secs_f64(uses as f64 * USE_BYTES / MOST_BYTES_A_SECOND).max(REPORT_EVERY)
}

#[cfg(test)]
mod tests;
