//! Drawn days of the stores with no rule broken, the same each time; planted mistakes that the judge finds.

use std::sync::Mutex;

use fennelgauge_batch_judge::Rule;
use fennelgauge_simulation::{
    play_stores, run_seeds_on_threads, shrunk_stores, StoreDay, StoreFamily, StorePlant, StoreStrike,
    StoreTrouble,
};

const DAYS: u64 = 2_000;
const DAYS_WITH_CHANGING_ROUTES: u64 = 1_000;
const DAYS_WITH_FAILING_ITEMS: u64 = 500;
const THREADS: u64 = 4;

/// Days on which planted mistakes are found. Those that are missing here are found by the search of every order (`stores_exhaustive.rs`) or
/// by the tables of cases in `crates/replication/tests` and `crates/coordination/tests`; `fennelgauge-simulate stores-planted` looks for all.
const FOUND: [(&str, u64); 26] = [
    ("Replica(CopyReplacesLevel)", 4661),
    ("Replica(AnswersWithoutLevel)", 35),
    ("Replica(TakesAfterAnything)", 6142),
    ("Replica(PassesOnUnlevel)", 34),
    ("Replica(AnswersUnsynced)", 40),
    ("Replica(LevelWithMore)", 34),
    ("Replica(LevelForEver)", 205),
    ("Replica(KeepsWhatWasGivenUp)", 20),
    ("Planner(JoiningCountsAsHolder)", 647),
    ("Planner(SilentHoldersAreDropped)", 34),
    ("Planner(ShortChainsAreFilled)", 22),
    ("Planner(OneHolderFewer)", 61),
    ("Planner(EarlierAbsentAreForgotten)", 11),
    ("Planner(AbsentDoNotComeBack)", 11),
    ("Planner(SilentNewcomersStay)", 7),
    ("Planner(GivesUpWhoIsHeard)", 9),
    ("AnswersWhileClosed", 160),
    ("ChangesWhileClosed", 177),
    ("AnswersWithoutAsking", 247),
    ("PassesOnUnsynced", 40),
    ("CommitsAlone", 4),
    ("AnyLinkAnswers", 23),
    ("WipedKeepsIdentity", 13),
    ("OldViewsAreServed", 498),
    ("GivenUpIsUnknown", 20),
    ("NoLease", 42),
];

#[test]
fn no_rule_is_broken_on_drawn_days_of_the_stores() {
    assert_no_rule_is_broken(StoreDay::drawn, DAYS);
}

#[test]
fn no_rule_is_broken_while_an_operator_keeps_changing_batch_routes() {
    assert_no_rule_is_broken(StoreDay::with_changing_routes, DAYS_WITH_CHANGING_ROUTES);
}

/// Guards against items that are sent too often, given up too soon or left for ever, through lost heads and lost answers.
#[test]
fn no_rule_is_broken_while_items_fail_and_heads_are_lost_again_and_again() {
    assert_no_rule_is_broken(StoreDay::with_failing_items, DAYS_WITH_FAILING_ITEMS);
}

/// Days with failing items on which mistakes about attempts are found, and by what: an item that is sent too often, one that is given
/// up too soon, or one that is left.
const FOUND_WITH_FAILING_ITEMS: [(StorePlant, u64, Rule); 7] = [
    (StorePlant::FailuresEndWithTheRun, 1, Rule::Budget),
    (StorePlant::FailuresAreForgotten, 1, Rule::Budget),
    (StorePlant::PermitsAreNotTaken, 6, Rule::Budget),
    (StorePlant::PermitsAreNotCommitted, 898, Rule::Budget),
    (StorePlant::LostAnswersKeepThePermit, 2, Rule::Budget),
    (StorePlant::UnknownOutcomesAreFailures, 25, Rule::Mixed),
    (StorePlant::RestsWithoutEnd, 74, Rule::Unfinished),
];

#[test]
fn mistakes_about_attempts_at_items_are_found_in_both_directions() {
    for (plant, seed, rule) in FOUND_WITH_FAILING_ITEMS {
        let played = play_stores(&StoreDay::with_failing_items(seed), Some(plant));
        assert!(played.broken.iter().any(|broken| broken.rule == rule), "{plant:?}: {:?}", played.broken);
    }
}

