//! A simulated machine: a disk, and a process while there is one. Inputs are taken one at a time; what follows from one leaves only when
//! its writes are done, as in the control plane.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use fennelgauge_coordination::{
    Coordinator, DurableState, Effects, Identity, Member, Message, Progress, QuorumCheck, Replica, Timing,
    Version, ViewRules, VotingRecord,
};

use crate::chance::Chance;
use crate::day::{Micros, MILLISECOND};
use crate::ledger::{Decision, Ledger, Order};
use crate::network::Network;
use crate::operator::{Answer, Ask};
use crate::plant::Plant;

/// One write to a disk without trouble.
const WRITE: (Micros, Micros) = (400, 2_400);
/// How long an order may wait for its turn.
const TURN_PATIENCE: Micros = 2_000 * MILLISECOND;
const CALL_PATIENCE: Micros = 2_600 * MILLISECOND;
const MOST_WAITING: usize = 4_000;

/// A question to a machine, and to whom the answer goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Call {
    pub operator: usize,
    pub attempt: u64,
    pub ask: Ask,
    /// The machine that the operator called.
    pub origin: usize,
}

/// What comes to a process.
#[derive(Clone, Debug)]
pub enum Input {
    Tick,
    Message(Member, Box<Message>),
    Call(Call),
}

/// What leaves a machine.
#[derive(Debug)]
pub enum Leaving {
    Message(SocketAddr, Message),
    Answer(Call, Answer),
    /// To be asked of another machine.
    Forward(SocketAddr, Call),
}

enum Waiting {
    Turn(Order),
    Write(Version),
    Refusal(QuorumCheck),
    Read(QuorumCheck),
}

struct Open {
    call: Call,
    since: Micros,
    waiting: Waiting,
}

struct Writing {
    value: Option<(Version, Arc<Ledger>)>,
    record: Option<VotingRecord>,
    sends: Vec<(SocketAddr, Message)>,
}

pub struct Process {
    pub coordinator: Coordinator<Ledger>,
    inbox: VecDeque<Input>,
    writing: Option<Writing>,
    open: Vec<Open>,
    /// What was last shown to the judge.
    pub shown: Option<Version>,
    pub shown_epoch: u64,
}

pub struct Machine {
    number: usize,
    pub identity: Identity,
    stored: DurableState<Ledger>,
    /// What was there before the newest writes.
    older: DurableState<Ledger>,
    pub process: Option<Process>,
    pub life: u64,
    pub gone: bool,
    wiped_at_end: bool,
    pub frozen_until: Micros,
    slow_disk: (Micros, u64),
    rules: ViewRules,
    plant: Option<Plant>,
}

impl Machine {
    /// With an empty disk; `bootstrap` only at the very first start.
    pub fn new(
        number: usize,
        seeds: &[SocketAddr],
        bootstrap: bool,
        rules: ViewRules,
        plant: Option<Plant>,
    ) -> Self {
        let stored = DurableState::empty(if bootstrap { seeds } else { &[] });
        let identity = Identity { node: format!("machine-{number}"), disk: 1 };
        Self {
            number,
            identity,
            older: stored.clone(),
            stored,
            process: None,
            life: 0,
            gone: false,
            wiped_at_end: false,
            frozen_until: 0,
            slow_disk: (0, 1),
            rules,
            plant,
        }
    }

    pub fn is_up(&self) -> bool {
        self.process.is_some()
    }

    pub fn member(&self) -> Member {
        Member {
            identity: self.identity.clone(),
            peer: Network::address(self.number),
            zone: format!("zone-{}", self.number % 4),
            region: "region".to_owned(),
        }
    }

    pub fn is_writing(&self) -> bool {
        self.process.as_ref().is_some_and(|process| process.writing.is_some())
    }

    pub fn start(&mut self, now: Micros, seeds: &[SocketAddr]) {
        if self.gone || self.is_up() {
            return;
        }
        self.life += 1;
        let stored = self.read_disk();
        let mut replica = Replica::new(self.member(), true, self.rules, stored);
        if let Some(Plant::Core(bug)) = self.plant {
            replica.plant(bug);
        }
        let coordinator = Coordinator::new(replica, Timing::default(), seeds.to_vec(), time(now));
        self.process = Some(Process {
            coordinator,
            inbox: VecDeque::new(),
            writing: None,
            open: Vec::new(),
            shown: None,
            shown_epoch: 0,
        });
    }

    fn read_disk(&self) -> DurableState<Ledger> {
        let mut stored = self.stored.clone();
        if self.plant == Some(Plant::OldRecordIsRead) {
            stored.record = self.older.record.clone();
        }
        if self.plant == Some(Plant::OldValueIsRead) {
            stored.version = self.older.version;
            stored.value = self.older.value.clone();
        }
        stored
    }

    /// With the next loss of power the disk is lost, too.
    pub fn wipe_at_end(&mut self) {
        self.wiped_at_end = true;
    }

