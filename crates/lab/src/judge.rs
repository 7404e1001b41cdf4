//! The judge: an independent check of the rules over what happened. It knows the scenario and the records alone,
//! nothing of the gateways' own reasons.

use crate::links::Links;
use crate::record::{Answer, Event, Held, Life, Listed, RelayOver, Trace};
use crate::scenario::{Group, Repeat, Scenario};
use crate::target::Party;
use crate::timeline::{Timeline, START};
use fennelgauge::time::{Moment, Span};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq, PartialOrd, Ord)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// Exactly one final answer for each job taken, by its abandon time.
    OneAnswer,
    /// No double effect, by band; one relay of a job at a time, none after its answer.
    NoDoubleEffect,
    /// Nothing new to a server told to drain or gone.
    Drains,
    /// No cold server is sent more than it bears.
    Cold,
    Ceilings,
    /// Every job sent, and every relay, is accounted for.
    Accounted,
    /// No gateway ends that nobody ended.
    Crash,
    /// No gateway holds another to have failed that was there and reachable all along; after the load all that run
    /// come to one view.
    Members,
}

impl Rule {
    pub const ALL: [Self; 8] = [
        Self::OneAnswer,
        Self::NoDoubleEffect,
        Self::Drains,
        Self::Cold,
        Self::Ceilings,
        Self::Accounted,
        Self::Crash,
        Self::Members,
    ];
}

#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
pub struct Breach {
    pub rule: Rule,
    /// Seconds from the start of the load.
    pub at_s: f64,
    pub what: String,
}

/// What was found; `looked` counts what each rule was held against: a rule that looked at nothing proves nothing.
#[derive(Clone, Debug, Default, Deserialize, Serialize, PartialEq)]
pub struct Verdict {
    pub breaches: Vec<Breach>,
    pub looked: BTreeMap<Rule, u64>,
}

impl Verdict {
    pub fn kept(&self) -> bool {
        self.breaches.is_empty()
    }

    /// How often a rule was broken.
    pub fn broken(&self, rule: Rule) -> usize {
        self.breaches.iter().filter(|breach| breach.rule == rule).count()
    }

    fn breach(&mut self, rule: Rule, at: u64, what: String) {
        let at_s = (at as f64 - START.micros() as f64) / 1e6;
        self.breaches.push(Breach { rule, at_s, what });
    }

    fn look(&mut self, rule: Rule) {
        *self.looked.entry(rule).or_default() += 1;
    }
}

struct Relay {
    at: u64,
    began: u64,
    server: u32,
    gateway: u32,
    over: Option<(u64, RelayOver)>,
}

impl Relay {
    /// A server that turned it away never looked at it.
    fn may_have_run(&self) -> bool {
        !matches!(self.over, Some((_, RelayOver::TurnedAway)))
    }
}

struct Job {
    sent: u64,
    abandon: u64,
    customer: u64,
    plan: usize,
    band: usize,
    units: u32,
    gateway: u32,
    relays: Vec<Relay>,
    effects: Vec<(u64, u32, bool)>,
    answers: Vec<(u64, Answer)>,
    left: Option<(u64, bool)>,
}

#[derive(Clone, Copy)]
struct Start {
    at: u64,
    zone: u16,
    cell: u16,
    place: u32,
    capacity: f64,
    cold: bool,
}

/// The records, sorted by what they are about.
struct History<'a> {
    scenario: &'a Scenario,
    links: Links,
    jobs: BTreeMap<u64, Job>,
    starts: BTreeMap<u32, Vec<Start>>,
    ended: BTreeMap<u32, Vec<u64>>,
    told: BTreeMap<(u32, u32), Vec<(u64, Listed)>>,
    /// When a gateway was not there, or did not run: from, until.
    away: BTreeMap<u32, Vec<(u64, u64)>>,
    /// Work that came to a server: when, from whom, how much.
    work: BTreeMap<u32, Vec<(u64, u32, f64)>>,
    changes: Vec<Moment>,
    /// Gateways held to have failed: when, by whom, and who.
    accused: Vec<(u64, u32, u32)>,
}

