//! The known servers: their addresses, and the connections to them.

use crate::memory::channel::Channel;
use crate::wire::discovery::{Health, Line, Listing};
use fennelgauge::host::{JobId, RosterEntry, ServerId};
use fennelgauge::time::{Moment, Span};
use std::collections::hash_map::DefaultHasher;
use std::collections::{HashMap, HashSet};
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;

/// A connection to a server.
pub struct Link {
    /// The TCP connection.
    pub channel: Channel,
    /// The server it leads to.
    pub server: ServerId,
    /// Whether the connection is established.
    pub up: bool,
    /// The relay that the connection carries, if any.
    pub relay: Option<Relay>,
    /// Since when the connection is idle.
    pub idle_since: Moment,
}

impl Link {
    /// Returns whether the connection carries the relay with that serial number.
    pub fn carries_relay(&self, serial: u64) -> bool {
        self.relay.as_ref().is_some_and(|relay| relay.serial == serial)
    }
}

/// A relay that was sent, or waits for its connection to be established.
pub struct Relay {
    /// The job that is forwarded.
    pub job: JobId,
    /// Number of the relay within its job, from 0.
    pub number: u8,
    /// Number of the relay among all relays of this process.
    pub serial: u64,
    /// When it was started.
    pub sent: Moment,
    /// Whether its request was passed to the connection; until then it can be cancelled as never sent.
    pub request_written: bool,
}

/// How long a removed server is remembered. Successive lists may contradict one another for a while, and a server that
/// comes back must keep its id.
const REMOVED_SERVER_TTL: Span = Span::from_millis(60_000);

/// A server that service discovery has listed.
#[derive(Default)]
pub struct KnownServer {
    /// Where it accepts connections; `None` if the listed address is invalid.
    pub address: Option<SocketAddr>,
    /// Its start in milliseconds of Unix time; 0 if it was long ago.
    born_ms: u64,
    /// When it was removed from the list.
    removed_at: Option<Moment>,
    /// Keys of its idle connections, the most recently used last.
    pub idle_links: Vec<u64>,
}

/// All known servers.
#[derive(Default)]
pub struct ServerTable {
    /// Ids by host name.
    ids: HashMap<String, ServerId>,
    /// Servers by id.
    pub by_id: HashMap<ServerId, KnownServer>,
}

impl ServerTable {
    /// Applies a list of servers. Returns the roster entries for the policy module, and the servers to which no
    /// existing connection may be reused, because they are not in service, have another address or have restarted.
    pub fn apply_listing(
        &mut self,
        now: Moment,
        listing: Listing,
        zones: &[String],
    ) -> (Vec<RosterEntry>, HashSet<ServerId>) {
        let (mut entries, mut obsolete) = (Vec::with_capacity(listing.hosts.len()), HashSet::new());
        if listing.whole {
            // Servers missing from a complete list are removed; listed ones are updated below.
            self.by_id.values_mut().for_each(|server| server.removed_at = server.removed_at.or(Some(now)));
        }
        for line in listing.hosts {
            let by_id = &self.by_id;
            let id = *self.ids.entry(line.host.clone()).or_insert_with(|| server_id(&line.host, by_id));
            let server = self.by_id.entry(id).or_default();
            let is_removed = matches!(line.health, Health::Terminated);
            server.removed_at = is_removed.then(|| server.removed_at.unwrap_or(now));
            let address = line.dial.parse().ok();
            let in_service = matches!(line.health, Health::InService);
            if !in_service || address != server.address || line.born_ms != server.born_ms {
                obsolete.insert(id);
            }
            (server.address, server.born_ms) = (address, line.born_ms);
            entries.push(roster_entry(id, &line, zones));
        }
        if listing.whole {
            obsolete.extend(
                self.by_id.iter().filter(|(_, server)| server.removed_at.is_some()).map(|(id, _)| *id),
            );
        }
        (entries, obsolete)
    }

    /// Removes servers after [`REMOVED_SERVER_TTL`]; otherwise constant replacement of servers would fill the memory.
    pub fn remove_expired(&mut self, now: Moment) {
        let is_expired =
            |server: &KnownServer| server.removed_at.is_some_and(|at| now.since(at) > REMOVED_SERVER_TTL);
        self.by_id.retain(|_, server| !is_expired(server));
        let by_id = &self.by_id;
        self.ids.retain(|_, id| by_id.contains_key(id));
    }
}

/// Derives a server's id from its host name. All gateways choose their subsets of servers by ids, so gateways that
/// started with another list, or restarted, must compute the same ids.
fn server_id(host: &str, taken: &HashMap<ServerId, KnownServer>) -> ServerId {
    let mut hasher = DefaultHasher::new();
    host.hash(&mut hasher);
    let mut id = hasher.finish() as ServerId;
    // Among a few hundred names, two have the same hash in one of ten thousand deployments; the second gets the next
    // id.
    while taken.contains_key(&id) {
        id = id.wrapping_add(1);
    }
    id
}

/// Converts a line of the list to a roster entry.
fn roster_entry(server: ServerId, line: &Line, zones: &[String]) -> RosterEntry {
    let zone = zones.iter().position(|zone| *zone == line.site);
    RosterEntry {
        server,
        health: line.health.into(),
        rating: line.share,
        zone: zone.and_then(|zone| u16::try_from(zone).ok()).unwrap_or(u16::MAX),
        cell: line.block,
        started: (line.born_ms > 0).then(|| Moment::from_micros(line.born_ms.saturating_mul(1_000))),
    }
}

#[cfg(test)]
mod tests;
