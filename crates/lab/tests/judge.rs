//! Each check of the judge is fed a play that keeps the rules, and the same play with one fault in it.

use fennelgauge::time::Moment;
use fennelgauge_lab::judge::{judge, Rule};
use fennelgauge_lab::record::{Answer, Event, Life, Listed, Played, RelayOver, Trace};
use fennelgauge_lab::scenario::Scenario;
use fennelgauge_lab::timeline::moment;

const SCENARIO: &str = "
name = 'judged'
seed = 1
length_s = 10
[deployment]
gateways = 2
servers = 4
cold = { share = 0.5, warm_after_s = 10, fall_multiple = 2, fall_span_s = 1 }
[load]
jobs_per_s = 1
most_units = 4
[servers]
cell = 2
[[band]]
name = 'pure'
target_ms = 500
abandon_ms = 1000
repeat = 'pure'
work_ms = 50
[[band]]
name = 'receipted'
target_ms = 500
abandon_ms = 1000
repeat = 'receipted'
group = 'cell'
window_ms = 300
work_ms = 50
[[band]]
name = 'effectful'
target_ms = 500
abandon_ms = 1000
repeat = 'effectful'
work_ms = 50
[[plan]]
name = 'capped'
customers = 10
ceiling = { rate = 1, burst = 4, slack = 1 }
";

const PURE: usize = 0;
const RECEIPTED: usize = 1;
const EFFECTFUL: usize = 2;

struct Play(Trace);

impl Play {
    fn new() -> Self {
        let scenario = Scenario::parse("judged.toml", SCENARIO).unwrap();
        let mut play = Self(Trace::new(Played::Simulated, &scenario));
        for server in 1..=4 {
            let started = Event::Started {
                server,
                place: server - 1,
                zone: 0,
                cell: (server as u16 - 1) / 2,
                rating: 1.0,
                capacity: 2.0,
                cold: false,
            };
            play.at(-1.0, started);
        }
        for gateway in 0..2 {
            play.at(-1.0, Event::Gateway { gateway, life: Life::Ready });
        }
        play
    }

    /// Records are kept in the order of time.
    fn at(&mut self, secs: f64, event: Event) -> &mut Self {
        let at = if secs < 0.0 { Moment::from_micros(900_000_000) } else { moment(secs) };
        self.0.put(at, event);
        self.0.records.sort_by_key(|record| record.at);
        self
    }

    /// A job of one unit of gateway 0, with a second's time.
    fn sent(&mut self, secs: f64, job: u64, band: usize, customer: u64) -> &mut Self {
        let abandon = moment(secs + 1.0).micros();
        self.at(secs, Event::Sent { job, nth: 0, customer, plan: 0, band, units: 1, gateway: 0, abandon })
    }

    /// A relay from `gateway` that ends so a tenth of a second later.
    fn relay(&mut self, secs: f64, job: u64, server: u32, how: RelayOver) -> &mut Self {
        let began = moment(secs).micros();
        let relay = Event::Relay { job, server, gateway: 0, began, work: 0.05, fresh: false };
        self.at(secs, relay).at(secs + 0.1, Event::RelayOver { job, server, how })
    }

    fn answered(&mut self, secs: f64, job: u64, how: Answer) -> &mut Self {
        self.at(secs, Event::Answered { job, how })
    }

    fn effect(&mut self, secs: f64, job: u64, server: u32) -> &mut Self {
        self.at(secs, Event::Effect { job, server, repeat: false })
    }

    /// Exactly that rule is broken, or none.
    fn breaks(&self, rule: impl Into<Option<Rule>>) {
        let (rule, verdict) = (rule.into(), judge(&self.0));
        let broken: Vec<Rule> = Rule::ALL.into_iter().filter(|rule| verdict.broken(*rule) > 0).collect();
        assert_eq!(broken, Vec::from_iter(rule), "{:#?}", verdict.breaches);
    }
}

/// One job of each band, relayed and satisfied.
fn kept() -> Play {
    let mut play = Play::new();
    for (job, band) in [(16, PURE), (32, RECEIPTED), (48, EFFECTFUL)] {
        play.sent(1.0, job, band, job).relay(1.1, job, 1, RelayOver::Answered).effect(1.2, job, 1);
        play.answered(1.21, job, Answer::Satisfied);
    }
    play
}

