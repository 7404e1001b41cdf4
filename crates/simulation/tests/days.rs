//! Drawn days with no rule broken, the same each time; planted mistakes that are found.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;

use fennelgauge_simulation::{
    play, play_days_on_threads, shrink_day, Day, Family, PlantedBug, Rule, SimulationBug, Strike, Trouble,
    MILLISECOND, SECOND,
};

const DAYS: u64 = 2_000;
const THREADS: u64 = 4;
/// Days of the families of processes around the core.
const DAYS_AROUND_THE_CORE: u64 = 600;
/// A planted mistake is looked for on so many days.
const DAYS_A_PLANT: u64 = 1_000;
/// A mistake that only an exhaustive search finds; see tests of `fennelgauge-coordination`.
const FOUND_EXHAUSTIVELY: &str = "PromiseIsIgnored";

#[test]
fn no_rule_is_broken_on_drawn_days() {
    assert_no_rule_is_broken(Day::drawn, DAYS);
}

#[test]
fn no_rule_is_broken_on_days_of_new_seeds_and_frozen_calls() {
    assert_no_rule_is_broken(Day::around_the_core, DAYS_AROUND_THE_CORE);
}

fn assert_no_rule_is_broken(drawn: fn(u64) -> Day, days: u64) {
    let broken = Mutex::new(Vec::new());
    play_days_on_threads(1, days, THREADS, drawn, None, |day, played| {
        if !played.broken.is_empty() {
            broken.lock().expect("a lock").push((day.seed, day.family, played.broken));
        }
        true
    });
    let broken = broken.into_inner().expect("a lock");
    assert!(broken.is_empty(), "play these with fennelgauge-simulate day SEED --family NAME: {broken:?}");
}

#[test]
fn the_same_seed_plays_the_same_day() {
    for seed in [3, 17, 404] {
        assert_eq!(play(&Day::drawn(seed), None), play(&Day::drawn(seed), None));
    }
    assert_ne!(play(&Day::drawn(3), None).trace, play(&Day::drawn(4), None).trace);
}

#[test]
fn planted_mistakes_are_found() {
    let mut missed = Vec::new();
    for plant in SimulationBug::all() {
        if !is_found(plant, Day::drawn, DAYS_A_PLANT) && !is_found(plant, Day::around_the_core, DAYS_A_PLANT)
        {
            missed.push(format!("{plant:?}"));
        }
    }
    missed.retain(|plant| !plant.contains(FOUND_EXHAUSTIVELY));
    assert!(missed.is_empty(), "not found in {DAYS_A_PLANT} days: {missed:?}");
}

fn is_found(plant: SimulationBug, drawn: fn(u64) -> Day, days: u64) -> bool {
    let found = AtomicU64::new(0);
    play_days_on_threads(1, days, THREADS, drawn, Some(plant), |_, played| {
        found.fetch_add(u64::from(!played.broken.is_empty()), Ordering::Relaxed);
        played.broken.is_empty()
    });
    found.into_inner() > 0
}

/// Guards against a core that nobody finds once the seeds are machines without a disk and all processes ended at once; the
/// fault as it was is planted.
#[test]
fn the_core_is_found_after_new_seeds_without_a_disk_and_a_restart_of_all() {
    let all = (0..7).collect();
    let strikes = vec![
        Strike { at: 4 * SECOND, trouble: Trouble::NewSeeds { seeds: vec![3, 4] } },
        Strike { at: 7 * SECOND, trouble: Trouble::Kill { machines: all, for_: SECOND } },
    ];
    let day = Day { diskless: 2, watchers: 2, ..day(3, strikes) };
    assert_eq!(play(&day, None).broken, []);
    let planted = play(&day, Some(SimulationBug::Core(PlantedBug::SeedsAreNotTold))).broken;
    assert!(planted.iter().any(|broken| broken.rule == Rule::CoreNotFound), "{planted:?}");
}

