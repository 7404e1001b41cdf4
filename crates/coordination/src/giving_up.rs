//! Giving up a group that has lost all its holders, more than the tolerated failures. Such a group cannot be opened again: an
//! operator declares its data lost, and it is recreated empty.
//!
//! The request names the view and, for each holder, how many entries it last reported, which proves that the operator has
//! looked at the group's state. It is rejected while a holder is alive and, unless it is forced, until the last heartbeat of
//! every holder is [`MIN_SILENCE_BEFORE_GIVE_UP`] old. A store that has had no contact with the core for
//! [`STORE_LEASE_DURATION`], on its own steady clock, takes no part in any view. So a holder that is given up without force no
//! longer answers anyone, even if it is only partitioned away.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::placement::PlannerBug;
use crate::{Group, GroupNumber, Planner, StoreNumber, StoreView};

/// How long a holder must have been unresponsive before it may be given up without force.
pub const MIN_SILENCE_BEFORE_GIVE_UP: Duration = Duration::from_secs(120);
/// How long a store takes part in its view without contact to the core. Half of [`MIN_SILENCE_BEFORE_GIVE_UP`], because
/// clocks may run at different speeds.
pub const STORE_LEASE_DURATION: Duration = Duration::from_secs(60);

/// A holder of a group and the number of entries that it last reported.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LastHolder {
    /// Name of the holder's machine.
    pub node: String,
    /// Number of entries it last reported; none if no running member of the core has received a report.
    pub entries: Option<u64>,
}

/// An operator's request to give up a group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GiveUpRequest {
    /// The group to give up.
    pub group: GroupNumber,
    /// Epoch of the stores' view that the operator looked at.
    pub epoch: u64,
    /// All recorded holders of the group, with the entries they last reported.
    pub holders: Vec<LastHolder>,
    /// Whether to give the group up even while a holder may still come back.
    pub forced: bool,
}

/// The record of a group that was given up.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GiveUpRecord {
    /// The request that was carried out.
    pub order: GiveUpRequest,
    /// Epoch of the view in which the group was recreated.
    pub recreated_in_epoch: u64,
    /// Milliseconds since 1970, on the clock of the head of the core.
    pub at_ms: u64,
}

/// What the head of the core knows of a holder of a group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HolderStatus {
    /// The holder and the entries it last reported.
    pub holder: LastHolder,
    /// Time since its last heartbeat; none while it is alive.
    pub silent_for: Option<Duration>,
}

/// Why a request to give up a group was rejected.
#[derive(Clone, Debug, PartialEq, Eq, Error, Serialize, Deserialize)]
pub enum GiveUpError {
    /// The number is not that of a group.
    #[error("there is no group {0}: ask for the groups that there are")]
    UnknownGroup(u16),
    /// The request is for another view than the current one.
    #[error("view {current} is in force: look at the group again and name that view")]
    StaleView { current: u64 },
    /// The named holders or their entries are not those on record.
    #[error(
        "the group's holders are not those that were named: look at it again, and name each with its entries"
    )]
    HolderMismatch,
    /// The holder of this name is alive.
    #[error("{0} holds the group and is heard: the group opens again from what it has")]
    HolderAlive(String),
    /// The holder was alive recently; names how many more seconds it must stay unresponsive.
    #[error("{node} may come back: wait {seconds} s more for it, or force the order")]
    HolderMayReturn { node: String, seconds: u64 },
    /// Fewer stores are alive than a recreated group needs.
    #[error("{heard} stores are heard and {needed} are needed to begin the group anew: add stores")]
    TooFewStores { heard: usize, needed: usize },
}

impl StoreView {
    /// Returns the recorded holders of a group: those in the chain, then the absent ones.
    pub fn recorded_holders(&self, group: GroupNumber) -> Vec<StoreNumber> {
        let placement = self.group(group);
        placement.map(|group| [group.holders(), group.absent.clone()].concat()).unwrap_or_default()
    }
}

impl Planner<'_> {
    /// Returns the view in which the requested group is recreated empty on stores that are alive. `names` are the names of the
    /// batch jobs that it held, which must not be used again.
    ///
    /// # Errors
    /// If the request does not match what is known of the group, a holder is alive or, unless forced, has been unresponsive
    /// for less than `min_silence`, or too few stores are alive.
    pub fn give_up(
        &self,
        view: &StoreView,
        request: &GiveUpRequest,
        holders: &[HolderStatus],
        names: Vec<String>,
        min_silence: Duration,
    ) -> Result<StoreView, GiveUpError> {
        let Some(previous) = view.group(request.group) else {
            return Err(GiveUpError::UnknownGroup(request.group.0));
        };
        if request.epoch != view.epoch {
            return Err(GiveUpError::StaleView { current: view.epoch });
        }
        check_holders(request, holders)?;
        if !self.has(PlannerBug::GivesUpWhoIsHeard) {
            check_silence(request, holders, min_silence)?;
        }
        let mut next = view.clone();
        next.epoch += 1;
        let mut recreated =
            Group { recreated_in_epoch: next.epoch, given_up_jobs: names, ..Group::default() };
        recreated.given_up_jobs.extend(previous.given_up_jobs.iter().cloned());
        let target_length = self.target_chain_length(view);
        while recreated.chain.len() < target_length {
            let Some(store) = self.pick_store(view, request.group, &recreated.chain) else { break };
            recreated.chain.push(store);
        }
        if recreated.chain.len() < self.min_holders() {
            let (heard, needed) = (recreated.chain.len(), self.min_holders());
            return Err(GiveUpError::TooFewStores { heard, needed });
        }
        recreated.update_unchanged_since(&Group::default(), next.epoch);
        debug_assert!(previous.recreated_in_epoch < recreated.recreated_in_epoch);
        next.groups[usize::from(request.group.0)] = recreated;
        self.remove_unused_stores(&mut next);
        Ok(next)
    }
}

/// Checks that the request names exactly the recorded holders and the entries they last reported.
fn check_holders(request: &GiveUpRequest, holders: &[HolderStatus]) -> Result<(), GiveUpError> {
    let mut named = request.holders.clone();
    let mut recorded: Vec<LastHolder> = holders.iter().map(|status| status.holder.clone()).collect();
    named.sort();
    recorded.sort();
    match named == recorded {
        true => Ok(()),
        false => Err(GiveUpError::HolderMismatch),
    }
}

/// Checks that no holder is alive and, unless the request is forced, that none may come back.
fn check_silence(
    request: &GiveUpRequest,
    holders: &[HolderStatus],
    min_silence: Duration,
) -> Result<(), GiveUpError> {
    for HolderStatus { holder, silent_for } in holders {
        let Some(silent_for) = silent_for else { return Err(GiveUpError::HolderAlive(holder.node.clone())) };
        let remaining = min_silence.saturating_sub(*silent_for);
        if !remaining.is_zero() && !request.forced {
            let seconds = remaining.as_secs_f64().ceil() as u64;
            return Err(GiveUpError::HolderMayReturn { node: holder.node.clone(), seconds });
        }
    }
    Ok(())
}
