//! A simulated machine: a disk, and a process while the machine is running. The process handles one input at a time; messages that an
//! input causes are sent only after its writes are on the disk, as in the control plane.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use fennelgauge_coordination::{
    Coordinator, DurableState, Effects, FencingToken, Identity, Member, Message, Progress, QuorumCheck,
    Replica, Timing, Version, ViewRules, VotingRecord,
};

use crate::chance::SeededRng;
use crate::day::{Micros, MILLISECOND};
use crate::ledger::{Decision, Order, SimulatedConfig};
use crate::network::Network;
use crate::operator::{Answer, Ask};
use crate::plant::SimulationBug;
use crate::platform::{PlatformCall, SUBJECTS};
use crate::watcher::WatchReply;

/// Minimum and maximum duration of one write to a disk without faults.
const WRITE_TIME: (Micros, Micros) = (400, 2_400);
/// How long an order may wait until the head can write, before the outcome is reported as unknown.
const TURN_TIMEOUT: Micros = 2_000 * MILLISECOND;
/// How long a call may wait for a commit or a quorum check, before the outcome is reported as unknown.
const CALL_TIMEOUT: Micros = 2_600 * MILLISECOND;
/// Inputs that arrive while this number waits for a write are dropped.
const MAX_INBOX_LENGTH: usize = 4_000;

/// Interval between two rounds of calls to the platform.
const DUTY_INTERVAL: Micros = 1_500 * MILLISECOND;
/// Time for which a new head waits before it calls the platform.
const DUTY_SETTLING_TIME: Duration = Duration::from_millis(2_200);

/// A request of an operator to a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Call {
    pub operator: usize,
    /// The operator's number of the request.
    pub attempt: u64,
    pub ask: Ask,
    /// The machine that the operator sent the request to, through which the response goes back.
    pub origin: usize,
}

/// An input of a process.
#[derive(Clone, Debug)]
pub enum Input {
    Tick,
    Message(Member, Box<Message>),
    Call(Call),
}

/// An output of a machine.
#[derive(Debug)]
pub enum Output {
    Message(SocketAddr, Message),
    Answer(Call, Answer),
    /// The request is passed on to another machine.
    Forward(SocketAddr, Call),
    /// A call to the platform.
    Platform(PlatformCall),
}

/// What a pending call waits for.
enum CallState {
    /// The head can write.
    Turn(Order),
    /// The version that contains the order is committed.
    Write(Version),
    /// The quorum check before a rejection.
    Refusal(QuorumCheck),
    /// The quorum check before a read.
    Read(QuorumCheck),
}

/// A call without a response yet.
struct PendingCall {
    call: Call,
    since: Micros,
    state: CallState,
}

/// A round of calls to the platform, for one subject after the other.
struct DutyRound {
    /// The right under which the round began.
    token: FencingToken,
    next_subject: usize,
    next_call_at: Micros,
}

/// Writes that have begun, and the messages to send when they are done.
struct WriteInProgress {
    value: Option<(Version, Arc<SimulatedConfig>)>,
    record: Option<VotingRecord>,
    sends: Vec<(SocketAddr, Message)>,
}

/// The volatile state of a running machine.
pub struct Process {
    pub coordinator: Coordinator<SimulatedConfig>,
    inbox: VecDeque<Input>,
    writing: Option<WriteInProgress>,
    pending_calls: Vec<PendingCall>,
    /// The committed version that was last reported to the checker.
    pub published: Option<Version>,
    /// The epoch of the view that was last reported to the checker.
    pub published_epoch: u64,
    duty_round: Option<DutyRound>,
    /// When the next round of calls to the platform is due.
    duty_due_at: Micros,
    platform_delay: Micros,
}

