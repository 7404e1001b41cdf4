//! Sends heartbeats to the head of the core, with what this store holds of its groups.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use fennelgauge_coordination::{GroupConfirmation, GroupNumber, StoreReport};
use fennelgauge_wire::{Request, StoreHeartbeat};
use tokio::time::{sleep, timeout};

use super::Store;

/// Longest time between two heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);
/// Shortest time between two heartbeats when there is something new to report.
const MIN_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(60);
/// Timeout of a heartbeat call.
const HEARTBEAT_CALL_TIMEOUT: Duration = Duration::from_millis(600);
/// Every how many heartbeats a store reports its number of entries in each group.
const ENTRY_COUNT_PERIOD: u32 = 8;

impl Store {
    /// Sends heartbeats at an interval, and sooner if there is something new to report. Sends none while the disk is
    /// unhealthy or no view of the core is known. Never returns.
    pub(super) async fn send_heartbeats(self: Rc<Self>) {
        let mut reported_jobs = ReportedJobs::default();
        for round in 0_u32.. {
            sleep(MIN_HEARTBEAT_INTERVAL).await;
            let _ = timeout(HEARTBEAT_INTERVAL - MIN_HEARTBEAT_INTERVAL, self.heartbeat_due.notified()).await;
            // A store that cannot write is of no use in a chain: without its heartbeats the core removes it.
            if self.disk_health.is_unhealthy() {
                continue;
            }
            let Some(view) = self.known.view() else { continue };
            let Some(head) = view.head() else { continue };
            let store = StoreReport {
                member: self.me.clone(),
                copied_groups: group_epochs(&self.learned_groups.borrow()),
                held_groups: group_epochs(&self.held_groups.borrow()),
            };
            let entries = if round % ENTRY_COUNT_PERIOD == 0 { self.entry_counts() } else { Vec::new() };
            let accepted = reported_jobs.unreported(&self, view.epoch);
            let heartbeat = StoreHeartbeat { store, entry_counts: entries, accepted_jobs: accepted.clone() };
            let call =
                self.caller.call(head.peer, Request::StoreHeartbeat(heartbeat), HEARTBEAT_CALL_TIMEOUT);
            match call.await {
                Ok(_) => reported_jobs.mark_reported(accepted),
                Err(reason) => {
                    log::info!(
                        "heartbeat to the core's head at {} failed, sending it again: {reason}",
                        head.peer
                    );
                }
            }
        }
    }
}

/// Ids of batch jobs that were reported to the head of the core in its current view.
#[derive(Default)]
struct ReportedJobs {
    core_epoch: u64,
    reported: BTreeMap<GroupNumber, BTreeSet<String>>,
}

impl ReportedJobs {
    /// Returns the jobs of the groups that this store heads that are not reported yet. A new head of the core, in another
    /// view, is sent all of them again.
    fn unreported(&mut self, store: &Store, core_epoch: u64) -> Vec<(GroupNumber, Vec<String>)> {
        if self.core_epoch != core_epoch {
            *self = Self { core_epoch, ..Self::default() };
        }
        let headed = store.headed_groups(&store.view());
        self.reported.retain(|group, _| headed.contains(group));
        let unreported = headed.into_iter().map(|group| {
            let replica = store.replica(group).borrow();
            let reported = self.reported.entry(group).or_default();
            reported.retain(|id| replica.state().job(id).is_some());
            let ids = replica.state().jobs().map(|state| &state.job.id);
            (group, ids.filter(|id| !reported.contains(*id)).cloned().collect::<Vec<_>>())
        });
        unreported.filter(|(_, ids)| !ids.is_empty()).collect()
    }

    /// Remembers that these jobs were reported.
    fn mark_reported(&mut self, jobs: Vec<(GroupNumber, Vec<String>)>) {
        for (group, ids) in jobs {
            self.reported.entry(group).or_default().extend(ids);
        }
    }
}

impl Store {
    /// Returns the number of entries that this store has in each group with any.
    fn entry_counts(&self) -> Vec<(GroupNumber, u64)> {
        let counts =
            GroupNumber::all().map(|group| (group, self.replica(group).borrow().position().sequence));
        counts.filter(|(_, count)| *count > 0).collect()
    }
}

/// Converts groups and their view epochs to the form that a heartbeat has.
fn group_epochs(groups: &BTreeMap<GroupNumber, u64>) -> Vec<GroupConfirmation> {
    groups.iter().map(|(group, epoch)| GroupConfirmation { group: *group, epoch: *epoch }).collect()
}
