//! The decisions of a gateway: create one with [`Gateway::start`] and report each event to it with the current
//! time; it acts through its [`Host`]. The interface is in `host.rs`, the state it keeps in `state.rs`.

use crate::chance::{hashed, Chance};
use crate::host::{Arrival, CounterKey, CustomerId, Deployment, Host, JobId, Outcome, RosterEntry};
use crate::host::{ConditionalAdd, Health, Plan, RelayEnd, ServerId, JOB_ID_LIMIT};
use crate::state::{self, Ask, Counter, Customer, Fleet, Job, Level, Pool, Server, Stage, Step};
use crate::time::{Moment, Span};
use fennelgauge_spread::{Candidate, RelayRate, RingPosition};
use std::collections::BTreeMap;

/// The lent room of all customers is pooled by this span; the design's window of about a second.
const POOL_WINDOW: Span = Span::from_millis(1_000);
/// A pool is filled a window ahead and may be drawn from to the end of its own.
const POOL_KEPT: Span = Span::from_millis(3_000);
/// As long as a counter keeps names; three windows of any plan at least.
const COUNTS_KEPT: Span = Span::from_millis(60_000);
/// For so long after a call had to wait the gateways count among themselves, where they can.
const SPARED: Span = Span::from_millis(2_000);
/// Marks of timers: a job's is its id, which is below this; a customer's is its id above this.
const CUSTOMER_MARK: u64 = JOB_ID_LIMIT;
const CALLS_MARK: u64 = u64::MAX;
const BACKLOG_MARK: u64 = u64::MAX - 1;
/// Relays at a server, and calls, that all gateways begin with in all: what a small machine works on at once.
const FEW: f64 = 12.0;
/// Counts hold sums of rounded figures; less than this is no difference.
const NOTHING: f64 = 0.01;
/// Accrual: a silence of this many usual gaps is unusual; about 1 in 400 if gaps were exponential.
const UNUSUAL: f64 = 6.0;
/// Spans the mean of what a server carries, in seconds: some windows, less than a cold start.
const CARRIED_OVER: f64 = 3.0;

/// Where less than one at a time is allowed, how long to rest after one that took so long.
fn rest(took: Span, bound: f64) -> Span {
    took.times((1.0 / bound - 1.0).max(0.0))
}

pub struct Gateway<H> {
    pub host: H,
    deployment: Deployment,
    now: Moment,
    started: Moment,
    chance: Chance,
    servers: BTreeMap<ServerId, Server>,
    fleet: Fleet,
    customers: BTreeMap<CustomerId, Customer>,
    jobs: BTreeMap<JobId, Job>,
    /// Who awaits a total by a name.
    callers: BTreeMap<CounterKey, CustomerId>,
    counter: Counter,
    pool: Pool,
}

impl Plan {
    /// Half of what fills the burst, so that an unused window leaves the whole burst; a second at least.
    /// A plan by relays out has no windows; its counts begin anew so that what a dead gateway held is let go.
    fn window(&self) -> Span {
        const ANEW: f64 = 10.0;
        let length = if self.is_rate_limited() { self.burst / self.rate / 2.0 } else { ANEW };
        Span::from_secs(length).clamp(POOL_WINDOW, COUNTS_KEPT.times(1.0 / 3.0))
    }

    fn in_window(&self) -> f64 {
        self.rate * self.window().secs()
    }

    /// Units a second and at once. Relays out make room as answers come, so a cap on them is a pace as well.
    fn pace(&self, usual: f64) -> (f64, f64) {
        if self.is_rate_limited() {
            (self.rate, self.burst)
        } else {
            (self.max_concurrent_relays / usual.max(0.001), self.max_concurrent_relays)
        }
    }

    /// A count that holds this much more also holds what the burst lacked at the window's start.
    fn mark(&self) -> f64 {
        // Far above what a window's jobs add up to, and little enough for seven digits to tell units apart.
        const FAR: f64 = 256.0;
        FAR * (self.burst + self.in_window())
    }
}

impl Server {
    /// Slow or turned away, from any cause: it gets less, but is not cut twice for one backlog.
    fn cut(&mut self, to: f64, now: Moment, apart: f64, least: f64) {
        if now.since(self.cut).secs() > apart {
            self.bound = (self.bound * to).max(least);
            self.cut = now;
        }
    }

    /// Silent for unusually long or failing more often than not, from any cause: crash, cut, bad build, hang.
    fn unwell(&self, now: Moment, usual: f64) -> bool {
        let silence = Span::from_secs(self.gap.max(usual / 2.0) * UNUSUAL);
        self.failing > 0.5 || (self.out > 0.0 && now > self.heard + silence)
    }
}

impl<H: Host> Gateway<H> {
    pub fn start(now: Moment, mut host: H, deployment: Deployment, seed: u64) -> Self {
        if deployment.subscribe_to_roster {
            host.subscribe_to_roster();
        }
        // Initial estimates: a fraction of the tightest target for answers, a few ticks for counter calls.
        let target = deployment.classes.iter().map(|band| band.latency_target.secs()).fold(10.0, f64::min);
        let usual = (deployment.tick.secs() * 4.0).max(0.005);
        let bound = FEW / f64::from(deployment.gateway_count);
        let pace = RelayRate::new(now.secs());
        let mut fleet = Fleet { bound: bound / 2.0, spare: 5.0, pace, ..Fleet::default() };
        (fleet.usual, fleet.units, fleet.calm, fleet.slow) = (target / 6.0, 1.0, 0.12, 0.12);
        Self {
            host,
            now,
            chance: Chance::new(seed, deployment.own_index),
            counter: Counter { usual, bound, ..Counter::default() },
            deployment,
            servers: BTreeMap::new(),
            fleet,
            customers: BTreeMap::new(),
            jobs: BTreeMap::new(),
            callers: BTreeMap::new(),
            pool: Pool::default(),
            started: now,
        }
    }

