//! Plays a day: one queue of events in the order of simulated time.

mod strikes;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;

use fennelgauge_coordination::{Member, Message, ViewRules};

use crate::chance::Chance;
use crate::day::{Day, Micros, MILLISECOND, SECOND};
use crate::judge::{Broken, Judge};
use crate::machine::{Call, Input, Leaving, Machine};
use crate::network::Network;
use crate::operator::{Answer, Operator, PATIENCE};
use crate::plant::Plant;

const TICK_EVERY: Micros = 50 * MILLISECOND;
/// Machines start within this time of one another.
const STARTS_WITHIN: Micros = 300 * MILLISECOND;
const OPERATORS_BEGIN: Micros = 2 * SECOND;
/// All machines are back so long after the last trouble.
const CLOSING_DARK: Micros = 600 * MILLISECOND;
/// By then the core serves again and all are level.
const RECOVER: Micros = 12 * SECOND;
/// To and from an operator.
const CLIENT_DELAY: (Micros, Micros) = (2_500, 3_500);
const READ_EVERY: Micros = 150 * MILLISECOND;

/// What came of a day.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Played {
    pub broken: Vec<Broken>,
    pub acknowledgements: u64,
    pub refusals: u64,
    pub reads: u64,
    pub views: u64,
    /// From the end of the last trouble to the first acknowledgement.
    pub recovered_after: Option<Micros>,
    /// Mixes all that happened: the same for the same day.
    pub trace: u64,
}

/// Plays one day.
pub fn play(day: &Day, plant: Option<Plant>) -> Played {
    let mut world = World::new(day, plant);
    world.run();
    world.result()
}

/// Plays one day and prints each message, answer and version as it comes.
pub fn play_and_print(day: &Day, plant: Option<Plant>) -> Played {
    let mut world = World::new(day, plant);
    world.prints = true;
    world.run();
    world.result()
}

#[derive(Debug)]
enum Event {
    Start(usize),
    Tick { machine: usize, life: u64 },
    Deliver { to: usize, from: Member, message: Box<Message> },
    Written { machine: usize, life: u64 },
    Call { machine: usize, call: Call },
    Answer { call: Call, answer: Answer },
    Ask { operator: usize },
    Silence { operator: usize, attempt: u64 },
    Strike(usize),
    EndPower { machine: usize, life: u64, wipe: bool, for_: Micros },
    TakeAway(usize),
    Wiped { machine: usize, dark: Vec<usize>, dark_for: Micros },
    Close,
    Check,
}

struct World<'a> {
    day: &'a Day,
    chance: Chance,
    now: Micros,
    queue: BinaryHeap<Reverse<(Micros, u64)>>,
    events: Vec<Option<Event>>,
    machines: Vec<Machine>,
    network: Network,
    operators: Vec<Operator>,
    judge: Judge,
    rules: ViewRules,
    plant: Option<Plant>,
    answers_lost: (Micros, u64),
    /// Strikes whoever acknowledges next: whether the disk is lost, for how long it is dark, and how soon.
    trap: Option<(bool, Micros, Micros)>,
    first_seeds: Vec<SocketAddr>,
    /// When the troubles that have struck will be over.
    busy_until: Micros,
    /// Disks lost that are not made good yet.
    disks_lost: usize,
    back_at: Micros,
    recovered_after: Option<Micros>,
    read_since_back: Option<u64>,
    trace: u64,
    done: bool,
    prints: bool,
}

impl<'a> World<'a> {
    fn new(day: &'a Day, plant: Option<Plant>) -> Self {
        let rules = ViewRules::tolerating(day.losses);
        let first_seeds: Vec<SocketAddr> = (0..3).map(Network::address).collect();
        let machines =
            (0..day.machines).map(|number| Machine::new(number, &first_seeds, true, rules, plant)).collect();
        let mut operators: Vec<Operator> = (0..day.operators).map(|_| Operator::new(false)).collect();
        operators.push(Operator::new(true));
        Self {
            day,
            chance: Chance::new(day.seed ^ 0xabcd_ef01),
            now: 0,
            queue: BinaryHeap::new(),
            events: Vec::new(),
            machines,
            network: Network::default(),
            operators,
            judge: Judge::default(),
            rules,
            plant,
            answers_lost: (0, 0),
            trap: None,
            first_seeds,
            busy_until: 0,
            disks_lost: 0,
            back_at: Micros::MAX,
            recovered_after: None,
            read_since_back: None,
            trace: 0,
            done: false,
            prints: false,
        }
    }

