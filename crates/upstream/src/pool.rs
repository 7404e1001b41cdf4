//! The servers that this process can send requests to, and the selection of one of them.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;

use fennelgauge_model::{stable_hash, Server, ServerList};
use fennelgauge_settings::Policy;
use tokio::time::Instant;

use crate::duration_estimator::DurationEstimator;
use crate::prompt_mix::PromptMix;
use crate::request_profile::RequestProfile;
use crate::selection::SelectionCriteria;
use crate::tracked_server::TrackedServer;

/// All servers of all services, with the state that this process keeps about them. Clones share the state.
#[derive(Clone)]
pub struct ServerPool {
    /// By instance id.
    pub(crate) servers: Rc<RefCell<HashMap<String, TrackedServer>>>,
    /// Reader incarnation and version of the current list.
    list_version: Rc<RefCell<(u64, u64)>>,
    zone: Rc<str>,
    pub(crate) policy: Rc<Policy>,
    next_guard: Rc<Cell<u64>>,
    /// How long responses usually take to start.
    pub(crate) response_times: Rc<RefCell<DurationEstimator>>,
    /// By service.
    prompt_mixes: Rc<RefCell<HashMap<String, PromptMix>>>,
}

/// Counts a request as in flight at a server until it is dropped.
pub struct InFlightGuard {
    pool: ServerPool,
    /// The server that was chosen for the request.
    pub server: Server,
    number: u64,
    created_at: Instant,
    /// Prompt tokens that the server has not processed yet.
    unprocessed_tokens: Cell<u64>,
}

impl InFlightGuard {
    /// Records that the server has processed the prompt, as its response has started.
    fn record_prompt_processed(&self) {
        let tokens = self.unprocessed_tokens.replace(0);
        self.pool.with(&self.server.id, |server| server.record_prompt_processed(self.number, tokens));
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.record_prompt_processed();
        self.pool.with(&self.server.id, |server| server.in_flight = server.in_flight.saturating_sub(1));
    }
}

impl ServerPool {
    /// Creates an empty pool for a process in `zone`.
    pub fn new(zone: &str, policy: &Policy) -> Self {
        Self {
            servers: Rc::default(),
            list_version: Rc::default(),
            zone: zone.into(),
            policy: Rc::new(policy.clone()),
            next_guard: Rc::default(),
            response_times: Rc::default(),
            prompt_mixes: Rc::default(),
        }
    }

    /// Replaces the server list. Does nothing if the version of the list is that of the last call.
    pub fn update(&self, list: &ServerList) {
        let version = (list.reader_incarnation, list.version);
        if std::mem::replace(&mut *self.list_version.borrow_mut(), version) == version {
            return;
        }
        let mut servers = self.servers.borrow_mut();
        for server in servers.values_mut() {
            server.listed = false;
        }
        for listed in &list.servers {
            let server =
                servers.entry(listed.id.clone()).or_insert_with(|| TrackedServer::new(listed.clone()));
            server.server = listed.clone();
            server.listed = true;
        }
        servers.retain(|_, server| server.listed || server.in_flight > 0);
        assign_ranks(&mut servers);
    }

    /// Returns whether the server with instance id `id` is listed as ready for new requests.
    pub fn is_ready(&self, id: &str) -> bool {
        let servers = self.servers.borrow();
        servers.get(id).is_some_and(TrackedServer::is_ready)
    }

    /// Chooses a server of `service` for a request, none of those whose ids are in `tried`. If no server is usable
    /// because of failures or cooldowns, any ready one is considered. Requests with the same affinity go to the same
    /// server as long as that is not much more loaded than others. Returns `None` if no server is left.
    pub fn choose(&self, service: &str, tried: &[String], profile: &RequestProfile) -> Option<InFlightGuard> {
        let now = Instant::now();
        let long_prompt_fraction = self.long_prompt_fraction(service, profile, now);
        let server = {
            let servers = self.servers.borrow();
            let untried = || {
                servers
                    .values()
                    .filter(|server| server.server.backend == service && !tried.contains(&server.server.id))
            };
            let mut candidates: Vec<&TrackedServer> =
                untried().filter(|server| server.is_usable(&self.policy, now)).collect();
            if candidates.is_empty() {
                candidates = untried().filter(|server| server.is_ready()).collect();
            }
            let criteria = SelectionCriteria {
                profile,
                long_prompt_fraction,
                zone: &self.zone,
                policy: &self.policy,
                now,
            };
            criteria.select(&candidates)?.server.clone()
        };
        let tokens = profile.prompt_tokens;
        let number = self.next_guard.replace(self.next_guard.get() + 1);
        self.with(&server.id, |server| server.record_sent(number, tokens));
        let created_at = Instant::now();
        Some(InFlightGuard {
            pool: self.clone(),
            server,
            number,
            created_at,
            unprocessed_tokens: Cell::new(tokens),
        })
    }

