//! Tells the head of the core that this store is there, and what it has of its groups.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use fennelgauge_coordination::{GroupNumber, Heard, Told};
use fennelgauge_wire::{Request, StoreHeartbeat};
use tokio::time::{sleep, timeout};

use super::Store;

const PRESENCE_EVERY: Duration = Duration::from_millis(250);
/// News do not come oftener than this.
const PRESENCE_LEAST: Duration = Duration::from_millis(60);
const PRESENCE_TIMEOUT: Duration = Duration::from_millis(600);
/// Every so many times a store tells how many entries it has.
const ENTRIES_EVERY: u32 = 8;

impl Store {
    /// Tells without end; sooner where there is something new.
    pub(super) async fn tell_presence(self: Rc<Self>) {
        let mut names = ToldNames::default();
        for round in 0_u32.. {
            sleep(PRESENCE_LEAST).await;
            let _ = timeout(PRESENCE_EVERY - PRESENCE_LEAST, self.presence_due.notified()).await;
            // Who cannot write is no use in a chain: it keeps silent, and the others go on without it.
            if self.disk_health.is_in_trouble() {
                continue;
            }
            let Some(view) = self.known.core_view() else { continue };
            let Some(head) = view.head() else { continue };
            let heard = Heard {
                member: self.me.clone(),
                copied: told(&self.copied.borrow()),
                holds: told(&self.holds.borrow()),
            };
            let entries = if round % ENTRIES_EVERY == 0 { self.entry_counts() } else { Vec::new() };
            let accepted = names.untold(&self, view.epoch);
            let presence =
                StoreHeartbeat { store: heard, entry_counts: entries, accepted_jobs: accepted.clone() };
            let told = self.caller.call(head.peer, Request::StoreHeartbeat(presence), PRESENCE_TIMEOUT);
            match told.await {
                Ok(_) => names.have_told(accepted),
                Err(reason) => log::info!("presence is told again: {reason}"),
            }
        }
    }
}

/// Names of batch jobs that the head of the core was told of, in one view of the core.
#[derive(Default)]
struct ToldNames {
    core_epoch: u64,
    told: BTreeMap<GroupNumber, BTreeSet<String>>,
}

impl ToldNames {
    /// Batch jobs of the groups that this store heads that were not told yet; another head of the core is told all.
    fn untold(&mut self, store: &Store, core_epoch: u64) -> Vec<(GroupNumber, Vec<String>)> {
        if self.core_epoch != core_epoch {
            *self = Self { core_epoch, ..Self::default() };
        }
        let headed = store.headed(&store.view());
        self.told.retain(|group, _| headed.contains(group));
        let untold = headed.into_iter().map(|group| {
            let replica = store.replica(group).borrow();
            let told = self.told.entry(group).or_default();
            told.retain(|name| replica.state().job(name).is_some());
            let jobs = replica.state().jobs().map(|state| &state.job.id);
            (group, jobs.filter(|name| !told.contains(*name)).cloned().collect::<Vec<_>>())
        });
        untold.filter(|(_, names)| !names.is_empty()).collect()
    }

    fn have_told(&mut self, names: Vec<(GroupNumber, Vec<String>)>) {
        for (group, names) in names {
            self.told.entry(group).or_default().extend(names);
        }
    }
}

impl Store {
    /// How many entries this store has by group.
    fn entry_counts(&self) -> Vec<(GroupNumber, u64)> {
        let counts =
            GroupNumber::all().map(|group| (group, self.replica(group).borrow().position().sequence));
        counts.filter(|(_, count)| *count > 0).collect()
    }
}

fn told(groups: &BTreeMap<GroupNumber, u64>) -> Vec<Told> {
    groups.iter().map(|(group, epoch)| Told { group: *group, epoch: *epoch }).collect()
}
