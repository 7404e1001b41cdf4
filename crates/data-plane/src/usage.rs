//! Counts requests that began to run, by window and tenant, and tells the counts to the head of the core.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use fennelgauge_upstream::wall_clock;
use fennelgauge_wire::{Request, ServiceTimeliness, UsageReport, WindowCounts};
use futures_util::future::join_all;
use tokio::time::sleep;

use crate::process::Plane;

const REPORT_EVERY: Duration = Duration::from_millis(250);
const REPORT_TIMEOUT: Duration = Duration::from_millis(700);
/// The other links are told each so many rounds.
const OTHERS_EACH: u64 = 3;
/// Windows that are told again, in case the head has changed.
const WINDOWS_TOLD: usize = 4;

/// Counts of the newest windows.
pub struct UsageCounts {
    width_s: f64,
    life: u64,
    windows: BTreeMap<u64, BTreeMap<String, u64>>,
}

impl UsageCounts {
    /// For windows of so many seconds.
    pub fn new(width_s: f64) -> Self {
        Self { width_s, life: getrandom::u64().unwrap_or(1), windows: BTreeMap::new() }
    }

    /// A request of the tenant's began now.
    pub fn count(&mut self, tenant: &str) {
        let window = (wall_clock().as_secs_f64() / self.width_s) as u64;
        *self.windows.entry(window).or_default().entry(tenant.to_owned()).or_default() += 1;
        while self.windows.len() > WINDOWS_TOLD {
            self.windows.pop_first();
        }
    }

    fn report(&self, node: &str, timeliness: Vec<ServiceTimeliness>) -> UsageReport {
        let windows = self.windows.iter().map(|(window, counts)| WindowCounts {
            window: *window,
            tenant_counts: counts.iter().map(|(tenant, count)| (tenant.clone(), *count)).collect(),
        });
        UsageReport { node: node.to_owned(), incarnation: self.life, windows: windows.collect(), timeliness }
    }
}

/// Tells the counts without end: to the head each time, to the other links of the chain now and then, so that the next
/// head knows those of processes that have ended since.
pub async fn report_usage(plane: Rc<Plane>) {
    for round in 0_u64.. {
        sleep(REPORT_EVERY).await;
        let Some(view) = plane.known.core_view() else { continue };
        let timeliness = plane.timeliness.borrow().report();
        let report = plane.usage.borrow().report(&plane.settings.node, timeliness);
        if report.windows.is_empty() && report.timeliness.is_empty() {
            continue;
        }
        let told = if round % OTHERS_EACH == 0 { view.chain.len() } else { 1 };
        let calls = view
            .chain
            .iter()
            .take(told)
            .map(|link| plane.caller.call(link.peer, Request::Usage(report.clone()), REPORT_TIMEOUT));
        for told in join_all(calls).await {
            if let Err(reason) = told {
                log::info!("usage is told again: {reason}");
            }
        }
    }
}
