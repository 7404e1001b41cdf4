//! The stand-ins together: which servers there are, what discovery, the counter and the front know, and what the
//! scenario's faults do to them. The simulated and the real play hold one each and drive it by their clocks.

use crate::chance::{of, stream, Use};
use crate::front::Front;
use crate::load::Load;
use crate::record::{Event, Played, Trace};
use crate::scenario::{Group, Repeat, Scenario};
use crate::stand::counter::Counter;
use crate::stand::discovery::Discovery;
use crate::stand::server::{Receipts, Server};
use crate::target::Party;
use crate::timeline::{Act, OnServer, Timeline, START};
use fennelgauge::host::{Health, RosterEntry, ServerId};
use fennelgauge::time::{Moment, Span};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;

/// How a server can be reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reach {
    Up,
    /// Its process is gone: connections are reset and refused.
    Down,
    /// Its machine says nothing.
    Silent,
}

pub struct Known {
    pub place: u32,
    pub model: Server,
    pub reach: Reach,
    pub entry: RosterEntry,
    pub rating: f64,
    speed: f64,
    /// How often it has started: what belongs to an earlier life is void.
    pub life: u32,
}

pub struct World {
    pub scenario: Scenario,
    pub timeline: Timeline,
    pub load: Load,
    pub servers: BTreeMap<ServerId, Known>,
    /// Which server stands in a place.
    pub places: Vec<ServerId>,
    pub discovery: Discovery,
    pub counter: Option<Counter>,
    pub front: Front,
    pub receipts: Receipts,
    pub trace: Trace,
    chance: ChaCha8Rng,
    next_server: ServerId,
}

/// What the driver has to do with the connections of a server after an act.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Upset {
    /// The server's connections end; its relays too.
    Ended(ServerId),
    /// They stay, and say nothing any more.
    Silenced(ServerId),
}

impl World {
    pub fn new(scenario: &Scenario, played: Played) -> Self {
        let timeline = Timeline::new(scenario);
        let mut world = Self {
            scenario: scenario.clone(),
            load: Load::new(scenario, &timeline.bursts),
            servers: BTreeMap::new(),
            places: Vec::new(),
            discovery: Discovery::new(scenario, Vec::new()),
            counter: scenario.counter.as_ref().map(Counter::new),
            front: Front::new(scenario),
            receipts: Receipts::default(),
            trace: Trace::new(played, scenario),
            chance: stream(scenario.seed, Use::World),
            next_server: 1,
            timeline,
        };
        let before = START - Span::from_millis(10_000);
        for place in 0..scenario.deployment.servers {
            let server = world.build(place, None, before);
            world.places.push(server);
        }
        let first = world.servers.values().map(|server| server.entry).collect();
        world.discovery = Discovery::new(scenario, first);
        world
    }

    fn build(&mut self, place: u32, started: Option<Moment>, now: Moment) -> ServerId {
        let figures = &self.scenario.servers;
        let [least, most] = figures.speed;
        let server = self.next_server;
        self.next_server += 1;
        let ratings = &figures.ratings;
        let rating = ratings.get(place as usize % ratings.len().max(1)).copied().unwrap_or(1.0);
        let drawn = of(self.scenario.seed, Use::World, u64::from(server) | 1 << 50).random::<f64>();
        let speed = least + (most - least) * drawn;
        let zone = self.timeline.layout.servers.get(place as usize).copied().unwrap_or_default();
        let cell = (place / figures.cell.max(1)) as u16;
        let entry = RosterEntry { server, health: Health::Ready, rating, zone, cell, started };
        let model = Server::new(&self.scenario, rating, speed, started, now);
        let health = Known { place, model, reach: Reach::Up, entry, rating, speed, life: 0 };
        self.servers.insert(server, health);
        self.tell_started(server, now);
        server
    }

    fn tell_started(&mut self, server: ServerId, now: Moment) {
        let Some(known) = self.servers.get(&server) else { return };
        let event = Event::Started {
            server,
            place: known.place,
            zone: known.entry.zone,
            cell: known.entry.cell,
            rating: known.rating,
            capacity: known.model.capacity(),
            cold: known.entry.started.is_some(),
        };
        self.trace.put(now, event);
    }

