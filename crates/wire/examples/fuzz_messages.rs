//! Fuzzes the decoder of messages with random bytes and with mutated valid messages: it has to decode or reject every input
//! and must not panic. The argument is the number of inputs.
//!
//!     cargo run --release -p fennelgauge-wire --example fuzz_messages -- 10000000

use std::net::SocketAddr;

use fennelgauge_coordination::{Ballot, Envelope, Identity, Member, Message, Version, View};
use fennelgauge_wire::{
    decode, encode, ChangeKind, ConfigurationBytes, ConfigurationChange, CoreReply, CoreRequest, Reply,
    Request,
};

const DEFAULT_INPUTS: u64 = 100_000;
/// Length limit of the inputs that are wholly random, in bytes.
const MAX_RANDOM_BYTES: u64 = 300;

fn main() {
    let inputs = std::env::args().nth(1).and_then(|count| count.parse().ok()).unwrap_or(DEFAULT_INPUTS);
    let samples = samples();
    let mut random = Random(1);
    let mut decoded = 0_u64;
    for _ in 0..inputs {
        let bytes = input(&samples, &mut random);
        decoded += u64::from(decode::<Request>(&bytes).is_ok());
        decoded += u64::from(decode::<Reply>(&bytes).is_ok());
    }
    println!("{inputs} inputs, {decoded} were messages, no panic");
}

/// A linear congruential generator, so that a run can be repeated.
struct Random(u64);

impl Random {
    /// Returns a number below `limit`, or 0 if the limit is 0.
    fn below(&mut self, limit: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % limit.max(1)
    }
}

/// Returns random bytes, or a sample with up to five mutations: a byte changed, the end cut off, or the end repeated.
fn input(samples: &[Vec<u8>], random: &mut Random) -> Vec<u8> {
    if random.below(4) == 0 {
        return (0..random.below(MAX_RANDOM_BYTES)).map(|_| random.below(256) as u8).collect();
    }
    let mut bytes = samples[random.below(samples.len() as u64) as usize].clone();
    for _ in 0..random.below(6) {
        let offset = random.below(bytes.len() as u64) as usize;
        match random.below(3) {
            0 => bytes[offset] = random.below(256) as u8,
            1 => bytes.truncate(offset.max(1)),
            _ => bytes.extend_from_within(offset..),
        }
    }
    bytes
}

/// Returns encoded messages that contain nested types, optional values, lists and byte strings.
fn samples() -> Vec<Vec<u8>> {
    let member = Member {
        identity: Identity { node: "edge-1".to_owned(), disk: 7 },
        peer: SocketAddr::from(([10, 0, 0, 1], 7360)),
        zone: "z".to_owned(),
        region: "r".to_owned(),
    };
    let version = Version { epoch: 3, sequence: 9, digest: 1 << 99 };
    let view =
        View { epoch: 4, voters: vec![member.clone(); 3], chain: vec![member.clone(); 2], start: version };
    let ballot = Ballot { round: 5, proposer: member.identity.clone() };
    let messages = [
        Message::Promised {
            epoch: 3,
            ballot: ballot.clone(),
            accepted: Some((ballot, view.clone())),
            version,
        },
        Message::InstallView { view },
        Message::SnapshotChunk { version, total: 99, offset: 3, bytes: vec![1; 40] },
    ];
    let envelopes = messages
        .into_iter()
        .map(|message| encode(&Request::Coordination(Box::new(Envelope { from: member.clone(), message }))));
    let change = ConfigurationChange { kind: ChangeKind::Patch, base_generation: 7, body: vec![2; 60] };
    let mut samples: Vec<Vec<u8>> = envelopes.collect();
    samples.push(encode(&Request::Core(CoreRequest::ChangeConfiguration(change))));
    samples.push(encode(&Reply::Core(CoreReply::Configuration(Some(ConfigurationBytes(vec![3; 80]))))));
    samples
}
