use super::*;

/// With the mistake that it commits though the group is closed, the head alone has what was accepted, and loses its disk.
#[test]
fn a_path_that_breaks_a_rule_is_judged_at_its_end() {
    let bug = StorePlant::Replica(fennelgauge_replication::ReplicaBug::CommitsWhileClosed);
    for (planted, broken) in [(None, None), (Some(bug), Some("an accepted batch job is not found"))] {
        let search = StoreSearch { planted, grain: StoreGrain::Partition, events: 2 };
        let chain = search.begun().chain();
        let spare = (0..STORES).find(|place| !chain.contains(place)).expect("a spare store");
        let closed = StoreEvent::View(1 << chain[0] | 1 << spare);
        let events = [StoreEvent::Submit, closed, StoreEvent::LoseDisk(chain[0]), StoreEvent::Finish];
        assert_eq!(search.after(&events).broken, broken);
    }
}

#[test]
fn every_beginning_ends_well_where_nothing_happens() {
    let search = StoreSearch { planted: None, grain: StoreGrain::Partition, events: 0 };
    for beginning in search.init_states() {
        let finished = beginning.after(&StoreEvent::Finish);
        assert_eq!(finished.broken, None, "{:?}", beginning.view().groups);
    }
}
