//! Every order of events at small sizes, over the same state machines: three voters and a learner, two writes, a disk lost, a
//! process restarted, messages lost and in any order. What is not delivered within the depth counts as lost.

use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;
use std::sync::Arc;

use fennelgauge_coordination::{
    Acceptor, DurableState, Effects, Identity, Member, Message, PlantedBug, Replica, Replicated, Version,
    View, ViewRules, VotingRecord,
};
use stateright::{Checker, Model, Property};

use crate::network::Network;

/// Machines: three voters and one that learns.
const MACHINES: usize = 4;
const VOTERS: usize = 3;
const MOST_WRITES: u8 = 2;
const MOST_PROPOSALS: u8 = 2;
const MOST_RESTARTS: u8 = 1;
const MOST_DISKS_LOST: u8 = 1;

/// The names of the writes that were applied, in order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Letters(Vec<u8>);

impl Replicated for Letters {
    fn apply(&self, change: &[u8]) -> Option<Self> {
        Some(Self([self.0.as_slice(), change].concat()))
    }

    fn encode(&self) -> Vec<u8> {
        self.0.clone()
    }

    fn decode(bytes: &[u8]) -> Option<Self> {
        Some(Self(bytes.to_vec()))
    }

    fn digest(&self) -> u128 {
        self.0.iter().fold(1, |digest, letter| digest * 31 + u128::from(*letter))
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Machine {
    replica: Replica<Letters>,
    record: VotingRecord,
    version: Version,
    value: Arc<Letters>,
}

/// All machines, what is on the way, and what was seen.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct World {
    machines: Vec<Arc<Machine>>,
    on_the_way: BTreeSet<Sent>,
    writes: u8,
    proposals: u8,
    restarts: u8,
    disks_lost: u8,
    /// Digests of what was committed, by epoch and place.
    committed: BTreeMap<(u64, u64), u128>,
    views: BTreeMap<u64, (Vec<Identity>, Vec<Identity>)>,
    broken: Option<&'static str>,
    /// Events since the beginning.
    events: u8,
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct Sent {
    from: usize,
    to: SocketAddr,
    message: Arc<Message>,
    /// A hash of the message: orders messages in the set.
    rank: u64,
}

impl Hash for Sent {
    fn hash<H: Hasher>(&self, state: &mut H) {
        (self.from, self.to, self.rank).hash(state);
    }
}

impl PartialOrd for Sent {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Sent {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.from, self.to, self.rank).cmp(&(other.from, other.to, other.rank))
    }
}

/// How fine events are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Grain {
    /// Each message is delivered by itself, in any order.
    Message,
    /// Machines that reach each other bring what they have begun to its end; which of them do changes from event to event.
    Partition,
}

/// One event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    Deliver(usize),
    /// All messages among these machines, a bit for each, and those that follow.
    Settle(u8),
    Write,
    Propose {
        proposer: usize,
        without: usize,
        instead: Option<usize>,
    },
    GoOn(usize),
    Restart(usize),
    LoseDisk(usize),
    Follow,
}

/// The machines from different beginnings, with or without a mistake.
pub struct Exhaustive {
    pub planted: Option<PlantedBug>,
    pub grain: Grain,
    /// Events on a path at most.
    pub events: u8,
}

/// What a search found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Searched {
    pub states: usize,
    pub depth: usize,
    /// The first broken rule.
    pub broken: Option<&'static str>,
}

impl Exhaustive {
    /// Searches all orders of so many events.
    pub fn search(self, threads: usize) -> Searched {
        let checker = self.checker().threads(threads).spawn_bfs().join();
        let broken = checker.discovery("no rule is broken").and_then(|path| path.last_state().broken);
        Searched { states: checker.unique_state_count(), depth: checker.max_depth(), broken }
    }

    fn machine(&self, number: usize, disk: u64, stored: DurableState<Letters>) -> Arc<Machine> {
        let DurableState { record, version, value } = stored.clone();
        let mut replica = Replica::new(member(number, disk), true, ViewRules::tolerating(1), stored);
        if let Some(bug) = self.planted {
            replica.plant(bug);
        }
        Arc::new(Machine { replica, record, version, value })
    }

    /// The first view, settled, with this chain; the last machine has an empty disk and knows the view.
    fn begun(&self, chain: &[usize]) -> World {
        let view = View {
            epoch: 1,
            voters: (0..VOTERS).map(|number| member(number, 1)).collect(),
            chain: chain.iter().map(|number| member(*number, 1)).collect(),
            start: Version::initial::<Letters>(),
        };
        let in_view = DurableState {
            record: VotingRecord { acceptor: Acceptor::new(view.clone()), persist_request: None },
            version: view.start.with_epoch(1),
            value: Arc::default(),
        };
        let mut machines: Vec<Arc<Machine>> =
            (0..VOTERS).map(|number| self.machine(number, 1, in_view.clone())).collect();
        machines.push(self.machine(VOTERS, 1, DurableState::empty(&[])));
        let mut world = World {
            machines,
            on_the_way: BTreeSet::new(),
            writes: 0,
            proposals: 0,
            restarts: 0,
            disks_lost: 0,
            committed: BTreeMap::new(),
            views: BTreeMap::new(),
            broken: None,
            events: 0,
        };
        let install = Message::InstallView { view };
        world.act(MACHINES - 1, |learner| learner.handle(&member(0, 1), install));
        world.act(chain[0], |head| head.resend_uncommitted());
        world.deliver_all(|_| true);
        world
    }

