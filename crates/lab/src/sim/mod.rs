//! The simulated play: the decision module of every gateway in this process, on a clock that jumps from one thing
//! to the next. The world around is the same as in a real play, but for the sockets.

mod node;
mod queue;

use crate::chance::{of, Use};
use crate::load::{again, looks};
use crate::record::{Answer, Event, Life, Played, RelayOver, Trace};
use crate::run::stage::Mail;
use crate::scenario::Scenario;
use crate::stand::counter::Told;
use crate::stand::server::{RelayNumber, Taken};
use crate::target::Party;
use crate::timeline::{moment, Act, OnGateway, START};
use crate::told;
use crate::world::{Reach, Upset, World};
use fennelgauge::host::{Arrival, JobId, Outcome, RelayEnd, ServerId};
use fennelgauge::time::{Moment, Span};
use node::{Deed, Node};
use queue::Queue;
use rand::RngExt;
use std::collections::BTreeMap;

/// What is told to a gateway; kept while its process is stopped.
#[derive(Clone, Debug)]
enum Word {
    Job(JobId),
    Wake(u64),
    Ended(RelayNumber, Outcome),
    Counted(u64, Option<f64>, Outcome),
    Listed,
    Left(JobId),
    /// A datagram of another gateway.
    Mail(u32, Vec<u8>),
    /// Its circle is to be seen to.
    Circle,
}

enum Happening {
    Step(usize),
    /// A client sends a try: the number of its first try, and how many it made before.
    Send(usize, u32),
    /// For the gateway's life of that number.
    Word(u32, u32, Word),
    Start(u32),
    Ready(u32, u32),
    Settle(u32, u32),
    Arrives(RelayNumber),
    Serve(ServerId),
    /// A relay's connection is closed, as the server notices.
    Closed(RelayNumber),
    Calls {
        gateway: u32,
        life: u32,
        call: u64,
    },
    CallOver {
        gateway: u32,
        life: u32,
        call: u64,
    },
    Client(JobId, Answer, Option<Span>),
    Leaves(JobId, bool),
}

/// A relay on its way, as the world sees it.
struct Relay {
    job: JobId,
    gateway: u32,
    life: u32,
    server: ServerId,
    server_life: u32,
    sent: Moment,
    /// When its connection was made.
    since: Moment,
    fresh: bool,
    /// Its gateway waits for it.
    awaited: bool,
    /// It is in the server's hands.
    there: bool,
}

struct Job {
    /// Into the load, and how many tries of it came before.
    index: usize,
    nth: u32,
    gateway: u32,
    abandon: Moment,
    /// Its answer is on the way: it comes though its gateway dies meanwhile.
    answered: bool,
    /// The client has its answer, or has left.
    over: bool,
}

struct Call {
    name: u64,
    amount: f64,
    keep: Span,
    /// Waited for until then.
    until: Moment,
    /// It reached the counter; its gateway has heard of it, or waits no longer.
    counted: bool,
    over: bool,
}

/// From the start of a process until it says that it is ready.
const STARTS: Span = Span::from_millis(50);
/// The gateway takes connections for half a second after it was told to stop; the front has heard by then.
const STOPPING: Span = Span::from_millis(500);

pub struct Sim {
    world: World,
    queue: Queue<Happening>,
    nodes: Vec<Node>,
    jobs: BTreeMap<JobId, Job>,
    relays: BTreeMap<RelayNumber, Relay>,
    calls: BTreeMap<u64, Call>,
    /// When each server is next looked at.
    serves: BTreeMap<ServerId, Moment>,
    /// What each gateway has sent to others.
    mail: BTreeMap<u32, Mail>,
    numbered: u64,
    now: Moment,
}

