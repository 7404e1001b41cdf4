//! A gateway's slice in use: whose turn it is among its servers. Each comes round as often as its share says, so that
//! the few jobs of one gateway fall evenly, and with them the fleet's.

use crate::ring::{assign_subset, hashed, part_of_one, Candidate, RingPosition};

#[derive(Clone, Copy, Debug, PartialEq)]
struct Part {
    server: u32,
    /// Turns between two jobs of it: the shorter, the larger its share.
    apart: f64,
    /// When its turn comes.
    turn: f64,
}

/// The servers of a slice in the order of their turns, and all others behind them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Subset {
    parts: Vec<Part>,
    beyond: Vec<u32>,
}

impl Subset {
    /// Takes in a roster: servers that stay keep their turns. The first turn of a new one falls at a hashed place of
    /// its round: of all gateways that share it, none may begin with it, or all would.
    pub fn update(&mut self, members: &[Candidate], seat: RingPosition, least: f64) {
        let cut = assign_subset(members, seat, least);
        let begun = self.parts.first().map_or(0.0, |part| part.turn);
        let parts = cut.shares.iter().map(|(server, share)| {
            let apart = 1.0 / share.max(1e-9);
            let hash = hashed(&[u64::from(seat.index), u64::from(seat.count), u64::from(*server)]);
            let known = self.parts.iter().find(|part| part.server == *server);
            let turn = known.map_or(begun + apart * part_of_one(hash), |part| part.turn.min(begun + apart));
            Part { server: *server, apart, turn }
        });
        self.parts = parts.collect();
        self.beyond = cut.fallback;
        self.sort();
    }

    fn sort(&mut self) {
        self.parts.sort_by(|a, b| a.turn.total_cmp(&b.turn).then(a.server.cmp(&b.server)));
    }

    /// The servers of the slice, whose turn it is first.
    pub fn in_turn_order(&self) -> impl Iterator<Item = u32> + '_ {
        self.parts.iter().map(|part| part.server)
    }

    /// The others, nearest first.
    pub fn fallback(&self) -> impl Iterator<Item = u32> + '_ {
        self.beyond.iter().copied()
    }

    /// A server was given a job. One that was passed over keeps its turn, but makes up for one at most: a server that
    /// had no room for long would else be given all the jobs that it missed.
    pub fn record_relay(&mut self, server: u32) {
        let Some(index) = self.parts.iter().position(|part| part.server == server) else { return };
        let turn = self.parts[index].turn;
        for part in &mut self.parts[..index] {
            part.turn = part.turn.max(turn - part.apart);
        }
        self.parts[index].turn = turn + self.parts[index].apart;
        self.sort();
        // Turns are told apart however long the gateway lives.
        const FAR: f64 = 1e9;
        if turn > FAR {
            self.parts.iter_mut().for_each(|part| part.turn -= FAR);
        }
    }
}

#[cfg(test)]
mod tests;
