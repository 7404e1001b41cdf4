//! When peer counts are used: while calls to the counter have to wait, and only then.

#[allow(dead_code)]
mod common;

use common::{arrival, at, deployment, gateway, Action, RecordingHost};
use fennelgauge::choice::Gateway;
use fennelgauge::host::*;

/// Returns one of a hundred gateways, whose calls would crowd the counter even one at a time.
fn gateway_with_limited_calls() -> (Gateway<RecordingHost>, RecordingHost) {
    let (gateway, host) = gateway(Deployment { gateway_count: 100, ..deployment() }, 4);
    host.peers_can_count.set(true);
    (gateway, host)
}

fn send_job(gateway: &mut Gateway<RecordingHost>, id: JobId, customer: CustomerId, plan: usize, millis: u64) {
    let arrival = arrival(id, 0, plan, 1.0, at(millis + 1_000));
    gateway.job_arrived(at(millis), Arrival { customer, ..arrival });
}

fn peer_adds(actions: &[Action]) -> Vec<(CounterKey, f64, ConditionalAdd)> {
    let adds = actions.iter().filter_map(|action| match action {
        Action::AddToPeerCount(key, amount, conditional) => Some((*key, *amount, *conditional)),
        _ => None,
    });
    adds.collect()
}

fn relay_count(actions: &[Action]) -> usize {
    actions.iter().filter(|action| matches!(action, Action::Relay(..))).count()
}

fn counter_call(actions: &[Action]) -> Option<CounterKey> {
    actions
        .iter()
        .find_map(|action| if let Action::AddToCounter(key, _) = action { Some(*key) } else { None })
}

#[test]
fn calls_that_need_not_wait_go_to_the_counter_only() {
    let (mut gateway, host) = gateway(deployment(), 4);
    host.peers_can_count.set(true);
    for id in 0..200 {
        send_job(&mut gateway, id, 1_000 + id, 0, id * 40);
        let actions = host.take();
        let key = counter_call(&actions).expect("a counter call");
        assert!(peer_adds(&actions).is_empty());
        gateway.counter_replied(at(id * 40 + 2), key, Some(1.0), Outcome::Succeeded);
        assert!(peer_adds(&host.take()).is_empty());
    }
}

#[test]
fn a_call_that_has_to_wait_goes_to_the_peer_count() {
    let (mut gateway, host) = gateway_with_limited_calls();
    send_job(&mut gateway, 1, 1_000, 0, 10);
    assert!(counter_call(&host.take()).is_some(), "the first call need not wait");
    send_job(&mut gateway, 2, 1_001, 0, 11);
    let actions = host.take();
    let (key, unconditional, conditional) = peer_adds(&actions)[0];
    assert!(counter_call(&actions).is_none() && unconditional == 0.0 && conditional.amount == 1.0);
    // Half of the burst is available at first; all of it is if the total contains the deficit marker.
    assert!(
        conditional.permits(5.9) && !conditional.permits(40.0) && conditional.max_with_deficit > 256.0 * 12.0
    );
    gateway.peer_count_replied(at(30), key, Some((1.0, true)));
    assert_eq!(relay_count(&host.take()), 1);
    // Jobs with free overage are granted without any call.
    send_job(&mut gateway, 3, 1_002, 2, 31);
    let actions = host.take();
    assert!(peer_adds(&actions).is_empty() && counter_call(&actions).is_none(), "{actions:?}");
    // Without peer counts the job waits for the counter.
    host.peers_can_count.set(false);
    send_job(&mut gateway, 4, 1_003, 0, 32);
    assert!(peer_adds(&host.take()).is_empty());
}

#[test]
fn refused_units_are_not_reported_and_unanswered_jobs_are_granted_locally() {
    let (mut gateway, host) = gateway_with_limited_calls();
    send_job(&mut gateway, 1, 1_000, 0, 10);
    send_job(&mut gateway, 2, 1_001, 1, 11);
    let (key, ..) = peer_adds(&host.take())[0];
    // Five relays are in progress and three are permitted: the job has to wait, and its add was refused.
    gateway.peer_count_replied(at(20), key, Some((5.0, false)));
    let actions = host.take();
    assert!(relay_count(&actions) == 0 && peer_adds(&actions).is_empty(), "{actions:?}");
    gateway.timer_fired(at(700), JOB_ID_LIMIT + 1_001);
    let (_, unconditional, conditional) = peer_adds(&host.take()).first().copied().unwrap_or_default();
    assert_eq!(unconditional, 0.0, "nothing has to be given back, {conditional:?}");
    // Another customer's peer count is unavailable: its job is granted locally at once.
    send_job(&mut gateway, 3, 1_004, 0, 800);
    let (key, ..) = peer_adds(&host.take())[0];
    gateway.peer_count_replied(at(900), key, None);
    assert_eq!(relay_count(&host.take()), 1);
}

/// If gateways of a customer's set have failed, the others' shares of a locally enforced quota grow, but never
/// their shares of a ceiling.
#[test]
fn a_locally_enforced_quota_is_shared_among_the_live_gateways() {
    let granted = |sharers: Option<f64>, plan: usize| {
        let mut deployment = Deployment { gateway_count: 9, has_counter: false, ..deployment() };
        deployment.plans[2].rate = 0.0;
        let (mut gateway, host) = gateway(deployment, 4);
        host.sharers.set(sharers);
        for id in 0..40 {
            let arrival = arrival(id, 0, plan, 1.0, at(11_000));
            gateway.job_arrived(at(10_000), Arrival { customer: 5, gateway_set_size: 9, ..arrival });
        }
        relay_count(&host.take())
    };
    assert!(granted(Some(4.5), 0) >= 2 * granted(None, 0), "{} {}", granted(Some(4.5), 0), granted(None, 0));
    assert_eq!(granted(Some(4.5), 2), granted(None, 2));
}
