//! The head keeps the placement of groups on stores as it should be.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use fennelgauge_coordination::{GroupNumber, Heard, Identity, Planner, StoreView};
use tokio::sync::Notify;
use tokio::time::{sleep, timeout, Instant};

use crate::core::Core;
use crate::state::{ControlState, Retirement, StateChange};

const PLAN_EVERY: Duration = Duration::from_millis(250);
/// While a group is closed, news of the stores are looked at after so short a time.
const GATHER_FOR: Duration = Duration::from_millis(60);
/// A store not heard for so long is taken for lost.
const LOST_AFTER: Duration = Duration::from_millis(1_100);
/// A new head hears the stores for so long before it judges any.
const HEAD_PATIENCE: Duration = Duration::from_millis(1_300);
/// The first placement waits so long for more stores.
const FIRST_WAIT: Duration = Duration::from_millis(1_500);

/// The stores that have told of themselves.
#[derive(Default)]
pub struct Presence {
    heard: RefCell<HashMap<Identity, HeardAt>>,
    /// A store told something new of its groups, or is new: matters while a group is closed.
    news: Notify,
}

struct HeardAt {
    heard: Heard,
    at: Instant,
}

impl Presence {
    /// A store told of itself.
    pub fn hear(&self, heard: Heard) {
        let at = Instant::now();
        let identity = heard.member.identity.clone();
        let before = self.heard.borrow_mut().insert(identity, HeardAt { heard: heard.clone(), at });
        if before.is_none_or(|before| before.heard != heard) {
            self.news.notify_one();
        }
    }

    /// The stores heard of late, in a fixed order.
    fn fresh(&self) -> Vec<Heard> {
        let mut stores = self.heard.borrow_mut();
        stores.retain(|_, heard| heard.at.elapsed() < LOST_AFTER);
        let mut fresh: Vec<Heard> = stores.values().map(|heard| heard.heard.clone()).collect();
        fresh.sort_by(|left, right| left.member.identity.cmp(&right.member.identity));
        fresh
    }
}

/// Plans without end, while this machine is the head.
pub async fn keep_placement(core: Rc<Core>, presence: Rc<Presence>) {
    let mut first_heard: Option<Instant> = None;
    loop {
        let closed = core.committed_state().is_some_and(|state| state.small.stores.has_closed_groups());
        match closed {
            true if timeout(PLAN_EVERY, presence.news.notified()).await.is_ok() => sleep(GATHER_FOR).await,
            true => {}
            false => sleep(PLAN_EVERY).await,
        }
        if !core.is_head() || !core.is_confirmed() || core.in_view_for() < HEAD_PATIENCE && core.epoch() > 1 {
            continue;
        }
        let fresh = presence.fresh();
        if !fresh.is_empty() {
            first_heard = first_heard.or(Some(Instant::now()));
        }
        let may_begin = first_heard.is_some_and(|at| at.elapsed() > FIRST_WAIT);
        let losses = core.settings.tolerate.losses();
        let Some(state) = core.committed_state() else { continue };
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

/// The change to make, or none if the placement and the retirements are as they should be.
fn planned(state: &ControlState, heard: &[Heard], losses: usize, may_begin: bool) -> Option<StateChange> {
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
fn log_changes(view: &StoreView, next: &StoreView, heard: &[Heard]) {
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
