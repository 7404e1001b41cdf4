//! Calls to the platform that only the head of the core makes: reporting usage and scaling services.
//!
//! The counts of a usage window are committed through the chain before they are first sent, so that a later head sends
//! the same counts. Each call bears the fencing token that was taken when the work was found to be due, so that the
//! platform can refuse a head that has been replaced.

mod platform_calls;
#[cfg(test)]
mod tests;

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::Duration;

use awc::http::StatusCode;
use fennelgauge_coordination::FencingToken;
use fennelgauge_model::{ServerState, Service};
use fennelgauge_upstream::wall_clock;
use fennelgauge_wire::{ServiceTimeliness, UsageReport};
use tokio::time::{sleep, Instant};

use crate::core::Core;
use crate::scaling::{Scaler, ServiceLoad};
use platform_calls::{Duty, PlatformCallError, PlatformCaller};

/// How often the head looks for usage windows that are ready to be reported.
const USAGE_REPORT_INTERVAL: Duration = Duration::from_millis(300);
/// Time from the end of a usage window until its counts are committed, if every live process has reported since the
/// end. Processes report four times a second. In seconds.
const COMMIT_DELAY_S: f64 = 4.0;
/// Time from the end of a usage window until its counts are committed even if some process has not reported since.
/// The platform accepts reports for some seconds more. In seconds.
const COMMIT_DEADLINE_S: f64 = 6.5;
/// Longest time from the start of a request until its process has counted it, so that a report made this long after
/// a window's end holds all of the window's requests. In seconds.
const MAX_COUNTING_DELAY_S: f64 = 0.4;
/// A process that has not reported for this long is taken to have ended. In seconds.
const PROCESS_EXPIRY_S: f64 = 15.0;
/// Time for which a new head only collects reports, so that it has heard from every process before it commits counts
/// or scales services.
const NEW_HEAD_DELAY: Duration = Duration::from_millis(2_200);
/// Number of past usage windows that are still reported.
const MAX_REPORTED_WINDOWS: u64 = 4;

/// How often the head decides about the number of servers.
const SCALING_INTERVAL: Duration = Duration::from_millis(1_500);

/// Requests by tenant.
type CountsByTenant = BTreeMap<String, u64>;
/// Requests by tenant, by process: its node name and its incarnation.
type CountsByProcess = HashMap<(String, u64), CountsByTenant>;

/// Collects the reports of all processes about requests that began and about late responses.
#[derive(Default)]
pub struct UsageCollector {
    /// By usage window number.
    windows: RefCell<BTreeMap<u64, CountsByProcess>>,
    /// Time of each process's last report, in seconds of this machine's wall clock.
    last_reported_at: RefCell<HashMap<(String, u64), f64>>,
    /// The newest response counts of each process; they only grow while the process lives.
    timeliness: RefCell<HashMap<(String, u64), Vec<ServiceTimeliness>>>,
    /// Responses and late responses by service, added up since the last call of `take_timeliness`.
    timeliness_since_taken: RefCell<BTreeMap<String, (u64, u64)>>,
}

impl UsageCollector {
    /// Takes in a process's report. The counts of a window only grow, so a report that arrives late does no harm.
    pub fn record_report(&self, report: UsageReport) {
        self.record_timeliness((report.node.clone(), report.incarnation), &report.timeliness);
        self.last_reported_at
            .borrow_mut()
            .insert((report.node.clone(), report.incarnation), wall_clock().as_secs_f64());
        let mut windows = self.windows.borrow_mut();
        for counted in report.windows {
            let process = (report.node.clone(), report.incarnation);
            let counts = windows.entry(counted.window).or_default().entry(process).or_default();
            for (tenant, count) in counted.tenant_counts {
                let latest = counts.entry(tenant).or_default();
                *latest = count.max(*latest);
            }
        }
        while windows.len() > 2 * MAX_REPORTED_WINDOWS as usize + 2 {
            windows.pop_first();
        }
    }

    /// Adds what has changed since the process's previous report to the counts of each service.
    fn record_timeliness(&self, process: (String, u64), reported: &[ServiceTimeliness]) {
        let previous = self.timeliness.borrow_mut().insert(process, reported.to_vec());
        // Counts run from the process's start: its first report says nothing about the present.
        let Some(previous) = previous else { return };
        let mut timeliness_since_taken = self.timeliness_since_taken.borrow_mut();
        for now in reported {
            let then = previous.iter().find(|then| then.service == now.service);
            let (responses, late) = then.map_or((0, 0), |then| (then.responses, then.late));
            let counts = timeliness_since_taken.entry(now.service.clone()).or_default();
            counts.0 += now.responses.saturating_sub(responses);
            counts.1 += now.late.saturating_sub(late);
        }
    }

    /// Returns the number of responses and of late responses of a service since the last call, and resets both.
    fn take_timeliness(&self, service: &str) -> (u64, u64) {
        self.timeliness_since_taken.borrow_mut().remove(service).unwrap_or_default()
    }

    /// Returns true if every live process has reported all its requests of a window that ended at `end_s`. Forgets
    /// processes that have ended. Times are in seconds of this machine's wall clock.
    pub fn is_window_complete(&self, end_s: f64, now_s: f64) -> bool {
        let mut last_reported_at = self.last_reported_at.borrow_mut();
        last_reported_at.retain(|_, reported_s| now_s - *reported_s < PROCESS_EXPIRY_S);
        last_reported_at.values().all(|reported_s| *reported_s >= end_s + MAX_COUNTING_DELAY_S)
    }