impl<'a> History<'a> {
    fn new(trace: &'a Trace, verdict: &mut Verdict) -> Self {
        let links = Timeline::new(&trace.scenario).links;
        let changes = links.changes();
        let mut history = Self {
            scenario: &trace.scenario,
            links,
            jobs: BTreeMap::new(),
            starts: BTreeMap::new(),
            ended: BTreeMap::new(),
            told: BTreeMap::new(),
            away: BTreeMap::new(),
            work: BTreeMap::new(),
            changes,
            accused: Vec::new(),
        };
        for record in &trace.records {
            history.take(record.at, &record.event, verdict);
        }
        history
    }

    fn take(&mut self, at: u64, event: &Event, verdict: &mut Verdict) {
        match *event {
            Event::Sent { job, customer, plan, band, units, gateway, abandon, .. } => {
                let sent = Job {
                    sent: at,
                    abandon,
                    customer,
                    plan,
                    band,
                    units,
                    gateway,
                    relays: Vec::new(),
                    effects: Vec::new(),
                    answers: Vec::new(),
                    left: None,
                };
                if self.jobs.insert(job, sent).is_some() {
                    verdict.breach(Rule::Accounted, at, format!("job {job} was sent twice"));
                }
            }
            Event::Answered { job, how } => match self.jobs.get_mut(&job) {
                Some(known) => known.answers.push((at, how)),
                None => verdict.breach(Rule::Accounted, at, format!("job {job} answered, never sent")),
            },
            Event::Left { job, early } => {
                if let Some(known) = self.jobs.get_mut(&job) {
                    known.left = Some((at, early));
                }
            }
            Event::Relay { job, server, gateway, began, work, .. } => {
                self.work.entry(server).or_default().push((at, gateway, work));
                let relay = Relay { at, began, server, gateway, over: None };
                match self.jobs.get_mut(&job) {
                    Some(known) => known.relays.push(relay),
                    None => verdict.breach(Rule::Accounted, at, format!("job {job} relayed, never sent")),
                }
            }
            Event::RelayOver { job, server, how } => {
                let relays = self.jobs.get_mut(&job).map(|known| &mut known.relays);
                let open = relays.and_then(|relays| {
                    relays.iter_mut().rev().find(|relay| relay.server == server && relay.over.is_none())
                });
                if let Some(relay) = open {
                    relay.over = Some((at, how));
                }
            }
            Event::Effect { job, server, repeat } => {
                if let Some(known) = self.jobs.get_mut(&job) {
                    known.effects.push((at, server, repeat));
                }
            }
            Event::Told { gateway, server, listed } => {
                self.told.entry((gateway, server)).or_default().push((at, listed));
            }
            Event::Started { server, place, zone, cell, capacity, cold, .. } => {
                let start = Start { at, zone, cell, place, capacity, cold };
                self.starts.entry(server).or_default().push(start);
            }
            Event::Gateway { gateway, life } => {
                let away = self.away.entry(gateway).or_default();
                match life {
                    Life::Down | Life::Stopped => away.push((at, u64::MAX)),
                    Life::Crashed => {
                        away.push((at, u64::MAX));
                        verdict.breach(Rule::Crash, at, format!("gateway {gateway} ended by itself"));
                    }
                    Life::Ready | Life::Continued => {
                        if let Some(last) = away.last_mut().filter(|last| last.1 == u64::MAX) {
                            last.1 = at;
                        }
                    }
                    Life::Terminating => {}
                }
            }
            Event::Ended { server } => self.ended.entry(server).or_default().push(at),
            Event::Member { gateway, member, state } => {
                verdict.look(Rule::Members);
                if state == Held::Failed {
                    self.accused.push((at, gateway, member));
                }
            }
            Event::OneView { gateways, reached, after_ms, ref differs } => {
                verdict.look(Rule::Members);
                if !reached {
                    let what = format!(
                        "{gateways} gateways hold no one view {after_ms} ms after the load: {differs}"
                    );
                    verdict.breach(Rule::Members, at, what);
                }
            }
            Event::Called { .. } | Event::Fault { .. } | Event::Cost { .. } => {}
        }
    }

    /// The gateway was not there or did not run at some time of that span.
    fn was_away(&self, gateway: u32, from: u64, until: u64) -> bool {
        let away = self.away.get(&gateway).map_or(&[][..], Vec::as_slice);
        away.iter().any(|spell| spell.0 <= until && spell.1 >= from)
    }

