//! The load: every first try of a play, drawn ahead from the seed. Arrivals don't wait for answers.

use crate::chance::{of, stream, Use};
use crate::scenario::{Repeat, Scenario};
use crate::timeline::{moment, Burst};
use fennelgauge::time::{Moment, Span};
use rand::{Rng, RngExt};
use rand_distr::{Distribution, Exp, LogNormal, Zipf};

/// Tries of one job of a client, the first and those after it, have numbers that follow one another.
pub const TRIES: u64 = 16;

#[derive(Clone, Debug, PartialEq)]
pub struct Customer {
    pub id: u64,
    pub plan: usize,
    /// The gateways that its jobs come in through.
    pub first: u32,
    pub set: u32,
}

/// One try of a client.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Try {
    /// Of the first try; rises with the time, in steps of [`TRIES`].
    pub number: u64,
    pub at: Moment,
    /// Into the customers.
    pub customer: usize,
    pub band: usize,
    pub units: u32,
    /// Of one core at speed 1.
    pub work: Span,
    /// How long the client waits for an answer, and when it leaves sooner than it says.
    pub patience: Span,
    pub leaves: Option<Span>,
}

pub struct Load {
    pub customers: Vec<Customer>,
    pub tries: Vec<Try>,
}

/// An index by weight.
fn weighted(chance: &mut impl Rng, weights: &[f64]) -> usize {
    let whole: f64 = weights.iter().sum();
    let mut left = chance.random::<f64>() * whole;
    for (index, weight) in weights.iter().enumerate() {
        left -= weight;
        if left < 0.0 {
            return index;
        }
    }
    weights.len().saturating_sub(1)
}

impl Load {
    pub fn new(scenario: &Scenario, bursts: &[Burst]) -> Self {
        let mut chance = stream(scenario.seed, Use::Load);
        let gateways = scenario.deployment.gateways;
        let mut customers = Vec::new();
        let mut first_of = Vec::new();
        for (plan, sold) in scenario.plan.iter().enumerate() {
            first_of.push(customers.len());
            let set = if sold.set == 0 { gateways } else { sold.set.min(gateways) };
            for _ in 0..sold.customers {
                // Ids are below 2^33; an odd factor spreads them.
                let id = (customers.len() as u64 + 1).wrapping_mul(0x9e37_79b1) % (1 << 33);
                let drawn = chance.random_range(0..gateways);
                let first = if scenario.load.even { customers.len() as u32 % gateways } else { drawn };
                customers.push(Customer { id, plan, first, set });
            }
        }
        let popular: Vec<Option<Zipf<f64>>> = scenario
            .plan
            .iter()
            .map(|plan| Zipf::new(f64::from(plan.customers), plan.popularity).ok())
            .collect();
        let mut load = Self { customers, tries: Vec::new() };
        // Drawn at the highest rate there is, and thinned: bursts then leave the rest of the schedule alone.
        let most = bursts.iter().map(|burst| burst.times.max(1.0)).product::<f64>();
        let Ok(gaps) = Exp::new(scenario.load.jobs_per_s * most) else { return load };
        let shares: Vec<f64> = scenario.plan.iter().map(|plan| plan.share).collect();
        let bands: Vec<f64> = scenario.band.iter().map(|band| band.share).collect();
        let mut turns = vec![0; scenario.plan.len()];
        let mut at_s = 0.0;
        loop {
            let gap = gaps.sample(&mut chance);
            at_s += if scenario.load.even { 1.0 / (scenario.load.jobs_per_s * most) } else { gap };
            if at_s >= scenario.length_s {
                return load;
            }
            let (at, plan) = (moment(at_s), weighted(&mut chance, &shares));
            let drawn = popular[plan].as_ref().map_or(0.0, |zipf| zipf.sample(&mut chance) - 1.0);
            turns[plan] += 1;
            let turn = (turns[plan] - 1) % scenario.plan[plan].customers.max(1);
            let rank = if scenario.load.even { turn } else { drawn as u32 };
            let band = weighted(&mut chance, &bands);
            let thinned = chance.random::<f64>() * most;
            let more = bursts.iter().filter(|burst| {
                burst.from <= at && at < burst.until && burst.plan.is_none_or(|of| of == plan)
            });
            let mut job = of(scenario.seed, Use::Load, chance.random());
            if thinned >= more.map(|burst| burst.times).product() {
                continue;
            }
            let figures = &scenario.band[band];
            let units = job.random_range(1..=scenario.load.most_units);
            let mean_units = f64::from(scenario.load.most_units + 1) / 2.0;
            let mean = figures.work_ms * f64::from(units) / mean_units;
            // A lognormal with that mean and that deviation over it.
            let variance = (figures.work_cv * figures.work_cv + 1.0).ln();
            let drawn = LogNormal::new(mean.ln() - variance / 2.0, variance.sqrt());
            let work = drawn.map_or(mean, |drawn| drawn.sample(&mut job));
            let [least, full] = scenario.load.give_up;
            let impatient = job.random::<f64>() < scenario.load.impatient;
            let patience = figures.abandon_ms * (least + (full - least) * job.random::<f64>());
            load.tries.push(Try {
                number: load.tries.len() as u64 * TRIES,
                at,
                customer: first_of[plan] + rank as usize,
                band,
                units,
                work: Span::from_secs(work / 1e3),
                patience: Span::from_secs(patience / 1e3),
                leaves: impatient.then(|| Span::from_secs(patience / 1e3 * job.random::<f64>())),
            });
        }
    }
}

/// How long after its time a client still looks for an answer: one that comes so late is late, none is lost. At
/// least what the judge grants, so that it sees what it has to judge.
pub fn looks(scenario: &Scenario) -> Span {
    const LEAST: Span = Span::from_millis(500);
    LEAST.max(Span::from_secs(scenario.judge.answer_slack_ms * 1.5 / 1e3))
}

/// When a client tries again after a try that ended badly, if it does. Dismissals may be tried again by all;
/// after a failure only jobs that may run again are. `before` counts the tries made.
pub fn again(
    scenario: &Scenario,
    band: usize,
    dismissed: bool,
    before: u32,
    hold_off: Option<Span>,
) -> Option<Span> {
    let free = scenario.band[band].repeat == Repeat::Pure;
    if before > scenario.load.retries.min(TRIES as u32 - 1) || !(dismissed || free) {
        return None;
    }
    let wait = Span::from_secs(scenario.load.backoff_ms / 1e3).times(f64::from(1 << (before - 1).min(16)));
    Some(wait.max(hold_off.unwrap_or_default()))
}