    fn print(&self, what: impl FnOnce() -> String) {
        if self.prints {
            println!("{:>10.3} ms  {}", self.now as f64 / 1_000.0, what());
        }
    }

    fn at(&mut self, time: Micros, event: Event) {
        let number = self.events.len() as u64;
        self.events.push(Some(event));
        self.queue.push(Reverse((time, number)));
    }

    fn run(&mut self) {
        for machine in 0..self.machines.len() {
            let time = self.chance.between(0, STARTS_WITHIN);
            self.at(time, Event::Start(machine));
        }
        for operator in 0..self.operators.len() {
            let time = OPERATORS_BEGIN + self.chance.between(0, SECOND);
            self.at(time, Event::Ask { operator });
        }
        for (number, strike) in self.day.strikes.iter().enumerate() {
            self.at(strike.at, Event::Strike(number));
        }
        self.at(self.day.closing, Event::Close);
        while let Some(Reverse((time, number))) = self.queue.pop() {
            let Some(event) = self.events[number as usize].take() else { continue };
            self.now = time;
            self.trace = (self.trace ^ time ^ number.rotate_left(20)).wrapping_mul(0x0000_0100_0000_01b3);
            self.happen(event);
            if self.done {
                return;
            }
        }
    }

    fn happen(&mut self, event: Event) {
        if let Event::Deliver { to, from, message } = &event {
            self.print(|| format!("{} -> {to}: {message:?}", from.identity.node));
        }
        match event {
            Event::Start(machine) => self.start(machine),
            Event::Tick { machine, life } => self.tick(machine, life),
            Event::Deliver { to, from, message } => self.give(to, Input::Message(from, message)),
            Event::Written { machine, life } => self.written(machine, life),
            Event::Call { machine, call } => self.give(machine, Input::Call(call)),
            Event::Answer { call, answer } => self.answered(call, answer),
            Event::Ask { operator } => self.ask(operator),
            Event::Silence { operator, attempt } => {
                if self.operators[operator].attempt == attempt {
                    self.ask(operator);
                }
            }
            Event::Strike(number) => self.strike(&self.day.strikes[number].trouble),
            Event::EndPower { machine, life, wipe, for_ } => {
                if self.machines[machine].life == life {
                    self.power_off(machine, wipe, for_);
                }
            }
            Event::TakeAway(machine) => self.take_away(machine),
            Event::Wiped { machine, dark, dark_for } => {
                self.power_off(machine, true, dark_for);
                for other in dark {
                    self.power_off(other, false, dark_for);
                }
            }
            Event::Close => self.close(),
            Event::Check => self.check(),
        }
    }

    fn start(&mut self, machine: usize) {
        let running: Vec<SocketAddr> = (0..self.machines.len())
            .filter(|other| !self.machines[*other].gone && *other != machine)
            .map(Network::address)
            .take(3)
            .collect();
        let seeds = if self.now <= STARTS_WITHIN { self.first_seeds.clone() } else { running };
        let now = self.now;
        let started = &mut self.machines[machine];
        if started.is_up() || started.gone {
            return;
        }
        started.start(now, &seeds);
        let life = started.life;
        self.at(now + TICK_EVERY, Event::Tick { machine, life });
    }

    fn tick(&mut self, machine: usize, life: u64) {
        if self.machines[machine].life != life || !self.machines[machine].is_up() {
            return;
        }
        let frozen_until = self.machines[machine].frozen_until;
        if self.now < frozen_until {
            return self.at(frozen_until, Event::Tick { machine, life });
        }
        self.give(machine, Input::Tick);
        self.at(self.now + TICK_EVERY, Event::Tick { machine, life });
    }