    /// Returns the requests of a window by tenant, added over all processes.
    pub fn window_counts(&self, window: u64) -> CountsByTenant {
        let windows = self.windows.borrow();
        let mut window_counts = CountsByTenant::new();
        for counts in windows.get(&window).into_iter().flat_map(HashMap::values) {
            for (tenant, count) in counts {
                *window_counts.entry(tenant.clone()).or_default() += count;
            }
        }
        window_counts
    }
}

/// Reports usage windows to the platform while this machine is the head. Returns at once if the settings name no
/// platform or do not list the duty; otherwise never.
pub async fn report_usage(core: Rc<Core>, collector: Rc<UsageCollector>) {
    let Some(address) = core.settings.cloud.addr else { return };
    if !core.settings.cloud.duties.iter().any(|duty| duty == "usage_report") {
        return;
    }
    let platform = PlatformCaller::new(core.clone(), address);
    let mut last_reported: Option<u64> = None;
    loop {
        sleep(USAGE_REPORT_INTERVAL).await;
        let Some(token) = core.duty_token(NEW_HEAD_DELAY) else { continue };
        let width = core.settings.bounds.usage_window_s;
        let now_s = wall_clock().as_secs_f64();
        let Some(newest) = (((now_s - COMMIT_DELAY_S) / width) as u64).checked_sub(1) else { continue };
        let oldest = newest.saturating_sub(MAX_REPORTED_WINDOWS - 1);
        let first = last_reported.map_or(oldest, |last| (last + 1).max(oldest));
        for window in first..=newest {
            let end_s = (window + 1) as f64 * width;
            if now_s < end_s + COMMIT_DEADLINE_S && !collector.is_window_complete(end_s, now_s) {
                break;
            }
            if !report_window(&core, &collector, &platform, token, window).await {
                break;
            }
            last_reported = Some(window);
        }
    }
}

/// Commits a window's counts if they are not committed yet, and sends them. Returns true if the window is done: it was
/// reported, the platform already has it, or it has no requests.
async fn report_window(
    core: &Rc<Core>,
    collector: &UsageCollector,
    platform: &PlatformCaller,
    token: FencingToken,
    window: u64,
) -> bool {
    let Some(state) = core.committed_state() else { return false };
    if !state.metadata.usage.contains_key(&window) {
        let counts = collector.window_counts(window);
        if counts.is_empty() {
            return true;
        }
        if core.write(|state| state.usage_change(window, counts).ok_or(())).await.is_err() {
            return false;
        }
    }
    // Only committed counts are sent: another head could replace counts that are not committed.
    let Some(state) = core.committed_state() else { return false };
    let Some(counts) = state.metadata.usage.get(&window) else { return false };
    let report = serde_json::json!({ "window": window, "counts": counts });
    match platform.call(token, Duty::Usage, &report).await {
        Ok(status) => status.is_success() || status == StatusCode::CONFLICT,
        Err(reason) => {
            log::warn!("usage window {window}: {reason}");
            false
        }
    }
}

/// Scales the services that have autoscaling bounds while this machine is the head. Returns at once if the settings
/// name no platform or do not list the duty; otherwise never.
pub async fn scale_services(core: Rc<Core>, collector: Rc<UsageCollector>) {
    let Some(address) = core.settings.cloud.addr else { return };
    if !core.settings.cloud.duties.iter().any(|duty| duty == "autoscale") {
        return;
    }
    let platform = PlatformCaller::new(core.clone(), address);
    let started = Instant::now();
    let mut scalers: HashMap<String, Scaler> = HashMap::new();
    loop {
        sleep(SCALING_INTERVAL).await;
        let Some(table) = core.known.routing_table() else { continue };
        let Some(token) = core.duty_token(NEW_HEAD_DELAY) else {
            scalers.clear();
            continue;
        };
        for service in &table.configuration.services {
            let Some(bounds) = service.autoscale else { continue };
            let load = service_load(&core, &collector, service);
            let orders =
                scalers.entry(service.name.clone()).or_default().scale(started.elapsed(), &load, bounds);
            if let Err(reason) = order_servers(&platform, token, &service.name, orders).await {
                log::warn!("service {}: orders of servers: {reason}", service.name);
                scalers.clear();
                break;
            }
        }
    }
}

/// Orders the number of servers of a service in each of some zones. A zone's order without a response is not repeated.
///
/// # Errors
/// If this machine no longer holds the duty; the remaining orders were not sent.
async fn order_servers(
    platform: &PlatformCaller,
    token: FencingToken,
    service: &str,
    orders: BTreeMap<String, u32>,
) -> Result<(), PlatformCallError> {
    for (zone, desired) in orders {
        log::info!("service {service}: scaling to {desired} servers in zone {zone}");
        let order = serde_json::json!({ "backend": service, "zone": zone, "desired": desired });
        match platform.call(token, Duty::Scale, &order).await {
            Err(PlatformCallError::NotHolder) => return Err(PlatformCallError::NotHolder),
            Err(reason) => log::warn!("service {service}: order for zone {zone}: {reason}"),
            Ok(_) => {}
        }
    }
    Ok(())
}

/// Returns a service's responses since the last decision and its ready servers by zone.
fn service_load(core: &Core, collector: &UsageCollector, service: &Service) -> ServiceLoad {
    let (responses, late_responses) = collector.take_timeliness(&service.name);
    let mut ready_servers: BTreeMap<String, u32> = BTreeMap::new();
    for server in &core.known.server_list().servers {
        if server.backend == service.name {
            let count = ready_servers.entry(server.zone.clone()).or_default();
            *count += u32::from(server.state == ServerState::Ready);
        }
    }
    ServiceLoad { responses, late_responses, ready_servers }
}