/// A simulated machine.
pub struct Machine {
    number: usize,
    pub identity: Identity,
    /// The content of the disk.
    stored: DurableState<SimulatedConfig>,
    /// The content of the disk before the last writes.
    previous: DurableState<SimulatedConfig>,
    pub process: Option<Process>,
    /// Increases at each start and each power loss, so that events of an earlier process can be recognized.
    pub incarnation: u64,
    /// The machine was removed for good.
    pub removed: bool,
    wipe_on_power_off: bool,
    pub frozen_until: Micros,
    /// Until when writes are slow, and by which factor; with 0 they complete only at that time.
    disk_slowdown: (Micros, u64),
    has_disk: bool,
    /// Time until the platform answers a call.
    pub platform_delay: Micros,
    rules: ViewRules,
    bug: Option<SimulationBug>,
}

impl Machine {
    /// Makes this a machine without a disk: it never becomes a voter and forgets everything when its process ends.
    pub fn without_disk(self) -> Self {
        Self { has_disk: false, ..self }
    }

    /// Creates a stopped machine with an empty disk. With `bootstrap`, the `seeds` form the first view.
    pub fn new(
        number: usize,
        seeds: &[SocketAddr],
        bootstrap: bool,
        rules: ViewRules,
        bug: Option<SimulationBug>,
    ) -> Self {
        let stored = DurableState::empty(if bootstrap { seeds } else { &[] });
        let identity = Identity { node: format!("machine-{number}"), disk: 1 };
        Self {
            number,
            identity,
            previous: stored.clone(),
            stored,
            process: None,
            incarnation: 0,
            removed: false,
            wipe_on_power_off: false,
            frozen_until: 0,
            disk_slowdown: (0, 1),
            has_disk: true,
            platform_delay: 0,
            rules,
            bug,
        }
    }

    /// Returns the machine's number.
    pub fn number(&self) -> usize {
        self.number
    }

    /// Returns whether the process is running.
    pub fn is_up(&self) -> bool {
        self.process.is_some()
    }

    /// Returns how the machine describes itself to others.
    pub fn member(&self) -> Member {
        Member {
            identity: self.identity.clone(),
            peer: Network::address(self.number),
            zone: format!("zone-{}", self.number % 4),
            region: "region".to_owned(),
        }
    }

    /// Returns whether writes have begun that are not done yet.
    pub fn is_writing(&self) -> bool {
        self.process.as_ref().is_some_and(|process| process.writing.is_some())
    }

    /// Starts the process from the content of the disk, unless it is running or the machine was removed.
    pub fn start(&mut self, now: Micros, seeds: &[SocketAddr]) {
        if self.removed || self.is_up() {
            return;
        }
        self.incarnation += 1;
        let stored = self.read_disk();
        let mut replica = Replica::new(self.member(), self.has_disk, self.rules, stored);
        if let Some(SimulationBug::Core(bug)) = self.bug {
            replica.plant(bug);
        }
        let coordinator = Coordinator::new(replica, Timing::default(), seeds.to_vec(), time(now));
        self.process = Some(Process {
            coordinator,
            inbox: VecDeque::new(),
            writing: None,
            pending_calls: Vec::new(),
            published: None,
            published_epoch: 0,
            duty_round: None,
            duty_due_at: now,
            platform_delay: self.platform_delay,
        });
    }

    fn read_disk(&self) -> DurableState<SimulatedConfig> {
        let mut stored = self.stored.clone();
        if self.bug == Some(SimulationBug::OldRecordIsRead) {
            stored.record = self.previous.record.clone();
        }
        if self.bug == Some(SimulationBug::OldValueIsRead) {
            stored.version = self.previous.version;
            stored.value = self.previous.value.clone();
        }
        stored
    }

    /// Makes the next power loss also lose the disk.
    pub fn wipe_on_power_off(&mut self) {
        self.wipe_on_power_off = true;
    }

    /// Ends the process. A random number of its unfinished writes reach the disk, the voting record before the value.
    pub fn power_off(&mut self, rng: &mut SeededRng) {
        self.incarnation += 1;
        if std::mem::take(&mut self.wipe_on_power_off) || !self.has_disk {
            self.process = None;
            return self.wipe();
        }
        let Some(Process { writing: Some(writing), .. }) = self.process.take() else { return };
        let parts = usize::from(writing.value.is_some()) + usize::from(writing.record.is_some());
        let mut done = rng.below(parts + 1);
        if self.bug == Some(SimulationBug::SentBeforeWritten) {
            done = 0;
        }
        let record = writing.record.filter(|_| done > 0);
        let record_done = usize::from(record.is_some());
        let value = writing.value.filter(|_| done > record_done);
        self.apply_writes(value, record);
    }

