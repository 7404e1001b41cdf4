//! The decisions of a gateway: create one with [`Gateway::start`] and report each event to it with the current time;
//! it acts through its [`Host`]. Rules named below: (1) each job gets one final answer before its client gives up,
//! (2) no job runs again against its repeat policy, (3) only ready servers get jobs, (4) no cold server is
//! overloaded, (5) no customer exceeds its ceiling. The interface is in `host.rs`, the state in `state.rs`.

use crate::host::{Arrival, CounterKey, CustomerId, Deployment, Host, JobId, Outcome, RosterEntry};
use crate::host::{ConditionalAdd, Health, Plan, RelayEnd, ServerId, JOB_ID_LIMIT};
use crate::random::{hash_of, Random};
use crate::state::{self, Bucket, Call, Counter, Customer, Fleet, Job, Pool, Server, Stage, Step};
use crate::time::{Moment, Span};
use fennelgauge_spread::{Candidate, RelayRate, RingPosition};
use std::collections::BTreeMap;

/// Unused quota of all customers is lent in pools of this length.
const POOL_WINDOW: Span = Span::from_millis(1_000);
/// How long the counter keeps a pool: it is filled one window ahead and drawn from until its own window ends.
const POOL_TTL: Span = Span::from_millis(3_000);
/// How long the counter keeps a total; at least three windows of any plan.
const COUNT_TTL: Span = Span::from_millis(60_000);
/// How long after a call had to wait the gateways use peer counts, if they can.
const PEER_COUNT_PERIOD: Span = Span::from_millis(2_000);
/// Timer ids below this are job ids; from here on they are this plus a customer's id.
const CUSTOMER_TIMERS: u64 = JOB_ID_LIMIT;
const CALLS_TIMER: u64 = u64::MAX;
const BACKLOG_TIMER: u64 = u64::MAX - 1;
/// Initial limit of relays per server, and of counter calls, over all gateways: the load of a small machine.
const START_LIMIT: f64 = 12.0;
/// Totals are sums of rounded numbers; smaller differences are ignored.
const EPSILON: f64 = 0.01;
/// A silence of this many mean gaps makes a server suspect (1 in 400 by chance if gaps are exponential).
const SUSPECT_GAPS: f64 = 6.0;
/// Time constant of a server's mean throughput in seconds: several windows, but shorter than a cold start.
const THROUGHPUT_MEAN_S: f64 = 3.0;

/// Returns the pause after a call of length `took` that keeps `limit` calls in progress on average, if below 1.
fn pause(took: Span, limit: f64) -> Span {
    took.times((1.0 / limit - 1.0).max(0.0))
}

/// The decisions of one gateway, and what it knows of servers, customers and jobs.
pub struct Gateway<H> {
    /// Carries out the decisions.
    pub host: H,
    deployment: Deployment,
    now: Moment,
    started: Moment,
    random: Random,
    servers: BTreeMap<ServerId, Server>,
    fleet: Fleet,
    customers: BTreeMap<CustomerId, Customer>,
    jobs: BTreeMap<JobId, Job>,
    pending_calls: BTreeMap<CounterKey, CustomerId>,
    counter: Counter,
    pool: Pool,
}

impl Plan {
    /// Half the time that fills the burst, so that an unused window restores the whole burst; at least a second.
    /// Concurrency plans have no refill; their counts restart regularly to drop what a crashed gateway held.
    fn window(&self) -> Span {
        const RESTART_S: f64 = 10.0;
        let seconds = if self.is_rate_limited() { self.burst / self.rate / 2.0 } else { RESTART_S };
        Span::from_secs(seconds).clamp(POOL_WINDOW, COUNT_TTL.times(1.0 / 3.0))
    }

    fn units_per_window(&self) -> f64 {
        self.rate * self.window().secs()
    }

    /// Returns units per second and at once. Answers free a concurrency quota, which makes it a rate as well.
    fn rate_and_burst(&self, answer_s: f64) -> (f64, f64) {
        if self.is_rate_limited() {
            (self.rate, self.burst)
        } else {
            (self.max_concurrent_relays / answer_s.max(0.001), self.max_concurrent_relays)
        }
    }

    /// Offset that is added to a total together with the burst deficit at the window's start, and so reveals it.
    fn marker(&self) -> f64 {
        // Far above the sum of a window's jobs, but small enough that seven digits still tell units apart.
        const FACTOR: f64 = 256.0;
        FACTOR * (self.burst + self.units_per_window())
    }
}

impl Server {
    /// Lowers the limit, at most once per `interval_s`, so that one backlog does not lower it twice.
    fn reduce_limit(&mut self, factor: f64, now: Moment, interval_s: f64, min_limit: f64) {
        if now.since(self.last_cut).secs() > interval_s {
            self.limit = (self.limit * factor).max(min_limit);
            self.last_cut = now;
        }
    }

    /// Returns whether the server is silent for unusually long or fails more often than not, whatever the cause.
    fn is_suspect(&self, now: Moment, answer_s: f64) -> bool {
        let max_silence = Span::from_secs(self.mean_gap_s.max(answer_s / 2.0) * SUSPECT_GAPS);
        self.failure_share > 0.5 || (self.active > 0.0 && now > self.last_alive + max_silence)
    }
}

impl<H: Host> Gateway<H> {
    /// Creates a gateway; `seed` determines its random choices.
    pub fn start(now: Moment, mut host: H, deployment: Deployment, seed: u64) -> Self {
        if deployment.subscribe_to_roster {
            host.subscribe_to_roster();
        }
        // Initial estimates: a fraction of the tightest target for answers, a few ticks for counter calls.
        let target = deployment.classes.iter().map(|class| class.latency_target.secs()).fold(10.0, f64::min);
        let call_s = (deployment.tick.secs() * 4.0).max(0.005);
        let limit = START_LIMIT / f64::from(deployment.gateway_count);
        let relay_rate = RelayRate::new(now.secs());
        let mut fleet = Fleet { limit: limit / 2.0, retry_budget: 5.0, relay_rate, ..Fleet::default() };
        (fleet.answer_s, fleet.mean_units, fleet.baseline, fleet.slowness) = (target / 6.0, 1.0, 0.12, 0.12);
        Self {
            host,
            now,
            random: Random::new(seed, deployment.own_index),
            counter: Counter { call_s, limit, ..Counter::default() },
            deployment,
            servers: BTreeMap::new(),
            fleet,
            customers: BTreeMap::new(),
            jobs: BTreeMap::new(),
            pending_calls: BTreeMap::new(),
            pool: Pool::default(),
            started: now,
        }
    }