#[test]
fn a_play_that_keeps_the_rules_is_looked_at_and_passes() {
    let play = kept();
    play.breaks(None);
    let looked = judge(&play.0).looked;
    for rule in [Rule::OneAnswer, Rule::NoDoubleEffect, Rule::Accounted, Rule::Ceilings] {
        assert_eq!(looked.get(&rule), Some(&3), "{rule:?}");
    }
}

#[test]
fn one_answer_by_the_abandon_time() {
    kept().answered(1.5, 16, Answer::Dismissed).breaks(Rule::OneAnswer);
    let lost = |job| Event::Left { job, early: false };
    kept().sent(3.0, 64, PURE, 64).at(4.5, lost(64)).breaks(Rule::OneAnswer);
    // Late by more than the slack; just within it is in time.
    kept().sent(3.0, 64, PURE, 64).answered(4.1, 64, Answer::Dismissed).breaks(Rule::OneAnswer);
    kept().sent(3.0, 64, PURE, 64).answered(4.04, 64, Answer::Dismissed).breaks(None);
    kept().sent(3.0, 64, PURE, 64).answered(3.2, 64, Answer::Broken).breaks(Rule::OneAnswer);
    kept().sent(3.0, 64, PURE, 64).answered(3.0, 64, Answer::Unreached).breaks(Rule::OneAnswer);
    // Made up by the gateway, or passed on before any server had answered.
    kept().sent(3.0, 64, PURE, 64).answered(3.2, 64, Answer::Satisfied).breaks(Rule::OneAnswer);
    // A client that leaves of its own is owed nothing.
    kept().sent(3.0, 64, PURE, 64).at(3.5, Event::Left { job: 64, early: true }).breaks(None);
}

#[test]
fn a_gateway_that_was_killed_or_stopped_is_excused_and_no_other() {
    let dies = |gateway| {
        let mut play = kept();
        play.at(3.1, Event::Gateway { gateway, life: Life::Down });
        play.sent(3.0, 64, PURE, 64).answered(3.2, 64, Answer::Broken);
        play
    };
    dies(0).breaks(None);
    dies(1).breaks(Rule::OneAnswer);
    let mut play = kept();
    play.at(3.1, Event::Gateway { gateway: 0, life: Life::Stopped });
    play.at(5.0, Event::Gateway { gateway: 0, life: Life::Continued });
    play.sent(3.0, 64, PURE, 64).answered(5.1, 64, Answer::Dismissed);
    play.breaks(None);
    play.sent(6.0, 80, PURE, 80).answered(8.1, 80, Answer::Dismissed);
    play.breaks(Rule::OneAnswer);
    kept().at(3.1, Event::Gateway { gateway: 0, life: Life::Crashed }).breaks(Rule::Crash);
}

#[test]
fn everything_is_accounted_for() {
    kept().sent(3.0, 64, PURE, 64).breaks(Rule::Accounted);
    kept().relay(3.0, 64, 1, RelayOver::Answered).breaks(Rule::Accounted);
    kept().answered(3.0, 64, Answer::Satisfied).breaks(Rule::Accounted);
    kept().sent(1.0, 16, PURE, 16).breaks(Rule::Accounted);
}

