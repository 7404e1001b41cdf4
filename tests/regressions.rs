//! Regression tests: one for each fault that was found.

mod common;

use common::*;
use fennelgauge::choice::Gateway;
use fennelgauge::host::*;
use fennelgauge::time::Span;
use std::collections::BTreeMap;

fn counter_add(actions: &[Action]) -> Option<(CounterKey, f64)> {
    actions.iter().find_map(|action| {
        if let Action::AddToCounter(key, amount) = action {
            Some((*key, *amount))
        } else {
            None
        }
    })
}

fn relay_server(actions: &[Action]) -> Option<ServerId> {
    actions
        .iter()
        .find_map(|action| if let Action::Relay(_, server, _) = action { Some(*server) } else { None })
}

/// A job within its quota but above its ceiling was held beyond its abandon time.
#[test]
fn a_job_above_its_ceiling_is_rejected_in_time() {
    let mut deployment = deployment();
    deployment.plans[2].ceiling = Some(Ceiling { rate: 0.01, ..CEILING });
    let (mut gateway, host) = gateway(deployment, 2);
    gateway.job_arrived(at(10), arrival(1, 0, 2, 4.0, at(400)));
    let (key, amount) = counter_add(&host.take()).expect("a counter call");
    gateway.counter_replied(at(12), key, Some(amount), Outcome::Succeeded);
    assert!(host.take().contains(&Action::Reject(1)));
}

/// Slow answers made every job look too late, so no relay was sent that could have corrected the measurement.
#[test]
fn slow_answers_do_not_end_all_relays() {
    let mut deployment = deployment();
    deployment.plans[0] = Plan::default();
    let (mut gateway, host) = gateway(deployment, 2);
    for job in 0..200 {
        let now = job * 2_000;
        gateway.job_arrived(at(now), arrival(job, 0, 0, 1.0, at(now + 1_900)));
        let server = relay_server(&host.take()).expect("a relay");
        gateway.relay_ended(at(now + 1_500), end(job, server, Outcome::Succeeded, 1_500));
    }
}

/// Units requested but not granted stayed in the total and locked out the other gateways.
#[test]
fn units_requested_but_not_granted_are_returned() {
    let (mut gateway, host) = gateway(deployment(), 2);
    gateway.job_arrived(at(10), arrival(1, 0, 1, 1.0, at(2_000)));
    let (key, amount) = counter_add(&host.take()).expect("a counter call");
    gateway.counter_replied(at(12), key, Some(amount + 3.0), Outcome::Succeeded);
    assert_eq!(counter_add(&host.take()), Some((key, -amount)));
}

/// Time-outs of an overloaded counter caused more calls, which overloaded it further.
#[test]
fn calls_to_a_counter_are_limited() {
    let (mut gateway, host) = gateway(deployment(), 2);
    for job in 0..100 {
        let arrival = Arrival { customer: 1_000 + job, ..arrival(job, 0, 0, 1.0, at(2_000)) };
        gateway.job_arrived(at(10), arrival);
    }
    let calls = host.take().iter().filter(|action| matches!(action, Action::AddToCounter(..))).count();
    assert!((1..=6).contains(&calls), "{calls}");
}

/// Without a counter, every gateway of a set repeatedly rounded its share of the quota up to a whole job, and
/// together they exceeded the quota. Each may grant one job at first; after that, all together keep to the rate.
#[test]
fn gateways_without_a_counter_keep_the_quota_together() {
    let mut sent = 0;
    for own_index in 0..8 {
        let deployment = Deployment { gateway_count: 8, own_index, has_counter: false, ..deployment() };
        let (mut gateway, host) = gateway(deployment, 4);
        for job in 0..400 {
            let (now, set_size) = (10 + job * 50, 8);
            gateway.job_closed(at(now), job.saturating_sub(1));
            gateway.job_arrived(
                at(now),
                Arrival { gateway_set_size: set_size, ..arrival(job, 0, 0, 1.0, at(now + 500)) },
            );
            for action in host.take() {
                if let Action::Relay(job, server, _) = action {
                    sent += 1;
                    gateway.relay_ended(at(now + 1), end(job, server, Outcome::Succeeded, 1));
                }
            }
        }
    }
    let plan = &deployment().plans[0];
    let refilled = plan.rate * 20.0;
    assert!(f64::from(sent) > refilled && f64::from(sent) <= refilled + plan.burst + 8.0, "{sent}");
}

