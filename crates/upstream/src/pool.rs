//! The servers as this process sees them, and the choice among them.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use fennelgauge_model::{mixed, stable_hash, Server, ServerList, ServerState};
use tokio::time::Instant;

/// What a server told of its load is trusted for so long.
const TOLD_FOR: Duration = Duration::from_millis(1_500);
/// A server that could not be reached rests for so long, doubling with each further failure.
const FIRST_REST: Duration = Duration::from_millis(500);
const LONGEST_REST: Duration = Duration::from_secs(8);
/// A server keeps the prompts it has cached while its load is at most so much above the least loaded one's, in slots.
const KEEP_WITHIN: f64 = 0.35;
/// A server in another zone is chosen when those in the own zone are fuller by so much, in slots.
const OWN_ZONE_WITHIN: f64 = 0.2;
/// From this part of its slots on, a server is left in favour of one that is emptier.
const CROWDED: f64 = 0.85;

#[derive(Debug)]
struct Seen {
    server: Server,
    listed: bool,
    in_flight: u32,
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
        Self { server, listed: true, in_flight: 0, told: None, failures: 0, rests_until: None }
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
        requests / self.slots()
    }

    fn usable(&self, now: Instant) -> bool {
        self.listed
            && self.server.state == ServerState::Ready
            && self.rests_until.is_none_or(|until| until <= now)
    }
}

/// All servers, by id.
#[derive(Clone)]
pub struct Pool {
    servers: Rc<RefCell<HashMap<String, Seen>>>,
    reader: Rc<RefCell<(u64, u64)>>,
    zone: Rc<str>,
}

/// A request's place at a server; given back when dropped.
pub struct Ticket {
    pool: Pool,
    pub server: Server,
}

impl Drop for Ticket {
    fn drop(&mut self) {
        self.pool.with(&self.server.id, |seen| seen.in_flight = seen.in_flight.saturating_sub(1));
    }
}

impl Pool {
    /// For a process in `zone`, whose servers are nearer and cost nothing on the way.
    pub fn new(zone: &str) -> Self {
        Self { servers: Rc::default(), reader: Rc::default(), zone: zone.into() }
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
    }

    /// Whether a server is still to be given requests.
    pub fn is_ready(&self, id: &str) -> bool {
        let servers = self.servers.borrow();
        servers.get(id).is_some_and(|seen| seen.listed && seen.server.state == ServerState::Ready)
    }

    /// Chooses a server of a service, none of `tried`. Requests with the same `affinity` go to the same server while that
    /// does not load it much more than others.
    pub fn choose(&self, service: &str, tried: &[String], affinity: Option<u64>) -> Option<Ticket> {
        let now = Instant::now();
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
            best(&candidates, affinity, &self.zone, now)?.server.clone()
        };
        self.with(&server.id, |seen| seen.in_flight += 1);
        Some(Ticket { pool: self.clone(), server })
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
    pub fn answered(&self, id: &str, load: Option<&str>) {
        let told = load.and_then(parse_load);
        self.with(id, |seen| {
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

fn best<'a>(candidates: &[&'a Seen], affinity: Option<u64>, zone: &str, now: Instant) -> Option<&'a Seen> {
    let own_zone: Vec<&Seen> = candidates.iter().copied().filter(|seen| seen.server.zone == zone).collect();
    let least_of_all = least_load(candidates, now)?;
    let near = least_load(&own_zone, now).is_some_and(|least| least <= least_of_all + OWN_ZONE_WITHIN);
    let candidates = if near { own_zone.as_slice() } else { candidates };
    let least = least_load(candidates, now)?;
    if let Some(affinity) = affinity {
        let home = candidates.iter().max_by_key(|seen| mixed(affinity ^ stable_hash(&seen.server.id)))?;
        let load = home.load(now);
        if load <= least + KEEP_WITHIN && load < CROWDED {
            return Some(home);
        }
    }
    candidates.iter().copied().min_by(|left, right| left.load(now).total_cmp(&right.load(now)))
}

fn least_load(candidates: &[&Seen], now: Instant) -> Option<f64> {
    candidates.iter().map(|seen| seen.load(now)).min_by(f64::total_cmp)
}