    /// An attempt to change the view that has come to the question that `held_back` matches.
    fn amid_a_change(&self, held_back: impl Fn(&Message) -> bool) -> World {
        let mut world = self.begun(&[0, 1, 2]);
        world.proposals = 1;
        world.propose(0, 2, None);
        world.deliver_all(|sent| !held_back(&sent.message));
        world
    }
}

impl Exhaustive {
    /// Two attempts at once: both proposers have a majority's promises and have just asked to accept.
    fn duel(&self) -> World {
        let is_accept = |sent: &Sent| matches!(*sent.message, Message::Accept { .. });
        let mut world = self.amid_a_change(|message| matches!(message, Message::Accept { .. }));
        world.proposals = 2;
        world.propose(2, 0, None);
        world.deliver_all(|sent| sent.from != 0 && Network::machine(sent.to) != 0 && !is_accept(sent));
        world
    }
}

impl Model for Exhaustive {
    type State = World;
    type Action = Event;

    fn init_states(&self) -> Vec<World> {
        let mut in_flight = self.begun(&[0, 1, 2]);
        in_flight.write();
        let mut behind = self.begun(&[0, 1]);
        behind.write();
        behind.deliver_all(|_| true);
        vec![
            self.begun(&[0, 1, 2]),
            in_flight,
            behind,
            self.amid_a_change(|message| matches!(message, Message::Persist { .. })),
            self.amid_a_change(|message| matches!(message, Message::Accept { .. })),
            self.amid_a_change(|message| matches!(message, Message::Accepted { .. })),
            self.amid_a_change(|message| matches!(message, Message::InstallView { .. })),
            self.duel(),
        ]
    }

    fn actions(&self, world: &World, actions: &mut Vec<Event>) {
        if world.broken.is_some() || world.events >= self.events {
            return;
        }
        match self.grain {
            Grain::Message => actions.extend((0..world.on_the_way.len()).map(Event::Deliver)),
            Grain::Partition => actions.extend(partitions().map(Event::Settle)),
        }
        if world.writes < MOST_WRITES && world.head().is_some() {
            actions.push(Event::Write);
        }
        if world.proposals < MOST_PROPOSALS {
            for proposer in 0..VOTERS {
                for without in (0..VOTERS).filter(|without| *without != proposer) {
                    actions.push(Event::Propose { proposer, without, instead: None });
                    actions.push(Event::Propose { proposer, without, instead: Some(MACHINES - 1) });
                }
            }
        }
        actions.extend((0..VOTERS).map(Event::GoOn));
        if world.restarts < MOST_RESTARTS {
            actions.extend((0..MACHINES).map(Event::Restart));
        }
        if world.disks_lost < MOST_DISKS_LOST {
            actions.extend((0..VOTERS).map(Event::LoseDisk));
        }
        actions.push(Event::Follow);
    }

    fn next_state(&self, before: &World, event: Event) -> Option<World> {
        let mut world = before.clone();
        match event {
            Event::Deliver(at) => {
                let sent = world.on_the_way.iter().nth(at)?.clone();
                world.on_the_way.remove(&sent);
                world.deliver(sent);
            }
            Event::Settle(reached) => {
                let within = |number: usize| number < MACHINES && reached & (1 << number) != 0;
                world.deliver_all(|sent| within(sent.from) && within(Network::machine(sent.to)));
            }
            Event::Write => world.write(),
            Event::Propose { proposer, without, instead } => {
                world.proposals += 1;
                world.propose(proposer, without, instead);
            }
            Event::GoOn(machine) => world.act(machine, |replica| replica.proceed_with_persisted()),
            Event::Restart(machine) => {
                world.restarts += 1;
                let Machine { replica, record, version, value } = world.machines[machine].as_ref();
                let stored = DurableState { record: record.clone(), version: *version, value: value.clone() };
                let disk = replica.own_member().identity.disk;
                world.machines[machine] = self.machine(machine, disk, stored);
            }
            Event::LoseDisk(machine) => {
                world.disks_lost += 1;
                world.machines[machine] = self.machine(machine, 2, DurableState::empty(&[]));
            }
            Event::Follow => {
                let head = world.head().unwrap_or(0);
                world.act(MACHINES - 1, |learner| learner.request_catch_up(Network::address(head)));
            }
        }
        let has_changed = world != *before;
        world.events += 1;
        has_changed.then_some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![Property::always("no rule is broken", |_, world: &World| world.broken.is_none())]
    }
}

