//! Reduces a day that violates a rule to the faults that are needed to violate it.

use crate::day::Day;
use crate::judge::Rule;
use crate::plant::SimulationBug;
use crate::world::play;

/// Returns the day without the faults that are not needed to violate `rule`.
pub fn shrink_day(day: &Day, rule: Rule, bug: Option<SimulationBug>) -> Day {
    let violates = |day: &Day| play(day, bug).broken.iter().any(|broken| broken.rule == rule);
    let mut smallest = day.clone();
    smallest.strikes =
        minimize_faults(day.strikes.clone(), |strikes| violates(&Day { strikes, ..day.clone() }));
    let mut without_wipes = smallest.clone();
    without_wipes.closing_wipes.clear();
    if !smallest.closing_wipes.is_empty() && violates(&without_wipes) {
        smallest = without_wipes;
    }
    smallest
}

/// Tries to remove each fault once, from the last to the first, and keeps it removed if `violates` still returns true for the
/// rest. Returns the remaining faults.
pub fn minimize_faults<S: Clone>(mut faults: Vec<S>, violates: impl Fn(Vec<S>) -> bool) -> Vec<S> {
    for index in (0..faults.len()).rev() {
        let mut fewer = faults.clone();
        fewer.remove(index);
        if violates(fewer.clone()) {
            faults = fewer;
        }
    }
    faults
}
