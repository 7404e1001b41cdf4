//! Checks the share rules against a model with arbitrary views, partitions, kills, restarts and late or lost updates:
//! limits that must never be exceeded are not, and quotas stay within their stated bound.

use fennelgauge::time::{Moment, Span};
use fennelgauge_membership::shares::{max_overrun, max_partition_overrun, quota_sharers, strict_share};
use fennelgauge_membership::view::{MemberState, MembershipView};
use fennelgauge_membership::MemberIndex;
use proptest::prelude::*;
use proptest::test_runner::{Config, TestRunner};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};
use std::collections::BTreeSet;

const MEMBER_COUNT: MemberIndex = 9;
const START: Moment = Moment::from_micros(60_000_000);

/// Which members run, with their generations, and on which side of a partition each is.
#[derive(Clone, Debug)]
struct World {
    generations: Vec<Option<u64>>,
    side: Vec<u8>,
}

#[derive(Clone, Debug)]
enum Step {
    Kill(MemberIndex),
    Start(MemberIndex),
    Leave(MemberIndex),
    Cut(Vec<u8>),
    Heal,
    Wait(u64),
    /// The first member comes to believe that the second is in this state, whether or not that is true.
    Believe(MemberIndex, MemberIndex, u8),
}

impl ReferenceStateMachine for World {
    type State = Self;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Self> {
        Just(Self {
            generations: vec![Some(1); usize::from(MEMBER_COUNT)],
            side: vec![0; usize::from(MEMBER_COUNT)],
        })
        .boxed()
    }

    fn transitions(_: &Self) -> BoxedStrategy<Step> {
        let index = || 0..MEMBER_COUNT;
        prop_oneof![
            2 => index().prop_map(Step::Kill),
            2 => index().prop_map(Step::Start),
            1 => index().prop_map(Step::Leave),
            2 => proptest::collection::vec(0_u8..3, usize::from(MEMBER_COUNT)).prop_map(Step::Cut),
            1 => Just(Step::Heal),
            3 => (100_u64..9_000).prop_map(Step::Wait),
            6 => (index(), index(), 0_u8..5).prop_map(|(a, b, state)| Step::Believe(a, b, state)),
        ]
        .boxed()
    }

    fn apply(mut state: Self, step: &Step) -> Self {
        match step {
            Step::Kill(index) | Step::Leave(index) => state.generations[usize::from(*index)] = None,
            Step::Start(index) => {
                state.generations[usize::from(*index)].get_or_insert(2);
            }
            Step::Cut(parts) => state.side.clone_from(parts),
            Step::Heal => state.side.fill(0),
            Step::Wait(_) | Step::Believe(..) => {}
        }
        state
    }
}

/// The members' views; `rule` computes the share of a limit that must never be exceeded.
struct Fleet {
    now: Moment,
    views: Vec<MembershipView>,
    rule: fn(&MembershipView) -> f64,
}

impl Fleet {
    fn new(rule: fn(&MembershipView) -> f64) -> Self {
        let mut views: Vec<MembershipView> =
            (0..MEMBER_COUNT).map(|own| MembershipView::new(own, 0, MEMBER_COUNT, START)).collect();
        for view in &mut views {
            (0..MEMBER_COUNT).for_each(|other| view.update(other, MemberState::Alive, 1, 0, START));
        }
        Self { now: START, views, rule }
    }

    fn apply(mut self, world: &World, step: &Step) -> Self {
        match step {
            Step::Wait(ms) => {
                self.now = self.now + Span::from_millis(*ms);
                // After 6 s each member has detected which others it can reach.
                for (index, view) in self.views.iter_mut().enumerate().filter(|_| *ms > 6_000) {
                    for other in 0..MEMBER_COUNT {
                        let reached = world.generations[usize::from(other)].is_some()
                            && world.side[usize::from(other)] == world.side[index];
                        let state = if reached { MemberState::Alive } else { MemberState::Failed };
                        view.update(other, state, 1, 0, self.now);
                    }
                }
            }
            Step::Believe(observer, subject, state) => {
                let states = [
                    MemberState::Unknown,
                    MemberState::Alive,
                    MemberState::Suspected,
                    MemberState::Failed,
                    MemberState::Left,
                ];
                self.views[usize::from(*observer)].update(
                    *subject,
                    states[usize::from(*state)],
                    1,
                    0,
                    self.now,
                );
            }
            // A restarted member knows no other yet.
            Step::Start(index) => {
                self.views[usize::from(*index)] = MembershipView::new(*index, 0, MEMBER_COUNT, self.now)
            }
            _ => {}
        }
        self
    }