/// All sets of two machines or more.
fn partitions() -> impl Iterator<Item = u8> {
    (0..1_u8 << MACHINES).filter(|set| set.count_ones() >= 2)
}

impl World {
    fn head(&self) -> Option<usize> {
        let heads = (0..MACHINES).filter(|number| self.machines[*number].replica.check_writable().is_ok());
        heads.max_by_key(|number| self.machines[*number].replica.view().epoch)
    }

    fn act(&mut self, number: usize, act: impl FnOnce(&mut Replica<Letters>) -> Effects) {
        let outcome = act(&mut Arc::make_mut(&mut self.machines[number]).replica);
        self.perform(number, outcome);
    }

    fn write(&mut self) {
        let Some(head) = self.head() else { return };
        self.writes += 1;
        let letter = vec![b'a' + self.writes];
        if let Ok((_, outcome)) = Arc::make_mut(&mut self.machines[head]).replica.write(letter) {
            self.perform(head, outcome);
        }
    }

    /// Wishes for the view without a machine in the chain, or with another voter in its place.
    fn propose(&mut self, proposer: usize, without: usize, instead: Option<usize>) {
        let replica = &self.machines[proposer].replica;
        let view = replica.view().clone();
        if view.epoch == 0 || !replica.is_voter() {
            return;
        }
        let lost = member(without, 1);
        let stays = |member: &&Member| member.identity != lost.identity;
        let mut voters = view.voters.clone();
        let mut chain: Vec<Member> = view.voters.iter().filter(stays).cloned().collect();
        if let Some(instead) = instead {
            let new = self.machines[instead].replica.own_member().clone();
            if voters.contains(&new) {
                return;
            }
            voters.retain(|voter| voter.identity != lost.identity);
            voters.push(new.clone());
            chain.push(new);
        }
        let wished = View { epoch: view.epoch + 1, voters, chain, start: Version::default() };
        self.act(proposer, |replica| replica.propose(wished));
    }

    fn perform(&mut self, number: usize, outcome: Effects) {
        let machine = Arc::make_mut(&mut self.machines[number]);
        if outcome.write_record {
            machine.record = machine.replica.record().clone();
        }
        if outcome.write_value {
            machine.version = machine.replica.version();
            machine.value = machine.replica.value().clone();
        }
        for (to, message) in outcome.sends {
            let mut hasher = DefaultHasher::new();
            message.hash(&mut hasher);
            let (rank, message) = (hasher.finish(), Arc::new(message));
            self.on_the_way.insert(Sent { from: number, to, message, rank });
        }
        self.look_at(number);
    }

    fn deliver(&mut self, sent: Sent) {
        let to = Network::machine(sent.to);
        let from = self.machines[sent.from].replica.own_member().clone();
        if to < MACHINES {
            self.act(to, |replica| replica.handle(&from, sent.message.as_ref().clone()));
        }
    }

    /// Delivers all that passes; the rest stays on its way.
    fn deliver_all(&mut self, passes: impl Fn(&Sent) -> bool) {
        while let Some(sent) = self.on_the_way.iter().find(|sent| passes(sent)).cloned() {
            self.on_the_way.remove(&sent);
            self.deliver(sent);
        }
    }

    fn look_at(&mut self, number: usize) {
        let replica = &self.machines[number].replica;
        let view = replica.view();
        if view.epoch > 0 {
            let names = |members: &[Member]| members.iter().map(|it| it.identity.clone()).collect::<Vec<_>>();
            let seen = (names(&view.voters), names(&view.chain));
            if *self.views.entry(view.epoch).or_insert_with(|| seen.clone()) != seen {
                self.broken = Some("two views of one epoch");
            }
        }
        if replica.committed_value().is_none() {
            return;
        }
        let version = replica.version();
        let at = (version.epoch, version.sequence);
        let known = *self.committed.entry(at).or_insert(version.digest);
        let same_place = self.committed.iter().filter(|((_, place), _)| *place == version.sequence);
        if known != version.digest || same_place.into_iter().any(|(_, digest)| *digest != version.digest) {
            self.broken = Some("two contents at one place");
        }
        let later_before = self.committed.keys().any(|(epoch, place)| {
            (*epoch < version.epoch && *place > version.sequence)
                || (*epoch > version.epoch && *place < version.sequence)
        });
        if later_before {
            self.broken = Some("a later view has lost what an earlier one committed");
        }
    }
}

fn member(number: usize, disk: u64) -> Member {
    Member {
        identity: Identity { node: format!("machine-{number}"), disk },
        peer: Network::address(number),
        zone: String::new(),
        region: String::new(),
    }
}
