//! Every order of events at small sizes: no rule is broken, and mistakes that drawn days seldom find are found.

use fennelgauge_coordination::PlantedBug;
use fennelgauge_simulation::{Exhaustive, Grain};

const THREADS: usize = 4;
const EVENTS: u8 = 5;

#[test]
fn no_order_of_messages_breaks_a_rule() {
    let searched = Exhaustive { planted: None, grain: Grain::Message, events: EVENTS }.search(THREADS);
    assert_eq!(searched.broken, None);
    assert!(searched.states > 150_000, "{searched:?}");
}

#[test]
fn no_order_of_partitions_and_losses_breaks_a_rule() {
    let searched = Exhaustive { planted: None, grain: Grain::Partition, events: EVENTS }.search(THREADS);
    assert_eq!(searched.broken, None);
    assert!(searched.states > 400_000, "{searched:?}");
}

#[test]
fn mistakes_are_found() {
    use PlantedBug::{AcceptedIsForgotten, HeadCommitsAlone, OwnVersionStarts, PromiseIsIgnored};
    for bug in [PromiseIsIgnored, AcceptedIsForgotten, OwnVersionStarts, HeadCommitsAlone] {
        let searched =
            Exhaustive { planted: Some(bug), grain: Grain::Partition, events: EVENTS }.search(THREADS);
        assert!(searched.broken.is_some(), "{bug:?}: {searched:?}");
    }
}
