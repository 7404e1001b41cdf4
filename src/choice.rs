//! Every decision of a gateway. Build one with [`Gateway::start`], then call the method named for each thing as
//! it happens, with the present moment; the gateway acts through the [`Host`] it was given. The interface is in
//! `host.rs`, the types of time in `time.rs`; `docs/design.md` tells what follows the design and what departs.

use crate::host::{
    Arrival, CountName, CustomerId, Deployment, Entry, Fate, Group, Host, JobId, Plan, RelayEnd, Repeat,
    ServerId, Standing,
};
use crate::time::{Moment, Span};
use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeMap, VecDeque};
use std::hash::{Hash, Hasher};

/// The lent room of all customers is pooled by this span; the design's window of about a second.
const POOL_WINDOW: Span = Span::from_millis(1_000);
/// Marks of timers: a job's is its id, which is below this; a customer's is its id above this.
const CUSTOMER_MARK: u64 = 1 << 52;
const POOL_MARK: u64 = u64::MAX;

/// Decides for one gateway.
pub struct Gateway<H> {
    host: H,
    deployment: Deployment,
    now: Moment,
    seed: u64,
    drawn: u64,
    servers: BTreeMap<ServerId, Server>,
    customers: BTreeMap<CustomerId, Customer>,
    jobs: BTreeMap<JobId, Job>,
    /// Jobs with room in their quota that no server had room for, first come first.
    backlog: VecDeque<JobId>,
    /// Who awaits a total by a name.
    callers: BTreeMap<CountName, CustomerId>,
    counter: Counter,
    pool: Pool,
    /// How long answers take of late, in seconds.
    usual: f64,
    /// Further relays that may still be made; earned by first ones.
    spare_relays: f64,
    pressed_until: Moment,
}

struct Job {
    arrival: Arrival,
    stage: Stage,
    /// When an answer is wanted.
    target: Moment,
    relays: u8,
    /// The latest relay's server.
    server: ServerId,
    /// When the first relay that may have run was sent, and where.
    may_have_run: Option<(Moment, ServerId)>,
}

#[derive(Clone, Copy, PartialEq)]
enum Stage {
    /// Held until the quota has room.
    Held,
    /// The quota has room; waits for the ceiling or a server.
    Cleared,
    /// A relay is out since then.
    Out(Moment),
}

/// All that is known of one server.
struct Server {
    standing: Standing,
    rating: f64,
    zone: u16,
    cell: u16,
    started: Option<Moment>,
    out: f64,
    /// Relays that it may have of this gateway at once before it has enough.
    bound: f64,
    cut: Moment,
    /// The latest sign of health while it owed answers, or since when it owes one.
    heard: Moment,
    /// The usual span between such signs, in seconds.
    gap: f64,
    /// Share of late relays that ended badly.
    failing: f64,
    tried: Moment,
    /// Units a second it answered well, decaying, as of a moment.
    carried: (f64, Moment),
    /// Units sent while cold and not yet worked off, as of a moment.
    push: (f64, Moment),
}

struct Customer {
    plan: usize,
    set_size: f64,
    waiting: VecDeque<JobId>,
    window: u64,
    /// Units used through this gateway in the window, or relays out; and how many of them the count was told.
    used: f64,
    told: f64,
    /// The highest total heard in the window.
    total: f64,
    /// Room carried from the last window, once known.
    carried: Option<f64>,
    /// Allowance and total of the last window as far as known.
    last: (f64, f64),
    ask: Option<Ask>,
    looking: bool,
    /// No room is expected before.
    shut: Moment,
    /// Units a second lent out of this window.
    lent: f64,
    /// Room left by this gateway's own share of quota and of ceiling, as of a moment.
    alone: (f64, Moment),
    ceiling: (f64, Moment),
}

/// A call to the counter that is out, and the jobs whose units it carries.
struct Ask {
    jobs: Vec<JobId>,
    amount: f64,
    window: u64,
    total: Option<f64>,
    sent: Moment,
}

#[derive(Default)]
struct Counter {
    failing: bool,
    tried: Moment,
    /// How long calls take of late, in seconds.
    usual: f64,
}

#[derive(Default)]
struct Pool {
    waiting: Vec<JobId>,
    draw: Option<(CountName, f64, Vec<JobId>)>,
    /// Drawn too much from the named count.
    back: (CountName, f64),
}

impl Plan {
    /// Use beyond the quota earns something and costs nothing.
    fn soft(&self) -> bool {
        self.rate > 0.0 && self.over_share > 0.0 && self.over_cost <= 0.0
    }

    /// Half of what it takes to fill the burst, so that an unused window leaves the whole burst; a second at least.
    /// A plan by relays out has no windows; its counts begin anew so that what a dead gateway held is let go.
    fn window(&self) -> Span {
        const SLOTS_ANEW: f64 = 10.0;
        let length = if self.rate > 0.0 { self.burst / self.rate / 2.0 } else { SLOTS_ANEW };
        Span::from_secs(length.clamp(1.0, 20.0))
    }

