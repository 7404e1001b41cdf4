//! Which mechanisms decide about requests and items. Each has a switch, so that its worth can be measured; the defaults are
//! what ships.

use std::path::{Path, PathBuf};

use garde::Validate;
use serde::Deserialize;

use crate::SettingsError;

/// The mechanisms of policy: true where a mechanism is on.
#[derive(Clone, Debug, PartialEq, Deserialize, Validate)]
#[serde(default, deny_unknown_fields)]
#[garde(allow_unvalidated)]
pub struct Policy {
    /// Long prompts have servers of their own.
    pub kinds_apart: bool,
    /// Requests with the same large shared part of a prompt go to the same server.
    pub cached_prompts: bool,
    /// Servers of the own zone are preferred; off as it ships: a zone that is busier than others then bears that alone.
    pub own_zone_first: bool,
    /// A server that failed rests.
    pub rest_after_failure: bool,
    /// After a failure a server gets one request at a time until it answers.
    pub one_at_a_time: bool,
    /// What servers tell of their load counts.
    pub told_load: bool,
    /// What may be repeated leaves a silent server.
    pub leave_silent_servers: bool,
    /// Among servers that are alike one is drawn.
    pub random_ties: bool,
    /// Processes tell one another of the servers they use, through a home.
    pub shared_uses: bool,
    /// Where the load is known from others and not told by servers, the less loaded of two is taken, drawn at random.
    pub two_choices: bool,
    /// A server at which a request waits unusually long is connected to before it gets more.
    pub suspect_silent: bool,
    /// Items are begun at the pace that their due times need; off: as fast as there is room.
    pub paced_items: bool,
    /// The number of running items follows what servers bear; off: a store's part of all slots.
    pub adaptive_items: bool,
    /// Items wait for so long a part of the shortest objective of the interactive requests at the same servers.
    #[garde(range(min = 0.01, max = 10.0))]
    pub items_wait_part: f64,
    /// Items that cannot be in time any more wait for those that can.
    pub late_items_last: bool,
    /// An item whose failures all happened at one store is tried again twice as often as its route's `retries`.
    pub patient_items: bool,
    /// Answers that tell of a failing server count as its failures.
    pub learn_errors: bool,
    /// A connection attempt is given up by what attempts usually take; off: after a fixed time.
    pub adaptive_connect: bool,
    /// A server that could not be reached gets requests again only once a connection to it stands.
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
    /// Reads a file that holds nothing but this table's keys.
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
