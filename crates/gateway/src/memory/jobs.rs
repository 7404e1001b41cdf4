//! The jobs that were accepted and are not answered yet.

use crate::wire::request::ForwardedRequest;
use fennelgauge::host::JobId;
use std::collections::{HashMap, HashSet};

/// An open job.
pub struct Job {
    /// Key of the client's connection.
    pub client: u64,
    /// The request as it is forwarded to a server.
    pub forwarded_request: ForwardedRequest,
    /// Number of relays so far.
    pub relays: u8,
    /// Key of the server connection that carries the latest relay.
    pub relay_link: Option<u64>,
}

/// All open jobs.
#[derive(Default)]
pub struct Jobs {
    /// Id of the job accepted last.
    last_id: JobId,
    /// Open jobs by id.
    pub open: HashMap<JobId, Job>,
    /// The clients' own ids of the open jobs.
    pub ids: HashSet<String>,
}

impl Jobs {
    /// Adds a job and returns its new id.
    pub fn accept(&mut self, client: u64, forwarded_request: ForwardedRequest) -> JobId {
        self.last_id += 1;
        self.ids.insert(forwarded_request.id.clone());
        self.open.insert(self.last_id, Job { client, forwarded_request, relays: 0, relay_link: None });
        self.last_id
    }

    /// Removes a job that has ended and returns it.
    pub fn remove(&mut self, id: JobId) -> Option<Job> {
        let job = self.open.remove(&id)?;
        self.ids.remove(&job.forwarded_request.id);
        Some(job)
    }
}
