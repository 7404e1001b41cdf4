//! Every order of events among four stores: no rule is broken, and mistakes that drawn days do not find are found.

use fennelgauge_replication::ReplicaBug;
use fennelgauge_simulation::{StoreGrain, StorePlant, StoreSearch};

const THREADS: usize = 4;
const EVENTS: u8 = 2;

#[test]
fn no_order_of_partitions_and_losses_breaks_a_rule() {
    let search = StoreSearch { planted: None, grain: StoreGrain::Partition, events: EVENTS };
    let (searched, path) = search.search(THREADS);
    assert_eq!(searched.broken, None, "{path:?}");
    assert!(searched.states > 15_000, "{searched:?}");
}

#[test]
fn mistakes_are_found() {
    let bugs = [
        StorePlant::Replica(ReplicaBug::CommitsWhileClosed),
        StorePlant::CommitsAlone,
        StorePlant::OpenByLaterView,
        StorePlant::GoesBack,
    ];
    for bug in bugs {
        let search = StoreSearch { planted: Some(bug), grain: StoreGrain::Partition, events: EVENTS };
        let (searched, _) = search.search(THREADS);
        assert!(searched.broken.is_some(), "{bug:?}: {searched:?}");
    }
}