    pub fn roster_changed(&mut self, now: Moment, entries: impl Iterator<Item = RosterEntry>) {
        self.now = now;
        // Where all are replaced at once none is warm, and the cold ones would get nothing: what the last
        // warm ones carried stays known.
        self.fleet.carried = self.carried().unwrap_or(self.fleet.carried);
        for mut entry in entries {
            let (usual, bound) = (self.fleet.usual, FEW / f64::from(self.deployment.gateway_count));
            // Rule 4: all gateways would send a cold server their first job at once: chance sets them apart.
            let push = Level { amount: self.fleet.units * self.chance.draw(), at: now };
            let server = self.servers.entry(entry.server).or_insert_with(|| Server {
                entry,
                bound,
                heard: now,
                gap: usual,
                push,
                ..Server::default()
            });
            if entry.health == Health::Gone {
                server.entry.health = Health::Gone;
                continue;
            }
            if entry.started != server.entry.started {
                (server.failing, server.push) = (0.0, push);
            }
            entry.rating = if entry.rating > 0.0 { entry.rating } else { 1.0 };
            server.entry = entry;
        }
        // Servers replaced without end, from any cause, would fill the memory and every ranking.
        self.servers.retain(|_, server| !server.is_past(now, COUNTS_KEPT));
        self.fleet.roster += 1;
        // A fleet that shrinks, for any cause, must not get what the whole one could bear.
        self.fleet.ready = self.servers.values().filter(|server| server.ready()).count() as f64;
        self.work_off();
    }

    /// The whole roster; a server that it lacks is gone.
    pub fn roster_replaced(&mut self, now: Moment, entries: impl Iterator<Item = RosterEntry>) {
        self.fleet.carried = self.carried().unwrap_or(self.fleet.carried);
        self.servers.values_mut().for_each(|server| server.entry.health = Health::Gone);
        self.roster_changed(now, entries);
    }

    pub fn job_arrived(&mut self, now: Moment, arrival: Arrival) {
        self.now = now;
        let (id, set_size) = (arrival.job, f64::from(arrival.gateway_set_size.max(1)));
        let (bands, plans) = (&self.deployment.classes, &self.deployment.plans);
        let (Some(band), Some(plan)) = (bands.get(arrival.class), plans.get(arrival.plan)) else {
            return self.host.fail(id);
        };
        let (target, limited, cost) = (now + band.latency_target, plan.has_quota(), plan.cost(&arrival));
        // Rule 5: an equal share of the ceiling is safe whatever others do; a little less for rounding. After
        // a restart it may be spent already, so it fills from then on.
        let share = 0.999 / set_size;
        let ceiling = plan.ceiling.map(|it| (it.rate * share, (it.burst + it.slack) * share));
        let spent = Level { amount: ceiling.map_or(0.0, |it| it.1), at: self.started };
        // An unbounded number of customer ids would exhaust the memory of a long-running gateway.
        state::let_go(&mut self.customers, arrival.customer, now, COUNTS_KEPT);
        let fresh = || Customer { spent, ..Customer::default() };
        let customer = self.customers.entry(arrival.customer).or_insert_with(fresh);
        // Customers change their plans, and are served by other gateways: the latest job tells.
        (customer.plan, customer.ceiling) = (arrival.plan, ceiling);
        (customer.set_first, customer.set_size) = (arrival.first_gateway, set_size);
        customer.until = customer.until.max(arrival.abandon_at);
        customer.waiting.extend(limited.then_some(id));
        let stage = if limited { Stage::Held } else { Stage::Cleared };
        let job = Job { arrival, cost, stage, target, relays: 0, server: 0, may_have_run: None };
        let latest = self.latest(&job);
        self.jobs.insert(id, job);
        if latest <= now {
            return self.give_up(id, None);
        }
        self.host.set_timer(latest.since(now), id);
        if limited {
            self.ask(arrival.customer);
        } else {
            self.dispatch(id);
        }
    }

    /// When a relay must go out at the latest to be answered by its target time.
    fn latest(&self, job: &Job) -> Moment {
        // Answers take longer than usual as often as not: three times as long leaves nearly all in time.
        const SLACK: f64 = 3.0;
        let by = job.target.min(job.arrival.abandon_at - self.deployment.tick - self.deployment.tick);
        // At most half the target time: else answers slow for any cause would end all relays, and all news.
        let most = self.deployment.classes[job.arrival.class].latency_target.times(0.5);
        by - Span::from_secs(self.fleet.usual * SLACK).min(most)
    }

    fn held(&self, id: JobId) -> Option<&Job> {
        self.jobs.get(&id).filter(|job| job.stage == Stage::Held)
    }

    /// When a customer's allowance reaches a total. The window's units come in evenly, as use before that is
    /// beyond the quota. Half of the burst is there at first, or what the count itself tells was left of it.
    fn turn(&self, customer: &Customer, total: f64) -> Moment {
        let plan = &self.deployment.plans[customer.plan];
        let (rate, burst) = plan.pace(self.fleet.usual);
        if !plan.is_rate_limited() {
            return self.now + Span::from_secs((total - burst) / rate);
        }
        let at_first = if total >= plan.mark() { plan.mark() + burst } else { burst / 2.0 };
        customer.began + Span::from_secs((total - at_first) / rate)
    }

