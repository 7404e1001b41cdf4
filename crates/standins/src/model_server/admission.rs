//! The slots of a stand-in server, and the requests that wait for one.

use std::cell::Cell;

use tokio::sync::Notify;
use tokio::time::{timeout_at, Instant};

/// How many requests run and wait.
#[derive(Default)]
pub(super) struct Admission {
    running: Cell<usize>,
    waiting: Cell<usize>,
    slot_freed: Notify,
}

/// Why a request does not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Refusal {
    /// All slots and all places in the queue are taken.
    Full,
    /// Its deadline passed while it waited.
    DeadlinePassed,
}

/// A taken slot, free again when dropped.
pub(super) struct Slot<'server>(&'server Admission);

/// A place in the queue, free again when dropped.
struct QueuePlace<'server>(&'server Admission);

impl Admission {
    /// Waits for a slot, at most until `deadline`.
    pub(super) async fn admit(
        &self,
        slots: usize,
        queue: usize,
        deadline: Instant,
    ) -> Result<Slot<'_>, Refusal> {
        if self.running.get() < slots {
            return Ok(self.take_slot());
        }
        if self.waiting.get() >= queue {
            return Err(Refusal::Full);
        }
        self.waiting.set(self.waiting.get() + 1);
        let _place = QueuePlace(self);
        loop {
            let freed = self.slot_freed.notified();
            if self.running.get() < slots {
                return Ok(self.take_slot());
            }
            timeout_at(deadline, freed).await.map_err(|_| Refusal::DeadlinePassed)?;
        }
    }

    fn take_slot(&self) -> Slot<'_> {
        self.running.set(self.running.get() + 1);
        Slot(self)
    }
}

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        self.0.running.set(self.0.running.get() - 1);
        self.0.slot_freed.notify_one();
    }
}

impl Drop for QueuePlace<'_> {
    fn drop(&mut self) {
        self.0.waiting.set(self.0.waiting.get() - 1);
        self.0.slot_freed.notify_one();
    }
}
