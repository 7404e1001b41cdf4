//! The faults of a scenario in their order, with their targets drawn: the same for a simulated and a real play.

use crate::chance::{stream, Use};
use crate::links::{Links, Spell};
use crate::scenario::{Fault, Scenario, What};
use crate::target::{Layout, Party, Target};
use fennelgauge::time::{Moment, Span};
use std::collections::BTreeSet;

#[derive(Clone, Debug, PartialEq)]
pub enum Act {
    Gateway(u32, OnGateway),
    Server(u32, OnServer),
    Counter(OnCounter),
    /// The limiters' agents hear of changes so much later from now on.
    ListsLate(BTreeSet<u32>, Span),
    ListsSilent(BTreeSet<u32>, bool),
    Shift(f64),
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum OnGateway {
    Kill,
    Start,
    Stop,
    Continue,
    /// Told to stop; started again so long after it has ended.
    Restart(Span),
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum OnServer {
    Crash,
    Vanish,
    /// Back as it was, cold.
    Back,
    /// Another one in its place, cold.
    Replace,
    Drain,
    Remove,
    Pause(bool),
    /// Times slower.
    Slow(f64),
    /// The share of jobs that fails at once.
    Fail(f64),
    TurnAway(bool),
}

#[derive(Clone, Debug, PartialEq)]
pub enum OnCounter {
    Silent(bool),
    Busy(bool),
    Slow(f64),
    /// The share of counts lost.
    Flush(f64),
    /// These limiters speak with the other half; none: the halves are one again.
    Split(BTreeSet<u32>),
    Replace,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    pub at: Moment,
    pub act: Act,
}

/// More load from a plan, or from all.
#[derive(Clone, Debug, PartialEq)]
pub struct Burst {
    pub from: Moment,
    pub until: Moment,
    pub times: f64,
    pub plan: Option<usize>,
}

#[derive(Clone, Debug)]
pub struct Timeline {
    pub layout: Layout,
    /// By time; those of one time in the file's order.
    pub steps: Vec<Step>,
    pub bursts: Vec<Burst>,
    pub links: Links,
}

/// The play's clock begins here, so that nothing lies before it.
pub const START: Moment = Moment::from_micros(1_000_000_000);

pub fn moment(secs: f64) -> Moment {
    START + Span::from_secs(secs)
}

impl Timeline {
    /// The scenario has passed its checks.
    pub fn new(scenario: &Scenario) -> Self {
        let layout = Layout::new(&scenario.deployment);
        let mut chance = stream(scenario.seed, Use::Targets);
        let (mut steps, mut bursts, mut spells) = (Vec::new(), Vec::new(), Vec::new());
        for fault in &scenario.fault {
            let mut pick = |text: &Option<String>, whole: bool| -> BTreeSet<Party> {
                let Some(text) = text else { return BTreeSet::new() };
                let Ok(target) = Target::parse(text, &scenario.deployment) else { return BTreeSet::new() };
                let (share, count) = if whole { (None, None) } else { (fault.share, fault.count) };
                target.resolve(&layout, share, count, &mut chance)
            };
            let (on, from) = (pick(&fault.on, false), pick(&fault.from, false));
            let to = pick(&fault.to, true);
            match fault.what {
                What::Link => spells.push(spell(fault, from, to)),
                What::Burst => bursts.push(Burst {
                    from: moment(fault.at_s),
                    until: moment(fault.at_s + fault.for_s.unwrap_or(0.0)),
                    times: fault.size.unwrap_or(1.0),
                    plan: fault
                        .plan
                        .as_ref()
                        .and_then(|name| scenario.plan.iter().position(|plan| plan.name == *name)),
                }),
                _ => schedule(fault, on, &mut steps),
            }
        }
        // Stable: what the file says first comes first.
        steps.sort_by_key(|step: &Step| step.at);
        let links = Links::new(scenario, layout.clone(), spells);
        Self { layout, steps, bursts, links }
    }
}

fn spell(fault: &Fault, from: BTreeSet<Party>, to: BTreeSet<Party>) -> Spell {
    Spell {
        at: moment(fault.at_s),
        until: moment(fault.at_s + fault.for_s.unwrap_or(0.0)),
        from,
        to,
        cut: fault.cut,
        delay: Span::from_secs(fault.delay_ms.unwrap_or(0.0) / 1e3),
        jitter: Span::from_secs(fault.jitter_ms.unwrap_or(0.0) / 1e3),
        loss: fault.loss.unwrap_or(0.0),
        twice: fault.twice.unwrap_or(0.0),
        reset: fault.reset.unwrap_or(0.0),
        half_open: fault.half_open,
        bytes_per_s: fault.bytes_per_s,
    }
}

fn gateways(on: &BTreeSet<Party>) -> BTreeSet<u32> {
    let number = |party: &Party| if let Party::Gateway(number) = party { Some(*number) } else { None };
    on.iter().filter_map(number).collect()
}

fn schedule(fault: &Fault, on: BTreeSet<Party>, steps: &mut Vec<Step>) {
    let (at, size) = (moment(fault.at_s), fault.size.unwrap_or(1.0));
    let until = fault.for_s.map(|span| moment(fault.at_s + span));
    let mut put = |at: Moment, act: Act| steps.push(Step { at, act });
    let mut each = |first: OnServer, then: Option<OnServer>| {
        for party in &on {
            let Party::Server(number) = party else { continue };
            put(at, Act::Server(*number, first));
            if let (Some(until), Some(then)) = (until, then) {
                put(until, Act::Server(*number, then));
            }
        }
    };
    match fault.what {
        What::Crash => return each(OnServer::Crash, Some(OnServer::Back)),
        What::Vanish => return each(OnServer::Vanish, Some(OnServer::Back)),
        What::Replace => return each(OnServer::Replace, None),
        What::Drain => return each(OnServer::Drain, Some(OnServer::Remove)),
        What::Pause => return each(OnServer::Pause(true), Some(OnServer::Pause(false))),
        What::Slow => return each(OnServer::Slow(size), Some(OnServer::Slow(1.0))),
        What::Fail => return each(OnServer::Fail(size), Some(OnServer::Fail(0.0))),
        What::TurnAway => return each(OnServer::TurnAway(true), Some(OnServer::TurnAway(false))),
        _ => {}
    }
    let mut each = |first: OnGateway, then: Option<OnGateway>| {
        for number in gateways(&on) {
            put(at, Act::Gateway(number, first));
            if let (Some(until), Some(then)) = (until, then) {
                put(until, Act::Gateway(number, then));
            }
        }
    };
    match fault.what {
        What::Kill => return each(OnGateway::Kill, Some(OnGateway::Start)),
        What::Stop => return each(OnGateway::Stop, Some(OnGateway::Continue)),
        What::Restart => return each(OnGateway::Restart(Span::from_secs(fault.for_s.unwrap_or(0.0))), None),
        _ => {}
    }
    let mut both = |first: Act, then: Act| {
        put(at, first);
        if let Some(until) = until {
            put(until, then);
        }
    };
    let whom = |on: &BTreeSet<Party>| gateways(on);
    match fault.what {
        What::CounterSilent => {
            both(Act::Counter(OnCounter::Silent(true)), Act::Counter(OnCounter::Silent(false)))
        }
        What::CounterBusy => both(Act::Counter(OnCounter::Busy(true)), Act::Counter(OnCounter::Busy(false))),
        What::CounterSlow => both(Act::Counter(OnCounter::Slow(size)), Act::Counter(OnCounter::Slow(1.0))),
        What::CounterFlush => put(at, Act::Counter(OnCounter::Flush(size))),
        What::CounterSplit => {
            both(Act::Counter(OnCounter::Split(whom(&on))), Act::Counter(OnCounter::Split(BTreeSet::new())))
        }
        What::CounterReplace => put(at, Act::Counter(OnCounter::Replace)),
        What::ListsLate => {
            both(Act::ListsLate(whom(&on), Span::from_secs(size)), Act::ListsLate(whom(&on), Span::ZERO))
        }
        What::ListsSilent => both(Act::ListsSilent(whom(&on), true), Act::ListsSilent(whom(&on), false)),
        What::Shift => put(at, Act::Shift(fault.share.unwrap_or(1.0))),
        _ => {}
    }
}
