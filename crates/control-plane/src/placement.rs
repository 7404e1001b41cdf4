//! The head keeps the placement of groups on stores as it should be.

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

const PLAN_EVERY: Duration = Duration::from_millis(250);
/// While a group is closed, news of the stores are looked at after so short a time.
const GATHER_FOR: Duration = Duration::from_millis(60);
/// A store not heard for so long is taken for lost.
pub const LOST_AFTER: Duration = Duration::from_millis(1_100);
/// A new head hears the stores for so long before it judges any.
pub const HEAD_PATIENCE: Duration = Duration::from_millis(1_300);
/// The first placement waits so long for more stores.
const FIRST_WAIT: Duration = Duration::from_millis(1_500);
/// So many names of batch jobs are known of a group, the newest.
const MOST_NAMES: usize = 2_048;
/// What a silent store told last is known for so long.
const REMEMBERED_FOR: Duration = Duration::from_secs(24 * 3_600);

/// The stores that have told of themselves.
#[derive(Default)]
pub struct Presence {
    heard: RefCell<HashMap<Identity, HeardAt>>,
    /// Of every store that was heard here within [`REMEMBERED_FOR`], also of those that are silent.
    last: RefCell<HashMap<Identity, LastTold>>,
    /// Names of batch jobs by group, the newest last.
    names: RefCell<BTreeMap<GroupNumber, VecDeque<String>>>,
    /// A store told something new of its groups, or is new: matters while a group is closed.
    news: Notify,
}

struct HeardAt {
    heard: StoreReport,
    at: Instant,
}

struct LastTold {
    at: Instant,
    entries: HashMap<GroupNumber, u64>,
}

/// What a store was heard to tell of a group.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LastWord {
    /// None where it was never heard.
    pub silent_for: Option<Duration>,
    pub entries: Option<u64>,
}

impl Presence {
    /// A store told of itself.
    pub fn record(&self, told: StoreHeartbeat) {
        let StoreHeartbeat { store: heard, entry_counts: entries, accepted_jobs: accepted } = told;
        self.take_names(accepted);
        let at = Instant::now();
        let identity = heard.member.identity.clone();
        {
            let mut last = self.last.borrow_mut();
            last.retain(|_, last| last.at.elapsed() < REMEMBERED_FOR);
            let told =
                last.entry(identity.clone()).or_insert_with(|| LastTold { at, entries: HashMap::new() });
            told.at = at;
            told.entries.extend(entries);
        }
        let before = self.heard.borrow_mut().insert(identity, HeardAt { heard: heard.clone(), at });
        if before.is_none_or(|before| before.heard != heard) {
            self.news.notify_one();
        }
    }

    fn take_names(&self, accepted: Vec<(GroupNumber, Vec<String>)>) {
        let mut names = self.names.borrow_mut();
        for (group, accepted) in accepted {
            let known = names.entry(group).or_default();
            known.extend(accepted);
            let surplus = known.len().saturating_sub(MOST_NAMES);
            known.drain(..surplus);
        }
    }

    /// Names of batch jobs that the stores told of a group.
    pub fn names(&self, group: GroupNumber) -> BTreeSet<String> {
        self.names.borrow().get(&group).into_iter().flatten().cloned().collect()
    }

    /// What a store told last of a group.
    pub fn last_word(&self, store: &Identity, group: GroupNumber) -> LastWord {
        let last = self.last.borrow();
        let told = last.get(store);
        LastWord {
            silent_for: told.map(|told| told.at.elapsed()),
            entries: told.and_then(|told| told.entries.get(&group).copied()),
        }
    }

    /// The stores heard of late, in a fixed order.
    pub fn fresh(&self) -> Vec<StoreReport> {
        let mut stores = self.heard.borrow_mut();
        stores.retain(|_, heard| heard.at.elapsed() < LOST_AFTER);
        let mut fresh: Vec<StoreReport> = stores.values().map(|heard| heard.heard.clone()).collect();
        fresh.sort_by(|left, right| left.member.identity.cmp(&right.member.identity));
        fresh
    }
}

