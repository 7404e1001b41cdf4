//! The servers' addresses, and the connections to them that may be used again.

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
    pub channel: Channel,
    pub server: ServerId,
    /// It has come up.
    pub up: bool,
    pub out: Option<Relay>,
    /// Since when it stands idle.
    pub idle: Moment,
}

impl Link {
    /// The relay of that serial is on its way.
    pub fn carries(&self, serial: u64) -> bool {
        self.out.as_ref().is_some_and(|out| out.serial == serial)
    }
}

/// A relay on its way, or waiting for its connection to come up.
pub struct Relay {
    pub job: JobId,
    /// Of its job, from 0.
    pub number: u8,
    /// Of all relays.
    pub serial: u64,
    pub sent: Moment,
    /// Its request was handed to the connection: until then it can be taken back as never sent.
    pub begun: bool,
}

/// A server that is gone is remembered for so long: lists may contradict one another for a while, and one that
/// comes back must be known again.
const REMEMBERED: Span = Span::from_millis(60_000);

#[derive(Default)]
pub struct Machine {
    pub address: Option<SocketAddr>,
    born_ms: u64,
    /// Since when it is gone.
    gone: Option<Moment>,
    /// Idle connections, the latest used last.
    pub idle: Vec<u64>,
}

#[derive(Default)]
pub struct Machines {
    ids: HashMap<String, ServerId>,
    pub by_id: HashMap<ServerId, Machine>,
}

impl Machines {
    /// Brings addresses up to a listing; returns the module's entries, and the servers whose connections are of
    /// no more use, as they are going, have moved or have started again.
    pub fn learn(
        &mut self,
        now: Moment,
        listing: Listing,
        zones: &[String],
    ) -> (Vec<RosterEntry>, HashSet<ServerId>) {
        let (mut entries, mut left) = (Vec::with_capacity(listing.hosts.len()), HashSet::new());
        if listing.whole {
            // What the list lacks is gone; what it has is set below.
            self.by_id.values_mut().for_each(|machine| machine.gone = machine.gone.or(Some(now)));
        }
        for line in listing.hosts {
            let by_id = &self.by_id;
            let server = *self.ids.entry(line.host.clone()).or_insert_with(|| number(&line.host, by_id));
            let machine = self.by_id.entry(server).or_default();
            let gone = matches!(line.health, Health::Terminated);
            machine.gone = gone.then(|| machine.gone.unwrap_or(now));
            let address = line.dial.parse().ok();
            let stays = matches!(line.health, Health::InService);
            if !stays || address != machine.address || line.born_ms != machine.born_ms {
                left.insert(server);
            }
            (machine.address, machine.born_ms) = (address, line.born_ms);
            entries.push(entry(server, &line, zones));
        }
        if listing.whole {
            left.extend(self.by_id.iter().filter(|(_, machine)| machine.gone.is_some()).map(|(id, _)| *id));
        }
        (entries, left)
    }

    /// Forgets servers long gone: in a fleet that is replaced without end they would fill the memory.
    pub fn forget(&mut self, now: Moment) {
        let old = |machine: &Machine| machine.gone.is_some_and(|gone| now.since(gone) > REMEMBERED);
        self.by_id.retain(|_, machine| !old(machine));
        let by_id = &self.by_id;
        self.ids.retain(|_, id| by_id.contains_key(id));
    }
}

/// A server's number follows from its name: every gateway cuts its slice of the servers by their numbers, and one
/// that began with another list, or began anew, must not cut another ring.
fn number(host: &str, taken: &HashMap<ServerId, Machine>) -> ServerId {
    let mut hasher = DefaultHasher::new();
    host.hash(&mut hasher);
    let mut number = hasher.finish() as ServerId;
    // Two names of a few hundred meet once in some ten thousand fleets; the second goes on to the next number.
    while taken.contains_key(&number) {
        number = number.wrapping_add(1);
    }
    number
}

fn entry(server: ServerId, line: &Line, zones: &[String]) -> RosterEntry {
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