/// Plays a scenario; the same scenario gives the same trace.
pub fn play(scenario: &Scenario, progress: &mut dyn FnMut(f64)) -> Trace {
    let mut sim = Sim::new(scenario);
    let whole = scenario.length_s;
    while let Some((at, what)) = sim.queue.pop() {
        sim.now = at;
        progress((at.since(START).secs() / whole).min(1.0));
        if at > sim.end() {
            break;
        }
        sim.happens(what);
    }
    for (gateway, Mail { datagrams, bytes, counts }) in std::mem::take(&mut sim.mail) {
        sim.put(Event::Cost { gateway, datagrams, bytes, counts, cpu_ms: 0 });
    }
    sim.world.trace
}

impl Sim {
    fn new(scenario: &Scenario) -> Self {
        let world = World::new(scenario, Played::Simulated);
        let gateways = scenario.deployment.gateways;
        let mut sim = Self {
            nodes: (0..gateways).map(|number| Node::new(scenario, &world.timeline.layout, number)).collect(),
            world,
            queue: Queue::default(),
            jobs: BTreeMap::new(),
            relays: BTreeMap::new(),
            calls: BTreeMap::new(),
            serves: BTreeMap::new(),
            mail: BTreeMap::new(),
            numbered: 0,
            now: START,
        };
        for number in 0..gateways {
            // Not all at once; all are ready when jobs come.
            let before = of(scenario.seed, Use::Gateways, u64::from(number)).random::<f64>();
            let at = START - Span::from_millis(2_000) + Span::from_secs(before);
            sim.queue.put(at, Happening::Start(number));
        }
        for (index, step) in sim.world.timeline.steps.iter().enumerate() {
            sim.queue.put(step.at, Happening::Step(index));
        }
        for (index, job) in sim.world.load.tries.iter().enumerate() {
            sim.queue.put(job.at, Happening::Send(index, 0));
        }
        sim
    }

    /// The last try has been answered or lost well before.
    fn end(&self) -> Moment {
        let longest = self.world.scenario.band.iter().map(|band| band.abandon_ms).fold(0.0, f64::max);
        let tries = f64::from(self.world.scenario.load.retries) + 1.0;
        moment(self.world.scenario.length_s + 30.0 + tries * longest / 1e3)
    }

    fn number(&mut self) -> u64 {
        self.numbered += 1;
        self.numbered
    }

    fn put(&mut self, event: Event) {
        self.world.trace.put(self.now, event);
    }

    /// When something sent now arrives: after any cut, in its time.
    fn arrival(&mut self, from: Party, to: Party) -> Moment {
        let number = self.number();
        let links = &self.world.timeline.links;
        let open = links.opens(from, to, self.now);
        open + links.takes(from, to, open, number)
    }

    fn happens(&mut self, what: Happening) {
        match what {
            Happening::Step(index) => self.step(index),
            Happening::Send(index, nth) => self.send(index, nth),
            Happening::Word(gateway, life, word) => self.word(gateway, life, word),
            Happening::Start(gateway) => self.start(gateway),
            Happening::Ready(gateway, life) => {
                if self.nodes[gateway as usize].is(life) {
                    self.world.front.ready(gateway);
                    self.put(Event::Gateway { gateway, life: Life::Ready });
                }
            }
            Happening::Settle(gateway, life) => self.settle(gateway, life),
            Happening::Arrives(relay) => self.arrives(relay),
            Happening::Serve(server) => self.serve(server),
            Happening::Closed(relay) => self.closed(relay),
            Happening::Calls { gateway, life, call } => self.counts(gateway, life, call),
            Happening::CallOver { gateway, life, call } => {
                let Some(made) = self.calls.get_mut(&call) else { return };
                let (name, over) = (made.name, std::mem::replace(&mut made.over, true));
                if made.counted {
                    self.calls.remove(&call);
                }
                if !over {
                    self.word(gateway, life, Word::Counted(name, None, Outcome::TimedOut));
                }
            }
            Happening::Client(job, how, hold_off) => self.answered(job, how, hold_off),
            Happening::Leaves(job, early) => self.leaves(job, early),
        }
    }