    /// The process ends. Of the writes that were not done, so many are on the disk: the record comes first.
    pub fn end(&mut self, chance: &mut Chance) {
        self.life += 1;
        if std::mem::take(&mut self.wiped_at_end) {
            self.process = None;
            return self.wipe();
        }
        let Some(Process { writing: Some(writing), .. }) = self.process.take() else { return };
        let parts = usize::from(writing.value.is_some()) + usize::from(writing.record.is_some());
        let mut done = chance.below(parts + 1);
        if self.plant == Some(Plant::SentBeforeWritten) {
            done = 0;
        }
        let record = writing.record.filter(|_| done > 0);
        let record_done = usize::from(record.is_some());
        let value = writing.value.filter(|_| done > record_done);
        self.put(value, record);
    }

    /// The disk is lost.
    pub fn wipe(&mut self) {
        self.stored = DurableState::empty(&[]);
        self.older = self.stored.clone();
        if self.plant != Some(Plant::WipedKeepsIdentity) {
            self.identity.disk += 1;
        }
    }

    pub fn slow_disk(&mut self, until: Micros, times: u64) {
        self.slow_disk = (until, times);
    }

    pub fn heal(&mut self) {
        self.slow_disk = (0, 1);
        self.frozen_until = 0;
    }

    fn put(&mut self, value: Option<(Version, Arc<Ledger>)>, record: Option<VotingRecord>) {
        if value.is_some() || record.is_some() {
            self.older = self.stored.clone();
        }
        if let Some((version, value)) = value {
            self.stored.version = version;
            self.stored.value = value;
        }
        if let Some(record) = record {
            self.stored.record = record;
        }
    }

    /// Takes an input, at once or when the present writes are done. The answer says when writes that were begun will be done.
    pub fn take(
        &mut self,
        now: Micros,
        input: Input,
        chance: &mut Chance,
        out: &mut Vec<Leaving>,
    ) -> Option<Micros> {
        let process = self.process.as_mut()?;
        if process.writing.is_some() {
            let skipped = matches!(input, Input::Tick) || process.inbox.len() >= MOST_WAITING;
            if !skipped {
                process.inbox.push_back(input);
            }
            return None;
        }
        process.run(now, input, self.plant, out);
        self.begin_writes(now, chance, out)
    }

    /// The present writes are done.
    pub fn written(&mut self, now: Micros, chance: &mut Chance, out: &mut Vec<Leaving>) -> Option<Micros> {
        let writing = self.process.as_mut()?.writing.take()?;
        self.put(writing.value, writing.record);
        let process = self.process.as_mut()?;
        out.extend(writing.sends.into_iter().map(|(to, message)| Leaving::Message(to, message)));
        process.look_at_open(now, self.plant, out);
        loop {
            if let Some(done) = self.begin_writes(now, chance, out) {
                return Some(done);
            }
            let process = self.process.as_mut()?;
            let input = process.inbox.pop_front()?;
            process.run(now, input, self.plant, out);
        }
    }

    fn begin_writes(&mut self, now: Micros, chance: &mut Chance, out: &mut Vec<Leaving>) -> Option<Micros> {
        let (until, times) = self.slow_disk;
        let plant = self.plant;
        let process = self.process.as_mut()?;
        let writing = process.writing.as_mut()?;
        if plant == Some(Plant::SentBeforeWritten) {
            out.extend(writing.sends.drain(..).map(|(to, message)| Leaving::Message(to, message)));
        }
        let parts = u64::from(writing.value.is_some()) + u64::from(writing.record.is_some());
        if parts == 0 {
            let sends = std::mem::take(&mut writing.sends);
            process.writing = None;
            out.extend(sends.into_iter().map(|(to, message)| Leaving::Message(to, message)));
            process.look_at_open(now, plant, out);
            return self.begin_writes(now, chance, out);
        }
        let one = chance.between(WRITE.0, WRITE.1);
        let done = match now < until {
            true if times == 0 => until + one * parts,
            true => now + one * parts * times,
            false => now + one * parts,
        };
        Some(done)
    }
}

impl Process {
    fn run(&mut self, now: Micros, input: Input, plant: Option<Plant>, out: &mut Vec<Leaving>) {
        match input {
            Input::Tick => {
                let outcome = self.coordinator.tick(time(now));
                self.perform(outcome);
            }
            Input::Message(from, message) => {
                let outcome = self.coordinator.handle(time(now), &from, *message);
                self.perform(outcome);
            }
            Input::Call(call) => self.call(now, call, out),
        }
        if self.writing.is_none() {
            self.look_at_open(now, plant, out);
        }
    }

