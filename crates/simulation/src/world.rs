//! Runs a day: a discrete event simulation with one queue of events in the order of simulated time.

mod strikes;
mod watching;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;

use fennelgauge_coordination::{Member, Message, ViewRules};

use crate::chance::SeededRng;
use crate::day::{Day, Micros, MILLISECOND, SECOND};
use crate::judge::{InvariantChecker, Violation};
use crate::machine::{Call, Input, Machine, Output};
use crate::network::Network;
use crate::operator::{Answer, Operator, RESPONSE_TIMEOUT};
use crate::plant::SimulationBug;
use crate::platform::{Platform, PlatformCall};
use crate::watcher::{WatchReply, Watcher};

/// Number of the first separate watcher in the network, above those of all machines.
const FIRST_WATCHER_NODE: usize = 200;
/// Time between two ticks of a machine.
const TICK_INTERVAL: Micros = 50 * MILLISECOND;
/// The machines start at random times of this interval.
const START_SPREAD: Micros = 300 * MILLISECOND;
/// The operators send their first requests within a second after this time.
const FIRST_REQUEST_AT: Micros = 2 * SECOND;
/// Maximum time that a machine has no power after the power loss at the end of the day.
const MAX_CLOSING_OUTAGE: Micros = 600 * MILLISECOND;
/// Time after the return of all machines within which the core must serve again and its machines must be caught up.
const RECOVERY_TIMEOUT: Micros = 12 * SECOND;
/// Minimum and maximum delay between an operator and a machine.
const CLIENT_DELAY: (Micros, Micros) = (2_500, 3_500);
/// Time between the reads of the operator that only reads, which varies from half to twice this time.
const READ_INTERVAL: Micros = 150 * MILLISECOND;

/// The result of a day.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Played {
    /// Violations of the rules.
    pub broken: Vec<Violation>,
    pub acknowledgements: u64,
    pub refusals: u64,
    pub reads: u64,
    /// The highest epoch at the end of the day.
    pub views: u64,
    /// Time from the return of all machines at the end of the day to the first acknowledgement.
    pub recovered_after: Option<Micros>,
    /// Calls to the platform that were carried out.
    pub platform_calls: u64,
    /// Calls to the platform that were refused because of a lower fence.
    pub refused_platform_calls: u64,
    /// A hash of the times and numbers of all events, to compare two runs of the same day.
    pub trace: u64,
}

/// Runs one day.
pub fn play(day: &Day, bug: Option<SimulationBug>) -> Played {
    let mut world = World::new(day, bug);
    world.run();
    world.result()
}

/// Runs one day and prints each message, answer and committed version.
pub fn play_and_print(day: &Day, bug: Option<SimulationBug>) -> Played {
    let mut world = World::new(day, bug);
    world.prints = true;
    world.run();
    world.result()
}

/// A scheduled event. An event of an earlier incarnation of a machine is ignored.
#[derive(Debug)]
enum Event {
    Start(usize),
    Tick { machine: usize, incarnation: u64 },
    Deliver { to: usize, from: Member, message: Box<Message> },
    WritesDone { machine: usize, incarnation: u64 },
    Call { machine: usize, call: Call },
    Answer { call: Call, answer: Answer },
    Ask { operator: usize },
    ResponseTimeout { operator: usize, attempt: u64 },
    Watch { watcher: usize },
    WatchRequest { machine: usize, watcher: usize, attempt: u64 },
    WatchReply { watcher: usize, attempt: u64, reply: Option<WatchReply> },
    Strike(usize),
    PowerOff { machine: usize, incarnation: u64, wipe: bool, for_: Micros },
    Remove(usize),
    WipeAndPowerOff { machine: usize, dark: Vec<usize>, dark_for: Micros },
    Close,
    Check,
}