    fn step(&mut self, index: usize) {
        let act = self.world.timeline.steps[index].act.clone();
        self.put(Event::Fault { what: format!("{act:?}") });
        if let Act::Gateway(gateway, what) = act {
            return self.hit(gateway, what);
        }
        let upset = self.world.apply(self.now, &act);
        if let Some(Upset::Ended(server)) = upset {
            let hit: Vec<RelayNumber> =
                self.relays.iter().filter(|(_, relay)| relay.server == server).map(|it| *it.0).collect();
            for relay in hit {
                self.relay_over(relay, RelayOver::Reset);
                self.back(relay, Outcome::Reset);
            }
            self.nodes.iter_mut().for_each(|node| node.forget(server));
        }
        if let Some(Upset::Silenced(server)) = upset {
            // What is in its hands is never heard of; idle connections look open until they are used.
            let hit = self.relays.values_mut().filter(|relay| relay.server == server);
            hit.for_each(|relay| relay.there = false);
        }
        if let Act::Server(place, _) = act {
            let server = self.world.places[place as usize];
            self.look_at(server);
        }
        self.look_at_agents();
    }

    /// Sees to it that each agent's next news is told when it comes.
    fn look_at_agents(&mut self) {
        for gateway in 0..self.nodes.len() as u32 {
            if let Some(at) = self.world.discovery.next(gateway) {
                let life = self.nodes[gateway as usize].life;
                self.queue.put(at.max(self.now), Happening::Word(gateway, life, Word::Listed));
            }
        }
    }

    fn hit(&mut self, gateway: u32, what: OnGateway) {
        let node = &mut self.nodes[gateway as usize];
        match what {
            OnGateway::Start => self.start(gateway),
            OnGateway::Kill => self.dies(gateway),
            OnGateway::Stop => {
                node.stopped = true;
                self.put(Event::Gateway { gateway, life: Life::Stopped });
            }
            OnGateway::Continue => {
                node.stopped = false;
                let (life, inbox) = (node.life, std::mem::take(&mut node.inbox));
                self.put(Event::Gateway { gateway, life: Life::Continued });
                inbox.into_iter().for_each(|word| self.word(gateway, life, word));
            }
            OnGateway::Restart(after) => {
                let life = node.life;
                node.ends = Some((self.now + STOPPING, after));
                self.put(Event::Gateway { gateway, life: Life::Terminating });
                self.world.front.leaves(gateway, self.now);
                self.queue.put(self.now + STOPPING, Happening::Settle(gateway, life));
            }
        }
    }

    fn start(&mut self, gateway: u32) {
        let version = self.world.discovery.hear(gateway, self.now);
        let entries = self.world.discovery.whole(version);
        let node = &mut self.nodes[gateway as usize];
        if node.is_up() {
            return;
        }
        node.start(self.now, self.world.scenario.seed, version, &entries);
        let life = node.life;
        for entry in entries {
            self.put(Event::Told { gateway, server: entry.server, listed: entry.health.into() });
        }
        self.queue.put(self.now + STARTS, Happening::Ready(gateway, life));
        if let Some(at) = self.world.discovery.next(gateway) {
            self.queue.put(at, Happening::Word(gateway, life, Word::Listed));
        }
        self.deeds(gateway);
    }

    /// Its process is gone: connections are reset, what it held is lost.
    fn dies(&mut self, gateway: u32) {
        let node = &mut self.nodes[gateway as usize];
        if !node.is_up() {
            return;
        }
        node.end();
        self.put(Event::Gateway { gateway, life: Life::Down });
        self.world.front.died(gateway, self.now);
        let lost = |job: &Job| job.gateway == gateway && !job.over && !job.answered;
        let held: Vec<JobId> = self.jobs.iter().filter(|(_, job)| lost(job)).map(|it| *it.0).collect();
        for job in held {
            self.queue.put(self.now, Happening::Client(job, Answer::Broken, None));
        }
        let hit: Vec<RelayNumber> =
            self.relays.iter().filter(|(_, relay)| relay.gateway == gateway).map(|it| *it.0).collect();
        for relay in hit {
            if let Some(relay) = self.relays.get_mut(&relay) {
                relay.awaited = false;
            }
            self.queue.put(self.now, Happening::Closed(relay));
        }
    }

