//! The servers as this process sees them, and the choice among them.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use fennelgauge_model::{mixed, stable_hash, Server, ServerList, ServerState};
use tokio::time::Instant;

use crate::demand::{Demand, Kind};
use crate::mix::Mix;

/// What a server told of its load is trusted for so long.
const TOLD_FOR: Duration = Duration::from_millis(1_500);
/// A server that could not be reached rests for so long, doubling with each further failure.
const FIRST_REST: Duration = Duration::from_millis(500);
const LONGEST_REST: Duration = Duration::from_secs(8);
/// A server keeps the prompts it has cached while its load is at most so much above the least loaded one's, in slots.
const KEEP_WITHIN: f64 = 0.35;
/// A server for the other kind of request is chosen when those for the own kind are fuller by so much, in slots.
const OWN_KIND_WITHIN: f64 = 0.35;
/// So many tokens of prompts still to be read weigh as much as a server full of requests.
const UNREAD_TOKENS: f64 = 60_000.0;
/// A server in another zone is chosen when those in the own zone are fuller by so much, in slots.
const OWN_ZONE_WITHIN: f64 = 0.2;
/// From this part of its slots on, a server is left in favour of one that is emptier.
const CROWDED: f64 = 0.85;

#[derive(Debug)]
struct Seen {
    server: Server,
    listed: bool,
    /// Its place in a fixed ranking of its service's servers in its zone, between 0 and 1.
    rank: f64,
    in_flight: u32,
    /// Tokens of prompts sent there from here that have brought no answer yet.
    unread_tokens: u64,
    told: Option<Told>,
    failures: u32,
    rests_until: Option<Instant>,
}

/// The load of all callers together, as the server told it.
#[derive(Clone, Copy, Debug)]
struct Told {
    running: u32,
    waiting: u32,
    at: Instant,
    in_flight_then: u32,
}

impl Seen {
    fn new(server: Server) -> Self {
        Self {
            server,
            listed: true,
            rank: 0.0,
            in_flight: 0,
            unread_tokens: 0,
            told: None,
            failures: 0,
            rests_until: None,
        }
    }

    fn slots(&self) -> f64 {
        f64::from(self.server.slots.max(1))
    }

    /// Requests there, running and waiting, as far as can be told, as a part of its slots.
    fn load(&self, now: Instant) -> f64 {
        let own = f64::from(self.in_flight);
        let requests = match self.told.filter(|told| now - told.at < TOLD_FOR) {
            Some(told) => {
                let since = own - f64::from(told.in_flight_then);
                (f64::from(told.running + told.waiting) + since).max(own)
            }
            None => own,
        };
        requests / self.slots() + self.unread_tokens as f64 / UNREAD_TOKENS
    }

    /// Whether it may have requests; after a failure one at a time, until one is answered.
    fn usable(&self, now: Instant) -> bool {
        self.listed
            && self.server.state == ServerState::Ready
            && self.rests_until.is_none_or(|until| until <= now)
            && (self.failures == 0 || self.in_flight == 0)
    }
}

/// All servers, by id.
#[derive(Clone)]
pub struct Pool {
    servers: Rc<RefCell<HashMap<String, Seen>>>,
    reader: Rc<RefCell<(u64, u64)>>,
    zone: Rc<str>,
    mixes: Rc<RefCell<HashMap<String, Mix>>>,
}

/// A request's place at a server; given back when dropped.
pub struct Ticket {
    pool: Pool,
    pub server: Server,
    unread_tokens: Cell<u64>,
}

impl Ticket {
    /// The server answered: it has read the prompt.
    fn prompt_read(&self) {
        let tokens = self.unread_tokens.replace(0);
        self.pool
            .with(&self.server.id, |seen| seen.unread_tokens = seen.unread_tokens.saturating_sub(tokens));
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        self.prompt_read();
        self.pool.with(&self.server.id, |seen| seen.in_flight = seen.in_flight.saturating_sub(1));
    }
}

impl Pool {
    /// For a process in `zone`, whose servers are nearer and cost nothing on the way.
    pub fn new(zone: &str) -> Self {
        Self { servers: Rc::default(), reader: Rc::default(), zone: zone.into(), mixes: Rc::default() }
    }

    /// Takes up a list; a list already taken costs nothing.
    pub fn update(&self, list: &ServerList) {
        let version = (list.reader, list.version);
        if std::mem::replace(&mut *self.reader.borrow_mut(), version) == version {
            return;
        }
        let mut servers = self.servers.borrow_mut();
        for seen in servers.values_mut() {
            seen.listed = false;
        }
        for server in &list.servers {
            let seen = servers.entry(server.id.clone()).or_insert_with(|| Seen::new(server.clone()));
            seen.server = server.clone();
            seen.listed = true;
        }
        servers.retain(|_, seen| seen.listed || seen.in_flight > 0);
        rank(&mut servers);
    }

    /// Whether a server is still to be given requests.
    pub fn is_ready(&self, id: &str) -> bool {
        let servers = self.servers.borrow();
        servers.get(id).is_some_and(|seen| seen.listed && seen.server.state == ServerState::Ready)
    }

