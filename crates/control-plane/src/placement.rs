//! Placement of groups on stores. The head tracks the heartbeats of the stores and changes the stores' view when stores
//! come, go or retire.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;

use fennelgauge_coordination::{GroupNumber, Identity, Planner, StoreNumber, StoreReport, StoreView};
use fennelgauge_wire::StoreHeartbeat;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout, Instant};

use crate::core::Core;
use crate::state::{ControlState, Retirement, StateChange};

/// How often the head checks the placement.
const PLAN_INTERVAL: Duration = Duration::from_millis(250);
/// While a group is closed, the head plans this long after a changed heartbeat, so that heartbeats of several stores
/// are planned for together.
const HEARTBEAT_BATCH_DELAY: Duration = Duration::from_millis(60);
/// A store without a heartbeat for this long counts as lost.
pub const STORE_LIVENESS_TIMEOUT: Duration = Duration::from_millis(1_100);
/// Time for which a new head waits for heartbeats before it plans or answers for the stores.
pub const NEW_HEAD_HEARTBEAT_WAIT: Duration = Duration::from_millis(1_300);
/// Time from the first heartbeat to the first placement, so that more stores take part in it.
const INITIAL_PLACEMENT_DELAY: Duration = Duration::from_millis(1_500);
/// Number of batch job ids that are remembered for each group; the oldest are dropped.
const MAX_JOB_IDS_PER_GROUP: usize = 2_048;
/// Time for which the last report of a silent store is remembered.
const LAST_REPORT_TTL: Duration = Duration::from_secs(24 * 3_600);

/// Tracks the heartbeats of the stores on this machine.
#[derive(Default)]
pub struct HeartbeatTracker {
    /// The newest heartbeat of each store, without stores known to be lost.
    stores: RefCell<HashMap<Identity, ReceivedHeartbeat>>,
    /// The last report of every store heard within [`LAST_REPORT_TTL`], also of silent ones.
    last_reports: RefCell<HashMap<Identity, StoreEntryCounts>>,
    /// Ids of accepted batch jobs by group, the newest last.
    job_ids: RefCell<BTreeMap<GroupNumber, VecDeque<String>>>,
    /// Notified when a store is new or reports something new about its groups; used while a group is closed.
    changed: Notify,
}

/// A store's newest heartbeat and when it arrived.
struct ReceivedHeartbeat {
    store: StoreReport,
    at: Instant,
}

/// What a store reported last about its groups.
struct StoreEntryCounts {
    /// When the store's last heartbeat arrived.
    at: Instant,
    /// Number of entries in each group.
    entry_counts: HashMap<GroupNumber, u64>,
}

/// The last report of a store about a group.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LastReport {
    /// Time since the store's last heartbeat; `None` if this machine never received one.
    pub silent_for: Option<Duration>,
    /// Number of entries that the store has in the group, if it reported one.
    pub entries: Option<u64>,
}

impl HeartbeatTracker {
    /// Records a store's heartbeat.
    pub fn record(&self, heartbeat: StoreHeartbeat) {
        let StoreHeartbeat { report: store, entry_counts, accepted_jobs } = heartbeat;
        self.record_job_ids(accepted_jobs);
        let at = Instant::now();
        let identity = store.member.identity.clone();
        {
            let mut last_reports = self.last_reports.borrow_mut();
            last_reports.retain(|_, report| report.at.elapsed() < LAST_REPORT_TTL);
            let report = last_reports
                .entry(identity.clone())
                .or_insert_with(|| StoreEntryCounts { at, entry_counts: HashMap::new() });
            report.at = at;
            report.entry_counts.extend(entry_counts);
        }
        let previous =
            self.stores.borrow_mut().insert(identity, ReceivedHeartbeat { store: store.clone(), at });
        if previous.is_none_or(|previous| previous.store != store) {
            self.changed.notify_one();
        }
    }

    /// Adds the ids of newly accepted jobs, and drops the oldest ones beyond the limit.
    fn record_job_ids(&self, accepted_jobs: Vec<(GroupNumber, Vec<String>)>) {
        let mut job_ids = self.job_ids.borrow_mut();
        for (group, accepted) in accepted_jobs {
            let group_job_ids = job_ids.entry(group).or_default();
            group_job_ids.extend(accepted);
            let surplus = group_job_ids.len().saturating_sub(MAX_JOB_IDS_PER_GROUP);
            group_job_ids.drain(..surplus);
        }
    }

    /// Returns the ids of a group's batch jobs that stores reported to this machine.
    pub fn job_ids(&self, group: GroupNumber) -> BTreeSet<String> {
        self.job_ids.borrow().get(&group).into_iter().flatten().cloned().collect()
    }

    /// Returns the last report of a store about a group.
    pub fn last_report(&self, store: &Identity, group: GroupNumber) -> LastReport {
        let last_reports = self.last_reports.borrow();
        let report = last_reports.get(store);
        LastReport {
            silent_for: report.map(|report| report.at.elapsed()),
            entries: report.and_then(|report| report.entry_counts.get(&group).copied()),
        }
    }