    /// A gateway told to stop ends once it owes nothing, and is started again.
    fn settle(&mut self, gateway: u32, life: u32) {
        let node = &mut self.nodes[gateway as usize];
        let Some((earliest, after)) = node.ends.filter(|_| node.is(life)) else { return };
        if self.now < earliest || !node.open.is_empty() {
            return;
        }
        node.end();
        self.put(Event::Gateway { gateway, life: Life::Down });
        self.queue.put(self.now + after, Happening::Start(gateway));
    }

    /// A client sends a try to the gateway that the front deals it to.
    fn send(&mut self, index: usize, nth: u32) {
        let job = self.world.load.tries[index];
        let id = job.number + u64::from(nth);
        let customer = self.world.load.customers[job.customer].clone();
        let (abandon, dealt) = (self.now + job.patience, self.world.front.deal(&customer, id, self.now));
        self.put(Event::Sent {
            job: id,
            nth,
            customer: customer.id,
            plan: customer.plan,
            band: job.band,
            units: job.units,
            gateway: dealt.unwrap_or(u32::MAX),
            abandon: abandon.micros(),
        });
        let gateway = dealt.unwrap_or(u32::MAX);
        self.jobs.insert(id, Job { index, nth, gateway, abandon, answered: false, over: false });
        let Some(gateway) = dealt else {
            return self.answered(id, Answer::Unreached, None);
        };
        if !self.nodes[gateway as usize].is_up() {
            return self.answered(id, Answer::Unreached, None);
        }
        let life = self.nodes[gateway as usize].life;
        let at = self.arrival(Party::Front, Party::Gateway(gateway));
        self.queue.put(at, Happening::Word(gateway, life, Word::Job(id)));
        match job.leaves {
            Some(after) => self.queue.put(self.now + after, Happening::Leaves(id, true)),
            None => {
                let looks = looks(&self.world.scenario);
                self.queue.put(abandon + looks, Happening::Leaves(id, false));
            }
        }
    }

    /// Tells a gateway something, if it still lives that life; a stopped one hears it when it goes on.
    fn word(&mut self, gateway: u32, life: u32, word: Word) {
        let node = &mut self.nodes[gateway as usize];
        if !node.is(life) {
            return;
        }
        if node.stopped {
            return node.inbox.push(word);
        }
        match word {
            Word::Job(id) => self.job(gateway, id),
            Word::Wake(mark) => self.nodes[gateway as usize].timer_fired(self.now, mark),
            Word::Left(id) => {
                if self.nodes[gateway as usize].close(id) {
                    self.nodes[gateway as usize].left(self.now, id);
                }
            }
            Word::Counted(name, total, outcome) => {
                self.nodes[gateway as usize].counted(self.now, name, total, outcome)
            }
            Word::Ended(relay, outcome) => self.ended(relay, outcome),
            Word::Listed => self.listed(gateway),
            Word::Mail(from, bytes) => self.nodes[gateway as usize].mail(self.now, from, &bytes),
            Word::Circle => {}
        }
        self.deeds(gateway);
    }

    fn job(&mut self, gateway: u32, id: JobId) {
        let Some(job) = self.jobs.get(&id).filter(|job| !job.over) else { return };
        let entry = self.world.load.tries[job.index];
        let customer = &self.world.load.customers[entry.customer];
        let arrival = Arrival {
            job: id,
            customer: customer.id,
            class: entry.band,
            plan: customer.plan,
            units: f64::from(entry.units),
            first_gateway: customer.first,
            gateway_set_size: customer.set,
            abandon_at: job.abandon,
        };
        let node = &mut self.nodes[gateway as usize];
        node.open.insert(id);
        node.arrived(self.now, arrival);
    }