    /// Handles new or changed entries of the roster.
    pub fn roster_changed(&mut self, now: Moment, entries: impl Iterator<Item = RosterEntry>) {
        self.now = now;
        // If all servers are replaced at once, none is warm; the last known throughput lets cold ones get jobs.
        self.fleet.throughput = self.warm_throughput().unwrap_or(self.fleet.throughput);
        for mut entry in entries {
            let limit = START_LIMIT / f64::from(self.deployment.gateway_count);
            // Rule 4: a random initial load staggers the first jobs that all gateways send to a cold server.
            let cold_load = Bucket { amount: self.fleet.mean_units * self.random.draw(), at: now };
            let server = self.servers.entry(entry.server).or_insert_with(|| Server {
                entry,
                limit,
                last_alive: now,
                mean_gap_s: self.fleet.answer_s,
                cold_load,
                ..Server::default()
            });
            if entry.health == Health::Gone {
                server.entry.health = Health::Gone;
                continue;
            }
            if entry.started != server.entry.started {
                (server.failure_share, server.cold_load) = (0.0, cold_load);
            }
            entry.rating = if entry.rating > 0.0 { entry.rating } else { 1.0 };
            server.entry = entry;
        }
        // Servers that are replaced again and again would fill the memory and every ranking.
        self.servers.retain(|_, server| !server.can_be_dropped(now, COUNT_TTL));
        self.fleet.version += 1;
        // A fleet that shrinks must not get the load of the whole one.
        self.fleet.ready = self.servers.values().filter(|server| server.is_ready()).count() as f64;
        self.retry_backlog();
    }

    /// Handles a new complete roster; servers missing from it are gone.
    pub fn roster_replaced(&mut self, now: Moment, entries: impl Iterator<Item = RosterEntry>) {
        self.fleet.throughput = self.warm_throughput().unwrap_or(self.fleet.throughput);
        self.servers.values_mut().for_each(|server| server.entry.health = Health::Gone);
        self.roster_changed(now, entries);
    }

    /// Handles a job that has just arrived.
    pub fn job_arrived(&mut self, now: Moment, arrival: Arrival) {
        self.now = now;
        let (id, set_size) = (arrival.job, f64::from(arrival.gateway_set_size.max(1)));
        let (classes, plans) = (&self.deployment.classes, &self.deployment.plans);
        let (Some(class), Some(plan)) = (classes.get(arrival.class), plans.get(arrival.plan)) else {
            return self.host.fail(id);
        };
        let (target, has_quota, cost) = (now + class.latency_target, plan.has_quota(), plan.cost(&arrival));
        // Rule 5: an equal share (0.999 for rounding) is safe whatever others do; assume it spent before a restart.
        let share = 0.999 / set_size;
        let ceiling = plan.ceiling.map(|limit| (limit.rate * share, (limit.burst + limit.slack) * share));
        let spent = Bucket { amount: ceiling.map_or(0.0, |limit| limit.1), at: self.started };
        // An unbounded number of customer ids would exhaust the memory of a long-running gateway.
        state::drop_idle_customers(&mut self.customers, arrival.customer, now, COUNT_TTL);
        let new_customer = || Customer { spent, ..Customer::default() };
        let customer = self.customers.entry(arrival.customer).or_insert_with(new_customer);
        // Customers change plans and are also served by other gateways, so the latest job's data applies.
        (customer.plan, customer.ceiling) = (arrival.plan, ceiling);
        (customer.first_gateway, customer.set_size) = (arrival.first_gateway, set_size);
        customer.active_until = customer.active_until.max(arrival.abandon_at);
        customer.held_jobs.extend(has_quota.then_some(id));
        let stage = if has_quota { Stage::Held } else { Stage::Admitted };
        let job = Job { arrival, cost, stage, target, relays: 0, server: 0, may_have_run: None };
        let deadline = self.relay_deadline(&job);
        self.jobs.insert(id, job);
        if deadline <= now {
            return self.give_up(id, None);
        }
        self.host.set_timer(deadline.since(now), id);
        if has_quota {
            self.request_units(arrival.customer);
        } else {
            self.dispatch(id);
        }
    }

    /// Returns the latest time to send a relay that is probably answered by the job's target time.
    fn relay_deadline(&self, job: &Job) -> Moment {
        // Half of all answers take longer than the mean; three times the mean covers nearly all.
        const SLACK: f64 = 3.0;
        let latest = job.target.min(job.arrival.abandon_at - self.deployment.tick - self.deployment.tick);
        // At most half the target: otherwise slow answers would end all relays, and with them all measurements.
        let max_slack = self.deployment.classes[job.arrival.class].latency_target.times(0.5);
        latest - Span::from_secs(self.fleet.answer_s * SLACK).min(max_slack)
    }

    fn held(&self, id: JobId) -> Option<&Job> {
        self.jobs.get(&id).filter(|job| job.stage == Stage::Held)
    }

    /// Returns when the customer's quota covers a total. Units accrue evenly over the window, as earlier use is
    /// beyond the quota; half of the burst is available at its start, or what a total with the marker says is left.
    fn grant_time(&self, customer: &Customer, total: f64) -> Moment {
        let plan = &self.deployment.plans[customer.plan];
        let (rate, burst) = plan.rate_and_burst(self.fleet.answer_s);
        if !plan.is_rate_limited() {
            return self.now + Span::from_secs((total - burst) / rate);
        }
        let initial = if total >= plan.marker() { plan.marker() + burst } else { burst / 2.0 };
        customer.window_start + Span::from_secs((total - initial) / rate)
    }

