//! Feeds a membership node with forged datagrams: random bytes, and genuine bodies that were modified and got a new
//! checksum. The result in `docs/membership.md` is from ten million of them.
//!
//!     cargo run --release -p fennelgauge-membership --example fuzz -- 10000000

use fennelgauge::time::{Moment, Span};
use fennelgauge_membership::frame::{Frame, FrameKind};
use fennelgauge_membership::node::{MembershipNode, NodeConfig};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

fn main() {
    let inputs = std::env::args().nth(1).and_then(|text| text.parse().ok()).unwrap_or(100_000_u64);
    let accepted = run(inputs, 1);
    println!("{inputs} datagrams, {accepted} of them accepted, no panic");
}

/// Feeds `inputs` datagrams to a node and returns how many it accepted.
pub fn run(inputs: u64, seed: u64) -> u64 {
    const MEMBER_COUNT: u16 = 20;
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut now = Moment::from_micros(1_700_000_000_000_000);
    let config = |own_index, seed| NodeConfig {
        own_index,
        member_count: MEMBER_COUNT,
        zone: Some(0),
        max_datagrams_per_s: 1e9,
        peer_counting: true,
        seed,
    };
    let mut own = MembershipNode::start(now, config(0, 1));
    let mut other = MembershipNode::start(now, config(1, 2));
    let (mut genuine, mut accepted): (Vec<Vec<u8>>, u64) = (Vec::new(), 0);
    for input in 0..inputs {
        now = now + Span::from_micros(rng.random_range(0..400));
        let mut bytes: Vec<u8> = (0..rng.random_range(0..280)).map(|_| rng.random()).collect();
        let from = rng.random_range(0..MEMBER_COUNT + 2);
        let kind =
            [FrameKind::Membership, FrameKind::CountUpdates, FrameKind::CountTotals][rng.random_range(0..3)];
        match input % 4 {
            0 => {}
            // Random bytes in a valid frame.
            1 => bytes = Frame { kind, body: &bytes }.encode(MEMBER_COUNT, from),
            // A genuine body with some bytes changed, in a valid frame.
            _ if !genuine.is_empty() => {
                let mut body = genuine[rng.random_range(0..genuine.len())].clone();
                for _ in 0..rng.random_range(0..4) {
                    if let Some(at) = (!body.is_empty()).then(|| rng.random_range(0..body.len())) {
                        body[at] = rng.random();
                    }
                }
                body.truncate(rng.random_range(0..=body.len()));
                bytes = Frame { kind, body: &body }.encode(MEMBER_COUNT, from);
            }
            _ => {}
        }
        accepted += u64::from(own.receive(now, Some(from), &bytes).is_ok());
        if input % 64 == 0 {
            own.run_due(now);
            other.run_due(now);
            for (to, bytes) in own.take_datagrams(now).into_iter().chain(other.take_datagrams(now)) {
                if let Ok(frame) = Frame::decode(&bytes, MEMBER_COUNT, if to == 1 { 0 } else { 1 }) {
                    if genuine.len() < 512 {
                        genuine.push(frame.body.to_vec());
                    }
                }
                if to == 0 {
                    let _ = own.receive(now, Some(1), &bytes);
                } else if to == 1 {
                    let _ = other.receive(now, Some(0), &bytes);
                }
            }
            own.take_outcomes();
            assert!(own.count_sizes().0 <= 40_000);
        }
    }
    accepted
}