    fn listed(&mut self, gateway: u32) {
        let version = self.world.discovery.hear(gateway, self.now);
        if let Some(at) = self.world.discovery.next(gateway) {
            let life = self.nodes[gateway as usize].life;
            self.queue.put(at, Happening::Word(gateway, life, Word::Listed));
        }
        let node = &mut self.nodes[gateway as usize];
        if self.world.discovery.is_silent(gateway) || node.version >= version {
            return;
        }
        let entries = self.world.discovery.between(node.version, version);
        node.version = version;
        node.told(self.now, &entries);
        for entry in entries {
            self.put(Event::Told { gateway, server: entry.server, listed: entry.health.into() });
        }
    }

    /// Carries out what a gateway has asked for, until it asks for nothing more.
    fn deeds(&mut self, gateway: u32) {
        while let Some(deed) = self.nodes[gateway as usize].deed() {
            let life = self.nodes[gateway as usize].life;
            match deed {
                Deed::Relay(job, server, patience) => self.relay(gateway, job, server, patience),
                Deed::Withdraw(job, nth) => {
                    let out = self.nodes[gateway as usize].relays.get(&(job, nth)).copied();
                    if let Some(relay) = out.filter(|relay| self.relays.contains_key(relay)) {
                        self.ended(relay, Outcome::Cancelled);
                    }
                }
                Deed::Answer(job, how, hold_off) => self.answer(gateway, job, how, hold_off),
                Deed::Wake(at, mark) => self.queue.put(at, Happening::Word(gateway, life, Word::Wake(mark))),
                Deed::Add(name, amount, keep) => {
                    let (call, within) = (self.number(), self.count_within());
                    let until = self.now + within;
                    let made = Call { name, amount, keep, until, counted: false, over: false };
                    self.calls.insert(call, made);
                    let at = self.arrival(Party::Gateway(gateway), Party::Counter);
                    self.queue.put(at, Happening::Calls { gateway, life, call });
                    self.queue.put(self.now + within, Happening::CallOver { gateway, life, call });
                }
            }
        }
        if self.circle(gateway) {
            return self.deeds(gateway);
        }
        self.settle(gateway, self.nodes[gateway as usize].life);
    }

    /// Sees to a gateway's place among the others; true where it wants something done because of that.
    fn circle(&mut self, gateway: u32) -> bool {
        let Some(terms) = self.world.scenario.membership.clone() else { return false };
        let now = self.now;
        let node = &mut self.nodes[gateway as usize];
        if node.stopped {
            return false;
        }
        let (life, Some(round)) = (node.life, node.circle(now)) else { return false };
        // Each look asks for the next one, but one that is set already is enough.
        if node.looks <= now || round.next < node.looks {
            node.looks = round.next.max(now + Span::from_micros(1));
            self.queue.put(node.looks, Happening::Word(gateway, life, Word::Circle));
        }
        for change in round.changes {
            let (member, state) = (u32::from(change.index), change.to.into());
            self.put(Event::Member { gateway, member, state });
        }
        for (to, bytes) in round.sends {
            let number = self.number();
            self.mail.entry(gateway).or_default().add(&bytes);
            let (from, at) = (Party::Gateway(gateway), Party::Gateway(to));
            let comes = self.world.timeline.links.datagram(from, at, now, number, &terms);
            for at in comes {
                let life = self.nodes[to as usize].life;
                self.queue.put(at, Happening::Word(to, life, Word::Mail(gateway, bytes.clone())));
            }
        }
        self.nodes[gateway as usize].has_deeds()
    }

    fn count_within(&self) -> Span {
        Span::from_secs(self.world.scenario.counter.as_ref().map_or(100.0, |it| it.timeout_ms) / 1e3)
    }