    fn in_window(&self) -> f64 {
        if self.rate > 0.0 {
            self.rate * self.window().secs()
        } else {
            self.relays_out
        }
    }

    fn cost(&self, units: f64) -> f64 {
        if self.rate > 0.0 {
            units
        } else {
            1.0
        }
    }
}

/// A level that fills at `rate` up to `most`.
fn filled(level: (f64, Moment), rate: f64, most: f64, now: Moment) -> (f64, Moment) {
    ((level.0 + rate * now.since(level.1).secs()).min(most), now)
}

fn hashed(parts: &[u64]) -> u64 {
    let mut hasher = DefaultHasher::new();
    parts.hash(&mut hasher);
    hasher.finish()
}

impl Server {
    /// Accrual: silence is unusual at this many usual gaps; about 1 in 400 if gaps were exponential.
    const UNUSUAL: f64 = 6.0;

    fn silence_ends(&self, usual: f64) -> Moment {
        self.heard + Span::from_secs(self.gap.max(usual / 2.0) * Self::UNUSUAL)
    }

    /// Silent for unusually long or failing often, from any cause: crash, cut, bad build, hang.
    fn unwell(&self, now: Moment, usual: f64) -> bool {
        const MOSTLY: f64 = 0.5;
        self.failing > MOSTLY || (self.out > 0.0 && now > self.silence_ends(usual))
    }
}

impl<H: Host> Gateway<H> {
    pub fn start(now: Moment, mut host: H, deployment: Deployment, seed: u64) -> Self {
        if deployment.roster_is_asked {
            host.follow_roster();
        }
        if deployment.has_counter && deployment.plans.iter().any(Plan::soft) {
            host.wake(POOL_WINDOW, POOL_MARK);
        }
        // Before any answer is seen, a small part of the tightest target stands in for the usual.
        let target = deployment.bands.iter().map(|band| band.target.secs()).fold(10.0, f64::min);
        Self {
            host,
            deployment,
            now,
            seed,
            drawn: 0,
            servers: BTreeMap::new(),
            customers: BTreeMap::new(),
            jobs: BTreeMap::new(),
            backlog: VecDeque::new(),
            callers: BTreeMap::new(),
            counter: Counter { usual: 0.01, ..Counter::default() },
            pool: Pool::default(),
            usual: target / 6.0,
            spare_relays: 5.0,
            pressed_until: now,
        }
    }

    /// Changed lines of the roster.
    pub fn roster_changed(&mut self, now: Moment, entries: impl Iterator<Item = Entry>) {
        self.now = now;
        for entry in entries {
            let gap = self.usual;
            let server = self.servers.entry(entry.server).or_insert_with(|| Server {
                standing: entry.standing,
                rating: 1.0,
                zone: entry.zone,
                cell: entry.cell,
                started: None,
                out: 0.0,
                bound: 4.0,
                cut: now,
                heard: now,
                gap,
                failing: 0.0,
                tried: now,
                carried: (0.0, now),
                push: (0.0, now),
            });
            if entry.standing != Standing::Gone {
                if entry.started != server.started {
                    (server.started, server.failing) = (entry.started, 0.0);
                }
                server.rating = if entry.rating > 0.0 { entry.rating } else { 1.0 };
                (server.zone, server.cell) = (entry.zone, entry.cell);
            }
            server.standing = entry.standing;
        }
        self.work_off();
    }

    /// The whole roster; a server that it lacks is gone.
    pub fn roster_listed(&mut self, now: Moment, entries: impl Iterator<Item = Entry>) {
        self.servers.values_mut().for_each(|server| server.standing = Standing::Gone);
        self.roster_changed(now, entries);
    }

    /// The roster could not be had; the old one stands.
    pub fn roster_failed(&mut self, now: Moment) {
        self.now = now;
        self.host.follow_roster();
    }

    pub fn job_arrived(&mut self, now: Moment, arrival: Arrival) {
        self.now = now;
        let id = arrival.job;
        let (Some(band), Some(plan)) =
            (self.deployment.bands.get(arrival.band), self.deployment.plans.get(arrival.plan))
        else {
            return self.host.forfeit(id);
        };
        let target = now + band.target;
        let (limited, set_size) = (plan.in_window() > 0.0, f64::from(arrival.set_size.max(1)));
        let level = (if plan.rate > 0.0 { plan.burst } else { 0.0 }) / set_size;
        self.customers.entry(arrival.customer).or_insert_with(|| Customer {
            plan: arrival.plan,
            set_size,
            waiting: VecDeque::new(),
            window: 0,
            used: 0.0,
            told: 0.0,
            total: 0.0,
            carried: None,
            last: (0.0, 0.0),
            ask: None,
            looking: false,
            shut: now,
            lent: 0.0,
            alone: (level, now),
            // After a restart the own share may be spent already, so it starts empty.
            ceiling: (0.0, now),
        });
        let stage = if limited { Stage::Held } else { Stage::Cleared };
        self.jobs.insert(id, Job { arrival, stage, target, relays: 0, server: 0, may_have_run: None });
        let latest = self.latest(&arrival, target);
        if latest <= now {
            return self.give_up(id, None);
        }
        self.host.wake(latest.since(now), id);
        if !limited {
            return self.dispatch(id);
        }
        self.roll(arrival.customer);
        let Some(customer) = self.customers.get_mut(&arrival.customer) else { return };
        customer.waiting.push_back(id);
        self.ask(arrival.customer);
    }

