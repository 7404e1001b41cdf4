//! The head keeps the placement of groups on stores as it should be.

use std::cell::RefCell;
use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;
use std::time::Duration;

use fennelgauge_coordination::{GroupNumber, Identity, Member, Planner, StoreNumber, StoreView};
use fennelgauge_wire::StorePresence;
use tokio::time::{sleep, Instant};

use crate::core::Core;
use crate::state::{ControlState, Retirement, StateChange};

const PLAN_EVERY: Duration = Duration::from_millis(250);
/// A store not heard for so long is taken for lost.
const LOST_AFTER: Duration = Duration::from_millis(1_100);
/// A new head hears the stores for so long before it judges any.
const HEAD_PATIENCE: Duration = Duration::from_millis(1_300);
/// The first placement waits so long for more stores.
const FIRST_WAIT: Duration = Duration::from_millis(1_500);

/// The stores that have told of themselves.
#[derive(Default)]
pub struct Presence {
    heard: RefCell<HashMap<Identity, Heard>>,
}

struct Heard {
    presence: StorePresence,
    at: Instant,
}

impl Presence {
    /// A store told of itself.
    pub fn hear(&self, presence: StorePresence) {
        let heard = Heard { presence, at: Instant::now() };
        self.heard.borrow_mut().insert(heard.presence.member.identity.clone(), heard);
    }

    fn fresh(&self) -> Vec<StorePresence> {
        let mut heard = self.heard.borrow_mut();
        heard.retain(|_, heard| heard.at.elapsed() < LOST_AFTER);
        heard.values().map(|heard| heard.presence.clone()).collect()
    }
}

/// Plans without end, while this machine is the head.
pub async fn keep_placement(core: Rc<Core>, presence: Rc<Presence>) {
    let mut first_heard: Option<Instant> = None;
    loop {
        sleep(PLAN_EVERY).await;
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
        if planned(&state, &fresh, losses, may_begin).is_none() {
            continue;
        }
        if let Some(StateChange::Placement { stores: Some(next), .. }) =
            planned(&state, &fresh, losses, may_begin)
        {
            log_changes(&state.small.stores, &next, &fresh);
        }
        let written = core.write(|state| planned(state, &fresh, losses, may_begin).ok_or(())).await;
        if let Err(reason) = written {
            log::warn!("the stores' view is not changed: {reason}");
        }
    }
}

/// The change to make, or none if the placement and the retirements are as they should be.
fn planned(
    state: &ControlState,
    fresh: &[StorePresence],
    losses: usize,
    may_begin: bool,
) -> Option<StateChange> {
    let view = &state.small.stores;
    let mut present: Vec<Member> = fresh.iter().map(|presence| presence.member.clone()).collect();
    present.sort_by(|left, right| left.identity.cmp(&right.identity));
    let alive = |member: &Member| present.iter().any(|there| there.identity == member.identity);
    let level = level_learners(view, fresh);
    let planner = Planner { losses, alive: &alive, present: &present, level: &level, may_begin };
    let stores = planner.plan(view);
    let running =
        state.small.retirements.iter().filter(|(_, retirement)| **retirement == Retirement::Running);
    let is_empty = |node: &str| view.by_node(node).is_none_or(|store| !view.holds_data(store.number));
    let emptied: Vec<String> = running.map(|(node, _)| node.clone()).filter(|node| is_empty(node)).collect();
    let changed = stores.is_some() || !emptied.is_empty();
    changed.then_some(StateChange::Placement { stores, emptied })
}

fn level_learners(view: &StoreView, fresh: &[StorePresence]) -> BTreeSet<(StoreNumber, GroupNumber)> {
    let of_store = |presence: &StorePresence| {
        let store = view.stores.iter().find(|store| store.member.identity == presence.member.identity)?;
        Some((store.number, presence.level.clone()))
    };
    fresh
        .iter()
        .filter_map(of_store)
        .flat_map(|(number, groups)| groups.into_iter().map(move |group| (number, group)))
        .collect()
}

/// One line for each group whose stores change, and who was heard.
fn log_changes(view: &StoreView, next: &StoreView, fresh: &[StorePresence]) {
    let heard: Vec<&str> = fresh.iter().map(|presence| presence.member.identity.node.as_str()).collect();
    for number in GroupNumber::all() {
        let (was, is) = (view.group(number), next.group(number));
        if was != is {
            log::info!("view {}: group {} was {was:?}, is {is:?}; heard: {heard:?}", next.epoch, number.0);
        }
    }
}
