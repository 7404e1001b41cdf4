use super::*;

const NOW: Moment = Moment::from_micros(60_000_000);

/// A view of twelve members in three zones, all alive and just heard.
fn view() -> MembershipView {
    let mut view = MembershipView::new(0, 0, 12, NOW);
    for index in 1..12 {
        view.update(index, MemberState::Alive, 5, (index % 3) as u8, NOW);
        view.record_view_digest(index, NOW, 0);
    }
    view
}

fn failed(view: &mut MembershipView, which: impl Fn(MemberIndex) -> bool) {
    (1..12)
        .filter(|index| which(*index))
        .for_each(|index| view.update(index, MemberState::Failed, 5, NO_ZONE, NOW));
}

#[test]
fn reachability_distinguishes_failed_members_lost_zones_and_an_isolated_zone_or_gateway() {
    let mut some = view();
    assert_eq!(some.reachability(NOW), Reachability::AllReachable);
    failed(&mut some, |index| index == 4 || index == 5);
    assert_eq!(some.reachability(NOW), Reachability::MembersFailed(vec![4, 5]));
    let mut site = view();
    failed(&mut site, |index| index % 3 == 2);
    assert_eq!(site.reachability(NOW), Reachability::ZonesLost(vec![2]));
    let mut own = view();
    failed(&mut own, |index| index % 3 != 0);
    assert_eq!(own.reachability(NOW), Reachability::OwnZoneIsolated);
    let mut alone = view();
    failed(&mut alone, |_| true);
    assert_eq!(alone.reachability(NOW), Reachability::Isolated);
    // Just partitioned: no member has been declared failed yet, but none is heard.
    assert_eq!(view().reachability(NOW + Span::from_millis(4_001)), Reachability::Isolated);
    let mut left = view();
    (1..12).for_each(|index| left.update(index, MemberState::Left, 5, NO_ZONE, NOW));
    assert_eq!(left.reachability(NOW), Reachability::AllReachable);
    // With all members in one zone, the result names members, not zones.
    let mut flat = MembershipView::new(0, 0, 6, NOW);
    (1..6).for_each(|index| {
        flat.update(index, if index < 4 { MemberState::Failed } else { MemberState::Alive }, 1, 0, NOW);
        flat.record_view_digest(index, NOW, 0);
    });
    assert_eq!(flat.reachability(NOW), Reachability::MembersFailed(vec![1, 2, 3]));
}

#[test]
fn disagreement_reports_how_many_views_differ_and_for_how_long() {
    let (mut a, mut b) = (view(), view());
    b.own_index = 0;
    assert_eq!(a.digest(), b.digest());
    b.update(3, MemberState::Suspected, 5, NO_ZONE, NOW);
    assert_eq!(a.digest(), b.digest());
    failed(&mut b, |index| index == 3);
    assert_ne!(a.digest(), b.digest());
    for index in 1..12 {
        a.record_view_digest(index, NOW, a.digest());
    }
    let later = NOW + Span::from_millis(700);
    a.record_view_digest(7, NOW, b.digest());
    a.record_view_digest(7, later, b.digest());
    assert_eq!(a.disagreement(later), (1, Span::from_millis(700)));
    a.record_view_digest(7, later, a.digest());
    assert_eq!(a.disagreement(later), (0, Span::ZERO));
    let changes = b.take_changes();
    assert_eq!(changes.len(), 13);
    assert!(b.take_changes().is_empty());
}