    /// When a relay must go out at the latest to be answered by its target time.
    fn latest(&self, arrival: &Arrival, target: Moment) -> Moment {
        // Answers take longer than usual as often as not: half as much again leaves most of them in time.
        const SLACK: f64 = 1.5;
        let by = target.min(arrival.abandon - self.deployment.tick - self.deployment.tick);
        // Never more than half the target time: else answers slow for any cause would end all relays, and with them
        // all news of answers being quick again.
        let most = self.deployment.bands[arrival.band].target.times(0.5);
        by - Span::from_secs(self.usual * SLACK).min(most)
    }

    /// Names a count; all gateways come to the same name from the same clock.
    fn window_of(&self, id: CustomerId, plan: usize) -> (u64, Moment) {
        let length = self.deployment.plans[plan].window().micros();
        // Windows of different customers begin at different times, so that held jobs don't come in herds.
        let phase = hashed(&[id]) % length;
        let index = (self.now.micros() + phase) / length;
        (index, Moment::from_micros(((index + 1) * length).saturating_sub(phase)))
    }

    /// Brings a customer's records into the present window.
    fn roll(&mut self, id: CustomerId) {
        let Some(plan) = self.customers.get(&id).map(|customer| customer.plan) else { return };
        let (window, _) = self.window_of(id, plan);
        let plan = &self.deployment.plans[plan];
        let Some(customer) = self.customers.get_mut(&id) else { return };
        if customer.window == window {
            return;
        }
        let base = plan.in_window();
        let seen = customer.total.max(customer.used);
        // A window that this gateway took no part in is known only once it is looked up.
        let known = customer.window + 1 == window;
        customer.last = (base + customer.carried.unwrap_or(0.0), if known { seen } else { 0.0 });
        if !known {
            customer.last.0 = base;
        }
        customer.carried = if plan.rate > 0.0 { None } else { Some(0.0) };
        customer.window = window;
        if plan.rate > 0.0 {
            customer.used = 0.0;
        }
        (customer.told, customer.total, customer.lent) = (0.0, 0.0, 0.0);
        (customer.shut, customer.looking) = (self.now, false);
    }

    /// Carries the units of a customer's held jobs to its count, one call at a time.
    fn ask(&mut self, id: CustomerId) {
        let alone = self.deployment.has_counter && !self.counter.failing;
        if !alone {
            self.judge_alone(id);
        }
        if !self.deployment.has_counter {
            return;
        }
        const TRIED_ANEW: Span = Span::from_millis(250);
        let now = self.now;
        let Some(customer) = self.customers.get_mut(&id) else { return };
        let plan = &self.deployment.plans[customer.plan];
        if customer.ask.is_some() || (self.counter.failing && now.since(self.counter.tried) < TRIED_ANEW) {
            return;
        }
        let open = now >= customer.shut;
        let mut asked = 0.0;
        let mut jobs = Vec::new();
        customer.waiting.retain(|job| self.jobs.get(job).is_some_and(|job| job.stage == Stage::Held));
        let most = if plan.rate > 0.0 { plan.burst } else { plan.relays_out };
        for job in customer.waiting.iter().filter(|_| open) {
            let cost = plan.cost(self.jobs[job].arrival.units);
            if asked > 0.0 && asked + cost > most {
                break;
            }
            asked += cost;
            jobs.push(*job);
        }
        let amount = customer.used - customer.told + asked;
        // What was asked for and not used is taken back even when shut: else other gateways see no room.
        if jobs.is_empty() && amount.abs() < 0.01 {
            return self.hold(id);
        }
        let name = hashed(&[id, customer.window, 0]);
        let keep = Span::from_micros(plan.window().micros().saturating_mul(3).min(60_000_000));
        customer.ask = Some(Ask { jobs, amount, window: customer.window, total: None, sent: now });
        self.callers.insert(name, id);
        self.counter.tried = now;
        self.host.add(name, amount, keep);
        self.host.wake(self.call_patience(), CUSTOMER_MARK + id);
    }

    /// A call out for longer is unusually slow: the same accrual as for servers.
    fn call_patience(&self) -> Span {
        Span::from_secs(self.counter.usual * Server::UNUSUAL) + self.deployment.tick
    }

