//! Counts the live requests of each tenant that a server began to answer successfully, by window, and reports the counts to
//! the core.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use fennelgauge_upstream::wall_clock;
use fennelgauge_wire::{Request, ServiceTimeliness, UsageReport, WindowCounts};
use futures_util::future::join_all;
use tokio::time::sleep;

use crate::process::DataPlane;

const REPORT_INTERVAL: Duration = Duration::from_millis(250);
const REPORT_TIMEOUT: Duration = Duration::from_millis(700);
/// Every third report goes to all machines of the core's chain, the others only to the head.
const REPORTS_PER_CHAIN_REPORT: u64 = 3;
/// Windows that are kept and sent with each report, so that a new head of the core gets the recent ones, too.
const MAX_WINDOWS: usize = 4;

/// Requests of each tenant in the newest windows.
pub struct UsageCounters {
    window_s: f64,
    incarnation: u64,
    windows: BTreeMap<u64, BTreeMap<String, u64>>,
}

impl UsageCounters {
    /// Creates counters for windows of `window_s` seconds and draws the incarnation that identifies this run.
    pub fn new(window_s: f64) -> Self {
        Self { window_s, incarnation: getrandom::u64().unwrap_or(1), windows: BTreeMap::new() }
    }

    /// Counts a request of a tenant in the current window.
    pub fn count(&mut self, tenant: &str) {
        let window = (wall_clock().as_secs_f64() / self.window_s) as u64;
        *self.windows.entry(window).or_default().entry(tenant.to_owned()).or_default() += 1;
        while self.windows.len() > MAX_WINDOWS {
            self.windows.pop_first();
        }
    }

    /// Returns the counts of a node's newest windows, to be reported to the core.
    pub fn report(&self, node: &str, timeliness: Vec<ServiceTimeliness>) -> UsageReport {
        let windows = self.windows.iter().map(|(window, counts)| WindowCounts {
            window: *window,
            tenant_counts: counts.iter().map(|(tenant, count)| (tenant.clone(), *count)).collect(),
        });
        UsageReport {
            node: node.to_owned(),
            incarnation: self.incarnation,
            windows: windows.collect(),
            timeliness,
        }
    }
}

/// Reports the counts periodically; never returns. Every report goes to the head of the core and some to the rest of the
/// chain, so that the next head also has the counts of processes that have ended in the meantime.
pub async fn report_usage(plane: Rc<DataPlane>) {
    for round in 0_u64.. {
        sleep(REPORT_INTERVAL).await;
        let Some(view) = plane.tier_state.core_view() else { continue };
        let timeliness = plane.timeliness.borrow().report();
        let report = plane.usage.borrow().report(&plane.settings.node, timeliness);
        if report.windows.is_empty() && report.timeliness.is_empty() {
            continue;
        }
        let receivers = if round % REPORTS_PER_CHAIN_REPORT == 0 { view.chain.len() } else { 1 };
        let calls = view
            .chain
            .iter()
            .take(receivers)
            .map(|member| plane.caller.call(member.peer, Request::Usage(report.clone()), REPORT_TIMEOUT));
        for reply in join_all(calls).await {
            if let Err(error) = reply {
                log::info!("failed to report usage, the next report repeats it: {error}");
            }
        }
    }
}