    /// Loses the content of the disk; the machine gets a new identity.
    pub fn wipe(&mut self) {
        self.stored = DurableState::empty(&[]);
        self.previous = self.stored.clone();
        if self.bug != Some(SimulationBug::WipedKeepsIdentity) {
            self.identity.disk += 1;
        }
    }

    /// Makes writes that begin before `until` take `times` as long; with 0 they complete only after `until`.
    pub fn slow_disk(&mut self, until: Micros, times: u64) {
        self.disk_slowdown = (until, times);
    }

    /// Ends a freeze and a slow disk.
    pub fn clear_faults(&mut self) {
        self.disk_slowdown = (0, 1);
        self.frozen_until = 0;
    }

    fn apply_writes(&mut self, value: Option<(Version, Arc<SimulatedConfig>)>, record: Option<VotingRecord>) {
        if value.is_some() || record.is_some() {
            self.previous = self.stored.clone();
        }
        if let Some((version, value)) = value {
            self.stored.version = version;
            self.stored.value = value;
        }
        if let Some(record) = record {
            self.stored.record = record;
        }
    }

    /// Handles an input, or queues it while writes are in progress. Returns when the writes that it began will be done, if any.
    pub fn handle_input(
        &mut self,
        now: Micros,
        input: Input,
        rng: &mut SeededRng,
        outputs: &mut Vec<Output>,
    ) -> Option<Micros> {
        let process = self.process.as_mut()?;
        if process.writing.is_some() {
            let skipped = matches!(input, Input::Tick) || process.inbox.len() >= MAX_INBOX_LENGTH;
            if !skipped {
                process.inbox.push_back(input);
            }
            return None;
        }
        process.run(now, input, self.bug, outputs);
        self.begin_writes(now, rng, outputs)
    }

    /// Completes the writes in progress, sends the messages that waited for them, and handles queued inputs until one begins writes.
    /// Returns when those will be done.
    pub fn finish_writes(
        &mut self,
        now: Micros,
        rng: &mut SeededRng,
        outputs: &mut Vec<Output>,
    ) -> Option<Micros> {
        let writing = self.process.as_mut()?.writing.take()?;
        self.apply_writes(writing.value, writing.record);
        let process = self.process.as_mut()?;
        outputs.extend(writing.sends.into_iter().map(|(to, message)| Output::Message(to, message)));
        process.answer_pending_calls(now, self.bug, outputs);
        loop {
            if let Some(done) = self.begin_writes(now, rng, outputs) {
                return Some(done);
            }
            let process = self.process.as_mut()?;
            let input = process.inbox.pop_front()?;
            process.run(now, input, self.bug, outputs);
        }
    }

    /// Returns when the pending writes will be done; without any, sends the messages at once and returns `None`.
    fn begin_writes(
        &mut self,
        now: Micros,
        rng: &mut SeededRng,
        outputs: &mut Vec<Output>,
    ) -> Option<Micros> {
        let (until, times) = self.disk_slowdown;
        let bug = self.bug;
        let process = self.process.as_mut()?;
        let writing = process.writing.as_mut()?;
        if bug == Some(SimulationBug::SentBeforeWritten) {
            outputs.extend(writing.sends.drain(..).map(|(to, message)| Output::Message(to, message)));
        }
        let parts = u64::from(writing.value.is_some()) + u64::from(writing.record.is_some());
        if parts == 0 {
            let sends = std::mem::take(&mut writing.sends);
            process.writing = None;
            outputs.extend(sends.into_iter().map(|(to, message)| Output::Message(to, message)));
            process.answer_pending_calls(now, bug, outputs);
            return self.begin_writes(now, rng, outputs);
        }
        let write_time = rng.between(WRITE_TIME.0, WRITE_TIME.1);
        let done = match now < until {
            true if times == 0 => until + write_time * parts,
            true => now + write_time * parts * times,
            false => now + write_time * parts,
        };
        Some(done)
    }
}