    fn check_bounds(&self, world: &World) -> Result<(), String> {
        let is_running = |index: &usize| world.generations[*index].is_some();
        let strict_sum: f64 =
            (0..usize::from(MEMBER_COUNT)).filter(is_running).map(|it| (self.rule)(&self.views[it])).sum();
        if strict_sum > 1.0 + 1e-9 {
            return Err(format!("shares of a limit that must never be exceeded sum to {strict_sum}"));
        }
        for (first, size) in [(0, 9.0), (7, 4.0), (3, 6.0)] {
            let set: BTreeSet<usize> =
                (0..size as usize).map(|step| (first + step) % usize::from(MEMBER_COUNT)).collect();
            let share = |it: &usize| 1.0 / quota_sharers(&self.views[*it], self.now, first as u32, size);
            let quota_sum: f64 = set.iter().filter(|it| is_running(it)).map(share).sum();
            if quota_sum > 1.0 + max_overrun() + 1e-9 {
                return Err(format!("a quota's shares over {size} from {first} sum to {quota_sum}"));
            }
        }
        Ok(())
    }
}

struct ShareBounds;

impl StateMachineTest for ShareBounds {
    type SystemUnderTest = Fleet;
    type Reference = World;

    fn init_test(_: &World) -> Fleet {
        Fleet::new(|_| strict_share(MEMBER_COUNT))
    }

    fn apply(fleet: Fleet, world: &World, step: Step) -> Fleet {
        fleet.apply(world, &step)
    }

    fn check_invariants(fleet: &Fleet, world: &World) {
        if let Err(violation) = fleet.check_bounds(world) {
            panic!("{violation}");
        }
    }
}

proptest_state_machine::prop_state_machine! {
    #![proptest_config(Config { cases: 400, failure_persistence: None, ..Config::default() })]
    #[test]
    fn shares_stay_within_their_bounds_with_any_views(sequential 1..60 => ShareBounds);
}

/// Guards the test itself: a wrong rule, which redistributes failed members' shares of a limit that must never be
/// exceeded, must fail under the same steps.
#[test]
fn redistributing_failed_members_strict_shares_is_detected_as_a_violation() {
    let mut runner = TestRunner::new(Config { cases: 400, failure_persistence: None, ..Config::default() });
    let steps = World::sequential_strategy(1..60);
    let violation = runner.run(&steps, |(mut world, steps, _)| {
        let mut fleet = Fleet::new(|view| {
            let live_generation = view.peers().filter(|(_, status)| status.state.may_be_alive()).count();
            1.0 / (live_generation + 1) as f64
        });
        for step in steps {
            world = World::apply(world, &step);
            fleet = fleet.apply(&world, &step);
            fleet.check_bounds(&world).map_err(TestCaseError::fail)?;
        }
        Ok(())
    });
    assert!(violation.is_err_and(|error| error.to_string().contains("must never be exceeded")));
}

proptest! {
    #![proptest_config(Config { cases: 300, failure_persistence: None, ..Config::default() })]
    /// Two sides of any size that each see only themselves.
    #[test]
    fn a_clean_partition_stays_within_the_partition_bound(larger in 5_u16..=9) {
        let later = START + Span::from_millis(60_000);
        let mut sum = 0.0;
        for own in 0..MEMBER_COUNT {
            let mut view = MembershipView::new(own, 0, MEMBER_COUNT, START);
            for other in 0..MEMBER_COUNT {
                let same_side = (own < larger) == (other < larger);
                view.update(other, if same_side { MemberState::Alive } else { MemberState::Failed }, 1, 0, START);
            }
            sum += 1.0 / quota_sharers(&view, later, 0, f64::from(MEMBER_COUNT));
        }
        let bound = 1.0 + max_partition_overrun(f64::from(larger) / f64::from(MEMBER_COUNT));
        prop_assert!(sum <= bound + 1e-9, "{} over {}", sum, bound);
    }
}