    /// A total came back, or word that none will.
    pub fn counted(&mut self, now: Moment, name: CountName, total: Option<f64>, fate: Fate) {
        self.now = now;
        if self.pool.draw.as_ref().is_some_and(|draw| draw.0 == name) {
            return self.drawn(total);
        }
        let Some(id) = self.callers.remove(&name) else { return };
        self.roll(id);
        let Some(customer) = self.customers.get_mut(&id) else { return };
        if name != hashed(&[id, customer.ask.as_ref().map_or(0, |ask| ask.window), 0]) {
            // The last window's count, looked up.
            if let Some(total) = total.filter(|_| customer.looking) {
                let plan = &self.deployment.plans[customer.plan];
                let unused = (customer.last.0 - total.max(customer.last.1)).max(0.0);
                let most = (plan.burst - plan.in_window()).max(0.0);
                customer.carried = Some(unused.min(most));
            } else {
                customer.carried = Some(0.0);
            }
            customer.looking = false;
            return self.settle(id);
        }
        let Some(ask) = customer.ask.as_mut() else { return };
        let present = ask.window == customer.window;
        let took = now.since(ask.sent).secs();
        let Some(total) = total else {
            // What may have been added counts as added: the count then says too little, never too much.
            if fate == Fate::TimedOut && present {
                customer.told += ask.amount;
            }
            customer.ask = None;
            self.counter.failing = true;
            return self.judge_alone(id);
        };
        self.counter.failing = false;
        self.counter.usual += 0.05 * (took - self.counter.usual);
        if !present {
            customer.ask = None;
            return self.ask(id);
        }
        customer.told += ask.amount;
        // A count below what this gateway alone added has been forgotten, for any cause: it is told anew.
        if total < customer.told - 0.01 {
            customer.told = total;
        }
        let plan = &self.deployment.plans[customer.plan];
        if customer.total <= 0.0 && total <= ask.amount + 0.01 && plan.rate > 0.0 {
            // First gateway into the window: half of the last one's shortfall is lent, a second's part at a time.
            const LENT: f64 = 0.5;
            let shortfall = (customer.last.0 - customer.last.1).max(0.0);
            customer.lent = LENT * shortfall.min(customer.last.0) / plan.window().secs();
        }
        customer.total = customer.total.max(total);
        ask.total = Some(total);
        self.settle(id);
    }

    /// Gives the room that a total leaves to the jobs that asked, in their order.
    fn settle(&mut self, id: CustomerId) {
        let Some(customer) = self.customers.get_mut(&id) else { return };
        let plan = &self.deployment.plans[customer.plan];
        let Some(total) = customer.ask.as_ref().and_then(|ask| ask.total) else { return };
        if total > plan.in_window() && customer.carried.is_none() {
            if !customer.looking {
                customer.looking = true;
                let name = hashed(&[id, customer.window - 1, 0]);
                self.callers.insert(name, id);
                self.host.add(name, 0.0, POOL_WINDOW);
            }
            return;
        }
        let Some(ask) = customer.ask.take() else { return };
        let jobs = &self.jobs;
        let held = |id: &JobId| jobs.get(id).filter(|job| job.stage == Stage::Held);
        let asked: f64 = ask.jobs.iter().filter_map(held).map(|job| plan.cost(job.arrival.units)).sum();
        let mut room = plan.in_window() + customer.carried.unwrap_or(0.0) - (total - asked);
        let mut granted = Vec::new();
        for job in ask.jobs.iter().filter_map(held) {
            let cost = plan.cost(job.arrival.units);
            if cost <= room {
                room -= cost;
                granted.push(job.arrival.job);
            }
        }
        let short = granted.len() < ask.jobs.iter().filter_map(held).count();
        for job in granted {
            self.grant(job);
        }
        let Some(customer) = self.customers.get_mut(&id) else { return };
        if short {
            let plan = customer.plan;
            let (_, next) = self.window_of(id, plan);
            // A plan by relays out has room again as soon as one ends: after about a usual answer.
            let by_rate = self.deployment.plans[plan].rate > 0.0;
            let spread = Span::from_secs(self.usual * 0.5 * self.chance());
            let again =
                if by_rate { next + spread } else { self.now + Span::from_secs(self.usual * 0.25) + spread };
            if let Some(customer) = self.customers.get_mut(&id) {
                customer.shut = again;
            }
            self.host.wake(again.since(self.now), CUSTOMER_MARK + id);
            return self.ask(id);
        }
        let by_slots = self.deployment.plans[customer.plan].rate <= 0.0;
        if !customer.waiting.is_empty() || (by_slots && (customer.used - customer.told).abs() > 0.01) {
            self.ask(id);
        }
    }

