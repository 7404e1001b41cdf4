//! The servers as this process sees them, and the choice among them.

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

/// All servers, by id.
#[derive(Clone)]
pub struct ServerPool {
    pub(crate) servers: Rc<RefCell<HashMap<String, TrackedServer>>>,
    reader: Rc<RefCell<(u64, u64)>>,
    zone: Rc<str>,
    pub(crate) policy: Rc<Policy>,
    next_ticket: Rc<Cell<u64>>,
    /// How long answers take to begin.
    pub(crate) heads: Rc<RefCell<DurationEstimator>>,
    mixes: Rc<RefCell<HashMap<String, PromptMix>>>,
}

/// A request's place at a server; given back when dropped.
pub struct InFlightGuard {
    pool: ServerPool,
    pub server: Server,
    number: u64,
    began: Instant,
    unread_tokens: Cell<u64>,
}

impl InFlightGuard {
    /// The server answered: it has read the prompt.
    fn prompt_read(&self) {
        let tokens = self.unread_tokens.replace(0);
        self.pool.with(&self.server.id, |seen| seen.heard(self.number, tokens));
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.prompt_read();
        self.pool.with(&self.server.id, |seen| seen.in_flight = seen.in_flight.saturating_sub(1));
    }
}

impl ServerPool {
    /// For a process in `zone`, whose servers are nearer and cost nothing on the way.
    pub fn new(zone: &str, policy: &Policy) -> Self {
        Self {
            servers: Rc::default(),
            reader: Rc::default(),
            zone: zone.into(),
            policy: Rc::new(policy.clone()),
            next_ticket: Rc::default(),
            heads: Rc::default(),
            mixes: Rc::default(),
        }
    }

    /// Takes up a list; a list already taken costs nothing.
    pub fn update(&self, list: &ServerList) {
        let version = (list.reader_incarnation, list.version);
        if std::mem::replace(&mut *self.reader.borrow_mut(), version) == version {
            return;
        }
        let mut servers = self.servers.borrow_mut();
        for seen in servers.values_mut() {
            seen.listed = false;
        }
        for server in &list.servers {
            let seen = servers.entry(server.id.clone()).or_insert_with(|| TrackedServer::new(server.clone()));
            seen.server = server.clone();
            seen.listed = true;
        }
        servers.retain(|_, seen| seen.listed || seen.in_flight > 0);
        rank(&mut servers);
    }

    /// Whether a server is still to be given requests.
    pub fn is_ready(&self, id: &str) -> bool {
        let servers = self.servers.borrow();
        servers.get(id).is_some_and(TrackedServer::is_ready)
    }

    /// Chooses a server of a service, none of `tried`. Requests with the same affinity go to the same server while that
    /// does not load it much more than others.
    pub fn choose(&self, service: &str, tried: &[String], demand: &RequestProfile) -> Option<InFlightGuard> {
        let now = Instant::now();
        let long_part = self.long_part(service, demand, now);
        let server = {
            let servers = self.servers.borrow();
            let of_service = || {
                servers
                    .values()
                    .filter(|seen| seen.server.backend == service && !tried.contains(&seen.server.id))
            };
            let mut candidates: Vec<&TrackedServer> =
                of_service().filter(|seen| seen.usable(&self.policy, now)).collect();
            if candidates.is_empty() {
                candidates = of_service().filter(|seen| seen.is_ready()).collect();
            }
            let wishes = SelectionCriteria { demand, long_part, zone: &self.zone, policy: &self.policy, now };
            wishes.best(&candidates)?.server.clone()
        };
        let tokens = demand.prompt_tokens;
        let number = self.next_ticket.replace(self.next_ticket.get() + 1);
        self.with(&server.id, |seen| seen.sent(number, tokens));
        let began = Instant::now();
        Some(InFlightGuard { pool: self.clone(), server, number, began, unread_tokens: Cell::new(tokens) })
    }

