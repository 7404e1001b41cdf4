//! Compares ways to assign servers to gateways and prints the table of `docs/spread.md`.
//!
//!     cargo run --release -p fennelgauge-spread --example ways

use fennelgauge_spread::{assign_subset, Candidate, RingPosition};
use rand::seq::SliceRandom;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{Hash, Hasher};

/// Servers per gateway.
const SUBSET_SIZE: usize = 6;

fn hash_of(parts: &[u64]) -> u64 {
    let mut hasher = DefaultHasher::new();
    parts.hash(&mut hasher);
    hasher.finish()
}

fn unit_draw(parts: &[u64]) -> f64 {
    ((hash_of(parts) >> 11) as f64 + 0.5) / (1u64 << 53) as f64
}

type Shares = Vec<(u32, f64)>;

fn equal_shares(servers: impl Iterator<Item = u32>) -> Shares {
    let servers: Vec<u32> = servers.collect();
    let share = 1.0 / servers.len() as f64;
    servers.into_iter().map(|server| (server, share)).collect()
}

/// One order by hash for each gateway; the first server with capacity is used.
fn hash_order(servers: &[Candidate], own: u32, _: u32) -> Shares {
    let mut order: Vec<u32> = servers.iter().map(|server| server.server).collect();
    order.sort_by_cached_key(|server| hash_of(&[u64::from(own), u64::from(*server)]));
    equal_shares(order.into_iter().take(1))
}

/// A random subset of the same size for each gateway, used evenly.
fn random_subset(servers: &[Candidate], own: u32, _: u32) -> Shares {
    let mut order: Vec<u32> = servers.iter().map(|server| server.server).collect();
    order.sort_by_cached_key(|server| hash_of(&[7, u64::from(own), u64::from(*server)]));
    equal_shares(order.into_iter().take(SUBSET_SIZE))
}

/// Weighted rendezvous hashing: the servers with the best scores, weighted by rating.
fn rendezvous(servers: &[Candidate], own: u32, _: u32) -> Shares {
    let score =
        |server: &Candidate| -unit_draw(&[9, u64::from(own), u64::from(server.server)]).ln() / server.rating;
    let mut order: Vec<&Candidate> = servers.iter().collect();
    order.sort_by(|a, b| score(a).total_cmp(&score(b)));
    equal_shares(order.into_iter().take(SUBSET_SIZE).map(|server| server.server))
}

/// Deterministic subsetting: each round of gateways shares out all servers, shuffled, in disjoint subsets.
fn rounds(servers: &[Candidate], own: u32, _: u32) -> Shares {
    let subsets = (servers.len() / SUBSET_SIZE).max(1) as u32;
    let mut order: Vec<u32> = servers.iter().map(|server| server.server).collect();
    order.sort_unstable();
    order.shuffle(&mut ChaCha8Rng::seed_from_u64(u64::from(own / subsets)));
    let from = (own % subsets) as usize * SUBSET_SIZE;
    equal_shares(order.into_iter().skip(from).take(SUBSET_SIZE))
}

fn ring(servers: &[Candidate], own: u32, gateways: u32) -> Shares {
    assign_subset(servers, RingPosition::among_all(own, gateways), SUBSET_SIZE as f64).shares
}

fn shares_of_all(
    method: fn(&[Candidate], u32, u32) -> Shares,
    servers: &[Candidate],
    gateways: u32,
) -> Vec<Shares> {
    (0..gateways).map(|own| method(servers, own, gateways)).collect()
}

/// Returns the share of jobs that moves to another server, as a mean over the gateways; `gone` is a removed server.
fn moved_share(before: &[Shares], after: &[Shares], gone: Option<u32>) -> f64 {
    let mut sum = 0.0;
    for (before, after) in before.iter().zip(after) {
        let after: BTreeMap<u32, f64> = after.iter().copied().collect();
        // Jobs of the removed server have to move in any case, so only the others count.
        for (server, share) in before.iter().filter(|part| Some(part.0) != gone) {
            sum += (share - after.get(server).copied().unwrap_or(0.0)).max(0.0);
        }
    }
    sum / before.len() as f64
}

fn main() {
    type Method = (&'static str, fn(&[Candidate], u32, u32) -> Shares);
    let methods: [Method; 5] = [
        ("hash order, first choice", hash_order),
        ("random subsets", random_subset),
        ("weighted rendezvous", rendezvous),
        ("subsetting in rounds", rounds),
        ("ring with fractional ends", ring),
    ];
    println!("| gateways x servers | way | max/mean | min/mean | idle | moved, a server goes | moved, a gateway goes | connections |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for (gateways, server_count) in [(10, 10), (100, 60), (300, 200), (1_000, 600)] {
        // Ratings from 1 to 4, three zones.
        let servers: Vec<Candidate> = (0..server_count)
            .map(|number: u32| Candidate {
                server: hash_of(&[3, u64::from(number)]) as u32,
                rating: 1.0 + f64::from(number % 4),
                zone: (number % 3) as u16,
            })
            .collect();
        let total_rating: f64 = servers.iter().map(|server| server.rating).sum();
        for (name, method) in methods {
            let all = shares_of_all(method, &servers, gateways);
            let mut loads: BTreeMap<u32, f64> = BTreeMap::new();
            for (server, share) in all.iter().flatten() {
                *loads.entry(*server).or_default() += share;
            }
            let relative_loads: Vec<f64> = servers
                .iter()
                .map(|entry| {
                    loads.get(&entry.server).copied().unwrap_or(0.0) / f64::from(gateways) * total_rating
                        / entry.rating
                })
                .collect();
            let idle =
                relative_loads.iter().filter(|load| **load <= 0.0).count() as f64 / f64::from(server_count);
            // Mean over some servers that are removed one at a time.
            let moved_by_server: Vec<f64> = (0..5)
                .map(|number| {
                    let gone = servers[number * servers.len() / 5].server;
                    let remaining: Vec<Candidate> =
                        servers.iter().copied().filter(|entry| entry.server != gone).collect();
                    moved_share(&all, &shares_of_all(method, &remaining, gateways), Some(gone))
                })
                .collect();
            let without_one_gateway = shares_of_all(method, &servers, gateways - 1);
            let pairs: BTreeSet<(usize, u32)> = all
                .iter()
                .enumerate()
                .flat_map(|(gateway, shares)| shares.iter().map(move |entry| (gateway, entry.0)))
                .collect();
            println!(
                "| {gateways} x {server_count} | {name} | {:.2} | {:.2} | {:.0}% | {:.1}% | {:.1}% | {} |",
                relative_loads.iter().copied().fold(0.0, f64::max),
                relative_loads.iter().copied().fold(f64::INFINITY, f64::min),
                idle * 100.0,
                moved_by_server.iter().sum::<f64>() / moved_by_server.len() as f64 * 100.0,
                moved_share(&all, &without_one_gateway, None) * 100.0,
                pairs.len()
            );
        }
    }
}
