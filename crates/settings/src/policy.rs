//! Switches for the mechanisms that decide about requests and batch items. Each mechanism can be turned off so that its effect can
//! be measured; the defaults are the recommended operation.

use std::path::{Path, PathBuf};

use garde::Validate;
use serde::Deserialize;

use crate::SettingsError;

/// The policy switches: `true` turns a mechanism on.
#[derive(Clone, Debug, PartialEq, Deserialize, Validate)]
#[serde(default, deny_unknown_fields)]
#[garde(allow_unvalidated)]
pub struct Policy {
    /// Reserves a part of a service's servers for requests with long prompts.
    pub kinds_apart: bool,
    /// Sends requests that share a large part of their prompt to the same server, which has that part in its cache.
    pub cached_prompts: bool,
    /// Prefers servers in the process's own zone. Off by default: a zone with more traffic than others would bear it alone.
    pub own_zone_first: bool,
    /// Sends no requests to a server for a while after it failed.
    pub rest_after_failure: bool,
    /// Sends one request at a time to a server that failed until it responds.
    pub one_at_a_time: bool,
    /// Uses the load that servers report in the headers of their responses.
    pub told_load: bool,
    /// Sends a request that is safe to retry to another server if its server is silent for too long.
    pub leave_silent_servers: bool,
    /// Chooses at random among servers with the same load.
    pub random_ties: bool,
    /// Exchanges server statistics (requests in flight, failures) with other processes through an aggregator.
    pub shared_uses: bool,
    /// Takes the less loaded of two servers drawn at random where the load is known from other processes and not from the servers.
    pub two_choices: bool,
    /// Tests the connection to a server at which a request waits unusually long before sending it more requests.
    pub suspect_silent: bool,
    /// Starts batch items at the rate that their due times require. If off, they start as soon as there is capacity.
    pub paced_items: bool,
    /// Adapts the number of running batch items to the response times of the servers. If off, it is a store's fixed share of all
    /// slots.
    pub adaptive_items: bool,
    /// Longest acceptable wait of a batch item at a server, as a fraction of the shortest response time objective among the
    /// interactive routes of its service.
    #[garde(range(min = 0.01, max = 10.0))]
    pub items_wait_part: f64,
    /// Runs batch items that can no longer be in time after those that can.
    pub late_items_last: bool,
    /// Allows twice the failures of its route's `retries` for a batch item if this store has counted all of them.
    pub patient_items: bool,
    /// Counts responses that indicate a failing server (500 and 502) as failures of the server.
    pub learn_errors: bool,
    /// Derives the connect timeout from the duration of earlier attempts. If off, the timeout is fixed.
    pub adaptive_connect: bool,
    /// Sends no requests to a server that could not be connected to until a connection to it succeeds.
    pub reconnect_first: bool,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            kinds_apart: true,
            cached_prompts: true,
            own_zone_first: false,
            rest_after_failure: true,
            one_at_a_time: true,
            told_load: true,
            leave_silent_servers: true,
            random_ties: true,
            shared_uses: true,
            two_choices: true,
            suspect_silent: true,
            paced_items: true,
            adaptive_items: true,
            items_wait_part: 0.25,
            late_items_last: true,
            patient_items: true,
            learn_errors: true,
            adaptive_connect: true,
            reconnect_first: true,
        }
    }
}

impl Policy {
    /// Reads and validates a policy file: TOML with the keys of this struct at the top level. Errs on unknown keys.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path)
            .map_err(|reason| SettingsError::Unreadable { path: path.to_owned(), reason })?;
        let policy: Self = toml::from_str(&text).map_err(|reason| malformed(path.to_owned(), reason))?;
        policy.validate().map_err(|reason| SettingsError::Invalid { path: path.to_owned(), reason })?;
        Ok(policy)
    }
}

fn malformed(path: PathBuf, reason: toml::de::Error) -> SettingsError {
    SettingsError::Malformed { path, reason: Box::new(reason) }
}