    /// No gateway may be held to have failed that was there and reachable for so long before.
    fn members(&self, verdict: &mut Verdict) {
        const ALL_ALONG_US: u64 = 25_000_000;
        for (at, by, who) in self.accused.iter().copied() {
            let from = at.saturating_sub(ALL_ALONG_US);
            let moments = (Moment::from_micros(from), Moment::from_micros(at));
            let cut = self.links.cuts_gateway(who, moments.0, moments.1)
                || self.links.cuts_gateway(by, moments.0, moments.1);
            if !self.was_away(who, from, at) && !cut {
                let what = format!("gateway {by} holds gateway {who} to have failed, which was there");
                verdict.breach(Rule::Members, at, what);
            }
        }
    }

    /// Something on the link was cut or silent at some time of that span.
    fn was_cut(&self, a: Party, b: Party, from: u64, until: u64) -> bool {
        let (from, until) = (Moment::from_micros(from), Moment::from_micros(until));
        let within = self.changes.iter().copied().filter(|at| from <= *at && *at <= until);
        let mut looks = [from, until].into_iter().chain(within);
        looks.any(|at| {
            let open = |a, b| self.links.way(a, b, at).open;
            !open(a, b) || !open(b, a) || self.links.caught(a, b, START, at)
        })
    }

    /// Of a relay, in seconds of work, over the whole play.
    fn mean_work(&self) -> f64 {
        let (number, sum) = self.work.values().flatten().fold((0.0, 0.0), |of, it| (of.0 + 1.0, of.1 + it.2));
        sum / f64::max(number, 1.0)
    }

    fn start(&self, server: u32, at: u64) -> Option<&Start> {
        self.starts.get(&server)?.iter().rev().find(|start| start.at <= at)
    }
}

fn span(ms: f64) -> u64 {
    Span::from_secs(ms / 1e3).micros()
}

/// Judges a play.
pub fn judge(trace: &Trace) -> Verdict {
    let mut verdict = Verdict::default();
    let history = History::new(trace, &mut verdict);
    for (id, job) in &history.jobs {
        one_answer(&history, *id, job, &mut verdict);
        no_double_effect(&history, *id, job, &mut verdict);
        drains(&history, *id, job, &mut verdict);
    }
    for (server, starts) in &history.starts {
        starts
            .iter()
            .filter(|start| start.cold)
            .for_each(|start| cold(&history, *server, start, &mut verdict));
    }
    ceilings(&history, &mut verdict);
    history.members(&mut verdict);
    verdict.breaches.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
    verdict
}

fn one_answer(history: &History, id: u64, job: &Job, verdict: &mut Verdict) {
    let slack = span(history.scenario.judge.answer_slack_ms);
    let due = job.abandon + slack;
    verdict.look(Rule::Accounted);
    if job.answers.is_empty() && job.left.is_none() {
        return verdict.breach(Rule::Accounted, job.sent, format!("job {id} came to no end"));
    }
    let answers: Vec<&(u64, Answer)> =
        job.answers.iter().filter(|answer| answer.1 != Answer::Unreached).collect();
    if answers.is_empty() && job.left.is_none_or(|left| left.1) {
        // It reached no gateway, or its client left of its own; one that is there must take it.
        let refused = job.left.is_none() && job.gateway != u32::MAX;
        let party = Party::Gateway(job.gateway);
        let until = job.answers.first().map_or(due, |answer| answer.0);
        let cut = history.was_cut(Party::Front, party, job.sent, until);
        if refused && !cut && !history.was_away(job.gateway, job.sent, until) {
            let what = format!("gateway {} did not take job {id}", job.gateway);
            verdict.breach(Rule::OneAnswer, job.sent, what);
        }
        return;
    }
    verdict.look(Rule::OneAnswer);
    if answers.len() > 1 {
        verdict.breach(
            Rule::OneAnswer,
            answers[1].0,
            format!("job {id} was answered {} times", answers.len()),
        );
    }
    let last = answers.first().map_or(job.left.map_or(due, |left| left.0), |answer| answer.0);
    let excused = history.was_away(job.gateway, job.sent, last)
        || history.was_cut(Party::Front, Party::Gateway(job.gateway), job.sent, last);
    match answers.first() {
        None if !excused => {
            verdict.breach(Rule::OneAnswer, due, format!("job {id} got no answer in its time"));
        }
        Some((at, Answer::Broken)) if !excused => {
            verdict.breach(Rule::OneAnswer, *at, format!("job {id} was lost: its connection ended"));
        }
        Some((at, _)) if *at > due && !excused => {
            let late = (*at - job.abandon) / 1_000;
            verdict.breach(Rule::OneAnswer, *at, format!("job {id} was answered {late} ms after its time"));
        }
        Some((at, Answer::Satisfied)) => {
            let served = job
                .relays
                .iter()
                .any(|relay| relay.over.is_some_and(|(over, how)| how == RelayOver::Answered && over <= *at));
            if !served {
                let what = format!("job {id} was satisfied with what no server made");
                verdict.breach(Rule::OneAnswer, *at, what);
            }
        }
        _ => {}
    }
}