    /// Moves a customer's state to the current window, which all gateways derive from the clock.
    fn enter_window(&mut self, id: CustomerId) {
        let Some(customer) = self.customers.get_mut(&id) else { return };
        let plan = &self.deployment.plans[customer.plan];
        let length = plan.window().micros();
        // Windows of different customers start at different times, so that held jobs are not granted all at once.
        let phase = hash_of(&[id]) % length;
        let window = self.now.micros().saturating_add(phase) / length;
        if customer.window == window {
            return;
        }
        let follows = customer.window.wrapping_add(1) == window;
        let last_total = if follows { customer.total } else { 0.0 };
        customer.last_unused = (plan.units_per_window() - last_total).max(0.0);
        // Unreported local use moves to the next window's total; relays in progress outlast windows.
        if plan.is_rate_limited() {
            let reported = customer.reported.max(customer.reported_to_peers);
            let reported = reported + customer.call.as_ref().map_or(0.0, |call| call.amount);
            // Older debt shrinks by a window's refill: kept whole, it could reject all jobs, and only jobs report it.
            let unreported = if follows { (customer.used - reported).max(0.0) } else { 0.0 };
            let debt = customer.older_debt.min(unreported);
            customer.used = unreported - debt.min(plan.units_per_window());
            customer.older_debt = customer.used;
        }
        (customer.reported, customer.reported_to_peers, customer.total) = (0.0, 0.0, 0.0);
        customer.window = window;
        customer.window_start = Moment::from_micros(window.saturating_mul(length).saturating_sub(phase));
    }

    /// Requests units for a customer's held jobs from its total, one call at a time.
    fn request_units(&mut self, id: CustomerId) {
        self.enter_window(id);
        if !self.deployment.has_counter {
            self.grant_locally(id, false);
            if self.customers.get(&id).is_some_and(|customer| !customer.held_jobs.is_empty()) {
                self.host.set_timer(Span::from_secs(self.fleet.answer_s), CUSTOMER_TIMERS + id);
            }
            return;
        }
        let may_call = self.can_call();
        if !may_call {
            self.counter.use_peers_until = self.now + PEER_COUNT_PERIOD;
        }
        let use_peers = self.now < self.counter.use_peers_until;
        let Some(customer) = self.customers.get_mut(&id).filter(|known| known.call.is_none()) else { return };
        // Jobs with free overage are granted without a total, so a peer call for them is a waste.
        let to_peers =
            use_peers && !self.deployment.plans[customer.plan].free_overage() && self.host.peers_can_count();
        let (window, unreported) = (customer.window, customer.used - *customer.reported(to_peers));
        let Some(customer) = self.customers.get(&id) else { return };
        let burst = self.deployment.plans[customer.plan].rate_and_burst(self.fleet.answer_s).1;
        let (mut requested, mut jobs, mut too_late) = (0.0, Vec::new(), Vec::new());
        for job in customer.held_jobs.iter().filter_map(|job| self.held(*job)) {
            let total = customer.total + unreported + requested + job.cost;
            let grant_at = self.grant_time(customer, total).max(customer.next_call);
            if grant_at > self.relay_deadline(job) {
                too_late.push((job.arrival.job, grant_at));
            } else if self.now >= customer.next_call && (requested <= 0.0 || requested + job.cost <= burst) {
                requested += job.cost;
                jobs.push((job.arrival.job, job.cost));
            }
        }
        self.pool_or_reject(too_late);
        // Unused units are given back even while no jobs may ask; other gateways would see no room otherwise.
        let amount = unreported + requested;
        if jobs.is_empty() && amount > -EPSILON {
            return;
        }
        let benefit = jobs.iter().filter_map(|job| self.jobs.get(&job.0)).map(|job| self.rank(job).0).max();
        let Some(customer) = self.customers.get_mut(&id) else { return };
        // A slow or failing counter must not be flooded: calls above the limit wait, peers or local shares step in.
        if to_peers || may_call {
            customer.call = Some(Call { jobs, amount, window, step: Step::Add, sent: self.now, to_peers });
            return self.send_call(id, window, amount, to_peers.then_some(requested));
        }
        if !std::mem::replace(&mut customer.queued, true) {
            self.counter.queue.insert((benefit.unwrap_or(0), self.now, id));
            self.host.set_timer(self.counter.pause_until.since(self.now), CALLS_TIMER);
        }
        self.grant_locally(id, true);
    }

    fn can_call(&self) -> bool {
        self.counter.active < self.counter.limit.max(1.0) && self.now >= self.counter.pause_until
    }

    /// Adds to a total, by the peer count if `to_peers` is given: the part of the amount that it may refuse.
    fn send_call(&mut self, id: CustomerId, window: u64, amount: f64, to_peers: Option<f64>) {
        let key = hash_of(&[id, window, 0]);
        self.pending_calls.insert(key, id);
        if let Some(requested) = to_peers {
            let conditional = self.conditional_add(id, requested).unwrap_or_default();
            return self.host.add_to_peer_count(key, amount - requested, conditional);
        }
        let counter = &mut self.counter;
        counter.active += 1.0;
        // Even one call at a time per gateway may be too many, so each gateway pauses between calls.
        counter.pause_until =
            self.now.max(counter.pause_until) + pause(Span::from_secs(counter.call_s), counter.limit);
        self.host.add_to_counter(key, amount, COUNT_TTL);
    }

    /// Handles the reply to a counter call: the new total, or `None` if the call failed.
    pub fn counter_replied(&mut self, now: Moment, key: CounterKey, total: Option<f64>, outcome: Outcome) {
        self.now = now;
        if self.pool.pending_draw.as_ref().is_some_and(|draw| draw.0 == key) {
            return self.pool_draw_replied(total);
        }
        let Some(id) = self.pending_calls.remove(&key) else { return };
        // With these steps 1 call in 20 fails while the counter is the bottleneck; they are large up to the limit
        // before a run of failures; otherwise calls would stay rare for minutes after an outage.
        let (limit, counter) = (self.counter.limit, &mut self.counter);
        counter.active -= 1.0;
        counter.limit = match total {
            Some(_) if limit < counter.stable_limit => (limit * 2.0).min(counter.stable_limit),
            Some(_) => limit + (0.1 / limit).min(limit * 0.02),
            None => (limit * 0.7).max(0.01),
        };
        let first_failure = std::mem::replace(&mut counter.last_answered, total.is_some()) && total.is_none();
        counter.stable_limit = if first_failure { counter.limit } else { counter.stable_limit };
        self.enter_window(id);
        self.process_reply(id, total, outcome);
        self.serve_call_queue();
    }