    /// Carries out what is the world's own in an act; gateways are the driver's.
    pub fn apply(&mut self, now: Moment, act: &Act) -> Option<Upset> {
        match act {
            Act::Server(place, what) => {
                let server = self.places.get(*place as usize).copied()?;
                return self.hit_server(now, server, *what);
            }
            Act::Counter(what) => {
                let chance = &mut self.chance;
                if let Some(counter) = &mut self.counter {
                    counter.hit(what, || chance.random());
                }
            }
            Act::ListsLate(whom, late) => self.discovery.late(whom, *late),
            Act::ListsSilent(whom, silent) => self.discovery.silence(whom, *silent),
            Act::Shift(share) => self.front.shift(*share),
            Act::Gateway(..) => {}
        }
        None
    }

    fn list(&mut self, now: Moment, server: ServerId, health: Health) {
        if let Some(known) = self.servers.get_mut(&server) {
            known.entry.health = health;
            self.discovery.change(now, known.entry);
        }
    }

    fn hit_server(&mut self, now: Moment, server: ServerId, what: OnServer) -> Option<Upset> {
        let known = self.servers.get_mut(&server)?;
        match what {
            OnServer::Pause(paused) => known.model.paused = paused,
            OnServer::Slow(times) => known.model.slow = times,
            OnServer::Fail(share) => known.model.failing = share,
            OnServer::TurnAway(turns) => known.model.turns_away = turns,
            OnServer::Drain => self.list(now, server, Health::Draining),
            OnServer::Crash | OnServer::Remove => {
                known.reach = Reach::Down;
                self.trace.put(now, Event::Ended { server });
                self.list(now, server, Health::Gone);
                return Some(Upset::Ended(server));
            }
            OnServer::Vanish => {
                known.reach = Reach::Silent;
                self.trace.put(now, Event::Ended { server });
                self.list(now, server, Health::Gone);
                return Some(Upset::Silenced(server));
            }
            OnServer::Back => {
                let (rating, speed) = (known.rating, known.speed);
                known.entry.started = Some(now);
                known.model = Server::new(&self.scenario, rating, speed, Some(now), now);
                known.life += 1;
                known.reach = Reach::Up;
                self.tell_started(server, now);
                self.list(now, server, Health::Ready);
                // Its machine is back: what was open to its former life meets a reset.
                return Some(Upset::Ended(server));
            }
            OnServer::Replace => {
                let place = known.place;
                known.reach = Reach::Down;
                self.trace.put(now, Event::Ended { server });
                self.list(now, server, Health::Gone);
                let next = self.build(place, Some(now), now);
                if let Some(at) = self.places.get_mut(place as usize) {
                    *at = next;
                }
                self.list(now, next, Health::Ready);
                return Some(Upset::Ended(server));
            }
        }
        None
    }

    /// Whether a relay that was carried out had an effect, or was a repeat that its group dropped.
    pub fn effect(&mut self, now: Moment, job: u64, server: ServerId) {
        let first = job - job % crate::load::TRIES;
        let index = (first / crate::load::TRIES) as usize;
        let Some(band) = self.load.tries.get(index).map(|it| &self.scenario.band[it.band]) else { return };
        let Some(known) = self.servers.get(&server) else { return };
        let group = match band.group {
            Group::All => 0,
            Group::Zone => 1 + u64::from(known.entry.zone),
            Group::Cell => 1 + u64::from(known.entry.cell),
        };
        let window = Span::from_secs(band.window_ms / 1e3);
        let repeat = band.repeat == Repeat::Receipted && !self.receipts.effect(group, job, now, window);
        self.trace.put(now, Event::Effect { job, server, repeat });
    }

    /// The party that stands for a server in links.
    pub fn party(&self, server: ServerId) -> Party {
        Party::Server(self.servers.get(&server).map_or(u32::MAX, |known| known.place))
    }

    /// A draw between 0 and 1 that belongs to a numbered thing.
    pub fn draw(&self, number: u64) -> f64 {
        of(self.scenario.seed, Use::World, number ^ 0xdead_beef).random()
    }
}
