//! Permits for attempts at items. A permit is committed in the item's group before the attempt, so that the number of attempts
//! is bounded whatever becomes of this store and of the response.

use std::collections::BTreeSet;
use std::time::Duration;

use fennelgauge_batch::{AttemptEvent, Command, Job};
use fennelgauge_coordination::GroupNumber;
use fennelgauge_wire::EntryPosition;
use tokio::time::{sleep, Instant};

use super::runner::ItemKey;
use super::Store;

/// Longest wait for the entry of a permit to be committed before the item is looked at again.
const COMMIT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Pause before another attempt to record something in a group that takes no changes.
const RETRY_DELAY: Duration = Duration::from_millis(120);
/// Time for which an item rests if the outcome of too many of its attempts is unknown. Clients expect of an item that is not
/// listed that a server has had it within the last five seconds.
const REST_DURATION: Duration = Duration::from_secs(3);

/// A batch job that this store accepted as the head of its group.
#[derive(Debug)]
pub struct AcceptedJob {
    /// Group that holds the job.
    pub group: GroupNumber,
    /// The entry that accepted it, which permits one attempt at each item.
    entry: EntryPosition,
    /// Items whose permit is not used.
    unused_permits: BTreeSet<u32>,
}

impl AcceptedJob {
    /// Describes a job that was accepted by this entry and has not been started.
    pub fn new(group: GroupNumber, entry: EntryPosition, job: &Job) -> Self {
        Self { group, entry, unused_permits: (0..job.items.len() as u32).collect() }
    }
}

impl Store {
    /// Takes the permit that was recorded with the acceptance of an item's job, if this store accepted it and has not used the
    /// permit. Returns the entry of the permit.
    pub(super) fn take_first_permit(&self, key: &ItemKey) -> Option<EntryPosition> {
        let mut accepted_here = self.accepted_here.borrow_mut();
        let accepted = accepted_here.get_mut(&key.job).filter(|accepted| accepted.group == key.group)?;
        let is_recorded = self.replica(key.group).borrow().contains(accepted.entry);
        (accepted.unused_permits.remove(&key.item_index) && is_recorded).then_some(accepted.entry)
    }

    /// Returns whether an attempt may be made under a permit.
    pub(super) fn is_permit_committed(&self, key: &ItemKey, permit: Option<EntryPosition>) -> bool {
        permit.is_some_and(|entry| self.replica(key.group).borrow().is_committed(entry))
    }

    /// Takes a permit for an attempt at an item, unless there is one already, and waits for some time until it is committed.
    /// Returns the permit, or `None` if the group takes no changes now or has dropped the permit's entry.
    pub(super) async fn obtain_permit(
        &self,
        key: &ItemKey,
        permit: Option<EntryPosition>,
    ) -> Option<EntryPosition> {
        let permit = permit.or_else(|| self.record_attempt_event(key, AttemptEvent::Permitted));
        let Some(entry) = permit else {
            sleep(RETRY_DELAY).await;
            return None;
        };
        self.wait_committed(key.group, entry, Instant::now() + COMMIT_TIMEOUT).await;
        self.replica(key.group).borrow().contains(entry).then_some(entry)
    }

    /// Records what became of an attempt, if the group takes changes now. Returns the entry.
    pub(super) fn record_attempt_event(&self, key: &ItemKey, event: AttemptEvent) -> Option<EntryPosition> {
        let view = self.view();
        if !self.accepts_changes(&view, key.group) {
            return None;
        }
        let command = Command::RecordAttempts { job: key.job.clone(), item_index: key.item_index, event };
        Some(self.append_command(&view, key.group, command))
    }

    /// Records that a server has begun a successful response to an item, if that matters: earlier attempts have an unknown
    /// outcome. `key` names an item that is being run under a permit.
    pub(super) fn record_response_begun(&self, key: &ItemKey) {
        let attempts = {
            let replica = self.replica(key.group).borrow();
            replica.state().job(&key.job).map(|state| state.attempts(key.item_index))
        };
        let matters = |attempts: fennelgauge_batch::Attempts| {
            !attempts.has_responded && attempts.without_own_permit().open_permits > 0
        };
        if attempts.is_some_and(matters) {
            self.record_attempt_event(key, AttemptEvent::Responded);
        }
    }

    /// Leaves an item alone for [`REST_DURATION`].
    pub(super) fn begin_rest(&self, key: &ItemKey) {
        self.resting_since.borrow_mut().insert(key.clone(), Instant::now());
    }

    /// Ends the rest of an item, as it is sent again.
    pub(super) fn end_rest(&self, key: &ItemKey) {
        self.resting_since.borrow_mut().remove(key);
    }

    /// Returns whether an item is to be left alone.
    pub(super) fn is_resting(&self, key: &ItemKey) -> bool {
        self.resting_since.borrow().get(key).is_some_and(|since| since.elapsed() < REST_DURATION)
    }

    /// Returns whether an item has been left alone for as long as it must be.
    pub(super) fn has_rested(&self, key: &ItemKey) -> bool {
        self.resting_since.borrow().get(key).is_some_and(|since| since.elapsed() >= REST_DURATION)
    }

    /// Forgets the rests of items that are finished, or whose group is not headed here.
    pub(super) fn forget_settled_rests(&self, headed: &[GroupNumber]) {
        self.resting_since.borrow_mut().retain(|key, _| {
            let replica = self.replica(key.group).borrow();
            let state = replica.state().job(&key.job).filter(|_| headed.contains(&key.group));
            state.is_some_and(|state| !state.is_complete() && !state.has_result[key.item_index as usize])
        });
    }
}
