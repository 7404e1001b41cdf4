//! Runs many seeds in parallel.

use std::sync::atomic::{AtomicU64, Ordering};

use crate::{play, Day, Played, SimulationBug};

/// Calls `run` for `count` seeds beginning with `from`, on several threads. Stops early, without starting further seeds, once a
/// call returns false.
pub fn run_seeds_on_threads(from: u64, count: u64, threads: u64, run: impl Fn(u64) -> bool + Sync) {
    let next = AtomicU64::new(from);
    std::thread::scope(|scope| {
        for _ in 0..threads.max(1) {
            scope.spawn(|| loop {
                let seed = next.fetch_add(1, Ordering::Relaxed);
                if seed >= from + count {
                    return;
                }
                if !run(seed) {
                    next.store(from + count, Ordering::Relaxed);
                }
            });
        }
    });
}

/// Plays the days of `count` seeds beginning with `from`, on several threads. `inspect` receives each day with its result and
/// returns whether to go on.
pub fn play_days_on_threads(
    from: u64,
    count: u64,
    threads: u64,
    day: impl Fn(u64) -> Day + Sync,
    bug: Option<SimulationBug>,
    inspect: impl Fn(&Day, Played) -> bool + Sync,
) {
    run_seeds_on_threads(from, count, threads, |seed| {
        let day = day(seed);
        inspect(&day, play(&day, bug))
    });
}