    /// Counts a request and returns the fraction of the service's servers that is reserved for long prompts.
    fn long_prompt_fraction(&self, service: &str, profile: &RequestProfile, now: Instant) -> Option<f64> {
        let mut mixes = self.prompt_mixes.borrow_mut();
        if !mixes.contains_key(service) {
            mixes.insert(service.to_owned(), PromptMix::new());
        }
        let mix = mixes.get_mut(service)?;
        mix.record(profile, now);
        mix.long_prompt_fraction()
    }

    /// Returns the mean load of the usable servers of a service, where 1 means that all slots are taken; `None`
    /// without such servers.
    pub fn mean_load(&self, service: &str) -> Option<f64> {
        let now = Instant::now();
        let servers = self.servers.borrow();
        let loads: Vec<f64> = servers
            .values()
            .filter(|server| server.server.backend == service && server.is_usable(&self.policy, now))
            .map(|server| server.load(now))
            .collect();
        (!loads.is_empty()).then(|| loads.iter().sum::<f64>() / loads.len() as f64)
    }

    /// Records a response that indicates a failure of the server.
    pub fn record_error_response(&self, guard: &InFlightGuard) {
        guard.record_prompt_processed();
        self.record_failure(&guard.server.id);
    }

    /// Returns whether responses that indicate a failing server count as its failures.
    pub(crate) fn counts_error_responses(&self) -> bool {
        self.policy.learn_errors
    }

    /// Records a response; `load` is the value of its load header, if it has one.
    pub fn record_success(&self, guard: &InFlightGuard, load: Option<&str>) {
        guard.record_prompt_processed();
        self.response_times.borrow_mut().record(guard.created_at.elapsed());
        let load = load.filter(|_| self.policy.told_load).and_then(parse_load);
        self.with(&guard.server.id, |server| server.record_success(load));
    }

    /// Records that a server lost the connection, did not respond, or is another instance by now.
    pub fn record_failure(&self, id: &str) {
        self.with(id, |server| server.record_failure(&self.policy));
    }

    /// Records that no connection to a server could be opened.
    pub fn record_connect_failure(&self, id: &str) {
        self.with(id, |server| server.record_connect_failure(&self.policy));
    }

    /// Records that a connection to a server was opened by a probe.
    pub fn record_connect_success(&self, id: &str) {
        self.with(id, TrackedServer::record_connect_success);
    }

    /// Records that a server rejected a request because it is full.
    pub fn record_overload(&self, id: &str) {
        self.with(id, TrackedServer::record_overload);
    }

    /// Returns the servers to which a connection should be opened now, to find out whether they can be reached.
    pub fn servers_to_probe(&self) -> Vec<Server> {
        let now = Instant::now();
        let servers = self.servers.borrow();
        servers
            .values()
            .filter(|server| server.needs_probe(now))
            .map(|server| server.server.clone())
            .collect()
    }

    /// Returns whether any server of a service has reported its load recently.
    pub fn has_reported_load(&self, service: &str) -> bool {
        let now = Instant::now();
        self.servers
            .borrow()
            .values()
            .any(|server| server.server.backend == service && server.has_reported_load(now))
    }

    /// Applies `change` to the server with instance id `id`, if it is known.
    pub(crate) fn with(&self, id: &str, change: impl FnOnce(&mut TrackedServer)) {
        if let Some(server) = self.servers.borrow_mut().get_mut(id) {
            change(server);
        }
    }
}

/// Parses the numbers of running and waiting requests from `running,waiting,slots`.
fn parse_load(value: &str) -> Option<(u32, u32)> {
    let mut parts = value.split(',').map(|part| part.trim().parse::<u32>().ok());
    Some((parts.next()??, parts.next()??))
}

/// Ranks the ready servers of each service and zone by the hashes of their ids, so that all processes agree on the
/// ranking.
fn assign_ranks(servers: &mut HashMap<String, TrackedServer>) {
    let mut groups: HashMap<(String, String), Vec<(u64, String)>> = HashMap::new();
    for server in servers.values().filter(|server| server.is_ready()) {
        let group = (server.server.backend.clone(), server.server.zone.clone());
        groups.entry(group).or_default().push((stable_hash(&server.server.id), server.server.id.clone()));
    }
    for mut group in groups.into_values() {
        group.sort();
        let count = group.len() as f64;
        for (index, (_, id)) in group.into_iter().enumerate() {
            if let Some(server) = servers.get_mut(&id) {
                server.rank = (index as f64 + 0.5) / count;
            }
        }
    }
}

#[cfg(test)]
pub(crate) mod tests;