fn no_double_effect(history: &History, id: u64, job: &Job, verdict: &mut Verdict) {
    let band = &history.scenario.band[job.band];
    let slack = span(history.scenario.judge.answer_slack_ms);
    let free = band.repeat == Repeat::Pure || (band.repeat == Repeat::Receipted && band.group == Group::All);
    if !job.relays.is_empty() {
        verdict.look(Rule::NoDoubleEffect);
    }
    let mut breach = |at, what| verdict.breach(Rule::NoDoubleEffect, at, what);
    let effects = job.effects.iter().filter(|effect| !effect.2).count();
    if band.repeat != Repeat::Pure && effects > 1 {
        breach(job.effects[1].0, format!("job {id} had its effect {effects} times"));
    }
    let answered = job.answers.first();
    let first_run = job.relays.iter().find(|relay| relay.may_have_run());
    for (index, relay) in job.relays.iter().enumerate() {
        if relay.gateway != job.gateway && relay.gateway != u32::MAX {
            breach(relay.at, format!("job {id} was relayed by gateway {}, not its own", relay.gateway));
        }
        if answered.is_some_and(|answer| relay.began > answer.0 + slack) {
            breach(relay.at, format!("job {id} was relayed after its answer"));
        }
        let Some(before) = index.checked_sub(1).map(|before| &job.relays[before]) else { continue };
        let out_still = before.over.is_none_or(|(over, _)| over > relay.at + slack);
        let place = |server| history.start(server, before.at).map_or(u32::MAX, |start| start.place);
        let ways = (Party::Gateway(before.gateway), Party::Server(place(before.server)));
        let until = before.over.map_or(relay.at, |over| over.0);
        if out_still && !history.was_cut(ways.0, ways.1, before.at, until) && !gone(history, before, relay.at)
        {
            breach(relay.at, format!("job {id} had two relays out at once"));
        }
        let Some(first) = first_run.filter(|first| first.at < relay.at) else { continue };
        let (from, to) = (history.start(first.server, first.at), history.start(relay.server, relay.at));
        let same = match (band.group, from, to) {
            (Group::All, ..) => true,
            (Group::Zone, Some(from), Some(to)) => from.zone == to.zone,
            (Group::Cell, Some(from), Some(to)) => from.cell == to.cell,
            _ => false,
        };
        let in_time = relay.began < first.began + span(band.window_ms) + slack;
        match band.repeat {
            Repeat::Pure => {}
            Repeat::Receipted if same && in_time => {}
            _ => breach(relay.at, format!("job {id} was sent again though it may have run")),
        }
    }
    if let (Some((at, Answer::Dismissed)), Some(first), false) = (answered, first_run, free) {
        if first.at <= *at {
            breach(*at, format!("job {id} was dismissed though it may have run"));
        }
    }
}

/// The server of a relay has died or been cut off meanwhile: nobody saw the relay's end.
fn gone(history: &History, relay: &Relay, until: u64) -> bool {
    let ended = history.ended.get(&relay.server).map_or(&[][..], Vec::as_slice);
    ended.iter().any(|at| relay.at <= *at && *at <= until)
}