/// Relays that hung until their abandon time occupied capacity at servers that answered all other jobs.
#[test]
fn a_hanging_relay_is_cancelled_if_a_late_answer_earns_nothing() {
    for (late_share, cancelled) in [(0.0, true), (0.2, false)] {
        let mut deployment = deployment();
        deployment.plans[0] = Plan::default();
        deployment.classes[0].late_benefit_share = late_share;
        let (mut gateway, host) = gateway(deployment, 1);
        gateway.job_arrived(at(10), arrival(1, 0, 0, 1.0, at(5_000)));
        for job in 2..60 {
            let now = job * 40;
            gateway.job_arrived(at(now), arrival(job, 0, 0, 1.0, at(now + 4_000)));
            gateway.relay_ended(at(now + 20), end(job, 0, Outcome::Succeeded, 20));
            gateway.timer_fired(at(now + 20), 1);
        }
        assert_eq!(host.take().contains(&Action::CancelRelay(1, 0)), cancelled);
    }
}

/// Eleven gateways each started with four relays per server, which together overloaded it.
#[test]
fn the_initial_limit_per_server_is_divided_among_the_gateways() {
    for (gateways, most) in [(2, 6), (12, 1)] {
        let mut deployment = Deployment { gateway_count: gateways, ..deployment() };
        deployment.plans[0] = Plan::default();
        let (mut gateway, host) = gateway(deployment, 1);
        (0..20).for_each(|job| gateway.job_arrived(at(10), arrival(job, 0, 0, 1.0, at(2_000))));
        assert_eq!(host.take().iter().filter(|action| matches!(action, Action::Relay(..))).count(), most);
    }
}

/// A server that refused all jobs at once looked idle and attracted most of the relays.
#[test]
fn a_server_that_refuses_all_jobs_attracts_no_relays() {
    let mut deployment = deployment();
    deployment.plans[0] = Plan::default();
    let (mut gateway, host) = gateway(deployment, 4);
    let mut sent = 0;
    for job in 0..400 {
        let arrival = Arrival { customer: job % 50, ..arrival(job, 0, 0, 1.0, at(job * 20 + 2_000)) };
        gateway.job_arrived(at(job * 20), arrival);
        while let Some(server) = relay_server(&host.take()) {
            let outcome = if server == 0 { Outcome::Full } else { Outcome::Succeeded };
            sent += usize::from(server == 0);
            gateway.relay_ended(at(job * 20 + 1), end(job, server, outcome, 1));
        }
    }
    assert!(sent < 40, "{sent}");
}

/// All units of a window were granted at its start, before the quota had refilled them.
#[test]
fn the_units_of_a_window_accrue_evenly() {
    let (mut gateway, host) = gateway(deployment(), 4);
    let mut sent = 0.0;
    let mut totals = BTreeMap::new();
    for job in 0..1_000 {
        gateway.job_arrived(at(job * 10), arrival(job, 0, 0, 1.0, at(job * 10 + 200)));
        for action in host.take() {
            match action {
                Action::AddToCounter(key, amount) => {
                    let total = totals.entry(key).or_insert(0.0);
                    *total += amount;
                    gateway.counter_replied(at(job * 10), key, Some(*total), Outcome::Succeeded);
                }
                Action::Relay(job, server, _) => {
                    sent += 1.0;
                    gateway.relay_ended(at(job * 10), end(job, server, Outcome::Succeeded, 1));
                }
                _ => {}
            }
        }
    }
    let plan = &deployment().plans[0];
    assert!(sent <= plan.burst + plan.rate * 10.0 + 8.0, "{sent}");
}

/// If idle servers take a fifth of the latency target, every answer counted as slow and all limits fell to the
/// minimum.
#[test]
fn servers_that_are_slow_without_load_are_not_limited_for_it() {
    let mut deployment = Deployment { gateway_count: 12, ..deployment() };
    deployment.plans[0] = Plan::default();
    let (mut gateway, host) = gateway(deployment, 1);
    let mut last = 0;
    for job in 0..4_000 {
        let (now, took) = (job * 200, [60, 94, 102][job as usize / 4 % 3]);
        gateway.job_arrived(at(now), arrival(job, 0, 0, 1.0, at(now + 480)));
        for action in host.take() {
            if let Action::Relay(id, server, _) = action {
                last += usize::from(job >= 3_500);
                gateway.relay_ended(at(now + took), end(id, server, Outcome::Succeeded, took));
            }
        }
    }
    assert!(last > 400, "{last}");
}