    fn relay(&mut self, gateway: u32, job: JobId, server: ServerId, patience: Span) {
        let idle = Span::from_secs(self.world.scenario.servers.idle_s * 0.75);
        let (now, number) = (self.now, self.number());
        let life = self.nodes[gateway as usize].life;
        let reused = self.nodes[gateway as usize].idle_link(server, now, idle);
        let (from, to) = (Party::Gateway(gateway), self.world.party(server));
        let known = self.world.servers.get(&server);
        let (reach, server_life) = known.map_or((Reach::Down, 0), |it| (it.reach, it.life));
        let relay = Relay {
            job,
            gateway,
            life,
            server,
            server_life,
            sent: now,
            since: reused.unwrap_or(now),
            fresh: reused.is_none(),
            awaited: true,
            there: false,
        };
        self.nodes[gateway as usize].relayed(job, number);
        let since = relay.since;
        self.relays.insert(number, relay);
        self.queue
            .put(now + patience, Happening::Word(gateway, life, Word::Ended(number, Outcome::TimedOut)));
        if reused.is_some() {
            // A connection that a fault has caught carries nothing; patience ends it.
            let caught = self.world.timeline.links.caught(from, to, since, now);
            if reach != Reach::Silent && !caught {
                let at = self.arrival(from, to);
                self.queue.put(at, Happening::Arrives(number));
            }
            return;
        }
        let links = &self.world.timeline.links;
        let comes_up = links.connects(from, to, now);
        let there = links.takes(from, to, now, number) + links.takes(to, from, now, number + (1 << 40));
        let within = Span::from_micros(told::CONNECT_WITHIN_US);
        if comes_up > now + within || reach == Reach::Silent {
            let word = Word::Ended(number, Outcome::ConnectFailed);
            self.queue.put(now + within, Happening::Word(gateway, life, word));
        } else if reach == Reach::Down {
            let word = Word::Ended(number, Outcome::ConnectFailed);
            self.queue.put(comes_up + there, Happening::Word(gateway, life, word));
        } else {
            let on_the_way = links.takes(from, to, now, number + (1 << 41));
            self.queue.put(comes_up + there + on_the_way, Happening::Arrives(number));
        }
    }

    /// A relay's last byte has come to its server.
    fn arrives(&mut self, number: RelayNumber) {
        let Some(relay) = self.relays.get(&number) else { return };
        let (job, gateway, server) = (relay.job, relay.gateway, relay.server);
        let (from, to) = (Party::Gateway(gateway), self.world.party(server));
        let (fresh, lives) = (relay.fresh, relay.server_life);
        let entry = self.jobs.get(&job).map(|job| self.world.load.tries[job.index]);
        let way = self.world.timeline.links.way(from, to, self.now);
        let draws = [self.world.draw(number), self.world.draw(number | 1 << 48)];
        let handshake = Span::from_secs(self.world.scenario.servers.handshake_ms / 1e3);
        let Some(known) = self.world.servers.get_mut(&server).filter(|known| known.life == lives) else {
            return self.back(number, Outcome::Reset);
        };
        match known.reach {
            Reach::Silent => return,
            Reach::Down => {
                return self.back(number, if fresh { Outcome::ConnectFailed } else { Outcome::Reset })
            }
            Reach::Up => {}
        }
        let refused = fresh && !known.model.connects();
        let work = entry.map_or(Span::ZERO, |it| it.work);
        let cost = if fresh { work + handshake } else { work };
        let done = known.model.advance(self.now);
        let taken =
            if refused { Taken::TurnedAway } else { known.model.arrives(self.now, number, cost, draws[0]) };
        if refused {
            known.model.disconnects();
        }
        let began = relay.sent.micros();
        let event = Event::Relay { job, server, gateway, began, work: cost.secs(), fresh };
        self.put(event);
        self.done(server, done);
        if draws[1] < way.reset {
            self.relay_over(number, RelayOver::Reset);
            if let Some(known) = self.world.servers.get_mut(&server) {
                known.model.leaves(number);
            }
            self.look_at(server);
            return self.back(number, Outcome::Reset);
        }
        match taken {
            Taken::In => {
                if let Some(relay) = self.relays.get_mut(&number) {
                    relay.there = true;
                }
            }
            Taken::TurnedAway => {
                self.relay_over(number, RelayOver::TurnedAway);
                self.back(number, Outcome::Full);
            }
            Taken::Failed => {
                self.relay_over(number, RelayOver::Failed);
                self.back(number, Outcome::Error);
            }
        }
        self.look_at(server);
    }