#[test]
fn no_double_effect_by_band() {
    let twice = |band, first: RelayOver, server, secs: f64, effect: bool| {
        let mut play = kept();
        play.sent(3.0, 64, band, 64).relay(3.05, 64, 1, first);
        if effect {
            play.effect(3.13, 64, 1);
        }
        play.relay(secs, 64, server, RelayOver::Answered).effect(secs + 0.09, 64, server);
        play.answered(secs + 0.11, 64, Answer::Satisfied);
        play
    };
    twice(PURE, RelayOver::Failed, 2, 3.2, true).breaks(None);
    twice(EFFECTFUL, RelayOver::TurnedAway, 2, 3.2, false).breaks(None);
    twice(EFFECTFUL, RelayOver::Failed, 2, 3.2, false).breaks(Rule::NoDoubleEffect);
    twice(EFFECTFUL, RelayOver::TurnedAway, 2, 3.2, true).breaks(Rule::NoDoubleEffect);
    // Only within the cell, and only while its servers remember.
    twice(RECEIPTED, RelayOver::Reset, 2, 3.2, false).breaks(None);
    twice(RECEIPTED, RelayOver::Reset, 3, 3.2, false).breaks(Rule::NoDoubleEffect);
    twice(RECEIPTED, RelayOver::Reset, 2, 3.45, false).breaks(Rule::NoDoubleEffect);
    // Not two at once, and none after the answer.
    twice(PURE, RelayOver::Answered, 2, 3.05, false).breaks(Rule::NoDoubleEffect);
    kept().relay(1.5, 16, 2, RelayOver::Answered).breaks(Rule::NoDoubleEffect);
    // A dismissal says that a retry is harmless.
    for (band, rule) in
        [(PURE, None), (RECEIPTED, Some(Rule::NoDoubleEffect)), (EFFECTFUL, Some(Rule::NoDoubleEffect))]
    {
        let mut play = kept();
        play.sent(3.0, 64, band, 64).relay(3.1, 64, 1, RelayOver::Closed).answered(
            3.3,
            64,
            Answer::Dismissed,
        );
        play.breaks(rule);
    }
}

#[test]
fn a_server_that_drains_gets_nothing_new() {
    let told = |listed, secs: f64| {
        let mut play = kept();
        play.at(0.5, Event::Told { gateway: 0, server: 2, listed });
        play.sent(secs, 64, PURE, 64).relay(secs, 64, 2, RelayOver::Answered);
        play.answered(secs + 0.2, 64, Answer::Satisfied);
        play
    };
    told(Listed::Ready, 2.0).breaks(None);
    // A quarter of a second and the slack are granted.
    told(Listed::Draining, 0.7).breaks(None);
    told(Listed::Draining, 0.9).breaks(Rule::Drains);
    told(Listed::Gone, 2.0).breaks(Rule::Drains);
    told(Listed::Draining, 2.0)
        .at(0.9, Event::Told { gateway: 0, server: 2, listed: Listed::Ready })
        .breaks(None);
}

#[test]
fn a_cold_server_is_not_pushed_over() {
    // At first it does half of its capacity, and bears twice that.
    let pushed = |jobs: u64, told: bool, capacity: f64, span: f64| {
        let mut play = kept();
        let started =
            Event::Started { server: 9, place: 0, zone: 0, cell: 0, rating: 1.0, capacity, cold: true };
        play.at(2.0, started);
        if told {
            play.at(2.5, Event::Told { gateway: 0, server: 9, listed: Listed::Ready });
        }
        for job in 0..jobs {
            let (id, secs) = (64 + job * 16, 3.0 + job as f64 * span / jobs as f64);
            play.sent(secs, id, PURE, id).relay(secs, id, 9, RelayOver::Answered);
            play.answered(secs + 0.2, id, Answer::Satisfied);
        }
        play
    };
    pushed(45, true, 2.0, 0.45).breaks(None);
    pushed(60, true, 2.0, 0.6).breaks(Rule::Cold);
    // Those who had not heard of its start are not to blame.
    pushed(60, false, 2.0, 0.6).breaks(None);
    // A budget of some 940 calls: a twentieth more is chance, what a tenth would be is not.
    pushed(990, true, 40.0, 0.8).breaks(None);
    pushed(1_025, true, 40.0, 0.8).breaks(Rule::Cold);
}

#[test]
fn a_ceiling_holds_over_all_gateways_together() {
    let burst = |jobs: u64| {
        let mut play = kept();
        for job in 0..jobs {
            let id = 64 + job * 16;
            play.sent(3.0, id, PURE, 7).relay(3.0, id, 1, RelayOver::Answered);
            play.answered(3.2, id, Answer::Satisfied);
        }
        play
    };
    // Four at once, one of slack, and what the rate gives in 150 ms.
    burst(5).breaks(None);
    burst(6).breaks(Rule::Ceilings);
}