/// Rule 5 with a counter that always grants: each gateway of a set must not use the whole ceiling.
#[test]
fn gateways_of_a_set_keep_the_ceiling_whatever_the_counter_says() {
    let mut sent = 0.0;
    for own_index in 0..2 {
        let (mut gateway, host) = gateway(Deployment { own_index, ..deployment() }, 8);
        for job in 0..20 {
            // The first job arrives when the ceiling starts to refill, the others when it has long been full.
            let now = if job == 0 { 0 } else { 20_000 };
            gateway.job_arrived(at(now), arrival(job, 0, 2, 1.0, at(now + 1_000)));
            let mut actions = host.take();
            while let Some(action) = actions.pop() {
                match action {
                    Action::AddToCounter(key, _) => {
                        gateway.counter_replied(at(now), key, Some(0.0), Outcome::Succeeded)
                    }
                    Action::Relay(job, server, _) => {
                        sent += 1.0;
                        gateway.relay_ended(at(now), end(job, server, Outcome::Succeeded, 1));
                    }
                    _ => {}
                }
                actions.append(&mut host.take());
            }
        }
    }
    assert!(sent > CEILING.burst / 2.0 && sent <= CEILING.burst + CEILING.slack, "{sent}");
}

/// Each of a hundred gateways retried calls to a counter that refuses them at once, a hundred times per job.
#[test]
fn calls_pause_if_many_gateways_share_a_counter() {
    let (mut gateway, host) = gateway(Deployment { gateway_count: 100, ..deployment() }, 4);
    let mut calls = 0;
    for job in 0..40 {
        // Two jobs of each customer: one is granted locally, the other waits for a total.
        let arrival =
            Arrival { customer: job / 2, gateway_set_size: 100, ..arrival(job, 0, 0, 2.0, at(2_000)) };
        gateway.job_arrived(at(10), arrival);
    }
    for now in (10..400).step_by(2) {
        for action in host.take() {
            if let Action::AddToCounter(key, _) = action {
                calls += 1;
                gateway.counter_replied(at(now), key, None, Outcome::Full);
            }
        }
        gateway.timer_fired(at(now), u64::MAX);
    }
    assert!((2..=12).contains(&calls), "{calls}");
}

/// Sixty gateways sent their first jobs to a newly started server at the same time, and it failed.
#[test]
fn many_gateways_do_not_send_a_cold_server_their_first_jobs_at_once() {
    let mut sent = 0;
    for own_index in 0..60 {
        let mut deployment = Deployment { gateway_count: 60, own_index, ..deployment() };
        deployment.plans[0] = Plan::default();
        let (mut gateway, host) = gateway(deployment, 2);
        for job in 0..40 {
            let now = job * 500;
            if job == 38 {
                gateway.roster_changed(at(now), [entry(0, Health::Ready, Some(at(now)))].into_iter());
            }
            gateway.job_arrived(at(now), Arrival { customer: job, ..arrival(job, 0, 0, 1.0, at(now + 490)) });
            for action in host.take() {
                if let Action::Relay(id, server, _) = action {
                    sent += usize::from(job >= 38 && server == 0);
                    gateway.relay_ended(at(now + 20), end(id, server, Outcome::Succeeded, 20));
                }
            }
        }
    }
    // Each of 60 gateways had two jobs to send within a second; a cold server takes a third of what a warm one
    // does.
    assert!((1..=30).contains(&sent), "{sent}");
}

/// Jobs of impatient clients were sent although their clients would give up before an answer.
#[test]
fn a_job_without_time_for_an_answer_is_rejected_at_once() {
    let (mut gateway, host) = gateway(deployment(), 4);
    gateway.job_arrived(at(10), arrival(1, 0, 0, 1.0, at(100)));
    assert_eq!(host.take(), vec![Action::Reject(1)]);
}