    fn relay_over(&mut self, number: RelayNumber, how: RelayOver) {
        if let Some(relay) = self.relays.get(&number) {
            let (job, server) = (relay.job, relay.server);
            self.put(Event::RelayOver { job, server, how });
        }
    }

    /// Word of how a relay ended goes back to its gateway.
    fn back(&mut self, number: RelayNumber, outcome: Outcome) {
        let Some(relay) = self.relays.get(&number) else { return };
        let (gateway, life) = (relay.gateway, relay.life);
        let (from, to) = (self.world.party(relay.server), Party::Gateway(gateway));
        let caught = self.world.timeline.links.caught(to, from, relay.since, self.now);
        if caught {
            return;
        }
        let at = self.arrival(from, to);
        self.queue.put(at, Happening::Word(gateway, life, Word::Ended(number, outcome)));
    }

    /// Sees to it that a server's next end of work is noticed when it comes, once.
    fn look_at(&mut self, server: ServerId) {
        let next = self.world.servers.get(&server).and_then(|known| known.model.next());
        let Some(at) = next.map(|at| at.max(self.now)) else { return };
        if self.serves.get(&server) != Some(&at) {
            self.serves.insert(server, at);
            self.queue.put(at, Happening::Serve(server));
        }
    }

    fn serve(&mut self, server: ServerId) {
        if self.serves.get(&server) != Some(&self.now) {
            return;
        }
        self.serves.remove(&server);
        let Some(known) = self.world.servers.get_mut(&server) else { return };
        if known.reach != Reach::Down {
            let done = known.model.advance(self.now);
            self.done(server, done);
            self.look_at(server);
        }
    }

    fn done(&mut self, server: ServerId, done: Vec<(RelayNumber, Moment)>) {
        for (number, _) in done {
            let Some(relay) = self.relays.get_mut(&number) else { continue };
            let (job, there) = (relay.job, relay.there);
            relay.there = false;
            self.world.effect(self.now, job, server);
            if there {
                self.relay_over(number, RelayOver::Answered);
                self.back(number, Outcome::Succeeded);
            }
            if self.relays.get(&number).is_some_and(|relay| !relay.awaited) {
                self.relays.remove(&number);
            }
        }
    }

    /// A relay has ended for its gateway, from whatever cause comes first.
    fn ended(&mut self, number: RelayNumber, outcome: Outcome) {
        let Some(relay) = self.relays.get_mut(&number) else { return };
        if !std::mem::replace(&mut relay.awaited, false) {
            return;
        }
        let (gateway, job, server, sent, since) =
            (relay.gateway, relay.job, relay.server, relay.sent, relay.since);
        let there = relay.there;
        let node = &mut self.nodes[gateway as usize];
        match outcome {
            Outcome::Succeeded | Outcome::Error | Outcome::Full => {
                self.relays.remove(&number);
                node.rest_link(server, since, self.now);
            }
            _ if there => {
                let at = self.arrival(Party::Gateway(gateway), self.world.party(server));
                self.queue.put(at, Happening::Closed(number));
            }
            _ => {
                if let Some(known) = self.world.servers.get_mut(&server) {
                    known.model.disconnects();
                }
                self.relays.remove(&number);
            }
        }
        let settled = !self.nodes[gateway as usize].open.contains(&job);
        let end = RelayEnd { job, server, outcome, duration: self.now.since(sent), job_finished: settled };
        if outcome == Outcome::Succeeded && !settled {
            self.nodes[gateway as usize].close(job);
            self.sends_back(gateway, job, Answer::Satisfied, None);
        }
        self.nodes[gateway as usize].relay_ended(self.now, end);
        self.deeds(gateway);
    }