/// Guards against a head that freezes among its calls, is replaced, and goes on with its successor's fence; the fault as it
/// was is planted.
#[test]
fn a_head_frozen_among_its_calls_shares_no_fence_with_its_successor() {
    let strikes =
        vec![Strike { at: 2 * SECOND, trouble: Trouble::FreezeCaller { for_: 3_500 * MILLISECOND } }];
    let day = Day { platform_delay: 900 * MILLISECOND, closing: 20 * SECOND, ..day(3, strikes) };
    let played = play(&day, None);
    assert_eq!(played.broken, []);
    assert!(played.platform_calls > 0);
    let planted = play(&day, Some(SimulationBug::Core(PlantedBug::FenceReadAtCall))).broken;
    assert!(planted.iter().any(|broken| broken.rule == Rule::OneHolder), "{planted:?}");
}

#[test]
fn a_broken_day_is_made_smaller() {
    let plant = Some(SimulationBug::AnyLinkAnswersReads);
    let day = (1..200).map(Day::drawn).find(|day| {
        let broken = play(day, plant).broken;
        day.strikes.len() > 3 && broken.iter().any(|broken| broken.rule == Rule::OldRead)
    });
    let day = day.expect("a broken day");
    let small = shrink_day(&day, Rule::OldRead, plant);
    assert!(small.strikes.len() < day.strikes.len());
    assert!(play(&small, plant).broken.iter().any(|broken| broken.rule == Rule::OldRead));
}

/// A quiet day but for what is given.
fn day(machines: usize, strikes: Vec<Strike>) -> Day {
    Day {
        seed: 7,
        family: Family::Mixed,
        losses: 1,
        machines,
        diskless: 0,
        watchers: 0,
        platform_delay: 150 * MILLISECOND,
        operators: 2,
        pause: 80 * MILLISECOND,
        closing: strikes.iter().map(|strike| strike.at + strike.trouble.lasts()).max().unwrap_or(0) + SECOND,
        strikes,
        closing_wipes: Vec::new(),
    }
}

#[test]
fn a_member_that_missed_changes_and_a_disk_lost_while_the_rest_is_dark() {
    // What left two whole disks and no majority before voters were apart from the chain.
    for (cut, wiped) in [(0, 1), (0, 2), (1, 0), (1, 2), (2, 0), (2, 1)] {
        let missed_for = 5 * SECOND;
        let trouble = Trouble::Behind { cut, wiped, missed_for, dark_for: 3 * SECOND };
        let played = play(&day(3, vec![Strike { at: 8 * SECOND, trouble }]), None);
        assert_eq!(played.broken, [], "{cut} is cut off, {wiped} loses its disk");
        assert!(played.acknowledgements > 50);
    }
}

#[test]
fn a_second_disk_is_lost_right_after_the_first_was_made_good() {
    for first in 0..3 {
        for second in 0..3 {
            let wipe = |at, machine: usize, dark: bool| {
                let dark = if dark { (0..3).filter(|other| *other != machine).collect() } else { Vec::new() };
                let trouble = Trouble::Wipe { machines: vec![machine], for_: SECOND, dark, dark_for: SECOND };
                Strike { at, trouble }
            };
            let strikes = vec![wipe(6 * SECOND, first, false), wipe(12_201 * MILLISECOND, second, true)];
            let played = play(&day(3, strikes), None);
            assert_eq!(played.broken, [], "{first}, then {second}");
        }
    }
}

#[test]
fn a_machine_cut_off_for_twenty_seconds_says_nothing_that_counts() {
    for machine in 0..3 {
        for one_way in [false, true] {
            let trouble = Trouble::Cut { inside: vec![machine], for_: 20 * SECOND, one_way };
            let played = play(&day(4, vec![Strike { at: 5 * SECOND, trouble }]), None);
            assert_eq!(played.broken, [], "{machine} is cut off");
        }
    }
}
