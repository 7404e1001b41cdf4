//! A fleet of replicas whose messages are delivered immediately, except those that a test drops.

#![allow(dead_code)]

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;

use fennelgauge_coordination::{
    Acceptor, DurableState, Effects, Identity, Member, Message, Replica, Replicated, Version, View,
    ViewRules, VotingRecord, WriteRefusal,
};

/// A replicated value: a text that changes append to.
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

/// A replica and the state that it has written to its disk.
pub struct Machine {
    pub replica: Replica<Text>,
    pub disk: DurableState<Text>,
}

/// Machines, numbered from 1 on, and the messages between them.
pub struct Fleet {
    pub machines: Vec<Machine>,
    /// Messages not delivered yet: index of the sender, address of the receiver, message.
    pub in_flight: VecDeque<(usize, SocketAddr, Message)>,
    /// Number of tolerated failures.
    pub tolerated_failures: usize,
}

impl Fleet {
    /// Creates machines that are all in the same view, at the same version.
    pub fn in_view(count: u8, tolerated_failures: usize, view: &View, text: &str) -> Self {
        let machines = (1..=count).map(|number| {
            let stored = DurableState {
                record: VotingRecord { acceptor: Acceptor::new(view.clone()), persist_request: None },
                version: Version { digest: Text(text.to_owned()).digest(), ..view.start }
                    .with_epoch(view.epoch),
                value: Arc::new(Text(text.to_owned())),
            };
            machine(member(number, 1), tolerated_failures, stored)
        });
        Self { machines: machines.collect(), in_flight: VecDeque::new(), tolerated_failures }
    }

    /// Adds a machine with an empty disk; returns its index.
    pub fn add_empty(&mut self, member: Member) -> usize {
        self.machines.push(machine(member, self.tolerated_failures, DurableState::empty(&[])));
        self.machines.len() - 1
    }

    /// Returns the replica of a machine.
    pub fn replica(&self, number: usize) -> &Replica<Text> {
        &self.machines[number - 1].replica
    }

    /// Restarts a machine from its disk.
    pub fn restart(&mut self, number: usize) {
        let Machine { replica, disk } = &self.machines[number - 1];
        let restarted = machine(replica.own_member().clone(), self.tolerated_failures, disk.clone());
        self.machines[number - 1] = restarted;
    }

    /// Calls a replica and performs the effects.
    pub fn act(&mut self, number: usize, call: impl FnOnce(&mut Replica<Text>) -> Effects) {
        let effects = call(&mut self.machines[number - 1].replica);
        self.perform(number - 1, effects);
    }

    /// Makes a change on a machine.
    pub fn write(&mut self, number: usize, change: &str) -> Result<Version, WriteRefusal> {
        let written = self.machines[number - 1].replica.write(change.as_bytes().to_vec());
        let (version, effects) = written?;
        self.perform(number - 1, effects);
        Ok(version)
    }

    /// Performs the effects of a replica: writes its disk, then queues its messages.
    fn perform(&mut self, index: usize, effects: Effects) {
        let machine = &mut self.machines[index];
        if effects.write_record {
            machine.disk.record = machine.replica.record().clone();
        }
        if effects.write_value {
            machine.disk.version = machine.replica.version();
            machine.disk.value = machine.replica.value().clone();
        }
        self.in_flight.extend(effects.sends.into_iter().map(|(to, message)| (index, to, message)));
    }

    /// Delivers all messages, and those sent in response, until none is left. Messages that `passes` rejects are lost; its
    /// arguments are the numbers of sender and receiver, and the message.
    pub fn deliver(&mut self, passes: impl Fn(usize, usize, &Message) -> bool) {
        for _ in 0..10_000 {
            let Some((from, to, message)) = self.in_flight.pop_front() else { return };
            let Some(to) = self.machines.iter().position(|it| it.replica.own_member().peer == to) else {
                continue;
            };
            if !passes(from + 1, to + 1, &message) {
                continue;
            }
            let sender = self.machines[from].replica.own_member().clone();
            let effects = self.machines[to].replica.handle(&sender, message);
            self.perform(to, effects);
        }
        panic!("the machines never stop sending messages");
    }

    /// Delivers all messages, and those sent in response.
    pub fn deliver_all(&mut self) {
        self.deliver(|_, _, _| true);
    }

    /// Returns the present value of a machine.
    pub fn text(&self, number: usize) -> &str {
        &self.replica(number).value().0
    }

    /// Returns the value that a machine knows to be committed.
    pub fn committed(&self, number: usize) -> Option<&str> {
        self.replica(number).committed_value().map(|text| text.0.as_str())
    }
}

fn machine(me: Member, tolerated_failures: usize, stored: DurableState<Text>) -> Machine {
    let disk = stored.clone();
    Machine { replica: Replica::new(me, true, ViewRules::tolerating(tolerated_failures), stored), disk }
}

/// Returns a filter for [`Fleet::deliver`] that drops all messages to and from some machines.
pub fn without(excluded: &'static [usize]) -> impl Fn(usize, usize, &Message) -> bool {
    move |from, to, _| !excluded.contains(&from) && !excluded.contains(&to)
}