    fn long_part(&self, service: &str, demand: &RequestProfile, now: Instant) -> Option<f64> {
        let mut mixes = self.mixes.borrow_mut();
        if !mixes.contains_key(service) {
            mixes.insert(service.to_owned(), PromptMix::new());
        }
        let mix = mixes.get_mut(service)?;
        mix.count(demand, now);
        mix.long_part()
    }

    /// The mean load of a service's servers as a part of their slots; none without servers.
    pub fn mean_load(&self, service: &str) -> Option<f64> {
        let now = Instant::now();
        let servers = self.servers.borrow();
        let loads: Vec<f64> = servers
            .values()
            .filter(|seen| seen.server.backend == service && seen.usable(&self.policy, now))
            .map(|seen| seen.load(now))
            .collect();
        (!loads.is_empty()).then(|| loads.iter().sum::<f64>() / loads.len() as f64)
    }

    /// A server answered, but with an error of its own.
    pub fn record_error_response(&self, ticket: &InFlightGuard) {
        ticket.prompt_read();
        self.record_failure(&ticket.server.id);
    }

    pub(crate) fn learns_errors(&self) -> bool {
        self.policy.learn_errors
    }

    /// A server answered; `load` is the value of its load header, if it sent one.
    pub fn record_success(&self, ticket: &InFlightGuard, load: Option<&str>) {
        ticket.prompt_read();
        self.heads.borrow_mut().record(ticket.began.elapsed());
        let told = load.filter(|_| self.policy.told_load).and_then(parse_load);
        self.with(&ticket.server.id, |seen| seen.answered(told));
    }

    /// A server broke off, was silent or is another one by now.
    pub fn record_failure(&self, id: &str) {
        self.with(id, |seen| seen.failed(&self.policy));
    }

    /// No connection to a server could be opened.
    pub fn record_connect_failure(&self, id: &str) {
        self.with(id, |seen| seen.not_reached(&self.policy));
    }

    /// A connection to a server stands.
    pub fn record_connect_success(&self, id: &str) {
        self.with(id, TrackedServer::reached);
    }

    /// A server refused for want of room.
    pub fn record_overload(&self, id: &str) {
        self.with(id, TrackedServer::full);
    }

    /// Servers to which a connection should be tried now.
    pub fn servers_to_probe(&self) -> Vec<Server> {
        let now = Instant::now();
        let servers = self.servers.borrow();
        servers.values().filter(|seen| seen.wants_connection(now)).map(|seen| seen.server.clone()).collect()
    }

    /// Whether a service's servers tell their load.
    pub fn has_reported_load(&self, service: &str) -> bool {
        let now = Instant::now();
        self.servers.borrow().values().any(|seen| seen.server.backend == service && seen.tells_load(now))
    }

    pub(crate) fn with(&self, id: &str, change: impl FnOnce(&mut TrackedServer)) {
        if let Some(seen) = self.servers.borrow_mut().get_mut(id) {
            change(seen);
        }
    }
}

/// Running and waiting requests of `running,waiting,slots`.
fn parse_load(value: &str) -> Option<(u32, u32)> {
    let mut parts = value.split(',').map(|part| part.trim().parse::<u32>().ok());
    Some((parts.next()??, parts.next()??))
}

fn rank(servers: &mut HashMap<String, TrackedServer>) {
    let mut pools: HashMap<(String, String), Vec<(u64, String)>> = HashMap::new();
    for seen in servers.values().filter(|seen| seen.is_ready()) {
        let pool = (seen.server.backend.clone(), seen.server.zone.clone());
        pools.entry(pool).or_default().push((stable_hash(&seen.server.id), seen.server.id.clone()));
    }
    for mut pool in pools.into_values() {
        pool.sort();
        let count = pool.len() as f64;
        for (place, (_, id)) in pool.into_iter().enumerate() {
            if let Some(seen) = servers.get_mut(&id) {
                seen.rank = (place as f64 + 0.5) / count;
            }
        }
    }
}

#[cfg(test)]
pub(crate) mod tests;