    /// Brings a customer's records into the present window; all gateways come to the same by the clock.
    fn roll(&mut self, id: CustomerId) {
        let Some(customer) = self.customers.get_mut(&id) else { return };
        let plan = &self.deployment.plans[customer.plan];
        let length = plan.window().micros();
        // Windows of different customers begin at different times, so that held jobs don't come in herds.
        let phase = hashed(&[id]) % length;
        let window = self.now.micros().saturating_add(phase) / length;
        if customer.window == window {
            return;
        }
        let follows = customer.window.wrapping_add(1) == window;
        let heard = if follows { customer.total } else { 0.0 };
        customer.unused = (plan.in_window() - heard).max(0.0);
        // What was judged alone and not told goes to the next window's count; relays out outlast windows.
        if plan.is_rate_limited() {
            let told = customer.told.max(customer.told_among);
            let told = told + customer.ask.as_ref().map_or(0.0, |ask| ask.amount);
            // Older debt shrinks by a window's refill: carried whole it would reject all jobs forever (no job, no call).
            let untold = if follows { (customer.used - told).max(0.0) } else { 0.0 };
            let before = customer.owed.min(untold);
            customer.used = untold - before.min(plan.in_window());
            customer.owed = customer.used;
        }
        (customer.told, customer.told_among, customer.total) = (0.0, 0.0, 0.0);
        customer.window = window;
        customer.began = Moment::from_micros(window.saturating_mul(length).saturating_sub(phase));
    }

    /// Carries the units of a customer's held jobs to its count, one call at a time.
    fn ask(&mut self, id: CustomerId) {
        self.roll(id);
        if !self.deployment.has_counter {
            self.judge_alone(id, false);
            if self.customers.get(&id).is_some_and(|customer| !customer.waiting.is_empty()) {
                self.host.set_timer(Span::from_secs(self.fleet.usual), CUSTOMER_MARK + id);
            }
            return;
        }
        let may_call = self.may_call();
        if !may_call {
            self.counter.spared = self.now + SPARED;
        }
        let spared = self.now < self.counter.spared;
        let Some(customer) = self.customers.get_mut(&id).filter(|known| known.ask.is_none()) else { return };
        // A soft plan's jobs all go without a count; an ask for them would only cost.
        let among =
            spared && !self.deployment.plans[customer.plan].free_overage() && self.host.peers_can_count();
        let (window, untold) = (customer.window, customer.used - *customer.told(among));
        let Some(customer) = self.customers.get(&id) else { return };
        let most = self.deployment.plans[customer.plan].pace(self.fleet.usual).1;
        let (mut asked, mut jobs, mut vain) = (0.0, Vec::new(), Vec::new());
        for job in customer.waiting.iter().filter_map(|job| self.held(*job)) {
            let total = customer.total + untold + asked + job.cost;
            let turn = self.turn(customer, total).max(customer.shut);
            if turn > self.latest(job) {
                vain.push((job.arrival.job, turn));
            } else if self.now >= customer.shut && (asked <= 0.0 || asked + job.cost <= most) {
                asked += job.cost;
                jobs.push((job.arrival.job, job.cost));
            }
        }
        self.turn_away(vain);
        // What was asked for and not used is taken back even when shut: else other gateways see no room.
        let amount = untold + asked;
        if jobs.is_empty() && amount > -NOTHING {
            return;
        }
        let benefit = jobs.iter().filter_map(|job| self.jobs.get(&job.0)).map(|job| self.place(job).0).max();
        let Some(customer) = self.customers.get_mut(&id) else { return };
        // A counter slow, full or silent, from any cause, must not drown in calls: past a bound they wait and
        // the jobs are counted among the gateways or, where these can't, judged alone meanwhile.
        if among || may_call {
            customer.ask = Some(Ask { jobs, amount, window, step: Step::Count, sent: self.now, among });
            return self.call(id, window, amount, among.then_some(asked));
        }
        if !std::mem::replace(&mut customer.queued, true) {
            self.counter.queue.insert((benefit.unwrap_or(0), self.now, id));
            self.host.set_timer(self.counter.rested.since(self.now), CALLS_MARK);
        }
        self.judge_alone(id, true);
    }

    fn may_call(&self) -> bool {
        self.counter.out < self.counter.bound.max(1.0) && self.now >= self.counter.rested
    }

    /// Adds to a count; `among` is for the gateways' own, and how much of the amount they may refuse.
    fn call(&mut self, id: CustomerId, window: u64, amount: f64, among: Option<f64>) {
        let name = hashed(&[id, window, 0]);
        self.callers.insert(name, id);
        if let Some(asked) = among {
            let wanted = self.wanted(id, asked).unwrap_or_default();
            return self.host.add_to_peer_count(name, amount - asked, wanted);
        }
        let counter = &mut self.counter;
        counter.out += 1.0;
        // With many gateways one call at a time of each is too many: it rests between calls.
        counter.rested = self.now.max(counter.rested) + rest(Span::from_secs(counter.usual), counter.bound);
        self.host.add_to_counter(name, amount, COUNTS_KEPT);
    }

    /// A total came back, or word that none will.
    pub fn counter_replied(&mut self, now: Moment, name: CounterKey, total: Option<f64>, outcome: Outcome) {
        self.now = now;
        if self.pool.draw.as_ref().is_some_and(|draw| draw.0 == name) {
            return self.drawn(total);
        }
        let Some(id) = self.callers.remove(&name) else { return };
        // One call in some twenty fails by these steps where the counter is the narrowest place. Up to what
        // it bore before failures in a row they are big: else an outage would keep calls away for minutes.
        let (bound, counter) = (self.counter.bound, &mut self.counter);
        counter.out -= 1.0;
        counter.bound = match total {
            Some(_) if bound < counter.borne => (bound * 2.0).min(counter.borne),
            Some(_) => bound + (0.1 / bound).min(bound * 0.02),
            None => (bound * 0.7).max(0.01),
        };
        let first = std::mem::replace(&mut counter.answers, total.is_some()) && total.is_none();
        counter.borne = if first { counter.bound } else { counter.borne };
        self.roll(id);
        self.answered(id, total, outcome);
        self.serve_callers();
    }