    /// What a shut window leaves to held jobs: a soft plan draws on the pool, and who would wait in vain goes now.
    fn hold(&mut self, id: CustomerId) {
        let Some(customer) = self.customers.get_mut(&id) else { return };
        let plan = &self.deployment.plans[customer.plan];
        let (soft, window, shut) = (plan.soft(), plan.window(), customer.shut);
        let (per_window, by_rate) = (plan.in_window().max(1.0), plan.rate > 0.0);
        let waiting: Vec<JobId> = customer.waiting.iter().copied().collect();
        let mut ahead = 0.0;
        for id in waiting {
            let Some(job) = self.jobs.get(&id).filter(|job| job.stage == Stage::Held) else { continue };
            ahead += if by_rate { job.arrival.units } else { 0.0 };
            let turn = shut + window.times(((ahead - job.arrival.units) / per_window).floor().max(0.0));
            if soft && self.now >= self.pressed_until {
                if !self.pool.waiting.contains(&id) {
                    self.pool.waiting.push(id);
                }
            } else if turn > self.latest(&job.arrival, job.target) {
                ahead -= if by_rate { job.arrival.units } else { 0.0 };
                self.give_up(id, Some(turn.since(self.now)));
            }
        }
        self.draw();
    }

    /// Draws the units of soft customers' jobs past their allowance from the present pool.
    fn draw(&mut self) {
        if self.pool.draw.is_some() || self.pool.waiting.is_empty() {
            return;
        }
        let name = self.pool_name(0);
        let jobs: Vec<JobId> = std::mem::take(&mut self.pool.waiting);
        let jobs: Vec<JobId> = jobs
            .into_iter()
            .filter(|id| self.jobs.get(id).is_some_and(|job| job.stage == Stage::Held))
            .collect();
        let units: f64 = jobs.iter().map(|id| self.jobs[id].arrival.units).sum();
        if jobs.is_empty() {
            return;
        }
        let back = if self.pool.back.0 == name { self.pool.back.1 } else { 0.0 };
        self.pool.back = (name, 0.0);
        self.pool.draw = Some((name, units, jobs));
        self.host.add(name, back - units, POOL_WINDOW + POOL_WINDOW + POOL_WINDOW);
    }

    fn drawn(&mut self, total: Option<f64>) {
        let Some((name, units, jobs)) = self.pool.draw.take() else { return };
        let mut room = units + total.map_or(-units, |total| total.min(0.0));
        for id in jobs {
            let Some(job) = self.jobs.get(&id).filter(|job| job.stage == Stage::Held) else { continue };
            let (arrival, target) = (job.arrival, job.target);
            if arrival.units <= room {
                room -= arrival.units;
                if let Some(job) = self.jobs.get_mut(&id) {
                    job.stage = Stage::Cleared;
                }
                self.dispatch(id);
            } else if let Some(customer) = self.customers.get(&arrival.customer) {
                let shut = customer.shut;
                if shut > self.latest(&arrival, target) {
                    self.give_up(id, Some(shut.since(self.now)));
                }
            }
        }
        if total.is_some() {
            self.pool.back = (name, room.max(0.0));
        }
        self.draw();
    }

    fn pool_name(&self, ahead: u64) -> CountName {
        hashed(&[self.now.micros() / POOL_WINDOW.micros() + ahead, 1])
    }

    /// Judges held jobs by this gateway's own share, while the counter is not to be had.
    fn judge_alone(&mut self, id: CustomerId) {
        let Some(customer) = self.customers.get_mut(&id) else { return };
        let plan = &self.deployment.plans[customer.plan];
        let share = 1.0 / customer.set_size;
        let by_rate = plan.rate > 0.0;
        customer.alone = filled(customer.alone, plan.rate * share, plan.burst * share, self.now);
        let mut room =
            if by_rate { customer.alone.0 } else { (plan.relays_out * share).max(1.0) - customer.used };
        let jobs: Vec<JobId> = customer.waiting.iter().copied().collect();
        for job in jobs {
            let Some(held) = self.jobs.get(&job).filter(|job| job.stage == Stage::Held) else { continue };
            let cost = if by_rate { held.arrival.units } else { 1.0 };
            if cost <= room {
                room -= cost;
                self.grant(job);
            }
        }
        const AGAIN: Span = Span::from_millis(100);
        if self.customers.get(&id).is_some_and(|customer| !customer.waiting.is_empty()) {
            self.host.wake(AGAIN, CUSTOMER_MARK + id);
        }
    }

    /// A held job has room in its quota.
    fn grant(&mut self, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.stage = Stage::Cleared;
        let arrival = job.arrival;
        if let Some(customer) = self.customers.get_mut(&arrival.customer) {
            let plan = &self.deployment.plans[customer.plan];
            customer.used += plan.cost(arrival.units);
            customer.waiting.retain(|waiting| *waiting != id);
            let share = 1.0 / customer.set_size;
            customer.alone = filled(customer.alone, plan.rate * share, plan.burst * share, self.now);
            customer.alone.0 = (customer.alone.0 - arrival.units).max(0.0);
        }
        self.dispatch(id);
    }