    /// What is to be written and sent; several outcomes of one input are joined.
    fn perform(&mut self, outcome: Effects) {
        let replica = self.coordinator.replica();
        let value = outcome.write_value.then(|| (replica.version(), replica.value().clone()));
        let record = outcome.write_record.then(|| replica.record().clone());
        match &mut self.writing {
            Some(writing) => {
                writing.value = value.or(writing.value.take());
                writing.record = record.or(writing.record.take());
                writing.sends.extend(outcome.sends);
            }
            None => self.writing = Some(Writing { value, record, sends: outcome.sends }),
        }
    }

    fn call(&mut self, now: Micros, call: Call, out: &mut Vec<Leaving>) {
        let replica = self.coordinator.replica();
        let view = replica.latest_view();
        let (wanted, waiting) = match call.ask {
            Ask::Order(order) => (view.head(), Waiting::Turn(order)),
            Ask::Read => (view.tail(), Waiting::Turn(Order { base: 0, generation: 0, content: 0 })),
        };
        let Some(wanted) = wanted else { return out.push(Leaving::Answer(call, Answer::Unsure)) };
        if wanted.identity != replica.own_member().identity {
            return out.push(Leaving::Forward(wanted.peer, call));
        }
        let waiting = match call.ask {
            Ask::Read => {
                let (question, outcome) = self.coordinator.start_quorum_check(time(now));
                self.perform(outcome);
                Waiting::Read(question)
            }
            Ask::Order(_) => waiting,
        };
        self.open.push(Open { call, since: now, waiting });
    }

    /// Answers what can be answered.
    fn look_at_open(&mut self, now: Micros, plant: Option<Plant>, out: &mut Vec<Leaving>) {
        for at in (0..self.open.len()).rev() {
            if let Some(answer) = self.progress(now, at, plant) {
                out.push(Leaving::Answer(self.open.remove(at).call, answer));
            }
        }
    }

    fn progress(&mut self, now: Micros, at: usize, plant: Option<Plant>) -> Option<Answer> {
        let waited = now - self.open[at].since;
        match self.open[at].waiting {
            Waiting::Turn(order) => self.take_turn(now, at, order, waited, plant),
            Waiting::Write(version) => {
                let place = version.sequence;
                match self.coordinator.write_progress(version) {
                    _ if plant == Some(Plant::AcknowledgedEarly) => Some(Answer::Acknowledged { place }),
                    Progress::Done => Some(Answer::Acknowledged { place }),
                    Progress::Superseded => Some(Answer::Unsure),
                    Progress::Pending => (waited > CALL_PATIENCE).then_some(Answer::Unsure),
                }
            }
            Waiting::Refusal(question) => match self.coordinator.quorum_check_progress(question) {
                Progress::Done => Some(Answer::Conflict),
                Progress::Superseded => Some(Answer::Unsure),
                Progress::Pending => (waited > CALL_PATIENCE).then_some(Answer::Unsure),
            },
            Waiting::Read(question) => self.read(question, waited, plant),
        }
    }

    fn take_turn(
        &mut self,
        now: Micros,
        at: usize,
        order: Order,
        waited: Micros,
        plant: Option<Plant>,
    ) -> Option<Answer> {
        let replica = self.coordinator.replica();
        if replica.check_writable().is_err() {
            return (waited > TURN_PATIENCE || !replica.is_head()).then_some(Answer::Unsure);
        }
        let place = replica.version().sequence;
        let decision = match replica.value().decide(&order) {
            Decision::Known if plant == Some(Plant::OrdersAreForgotten) => Decision::Conflict,
            decision => decision,
        };
        match decision {
            Decision::Known => Some(Answer::Acknowledged { place }),
            Decision::Forgotten => Some(Answer::Unsure),
            Decision::Conflict if plant == Some(Plant::RefusalWithoutContact) => Some(Answer::Conflict),
            Decision::Conflict => {
                let (question, outcome) = self.coordinator.start_quorum_check(time(now));
                self.perform(outcome);
                self.open[at].waiting = Waiting::Refusal(question);
                None
            }
            Decision::New => {
                let (version, outcome) = self.coordinator.write(time(now), order.encode()).ok()?;
                self.perform(outcome);
                self.open[at].waiting = Waiting::Write(version);
                None
            }
        }
    }

    fn read(&mut self, question: QuorumCheck, waited: Micros, plant: Option<Plant>) -> Option<Answer> {
        let replica = self.coordinator.replica();
        let value = |ledger: &Ledger| Answer::Value {
            generation: ledger.generation,
            place: replica.version().sequence,
        };
        if plant == Some(Plant::AnyLinkAnswersReads) {
            return Some(value(replica.value()));
        }
        match self.coordinator.quorum_check_progress(question) {
            Progress::Done => Some(self.coordinator.readable_value().map_or(Answer::Unsure, |it| value(it))),
            Progress::Superseded => Some(Answer::Unsure),
            Progress::Pending => (waited > CALL_PATIENCE).then_some(Answer::Unsure),
        }
    }
}

fn time(now: Micros) -> Duration {
    Duration::from_micros(now)
}
