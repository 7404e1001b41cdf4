//! The jobs that were taken and not answered.

use crate::wire::request::Onward;
use fennelgauge::host::JobId;
use std::collections::{HashMap, HashSet};

pub struct Job {
    /// The client's connection.
    pub client: u64,
    pub onward: Onward,
    pub relays: u8,
    /// The connection that the latest relay is out on.
    pub out: Option<u64>,
}

#[derive(Default)]
pub struct Jobs {
    taken: JobId,
    pub open: HashMap<JobId, Job>,
    /// The ids that clients gave to these.
    pub ids: HashSet<String>,
}

impl Jobs {
    pub fn take(&mut self, client: u64, onward: Onward) -> JobId {
        self.taken += 1;
        self.ids.insert(onward.id.clone());
        self.open.insert(self.taken, Job { client, onward, relays: 0, out: None });
        self.taken
    }

    pub fn end(&mut self, id: JobId) -> Option<Job> {
        let job = self.open.remove(&id)?;
        self.ids.remove(&job.onward.id);
        Some(job)
    }
}