impl Process {
    fn run(&mut self, now: Micros, input: Input, bug: Option<SimulationBug>, outputs: &mut Vec<Output>) {
        match input {
            Input::Tick => {
                let effects = self.coordinator.tick(time(now));
                self.perform(effects);
                self.carry_out_duties(now, outputs);
            }
            Input::Message(from, message) => {
                let effects = self.coordinator.handle(time(now), &from, *message);
                self.perform(effects);
            }
            Input::Call(call) => self.call(now, call, outputs),
        }
        if self.writing.is_none() {
            self.answer_pending_calls(now, bug, outputs);
        }
    }

    /// Begins a round of calls to the platform if this machine holds the duties, or makes the next call of the present round.
    fn carry_out_duties(&mut self, now: Micros, outputs: &mut Vec<Output>) {
        if self.duty_round.is_none() && now >= self.duty_due_at {
            self.duty_due_at = now + DUTY_INTERVAL;
            let token = self.coordinator.duty_token(time(now), DUTY_SETTLING_TIME);
            self.duty_round = token.map(|token| DutyRound { token, next_subject: 0, next_call_at: now });
        }
        let Some(round) = self.duty_round.as_mut().filter(|round| now >= round.next_call_at) else { return };
        let token = self.coordinator.authorize_call(time(now), round.token);
        let Some(token) = token.filter(|_| round.next_subject < SUBJECTS) else {
            self.duty_round = None;
            return;
        };
        outputs.push(Output::Platform(PlatformCall { subject: round.next_subject, fence: token.number() }));
        round.next_subject += 1;
        round.next_call_at = now + self.platform_delay;
    }

    /// Tells the coordinator the seeds of the settings if it is about to turn to them.
    pub fn update_seeds(&mut self, now: Micros, seeds: impl FnOnce() -> Vec<SocketAddr>) {
        if self.coordinator.is_view_comparison_due(time(now)) {
            self.coordinator.set_seeds(seeds());
        }
    }

    /// Returns the newest view that this process knows, and when a majority confirmed it last.
    pub fn watch_reply(&self) -> WatchReply {
        let view = self.coordinator.replica().latest_view();
        let confirmed_at = self.coordinator.quorum_confirmed_at();
        WatchReply {
            view: (view.epoch > 0).then(|| view.clone()),
            confirmed_at: confirmed_at.map(|at| at.as_micros() as Micros),
        }
    }

    /// Collects what is to be written and sent; the effects of one input are merged.
    fn perform(&mut self, effects: Effects) {
        let replica = self.coordinator.replica();
        let value = effects.write_value.then(|| (replica.version(), replica.value().clone()));
        let record = effects.write_record.then(|| replica.record().clone());
        match &mut self.writing {
            Some(writing) => {
                writing.value = value.or(writing.value.take());
                writing.record = record.or(writing.record.take());
                writing.sends.extend(effects.sends);
            }
            None => self.writing = Some(WriteInProgress { value, record, sends: effects.sends }),
        }
    }

    /// Forwards a call to the head or the tail, or adds it to the pending calls if this machine is that one.
    fn call(&mut self, now: Micros, call: Call, outputs: &mut Vec<Output>) {
        let replica = self.coordinator.replica();
        let view = replica.latest_view();
        let (target, state) = match call.ask {
            Ask::Order(order) => (view.head(), CallState::Turn(order)),
            Ask::Read => (view.tail(), CallState::Turn(Order { base: 0, generation: 0, content: 0 })),
        };
        let Some(target) = target else { return outputs.push(Output::Answer(call, Answer::Unsure)) };
        if target.identity != replica.own_member().identity {
            return outputs.push(Output::Forward(target.peer, call));
        }
        let state = match call.ask {
            Ask::Read => {
                let (quorum_check, effects) = self.coordinator.start_quorum_check(time(now));
                self.perform(effects);
                CallState::Read(quorum_check)
            }
            Ask::Order(_) => state,
        };
        self.pending_calls.push(PendingCall { call, since: now, state });
    }