fn drains(history: &History, id: u64, job: &Job, verdict: &mut Verdict) {
    let grace = span(history.scenario.deployment.drain_grace_ms + history.scenario.judge.drain_slack_ms);
    for relay in &job.relays {
        let Some(told) = history.told.get(&(relay.gateway, relay.server)) else { continue };
        verdict.look(Rule::Drains);
        // Since when it was told without a break that the server is of no use.
        let mut since = None;
        for (at, listed) in told.iter().filter(|told| told.0 <= relay.began) {
            since = if *listed == Listed::Ready { None } else { since.or(Some(*at)) };
        }
        if let Some(since) = since.filter(|since| relay.began > since + grace) {
            let (server, late) = (relay.server, (relay.began - since) / 1_000);
            let what = format!("job {id} went to server {server} {late} ms after it was told to be left");
            verdict.breach(Rule::Drains, relay.at, what);
        }
    }
}

fn cold(history: &History, server: u32, start: &Start, verdict: &mut Verdict) {
    // Chance: a tenth, and the largest job, which goes whole or not at all. Many calls have less of it by their
    // number: of N, twice its root and two are chance, no more.
    const CHANCE: f64 = 1.1;
    let by_number = |calls: f64| calls + 2.0 * calls.sqrt() + 2.0;
    let rules = &history.scenario.deployment.cold;
    let (warm, window) = (span(rules.warm_after_s * 1e3), span(rules.fall_span_s * 1e3));
    let Some(work) = history.work.get(&server) else { return };
    let work: Vec<&(u64, u32, f64)> =
        work.iter().filter(|(at, ..)| *at >= start.at && *at < start.at + warm).collect();
    let mean = history.mean_work();
    let knew = |gateway: u32, at: u64| {
        let told = history.told.get(&(gateway, server)).map_or(&[][..], Vec::as_slice);
        told.iter().any(|it| it.0 >= start.at && it.0 <= at && it.1 == Listed::Ready)
    };
    let mut from = 0;
    for (last, (at, ..)) in work.iter().enumerate() {
        verdict.look(Rule::Cold);
        while work[from].0 + window <= *at {
            from += 1;
        }
        let within = &work[from..=last];
        let sum: f64 = within.iter().map(|it| it.2).sum();
        let largest = within.iter().map(|it| it.2).fold(0.0, f64::max);
        let age = (*at - start.at) as f64 / warm.max(1) as f64;
        let capacity = start.capacity * (rules.share + (1.0 - rules.share) * age).min(1.0);
        let budget = rules.fall_multiple * capacity * rules.fall_span_s;
        let most = (budget * CHANCE + largest).min(by_number(budget / mean) * mean);
        let told: f64 = within.iter().filter(|it| knew(it.1, it.0)).map(|it| it.2).sum();
        if sum > most && told * 3.0 >= sum * 2.0 {
            let span = rules.fall_span_s;
            let what =
                format!("cold server {server} was sent {sum:.2} s of work in {span} s, {most:.2} at most");
            return verdict.breach(Rule::Cold, *at, what);
        }
    }
}

fn ceilings(history: &History, verdict: &mut Verdict) {
    // As the protocol page widens the slack on sockets.
    const WIDER_S: f64 = 0.15;
    let mut firsts: Vec<(u64, u64, usize, f64)> = Vec::new();
    for job in history.jobs.values() {
        if let Some(first) = job.relays.first() {
            firsts.push((first.at, job.customer, job.plan, f64::from(job.units)));
        }
    }
    firsts.sort_by_key(|first| first.0);
    let mut stores: BTreeMap<u64, (f64, u64)> = BTreeMap::new();
    let mut told = BTreeSet::new();
    for (at, customer, plan, units) in firsts {
        let Some(ceiling) = &history.scenario.plan[plan].ceiling else { continue };
        verdict.look(Rule::Ceilings);
        let store = stores.entry(customer).or_insert((ceiling.burst, at));
        let refilled = (at - store.1) as f64 / 1e6 * ceiling.rate;
        *store = ((store.0 + refilled).min(ceiling.burst) - units, at);
        let slack = ceiling.slack + ceiling.rate * WIDER_S;
        if store.0 < -slack - 1e-6 && told.insert(customer) {
            let what = format!("customer {customer} is {:.1} units beyond its ceiling", -store.0);
            verdict.breach(Rule::Ceilings, at, what);
        }
    }
}