/// Days with changing routes on which the mistakes of the family "an older configuration taken for the newest" are found, and by what:
/// an item that is given up without a cause, one that runs on, or one that has no result in the end.
const FOUND_WITH_CHANGING_ROUTES: [(StorePlant, u64, Rule); 8] = [
    (StorePlant::UnknownRouteIsEnded, 2, Rule::Mixed),
    (StorePlant::UnconfirmedGivesUp, 27, Rule::Mixed),
    (StorePlant::StaleIsConfirmed, 4, Rule::Mixed),
    (StorePlant::OnlyLimitsOfAcceptance, 14, Rule::Mixed),
    (StorePlant::EndedRouteRunsOn, 9, Rule::Config),
    (StorePlant::ConfirmationIsForgotten, 1, Rule::Unfinished),
    (StorePlant::RetentionIsEndless, 7, Rule::Unfinished),
    (StorePlant::FailuresAreForgotten, 1, Rule::Budget),
];

/// Guards against items that are given up, or wait or run on, by a configuration that is not the newest.
#[test]
fn mistakes_about_the_newest_configuration_are_found_in_both_directions() {
    for (plant, seed, rule) in FOUND_WITH_CHANGING_ROUTES {
        let played = play_stores(&StoreDay::with_changing_routes(seed), Some(plant));
        assert!(played.broken.iter().any(|broken| broken.rule == rule), "{plant:?}: {:?}", played.broken);
    }
}

fn assert_no_rule_is_broken(drawn: fn(u64) -> StoreDay, days: u64) {
    let broken = Mutex::new(Vec::new());
    run_seeds_on_threads(1, days, THREADS, |seed| {
        let played = play_stores(&drawn(seed), None);
        if !played.broken.is_empty() || !played.shown_dropped.is_empty() {
            broken.lock().expect("a lock").push((seed, played.broken, played.shown_dropped));
        }
        true
    });
    let broken = broken.into_inner().expect("a lock");
    assert!(broken.is_empty(), "play these with fennelgauge-simulate stores-day SEED --print: {broken:?}");
}

#[test]
fn the_same_day_is_the_same_to_the_byte() {
    for seed in 1..=14 {
        let day = StoreDay::drawn(seed);
        assert_eq!(play_stores(&day, None), play_stores(&day, None));
    }
}

#[test]
fn planted_mistakes_are_found() {
    let missed: Vec<&str> = FOUND
        .iter()
        .filter(|(name, seed)| {
            let plant = StorePlant::all().into_iter().find(|plant| format!("{plant:?}") == *name);
            let plant = plant.expect("a planted mistake of that name");
            let played = play_stores(&StoreDay::drawn(*seed), Some(plant));
            played.broken.is_empty() && played.shown_dropped.is_empty()
        })
        .map(|(name, _)| *name)
        .collect();
    assert!(missed.is_empty(), "{missed:?}");
}

#[test]
fn a_day_is_made_smaller_as_long_as_the_same_rule_is_broken() {
    let plant = Some(StorePlant::CommitsAlone);
    let day = (1..200).map(StoreDay::drawn).find(|day| !play_stores(day, plant).broken.is_empty());
    let day = day.expect("found within 200 days");
    let rule = play_stores(&day, plant).broken[0].rule;
    let smaller = shrunk_stores(&day, rule, plant);
    assert!(smaller.strikes.len() <= day.strikes.len());
    assert!(play_stores(&smaller, plant).broken.iter().any(|broken| broken.rule == rule));
}

/// The issue's own case: without loss of a disk, more stores than may be lost are silent one after the other.
#[test]
fn overlapping_silences_lose_nothing() {
    let kill = |at_ms: u64, stores: &[usize], for_ms: u64| StoreStrike {
        at: at_ms * 1_000,
        trouble: StoreTrouble::Kill { stores: stores.to_vec(), for_: for_ms * 1_000 },
    };
    for seed in 1..40 {
        let day = StoreDay {
            losses: 2,
            stores: 8,
            zones: 4,
            strikes: vec![
                kill(5_000, &[0, 1], 1_500),
                kill(6_300, &[0, 1], 1_500),
                kill(7_600, &[0, 1, 2], 1_500),
                kill(9_000, &[1, 2, 3], 1_400),
                kill(10_500, &[0, 1, 2, 3], 1_300),
            ],
            ..StoreDay::of_family(seed, StoreFamily::Overlap)
        };
        let played = play_stores(&day, None);
        assert_eq!(played.broken, [], "seed {seed}");
    }
}

/// Guards against a batch job that is refused by the last reply, and that an earlier submission has accepted or accepts later.
#[test]
fn refused_jobs_never_run_though_submissions_arrive_late() {
    const FOUND_ON: u64 = 46;
    assert_no_rule_is_broken(StoreDay::with_late_calls, 100);
    let played = play_stores(&StoreDay::with_late_calls(FOUND_ON), Some(StorePlant::RefusesByTheLastReply));
    assert!(played.broken.iter().any(|broken| broken.rule == Rule::Refused), "{:?}", played.broken);
}
