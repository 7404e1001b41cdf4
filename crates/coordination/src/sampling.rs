//! Peer sampling: each process knows a few others, and swaps a part of what it knows with the one it has known longest.
//! Whoever is gone is not put in again and drops out; traffic is the same however many there are. Half of the places are
//! for the own zone, so that a zone of up to that many is known whole.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// A process as others know it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Peer {
    pub node: String,
    pub zone: String,
    pub address: SocketAddr,
}

/// A peer with the number of rounds since it told of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerEntry {
    pub peer: Peer,
    pub age: u32,
}

/// A swap that was begun: what goes to whom.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Shuffle {
    pub target: Peer,
    pub offer: Vec<PeerEntry>,
}

/// The partial view of one process.
#[derive(Clone, Debug)]
pub struct PartialView {
    own: Peer,
    entries: Vec<PeerEntry>,
    capacity: usize,
    shuffle_size: usize,
}

impl PartialView {
    /// With `capacity` places, of which `swapped` go into a swap.
    pub fn new(own: Peer, capacity: usize, swapped: usize) -> Self {
        Self { own, entries: Vec::new(), capacity: capacity.max(2), shuffle_size: swapped.max(1) }
    }

    pub fn peers(&self) -> impl Iterator<Item = &Peer> {
        self.entries.iter().map(|sighting| &sighting.peer)
    }

    /// A peer told of itself.
    pub fn add_peer(&mut self, peer: Peer) {
        self.merge(vec![PeerEntry { peer, age: 0 }], &[]);
    }

    /// Begins a swap with the peer known longest, who is out of the view until it answers. `draw` gives a number below
    /// its argument.
    pub fn begin_shuffle(&mut self, mut draw: impl FnMut(usize) -> usize) -> Option<Shuffle> {
        for sighting in &mut self.entries {
            sighting.age += 1;
        }
        // Among equals chance decides: otherwise two that refresh each other's ages would swap with each other only.
        let age = self.entries.iter().map(|sighting| sighting.age).max()?;
        let oldest: Vec<usize> =
            (0..self.entries.len()).filter(|place| self.entries[*place].age == age).collect();
        let with = self.entries.swap_remove(oldest[draw(oldest.len()) % oldest.len()]).peer;
        let mut offer = self.drawn(self.shuffle_size - 1, &mut draw);
        offer.push(PeerEntry { peer: self.own.clone(), age: 0 });
        Some(Shuffle { target: with, offer })
    }

    /// Another process's offer: takes it in and gives a part of the own view back.
    pub fn answer_shuffle(
        &mut self,
        offered: Vec<PeerEntry>,
        mut draw: impl FnMut(usize) -> usize,
    ) -> Vec<PeerEntry> {
        let given = self.drawn(self.shuffle_size, &mut draw);
        self.merge(offered, &given);
        given
    }

    /// The answer to a swap that was begun.
    pub fn finish_shuffle(&mut self, swap: Shuffle, mut received: Vec<PeerEntry>) {
        received.push(PeerEntry { peer: swap.target, age: 0 });
        self.merge(received, &swap.offer);
    }

    fn drawn(&self, count: usize, draw: &mut impl FnMut(usize) -> usize) -> Vec<PeerEntry> {
        let mut left: Vec<&PeerEntry> = self.entries.iter().collect();
        let mut drawn = Vec::new();
        while drawn.len() < count && !left.is_empty() {
            drawn.push(left.swap_remove(draw(left.len())).clone());
        }
        drawn
    }

    /// Takes sightings in; where there is no room, what was given away goes first, then what is oldest.
    fn merge(&mut self, sightings: Vec<PeerEntry>, given: &[PeerEntry]) {
        for sighting in sightings {
            if sighting.peer.address == self.own.address {
                continue;
            }
            match self.entries.iter_mut().find(|known| known.peer.address == sighting.peer.address) {
                Some(known) if known.age > sighting.age => *known = sighting,
                Some(_) => {}
                None => self.entries.push(sighting),
            }
        }
        self.make_room(given);
    }

    fn make_room(&mut self, given: &[PeerEntry]) {
        while self.entries.len() > self.capacity {
            let near = self.entries.iter().filter(|known| known.peer.zone == self.own.zone).count();
            let drop_near = near > self.capacity / 2;
            let worst = (0..self.entries.len()).max_by_key(|place| {
                let known = &self.entries[*place];
                let was_given = given.iter().any(|gone| gone.peer.address == known.peer.address);
                ((known.peer.zone == self.own.zone) == drop_near, was_given, known.age)
            });
            let Some(worst) = worst else { return };
            self.entries.swap_remove(worst);
        }
    }
}
