//! The rules of shares against a model: any views whatever, over partitions, kills, restarts and news that comes late or
//! never. What must never be exceeded never is; what may be exceeded stays within its bound.

use fennelgauge::time::{Moment, Span};
use fennelgauge_membership::shares::{max_overrun, max_partition_overrun, quota_sharers, strict_share};
use fennelgauge_membership::view::{MemberState, MembershipView};
use fennelgauge_membership::MemberIndex;
use proptest::prelude::*;
use proptest::test_runner::{Config, TestRunner};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};
use std::collections::BTreeSet;

const OF: MemberIndex = 9;
const START: Moment = Moment::from_micros(60_000_000);

/// Who lives, and which part of the network each is in.
#[derive(Clone, Debug)]
struct World {
    lives: Vec<Option<u64>>,
    part: Vec<u8>,
}

#[derive(Clone, Debug)]
enum Step {
    Kill(MemberIndex),
    Start(MemberIndex),
    Leave(MemberIndex),
    Cut(Vec<u8>),
    Heal,
    Wait(u64),
    /// A member comes to hold another in that state, for whatever reason: news late, lost, or wrong.
    Believes(MemberIndex, MemberIndex, u8),
}

impl ReferenceStateMachine for World {
    type State = Self;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Self> {
        Just(Self { lives: vec![Some(1); usize::from(OF)], part: vec![0; usize::from(OF)] }).boxed()
    }

    fn transitions(_: &Self) -> BoxedStrategy<Step> {
        let index = || 0..OF;
        prop_oneof![
            2 => index().prop_map(Step::Kill),
            2 => index().prop_map(Step::Start),
            1 => index().prop_map(Step::Leave),
            2 => proptest::collection::vec(0_u8..3, usize::from(OF)).prop_map(Step::Cut),
            1 => Just(Step::Heal),
            3 => (100_u64..9_000).prop_map(Step::Wait),
            6 => (index(), index(), 0_u8..5).prop_map(|(a, b, state)| Step::Believes(a, b, state)),
        ]
        .boxed()
    }

    fn apply(mut state: Self, step: &Step) -> Self {
        match step {
            Step::Kill(who) | Step::Leave(who) => state.lives[usize::from(*who)] = None,
            Step::Start(who) => {
                state.lives[usize::from(*who)].get_or_insert(2);
            }
            Step::Cut(parts) => state.part.clone_from(parts),
            Step::Heal => state.part.fill(0),
            Step::Wait(_) | Step::Believes(..) => {}
        }
        state
    }
}

/// The members' views; `rule` makes the share of what must never be exceeded.
struct Fleet {
    now: Moment,
    views: Vec<MembershipView>,
    rule: fn(&MembershipView) -> f64,
}

impl Fleet {
    fn new(rule: fn(&MembershipView) -> f64) -> Self {
        let mut views: Vec<MembershipView> =
            (0..OF).map(|own| MembershipView::new(own, 0, OF, START)).collect();
        for view in &mut views {
            (0..OF).for_each(|other| view.update(other, MemberState::Alive, 1, 0, START));
        }
        Self { now: START, views, rule }
    }

    fn apply(mut self, world: &World, step: &Step) -> Self {
        match step {
            Step::Wait(ms) => {
                self.now = self.now + Span::from_millis(*ms);
                // Whoever runs finds out in that time whom it does not reach, and whom it does.
                for (index, view) in self.views.iter_mut().enumerate().filter(|_| *ms > 6_000) {
                    for other in 0..OF {
                        let reached = world.lives[usize::from(other)].is_some()
                            && world.part[usize::from(other)] == world.part[index];
                        let state = if reached { MemberState::Alive } else { MemberState::Failed };
                        view.update(other, state, 1, 0, self.now);
                    }
                }
            }
            Step::Believes(who, whom, state) => {
                let states = [
                    MemberState::Unknown,
                    MemberState::Alive,
                    MemberState::Suspected,
                    MemberState::Failed,
                    MemberState::Left,
                ];
                self.views[usize::from(*who)].update(*whom, states[usize::from(*state)], 1, 0, self.now);
            }
            // A new life knows nobody yet.
            Step::Start(who) => self.views[usize::from(*who)] = MembershipView::new(*who, 0, OF, self.now),
            _ => {}
        }
        self
    }