    /// The conditional part of a peer add: within what is free by now. One add passes half of the burst: that one goes.
    fn wanted(&self, id: CustomerId, amount: f64) -> Option<ConditionalAdd> {
        let customer = self.customers.get(&id).filter(|_| amount > 0.0)?;
        let plan = &self.deployment.plans[customer.plan];
        let came = plan.rate * self.now.since(customer.began).secs();
        if !plan.is_rate_limited() {
            let max_total = plan.max_concurrent_relays - 1.0;
            return Some(ConditionalAdd { amount, max_total, max_with_deficit: max_total });
        }
        let (max_total, max_with_deficit) = (plan.burst / 2.0 + came, plan.mark() + plan.burst + came);
        Some(ConditionalAdd { amount, max_total, max_with_deficit })
    }

    /// Handles a peer count's reply (total, and whether the conditional part was added), or `None` if none will come.
    pub fn peer_count_replied(&mut self, now: Moment, name: CounterKey, outcome: Option<(f64, bool)>) {
        self.now = now;
        let Some(id) = self.callers.remove(&name) else { return };
        if let (Some((_, false)), Some(customer)) = (outcome, self.customers.get_mut(&id)) {
            let refused = |ask: &mut Ask| ask.amount -= ask.jobs.iter().map(|job| job.1).sum::<f64>();
            customer.ask.iter_mut().filter(|ask| matches!(ask.step, Step::Count)).for_each(refused);
        }
        self.roll(id);
        // Unanswered, it goes on with the next sum, so that it counts as told.
        self.answered(id, outcome.map(|it| it.0), Outcome::TimedOut);
    }

    /// Lets customers that wait for a call have it, as far as calls may be made.
    fn serve_callers(&mut self) {
        while self.may_call() {
            let Some((.., next)) = self.counter.queue.pop_last() else { return };
            self.customers.entry(next).and_modify(|customer| customer.queued = false);
            self.ask(next);
        }
        if !self.counter.queue.is_empty() && self.counter.out < self.counter.bound.max(1.0) {
            self.host.set_timer(self.counter.rested.since(self.now), CALLS_MARK);
        }
    }

    fn answered(&mut self, id: CustomerId, total: Option<f64>, outcome: Outcome) {
        let Some(customer) = self.customers.get_mut(&id) else { return };
        let plan = &self.deployment.plans[customer.plan];
        let Some(mut ask) = customer.ask.take() else { return };
        if ask.window != customer.window {
            return self.ask(id);
        }
        let (mark, half, window, among) = (plan.mark(), plan.burst / 2.0, ask.window, ask.among);
        match (ask.step, total) {
            (Step::Count, None) => {
                // What may have been added counts as added: the count then says too little, never too much.
                *customer.told(among) += if outcome == Outcome::TimedOut { ask.amount } else { 0.0 };
                // Asked for again at once, jobs would stall a time-out each, and calls crowd what is slow.
                self.judge_alone(id, false);
                self.ask(id);
            }
            (Step::Count, Some(total)) => {
                *customer.told(among) += ask.amount;
                let (before, by_rate) = (total - ask.amount, plan.is_rate_limited());
                // A pause of this gateway looks like a slow call: four times as long as usual tells enough.
                let took = self.now.since(ask.sent).secs().min(self.counter.usual * 4.0);
                self.counter.usual += if among { 0.0 } else { 0.05 * (took - self.counter.usual) };
                // The first gateway into the window lends of what the last one left.
                let shortfall = if by_rate && before <= NOTHING { customer.unused } else { 0.0 };
                // Just one call takes the count past what is granted unseen: it looks the last window up, and
                // adds for all what the burst lacks at the start of this one.
                if by_rate && total < mark && total > half && before <= half {
                    ask.step = Step::LookUp(total);
                    customer.ask = Some(ask);
                    self.call(id, window.wrapping_sub(1), 0.0, among.then_some(0.0));
                } else {
                    self.settle(id, ask, total);
                }
                self.lend(shortfall);
            }
            (Step::LookUp(counted), total) => {
                // Of a window that none was told of, what it used stands for those before it.
                let last = total.unwrap_or(0.0);
                let lacked = if last >= mark { last - mark - plan.in_window() } else { last };
                let lacked = mark + lacked.clamp(0.0, plan.burst.max(0.0));
                ask.step = Step::Tell(counted + lacked);
                customer.ask = Some(ask);
                self.call(id, window, lacked, among.then_some(0.0));
            }
            (Step::Tell(counted), _) => self.settle(id, ask, counted),
        }
    }

    /// Tells the jobs that asked when their turn comes, in their order; those too late for it are let go.
    fn settle(&mut self, id: CustomerId, ask: Ask, total: f64) {
        let Some(customer) = self.customers.get(&id) else { return };
        let plan = &self.deployment.plans[customer.plan];
        let asked: f64 = ask.jobs.iter().map(|job| job.1).sum();
        let (mut ready, mut vain, mut late, mut position) = (Vec::new(), Vec::new(), false, total - asked);
        for &(job, cost) in &ask.jobs {
            let Some(held) = self.held(job) else { continue };
            let turn = self.turn(customer, position + cost);
            if turn <= self.now {
                position += cost;
                ready.push((job, cost));
            } else if turn > self.latest(held) {
                vain.push((job, turn));
            } else {
                late = true;
            }
        }
        // Asks in vain cost calls: they come the more seldom, down to the even part of what comes in.
        let even = asked.max(1.0) / plan.pace(self.fleet.usual).0;
        let Some(customer) = self.customers.get_mut(&id) else { return };
        customer.total = total;
        if late || (ready.is_empty() && !vain.is_empty()) {
            customer.apart =
                (customer.apart * 2.0).clamp(even, even * customer.set_size).min(plan.window().secs());
            customer.shut = self.now + Span::from_secs(customer.apart * (0.5 + self.chance.draw()));
            self.host.set_timer(customer.shut.since(self.now), CUSTOMER_MARK + id);
        } else if !ready.is_empty() {
            customer.apart /= 2.0;
        }
        self.grant(id, ready);
        self.turn_away(vain);
        self.ask(id);
    }