    /// Sends a cleared job on, if its customer's ceiling and some server have room for it.
    fn dispatch(&mut self, id: JobId) {
        let Some(job) = self.jobs.get(&id) else { return };
        let (arrival, first) = (job.arrival, job.relays == 0);
        let latest = self.latest(&arrival, job.target);
        let tick = self.deployment.tick;
        let patience = (arrival.abandon - tick - tick).since(self.now);
        if patience <= tick {
            return self.give_up(id, None);
        }
        if let (true, Some(ceiling), Some(customer)) =
            (first, self.deployment.plans[arrival.plan].ceiling, self.customers.get_mut(&arrival.customer))
        {
            // Rule 5: an equal share of the ceiling is safe whatever the counter and the other gateways do; a little
            // less than it covers rounding.
            let share = 0.999 / customer.set_size;
            let most = (ceiling.burst + ceiling.slack) * share;
            customer.ceiling = filled(customer.ceiling, ceiling.rate * share, most, self.now);
            let short = arrival.units - customer.ceiling.0;
            if short > 0.0 {
                let wait = Span::from_secs(short / (ceiling.rate * share)) + tick;
                if self.now + wait > latest {
                    return self.give_up(id, Some(wait));
                }
                return self.host.wake(wait, id);
            }
        }
        let Some(server) = self.choose(id) else {
            const PRESSED: Span = Span::from_millis(1_000);
            self.pressed_until = self.now + PRESSED;
            self.backlog.push_back(id);
            return self.host.wake(latest.since(self.now), id);
        };
        if let (true, Some(customer)) = (first, self.customers.get_mut(&arrival.customer)) {
            customer.ceiling.0 -= arrival.units;
            self.spare_relays = (self.spare_relays + 0.15).min(20.0);
        }
        let (now, usual) = (self.now, self.usual);
        let Some(to) = self.servers.get_mut(&server) else { return };
        if to.out <= 0.0 {
            to.heard = now;
        }
        to.out += 1.0;
        to.tried = now;
        to.push.0 += arrival.units;
        let check = to.silence_ends(usual).since(now) + tick;
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.stage = Stage::Out(now);
        job.server = server;
        job.relays += 1;
        self.host.relay(id, server, patience);
        self.host.wake(check, id);
    }

    /// The first server in the customer's fixed ranking that does not have enough.
    fn choose(&mut self, id: JobId) -> Option<ServerId> {
        /// How far above the even part a server's relays may go before the next in rank is taken.
        const UNEVEN: f64 = 1.25;
        const TRIAL: Span = Span::from_millis(500);
        let job = self.jobs.get(&id)?;
        let (now, usual, cold) = (self.now, self.usual, self.deployment.cold);
        let repeat = self.deployment.bands[job.arrival.band].repeat;
        let ready = |server: &&mut Server| server.standing == Standing::Ready;
        let (mut out, mut rating, mut warm, mut carried) = (0.0, 0.0, 0.0, 0.0);
        for server in self.servers.values_mut().filter(ready) {
            if !server.unwell(now, usual) {
                out += server.out;
                rating += server.rating;
            }
            if server.started.is_none_or(|started| now.since(started) > cold.warm_after) {
                warm += server.rating;
                carried += decayed(server.carried, now);
            }
        }
        let origin = job.may_have_run.and_then(|(since, server)| Some((since, self.servers.get(&server)?)));
        let origin = origin.map(|(since, server)| (since, server.zone, server.cell));
        let allowed = |server: &Server| match (repeat, origin) {
            (_, None) | (Repeat::Pure, _) => true,
            (Repeat::Effectful, Some(_)) => false,
            (Repeat::Receipted(group, window), Some((since, zone, cell))) => {
                let same = match group {
                    Group::All => true,
                    Group::Zone => server.zone == zone,
                    Group::Cell => server.cell == cell,
                };
                same && now.since(since) < window
            }
        };
        let mut best: Option<(u64, ServerId)> = None;
        for (&server_id, server) in
            self.servers.iter_mut().filter(|(_, server)| server.standing == Standing::Ready)
        {
            let even = (UNEVEN * (out + 1.0) * server.rating / rating.max(server.rating)).ceil();
            if !allowed(server) || (job.relays > 0 && job.server == server_id) {
                continue;
            }
            if server.unwell(now, usual) {
                // One relay at a time now and then shows whether it is well again.
                if server.out > 0.0 || now.since(server.tried) < TRIAL || repeat != Repeat::Pure {
                    continue;
                }
            } else if server.out >= even.min(server.bound) {
                continue;
            }
            if let Some(age) =
                server.started.map(|started| now.since(started)).filter(|age| *age <= cold.warm_after)
            {
                // Rule 4: a cold server gets no more than a safe part of what warm ones are seen to carry. Half is
                // kept back for slower machines and uneven work, and a burst of half the span counts on top.
                const KEPT_BACK: f64 = 0.5;
                let warmth = cold.share + (1.0 - cold.share) * age.secs() / cold.warm_after.secs().max(0.001);
                let each = carried / warm.max(0.001) * server.rating;
                let rate = KEPT_BACK * cold.fall_multiple * warmth * each;
                let left = server.push.0 - rate * now.since(server.push.1).secs();
                server.push = (left.max(0.0), now);
                if rate <= 0.0
                    || (left > 0.0 && left + job.arrival.units > rate * cold.fall_span.secs() / 2.0)
                {
                    continue;
                }
            }
            let rank = hashed(&[job.arrival.customer, u64::from(server_id)]);
            if best.is_none_or(|best| rank > best.0) {
                best = Some((rank, server_id));
            }
        }
        best.map(|best| best.1)
    }