/// Plans without end, while this machine is the head.
pub async fn maintain_placement(core: Rc<Core>) {
    let mut first_heard: Option<Instant> = None;
    loop {
        let closed = core.committed_state().is_some_and(|state| state.small.stores.has_closed_groups());
        match closed {
            true if timeout(PLAN_EVERY, core.presence.news.notified()).await.is_ok() => {
                sleep(GATHER_FOR).await
            }
            true => {}
            false => sleep(PLAN_EVERY).await,
        }
        if !core.is_head() || !core.is_confirmed() || core.in_view_for() < HEAD_PATIENCE && core.epoch() > 1 {
            continue;
        }
        let fresh = core.presence.fresh();
        if !fresh.is_empty() {
            first_heard = first_heard.or(Some(Instant::now()));
        }
        let may_begin = first_heard.is_some_and(|at| at.elapsed() > FIRST_WAIT);
        let losses = core.settings.tolerate.tolerated_failures();
        let Some(state) = core.committed_state() else { continue };
        record_names(&core, &state, &fresh).await;
        let Some(change) = planned(&state, &fresh, losses, may_begin) else { continue };
        if let StateChange::Placement { stores: Some(next), .. } = &change {
            log_changes(&state.small.stores, next, &fresh);
        }
        let written = core.write(|state| planned(state, &fresh, losses, may_begin).ok_or(())).await;
        if let Err(reason) = written {
            log::warn!("the stores' view is not changed: {reason}");
        }
    }
}

/// Puts the names of batch jobs on record whose holders are all silent: nobody else may know them any more.
async fn record_names(core: &Rc<Core>, state: &ControlState, heard: &[StoreReport]) {
    let view = &state.small.stores;
    let is_heard = |number: &StoreNumber| {
        let store = view.store(*number);
        store.is_some_and(|store| heard.iter().any(|heard| heard.member.identity == store.member.identity))
    };
    let lost = GroupNumber::all().filter(|group| {
        let holders = view.recorded_holders(*group);
        !holders.is_empty() && !holders.iter().any(is_heard)
    });
    let names: BTreeMap<GroupNumber, BTreeSet<String>> = lost
        .map(|group| (group, core.presence.names(group)))
        .filter(|(group, names)| !names.is_empty() && !names.is_subset(&state.small.names_of(*group)))
        .collect();
    if names.is_empty() {
        return;
    }
    log::error!("all stores that hold the groups {:?} are silent", names.keys().collect::<Vec<_>>());
    if let Err(reason) = core.write(|_| Ok::<_, ()>(StateChange::Names { names })).await {
        log::warn!("names of batch jobs are not on record: {reason}");
    }
}

/// The change to make, or none if the placement and the retirements are as they should be.
fn planned(
    state: &ControlState,
    heard: &[StoreReport],
    losses: usize,
    may_begin: bool,
) -> Option<StateChange> {
    let view = &state.small.stores;
    let stores = Planner::new(losses, heard, may_begin).plan(view);
    let running =
        state.small.retirements.iter().filter(|(_, retirement)| **retirement == Retirement::Running);
    let is_empty = |node: &str| view.by_node(node).is_none_or(|store| !view.holds_data(store.number));
    let emptied: Vec<String> = running.map(|(node, _)| node.clone()).filter(|node| is_empty(node)).collect();
    let changed = stores.is_some() || !emptied.is_empty();
    changed.then_some(StateChange::Placement { stores, emptied })
}

/// One line for each group whose stores change, and who was heard.
fn log_changes(view: &StoreView, next: &StoreView, heard: &[StoreReport]) {
    if !log::log_enabled!(log::Level::Info) {
        return;
    }
    let nodes: Vec<&str> = heard.iter().map(|heard| heard.member.identity.node.as_str()).collect();
    for number in GroupNumber::all() {
        let (was, is) = (view.group(number), next.group(number));
        if was != is {
            log::info!("view {}: group {} was {was:?}, is {is:?}; heard: {nodes:?}", next.epoch, number.0);
        }
    }
}
