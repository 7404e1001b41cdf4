//! Duties towards the platform: the head reports usage and orders servers. Counts of a window are fixed by the chain before they are first
//! sent, so that whoever sends them sends the same. The fence is the epoch of the view.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use awc::http::StatusCode;
use fennelgauge_model::{ServerState, Service};
use fennelgauge_upstream::{platform_client, wall_clock, FENCING_TOKEN, LEASE_HOLDER};
use fennelgauge_wire::{ServiceTimeliness, UsageReport};
use tokio::time::{sleep, Instant};

use crate::core::Core;
use crate::scaling::{Scaler, Seen};

const CHECK_EVERY: Duration = Duration::from_millis(300);
const CALL_TIMEOUT: Duration = Duration::from_millis(1_200);
/// So long after a window's end its counts are fixed, if all processes have told theirs since; every one tells four times a second.
const FIX_AFTER_S: f64 = 4.0;
/// By then they are fixed without those that are silent: the platform takes reports for some seconds more.
const FIX_AT_LAST_S: f64 = 6.5;
/// A process counts what began in a window a moment after its end at the latest.
const COUNTED_AFTER_S: f64 = 0.4;
/// A process that has told nothing for so long is gone.
const GONE_AFTER_S: f64 = 15.0;
/// A new holder hears everybody for so long before it fixes anything.
const HOLDER_PATIENCE: Duration = Duration::from_millis(2_200);
/// Windows further back are not reported any more.
const WINDOWS_BACK: u64 = 4;

/// Timeliness is looked at so often.
const LOOK_EVERY: Duration = Duration::from_millis(1_500);

type Counts = BTreeMap<String, u64>;
/// Counts by process and its life.
type ByProcess = HashMap<(String, u64), Counts>;

/// What processes told of the requests that began.
#[derive(Default)]
pub struct UsageCollector {
    windows: RefCell<BTreeMap<u64, ByProcess>>,
    /// When each process, in each of its lives, told something last; in seconds on this machine's wall clock.
    told_at: RefCell<HashMap<(String, u64), f64>>,
    /// By process and its life: what it told of its answers last.
    timeliness: RefCell<HashMap<(String, u64), Vec<ServiceTimeliness>>>,
    /// By service: answers and late ones since the last look.
    fresh: RefCell<BTreeMap<String, (u64, u64)>>,
}

impl UsageCollector {
    /// A process told its counts so far.
    pub fn hear(&self, report: UsageReport) {
        self.hear_timeliness((report.node.clone(), report.incarnation), &report.timeliness);
        self.told_at
            .borrow_mut()
            .insert((report.node.clone(), report.incarnation), wall_clock().as_secs_f64());
        let mut windows = self.windows.borrow_mut();
        for counted in report.windows {
            let process = (report.node.clone(), report.incarnation);
            let counts = windows.entry(counted.window).or_default().entry(process).or_default();
            for (tenant, count) in counted.tenant_counts {
                let known = counts.entry(tenant).or_default();
                *known = count.max(*known);
            }
        }
        while windows.len() > 2 * WINDOWS_BACK as usize + 2 {
            windows.pop_first();
        }
    }

    fn hear_timeliness(&self, process: (String, u64), told: &[ServiceTimeliness]) {
        let before = self.timeliness.borrow_mut().insert(process, told.to_vec());
        // The first report of a process tells of times long past.
        let Some(before) = before else { return };
        let mut fresh = self.fresh.borrow_mut();
        for now in told {
            let then = before.iter().find(|then| then.service == now.service);
            let (answers, late) = then.map_or((0, 0), |then| (then.responses, then.late));
            let counts = fresh.entry(now.service.clone()).or_default();
            counts.0 += now.responses.saturating_sub(answers);
            counts.1 += now.late.saturating_sub(late);
        }
    }

    /// Answers and late ones of a service since the last time this was asked.
    fn fresh_timeliness(&self, service: &str) -> (u64, u64) {
        self.fresh.borrow_mut().remove(service).unwrap_or_default()
    }

    /// Whether every process that lives has told its counts of a window that ended at `end_s`.
    pub fn has_all_of(&self, end_s: f64, now_s: f64) -> bool {
        let mut told_at = self.told_at.borrow_mut();
        told_at.retain(|_, told_s| now_s - *told_s < GONE_AFTER_S);
        told_at.values().all(|told_s| *told_s >= end_s + COUNTED_AFTER_S)
    }

    /// The sum of a window.
    pub fn sum(&self, window: u64) -> Counts {
        let windows = self.windows.borrow();
        let mut sum = Counts::new();
        for counts in windows.get(&window).into_iter().flat_map(HashMap::values) {
            for (tenant, count) in counts {
                *sum.entry(tenant.clone()).or_default() += count;
            }
        }
        sum
    }
}

