//! Feeds a limiter's place among the others with datagrams that nobody sent: noise, and genuine ones spoilt and signed
//! anew. The figure of `docs/membership.md` is of ten million.
//!
//!     cargo run --release -p fennelgauge-membership --example fuzz -- 10000000

use fennelgauge::time::{Moment, Span};
use fennelgauge_membership::circle::{Circle, Terms};
use fennelgauge_membership::frame::{Frame, Kind};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

fn main() {
    let inputs = std::env::args().nth(1).and_then(|text| text.parse().ok()).unwrap_or(100_000_u64);
    let taken = run(inputs, 1);
    println!("{inputs} datagrams, {taken} of them taken in, no panic");
}

/// Returns how many were taken in.
pub fn run(inputs: u64, seed: u64) -> u64 {
    const OF: u16 = 20;
    let mut chance = ChaCha8Rng::seed_from_u64(seed);
    let mut now = Moment::from_micros(1_700_000_000_000_000);
    let terms = |own, seed| Terms { own, of: OF, zone: Some(0), mail_per_s: 1e9, counts: true, seed };
    let mut own = Circle::start(now, terms(0, 1));
    let mut other = Circle::start(now, terms(1, 2));
    let (mut genuine, mut taken): (Vec<Vec<u8>>, u64) = (Vec::new(), 0);
    for input in 0..inputs {
        now = now + Span::from_micros(chance.random_range(0..400));
        let mut bytes: Vec<u8> = (0..chance.random_range(0..280)).map(|_| chance.random()).collect();
        let from = chance.random_range(0..OF + 2);
        let kind = [Kind::Members, Kind::Sums, Kind::Totals][chance.random_range(0..3)];
        match input % 4 {
            0 => {}
            // Noise that passes for whole.
            1 => bytes = Frame { kind, body: &bytes }.encode(OF, from),
            // A genuine body, spoilt at some places and signed anew.
            _ if !genuine.is_empty() => {
                let mut body = genuine[chance.random_range(0..genuine.len())].clone();
                for _ in 0..chance.random_range(0..4) {
                    if let Some(at) = (!body.is_empty()).then(|| chance.random_range(0..body.len())) {
                        body[at] = chance.random();
                    }
                }
                body.truncate(chance.random_range(0..=body.len()));
                bytes = Frame { kind, body: &body }.encode(OF, from);
            }
            _ => {}
        }
        taken += u64::from(own.take(now, Some(from), &bytes).is_ok());
        if input % 64 == 0 {
            own.due(now);
            other.due(now);
            for (to, bytes) in own.sends(now).into_iter().chain(other.sends(now)) {
                if let Ok(frame) = Frame::decode(&bytes, OF, if to == 1 { 0 } else { 1 }) {
                    if genuine.len() < 512 {
                        genuine.push(frame.body.to_vec());
                    }
                }
                if to == 0 {
                    let _ = own.take(now, Some(1), &bytes);
                } else if to == 1 {
                    let _ = other.take(now, Some(0), &bytes);
                }
            }
            own.results();
            assert!(own.counts().0 <= 40_000);
        }
    }
    taken
}