/// A gateway without calls in the last window granted half of the burst again, however much had been used.
#[test]
fn the_burst_deficit_of_the_last_window_is_added_to_the_total() {
    let (mut first, host) = gateway(deployment(), 4);
    first.job_arrived(at(10), arrival(1, 0, 0, 6.5, at(2_000)));
    let (key, amount) = counter_add(&host.take()).expect("a counter call");
    first.counter_replied(at(12), key, Some(amount), Outcome::Succeeded);
    let (last, _) = counter_add(&host.take()).expect("a read of the last window's total");
    first.counter_replied(at(14), last, Some(12.0), Outcome::Succeeded);
    let (deficit_key, deficit) = counter_add(&host.take()).expect("an add of the burst deficit");
    assert!(deficit_key == key && last != key && deficit > 1_000.0);
    let (mut second, host) = gateway(deployment(), 4);
    second.job_arrived(at(20), arrival(2, 0, 0, 1.0, at(420)));
    assert!(counter_add(&host.take()).is_some());
    second.counter_replied(at(22), key, Some(amount + deficit + 1.0), Outcome::Succeeded);
    assert_eq!(relay_server(&host.take()), None);
}

/// A fleet reduced to a few servers got as many relays as the whole one.
#[test]
fn a_fleet_that_shrinks_gets_less() {
    let mut deployment = Deployment { gateway_count: 20, ..deployment() };
    deployment.plans[0] = Plan::default();
    let (mut gateway, host) = gateway(deployment, 20);
    let mut out = [0, 0];
    for (round, ready) in [(0, 20), (1, 2)] {
        gateway.roster_replaced(at(10), (0..ready).map(|id| entry(id, Health::Ready, None)));
        (0..50).for_each(|job| gateway.job_arrived(at(10), arrival(100 * round + job, 0, 0, 1.0, at(2_000))));
        let relays = host.take().into_iter().filter(|action| matches!(action, Action::Relay(..))).count();
        out[round as usize] = relays;
    }
    assert!(out[0] == 6 && out[1] == 0, "{out:?}");
}

/// A failed job that must not run again was held for a server until its deadline.
#[test]
fn a_job_that_no_server_may_have_again_is_answered_at_once() {
    for (class, outcome, servers, answer) in [
        (3, Outcome::Error, 3, Action::Fail(1)),
        (2, Outcome::Reset, 2, Action::Fail(1)),
        (3, Outcome::Full, 1, Action::Reject(1)),
        (0, Outcome::Error, 1, Action::Reject(1)),
    ] {
        let mut deployment = deployment();
        deployment.plans[0] = Plan::default();
        let (mut gateway, host) = gateway(deployment, servers);
        gateway.job_arrived(at(0), arrival(1, class, 0, 1.0, at(2_000)));
        let server = relay_server(&host.take()).expect("a relay");
        gateway.relay_ended(at(5), end(1, server, outcome, 5));
        assert_eq!(host.take(), [answer]);
    }
}

/// After an outage of seconds, a gateway called the counter only once per second for minutes.
#[test]
fn calls_recover_soon_after_an_outage_of_the_counter() {
    let (mut gateway, host) = gateway(deployment(), 2);
    let (mut calls, mut out) = ([0; 3], Vec::new());
    for job in 0..6_000 {
        // One job per millisecond, each of another customer; calls are not answered in the second third.
        let (now, third) = (at(job), job as usize / 2_000);
        for (key, amount) in std::mem::take(&mut out) {
            let (total, outcome) =
                if third == 1 { (None, Outcome::TimedOut) } else { (Some(amount), Outcome::Succeeded) };
            gateway.counter_replied(now, key, total, outcome);
            calls[third] += 1;
        }
        let arrival = Arrival { customer: 1_000 + job, ..arrival(job, 0, 0, 1.0, at(job + 400)) };
        gateway.job_arrived(now, arrival);
        gateway.timer_fired(now, u64::MAX);
        let added = host.take().into_iter();
        out.extend(added.filter_map(|action| {
            if let Action::AddToCounter(key, amount) = action {
                Some((key, amount))
            } else {
                None
            }
        }));
    }
    assert!(calls[1] < 100, "{calls:?}");
    assert!(calls[2] > calls[0] / 2, "{calls:?}");
}

