//! Feeds the decoder of messages among our processes with random and spoilt bytes: it must refuse or read them, and never panic.
//!
//!     cargo run --release -p fennelgauge-wire --example fuzz_messages -- 10000000

use std::net::SocketAddr;

use fennelgauge_coordination::{Ballot, Envelope, Identity, Member, Message, Version, View};
use fennelgauge_wire::{
    decode, encode, ChangeKind, ConfigurationBytes, ConfigurationChange, CoreReply, CoreRequest, Reply,
    Request,
};

const INPUTS: u64 = 100_000;
const LONGEST: u64 = 300;

fn main() {
    let inputs = std::env::args().nth(1).and_then(|count| count.parse().ok()).unwrap_or(INPUTS);
    let samples = samples();
    let mut chance = Chance(1);
    let mut read = 0_u64;
    for _ in 0..inputs {
        let bytes = input(&samples, &mut chance);
        read += u64::from(decode::<Request>(&bytes).is_ok());
        read += u64::from(decode::<Reply>(&bytes).is_ok());
    }
    println!("{inputs} inputs, {read} were messages, no panic");
}

struct Chance(u64);

impl Chance {
    fn below(&mut self, limit: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % limit.max(1)
    }
}

/// Random bytes, or a message with some bytes changed, cut short or doubled.
fn input(samples: &[Vec<u8>], chance: &mut Chance) -> Vec<u8> {
    if chance.below(4) == 0 {
        return (0..chance.below(LONGEST)).map(|_| chance.below(256) as u8).collect();
    }
    let mut bytes = samples[chance.below(samples.len() as u64) as usize].clone();
    for _ in 0..chance.below(6) {
        let at = chance.below(bytes.len() as u64) as usize;
        match chance.below(3) {
            0 => bytes[at] = chance.below(256) as u8,
            1 => bytes.truncate(at.max(1)),
            _ => bytes.extend_from_within(at..),
        }
    }
    bytes
}

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
        Message::Install { view },
        Message::Piece { version, total: 99, offset: 3, bytes: vec![1; 40] },
    ];
    let envelopes = messages
        .into_iter()
        .map(|message| encode(&Request::Coordination(Box::new(Envelope { from: member.clone(), message }))));
    let order = ConfigurationChange { kind: ChangeKind::Patch, base_generation: 7, body: vec![2; 60] };
    let mut samples: Vec<Vec<u8>> = envelopes.collect();
    samples.push(encode(&Request::Core(CoreRequest::ChangeConfiguration(order))));
    samples.push(encode(&Reply::Core(CoreReply::Configuration(Some(ConfigurationBytes(vec![3; 80]))))));
    samples
}
