//! Places servers on a ring, each with an arc as long as its rating, and cuts one arc out of it per gateway. The
//! gateways' arcs have the same length, start at equal distances and overlap, so that every point of the ring is in
//! the same number of arcs. Servers at the ends of an arc are used in part.

use std::collections::hash_map::DefaultHasher;
use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};

/// A server that may get jobs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Id of the server.
    pub server: u32,
    /// Relative capacity, comparable across servers. Numbers that are not positive and finite count as 1.
    pub rating: f64,
    /// Zone the server is in.
    pub zone: u16,
}

/// The position of a gateway on the ring.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RingPosition {
    /// Index of the position, from 0.
    pub index: u32,
    /// Number of gateways that share the ring.
    pub count: u32,
}

impl RingPosition {
    /// Returns the position of gateway `own` if all gateways, numbered from 0, share the ring.
    pub fn among_all(own: u32, gateways: u32) -> Self {
        Self::among(own, 0..gateways)
    }

    /// Returns the position of gateway `own` among the gateways in `present`, which need not contain it.
    ///
    /// Each gateway has a fixed key, and positions follow the order of the keys: when one gateway leaves, the
    /// others move by less than one position. Keys of consecutive numbers are far apart (by the golden ratio):
    /// gateways of one zone, or of one customer's set, mostly have consecutive numbers, and a failure of all of
    /// them must not leave a stretch of the ring uncovered.
    pub fn among(own: u32, present: impl Iterator<Item = u32>) -> Self {
        const GOLDEN_RATIO: u64 = 0x9e37_79b9_7f4a_7c15;
        let key = |number: u32| u64::from(number).wrapping_mul(GOLDEN_RATIO);
        let (mut index, mut count) = (0, 1);
        for number in present.filter(|number| *number != own) {
            index += u32::from(key(number) < key(own));
            count += 1;
        }
        Self { index, count }
    }

    /// Returns where the gateway's arc starts, as a fraction of the ring.
    fn arc_start(self) -> f64 {
        let count = self.count.max(1);
        f64::from(self.index % count) / f64::from(count)
    }
}

/// The servers that a gateway uses.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SubsetAssignment {
    /// Servers in the gateway's arc, each with the share of its jobs that it should get; the shares sum to 1.
    pub shares: Vec<(u32, f64)>,
    /// All other servers from the end of the arc on, nearest first, for while no server of the arc is usable.
    pub fallback: Vec<u32>,
}

/// Returns a hash of the numbers that is the same at every gateway.
pub(crate) fn hash_of(parts: &[u64]) -> u64 {
    let mut hasher = DefaultHasher::new();
    parts.hash(&mut hasher);
    hasher.finish()
}

/// Maps a hash to [0, 1).
pub(crate) fn unit_fraction(hash: u64) -> f64 {
    (hash >> 11) as f64 / (1u64 << 53) as f64
}

fn effective_rating(server: &Candidate) -> f64 {
    if server.rating > 0.0 && server.rating.is_finite() {
        server.rating
    } else {
        1.0
    }
}

/// Returns the servers in ring order: by hash within a zone, with the zones interleaved, so that every arc contains
/// its part of every zone and the loss of a zone empties no arc.
fn ring_order(servers: &[Candidate]) -> Vec<Candidate> {
    let mut zones: BTreeMap<u16, Vec<Candidate>> = BTreeMap::new();
    for server in servers {
        zones.entry(server.zone).or_default().push(*server);
    }
    let mut placed = Vec::with_capacity(servers.len());
    for (zone, mut in_zone) in zones {
        in_zone.sort_by_cached_key(|server| (hash_of(&[u64::from(server.server)]), server.server));
        in_zone.dedup_by_key(|server| server.server);
        let zone_rating: f64 = in_zone.iter().map(effective_rating).sum();
        let mut before = 0.0;
        for server in in_zone {
            // Middle of its arc, as a fraction of the total length of its zone.
            placed.push(((before + effective_rating(&server) / 2.0) / zone_rating, zone, server));
            before += effective_rating(&server);
        }
    }
    placed.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)).then(a.2.server.cmp(&b.2.server)));
    // A server that is listed in two zones must not be placed twice.
    let mut seen = std::collections::BTreeSet::new();
    placed.into_iter().map(|it| it.2).filter(|server| seen.insert(server.server)).collect()
}

/// Assigns a gateway its servers: at least `min_servers` of the mean rating, and hardly more, if there are as many.
pub fn assign_subset(servers: &[Candidate], position: RingPosition, min_servers: f64) -> SubsetAssignment {
    let ring = ring_order(servers);
    if ring.is_empty() {
        return SubsetAssignment::default();
    }
    let ring_length: f64 = ring.iter().map(effective_rating).sum();
    let (server_count, gateways) = (ring.len() as f64, f64::from(position.count.max(1)));
    // Every point must be in the same whole number of arcs, or some would get more jobs than others. `max` turns
    // NaN into 1.
    let layers = (min_servers / server_count * gateways).ceil().max(1.0).min(gateways);
    let (arc_start, arc_length) = (position.arc_start() * ring_length, layers / gateways * ring_length);
    let (mut shares, mut fallback) = (Vec::new(), Vec::new());
    let mut next_start = 0.0;
    // Go round once from the first server of the arc, which may also contain the arc's end.
    let mut server_starts = Vec::with_capacity(ring.len());
    for server in &ring {
        server_starts.push(next_start);
        next_start += effective_rating(server);
    }
    let first = server_starts.partition_point(|server_start| *server_start <= arc_start).saturating_sub(1);
    for step in 0..ring.len() {
        let index = (first + step) % ring.len();
        let (server_start, server_length) = (server_starts[index], effective_rating(&ring[index]));
        let covered = overlap(server_start, server_length, arc_start, arc_length, ring_length);
        // A remainder from rounding is not a share.
        if covered > ring_length * 1e-9 {
            shares.push((ring[index].server, covered / arc_length));
        } else {
            fallback.push(ring[index].server);
        }
    }
    SubsetAssignment { shares, fallback }
}

/// Returns how much of a server lies in an arc that may wrap around the end of the ring.
fn overlap(server_start: f64, server_length: f64, arc_start: f64, arc_length: f64, ring_length: f64) -> f64 {
    let covered =
        |from: f64, until: f64| ((server_start + server_length).min(until) - server_start.max(from)).max(0.0);
    covered(arc_start, (arc_start + arc_length).min(ring_length))
        + covered(0.0, arc_start + arc_length - ring_length)
}

#[cfg(test)]
mod tests;
