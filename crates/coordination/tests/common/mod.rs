//! A handful of replicas that speak to each other at once, with what a test holds back.

#![allow(dead_code)]

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;

use fennelgauge_coordination::{
    Acceptor, DurableState, Effects, Identity, Member, Message, Replica, Replicated, Version, View,
    ViewRules, VotingRecord, WriteRefusal,
};

/// A value that changes are added to.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Text(pub String);

impl Replicated for Text {
    fn apply(&self, change: &[u8]) -> Option<Self> {
        Some(Self(format!("{}{}", self.0, std::str::from_utf8(change).ok()?)))
    }

    fn encode(&self) -> Vec<u8> {
        self.0.as_bytes().to_vec()
    }

    fn decode(bytes: &[u8]) -> Option<Self> {
        String::from_utf8(bytes.to_vec()).ok().map(Self)
    }
}

pub fn member(number: u8, disk: u64) -> Member {
    Member {
        identity: Identity { node: format!("m{number}"), disk },
        peer: SocketAddr::from(([10, 0, 0, number], 7360)),
        zone: format!("z{number}"),
        region: "r".to_owned(),
    }
}

pub fn members(numbers: &[u8]) -> Vec<Member> {
    numbers.iter().map(|number| member(*number, 1)).collect()
}

pub fn version(epoch: u64, sequence: u64, text: &str) -> Version {
    Version { epoch, sequence, digest: Text(text.to_owned()).digest() }
}

pub fn view(epoch: u64, voters: &[u8], chain: &[u8], start: Version) -> View {
    View { epoch, voters: members(voters), chain: members(chain), start }
}

/// A machine with what is on its disk.
pub struct Machine {
    pub replica: Replica<Text>,
    pub disk: DurableState<Text>,
}

/// Machines with numbers from 1 on.
pub struct Fleet {
    pub machines: Vec<Machine>,
    pub on_the_way: VecDeque<(usize, SocketAddr, Message)>,
    pub losses: usize,
}

impl Fleet {
    /// All of them in a view, at the same version.
    pub fn in_view(count: u8, losses: usize, view: &View, text: &str) -> Self {
        let machines = (1..=count).map(|number| {
            let stored = DurableState {
                record: VotingRecord { acceptor: Acceptor::new(view.clone()), persist_request: None },
                version: Version { digest: Text(text.to_owned()).digest(), ..view.start }
                    .with_epoch(view.epoch),
                value: Arc::new(Text(text.to_owned())),
            };
            machine(member(number, 1), losses, stored)
        });
        Self { machines: machines.collect(), on_the_way: VecDeque::new(), losses }
    }

    /// A further machine with an empty disk.
    pub fn add_empty(&mut self, member: Member) -> usize {
        self.machines.push(machine(member, self.losses, DurableState::empty(&[])));
        self.machines.len() - 1
    }

    pub fn replica(&self, number: usize) -> &Replica<Text> {
        &self.machines[number - 1].replica
    }

    /// The process ends and starts again from its disk.
    pub fn restart(&mut self, number: usize) {
        let Machine { replica, disk } = &self.machines[number - 1];
        let again = machine(replica.own_member().clone(), self.losses, disk.clone());
        self.machines[number - 1] = again;
    }

    pub fn act(&mut self, number: usize, act: impl FnOnce(&mut Replica<Text>) -> Effects) {
        let outcome = act(&mut self.machines[number - 1].replica);
        self.perform(number - 1, outcome);
    }

    pub fn write(&mut self, number: usize, change: &str) -> Result<Version, WriteRefusal> {
        let written = self.machines[number - 1].replica.write(change.as_bytes().to_vec());
        let (version, outcome) = written?;
        self.perform(number - 1, outcome);
        Ok(version)
    }

    fn perform(&mut self, at: usize, outcome: Effects) {
        let machine = &mut self.machines[at];
        if outcome.write_record {
            machine.disk.record = machine.replica.record().clone();
        }
        if outcome.write_value {
            machine.disk.version = machine.replica.version();
            machine.disk.value = machine.replica.value().clone();
        }
        self.on_the_way.extend(outcome.sends.into_iter().map(|(to, message)| (at, to, message)));
    }

    /// Delivers all messages, and those that follow, which `passes` lets through; others are lost.
    pub fn settle(&mut self, passes: impl Fn(usize, usize, &Message) -> bool) {
        for _ in 0..10_000 {
            let Some((from, to, message)) = self.on_the_way.pop_front() else { return };
            let Some(to) = self.machines.iter().position(|it| it.replica.own_member().peer == to) else {
                continue;
            };
            if !passes(from + 1, to + 1, &message) {
                continue;
            }
            let sender = self.machines[from].replica.own_member().clone();
            let outcome = self.machines[to].replica.handle(&sender, message);
            self.perform(to, outcome);
        }
        panic!("messages never end");
    }

    pub fn settle_all(&mut self) {
        self.settle(|_, _, _| true);
    }

    pub fn text(&self, number: usize) -> &str {
        &self.replica(number).value().0
    }

    /// What a machine takes for committed.
    pub fn committed(&self, number: usize) -> Option<&str> {
        self.replica(number).committed_value().map(|text| text.0.as_str())
    }
}

fn machine(me: Member, losses: usize, stored: DurableState<Text>) -> Machine {
    let disk = stored.clone();
    Machine { replica: Replica::new(me, true, ViewRules::tolerating(losses), stored), disk }
}

/// Lets nothing pass to or from some machines.
pub fn without(out: &'static [usize]) -> impl Fn(usize, usize, &Message) -> bool {
    move |from, to, _| !out.contains(&from) && !out.contains(&to)
}