/// The state of the simulation.
struct World<'a> {
    day: &'a Day,
    rng: SeededRng,
    now: Micros,
    /// Times and numbers of the scheduled events; events of the same time are handled in the order in which they were scheduled.
    queue: BinaryHeap<Reverse<(Micros, u64)>>,
    /// Scheduled events by number; `None` once handled.
    events: Vec<Option<Event>>,
    machines: Vec<Machine>,
    network: Network,
    operators: Vec<Operator>,
    /// The watchers: first those of the control planes without a disk, in the order of their numbers, then separate processes.
    watchers: Vec<Watcher>,
    platform: Platform,
    checker: InvariantChecker,
    rules: ViewRules,
    bug: Option<SimulationBug>,
    /// Until when answers to operators are lost, and how many of 1000.
    answer_loss: (Micros, u64),
    /// A fault for the next machine that acknowledges an order: whether its disk is lost, for how long it has no power, and how soon.
    ack_trap: Option<(bool, Micros, Micros)>,
    /// For how long the next machine that calls the platform freezes.
    call_trap: Option<Micros>,
    /// The machines that the settings name as seeds since these have changed.
    new_seeds: Option<Vec<usize>>,
    /// The addresses that form the first view.
    first_seeds: Vec<SocketAddr>,
    /// When the faults that were injected so far will be over.
    busy_until: Micros,
    /// Number of lost disks that the core has not recovered from yet.
    disks_lost: usize,
    /// When all machines are back after the power loss at the end of the day; `Micros::MAX` before that.
    all_back_at: Micros,
    recovered_after: Option<Micros>,
    /// The highest sequence number that was read after all machines were back.
    max_read_after_recovery: Option<u64>,
    trace: u64,
    done: bool,
    prints: bool,
}

