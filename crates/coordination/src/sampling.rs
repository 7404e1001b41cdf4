//! Peer sampling by shuffling, as in Cyclon: each process keeps a small partial view of the others, and regularly exchanges a
//! part of it with the peer whose entry is oldest. Entries of processes that are gone are not renewed and drop out. The
//! traffic of a process does not depend on the number of processes. Half of the entries are reserved for the process's own
//! zone, so that a zone of up to that size is known completely.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// A process that takes part in peer sampling.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Peer {
    /// Configured name of the machine.
    pub node: String,
    /// Availability zone.
    pub zone: String,
    /// Address for shuffles; identifies the peer.
    pub address: SocketAddr,
}

/// An entry of a partial view: a peer and its age, in rounds since the peer created the entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerEntry {
    /// The peer.
    pub peer: Peer,
    /// Rounds since the peer created the entry.
    pub age: u32,
}

/// A shuffle in progress: the peer to send `offer` to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Shuffle {
    /// Peer to shuffle with.
    pub target: Peer,
    /// Entries to send to it.
    pub offer: Vec<PeerEntry>,
}

/// The bounded set of peers that one process knows.
#[derive(Clone, Debug)]
pub struct PartialView {
    own: Peer,
    entries: Vec<PeerEntry>,
    capacity: usize,
    shuffle_size: usize,
}

impl PartialView {
    /// Creates an empty view of at most `capacity` entries, which exchanges `shuffle_size` entries in a shuffle.
    pub fn new(own: Peer, capacity: usize, shuffle_size: usize) -> Self {
        Self { own, entries: Vec::new(), capacity: capacity.max(2), shuffle_size: shuffle_size.max(1) }
    }

    /// Returns the known peers.
    pub fn peers(&self) -> impl Iterator<Item = &Peer> {
        self.entries.iter().map(|entry| &entry.peer)
    }

    /// Adds a peer that has announced itself.
    pub fn add_peer(&mut self, peer: Peer) {
        self.merge(vec![PeerEntry { peer, age: 0 }], &[]);
    }

    /// Starts a shuffle with the peer whose entry is oldest, and removes that entry until the peer answers. `draw` returns a
    /// random number below its argument. Returns none if no peer is known.
    pub fn begin_shuffle(&mut self, mut draw: impl FnMut(usize) -> usize) -> Option<Shuffle> {
        for entry in &mut self.entries {
            entry.age += 1;
        }
        // Ties are broken at random: otherwise two processes that keep renewing each other's entries would shuffle with each
        // other only.
        let age = self.entries.iter().map(|entry| entry.age).max()?;
        let oldest: Vec<usize> =
            (0..self.entries.len()).filter(|index| self.entries[*index].age == age).collect();
        let target = self.entries.swap_remove(oldest[draw(oldest.len()) % oldest.len()]).peer;
        let mut offer = self.draw_entries(self.shuffle_size - 1, &mut draw);
        offer.push(PeerEntry { peer: self.own.clone(), age: 0 });
        Some(Shuffle { target, offer })
    }

    /// Answers another process's offer: merges it and returns a part of this view.
    pub fn answer_shuffle(
        &mut self,
        offer: Vec<PeerEntry>,
        mut draw: impl FnMut(usize) -> usize,
    ) -> Vec<PeerEntry> {
        let sent = self.draw_entries(self.shuffle_size, &mut draw);
        self.merge(offer, &sent);
        sent
    }

    /// Merges the answer to a shuffle that this process started.
    pub fn finish_shuffle(&mut self, shuffle: Shuffle, mut received: Vec<PeerEntry>) {
        received.push(PeerEntry { peer: shuffle.target, age: 0 });
        self.merge(received, &shuffle.offer);
    }

    /// Draws up to `count` distinct entries.
    fn draw_entries(&self, count: usize, draw: &mut impl FnMut(usize) -> usize) -> Vec<PeerEntry> {
        let mut left: Vec<&PeerEntry> = self.entries.iter().collect();
        let mut drawn = Vec::new();
        while drawn.len() < count && !left.is_empty() {
            drawn.push(left.swap_remove(draw(left.len())).clone());
        }
        drawn
    }

    /// Merges entries, keeping the younger one of each peer. Above the capacity, entries that were sent away are evicted first,
    /// then the oldest.
    fn merge(&mut self, entries: Vec<PeerEntry>, sent: &[PeerEntry]) {
        for entry in entries {
            if entry.peer.address == self.own.address {
                continue;
            }
            match self.entries.iter_mut().find(|known| known.peer.address == entry.peer.address) {
                Some(known) if known.age > entry.age => *known = entry,
                Some(_) => {}
                None => self.entries.push(entry),
            }
        }
        self.evict_surplus(sent);
    }

    /// Evicts entries down to the capacity: entries of the own zone if they exceed half of it, else entries of other zones.
    fn evict_surplus(&mut self, sent: &[PeerEntry]) {
        while self.entries.len() > self.capacity {
            let own_zone = self.entries.iter().filter(|known| known.peer.zone == self.own.zone).count();
            let evict_own_zone = own_zone > self.capacity / 2;
            let worst = (0..self.entries.len()).max_by_key(|index| {
                let known = &self.entries[*index];
                let was_sent = sent.iter().any(|sent| sent.peer.address == known.peer.address);
                ((known.peer.zone == self.own.zone) == evict_own_zone, was_sent, known.age)
            });
            let Some(worst) = worst else { return };
            self.entries.swap_remove(worst);
        }
    }
}
