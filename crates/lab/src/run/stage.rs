//! What all parts of a real play share: the world, the clock, and who is where. Everything runs on one thread.

use super::net::Net;
use crate::links::Way;
use crate::record::{Event, RelayOver};
use crate::stand::server::RelayNumber;
use crate::target::Party;
use crate::timeline::START;
use crate::world::World;
use fennelgauge::host::ServerId;
use fennelgauge::time::{Moment, Span};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::{oneshot, watch, Notify};
use tokio::time::Instant;

/// The play's clock: it stands still shortly before the start until the load begins.
pub struct Clock {
    start: Cell<Option<Instant>>,
    unix_us: Cell<u64>,
}

const BEFORE: Span = Span::from_millis(1_000);

impl Clock {
    fn new() -> Self {
        Self { start: Cell::new(None), unix_us: Cell::new(unix_us()) }
    }

    pub fn now(&self) -> Moment {
        match self.start.get() {
            None => START - BEFORE,
            Some(start) => {
                let now = Instant::now();
                let since = |span: Duration| Span::from_micros(span.as_micros() as u64);
                match now.checked_duration_since(start) {
                    Some(passed) => START + since(passed),
                    None => START - since(start.duration_since(now)),
                }
            }
        }
    }

    /// The moment of the play at a Unix time in microseconds.
    pub fn moment(&self, unix_us: u64) -> Moment {
        let begun = self.unix_us.get();
        if unix_us >= begun {
            START + Span::from_micros(unix_us - begun)
        } else {
            START - Span::from_micros(begun - unix_us)
        }
    }

    /// The load has not begun.
    pub fn is_before(&self) -> bool {
        self.start.get().is_none()
    }

    pub fn begin(&self, after: Duration) {
        self.start.set(Some(Instant::now() + after));
        self.unix_us.set(unix_us() + after.as_micros() as u64);
    }

    pub fn instant(&self, at: Moment) -> Instant {
        let start = self.start.get().unwrap_or_else(Instant::now);
        if at >= START {
            start + Duration::from_micros(at.since(START).micros())
        } else {
            start.checked_sub(Duration::from_micros(START.since(at).micros())).unwrap_or(start)
        }
    }

    pub async fn until(&self, at: Moment) {
        if at > self.now() {
            tokio::time::sleep_until(self.instant(at)).await;
        }
    }

    /// Unix time in milliseconds of a moment of the play.
    pub fn unix_ms(&self, at: Moment) -> u64 {
        let (before, after) = (START.since(at).micros(), at.since(START).micros());
        (self.unix_us.get().saturating_sub(before) + after) / 1_000
    }
}

fn unix_us() -> u64 {
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(unix.as_micros()).unwrap_or(u64::MAX)
}

/// Datagrams, their bytes, and how many of them tell counts.
#[derive(Clone, Copy, Default)]
pub struct Mail {
    pub datagrams: u64,
    pub bytes: u64,
    pub counts: u64,
}

impl Mail {
    pub fn add(&mut self, bytes: &[u8]) {
        self.datagrams += 1;
        self.bytes += bytes.len() as u64;
        self.counts += u64::from(fennelgauge_membership::frame::is_count_frame(bytes));
    }
}

pub struct Stage {
    pub world: RefCell<World>,
    pub clock: Clock,
    pub net: Net,
    /// Who waits for the end of a relay's work.
    pub waiting: RefCell<BTreeMap<RelayNumber, oneshot::Sender<RelayOver>>>,
    /// Relays in a server's hands: the job, and the server.
    pub relays: RefCell<BTreeMap<RelayNumber, (u64, ServerId)>>,
    /// Tries sent: their place in the load, and the gateway that each was dealt to.
    pub jobs: RefCell<BTreeMap<u64, (usize, u32)>>,
    /// A server has something new to work on.
    pub work: Notify,
    /// Discovery has something new to say, or may say something again.
    pub news: watch::Sender<u64>,
    /// By server: its life; a connection of an earlier one is reset, one of a silent one says nothing.
    pub lives: RefCell<BTreeMap<ServerId, watch::Sender<ServerLife>>>,
    /// What each gateway has sent to others.
    pub mail: RefCell<BTreeMap<u32, Mail>>,
    numbered: Cell<u64>,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServerLife {
    /// Rises with every start and every end.
    pub turn: u64,
    pub up: bool,
    pub silent: bool,
}

pub type Shared = Rc<Stage>;

impl Stage {
    pub fn new(world: World, net: Net) -> Shared {
        let servers = world.servers.keys().copied();
        let up = ServerLife { turn: 0, up: true, silent: false };
        let lives = servers.map(|server| (server, watch::Sender::new(up))).collect();
        Rc::new(Self {
            world: RefCell::new(world),
            clock: Clock::new(),
            net,
            waiting: RefCell::new(BTreeMap::new()),
            relays: RefCell::new(BTreeMap::new()),
            jobs: RefCell::new(BTreeMap::new()),
            work: Notify::new(),
            news: watch::Sender::new(0),
            lives: RefCell::new(lives),
            mail: RefCell::new(BTreeMap::new()),
            numbered: Cell::new(0),
        })
    }

    pub fn number(&self) -> u64 {
        self.numbered.set(self.numbered.get() + 1);
        self.numbered.get()
    }

    pub fn put(&self, event: Event) {
        let now = self.clock.now();
        self.world.borrow_mut().trace.put(now, event);
    }

    pub fn way(&self, from: Party, to: Party) -> Way {
        self.world.borrow().timeline.links.way(from, to, self.clock.now())
    }

    /// When what is sent now arrives, whatever is cut until then.
    pub fn arrival(&self, from: Party, to: Party) -> Moment {
        let (now, number) = (self.clock.now(), self.number());
        let world = self.world.borrow();
        let links = &world.timeline.links;
        let open = links.opens(from, to, now);
        open + links.takes(from, to, open, number)
    }

    /// Takes as long as the way takes, cuts included.
    pub async fn pass(&self, from: Party, to: Party) {
        self.clock.until(self.arrival(from, to)).await;
        // A cut that began on the way holds it as well.
        loop {
            let now = self.clock.now();
            let open = self.world.borrow().timeline.links.opens(from, to, now);
            if open <= now {
                return;
            }
            self.clock.until(open).await;
        }
    }

    /// A fault has left that connection, made at `since`, open and silent.
    pub fn caught(&self, a: Party, b: Party, since: Moment) -> bool {
        self.world.borrow().timeline.links.caught(a, b, since, self.clock.now())
    }

    /// The gateway that a try was sent to; none if no client sent it.
    pub fn gateway_of(&self, job: u64) -> Option<u32> {
        self.jobs.borrow().get(&job).map(|sent| sent.1)
    }

    pub fn work_of(&self, job: u64) -> Span {
        let index = self.jobs.borrow().get(&job).map(|sent| sent.0);
        index.map_or(Span::ZERO, |index| self.world.borrow().load.tries[index].work)
    }

    pub fn draws(&self, number: u64) -> [f64; 2] {
        let world = self.world.borrow();
        [world.draw(number), world.draw(number | 1 << 48)]
    }

    /// How many gateways the front has taken in.
    pub fn ready(&self) -> u32 {
        self.world.borrow().front.ready_count()
    }

    pub fn announce(&self) {
        self.news.send_modify(|version| *version += 1);
    }
}