    fn give(&mut self, machine: usize, input: Input) {
        let Some(taking) = self.machines.get_mut(machine) else { return };
        if !taking.is_up() {
            return;
        }
        if self.now < taking.frozen_until {
            let at = taking.frozen_until;
            return match input {
                Input::Message(from, message) => self.at(at, Event::Deliver { to: machine, from, message }),
                Input::Call(call) => self.at(at, Event::Call { machine, call }),
                Input::Tick => {}
            };
        }
        let mut out = Vec::new();
        let done = taking.take(self.now, input, &mut self.chance, &mut out);
        self.after(machine, done, out);
    }

    fn written(&mut self, machine: usize, life: u64) {
        let writing = &mut self.machines[machine];
        if writing.life != life {
            return;
        }
        if self.now < writing.frozen_until {
            let at = writing.frozen_until;
            return self.at(at, Event::Written { machine, life });
        }
        let mut out = Vec::new();
        let done = writing.written(self.now, &mut self.chance, &mut out);
        self.after(machine, done, out);
    }

    /// What a machine did: its writes are waited for, messages and answers leave, the judge looks.
    fn after(&mut self, machine: usize, done: Option<Micros>, out: Vec<Leaving>) {
        let life = self.machines[machine].life;
        if let Some(done) = done {
            self.at(done, Event::Written { machine, life });
        } else if !self.machines[machine].is_writing() {
            self.show(machine);
        }
        let from = self.machines[machine].member();
        for leaving in out {
            match leaving {
                Leaving::Message(to, message) => {
                    let to = Network::machine(to);
                    for time in self.network.arrivals(self.now, machine, to, &mut self.chance) {
                        self.at(
                            time,
                            Event::Deliver { to, from: from.clone(), message: Box::new(message.clone()) },
                        );
                    }
                }
                Leaving::Forward(to, call) => {
                    let to = Network::machine(to);
                    let arrivals = self.network.arrivals(self.now, machine, to, &mut self.chance);
                    if let Some(time) = arrivals.first().filter(|_| call.origin == machine) {
                        self.at(*time, Event::Call { machine: to, call });
                    }
                }
                Leaving::Answer(call, answer) => self.answer(machine, call, answer),
            }
        }
    }

    fn answer(&mut self, machine: usize, call: Call, answer: Answer) {
        self.print(|| format!("{machine} answers {:?} with {answer:?}", call.ask));
        // What was clearly said counts from the moment it was said, even where the words are lost.
        if let (Answer::Acknowledged { place }, Some(order)) = (answer, self.order_of(&call)) {
            self.judge.saw_acknowledgement(order, place);
            if self.now >= self.back_at && self.recovered_after.is_none() {
                self.recovered_after = Some(self.now - self.back_at);
            }
            self.spring_trap(machine);
        }
        if let (Answer::Conflict, Some(order)) = (answer, self.order_of(&call)) {
            self.judge.saw_refusal(self.now, order);
        }
        let mut time = self.now;
        if call.origin != machine {
            let arrivals = self.network.arrivals(self.now, machine, call.origin, &mut self.chance);
            let Some(arrival) = arrivals.first() else { return };
            time = *arrival;
        }
        let (until, lost) = self.answers_lost;
        if self.now < until && self.chance.in_thousand(lost) {
            return;
        }
        time += self.chance.between(CLIENT_DELAY.0, CLIENT_DELAY.1);
        self.at(time, Event::Answer { call, answer });
    }

    fn order_of(&self, call: &Call) -> Option<crate::ledger::Order> {
        match call.ask {
            crate::operator::Ask::Order(order) => Some(order),
            crate::operator::Ask::Read => None,
        }
    }

    fn spring_trap(&mut self, machine: usize) {
        let Some((wipe, for_, within)) = self.trap.take() else { return };
        let life = self.machines[machine].life;
        self.at(self.now + within, Event::EndPower { machine, life, wipe, for_ });
    }

    fn ask(&mut self, operator: usize) {
        let floor = self.judge.floor_for_reads();
        let asking = &mut self.operators[operator];
        let ask = asking.ask(&mut self.chance);
        asking.floor = floor;
        let attempt = asking.attempt;
        let machine = self.chance.below(self.machines.len());
        let call = Call { operator, attempt, ask, origin: machine };
        let time = self.now + self.chance.between(CLIENT_DELAY.0, CLIENT_DELAY.1);
        self.at(time, Event::Call { machine, call });
        self.at(self.now + PATIENCE, Event::Silence { operator, attempt });
    }