    fn holds(&self, world: &World) -> Result<(), String> {
        let lives = |index: &usize| world.lives[*index].is_some();
        let strict_sum: f64 = (0..usize::from(OF)).filter(lives).map(|it| (self.rule)(&self.views[it])).sum();
        if strict_sum > 1.0 + 1e-9 {
            return Err(format!("shares of what must never be exceeded sum to {strict_sum}"));
        }
        for (first, size) in [(0, 9.0), (7, 4.0), (3, 6.0)] {
            let set: BTreeSet<usize> =
                (0..size as usize).map(|step| (first + step) % usize::from(OF)).collect();
            let share = |it: &usize| 1.0 / quota_sharers(&self.views[*it], self.now, first as u32, size);
            let soft: f64 = set.iter().filter(|it| lives(it)).map(share).sum();
            if soft > 1.0 + max_overrun() + 1e-9 {
                return Err(format!("a quota's shares over {size} from {first} sum to {soft}"));
            }
        }
        Ok(())
    }
}

struct Kept;

impl StateMachineTest for Kept {
    type SystemUnderTest = Fleet;
    type Reference = World;

    fn init_test(_: &World) -> Fleet {
        Fleet::new(|_| strict_share(OF))
    }

    fn apply(fleet: Fleet, world: &World, step: Step) -> Fleet {
        fleet.apply(world, &step)
    }

    fn check_invariants(fleet: &Fleet, world: &World) {
        if let Err(broken) = fleet.holds(world) {
            panic!("{broken}");
        }
    }
}

proptest_state_machine::prop_state_machine! {
    #![proptest_config(Config { cases: 400, failure_persistence: None, ..Config::default() })]
    #[test]
    fn shares_stay_within_their_bounds_with_any_views(sequential 1..60 => Kept);
}

/// The rule that looks right and is not: a failed member's share is taken over. The same steps must find it out.
#[test]
fn a_rule_that_takes_over_failed_members_strict_shares_is_found_to_break_the_whole() {
    let mut runner = TestRunner::new(Config { cases: 400, failure_persistence: None, ..Config::default() });
    let steps = World::sequential_strategy(1..60);
    let broken = runner.run(&steps, |(mut world, steps, _)| {
        let mut fleet = Fleet::new(|view| {
            let live_generation = view.peers().filter(|(_, status)| status.state.may_be_alive()).count();
            1.0 / (live_generation + 1) as f64
        });
        for step in steps {
            world = World::apply(world, &step);
            fleet = fleet.apply(&world, &step);
            fleet.holds(&world).map_err(TestCaseError::fail)?;
        }
        Ok(())
    });
    assert!(broken.is_err_and(|error| error.to_string().contains("must never be exceeded")));
}

proptest! {
    #![proptest_config(Config { cases: 300, failure_persistence: None, ..Config::default() })]
    /// Two clean sides that each see themselves alone, whatever their sizes.
    #[test]
    fn a_clean_partition_stays_within_its_own_bound(larger in 5_u16..=9) {
        let later = START + Span::from_millis(60_000);
        let mut sum = 0.0;
        for own in 0..OF {
            let mut view = MembershipView::new(own, 0, OF, START);
            for other in 0..OF {
                let same = (own < larger) == (other < larger);
                view.update(other, if same { MemberState::Alive } else { MemberState::Failed }, 1, 0, START);
            }
            sum += 1.0 / quota_sharers(&view, later, 0, f64::from(OF));
        }
        let bound = 1.0 + max_partition_overrun(f64::from(larger) / f64::from(OF));
        prop_assert!(sum <= bound + 1e-9, "{} over {}", sum, bound);
    }
}