/// A customer whose state is dropped among many others must not get a full share of its ceiling again.
#[test]
fn ceilings_hold_while_many_customers_come_and_go() {
    let mut deployment = deployment();
    deployment.has_counter = false;
    let (mut gateway, host) = gateway(deployment, 2);
    let mut units = 0.0;
    // Half of the ceiling is this gateway's: 1.5 units per second, and 6.5 at once.
    for job in 0..40_000 {
        let now = at(10_000 + job * 5);
        let (customer, plan) = if job % 20 == 0 { (7, 2) } else { (1_000 + job, 0) };
        gateway.job_arrived(
            now,
            Arrival { customer, ..arrival(job, 0, plan, 1.0, now + Span::from_millis(300)) },
        );
        let server = relay_server(&host.take());
        if let Some(server) = server {
            units += if job % 20 == 0 { 1.0 } else { 0.0 };
            gateway.relay_ended(now, end(job, server, Outcome::Succeeded, 1));
        } else {
            gateway.job_closed(now, job);
        }
    }
    assert!(units > 100.0 && units <= 1.5 * 210.0 + 6.5, "{units}");
}

/// A lost counter call was repeated for the same job, which waited for one time-out after another.
#[test]
fn a_job_whose_call_is_lost_is_granted_locally() {
    let (mut gateway, host) = gateway(deployment(), 2);
    gateway.job_arrived(at(10), arrival(1, 0, 0, 1.0, at(2_000)));
    let (key, _) = counter_add(&host.take()).expect("a counter call");
    gateway.counter_replied(at(40), key, None, Outcome::TimedOut);
    assert!(relay_server(&host.take()).is_some());
}

/// A release replaced all servers within the time that one is cold: none was warm, so none got a job.
#[test]
fn cold_servers_are_used_when_none_is_warm() {
    let mut deployment = deployment();
    deployment.plans[0] = Plan::default();
    let (mut gateway, host) = gateway(deployment, 2);
    let relays = |gateway: &mut Gateway<RecordingHost>, jobs: std::ops::Range<u64>, from: u64| -> usize {
        let sent = jobs.filter(|job| {
            let now = from + job * 20;
            let customer = 100 + job;
            gateway.job_arrived(at(now), Arrival { customer, ..arrival(*job, 0, 0, 1.0, at(now + 2_000)) });
            let server = relay_server(&host.take());
            if let Some(server) = server {
                gateway.relay_ended(at(now + 10), end(*job, server, Outcome::Succeeded, 10));
            }
            server.is_some()
        });
        sent.count()
    };
    assert_eq!(relays(&mut gateway, 0..200, 0), 200);
    let fresh = (2..4).map(|id| entry(id, Health::Ready, Some(at(4_000))));
    gateway.roster_replaced(at(4_000), fresh);
    // They get a share of what the warm ones carried; before the fix they got nothing.
    let sent = relays(&mut gateway, 200..400, 2_000);
    assert!((20..150).contains(&sent), "{sent}");
}

/// Units granted locally while the counter refused calls, more than a window refills, were carried from window to
/// window. They caused every job to be rejected, and without jobs no call reported them: the customer was locked
/// out at that gateway for good.
#[test]
fn unreported_units_do_not_lock_out_a_customer_for_good() {
    let (mut gateway, host) = gateway(deployment(), 2);
    let mut calls_after_recovery = 0;
    for job in 0..400 {
        let now = at(job * 100);
        gateway.job_arrived(now, arrival(job, 0, 0, 1.0, now + Span::from_millis(1_000)));
        // Calls and relays are answered at once; the calls of the first ten seconds are refused.
        loop {
            let actions = host.take();
            let key = actions.iter().find_map(|action| {
                if let Action::AddToCounter(key, _) = action {
                    Some(*key)
                } else {
                    None
                }
            });
            if let Some(server) = relay_server(&actions) {
                gateway.relay_ended(now, end(job, server, Outcome::Succeeded, 1));
            }
            let Some(key) = key else { break };
            calls_after_recovery += u32::from(job > 300);
            let total = (job >= 100).then_some(1.0);
            gateway.counter_replied(
                now,
                key,
                total,
                if total.is_some() { Outcome::Succeeded } else { Outcome::Full },
            );
        }
    }
    assert!(calls_after_recovery > 20, "{calls_after_recovery}");
}