    fn answered(&mut self, call: Call, answer: Answer) {
        let operator = call.operator;
        if self.operators[operator].attempt != call.attempt {
            return;
        }
        let only_reads = self.operators[operator].only_reads;
        let pause = match answer {
            Answer::Acknowledged { .. } => {
                let taken = self.operators[operator].current_order().map(|order| order.generation);
                self.operators[operator].finish(taken);
                self.chance.between(self.day.pause / 2, self.day.pause * 3 / 2)
            }
            Answer::Conflict => {
                self.operators[operator].finish(None);
                0
            }
            Answer::Value { generation, place } => {
                let floor = self.operators[operator].floor;
                self.judge.saw_read(self.now, floor, place);
                if self.now >= self.back_at {
                    self.read_since_back = self.read_since_back.max(Some(place));
                }
                self.operators[operator].finish(Some(generation));
                if only_reads {
                    self.chance.between(READ_EVERY / 2, READ_EVERY * 2)
                } else {
                    0
                }
            }
            Answer::Unsure => self.operators[operator].pause(&mut self.chance),
        };
        self.operators[operator].attempt += 1;
        self.at(self.now + pause, Event::Ask { operator });
    }

    fn show(&mut self, machine: usize) {
        let identity = self.machines[machine].identity.clone();
        let Some(process) = &mut self.machines[machine].process else { return };
        let replica = process.coordinator.replica();
        let view = replica.view();
        if process.shown_epoch != view.epoch {
            process.shown_epoch = view.epoch;
            self.judge.saw_view(self.now, view);
        }
        let Some(value) = replica.committed_value() else { return };
        let version = replica.version();
        if process.shown != Some(version) {
            process.shown = Some(version);
            if self.prints {
                println!("{:>10.3} ms  {machine} has committed {version:?}", self.now as f64 / 1_000.0);
            }
            self.judge.saw_committed(self.now, &identity, version, value.orders());
        }
    }

    fn check(&mut self) {
        self.done = true;
        let now = self.now;
        if self.recovered_after.is_none() {
            self.judge.saw_no_recovery(now, "no order was acknowledged after all were back".to_owned());
        }
        if self.read_since_back.is_none() {
            self.judge.saw_no_recovery(now, "nothing was read after all were back".to_owned());
        }
        let running = self.machines.iter().filter_map(|machine| machine.process.as_ref());
        let newest = running.map(|process| process.coordinator.replica()).max_by_key(|one| one.view().epoch);
        let Some(newest) = newest else { return };
        let view = newest.view().clone();
        let up = self.machines.iter().filter(|machine| machine.is_up()).count();
        let wanted = self.rules.voter_count().min(up);
        let level = self.machines.iter().filter(|machine| {
            let in_chain = view.chain_index(&machine.identity).is_some();
            in_chain && machine.process.as_ref().is_some_and(|it| it.coordinator.replica().is_caught_up())
        });
        let level = level.count();
        if level < wanted || view.voters.len() < wanted {
            let what = format!("{level} of {wanted} voters are level links of view {}", view.epoch);
            self.judge.saw_no_recovery(now, what);
        }
        let committed = self.machines.iter().filter_map(|machine| {
            let replica = machine.process.as_ref()?.coordinator.replica();
            replica.committed_version().map(|committed| committed.sequence)
        });
        let last = committed.max();
        self.judge.close(now, last);
    }

    fn result(self) -> Played {
        let replicas = self.machines.iter().filter_map(|machine| machine.process.as_ref());
        let views = replicas.map(|process| process.coordinator.replica().view().epoch).max();
        Played {
            acknowledgements: self.judge.acknowledgements,
            refusals: self.judge.refusals,
            reads: self.judge.reads,
            broken: self.judge.broken,
            views: views.unwrap_or(0),
            recovered_after: self.recovered_after,
            trace: self.trace,
        }
    }
}
