//! The ring: servers laid end to end, each as long as its rating, and every gateway's arc on it. All arcs have one
//! length, begin evenly apart and overlap, so that each point lies in as many arcs as any other; the servers at an
//! arc's ends are used in part.

use std::collections::hash_map::DefaultHasher;
use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};

/// A server that may be given jobs. `rating` is comparable across servers; one that is no number or not above
/// nothing counts as 1.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    pub server: u32,
    pub rating: f64,
    pub zone: u16,
}

/// A gateway's place on the ring, from 0, among `of` gateways that spread the load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RingPosition {
    pub index: u32,
    pub count: u32,
}

impl RingPosition {
    /// Among all of a deployment's gateways, by number.
    pub fn among_all(own: u32, gateways: u32) -> Self {
        Self::among(own, 0..gateways)
    }

    /// Among those that are there; `own` need not be named. Each gateway has a mark of its own and they sit in the
    /// order of their marks: when one goes, the others move by less than its place. Marks of numbers in a row lie far
    /// apart (by the golden section): gateways of one zone, or of one customer's set, mostly have such numbers, and
    /// what hits all of them must not leave one stretch of the ring without arcs.
    pub fn among(own: u32, there: impl Iterator<Item = u32>) -> Self {
        const GOLDEN: u64 = 0x9e37_79b9_7f4a_7c15;
        let mark = |number: u32| u64::from(number).wrapping_mul(GOLDEN);
        let (mut place, mut of) = (0, 1);
        for number in there.filter(|number| *number != own) {
            place += u32::from(mark(number) < mark(own));
            of += 1;
        }
        Self { index: place, count: of }
    }

    /// Where its arc begins, as a part of the ring: all evenly apart.
    fn begins(self) -> f64 {
        let of = self.count.max(1);
        f64::from(self.index % of) / f64::from(of)
    }
}

/// What a gateway uses of the ring.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SubsetAssignment {
    /// The servers of its arc and the share of its jobs that each is to get; the shares sum to 1.
    pub shares: Vec<(u32, f64)>,
    /// All others, from the end of the arc on: where to go while the slice has nobody well, nearest first.
    pub fallback: Vec<u32>,
}

pub(crate) fn hashed(parts: &[u64]) -> u64 {
    let mut hasher = DefaultHasher::new();
    parts.hash(&mut hasher);
    hasher.finish()
}

/// Between 0 and 1.
pub(crate) fn part_of_one(hash: u64) -> f64 {
    (hash >> 11) as f64 / (1u64 << 53) as f64
}

fn rated(member: &Candidate) -> f64 {
    if member.rating > 0.0 && member.rating.is_finite() {
        member.rating
    } else {
        1.0
    }
}

/// The order of the ring: by hash within a zone, the zones dealt through one another, so that every arc has its part
/// of every zone and the loss of one leaves no arc empty.
fn order(members: &[Candidate]) -> Vec<Candidate> {
    let mut zones: BTreeMap<u16, Vec<Candidate>> = BTreeMap::new();
    for member in members {
        zones.entry(member.zone).or_default().push(*member);
    }
    let mut placed = Vec::with_capacity(members.len());
    for (zone, mut within) in zones {
        within.sort_by_cached_key(|member| (hashed(&[u64::from(member.server)]), member.server));
        within.dedup_by_key(|member| member.server);
        let whole: f64 = within.iter().map(rated).sum();
        let mut before = 0.0;
        for member in within {
            // The middle of its length, as a part of its zone's.
            placed.push(((before + rated(&member) / 2.0) / whole, zone, member));
            before += rated(&member);
        }
    }
    placed.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)).then(a.2.server.cmp(&b.2.server)));
    // A server listed in two zones would be laid twice.
    let mut known = std::collections::BTreeSet::new();
    placed.into_iter().map(|it| it.2).filter(|member| known.insert(member.server)).collect()
}

/// Cuts a gateway's slice of the roster: `least` servers of the mean rating or a little more, as far as there are.
pub fn assign_subset(members: &[Candidate], seat: RingPosition, least: f64) -> SubsetAssignment {
    let ring = order(members);
    if ring.is_empty() {
        return SubsetAssignment::default();
    }
    let whole: f64 = ring.iter().map(rated).sum();
    let (many, of) = (ring.len() as f64, f64::from(seat.count.max(1)));
    // A whole number of arcs over every point of the ring: else some would be covered once more than others.
    // `max` also takes what is no number for one.
    let layers = (least / many * of).ceil().max(1.0).min(of);
    let (from, length) = (seat.begins() * whole, layers / of * whole);
    let (mut slice, mut beyond) = (Vec::new(), Vec::new());
    let mut at = 0.0;
    // Once round from the arc's first server; that one may hold the arc's end as well.
    let mut starts = Vec::with_capacity(ring.len());
    for member in &ring {
        starts.push(at);
        at += rated(member);
    }
    let first = starts.partition_point(|start| *start <= from).saturating_sub(1);
    for step in 0..ring.len() {
        let index = (first + step) % ring.len();
        let (start, long) = (starts[index], rated(&ring[index]));
        let inside = overlap(start, long, from, length, whole);
        // What rounding leaves of a server is no share.
        if inside > whole * 1e-9 {
            slice.push((ring[index].server, inside / length));
        } else {
            beyond.push(ring[index].server);
        }
    }
    SubsetAssignment { shares: slice, fallback: beyond }
}

/// How much of a server lies in an arc that may go over the ring's end.
fn overlap(start: f64, long: f64, from: f64, length: f64, whole: f64) -> f64 {
    let part = |from: f64, until: f64| ((start + long).min(until) - start.max(from)).max(0.0);
    part(from, (from + length).min(whole)) + part(0.0, from + length - whole)
}

#[cfg(test)]
mod tests;