/// Reports usage without end, while this machine is the head.
pub async fn report_usage(core: Rc<Core>, collector: Rc<UsageCollector>) {
    let Some(platform) = core.settings.cloud.addr else { return };
    if !core.settings.cloud.duties.iter().any(|duty| duty == "usage_report") {
        return;
    }
    let client = platform_client();
    let mut reported: Option<u64> = None;
    loop {
        sleep(CHECK_EVERY).await;
        if !core.is_head() || !core.is_confirmed() || core.in_view_for() < HOLDER_PATIENCE {
            continue;
        }
        let width = core.settings.bounds.usage_window_s;
        let now_s = wall_clock().as_secs_f64();
        let Some(newest) = (((now_s - FIX_AFTER_S) / width) as u64).checked_sub(1) else { continue };
        let oldest = newest.saturating_sub(WINDOWS_BACK - 1);
        let first = reported.map_or(oldest, |reported| (reported + 1).max(oldest));
        for window in first..=newest {
            let end_s = (window + 1) as f64 * width;
            if now_s < end_s + FIX_AT_LAST_S && !collector.has_all_of(end_s, now_s) {
                break;
            }
            if !report_window(&core, &collector, &client, platform, window).await {
                break;
            }
            reported = Some(window);
        }
    }
}

async fn report_window(
    core: &Rc<Core>,
    collector: &UsageCollector,
    client: &awc::Client,
    platform: SocketAddr,
    window: u64,
) -> bool {
    let Some(state) = core.committed_state() else { return false };
    if !state.small.usage.contains_key(&window) {
        let counts = collector.sum(window);
        if counts.is_empty() {
            return true;
        }
        if core.write(|state| state.usage_change(window, counts).ok_or(())).await.is_err() {
            return false;
        }
    }
    // Only what is committed is sent: what is not may be replaced by another head's counts.
    let Some(state) = core.committed_state() else { return false };
    let Some(counts) = state.small.usage.get(&window) else { return false };
    let report = serde_json::json!({ "window": window, "counts": counts });
    match call_platform(core, client, platform, "usage", &report).await {
        Some(status) => status.is_success() || status == StatusCode::CONFLICT,
        None => false,
    }
}

/// A call that falls to the holder of a duty, under its fence; none if there was no answer.
async fn call_platform(
    core: &Core,
    client: &awc::Client,
    platform: SocketAddr,
    duty: &str,
    body: &serde_json::Value,
) -> Option<StatusCode> {
    let call = client
        .post(format!("http://{platform}/{duty}"))
        .timeout(CALL_TIMEOUT)
        .insert_header((LEASE_HOLDER, core.me.identity.node.as_str()))
        .insert_header((FENCING_TOKEN, core.epoch().to_string()))
        .send_json(body);
    match call.await {
        Ok(answer) => {
            if !answer.status().is_success() {
                log::warn!("{duty} {body}: the platform answered {}", answer.status());
            }
            Some(answer.status())
        }
        Err(reason) => {
            log::warn!("{duty} {body}: {reason}");
            None
        }
    }
}

/// Orders servers without end, while this machine is the head.
pub async fn order_servers(core: Rc<Core>, collector: Rc<UsageCollector>) {
    let Some(platform) = core.settings.cloud.addr else { return };
    if !core.settings.cloud.duties.iter().any(|duty| duty == "autoscale") {
        return;
    }
    let client = platform_client();
    let began = Instant::now();
    let mut scalers: HashMap<String, Scaler> = HashMap::new();
    loop {
        sleep(LOOK_EVERY).await;
        let Some(table) = core.known.routing_table() else { continue };
        if !core.is_head() || !core.is_confirmed() || core.in_view_for() < HOLDER_PATIENCE {
            scalers.clear();
            continue;
        }
        for service in &table.configuration.services {
            let Some(bounds) = service.autoscale else { continue };
            let seen = seen(&core, &collector, service);
            let orders =
                scalers.entry(service.name.clone()).or_default().orders(began.elapsed(), &seen, bounds);
            for (zone, desired) in orders {
                log::info!("{desired} servers of {} are ordered in {zone}", service.name);
                let order = serde_json::json!({ "backend": service.name, "zone": zone, "desired": desired });
                call_platform(&core, &client, platform, "scale", &order).await;
            }
        }
    }
}

fn seen(core: &Core, collector: &UsageCollector, service: &Service) -> Seen {
    let (answers, late) = collector.fresh_timeliness(&service.name);
    let mut servers: BTreeMap<String, u32> = BTreeMap::new();
    for server in &core.known.server_list().servers {
        if server.backend == service.name {
            let count = servers.entry(server.zone.clone()).or_default();
            *count += u32::from(server.state == ServerState::Ready);
        }
    }
    Seen { answers, late, servers }
}

#[cfg(test)]
mod tests;
