//! Makes a broken day smaller: leaves troubles out for as long as the same rule is broken.

use crate::day::Day;
use crate::judge::Rule;
use crate::plant::Plant;
use crate::world::play;

/// The day without the troubles that the broken rule does not need.
pub fn shrunk(day: &Day, rule: Rule, plant: Option<Plant>) -> Day {
    let breaks = |day: &Day| play(day, plant).broken.iter().any(|broken| broken.rule == rule);
    let mut smallest = day.clone();
    smallest.strikes = fewest(day.strikes.clone(), |strikes| breaks(&Day { strikes, ..day.clone() }));
    let mut no_wipes = smallest.clone();
    no_wipes.closing_wipes.clear();
    if !smallest.closing_wipes.is_empty() && breaks(&no_wipes) {
        smallest = no_wipes;
    }
    smallest
}

/// The strikes that are left when each is left out, from the last to the first, without which the rule is still broken.
pub fn fewest<S: Clone>(mut strikes: Vec<S>, breaks: impl Fn(Vec<S>) -> bool) -> Vec<S> {
    for at in (0..strikes.len()).rev() {
        let mut fewer = strikes.clone();
        fewer.remove(at);
        if breaks(fewer.clone()) {
            strikes = fewer;
        }
    }
    strikes
}
