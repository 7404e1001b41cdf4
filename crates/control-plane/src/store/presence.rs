//! Tells the head of the core that this store is there, and what it has of its groups.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use fennelgauge_coordination::{GroupNumber, Heard, Told};
use fennelgauge_wire::Request;
use tokio::time::{sleep, timeout};

use super::Store;

const PRESENCE_EVERY: Duration = Duration::from_millis(250);
/// News do not come oftener than this.
const PRESENCE_LEAST: Duration = Duration::from_millis(60);
const PRESENCE_TIMEOUT: Duration = Duration::from_millis(600);

impl Store {
    /// Tells without end; sooner where there is something new.
    pub(super) async fn tell_presence(self: Rc<Self>) {
        loop {
            sleep(PRESENCE_LEAST).await;
            let _ = timeout(PRESENCE_EVERY - PRESENCE_LEAST, self.presence_due.notified()).await;
            // Who cannot write is no use in a chain: it keeps silent, and the others go on without it.
            if self.disk_health.is_in_trouble() {
                continue;
            }
            let Some(view) = self.known.view() else { continue };
            let Some(head) = view.head() else { continue };
            let heard = Heard {
                member: self.me.clone(),
                copied: told(&self.copied.borrow()),
                holds: told(&self.holds.borrow()),
            };
            let told = self.caller.call(head.peer, Request::StorePresence(heard), PRESENCE_TIMEOUT);
            if let Err(reason) = told.await {
                log::info!("presence is told again: {reason}");
            }
        }
    }
}

fn told(groups: &BTreeMap<GroupNumber, u64>) -> Vec<Told> {
    groups.iter().map(|(group, epoch)| Told { group: *group, epoch: *epoch }).collect()
}
