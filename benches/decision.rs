//! The time of one job's decisions at a gateway, by the number of gateways.
//!
//! Each iteration is one job of a customer that has not been seen for a while: it arrives, its counter call (if any)
//! returns a total that permits it, it is relayed, and its server answers. One gateway of 3, 30 or 300 knows 200 servers
//! and 10,000 customers. The time must not grow with the number of gateways: with 300, shares are small, calls pause and
//! jobs are granted locally more often, but no list of the whole fleet is walked.

use criterion::{criterion_group, criterion_main, BenchmarkId, Criterion, Throughput};
use fennelgauge::choice::Gateway;
use fennelgauge::host::*;
use fennelgauge::time::{Moment, Span};
use std::hint::black_box;

const SERVERS: u32 = 200;
const CUSTOMERS: u64 = 10_000;

/// Keeps the latest relay and counter call, to answer them; other actions are ignored.
#[derive(Default)]
struct LatestActions {
    relay: Option<(JobId, ServerId)>,
    call: Option<CounterKey>,
}

impl Host for LatestActions {
    fn relay(&mut self, job: JobId, server: ServerId, _: Span) {
        self.relay = Some((job, server));
    }
    fn cancel_relay(&mut self, _: JobId, _: u8) {}
    fn reject(&mut self, _: JobId, _: Option<Span>) {}
    fn fail(&mut self, _: JobId) {}
    fn set_timer(&mut self, _: Span, _: u64) {}
    fn add_to_counter(&mut self, key: CounterKey, _: f64, _: Span) {
        self.call = Some(key);
    }
    fn subscribe_to_roster(&mut self) {}
}

/// Three plans: a small rate quota without free overage, a concurrency quota, and free overage with a ceiling.
fn deployment(gateways: u32) -> Deployment {
    let class = |target| ServiceClass {
        latency_target: Span::from_millis(target),
        benefit: 1.0,
        late_benefit_share: 0.2,
        repeat: RepeatPolicy::Idempotent,
    };
    let ceiling = Ceiling { rate: 65.0, burst: 136.0, slack: 14.0 };
    Deployment {
        gateway_count: gateways,
        tick: Span::from_millis(1),
        classes: vec![class(1_100), class(735)],
        plans: vec![
            Plan { rate: 1.6, burst: 8.0, price: 0.72, overage_cost: 1.2, ..Plan::default() },
            Plan { max_concurrent_relays: 2.0, price: 1.2, overage_cost: 0.5, ..Plan::default() },
            Plan {
                rate: 30.0,
                burst: 65.0,
                price: 1.6,
                overage_share: 0.2,
                ceiling: Some(ceiling),
                ..Plan::default()
            },
        ],
        has_counter: true,
        may_cancel_relays: true,
        max_relays: 5,
        cold_start: ColdStart {
            initial_share: 0.21,
            warm_after: Span::from_millis(16_000),
            overload_multiple: 2.0,
            overload_window: Span::from_millis(1_000),
        },
        ..Deployment::default()
    }
}

/// One gateway and the state of the simulated world around it.
struct Simulation {
    gateway: Gateway<LatestActions>,
    now: Moment,
    job: JobId,
}

impl Simulation {
    fn new(gateways: u32) -> Self {
        let now = Moment::from_micros(1_800_000_000_000_000);
        let mut gateway = Gateway::start(now, LatestActions::default(), deployment(gateways), 7);
        let entry = |server| RosterEntry {
            server,
            health: Health::Ready,
            rating: 1.0,
            zone: (server % 3) as u16,
            cell: (server % 40) as u16,
            started: None,
        };
        gateway.roster_replaced(now, (0..SERVERS).map(entry));
        let mut simulation = Self { gateway, now, job: 0 };
        // Every customer is known before the measurement starts.
        for _ in 0..CUSTOMERS {
            simulation.run_job();
        }
        simulation
    }

    /// Runs one job of the next customer to its end; jobs arrive every half a millisecond.
    fn run_job(&mut self) {
        self.now = self.now + Span::from_micros(500);
        self.job += 1;
        let (job, customer) = (self.job, self.job % CUSTOMERS);
        let arrival = Arrival {
            job,
            customer,
            class: (job % 2) as usize,
            plan: (customer % 3) as usize,
            units: 1.0 + (job % 4) as f64,
            first_gateway: 0,
            gateway_set_size: 150,
            abandon_at: self.now + Span::from_millis(2_000),
        };
        self.gateway.job_arrived(self.now, arrival);
        if let Some(key) = self.gateway.host.call.take() {
            self.gateway.counter_replied(self.now + Span::from_millis(2), key, Some(1.0), Outcome::Succeeded);
        }
        if let Some((job, server)) = self.gateway.host.relay.take() {
            let took = Span::from_millis(70);
            let end =
                RelayEnd { job, server, outcome: Outcome::Succeeded, duration: took, job_finished: true };
            self.gateway.relay_ended(self.now + took, end);
        }
        // Ends the job if it is still open, as a client that disconnects would.
        self.gateway.job_closed(self.now, job);
    }
}

fn decisions(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("one job, 200 servers, 10,000 customers");
    group.throughput(Throughput::Elements(1));
    for gateways in [3, 30, 300] {
        let mut simulation = Simulation::new(gateways);
        group.bench_with_input(BenchmarkId::new("gateways", gateways), &gateways, |bench, _| {
            bench.iter(|| {
                simulation.run_job();
                black_box(&simulation.gateway);
            })
        });
    }
    group.finish();
}

criterion_group!(benches, decisions);
criterion_main!(benches);
