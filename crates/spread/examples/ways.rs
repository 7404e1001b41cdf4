//! The ways of dealing servers to gateways that were weighed, side by side: the table of `docs/spread.md`.
//!
//!     cargo run --release -p fennelgauge-spread --example ways

use fennelgauge_spread::{assign_subset, Candidate, RingPosition};
use rand::seq::SliceRandom;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{Hash, Hasher};

const SIZE: usize = 6;

fn hashed(parts: &[u64]) -> u64 {
    let mut hasher = DefaultHasher::new();
    parts.hash(&mut hasher);
    hasher.finish()
}

fn draw(parts: &[u64]) -> f64 {
    ((hashed(parts) >> 11) as f64 + 0.5) / (1u64 << 53) as f64
}

type Shares = Vec<(u32, f64)>;

fn evenly(servers: impl Iterator<Item = u32>) -> Shares {
    let servers: Vec<u32> = servers.collect();
    let share = 1.0 / servers.len() as f64;
    servers.into_iter().map(|server| (server, share)).collect()
}

/// The text before: one order by hash for each gateway, of which the first ones with room are taken.
fn hash_order(members: &[Candidate], own: u32, _: u32) -> Shares {
    let mut order: Vec<u32> = members.iter().map(|member| member.server).collect();
    order.sort_by_cached_key(|server| hashed(&[u64::from(own), u64::from(*server)]));
    evenly(order.into_iter().take(1))
}

/// As many drawn at random, used evenly.
fn random_subset(members: &[Candidate], own: u32, _: u32) -> Shares {
    let mut order: Vec<u32> = members.iter().map(|member| member.server).collect();
    order.sort_by_cached_key(|server| hashed(&[7, u64::from(own), u64::from(*server)]));
    evenly(order.into_iter().take(SIZE))
}

/// Rendezvous hashing: the highest draws, weighted by rating.
fn rendezvous(members: &[Candidate], own: u32, _: u32) -> Shares {
    let score =
        |member: &Candidate| -draw(&[9, u64::from(own), u64::from(member.server)]).ln() / member.rating;
    let mut order: Vec<&Candidate> = members.iter().collect();
    order.sort_by(|a, b| score(a).total_cmp(&score(b)));
    evenly(order.into_iter().take(SIZE).map(|member| member.server))
}

/// Deterministic subsetting: in each round of gateways all servers, shuffled, are dealt out in subsets.
fn rounds(members: &[Candidate], own: u32, _: u32) -> Shares {
    let subsets = (members.len() / SIZE).max(1) as u32;
    let mut order: Vec<u32> = members.iter().map(|member| member.server).collect();
    order.sort_unstable();
    order.shuffle(&mut ChaCha8Rng::seed_from_u64(u64::from(own / subsets)));
    let from = (own % subsets) as usize * SIZE;
    evenly(order.into_iter().skip(from).take(SIZE))
}

fn ring(members: &[Candidate], own: u32, of: u32) -> Shares {
    assign_subset(members, RingPosition::among_all(own, of), SIZE as f64).shares
}

fn fleet(way: fn(&[Candidate], u32, u32) -> Shares, members: &[Candidate], of: u32) -> Vec<Shares> {
    (0..of).map(|own| way(members, own, of)).collect()
}

/// The part of the gateways' jobs that goes elsewhere than before, gateway by gateway.
fn moved(before: &[Shares], after: &[Shares], gone: Option<u32>) -> f64 {
    let mut sum = 0.0;
    for (before, after) in before.iter().zip(after) {
        let after: BTreeMap<u32, f64> = after.iter().copied().collect();
        // What was on the server that went had to go somewhere: only the rest counts.
        for (server, share) in before.iter().filter(|part| Some(part.0) != gone) {
            sum += (share - after.get(server).copied().unwrap_or(0.0)).max(0.0);
        }
    }
    sum / before.len() as f64
}

fn main() {
    type Way = (&'static str, fn(&[Candidate], u32, u32) -> Shares);
    let ways: [Way; 5] = [
        ("hash order, first choice", hash_order),
        ("random subsets", random_subset),
        ("weighted rendezvous", rendezvous),
        ("subsetting in rounds", rounds),
        ("ring with fractional ends", ring),
    ];
    println!("| gateways x servers | way | max/mean | min/mean | idle | moved, a server goes | moved, a gateway goes | connections |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for (of, servers) in [(10, 10), (100, 60), (300, 200), (1_000, 600)] {
        // Ratings 1 to 4, in three zones.
        let members: Vec<Candidate> = (0..servers)
            .map(|number: u32| Candidate {
                server: hashed(&[3, u64::from(number)]) as u32,
                rating: 1.0 + f64::from(number % 4),
                zone: (number % 3) as u16,
            })
            .collect();
        let rated: f64 = members.iter().map(|member| member.rating).sum();
        for (name, way) in ways {
            let all = fleet(way, &members, of);
            let mut loads: BTreeMap<u32, f64> = BTreeMap::new();
            for (server, share) in all.iter().flatten() {
                *loads.entry(*server).or_default() += share;
            }
            let even: Vec<f64> = members
                .iter()
                .map(|it| loads.get(&it.server).copied().unwrap_or(0.0) / f64::from(of) * rated / it.rating)
                .collect();
            let idle = even.iter().filter(|load| **load <= 0.0).count() as f64 / f64::from(servers);
            // The mean over some servers that go, one at a time.
            let goes: Vec<f64> = (0..5)
                .map(|number| {
                    let gone = members[number * members.len() / 5].server;
                    let left: Vec<Candidate> =
                        members.iter().copied().filter(|it| it.server != gone).collect();
                    moved(&all, &fleet(way, &left, of), Some(gone))
                })
                .collect();
            let fewer = fleet(way, &members, of - 1);
            let pairs: BTreeSet<(usize, u32)> = all
                .iter()
                .enumerate()
                .flat_map(|(at, shares)| shares.iter().map(move |it| (at, it.0)))
                .collect();
            println!(
                "| {of} x {servers} | {name} | {:.2} | {:.2} | {:.0}% | {:.1}% | {:.1}% | {} |",
                even.iter().copied().fold(0.0, f64::max),
                even.iter().copied().fold(f64::INFINITY, f64::min),
                idle * 100.0,
                goes.iter().sum::<f64>() / goes.len() as f64 * 100.0,
                moved(&all, &fewer, None) * 100.0,
                pairs.len()
            );
        }
    }
}