    /// Returns the part of an add that must fit what has accrued. The add that crosses half the burst always fits.
    fn conditional_add(&self, id: CustomerId, amount: f64) -> Option<ConditionalAdd> {
        let customer = self.customers.get(&id).filter(|_| amount > 0.0)?;
        let plan = &self.deployment.plans[customer.plan];
        let refill = plan.rate * self.now.since(customer.window_start).secs();
        if !plan.is_rate_limited() {
            let max_total = plan.max_concurrent_relays - 1.0;
            return Some(ConditionalAdd { amount, max_total, max_with_deficit: max_total });
        }
        let (max_total, max_with_deficit) = (plan.burst / 2.0 + refill, plan.marker() + plan.burst + refill);
        Some(ConditionalAdd { amount, max_total, max_with_deficit })
    }

    /// Handles a peer count's reply (total, and whether the conditional part was added), or `None` if none will come.
    pub fn peer_count_replied(&mut self, now: Moment, key: CounterKey, reply: Option<(f64, bool)>) {
        self.now = now;
        let Some(id) = self.pending_calls.remove(&key) else { return };
        if let (Some((_, false)), Some(customer)) = (reply, self.customers.get_mut(&id)) {
            let subtract = |call: &mut Call| call.amount -= call.jobs.iter().map(|job| job.1).sum::<f64>();
            customer.call.iter_mut().filter(|call| matches!(call.step, Step::Add)).for_each(subtract);
        }
        self.enter_window(id);
        // Without a reply the peers add the amount along with the next one, so it counts as reported.
        self.process_reply(id, reply.map(|reply| reply.0), Outcome::TimedOut);
    }

    fn serve_call_queue(&mut self) {
        while self.can_call() {
            let Some((.., next)) = self.counter.queue.pop_last() else { return };
            self.customers.entry(next).and_modify(|customer| customer.queued = false);
            self.request_units(next);
        }
        if !self.counter.queue.is_empty() && self.counter.active < self.counter.limit.max(1.0) {
            self.host.set_timer(self.counter.pause_until.since(self.now), CALLS_TIMER);
        }
    }

    fn process_reply(&mut self, id: CustomerId, total: Option<f64>, outcome: Outcome) {
        let Some(customer) = self.customers.get_mut(&id) else { return };
        let plan = &self.deployment.plans[customer.plan];
        let Some(mut call) = customer.call.take() else { return };
        if call.window != customer.window {
            return self.request_units(id);
        }
        let (marker, half, window, to_peers) = (plan.marker(), plan.burst / 2.0, call.window, call.to_peers);
        match (call.step, total) {
            (Step::Add, None) => {
                // A timed-out add may have been applied and counts as reported: a total may be low, never high.
                *customer.reported(to_peers) += if outcome == Outcome::TimedOut { call.amount } else { 0.0 };
                // Jobs that ask again at once would wait for one time-out after another and crowd a slow counter.
                self.grant_locally(id, false);
                self.request_units(id);
            }
            (Step::Add, Some(total)) => {
                *customer.reported(to_peers) += call.amount;
                let (before, by_rate) = (total - call.amount, plan.is_rate_limited());
                // A pause of this gateway looks like a slow call; the cap at four times the mean limits its effect.
                let took = self.now.since(call.sent).secs().min(self.counter.call_s * 4.0);
                self.counter.call_s += if to_peers { 0.0 } else { 0.05 * (took - self.counter.call_s) };
                // The first gateway to call in a window lends what the last window left unused.
                let unused = if by_rate && before <= EPSILON { customer.last_unused } else { 0.0 };
                // Exactly one call crosses half the burst, which is granted without looking back: it reads the last
                // window's total and adds the burst deficit at the start of this window for all gateways.
                if by_rate && total < marker && total > half && before <= half {
                    call.step = Step::ReadLastWindow(total);
                    customer.call = Some(call);
                    self.send_call(id, window.wrapping_sub(1), 0.0, to_peers.then_some(0.0));
                } else {
                    self.decide(id, call, total);
                }
                self.lend(unused);
            }
            (Step::ReadLastWindow(window_total), total) => {
                // Without a marker, the use in the last window stands in for the windows before it.
                let last = total.unwrap_or(0.0);
                let deficit = if last >= marker { last - marker - plan.units_per_window() } else { last };
                let deficit = marker + deficit.clamp(0.0, plan.burst.max(0.0));
                call.step = Step::AddDeficit(window_total + deficit);
                customer.call = Some(call);
                self.send_call(id, window, deficit, to_peers.then_some(0.0));
            }
            (Step::AddDeficit(window_total), _) => self.decide(id, call, window_total),
        }
    }

    /// Grants the jobs of a call in their order as far as units have accrued; rejects those that would be too late.
    fn decide(&mut self, id: CustomerId, call: Call, total: f64) {
        let Some(customer) = self.customers.get(&id) else { return };
        let plan = &self.deployment.plans[customer.plan];
        let requested: f64 = call.jobs.iter().map(|job| job.1).sum();
        let (mut ready, mut too_late, mut wait, mut sum) = (Vec::new(), Vec::new(), false, total - requested);
        for &(job, cost) in &call.jobs {
            let Some(held) = self.held(job) else { continue };
            let grant_at = self.grant_time(customer, sum + cost);
            if grant_at <= self.now {
                sum += cost;
                ready.push((job, cost));
            } else if grant_at > self.relay_deadline(held) {
                too_late.push((job, grant_at));
            } else {
                wait = true;
            }
        }
        // Vain calls back off: from the time that refills the units asked for, up to that of an equal share.
        let min_s = requested.max(1.0) / plan.rate_and_burst(self.fleet.answer_s).0;
        let Some(customer) = self.customers.get_mut(&id) else { return };
        customer.total = total;
        if wait || (ready.is_empty() && !too_late.is_empty()) {
            customer.interval_s =
                (customer.interval_s * 2.0).clamp(min_s, min_s * customer.set_size).min(plan.window().secs());
            customer.next_call = self.now + Span::from_secs(customer.interval_s * (0.5 + self.random.draw()));
            self.host.set_timer(customer.next_call.since(self.now), CUSTOMER_TIMERS + id);
        } else if !ready.is_empty() {
            customer.interval_s /= 2.0;
        }
        self.grant(id, ready);
        self.pool_or_reject(too_late);
        self.request_units(id);
    }