    /// Jobs whose turn would come too late: soft plans draw on the present pool by an add, the others go now.
    fn turn_away(&mut self, vain: Vec<(JobId, Moment)>) {
        let open = self.pool.draw.is_none() && self.now >= self.fleet.pressed_until;
        let (mut units, mut jobs) = (0.0, Vec::new());
        for (id, turn) in vain {
            // A place that another's end made free may have gone to it meanwhile.
            let Some(job) = self.jobs.get_mut(&id).filter(|job| job.ungranted()) else { continue };
            if open && self.deployment.plans[job.arrival.plan].free_overage() {
                job.stage = Stage::Drawing;
                units += job.cost;
                jobs.push(id);
            } else {
                self.give_up(id, Some(turn.since(self.now)));
            }
        }
        if units > 0.0 {
            let name = self.pool_name(0);
            self.pool.draw = Some((name, units, jobs));
            self.host.add_to_counter(name, -units, POOL_KEPT);
        }
    }

    fn pool_name(&self, ahead: u64) -> CounterKey {
        hashed(&[self.now.micros() / POOL_WINDOW.micros() + ahead, 1])
    }

    fn drawn(&mut self, total: Option<f64>) {
        let Some((_, units, jobs)) = self.pool.draw.take() else { return };
        let mut room = total.map_or(0.0, |total| units + total.min(0.0));
        for id in jobs {
            let Some(job) = self.jobs.get(&id).filter(|job| job.stage == Stage::Drawing) else { continue };
            if job.cost <= room {
                room -= job.cost;
                self.clear(id);
            } else {
                self.give_up(id, None);
            }
        }
    }

    /// Lends half of a customer's shortfall in the last window to the next pool. Sixteen gateways add in a
    /// pool window, each as seldom as it takes: else these calls alone would crowd a counter of many.
    fn lend(&mut self, shortfall: f64) {
        // Lent room must not reach a pressed back end.
        if self.now < self.fleet.pressed_until || !self.deployment.plans.iter().any(Plan::free_overage) {
            return;
        }
        self.pool.lent += shortfall / 2.0;
        if self.now >= self.pool.lends_at && self.pool.lent > 0.0 {
            let apart = (f64::from(self.deployment.gateway_count) / 16.0).max(1.0);
            self.pool.lends_at = self.now + POOL_WINDOW.times(apart);
            self.host.add_to_counter(self.pool_name(1), std::mem::take(&mut self.pool.lent), POOL_KEPT);
        }
    }

    /// Grants held jobs without a total from the counter, within this gateway's part of the quota. Where that part
    /// is far below one job, one goes as soon as those before it are paid off, unless servers lack capacity.
    /// With a counter, which is told of them later, all jobs of a plan with free overage go: overage costs nothing
    /// and this gateway's share of the ceiling bounds them. While the call is queued (`rationed`), a job larger than
    /// the part goes only if its overage costs less than the price: it fits at even odds, mostly for over-quota users.
    fn judge_alone(&mut self, id: CustomerId, rationed: bool) {
        let sharers = self.sharers(id);
        let Some(customer) = self.customers.get(&id) else { return };
        let plan = &self.deployment.plans[customer.plan];
        let ((rate, burst), free) =
            (plan.pace(self.fleet.usual), plan.free_overage() && self.deployment.has_counter);
        let costly = rationed && plan.overage_cost >= plan.price;
        let pressed = self.now < self.fleet.pressed_until;
        let (mut ahead, mut jobs) = (customer.ahead.drained(rate / sharers, self.now), Vec::new());
        for job in customer.waiting.iter().filter_map(|job| self.held(*job)) {
            let (part, by_part) = (burst / sharers, ahead <= 0.0 && !pressed);
            if free || ahead + job.cost <= part || (by_part && !(costly && job.cost > part)) {
                ahead += job.cost;
                jobs.push((job.arrival.job, job.cost));
            }
        }
        self.grant(id, jobs);
    }

    /// Among how many gateways the customer's quota is shared where each judges alone.
    fn sharers(&mut self, id: CustomerId) -> f64 {
        let set = self.customers.get(&id).map(|customer| (customer.set_first, customer.set_size));
        set.map_or(1.0, |(first, size)| self.host.quota_sharers(first, size).clamp(1.0, size))
    }

    /// Lets jobs go whose units have room; what they take is ahead of this gateway's part.
    fn grant(&mut self, id: CustomerId, jobs: Vec<(JobId, f64)>) {
        let sharers = self.sharers(id);
        let Some(customer) = self.customers.get_mut(&id) else { return };
        let part = self.deployment.plans[customer.plan].pace(self.fleet.usual).0 / sharers;
        let units: f64 = jobs.iter().map(|job| job.1).sum();
        customer.used += units;
        customer.ahead = Level { amount: customer.ahead.drained(part, self.now) + units, at: self.now };
        jobs.into_iter().for_each(|job| self.clear(job.0));
    }

