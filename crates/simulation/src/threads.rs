//! Many days on several threads.

use std::sync::atomic::{AtomicU64, Ordering};

use crate::{play, Day, Plant, Played};

/// Hands so many seeds to `look` on several threads, until it says that it is enough.
pub fn seeds_on_threads(from: u64, count: u64, threads: u64, look: impl Fn(u64) -> bool + Sync) {
    let next = AtomicU64::new(from);
    std::thread::scope(|scope| {
        for _ in 0..threads.max(1) {
            scope.spawn(|| loop {
                let seed = next.fetch_add(1, Ordering::Relaxed);
                if seed >= from + count {
                    return;
                }
                if !look(seed) {
                    next.store(from + count, Ordering::Relaxed);
                }
            });
        }
    });
}

/// Plays the days of so many seeds on several threads. `look` is handed each with what came of it, and says whether to go on.
pub fn on_threads(
    from: u64,
    count: u64,
    threads: u64,
    day: impl Fn(u64) -> Day + Sync,
    plant: Option<Plant>,
    look: impl Fn(&Day, Played) -> bool + Sync,
) {
    seeds_on_threads(from, count, threads, |seed| {
        let day = day(seed);
        look(&day, play(&day, plant))
    });
}