    /// Handles jobs whose units accrue too late: those with free overage draw on the pool, others are rejected.
    fn pool_or_reject(&mut self, too_late: Vec<(JobId, Moment)>) {
        let may_draw = self.pool.pending_draw.is_none() && self.now >= self.fleet.saturated_until;
        let (mut units, mut jobs) = (0.0, Vec::new());
        for (id, grant_at) in too_late {
            // A rejection frees units that may have gone to this job in the meantime.
            let Some(job) = self.jobs.get_mut(&id).filter(|job| job.awaits_grant()) else { continue };
            if may_draw && self.deployment.plans[job.arrival.plan].free_overage() {
                job.stage = Stage::Drawing;
                units += job.cost;
                jobs.push(id);
            } else {
                self.give_up(id, Some(grant_at.since(self.now)));
            }
        }
        if units > 0.0 {
            let key = self.pool_key(0);
            self.pool.pending_draw = Some((key, units, jobs));
            self.host.add_to_counter(key, -units, POOL_TTL);
        }
    }

    fn pool_key(&self, ahead: u64) -> CounterKey {
        hash_of(&[self.now.micros() / POOL_WINDOW.micros() + ahead, 1])
    }

    fn pool_draw_replied(&mut self, total: Option<f64>) {
        let Some((_, units, jobs)) = self.pool.pending_draw.take() else { return };
        let mut available = total.map_or(0.0, |total| units + total.min(0.0));
        for id in jobs {
            let Some(job) = self.jobs.get(&id).filter(|job| job.stage == Stage::Drawing) else { continue };
            if job.cost <= available {
                available -= job.cost;
                self.admit(id);
            } else {
                self.give_up(id, None);
            }
        }
    }

    /// Lends half the units unused in the last window to the next pool; 16 gateways do per window, to spare the counter.
    fn lend(&mut self, unused: f64) {
        // Lent units must not add load while servers are saturated.
        if self.now < self.fleet.saturated_until || !self.deployment.plans.iter().any(Plan::free_overage) {
            return;
        }
        self.pool.to_lend += unused / 2.0;
        if self.now >= self.pool.next_lend && self.pool.to_lend > 0.0 {
            let interval = (f64::from(self.deployment.gateway_count) / 16.0).max(1.0);
            self.pool.next_lend = self.now + POOL_WINDOW.times(interval);
            self.host.add_to_counter(self.pool_key(1), std::mem::take(&mut self.pool.to_lend), POOL_TTL);
        }
    }

    /// Grants held jobs without a total, within this gateway's share of the quota. Where that is far below a job, one
    /// is granted once the excess of earlier ones is refilled, unless servers are saturated. With a counter, which is
    /// told later, all jobs with free overage go: they cost nothing, and the ceiling's share bounds them. While the
    /// call is queued (`rationed`), a job above the share must cost less as overage than it earns: its odds of being
    /// within the quota are even at best, and most jobs that wait are of customers over their quota.
    fn grant_locally(&mut self, id: CustomerId, rationed: bool) {
        let sharers = self.sharers(id);
        let Some(customer) = self.customers.get(&id) else { return };
        let plan = &self.deployment.plans[customer.plan];
        let ((rate, burst), free) =
            (plan.rate_and_burst(self.fleet.answer_s), plan.free_overage() && self.deployment.has_counter);
        let costly = rationed && plan.overage_cost >= plan.price;
        let saturated = self.now < self.fleet.saturated_until;
        let (mut excess, mut jobs) = (customer.excess.drained(rate / sharers, self.now), Vec::new());
        for job in customer.held_jobs.iter().filter_map(|job| self.held(*job)) {
            let (share, refilled) = (burst / sharers, excess <= 0.0 && !saturated);
            if free || excess + job.cost <= share || (refilled && !(costly && job.cost > share)) {
                excess += job.cost;
                jobs.push((job.arrival.job, job.cost));
            }
        }
        self.grant(id, jobs);
    }

    /// Returns among how many gateways the customer's quota is shared while each grants locally.
    fn sharers(&mut self, id: CustomerId) -> f64 {
        let set = self.customers.get(&id).map(|customer| (customer.first_gateway, customer.set_size));
        set.map_or(1.0, |(first, size)| self.host.quota_sharers(first, size).clamp(1.0, size))
    }

    /// Admits jobs and adds their units to the excess over this gateway's share of the quota.
    fn grant(&mut self, id: CustomerId, jobs: Vec<(JobId, f64)>) {
        let sharers = self.sharers(id);
        let Some(customer) = self.customers.get_mut(&id) else { return };
        let share = self.deployment.plans[customer.plan].rate_and_burst(self.fleet.answer_s).0 / sharers;
        let units: f64 = jobs.iter().map(|job| job.1).sum();
        customer.used += units;
        customer.excess = Bucket { amount: customer.excess.drained(share, self.now) + units, at: self.now };
        jobs.into_iter().for_each(|job| self.admit(job.0));
    }