impl<'a> World<'a> {
    fn new(day: &'a Day, bug: Option<SimulationBug>) -> Self {
        let rules = ViewRules::tolerating(day.losses);
        let first_seeds: Vec<SocketAddr> = (0..3).map(Network::address).collect();
        let mut machines: Vec<Machine> = (0..day.machines + day.diskless)
            .map(|number| Machine::new(number, &first_seeds, true, rules, bug))
            .map(|machine| match machine.number() < day.machines {
                true => machine,
                false => machine.without_disk(),
            })
            .collect();
        machines.iter_mut().for_each(|machine| machine.platform_delay = day.platform_delay);
        let watcher_nodes =
            (day.machines..machines.len()).chain(FIRST_WATCHER_NODE..FIRST_WATCHER_NODE + day.watchers);
        let watchers = watcher_nodes.map(Watcher::new).collect();
        let mut operators: Vec<Operator> = (0..day.operators).map(|_| Operator::new(false)).collect();
        operators.push(Operator::new(true));
        Self {
            day,
            rng: SeededRng::new(day.seed ^ 0xabcd_ef01),
            now: 0,
            queue: BinaryHeap::new(),
            events: Vec::new(),
            machines,
            network: Network::default(),
            operators,
            watchers,
            platform: Platform::default(),
            checker: InvariantChecker::default(),
            rules,
            bug,
            answer_loss: (0, 0),
            ack_trap: None,
            call_trap: None,
            new_seeds: None,
            first_seeds,
            busy_until: 0,
            disks_lost: 0,
            all_back_at: Micros::MAX,
            recovered_after: None,
            max_read_after_recovery: None,
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

    /// Schedules an event.
    fn schedule(&mut self, time: Micros, event: Event) {
        let number = self.events.len() as u64;
        self.events.push(Some(event));
        self.queue.push(Reverse((time, number)));
    }

    fn run(&mut self) {
        for machine in 0..self.machines.len() {
            let time = self.rng.between(0, START_SPREAD);
            self.schedule(time, Event::Start(machine));
        }
        for operator in 0..self.operators.len() {
            let time = FIRST_REQUEST_AT + self.rng.between(0, SECOND);
            self.schedule(time, Event::Ask { operator });
        }
        for watcher in 0..self.watchers.len() {
            self.schedule(START_SPREAD, Event::Watch { watcher });
        }
        for (number, strike) in self.day.strikes.iter().enumerate() {
            self.schedule(strike.at, Event::Strike(number));
        }
        self.schedule(self.day.closing, Event::Close);
        while let Some(Reverse((time, number))) = self.queue.pop() {
            let Some(event) = self.events[number as usize].take() else { continue };
            self.now = time;
            self.trace = (self.trace ^ time ^ number.rotate_left(20)).wrapping_mul(0x0000_0100_0000_01b3);
            self.handle_event(event);
            if self.done {
                return;
            }
        }
    }

    fn handle_event(&mut self, event: Event) {
        if let Event::Deliver { to, from, message } = &event {
            self.print(|| format!("{} -> {to}: {message:?}", from.identity.node));
        }
        match event {
            Event::Start(machine) => self.start(machine),
            Event::Tick { machine, incarnation } => self.tick(machine, incarnation),
            Event::Deliver { to, from, message } => self.deliver_input(to, Input::Message(from, message)),
            Event::WritesDone { machine, incarnation } => self.finish_writes(machine, incarnation),
            Event::Call { machine, call } => self.deliver_input(machine, Input::Call(call)),
            Event::Answer { call, answer } => self.handle_answer(call, answer),
            Event::Ask { operator } => self.ask(operator),
            Event::ResponseTimeout { operator, attempt } => {
                if self.operators[operator].attempt == attempt {
                    self.ask(operator);
                }
            }
            Event::Watch { watcher } => self.watch(watcher),
            Event::WatchRequest { machine, watcher, attempt } => {
                self.answer_watcher(machine, watcher, attempt)
            }
            Event::WatchReply { watcher, attempt, reply } => self.take_reply(watcher, attempt, reply),
            Event::Strike(number) => self.strike(&self.day.strikes[number].trouble),
            Event::PowerOff { machine, incarnation, wipe, for_ } => {
                if self.machines[machine].incarnation == incarnation {
                    self.power_off(machine, wipe, for_);
                }
            }
            Event::Remove(machine) => self.remove_machine(machine),
            Event::WipeAndPowerOff { machine, dark, dark_for } => {
                self.power_off(machine, true, dark_for);
                for other in dark {
                    self.power_off(other, false, dark_for);
                }
            }
            Event::Close => self.close(),
            Event::Check => self.run_final_checks(),
        }
    }

    fn start(&mut self, machine: usize) {
        let seeds = self.seeds_in_settings(Some(machine));
        let now = self.now;
        let started = &mut self.machines[machine];
        if started.is_up() || started.removed {
            return;
        }
        started.start(now, &seeds);
        let incarnation = started.incarnation;
        self.schedule(now + TICK_INTERVAL, Event::Tick { machine, incarnation });
    }

    fn tick(&mut self, machine: usize, incarnation: u64) {
        if self.machines[machine].incarnation != incarnation || !self.machines[machine].is_up() {
            return;
        }
        let frozen_until = self.machines[machine].frozen_until;
        if self.now < frozen_until {
            return self.schedule(frozen_until, Event::Tick { machine, incarnation });
        }
        let seeds = self.seeds_in_settings(Some(machine));
        if let Some(process) = &mut self.machines[machine].process {
            process.update_seeds(self.now, || seeds);
        }
        self.deliver_input(machine, Input::Tick);
        self.schedule(self.now + TICK_INTERVAL, Event::Tick { machine, incarnation });
    }

    /// Passes an input to a machine; while the machine is frozen, a tick is dropped and other inputs wait.
    fn deliver_input(&mut self, machine: usize, input: Input) {
        let Some(receiver) = self.machines.get_mut(machine) else { return };
        if !receiver.is_up() {
            return;
        }
        if self.now < receiver.frozen_until {
            let at = receiver.frozen_until;
            return match input {
                Input::Message(from, message) => {
                    self.schedule(at, Event::Deliver { to: machine, from, message })
                }
                Input::Call(call) => self.schedule(at, Event::Call { machine, call }),
                Input::Tick => {}
            };
        }
        let mut outputs = Vec::new();
        let done = receiver.handle_input(self.now, input, &mut self.rng, &mut outputs);
        self.process_outputs(machine, done, outputs);
    }

    fn finish_writes(&mut self, machine: usize, incarnation: u64) {
        let writing = &mut self.machines[machine];
        if writing.incarnation != incarnation {
            return;
        }
        if self.now < writing.frozen_until {
            let at = writing.frozen_until;
            return self.schedule(at, Event::WritesDone { machine, incarnation });
        }
        let mut outputs = Vec::new();
        let done = writing.finish_writes(self.now, &mut self.rng, &mut outputs);
        self.process_outputs(machine, done, outputs);
    }

    /// Processes the outputs of a machine: schedules the end of its writes, sends its messages and answers, and passes its committed state
    /// to the checker.
    fn process_outputs(&mut self, machine: usize, done: Option<Micros>, outputs: Vec<Output>) {
        let incarnation = self.machines[machine].incarnation;
        if let Some(done) = done {
            self.schedule(done, Event::WritesDone { machine, incarnation });
        } else if !self.machines[machine].is_writing() {
            self.publish(machine);
        }
        let from = self.machines[machine].member();
        for output in outputs {
            match output {
                Output::Message(to, message) => {
                    let to = Network::machine(to);
                    for time in self.network.arrivals(self.now, machine, to, &mut self.rng) {
                        self.schedule(
                            time,
                            Event::Deliver { to, from: from.clone(), message: Box::new(message.clone()) },
                        );
                    }
                }
                Output::Forward(to, call) => {
                    let to = Network::machine(to);
                    let arrivals = self.network.arrivals(self.now, machine, to, &mut self.rng);
                    if let Some(time) = arrivals.first().filter(|_| call.origin == machine) {
                        self.schedule(*time, Event::Call { machine: to, call });
                    }
                }
                Output::Answer(call, answer) => self.send_answer(machine, call, answer),
                Output::Platform(call) => self.call_platform(machine, call),
            }
        }
    }

    /// Passes a call to the platform. A call in a trap freezes its machine right after it.
    fn call_platform(&mut self, machine: usize, call: PlatformCall) {
        self.print(|| format!("{machine} calls the platform: {call:?}"));
        if let Some(description) = self.platform.handle_call(machine, call) {
            self.checker.record_shared_fence(self.now, description);
        }
        if let Some(for_) = self.call_trap.take() {
            self.machines[machine].frozen_until = self.now + for_;
            self.busy_until = self.busy_until.max(self.now + for_);
        }
    }

    fn send_answer(&mut self, machine: usize, call: Call, answer: Answer) {
        self.print(|| format!("{machine} answers {:?} with {answer:?}", call.ask));
        // A definite answer counts from the moment it is sent, even if it is lost on its way.
        if let (Answer::Acknowledged { place }, Some(order)) = (answer, self.order_of(&call)) {
            self.checker.record_acknowledgement(order, place);
            if self.now >= self.all_back_at && self.recovered_after.is_none() {
                self.recovered_after = Some(self.now - self.all_back_at);
            }
            self.spring_trap(machine);
        }
        if let (Answer::Conflict, Some(order)) = (answer, self.order_of(&call)) {
            self.checker.record_refusal(self.now, order);
        }
        let mut time = self.now;
        if call.origin != machine {
            let arrivals = self.network.arrivals(self.now, machine, call.origin, &mut self.rng);
            let Some(arrival) = arrivals.first() else { return };
            time = *arrival;
        }
        let (until, lost) = self.answer_loss;
        if self.now < until && self.rng.per_mille(lost) {
            return;
        }
        time += self.rng.between(CLIENT_DELAY.0, CLIENT_DELAY.1);
        self.schedule(time, Event::Answer { call, answer });
    }

    fn order_of(&self, call: &Call) -> Option<crate::ledger::Order> {
        match call.ask {
            crate::operator::Ask::Order(order) => Some(order),
            crate::operator::Ask::Read => None,
        }
    }

    fn spring_trap(&mut self, machine: usize) {
        let Some((wipe, for_, within)) = self.ack_trap.take() else { return };
        let incarnation = self.machines[machine].incarnation;
        self.schedule(self.now + within, Event::PowerOff { machine, incarnation, wipe, for_ });
    }

    fn ask(&mut self, operator: usize) {
        let min_read_position = self.checker.min_read_position();
        let asking = &mut self.operators[operator];
        let ask = asking.ask(&mut self.rng);
        asking.min_read_position = min_read_position;
        let attempt = asking.attempt;
        let machine = self.rng.below(self.machines.len());
        let call = Call { operator, attempt, ask, origin: machine };
        let time = self.now + self.rng.between(CLIENT_DELAY.0, CLIENT_DELAY.1);
        self.schedule(time, Event::Call { machine, call });
        self.schedule(self.now + RESPONSE_TIMEOUT, Event::ResponseTimeout { operator, attempt });
    }

    fn handle_answer(&mut self, call: Call, answer: Answer) {
        let operator = call.operator;
        if self.operators[operator].attempt != call.attempt {
            return;
        }
        let only_reads = self.operators[operator].only_reads;
        let pause = match answer {
            Answer::Acknowledged { .. } => {
                let taken = self.operators[operator].pending_order().map(|order| order.generation);
                self.operators[operator].finish(taken);
                self.rng.between(self.day.pause / 2, self.day.pause * 3 / 2)
            }
            Answer::Conflict => {
                self.operators[operator].finish(None);
                0
            }
            Answer::Value { generation, place } => {
                let min_read_position = self.operators[operator].min_read_position;
                self.checker.record_read(self.now, min_read_position, place);
                if self.now >= self.all_back_at {
                    self.max_read_after_recovery = self.max_read_after_recovery.max(Some(place));
                }
                self.operators[operator].finish(Some(generation));
                if only_reads {
                    self.rng.between(READ_INTERVAL / 2, READ_INTERVAL * 2)
                } else {
                    0
                }
            }
            Answer::Unsure => self.operators[operator].retry_delay(&mut self.rng),
        };
        self.operators[operator].attempt += 1;
        self.schedule(self.now + pause, Event::Ask { operator });
    }

    /// Passes the view and the committed version of a machine to the checker if they have changed.
    fn publish(&mut self, machine: usize) {
        let identity = self.machines[machine].identity.clone();
        let Some(process) = &mut self.machines[machine].process else { return };
        let replica = process.coordinator.replica();
        let view = replica.view();
        if process.published_epoch != view.epoch {
            process.published_epoch = view.epoch;
            self.checker.record_view(self.now, view);
        }
        let Some(value) = replica.committed_value() else { return };
        let version = replica.version();
        if process.published != Some(version) {
            process.published = Some(version);
            if self.prints {
                println!("{:>10.3} ms  {machine} has committed {version:?}", self.now as f64 / 1_000.0);
            }
            self.checker.record_committed(self.now, &identity, version, value.orders());
        }
    }

    /// Ends the simulation and checks that the core has recovered and has kept all acknowledged orders.
    fn run_final_checks(&mut self) {
        self.done = true;
        let now = self.now;
        if self.recovered_after.is_none() {
            self.checker
                .record_no_recovery(now, "no order was acknowledged after all machines were back".to_owned());
        }
        if self.max_read_after_recovery.is_none() {
            self.checker
                .record_no_recovery(now, "no read was answered after all machines were back".to_owned());
        }
        let running = self.machines.iter().filter_map(|machine| machine.process.as_ref());
        let newest = running.map(|process| process.coordinator.replica()).max_by_key(|one| one.view().epoch);
        let Some(newest) = newest else { return };
        let view = newest.view().clone();
        let up = self.machines.iter().filter(|machine| machine.is_up()).count();
        let wanted = self.rules.voter_count().min(up);
        let caught_up = self.machines.iter().filter(|machine| {
            let in_chain = view.chain_index(&machine.identity).is_some();
            in_chain && machine.process.as_ref().is_some_and(|it| it.coordinator.replica().is_caught_up())
        });
        let caught_up = caught_up.count();
        if caught_up < wanted || view.voters.len() < wanted {
            let description = format!(
                "{caught_up} of {wanted} machines are caught-up links of the chain of view {}",
                view.epoch
            );
            self.checker.record_no_recovery(now, description);
        }
        self.check_watchers(view.epoch);
        let committed = self.machines.iter().filter_map(|machine| {
            let replica = machine.process.as_ref()?.coordinator.replica();
            replica.committed_version().map(|committed| committed.sequence)
        });
        let last = committed.max();
        self.checker.check_durability(now, last);
    }

    fn result(self) -> Played {
        let replicas = self.machines.iter().filter_map(|machine| machine.process.as_ref());
        let views = replicas.map(|process| process.coordinator.replica().view().epoch).max();
        Played {
            acknowledgements: self.checker.acknowledgements,
            refusals: self.checker.refusals,
            reads: self.checker.reads,
            broken: self.checker.violations,
            views: views.unwrap_or(0),
            recovered_after: self.recovered_after,
            platform_calls: self.platform.accepted,
            refused_platform_calls: self.platform.refused,
            trace: self.trace,
        }
    }
}
