//! Makes a broken day smaller: leaves troubles out for as long as the same rule is broken.

use crate::day::Day;
use crate::judge::Rule;
use crate::plant::Plant;
use crate::world::play;

/// The day without the troubles that the broken rule does not need.
pub fn shrunk(day: &Day, rule: Rule, plant: Option<Plant>) -> Day {
    let breaks = |day: &Day| play(day, plant).broken.iter().any(|broken| broken.rule == rule);
    let mut smallest = day.clone();
    let mut at = smallest.strikes.len();
    while at > 0 {
        at -= 1;
        let mut smaller = smallest.clone();
        smaller.strikes.remove(at);
        if breaks(&smaller) {
            smallest = smaller;
        }
    }
    let mut no_wipes = smallest.clone();
    no_wipes.closing_wipes.clear();
    if !smallest.closing_wipes.is_empty() && breaks(&no_wipes) {
        smallest = no_wipes;
    }
    smallest
}