    /// How a relay ended.
    pub fn relay_ended(&mut self, now: Moment, end: RelayEnd) {
        self.now = now;
        let job = self
            .jobs
            .get(&end.job)
            .filter(|job| matches!(job.stage, Stage::Out(_)) && job.server == end.server);
        let units = job.map_or(1.0, |job| job.arrival.units);
        let target = job.map_or(1.0, |job| self.deployment.bands[job.arrival.band].target.secs());
        self.learn(&end, units, target);
        if let Some(job) = self.jobs.get_mut(&end.job) {
            let Stage::Out(sent) = job.stage else { return self.work_off() };
            job.stage = Stage::Cleared;
            let unrun = matches!(end.fate, Fate::Full | Fate::ConnectFailed | Fate::Moot);
            if !unrun && job.may_have_run.is_none() {
                job.may_have_run = Some((sent, end.server));
            }
            let (arrival, target, relays) = (job.arrival, job.target, job.relays);
            if end.settled || end.fate == Fate::Satisfied {
                self.forget(end.job);
            } else if relays < self.deployment.most_relays
                && (self.spare_relays >= 1.0 || end.fate == Fate::ConnectFailed)
                && now < self.latest(&arrival, target)
            {
                self.spare_relays = (self.spare_relays - 1.0).max(0.0);
                let backlog = self.backlog.len();
                self.dispatch(end.job);
                // A job that no server may repeat now has nothing to wait for.
                if self.backlog.len() > backlog && self.deployment.bands[arrival.band].repeat != Repeat::Pure
                {
                    self.give_up(end.job, None);
                }
            } else {
                self.give_up(end.job, None);
            }
        }
        self.work_off();
    }

    /// Takes what a relay's end tells of its server.
    fn learn(&mut self, end: &RelayEnd, units: f64, target: f64) {
        let (now, took) = (self.now, end.took.secs());
        let Some(server) = self.servers.get_mut(&end.server) else { return };
        server.out = (server.out - 1.0).max(0.0);
        match end.fate {
            Fate::Satisfied => {
                server.gap += 0.1 * (now.since(server.heard).secs() - server.gap);
                server.heard = now;
                server.failing *= 0.9;
                server.carried = (decayed(server.carried, now) + units / CARRIED_OVER, now);
                self.usual += 0.02 * (took - self.usual);
                // Slow answers, whatever slows them, cut what it gets at once; quick ones while it is full raise it.
                if took > 0.6 * target && now.since(server.cut).secs() > took {
                    server.bound = (server.bound * 0.85).max(1.0);
                    server.cut = now;
                } else if took < 0.4 * target && server.out + 2.0 > server.bound {
                    server.bound += 1.0 / server.bound;
                }
            }
            Fate::Full => {
                server.heard = now;
                if now.since(server.cut).secs() > self.usual {
                    server.bound = (server.bound * 0.7).max(1.0);
                    server.cut = now;
                }
            }
            Fate::Error | Fate::Reset | Fate::ConnectFailed | Fate::TimedOut => {
                server.failing += 0.3 * (1.0 - server.failing);
            }
            Fate::Withdrawn | Fate::Moot => {}
        }
    }

    /// Sends on what waits for a server, as far as there is room.
    fn work_off(&mut self) {
        for _ in 0..self.backlog.len() {
            let Some(id) = self.backlog.pop_front() else { return };
            if !self.jobs.get(&id).is_some_and(|job| job.stage == Stage::Cleared) {
                continue;
            }
            if self.choose(id).is_none() {
                self.backlog.push_front(id);
                return;
            }
            self.dispatch(id);
        }
    }

    /// A streamed answer has begun; the job is the client's now.
    pub fn answer_began(&mut self, now: Moment, job: JobId, server: ServerId) {
        self.now = now;
        if let Some(server) = self.servers.get_mut(&server) {
            server.heard = now;
        }
        self.forget(job);
    }

    /// The client has gone; nothing is owed.
    pub fn job_abandoned(&mut self, now: Moment, job: JobId) {
        self.now = now;
        self.forget(job);
    }