    /// Returns the stores that sent a heartbeat within [`STORE_LIVENESS_TIMEOUT`], in the order of their identities.
    pub fn live_stores(&self) -> Vec<StoreReport> {
        let mut stores = self.stores.borrow_mut();
        stores.retain(|_, heartbeat| heartbeat.at.elapsed() < STORE_LIVENESS_TIMEOUT);
        let mut live_stores: Vec<StoreReport> =
            stores.values().map(|heartbeat| heartbeat.store.clone()).collect();
        live_stores.sort_by(|left, right| left.member.identity.cmp(&right.member.identity));
        live_stores
    }
}

/// Keeps the placement up to date while this machine is the head. Never returns.
pub async fn maintain_placement(core: Rc<Core>) {
    let mut first_heartbeat_at: Option<Instant> = None;
    loop {
        let has_closed_group =
            core.committed_state().is_some_and(|state| state.metadata.stores.has_closed_groups());
        match has_closed_group {
            true if timeout(PLAN_INTERVAL, core.heartbeats.changed.notified()).await.is_ok() => {
                sleep(HEARTBEAT_BATCH_DELAY).await
            }
            true => {}
            false => sleep(PLAN_INTERVAL).await,
        }
        if !core.is_head()
            || !core.is_confirmed()
            || core.time_in_view() < NEW_HEAD_HEARTBEAT_WAIT && core.epoch() > 1
        {
            continue;
        }
        let live_stores = core.heartbeats.live_stores();
        if !live_stores.is_empty() {
            first_heartbeat_at = first_heartbeat_at.or(Some(Instant::now()));
        }
        let may_place_first = first_heartbeat_at.is_some_and(|at| at.elapsed() > INITIAL_PLACEMENT_DELAY);
        let tolerated_failures = core.settings.tolerate.tolerated_failures();
        let Some(state) = core.committed_state() else { continue };
        record_lost_jobs(&core, &state, &live_stores).await;
        let Some(change) = plan_change(&state, &live_stores, tolerated_failures, may_place_first) else {
            continue;
        };
        if let StateChange::Placement { stores: Some(next), .. } = &change {
            log_view_changes(&state.metadata.stores, next, &live_stores);
        }
        let written = core
            .write(|state| plan_change(state, &live_stores, tolerated_failures, may_place_first).ok_or(()))
            .await;
        if let Err(reason) = written {
            log::warn!("placement not changed, planning again: {reason}");
        }
    }
}

/// Records the ids of the batch jobs of groups whose holders are all silent: if such a group is given up, only this
/// record tells which jobs were lost.
async fn record_lost_jobs(core: &Rc<Core>, state: &ControlState, live_stores: &[StoreReport]) {
    let view = &state.metadata.stores;
    let is_live = |number: &StoreNumber| {
        let store = view.store(*number);
        store
            .is_some_and(|store| live_stores.iter().any(|live| live.member.identity == store.member.identity))
    };
    let groups_at_risk = GroupNumber::all().filter(|group| {
        let holders = view.recorded_holders(*group);
        !holders.is_empty() && !holders.iter().any(is_live)
    });
    let lost_jobs: BTreeMap<GroupNumber, BTreeSet<String>> = groups_at_risk
        .map(|group| (group, core.heartbeats.job_ids(group)))
        .filter(|(group, lost_jobs)| {
            !lost_jobs.is_empty() && !lost_jobs.is_subset(&state.metadata.lost_jobs_of(*group))
        })
        .collect();
    if lost_jobs.is_empty() {
        return;
    }
    log::error!(
        "all stores that hold the groups {:?} are silent: the groups stay closed until a holder returns or an operator gives them up",
        lost_jobs.keys().collect::<Vec<_>>()
    );
    if let Err(reason) = core.write(|_| Ok::<_, ()>(StateChange::RecordLostJobs { lost_jobs })).await {
        log::warn!("ids of batch jobs in groups without a live holder not recorded, trying again: {reason}");
    }
}

/// Returns the change that brings placement and retirements up to date, or `None` if they are.
fn plan_change(
    state: &ControlState,
    live_stores: &[StoreReport],
    tolerated_failures: usize,
    may_place_first: bool,
) -> Option<StateChange> {
    let view = &state.metadata.stores;
    let stores = Planner::new(tolerated_failures, live_stores, may_place_first).plan(view);
    let running =
        state.metadata.retirements.iter().filter(|(_, retirement)| **retirement == Retirement::Running);
    let holds_nothing = |node: &str| view.by_node(node).is_none_or(|store| !view.holds_data(store.number));
    let emptied: Vec<String> =
        running.map(|(node, _)| node.clone()).filter(|node| holds_nothing(node)).collect();
    let changed = stores.is_some() || !emptied.is_empty();
    changed.then_some(StateChange::Placement { stores, emptied })
}

/// Logs one line for each group whose stores change, with the stores that are live.
fn log_view_changes(view: &StoreView, next: &StoreView, live_stores: &[StoreReport]) {
    if !log::log_enabled!(log::Level::Info) {
        return;
    }
    let nodes: Vec<&str> = live_stores.iter().map(|store| store.member.identity.node.as_str()).collect();
    for group in GroupNumber::all() {
        let (was, is) = (view.group(group), next.group(group));
        if was != is {
            log::info!(
                "store view {}: group {} was {was:?}, is {is:?}; live stores: {nodes:?}",
                next.epoch,
                group.0
            );
        }
    }
}
