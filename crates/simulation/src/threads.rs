//! Many days on several threads.

use std::sync::atomic::{AtomicU64, Ordering};

use crate::{play, Day, Plant, Played};

/// Plays the days of so many seeds on several threads. `look` is handed each with what came of it, and says whether to go on.
pub fn on_threads(
    from: u64,
    count: u64,
    threads: u64,
    day: impl Fn(u64) -> Day + Sync,
    plant: Option<Plant>,
    look: impl Fn(&Day, Played) -> bool + Sync,
) {
    let next = AtomicU64::new(from);
    std::thread::scope(|scope| {
        for _ in 0..threads.max(1) {
            scope.spawn(|| loop {
                let seed = next.fetch_add(1, Ordering::Relaxed);
                if seed >= from + count {
                    return;
                }
                let day = day(seed);
                if !look(&day, play(&day, plant)) {
                    next.store(from + count, Ordering::Relaxed);
                }
            });
        }
    });
}