    fn admit(&mut self, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id).filter(|job| job.awaits_grant()) else { return };
        job.stage = Stage::Admitted;
        let customer = self.customers.entry(job.arrival.customer);
        customer.and_modify(|customer| customer.held_jobs.retain(|held| *held != id));
        self.dispatch(id);
    }

    /// Sends an admitted job if the customer's ceiling and some server have capacity for it, else retries later.
    fn dispatch(&mut self, id: JobId) {
        let Some(job) = self.jobs.get(&id).filter(|job| job.stage == Stage::Admitted) else { return };
        let (arrival, first, tick) = (job.arrival, job.relays == 0, self.deployment.tick);
        let (deadline, rank) = (self.relay_deadline(job), self.rank(job));
        let Some(timeout) = self.relay_timeout(job) else { return self.give_up(id, None) };
        let Some(customer) = self.customers.get_mut(&arrival.customer) else { return };
        if let (true, Some((rate, burst))) = (first, customer.ceiling) {
            customer.spent = Bucket { amount: customer.spent.drained(rate, self.now), at: self.now };
            let missing = customer.spent.amount + arrival.units - burst;
            if missing > 0.0 {
                let wait = Span::from_secs(missing / rate) + tick;
                if self.now + wait > deadline {
                    return self.give_up(id, Some(wait));
                }
                return self.host.set_timer(wait, id);
            }
        }
        let Some(server) = self.choose_server(id) else {
            self.fleet.saturated_until = self.now + POOL_WINDOW;
            self.fleet.backlog.insert(rank);
            if !std::mem::replace(&mut self.fleet.backlog_timer_set, true) {
                self.host.set_timer(Span::from_secs(self.fleet.answer_s / 4.0), BACKLOG_TIMER);
            }
            return self.host.set_timer(deadline.since(self.now), id);
        };
        if let (true, Some(customer)) = (first, self.customers.get_mut(&arrival.customer)) {
            customer.spent.amount += arrival.units;
            self.fleet.retry_budget = (self.fleet.retry_budget + 0.15).min(20.0);
        }
        let load = self.servers.get(&server).and_then(|to| self.cold_limit(to)).map_or(0.0, |part| part.1);
        let Some(to) = self.servers.get_mut(&server) else { return };
        to.last_alive = if to.active > 0.0 { to.last_alive } else { self.now };
        (to.active, to.last_relay, self.fleet.active) = (to.active + 1.0, self.now, self.fleet.active + 1.0);
        self.fleet.relay_rate.record(self.now.secs());
        to.cold_load = Bucket { amount: load + arrival.units, at: self.now };
        let Some(job) = self.jobs.get_mut(&id) else { return };
        (job.stage, job.server, job.relays) = (Stage::Relayed(self.now), server, job.relays + 1);
        self.host.relay(id, server, timeout);
        let cancel_at = self.jobs.get(&id).map_or(self.now, |job| self.cancel_time(job, self.now));
        if cancel_at < arrival.abandon_at {
            self.host.set_timer(cancel_at.since(self.now) + tick, id);
        }
    }

    /// Chooses the first server with capacity in a ranking that differs by customer and gateway: with one ranking, a
    /// heavy customer would lead all gateways to the same server, and none of them would notice.
    fn choose_server(&mut self, id: JobId) -> Option<ServerId> {
        if f64::from(self.deployment.gateway_count) > START_LIMIT {
            return self.choose_from_subset(id);
        }
        let (customer, own) = (self.jobs.get(&id)?.arrival.customer, u64::from(self.deployment.own_index));
        let ranking = &mut self.customers.get_mut(&customer)?.ranking;
        if ranking.version != self.fleet.version {
            (ranking.version, ranking.order) = (self.fleet.version, self.servers.keys().copied().collect());
            ranking.order.sort_by_cached_key(|server| hash_of(&[customer, own, u64::from(*server)]));
        }
        let (job, ranking) = (self.jobs.get(&id)?, &self.customers.get(&customer)?.ranking);
        ranking.order.iter().copied().find(|server| self.has_capacity(*server, job))
    }

    /// Chooses from this gateway's subset in turn, so that the fleet loads servers alike; the less loaded of the next
    /// two, to avoid slow ones; or a fallback server while the subset has no usable one. Many gateways see few
    /// answers of each server and could all send to it at once, so the sum of their relays is limited as well.
    fn choose_from_subset(&mut self, id: JobId) -> Option<ServerId> {
        let full = self.fleet.active >= (self.fleet.limit * self.fleet.ready).max(1.0);
        if full || (self.now < self.fleet.pause_until && self.fleet.slowness > 1.25 * self.fleet.baseline) {
            return None;
        }
        let (roster, before) = self.fleet.subset_basis;
        let size = fennelgauge_spread::subset_size(self.fleet.relay_rate.per_second(self.now.secs()), before);
        if (roster, before) != (self.fleet.version, size) {
            let entries = self.servers.values().filter(|to| to.is_ready()).map(|to| to.entry);
            let rated = |it: RosterEntry| Candidate { server: it.server, rating: it.rating, zone: it.zone };
            let position = RingPosition::among_all(self.deployment.own_index, self.deployment.gateway_count);
            self.fleet.subset.update(&entries.map(rated).collect::<Vec<_>>(), position, size);
            self.fleet.subset_basis = (self.fleet.version, size);
        }
        let job = self.jobs.get(&id)?;
        let has_capacity = |server: &ServerId| self.has_capacity(*server, job);
        let active = |server: ServerId| self.servers.get(&server).map_or(0.0, |to| to.active);
        let next_two: Vec<ServerId> =
            self.fleet.subset.in_turn_order().filter(has_capacity).take(2).collect();
        let chosen = next_two.iter().copied().min_by(|a, b| active(*a).total_cmp(&active(*b)));
        let chosen = chosen.or_else(|| self.fleet.subset.fallback().find(has_capacity))?;
        self.fleet.subset.record_relay(chosen);
        Some(chosen)
    }

    /// Returns how long to wait for the answer once a relay is connected, or `None` if it must not be sent any more.
    pub fn relay_connected(&mut self, now: Moment, id: JobId) -> Option<Span> {
        self.now = now;
        let job = self.jobs.get(&id)?;
        self.servers.get(&job.server).filter(|server| self.may_run_on(job, server))?;
        self.relay_timeout(job)
    }

    fn relay_timeout(&self, job: &Job) -> Option<Span> {
        let tick = self.deployment.tick;
        Some((job.arrival.abandon_at - tick - tick).since(self.now)).filter(|timeout| *timeout > tick)
    }

    /// Returns whether a job may be sent to a server, which never gets it twice in a row.
    fn may_send(&self, job: &Job, server: &Server) -> bool {
        (job.relays == 0 || job.server != server.entry.server) && self.may_run_on(job, server)
    }

    /// Rules 2 and 3: returns whether the server is ready and the repeat policy lets it run the job.
    fn may_run_on(&self, job: &Job, server: &Server) -> bool {
        let (repeat, origin) = (self.deployment.classes[job.arrival.class].repeat, job.may_have_run);
        server.is_ready()
            && origin.is_none_or(|(sent, from)| repeat.allows(&from, &server.entry, self.now.since(sent)))
    }

    fn has_capacity(&self, id: ServerId, job: &Job) -> bool {
        const TRIAL_PAUSE: Span = Span::from_millis(500); // several usual answer times
        let Some(server) = self.servers.get(&id).filter(|to| self.may_send(job, to)) else { return false };
        let is_full = if server.is_suspect(self.now, self.fleet.answer_s) {
            // One trial at a time: rarer the more it failed, and a quarter as often with jobs that must not repeat.
            let factor = if self.deployment.classes[job.arrival.class].repeat.is_safe() { 1.0 } else { 4.0 };
            let trial_pause = TRIAL_PAUSE.times(factor / (1.0 - server.failure_share).max(0.05));
            server.active > 0.0 || self.now.since(server.last_relay) < trial_pause
        } else {
            server.active >= server.limit.max(1.0)
                || (self.now < server.pause_until && self.fleet.slowness > 1.25 * self.fleet.baseline)
        };
        !is_full
            && self.cold_limit(server).is_none_or(|(rate, load)| {
                let max_load = rate * self.deployment.cold_start.overload_window.secs() / 2.0;
                rate > 0.0 && (load <= 0.0 || load + job.arrival.units <= max_load)
            })
    }

    /// Rule 4: returns the units per second that are safe for a cold server, from the throughput of warm ones, and
    /// the load it still has to work off; `None` if warm. Half is held back for slower machines and uneven work.
    fn cold_limit(&self, server: &Server) -> Option<(f64, f64)> {
        const SAFETY: f64 = 0.5;
        let (cold, start) = (self.deployment.cold_start, self.deployment.cold_start.initial_share);
        let age = Some(self.now.since(server.entry.started?)).filter(|age| *age <= cold.warm_after)?;
        let warmth = start + (1.0 - start) * age.secs() / cold.warm_after.secs().max(0.001);
        let multiple = SAFETY * cold.overload_multiple * warmth;
        let rate = multiple * self.warm_throughput().unwrap_or(self.fleet.throughput) * server.entry.rating;
        Some((rate, server.cold_load.drained(rate, self.now)))
    }

    /// Returns the units per second, per unit of rating, that warm servers carry; `None` if none is warm.
    fn warm_throughput(&self) -> Option<f64> {
        let (now, after) = (self.now, self.deployment.cold_start.warm_after);
        let is_warm = |to: &&Server| to.entry.started.is_none_or(|started| now.since(started) > after);
        let (mut warm, mut throughput) = (0.0, 0.0);
        for to in self.servers.values().filter(|to| to.is_ready()).filter(is_warm) {
            warm += to.entry.rating;
            throughput += to.throughput.decayed(THROUGHPUT_MEAN_S, now);
        }
        (warm > 0.0).then(|| throughput / warm)
    }

    /// Handles the end of a relay: learns from it, and retries or answers the job.
    pub fn relay_ended(&mut self, now: Moment, end: RelayEnd) {
        self.now = now;
        let arrival = self.jobs.get(&end.job).map(|job| job.arrival);
        let target = arrival.map_or(1.0, |job| self.deployment.classes[job.class].latency_target.secs());
        self.learn_from(&end, arrival.map_or(1.0, |job| job.units), target);
        if let Some(job) = self.jobs.get_mut(&end.job) {
            let Stage::Relayed(sent) = job.stage else { return self.retry_backlog() };
            job.stage = Stage::Admitted;
            let not_run = matches!(end.outcome, Outcome::Full | Outcome::ConnectFailed | Outcome::NotSent);
            let entry = self.servers.get(&end.server).map(|server| server.entry).unwrap_or_default();
            job.may_have_run = job.may_have_run.or((!not_run).then_some((sent, entry)));
            // A job that no server may run any more must not be held until its deadline.
            let may_retry = |job: &Job| {
                job.relays < self.deployment.max_relays
                    && (self.fleet.retry_budget >= 1.0 || end.outcome == Outcome::ConnectFailed)
                    && now < self.relay_deadline(job)
                    && self.servers.values().any(|to| self.may_send(job, to))
            };
            if end.job_finished || end.outcome == Outcome::Succeeded {
                self.remove_job(end.job);
            } else if self.jobs.get(&end.job).is_some_and(may_retry) {
                self.fleet.retry_budget = (self.fleet.retry_budget - 1.0).max(0.0);
                self.dispatch(end.job);
            } else {
                self.give_up(end.job, None);
            }
        }
        self.retry_backlog();
    }

    fn learn_from(&mut self, end: &RelayEnd, units: f64, target: f64) {
        // About the cores of a small machine: this many relays keep it busy, however slow its answers are.
        const MIN_LIMIT: f64 = 3.0;
        let min_limit = (MIN_LIMIT / f64::from(self.deployment.gateway_count)).min(1.0);
        let (now, took, fleet) = (self.now, end.duration.secs(), &mut self.fleet);
        let Some(server) = self.servers.get_mut(&end.server) else { return };
        (server.active, fleet.active) = ((server.active - 1.0).max(0.0), (fleet.active - 1.0).max(0.0));
        match end.outcome {
            Outcome::Succeeded => {
                server.mean_gap_s += 0.1 * (now.since(server.last_alive).secs() - server.mean_gap_s);
                server.last_alive = now;
                server.failure_share *= 0.8;
                let carried = server.throughput.decayed(THROUGHPUT_MEAN_S, now) + units / THROUGHPUT_MEAN_S;
                server.throughput = Bucket { amount: carried, at: now };
                // Slow answers, whatever the cause, lower the limit: a server under pressure stays slow otherwise.
                // Latency is scaled by the job's units, so that large jobs do not count as slow.
                fleet.answer_s += 0.02 * (took.min(fleet.answer_s * 4.0) - fleet.answer_s);
                fleet.mean_units += 0.02 * (units - fleet.mean_units);
                let slow = took / target * fleet.mean_units / units.max(EPSILON);
                // The baseline follows servers that are already at the minimum limit, within a safe range.
                if server.limit <= min_limit {
                    fleet.baseline = (fleet.baseline + 0.002 * (slow - fleet.baseline)).clamp(0.12, 0.18);
                }
                if slow > 1.25 * fleet.baseline {
                    server.reduce_limit(0.8, now, 0.2 * target, min_limit);
                } else if slow < 0.75 * fleet.baseline && server.active + 2.0 > server.limit {
                    server.limit += (1.0 / server.limit).min(server.limit / 4.0);
                }
                // One answer says little about all servers; an average over about ten does.
                fleet.slowness += 0.1 * (slow - fleet.slowness);
                if fleet.slowness > 2.0 * fleet.baseline {
                    fleet.limit *= 0.97;
                } else if fleet.slowness < 1.5 * fleet.baseline
                    && fleet.active + 2.0 > fleet.limit * fleet.ready
                {
                    fleet.limit *= 1.03;
                }
            }
            Outcome::Cancelled | Outcome::NotSent => {}
            Outcome::Full | Outcome::Error | Outcome::Reset | Outcome::ConnectFailed | Outcome::TimedOut => {
                // A server that fails or refuses jobs at once would look idle and attract all jobs.
                server.failure_share += 0.2 * (1.0 - server.failure_share);
                if end.outcome == Outcome::Full {
                    server.reduce_limit(0.7, now, fleet.answer_s, min_limit);
                    fleet.limit *= 0.97;
                }
                fleet.slowness += 0.1 * (took / target - fleet.slowness).max(0.0);
            }
        }
        fleet.limit = fleet.limit.max(min_limit);
        // Refusals are fast; pauses of only their length would let many gateways retry at the same time.
        let shortest = if end.outcome == Outcome::Succeeded { 0.0 } else { fleet.answer_s };
        let busy = end.duration.max(Span::from_secs(shortest));
        (server.pause_until, fleet.pause_until) =
            (now + pause(busy, server.limit), now + pause(busy, fleet.limit * fleet.ready.max(1.0)));
    }

    /// Order of the backlog, last first: highest benefit, then newest, as the oldest jobs would be late.
    fn rank(&self, job: &Job) -> (u64, Moment, JobId) {
        let (arrival, deployment) = (&job.arrival, &self.deployment);
        let benefit = deployment.classes[arrival.class].benefit * deployment.plans[arrival.plan].price;
        (benefit.to_bits(), job.target, arrival.job)
    }

    fn retry_backlog(&mut self) {
        while let Some(rank) = self.fleet.backlog.pop_last() {
            self.dispatch(rank.2);
            if self.fleet.backlog.contains(&rank) {
                return;
            }
        }
    }

    /// Drops a job that needs no answer any more: its client is gone, or a streamed answer has begun.
    pub fn job_closed(&mut self, now: Moment, job: JobId) {
        self.now = now;
        self.remove_job(job);
    }

    fn remove_job(&mut self, id: JobId) {
        let Some(job) = self.jobs.remove(&id) else { return };
        let rank = self.rank(&job);
        let Some(customer) = self.customers.get_mut(&job.arrival.customer) else { return };
        customer.held_jobs.retain(|held| *held != id);
        self.fleet.backlog.remove(&rank);
        // Units that were granted but not used, or the slot of a relay that has ended, go back to the total.
        let plan = &self.deployment.plans[customer.plan];
        let by_concurrency = plan.has_quota() && !plan.is_rate_limited();
        if job.awaits_grant() || (job.relays > 0 && !by_concurrency) {
            return;
        }
        customer.used = (customer.used - job.cost).max(0.0);
        if by_concurrency {
            customer.next_call = self.now;
            self.request_units(job.arrival.customer);
        }
    }

    /// Gives the final answer to a job without a relay in progress: a rejection if a retry is safe, else a failure.
    fn give_up(&mut self, id: JobId, retry_after: Option<Span>) {
        let Some(job) = self.jobs.get(&id) else { return };
        if job.may_have_run.is_none() || self.deployment.classes[job.arrival.class].repeat.is_safe() {
            let advised = self.deployment.max_retry_after.and_then(|max| Some(retry_after?.min(max)));
            self.host.reject(id, advised);
        } else {
            self.host.fail(id);
        }
        self.remove_job(id);
    }

    /// Handles a timer that is due.
    pub fn timer_fired(&mut self, now: Moment, timer_id: u64) {
        self.now = now;
        if timer_id == CALLS_TIMER {
            self.serve_call_queue();
        } else if timer_id == BACKLOG_TIMER {
            self.fleet.backlog_timer_set = false;
            self.retry_backlog();
        } else if timer_id >= CUSTOMER_TIMERS {
            self.request_units(timer_id - CUSTOMER_TIMERS);
        } else if let Some(job) = self.jobs.get(&timer_id) {
            let (stage, deadline) = (job.stage, self.relay_deadline(job));
            match stage {
                Stage::Relayed(sent) if now > self.cancel_time(job, sent) => {
                    self.host.cancel_relay(timer_id, job.relays - 1)
                }
                Stage::Relayed(_) => {}
                _ if now >= deadline => self.give_up(timer_id, None),
                Stage::Admitted if !self.fleet.backlog.contains(&self.rank(job)) => self.dispatch(timer_id),
                _ => self.host.set_timer(deadline.since(now), timer_id),
            }
        }
    }

    /// Returns when to cancel a relay: unusually slow, past its target, and worth nothing if late, it blocks others.
    fn cancel_time(&self, job: &Job, sent: Moment) -> Moment {
        let keep = self.deployment.classes[job.arrival.class].late_benefit_share > 0.0
            || !self.deployment.may_cancel_relays;
        let until = if keep { job.arrival.abandon_at } else { job.target };
        until.max(sent + Span::from_secs(self.fleet.answer_s * SUSPECT_GAPS))
    }
}