    /// Answers the pending calls whose outcome is known or that have timed out.
    fn answer_pending_calls(&mut self, now: Micros, bug: Option<SimulationBug>, outputs: &mut Vec<Output>) {
        for index in (0..self.pending_calls.len()).rev() {
            if let Some(answer) = self.progress(now, index, bug) {
                outputs.push(Output::Answer(self.pending_calls.remove(index).call, answer));
            }
        }
    }

    /// Returns the answer to a pending call, if there is one already.
    fn progress(&mut self, now: Micros, index: usize, bug: Option<SimulationBug>) -> Option<Answer> {
        let elapsed = now - self.pending_calls[index].since;
        match self.pending_calls[index].state {
            CallState::Turn(order) => self.take_turn(now, index, order, elapsed, bug),
            CallState::Write(version) => {
                let place = version.sequence;
                match self.coordinator.write_progress(version) {
                    _ if bug == Some(SimulationBug::AcknowledgedEarly) => {
                        Some(Answer::Acknowledged { place })
                    }
                    Progress::Done => Some(Answer::Acknowledged { place }),
                    Progress::Superseded => Some(Answer::Unsure),
                    Progress::Pending => (elapsed > CALL_TIMEOUT).then_some(Answer::Unsure),
                }
            }
            CallState::Refusal(quorum_check) => match self.coordinator.quorum_check_progress(quorum_check) {
                Progress::Done => Some(Answer::Conflict),
                Progress::Superseded => Some(Answer::Unsure),
                Progress::Pending => (elapsed > CALL_TIMEOUT).then_some(Answer::Unsure),
            },
            CallState::Read(quorum_check) => self.read(quorum_check, elapsed, bug),
        }
    }

    fn take_turn(
        &mut self,
        now: Micros,
        index: usize,
        order: Order,
        elapsed: Micros,
        bug: Option<SimulationBug>,
    ) -> Option<Answer> {
        let replica = self.coordinator.replica();
        if replica.check_writable().is_err() {
            return (elapsed > TURN_TIMEOUT || !replica.is_head()).then_some(Answer::Unsure);
        }
        let place = replica.version().sequence;
        let decision = match replica.value().decide(&order) {
            Decision::AlreadyApplied if bug == Some(SimulationBug::OrdersAreForgotten) => Decision::Conflict,
            decision => decision,
        };
        match decision {
            Decision::AlreadyApplied => Some(Answer::Acknowledged { place }),
            Decision::Undetermined => Some(Answer::Unsure),
            Decision::Conflict if bug == Some(SimulationBug::RefusalWithoutContact) => Some(Answer::Conflict),
            Decision::Conflict => {
                let (quorum_check, effects) = self.coordinator.start_quorum_check(time(now));
                self.perform(effects);
                self.pending_calls[index].state = CallState::Refusal(quorum_check);
                None
            }
            Decision::New => {
                let (version, effects) = self.coordinator.write(time(now), order.encode()).ok()?;
                self.perform(effects);
                self.pending_calls[index].state = CallState::Write(version);
                None
            }
        }
    }

    fn read(
        &mut self,
        quorum_check: QuorumCheck,
        elapsed: Micros,
        bug: Option<SimulationBug>,
    ) -> Option<Answer> {
        let replica = self.coordinator.replica();
        let value = |ledger: &SimulatedConfig| Answer::Value {
            generation: ledger.generation,
            place: replica.version().sequence,
        };
        if bug == Some(SimulationBug::AnyLinkAnswersReads) {
            return Some(value(replica.value()));
        }
        match self.coordinator.quorum_check_progress(quorum_check) {
            Progress::Done => Some(self.coordinator.readable_value().map_or(Answer::Unsure, |it| value(it))),
            Progress::Superseded => Some(Answer::Unsure),
            Progress::Pending => (elapsed > CALL_TIMEOUT).then_some(Answer::Unsure),
        }
    }
}

/// Converts simulated time for the state machines.
fn time(now: Micros) -> Duration {
    Duration::from_micros(now)
}
