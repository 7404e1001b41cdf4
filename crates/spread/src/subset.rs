//! A gateway's subset in use: whose turn it is among its servers. Each server's turn comes as often as its share
//! says, so that the few jobs of one gateway, and with them those of the whole fleet, are spread evenly.

use crate::ring::{assign_subset, hash_of, unit_fraction, Candidate, RingPosition};

/// The turns of one server of the subset. Turns are points on a virtual clock that advances with the jobs sent.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Turn {
    server: u32,
    /// Virtual time between two jobs of the server: the inverse of its share.
    interval: f64,
    /// Virtual time of its next turn.
    next: f64,
}

/// The servers of a gateway's subset in the order of their turns, and all other servers as a fallback.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Subset {
    turns: Vec<Turn>,
    fallback: Vec<u32>,
}

impl Subset {
    /// Assigns the subset anew from a roster. Servers that stay keep their turns. The first turn of a new server is
    /// at a point of its interval given by a hash: otherwise all gateways that share it would send it their next
    /// job at once.
    pub fn update(&mut self, servers: &[Candidate], position: RingPosition, min_servers: f64) {
        let assigned = assign_subset(servers, position, min_servers);
        let now = self.turns.first().map_or(0.0, |turn| turn.next);
        let turns = assigned.shares.iter().map(|(server, share)| {
            let interval = 1.0 / share.max(1e-9);
            let hash = hash_of(&[u64::from(position.index), u64::from(position.count), u64::from(*server)]);
            let known = self.turns.iter().find(|turn| turn.server == *server);
            let next =
                known.map_or(now + interval * unit_fraction(hash), |turn| turn.next.min(now + interval));
            Turn { server: *server, interval, next }
        });
        self.turns = turns.collect();
        self.fallback = assigned.fallback;
        self.sort();
    }

    fn sort(&mut self) {
        self.turns.sort_by(|a, b| a.next.total_cmp(&b.next).then(a.server.cmp(&b.server)));
    }

    /// Returns the servers of the subset in the order of their next turns.
    pub fn in_turn_order(&self) -> impl Iterator<Item = u32> + '_ {
        self.turns.iter().map(|turn| turn.server)
    }

    /// Returns all other servers, nearest on the ring first.
    pub fn fallback(&self) -> impl Iterator<Item = u32> + '_ {
        self.fallback.iter().copied()
    }

    /// Records that a job was sent to a server. Servers that were skipped keep their turns but catch up by one at
    /// most: one that had no capacity for long would otherwise get all the jobs that it missed.
    pub fn record_relay(&mut self, server: u32) {
        let Some(index) = self.turns.iter().position(|turn| turn.server == server) else { return };
        let now = self.turns[index].next;
        for turn in &mut self.turns[..index] {
            turn.next = turn.next.max(now - turn.interval);
        }
        self.turns[index].next = now + self.turns[index].interval;
        self.sort();
        // Keeps the numbers small enough for turns to differ, however long the gateway runs.
        const MAX_VIRTUAL_TIME: f64 = 1e9;
        if now > MAX_VIRTUAL_TIME {
            self.turns.iter_mut().for_each(|turn| turn.next -= MAX_VIRTUAL_TIME);
        }
    }
}

#[cfg(test)]
mod tests;