    fn forget(&mut self, id: JobId) {
        let Some(job) = self.jobs.remove(&id) else { return };
        let arrival = job.arrival;
        let Some(customer) = self.customers.get_mut(&arrival.customer) else { return };
        customer.waiting.retain(|waiting| *waiting != id);
        let by_rate = self.deployment.plans[customer.plan].rate > 0.0;
        if job.stage != Stage::Held && self.deployment.plans[customer.plan].in_window() > 0.0 {
            if !by_rate {
                // A relay out has ended: its place goes back to the count, or to the next that waits.
                customer.used = (customer.used - 1.0).max(0.0);
                customer.shut = self.now;
                self.roll(arrival.customer);
                self.ask(arrival.customer);
            } else if job.relays == 0 {
                customer.used = (customer.used - arrival.units).max(0.0);
            }
        }
    }

    /// The final answer to a job with no relay out: a dismissal where a retry is harmless, else a forfeit.
    fn give_up(&mut self, id: JobId, room_after: Option<Span>) {
        let Some(job) = self.jobs.get(&id) else { return };
        let harmless = match self.deployment.bands[job.arrival.band].repeat {
            Repeat::Pure | Repeat::Receipted(Group::All, _) => true,
            Repeat::Receipted(..) | Repeat::Effectful => job.may_have_run.is_none(),
        };
        if harmless {
            let hold_off = self.deployment.longest_hold_off.and_then(|most| Some(room_after?.min(most)));
            self.host.dismiss(id, hold_off);
        } else {
            self.host.forfeit(id);
        }
        self.forget(id);
    }

    /// A timer has come due.
    pub fn woken(&mut self, now: Moment, mark: u64) {
        self.now = now;
        if mark == POOL_MARK {
            self.lend();
        } else if mark >= CUSTOMER_MARK {
            self.reconsider(mark - CUSTOMER_MARK);
        } else if let Some(job) = self.jobs.get(&mark) {
            let (stage, arrival, target, server) = (job.stage, job.arrival, job.target, job.server);
            match stage {
                Stage::Held | Stage::Cleared if now >= self.latest(&arrival, target) => {
                    self.give_up(mark, None)
                }
                Stage::Cleared if !self.backlog.contains(&mark) => self.dispatch(mark),
                Stage::Held | Stage::Cleared => {
                    self.host.wake(self.latest(&arrival, target).since(now), mark);
                }
                Stage::Out(_) => self.check(mark, server),
            }
        }
    }

    /// Takes a job back from a server that has gone silent, while another could still answer in time.
    fn check(&mut self, id: JobId, server: ServerId) {
        let (Some(job), Some(server)) = (self.jobs.get(&id), self.servers.get(&server)) else { return };
        let repeatable = match self.deployment.bands[job.arrival.band].repeat {
            Repeat::Pure => true,
            Repeat::Receipted(group, _) => group == Group::All,
            Repeat::Effectful => false,
        };
        let in_time = self.now < self.latest(&job.arrival, job.target);
        if !repeatable
            || !in_time
            || !self.deployment.may_withdraw
            || job.relays >= self.deployment.most_relays
        {
            return;
        }
        let ends = server.silence_ends(self.usual);
        if self.now <= ends {
            return self.host.wake(ends.since(self.now) + self.deployment.tick, id);
        }
        if self.spare_relays >= 1.0 {
            self.host.withdraw(id, job.relays - 1);
        }
    }

    /// A customer's held jobs are asked for again, and a call that takes unusually long is not waited for.
    fn reconsider(&mut self, id: CustomerId) {
        self.roll(id);
        let patience = self.call_patience();
        let Some(customer) = self.customers.get_mut(&id) else { return };
        if let Some(ask) = &customer.ask {
            if self.now.since(ask.sent) >= patience {
                self.counter.failing = true;
                self.judge_alone(id);
            }
            return;
        }
        self.ask(id);
    }

    /// Adds to the next pool what customers left unused; lent room must not reach a pressed back end.
    fn lend(&mut self) {
        let lent: f64 = self.customers.values().map(|customer| customer.lent).sum();
        if lent > 0.0 && self.now >= self.pressed_until && !self.counter.failing {
            self.host.add(
                self.pool_name(1),
                lent * POOL_WINDOW.secs(),
                POOL_WINDOW + POOL_WINDOW + POOL_WINDOW,
            );
        }
        self.host.wake(POOL_WINDOW, POOL_MARK);
    }

    /// An even chance between 0 and 1.
    fn chance(&mut self) -> f64 {
        self.drawn += 1;
        let drawn = hashed(&[self.seed, u64::from(self.deployment.own_index), self.drawn]);
        (drawn >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// Spans the mean of what a server carries.
const CARRIED_OVER: f64 = 3.0;

fn decayed(level: (f64, Moment), now: Moment) -> f64 {
    level.0 * (-now.since(level.1).secs() / CARRIED_OVER).exp()
}