    /// Chooses a server of a service, none of `tried`. Requests with the same affinity go to the same server while that
    /// does not load it much more than others.
    pub fn choose(&self, service: &str, tried: &[String], demand: &Demand) -> Option<Ticket> {
        let now = Instant::now();
        let long_part = self.long_part(service, demand, now);
        let server = {
            let servers = self.servers.borrow();
            let of_service = || {
                servers
                    .values()
                    .filter(|seen| seen.server.backend == service && !tried.contains(&seen.server.id))
            };
            let usable: Vec<&Seen> = of_service().filter(|seen| seen.usable(now)).collect();
            let resting =
                || of_service().filter(|seen| seen.listed && seen.server.state == ServerState::Ready);
            let candidates = if usable.is_empty() { resting().collect() } else { usable };
            best(&candidates, demand, long_part, &self.zone, now)?.server.clone()
        };
        let tokens = demand.prompt_tokens;
        self.with(&server.id, |seen| {
            seen.in_flight += 1;
            seen.unread_tokens += tokens;
        });
        Some(Ticket { pool: self.clone(), server, unread_tokens: Cell::new(tokens) })
    }

    fn long_part(&self, service: &str, demand: &Demand, now: Instant) -> Option<f64> {
        let mut mixes = self.mixes.borrow_mut();
        if !mixes.contains_key(service) {
            mixes.insert(service.to_owned(), Mix::new());
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
            .filter(|seen| seen.server.backend == service && seen.usable(now))
            .map(|seen| seen.load(now))
            .collect();
        (!loads.is_empty()).then(|| loads.iter().sum::<f64>() / loads.len() as f64)
    }

    /// A server answered; `load` is the value of its load header, if it sent one.
    pub fn answered(&self, ticket: &Ticket, load: Option<&str>) {
        ticket.prompt_read();
        let told = load.and_then(parse_load);
        self.with(&ticket.server.id, |seen| {
            seen.failures = 0;
            seen.rests_until = None;
            if let Some((running, waiting)) = told {
                seen.told =
                    Some(Told { running, waiting, at: Instant::now(), in_flight_then: seen.in_flight });
            }
        });
    }

    /// A server could not be reached, or broke off.
    pub fn failed(&self, id: &str) {
        self.with(id, |seen| {
            let rest = FIRST_REST * 2_u32.pow(seen.failures.min(4));
            seen.failures += 1;
            seen.rests_until = Some(Instant::now() + rest.min(LONGEST_REST));
        });
    }

    /// A server refused for want of room.
    pub fn full(&self, id: &str) {
        self.with(id, |seen| seen.rests_until = Some(Instant::now() + Duration::from_millis(100)));
    }

    fn with(&self, id: &str, change: impl FnOnce(&mut Seen)) {
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

fn rank(servers: &mut HashMap<String, Seen>) {
    let mut pools: HashMap<(String, String), Vec<(u64, String)>> = HashMap::new();
    for seen in servers.values().filter(|seen| seen.listed && seen.server.state == ServerState::Ready) {
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

/// The best of the candidates: those for the request's kind unless they are much fuller than the others, then those near,
/// then the one that has its prompt, else the least loaded.
fn best<'a>(
    candidates: &[&'a Seen],
    demand: &Demand,
    long_part: Option<f64>,
    zone: &str,
    now: Instant,
) -> Option<&'a Seen> {
    let of_kind = |seen: &&Seen| match (long_part, demand.kind) {
        (None, _) | (_, Kind::Item) => true,
        (Some(part), Kind::Long) => seen.rank < part,
        (Some(part), Kind::Short) => seen.rank >= part,
    };
    let candidates = narrowed(candidates, of_kind, OWN_KIND_WITHIN, now);
    let near = |seen: &&Seen| demand.affinity.is_some() || seen.server.zone == zone;
    let candidates = narrowed(&candidates, near, OWN_ZONE_WITHIN, now);
    let least = least_load(&candidates, now)?;
    if let Some(affinity) = demand.affinity {
        let home = candidates.iter().max_by_key(|seen| mixed(affinity ^ stable_hash(&seen.server.id)))?;
        let load = home.load(now);
        if load <= least + KEEP_WITHIN && load < CROWDED {
            return Some(home);
        }
    }
    candidates.iter().copied().min_by(|left, right| left.load(now).total_cmp(&right.load(now)))
}

/// Those that fulfil a wish, unless the least loaded of them is fuller by more than `within` than the least loaded of all.
fn narrowed<'a>(
    candidates: &[&'a Seen],
    wish: impl Fn(&&Seen) -> bool,
    within: f64,
    now: Instant,
) -> Vec<&'a Seen> {
    let wished: Vec<&Seen> = candidates.iter().copied().filter(|seen| wish(seen)).collect();
    match (least_load(&wished, now), least_load(candidates, now)) {
        (Some(least), Some(least_of_all)) if least <= least_of_all + within => wished,
        _ => candidates.to_vec(),
    }
}

fn least_load(candidates: &[&Seen], now: Instant) -> Option<f64> {
    candidates.iter().map(|seen| seen.load(now)).min_by(f64::total_cmp)
}