    fn clear(&mut self, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id).filter(|job| job.ungranted()) else { return };
        job.stage = Stage::Cleared;
        let by = self.customers.entry(job.arrival.customer);
        by.and_modify(|customer| customer.waiting.retain(|waiting| *waiting != id));
        self.dispatch(id);
    }

    /// Sends a cleared job on, if its customer's ceiling and some server have room for it.
    fn dispatch(&mut self, id: JobId) {
        let Some(job) = self.jobs.get(&id).filter(|job| job.stage == Stage::Cleared) else { return };
        let (arrival, first, tick) = (job.arrival, job.relays == 0, self.deployment.tick);
        let (latest, place) = (self.latest(job), self.place(job));
        let Some(patience) = self.patience(job) else { return self.give_up(id, None) };
        let Some(customer) = self.customers.get_mut(&arrival.customer) else { return };
        if let (true, Some((rate, most))) = (first, customer.ceiling) {
            customer.spent = Level { amount: customer.spent.drained(rate, self.now), at: self.now };
            let short = customer.spent.amount + arrival.units - most;
            if short > 0.0 {
                let wait = Span::from_secs(short / rate) + tick;
                if self.now + wait > latest {
                    return self.give_up(id, Some(wait));
                }
                return self.host.set_timer(wait, id);
            }
        }
        let Some(server) = self.choose(id) else {
            self.fleet.pressed_until = self.now + POOL_WINDOW;
            self.fleet.backlog.insert(place);
            if !std::mem::replace(&mut self.fleet.stirs, true) {
                self.host.set_timer(Span::from_secs(self.fleet.usual / 4.0), BACKLOG_MARK);
            }
            return self.host.set_timer(latest.since(self.now), id);
        };
        if let (true, Some(customer)) = (first, self.customers.get_mut(&arrival.customer)) {
            customer.spent.amount += arrival.units;
            self.fleet.spare = (self.fleet.spare + 0.15).min(20.0);
        }
        let pushed = self.servers.get(&server).and_then(|to| self.cold_part(to)).map_or(0.0, |part| part.1);
        let Some(to) = self.servers.get_mut(&server) else { return };
        to.heard = if to.out > 0.0 { to.heard } else { self.now };
        (to.out, to.tried, self.fleet.out) = (to.out + 1.0, self.now, self.fleet.out + 1.0);
        self.fleet.pace.record(self.now.secs());
        to.push = Level { amount: pushed + arrival.units, at: self.now };
        let Some(job) = self.jobs.get_mut(&id) else { return };
        (job.stage, job.server, job.relays) = (Stage::Out(self.now), server, job.relays + 1);
        self.host.relay(id, server, patience);
        let hangs = self.jobs.get(&id).map_or(self.now, |job| self.hangs(job, self.now));
        if hangs < arrival.abandon_at {
            self.host.set_timer(hangs.since(self.now) + tick, id);
        }
    }

    /// The first server in a fixed ranking that has not enough. Each customer has its own, at each gateway another:
    /// else a heavy customer would lead all gateways to one server, and none would see it.
    fn choose(&mut self, id: JobId) -> Option<ServerId> {
        if f64::from(self.deployment.gateway_count) > FEW {
            return self.choose_among_many(id);
        }
        let (by, own) = (self.jobs.get(&id)?.arrival.customer, u64::from(self.deployment.own_index));
        let ranking = &mut self.customers.get_mut(&by)?.ranking;
        if ranking.roster != self.fleet.roster {
            (ranking.roster, ranking.order) = (self.fleet.roster, self.servers.keys().copied().collect());
            ranking.order.sort_by_cached_key(|server| hashed(&[by, own, u64::from(*server)]));
        }
        let (job, ranking) = (self.jobs.get(&id)?, &self.customers.get(&by)?.ranking);
        ranking.order.iter().copied().find(|server| self.has_room(*server, job))
    }

    /// Chooses among this gateway's subset, in turn so that the fleet loads all alike: with many gateways, each sees
    /// few answers of a server and all might send it one at once, so all relays are bounded. Of the next two it takes
    /// the one with fewer outstanding (passes over slow servers); a subset with no usable server uses the fallback.
    fn choose_among_many(&mut self, id: JobId) -> Option<ServerId> {
        let full = self.fleet.out >= (self.fleet.bound * self.fleet.ready).max(1.0);
        if full || (self.now < self.fleet.rested && self.fleet.slow > 1.25 * self.fleet.calm) {
            return None;
        }
        let (roster, before) = self.fleet.sliced;
        let size = fennelgauge_spread::subset_size(self.fleet.pace.per_second(self.now.secs()), before);
        if (roster, before) != (self.fleet.roster, size) {
            let entries = self.servers.values().filter(|to| to.ready()).map(|to| to.entry);
            let member = |it: RosterEntry| Candidate { server: it.server, rating: it.rating, zone: it.zone };
            let seat = RingPosition::among_all(self.deployment.own_index, self.deployment.gateway_count);
            self.fleet.subset.update(&entries.map(member).collect::<Vec<_>>(), seat, size);
            self.fleet.sliced = (self.fleet.roster, size);
        }
        let job = self.jobs.get(&id)?;
        let room = |server: &ServerId| self.has_room(*server, job);
        let out = |server: ServerId| self.servers.get(&server).map_or(0.0, |to| to.out);
        let within: Vec<ServerId> = self.fleet.subset.in_turn_order().filter(room).take(2).collect();
        let chosen = within.iter().copied().min_by(|a, b| out(*a).total_cmp(&out(*b)));
        let chosen = chosen.or_else(|| self.fleet.subset.fallback().find(room))?;
        self.fleet.subset.record_relay(chosen);
        Some(chosen)
    }

    /// Returns how long to wait for the answer of a relay whose connection is up; `None` if it may no longer be sent.
    pub fn relay_connected(&mut self, now: Moment, id: JobId) -> Option<Span> {
        self.now = now;
        let job = self.jobs.get(&id)?;
        self.servers.get(&job.server).filter(|server| self.may_have(job, server))?;
        self.patience(job)
    }

    fn patience(&self, job: &Job) -> Option<Span> {
        let tick = self.deployment.tick;
        Some((job.arrival.abandon_at - tick - tick).since(self.now)).filter(|patience| *patience > tick)
    }

    /// Whether a job may be sent to a server, which never gets it twice in a row.
    fn may_go(&self, job: &Job, server: &Server) -> bool {
        (job.relays == 0 || job.server != server.entry.server) && self.may_have(job, server)
    }

    /// Rules 2 and 3: whether a server may have a job now.
    fn may_have(&self, job: &Job, server: &Server) -> bool {
        let (repeat, origin) = (self.deployment.classes[job.arrival.class].repeat, job.may_have_run);
        server.ready()
            && origin.is_none_or(|(sent, from)| repeat.allows(&from, &server.entry, self.now.since(sent)))
    }

    fn has_room(&self, id: ServerId, job: &Job) -> bool {
        /// Some usual answers apart; jobs that may not run again are risked a quarter as often.
        const TRIAL: Span = Span::from_millis(500);
        let Some(server) = self.servers.get(&id).filter(|server| self.may_go(job, server)) else {
            return false;
        };
        let enough = if server.unwell(self.now, self.fleet.usual) {
            // One relay at a time shows if it is well again, the more seldom the more failed.
            let seldom = if self.deployment.classes[job.arrival.class].repeat.is_safe() { 1.0 } else { 4.0 };
            let rest = TRIAL.times(seldom / (1.0 - server.failing).max(0.05));
            server.out > 0.0 || self.now.since(server.tried) < rest
        } else {
            server.out >= server.bound.max(1.0)
                || (self.now < server.rested && self.fleet.slow > 1.25 * self.fleet.calm)
        };
        !enough
            && self.cold_part(server).is_none_or(|(rate, left)| {
                let at_once = rate * self.deployment.cold_start.overload_window.secs() / 2.0;
                rate > 0.0 && (left <= 0.0 || left + job.arrival.units <= at_once)
            })
    }

    /// Rule 4: a cold server's safe part of what warm ones are seen to carry, in units a second, and how much
    /// of it is still ahead. Half is kept back for slower machines and uneven work.
    fn cold_part(&self, server: &Server) -> Option<(f64, f64)> {
        const KEPT_BACK: f64 = 0.5;
        let (now, cold, start) =
            (self.now, self.deployment.cold_start, self.deployment.cold_start.initial_share);
        let age = Some(now.since(server.entry.started?)).filter(|age| *age <= cold.warm_after)?;
        let warmth = start + (1.0 - start) * age.secs() / cold.warm_after.secs().max(0.001);
        let multiple = KEPT_BACK * cold.overload_multiple * warmth;
        let rate = multiple * self.carried().unwrap_or(self.fleet.carried) * server.entry.rating;
        Some((rate, server.push.drained(rate, now)))
    }

    /// What warm servers carry, in units a second by rating, if any is warm.
    fn carried(&self) -> Option<f64> {
        let (now, after) = (self.now, self.deployment.cold_start.warm_after);
        let long_up = |to: &&Server| to.entry.started.is_none_or(|started| now.since(started) > after);
        let (mut warm, mut carried) = (0.0, 0.0);
        for to in self.servers.values().filter(|to| to.ready()).filter(long_up) {
            warm += to.entry.rating;
            carried += to.carried.decayed(CARRIED_OVER, now);
        }
        (warm > 0.0).then(|| carried / warm)
    }

    pub fn relay_ended(&mut self, now: Moment, end: RelayEnd) {
        self.now = now;
        let known = self.jobs.get(&end.job).map(|job| job.arrival);
        let target = known.map_or(1.0, |job| self.deployment.classes[job.class].latency_target.secs());
        self.learn(&end, known.map_or(1.0, |job| job.units), target);
        if let Some(job) = self.jobs.get_mut(&end.job) {
            let Stage::Out(sent) = job.stage else { return self.work_off() };
            job.stage = Stage::Cleared;
            let unrun = matches!(end.outcome, Outcome::Full | Outcome::ConnectFailed | Outcome::NotSent);
            let at = self.servers.get(&end.server).map(|server| server.entry).unwrap_or_default();
            job.may_have_run = job.may_have_run.or((!unrun).then_some((sent, at)));
            // A job that no server may have any more would be held for nothing until its time runs short.
            let again = |job: &Job| {
                job.relays < self.deployment.max_relays
                    && (self.fleet.spare >= 1.0 || end.outcome == Outcome::ConnectFailed)
                    && now < self.latest(job)
                    && self.servers.values().any(|to| self.may_go(job, to))
            };
            if end.job_finished || end.outcome == Outcome::Succeeded {
                self.forget(end.job);
            } else if self.jobs.get(&end.job).is_some_and(again) {
                self.fleet.spare = (self.fleet.spare - 1.0).max(0.0);
                self.dispatch(end.job);
            } else {
                self.give_up(end.job, None);
            }
        }
        self.work_off();
    }

    fn learn(&mut self, end: &RelayEnd, units: f64, target: f64) {
        // About as many relays as a small machine has cores keep it at work, however slow its answers.
        const LEAST: f64 = 3.0;
        let least = (LEAST / f64::from(self.deployment.gateway_count)).min(1.0);
        let (now, took, fleet) = (self.now, end.duration.secs(), &mut self.fleet);
        let Some(server) = self.servers.get_mut(&end.server) else { return };
        (server.out, fleet.out) = ((server.out - 1.0).max(0.0), (fleet.out - 1.0).max(0.0));
        match end.outcome {
            Outcome::Succeeded => {
                server.gap += 0.1 * (now.since(server.heard).secs() - server.gap);
                server.heard = now;
                server.failing *= 0.8;
                let carried = server.carried.decayed(CARRIED_OVER, now) + units / CARRIED_OVER;
                server.carried = Level { amount: carried, at: now };
                // Slow answers, whatever slows them, cut what it gets: a server driven hard stays slow.
                // Work goes by units where they differ, so a large job's answer is no slower for its size.
                fleet.usual += 0.02 * (took.min(fleet.usual * 4.0) - fleet.usual);
                fleet.units += 0.02 * (units - fleet.units);
                let slow = took / target * fleet.units / units.max(NOTHING);
                // Slow is told by the pace of servers that get the least already, kept within a safe range.
                if server.bound <= least {
                    fleet.calm = (fleet.calm + 0.002 * (slow - fleet.calm)).clamp(0.12, 0.18);
                }
                if slow > 1.25 * fleet.calm {
                    server.cut(0.8, now, 0.2 * target, least);
                } else if slow < 0.75 * fleet.calm && server.out + 2.0 > server.bound {
                    server.bound += (1.0 / server.bound).min(server.bound / 4.0);
                }
                // One answer says little of all servers, the last ten do.
                fleet.slow += 0.1 * (slow - fleet.slow);
                if fleet.slow > 2.0 * fleet.calm {
                    fleet.bound *= 0.97;
                } else if fleet.slow < 1.5 * fleet.calm && fleet.out + 2.0 > fleet.bound * fleet.ready {
                    fleet.bound *= 1.03;
                }
            }
            Outcome::Cancelled | Outcome::NotSent => {}
            Outcome::Full | Outcome::Error | Outcome::Reset | Outcome::ConnectFailed | Outcome::TimedOut => {
                // A server that fails or turns all away at once would look idle and draw all jobs.
                server.failing += 0.2 * (1.0 - server.failing);
                if end.outcome == Outcome::Full {
                    server.cut(0.7, now, fleet.usual, least);
                    fleet.bound *= 0.97;
                }
                fleet.slow += 0.1 * (took / target - fleet.slow).max(0.0);
            }
        }
        fleet.bound = fleet.bound.max(least);
        // A refusal comes at once; rested only by that, many gateways would ask again in a herd.
        let shortest = if end.outcome == Outcome::Succeeded { 0.0 } else { fleet.usual };
        let busy = end.duration.max(Span::from_secs(shortest));
        (server.rested, fleet.rested) =
            (now + rest(busy, server.bound), now + rest(busy, fleet.bound * fleet.ready.max(1.0)));
    }

    /// What goes first under pressure: the most benefit, and of that the newest, as the oldest would be late.
    fn place(&self, job: &Job) -> (u64, Moment, JobId) {
        let (of, sold) = (&job.arrival, &self.deployment);
        let benefit = sold.classes[of.class].benefit * sold.plans[of.plan].price;
        (benefit.to_bits(), job.target, of.job)
    }

    /// Sends on what waits for a server, as far as there is room.
    fn work_off(&mut self) {
        while let Some(place) = self.fleet.backlog.pop_last() {
            self.dispatch(place.2);
            if self.fleet.backlog.contains(&place) {
                return;
            }
        }
    }

    /// Drops a job that needs no answer any more: the client is gone, or a streamed answer has begun.
    pub fn job_closed(&mut self, now: Moment, job: JobId) {
        self.now = now;
        self.forget(job);
    }

    fn forget(&mut self, id: JobId) {
        let Some(job) = self.jobs.remove(&id) else { return };
        let place = self.place(&job);
        let Some(customer) = self.customers.get_mut(&job.arrival.customer) else { return };
        customer.waiting.retain(|waiting| *waiting != id);
        self.fleet.backlog.remove(&place);
        // Units counted and unsent, or the place of a relay that has ended, go back to the count.
        let plan = &self.deployment.plans[customer.plan];
        let by_cap = plan.has_quota() && !plan.is_rate_limited();
        if job.ungranted() || (job.relays > 0 && !by_cap) {
            return;
        }
        customer.used = (customer.used - job.cost).max(0.0);
        if by_cap {
            customer.shut = self.now;
            self.ask(job.arrival.customer);
        }
    }

    /// The final answer to a job with no relay out: a dismissal where a retry is harmless, else a forfeit.
    fn give_up(&mut self, id: JobId, room_after: Option<Span>) {
        let Some(job) = self.jobs.get(&id) else { return };
        if job.may_have_run.is_none() || self.deployment.classes[job.arrival.class].repeat.is_safe() {
            let hold_off = self.deployment.max_retry_after.and_then(|most| Some(room_after?.min(most)));
            self.host.reject(id, hold_off);
        } else {
            self.host.fail(id);
        }
        self.forget(id);
    }

    /// A timer has come due.
    pub fn timer_fired(&mut self, now: Moment, mark: u64) {
        self.now = now;
        if mark == CALLS_MARK {
            self.serve_callers();
        } else if mark == BACKLOG_MARK {
            self.fleet.stirs = false;
            self.work_off();
        } else if mark >= CUSTOMER_MARK {
            self.ask(mark - CUSTOMER_MARK);
        } else if let Some(job) = self.jobs.get(&mark) {
            let (stage, latest) = (job.stage, self.latest(job));
            match stage {
                Stage::Out(sent) if now > self.hangs(job, sent) => {
                    self.host.cancel_relay(mark, job.relays - 1)
                }
                Stage::Out(_) => {}
                _ if now >= latest => self.give_up(mark, None),
                Stage::Cleared if !self.fleet.backlog.contains(&self.place(job)) => self.dispatch(mark),
                _ => self.host.set_timer(latest.since(now), mark),
            }
        }
    }

    /// When a relay, out unusually long and past its target time, is taken back where a late answer earns
    /// nothing: it keeps a place that others could use, whatever it hangs on.
    fn hangs(&self, job: &Job, sent: Moment) -> Moment {
        let kept = self.deployment.classes[job.arrival.class].late_benefit_share > 0.0
            || !self.deployment.may_cancel_relays;
        let until = if kept { job.arrival.abandon_at } else { job.target };
        until.max(sent + Span::from_secs(self.fleet.usual * UNUSUAL))
    }
}
