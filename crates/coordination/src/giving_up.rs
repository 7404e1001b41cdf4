//! Giving a group up. When all its holders are lost, beyond what is borne, the group cannot be opened again: an operator says
//! so, naming what he knows of it, and it is begun anew with nothing.
//!
//! The order names the view and, of each holder, how many entries it had: whoever sends it has looked. It is refused while a holder is
//! heard, and for [`GIVE_UP_AFTER`] after a holder was heard last unless it is forced. A store that has not heard the core for
//! [`STORE_LEASE`] on its own steady clock takes no part in any view; so who is given up after that time without being forced no
//! longer answers anybody, also where it is only cut off.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::placement::PlannerBug;
use crate::{Group, GroupNumber, Planner, StoreNumber, StoreView};

/// A holder that was silent for so long may be given up without force.
pub const MIN_SILENCE_BEFORE_GIVE_UP: Duration = Duration::from_secs(120);
/// A store takes part in its view for so long without hearing the core. Half of [`GIVE_UP_AFTER`]: clocks may run unevenly.
pub const STORE_LEASE_DURATION: Duration = Duration::from_secs(60);

/// A holder with what it last told of a group.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LastHolder {
    pub node: String,
    /// None where nobody who is left has heard it tell.
    pub entries: Option<u64>,
}

/// The operator's order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GiveUpRequest {
    pub group: GroupNumber,
    /// Of the stores' view at which the operator looked.
    pub epoch: u64,
    pub holders: Vec<LastHolder>,
    /// Also while a holder may come back.
    pub forced: bool,
}

/// A group that was given up, as it is kept on record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GiveUpRecord {
    pub order: GiveUpRequest,
    /// The view in which the group was begun anew.
    pub recreated_in_epoch: u64,
    /// Milliseconds since 1970, on the clock of the head of the core.
    pub at_ms: u64,
}

/// What the head of the core knows of a holder.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HolderStatus {
    pub holder: LastHolder,
    /// For how long it has been silent; none while it is heard.
    pub silent_for: Option<Duration>,
}

/// Why a group is not given up.
#[derive(Clone, Debug, PartialEq, Eq, Error, Serialize, Deserialize)]
pub enum GiveUpError {
    #[error("there is no group {0}: ask for the groups that there are")]
    UnknownGroup(u16),
    #[error("view {current} is in force: look at the group again and name that view")]
    StaleView { current: u64 },
    #[error(
        "the group's holders are not those that were named: look at it again, and name each with its entries"
    )]
    HolderMismatch,
    #[error("{0} holds the group and is heard: the group opens again from what it has")]
    HolderAlive(String),
    #[error("{node} may come back: wait {seconds} s more for it, or force the order")]
    HolderMayReturn { node: String, seconds: u64 },
    #[error("{heard} stores are heard and {needed} are needed to begin the group anew: add stores")]
    TooFewStores { heard: usize, needed: usize },
}

impl StoreView {
    /// Stores that hold a group or did when they were heard last, the chain's first.
    pub fn recorded_holders(&self, group: GroupNumber) -> Vec<StoreNumber> {
        let held = self.group(group);
        held.map(|held| [held.holders(), held.absent.clone()].concat()).unwrap_or_default()
    }
}

impl Planner<'_> {
    /// The view in which the group of an order is begun anew, with nothing, on stores that are heard. `names` are those of batch jobs
    /// that it held: they are not used again.
    ///
    /// # Errors
    /// If the order does not name what is known, or a holder is there or may come back after less than `after`.
    pub fn give_up(
        &self,
        view: &StoreView,
        order: &GiveUpRequest,
        seen: &[HolderStatus],
        names: Vec<String>,
        after: Duration,
    ) -> Result<StoreView, GiveUpError> {
        let Some(before) = view.group(order.group) else {
            return Err(GiveUpError::UnknownGroup(order.group.0));
        };
        if order.epoch != view.epoch {
            return Err(GiveUpError::StaleView { current: view.epoch });
        }
        check_holders(order, seen)?;
        if !self.has(PlannerBug::GivesUpWhoIsHeard) {
            check_silence(order, seen, after)?;
        }
        let mut next = view.clone();
        next.epoch += 1;
        let mut begun = Group { recreated_in_epoch: next.epoch, given_up_jobs: names, ..Group::default() };
        begun.given_up_jobs.extend(before.given_up_jobs.iter().cloned());
        let wanted = self.target_chain_length(view);
        while begun.chain.len() < wanted {
            let Some(store) = self.pick_store(view, order.group, &begun.chain) else { break };
            begun.chain.push(store);
        }
        if begun.chain.len() < self.min_holders() {
            let (heard, needed) = (begun.chain.len(), self.min_holders());
            return Err(GiveUpError::TooFewStores { heard, needed });
        }
        begun.update_unchanged_since(&Group::default(), next.epoch);
        debug_assert!(before.recreated_in_epoch < begun.recreated_in_epoch);
        next.groups[usize::from(order.group.0)] = begun;
        self.remove_unused_stores(&mut next);
        Ok(next)
    }
}

fn check_holders(order: &GiveUpRequest, seen: &[HolderStatus]) -> Result<(), GiveUpError> {
    let mut named = order.holders.clone();
    let mut known: Vec<LastHolder> = seen.iter().map(|seen| seen.holder.clone()).collect();
    named.sort();
    known.sort();
    match named == known {
        true => Ok(()),
        false => Err(GiveUpError::HolderMismatch),
    }
}

fn check_silence(order: &GiveUpRequest, seen: &[HolderStatus], after: Duration) -> Result<(), GiveUpError> {
    for HolderStatus { holder, silent_for } in seen {
        let Some(silent_for) = silent_for else { return Err(GiveUpError::HolderAlive(holder.node.clone())) };
        let left = after.saturating_sub(*silent_for);
        if !left.is_zero() && !order.forced {
            let seconds = left.as_secs_f64().ceil() as u64;
            return Err(GiveUpError::HolderMayReturn { node: holder.node.clone(), seconds });
        }
    }
    Ok(())
}