    fn closed(&mut self, number: RelayNumber) {
        let Some(relay) = self.relays.get_mut(&number) else { return };
        let (server, there) = (relay.server, std::mem::replace(&mut relay.there, false));
        if there {
            self.relay_over(number, RelayOver::Closed);
        }
        if let Some(known) = self.world.servers.get_mut(&server) {
            let done = known.model.advance(self.now);
            known.model.leaves(number);
            known.model.disconnects();
            self.done(server, done);
        }
        self.look_at(server);
    }

    fn answer(&mut self, gateway: u32, job: JobId, how: Answer, hold_off: Option<Span>) {
        if self.nodes[gateway as usize].close(job) {
            self.sends_back(gateway, job, how, hold_off);
        }
    }

    fn sends_back(&mut self, gateway: u32, job: JobId, how: Answer, hold_off: Option<Span>) {
        if let Some(job) = self.jobs.get_mut(&job) {
            job.answered = true;
        }
        let at = self.arrival(Party::Gateway(gateway), Party::Front);
        self.queue.put(at, Happening::Client(job, how, hold_off));
    }

    /// A call reaches the counter.
    fn counts(&mut self, gateway: u32, life: u32, number: u64) {
        self.put(Event::Called { gateway });
        let Some(call) = self.calls.get_mut(&number) else { return };
        // One given up meanwhile is counted all the same.
        let (name, amount, keep, over) = (call.name, call.amount, call.keep, call.over);
        call.counted = true;
        if over {
            self.calls.remove(&number);
        }
        let Some(counter) = &mut self.world.counter else { return };
        let told = counter.call(self.now, gateway, name, amount, keep);
        let (total, outcome, at) = match told {
            Told::Nothing => return,
            Told::Busy => (None, Outcome::Full, self.now),
            Told::Total(total, at) => (Some(total), Outcome::Succeeded, at),
        };
        let (from, to) = (Party::Counter, Party::Gateway(gateway));
        let id = self.number();
        let links = &self.world.timeline.links;
        let open = links.opens(from, to, at);
        let arrives = open + links.takes(from, to, open, id);
        let in_time = self.calls.get_mut(&number).filter(|call| !call.over && arrives < call.until);
        if let Some(call) = in_time {
            call.over = true;
            self.queue.put(arrives, Happening::Word(gateway, life, Word::Counted(name, total, outcome)));
        }
    }

    /// An answer has come to a client, or its try has failed for good.
    fn answered(&mut self, id: JobId, how: Answer, hold_off: Option<Span>) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        if std::mem::replace(&mut job.over, true) {
            // A second answer; the judge must see it.
            if how != Answer::Broken {
                self.put(Event::Answered { job: id, how });
            }
            return;
        }
        let (index, nth, abandon) = (job.index, job.nth, job.abandon);
        self.put(Event::Answered { job: id, how });
        let dismissed = matches!(how, Answer::Dismissed | Answer::Unreached);
        if how == Answer::Satisfied || self.now >= abandon {
            return;
        }
        let band = self.world.load.tries[index].band;
        if let Some(wait) = again(&self.world.scenario, band, dismissed, nth + 1, hold_off) {
            self.queue.put(self.now + wait, Happening::Send(index, nth + 1));
        }
    }

    fn leaves(&mut self, id: JobId, early: bool) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        if std::mem::replace(&mut job.over, true) {
            return;
        }
        let gateway = job.gateway;
        self.put(Event::Left { job: id, early });
        let life = self.nodes[gateway as usize].life;
        let at = self.arrival(Party::Front, Party::Gateway(gateway));
        self.queue.put(at, Happening::Word(gateway, life, Word::Left(id)));
    }
}
