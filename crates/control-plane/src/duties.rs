//! Duties towards the platform: the head reports usage. Counts of a window are fixed by the chain before they are first
//! sent, so that whoever sends them sends the same. The fence is the epoch of the view.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use fennelgauge_upstream::{client, FENCING_TOKEN, LEASE_HOLDER};
use fennelgauge_wire::UsageReport;
use tokio::time::sleep;

use crate::core::Core;

const CHECK_EVERY: Duration = Duration::from_millis(300);
const CALL_TIMEOUT: Duration = Duration::from_millis(1_200);
/// So long after a window's end its counts are fixed; every process tells its own once a second.
const FIX_AFTER_S: f64 = 4.0;
/// A new holder hears everybody for so long before it fixes anything.
const HOLDER_PATIENCE: Duration = Duration::from_millis(2_200);
/// Windows further back are not reported any more.
const WINDOWS_BACK: u64 = 4;

type Counts = BTreeMap<String, u64>;
/// Counts by process and its life.
type ByProcess = HashMap<(String, u64), Counts>;

/// What processes told of the requests that began.
#[derive(Default)]
pub struct UsageCollector {
    windows: RefCell<BTreeMap<u64, ByProcess>>,
}

impl UsageCollector {
    /// A process told its counts so far.
    pub fn hear(&self, report: UsageReport) {
        let mut windows = self.windows.borrow_mut();
        for counted in report.windows {
            let process = (report.node.clone(), report.life);
            let counts = windows.entry(counted.window).or_default().entry(process).or_default();
            for (tenant, count) in counted.counts {
                let known = counts.entry(tenant).or_default();
                *known = count.max(*known);
            }
        }
        while windows.len() > 2 * WINDOWS_BACK as usize + 2 {
            windows.pop_first();
        }
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

/// Seconds since 1970 on this machine's clock.
pub fn wall_clock_s() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64()
}

/// Reports usage without end, while this machine is the head.
pub async fn report_usage(core: Rc<Core>, collector: Rc<UsageCollector>) {
    let Some(platform) = core.settings.cloud.addr else { return };
    if !core.settings.cloud.duties.iter().any(|duty| duty == "usage_report") {
        return;
    }
    let client = client();
    let mut reported: Option<u64> = None;
    loop {
        sleep(CHECK_EVERY).await;
        if !core.is_head() || !core.is_confirmed() || core.in_view_for() < HOLDER_PATIENCE {
            continue;
        }
        let width = core.settings.bounds.usage_window_s;
        let Some(newest) = (((wall_clock_s() - FIX_AFTER_S) / width) as u64).checked_sub(1) else { continue };
        let oldest = newest.saturating_sub(WINDOWS_BACK - 1);
        let first = reported.map_or(oldest, |reported| (reported + 1).max(oldest));
        for window in first..=newest {
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
    if !state.usage.contains_key(&window) {
        let counts = collector.sum(window);
        if counts.is_empty() {
            return true;
        }
        if core.write(|state| state.with_usage(window, counts).ok_or(())).await.is_err() {
            return false;
        }
    }
    // Only what is committed is sent: what is not may be replaced by another head's counts.
    let Some(state) = core.committed_state() else { return false };
    let Some(counts) = state.usage.get(&window) else { return false };
    let fence = core.epoch().to_string();
    let call = client
        .post(format!("http://{platform}/usage"))
        .timeout(CALL_TIMEOUT)
        .insert_header((LEASE_HOLDER, core.me.identity.node.as_str()))
        .insert_header((FENCING_TOKEN, fence.as_str()))
        .send_json(&serde_json::json!({ "window": window, "counts": counts }));
    match call.await {
        Ok(answer) if answer.status().is_success() => true,
        Ok(answer) => {
            log::warn!("usage of window {window}: the platform answered {}", answer.status());
            answer.status() == awc::http::StatusCode::CONFLICT
        }
        Err(reason) => {
            log::warn!("usage of window {window}: {reason}");
            false
        }
    }
}
