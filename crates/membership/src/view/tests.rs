use super::*;

const NOW: Moment = Moment::from_micros(60_000_000);

/// Twelve in three zones, all present and just heard.
fn view() -> View {
    let mut view = View::new(0, 0, 12, NOW);
    for number in 1..12 {
        view.set(number, State::Present, 5, (number % 3) as u8, NOW);
        view.heard(number, NOW, 0);
    }
    view
}

fn failed(view: &mut View, which: impl Fn(Number) -> bool) {
    (1..12)
        .filter(|number| which(*number))
        .for_each(|number| view.set(number, State::Failed, 5, NO_ZONE, NOW));
}

#[test]
fn failed_members_a_lost_site_an_own_cut_and_loneliness_are_told_apart() {
    let mut some = view();
    assert_eq!(some.reach(NOW), Reach::Whole);
    failed(&mut some, |number| number == 4 || number == 5);
    assert_eq!(some.reach(NOW), Reach::Failed(vec![4, 5]));
    let mut site = view();
    failed(&mut site, |number| number % 3 == 2);
    assert_eq!(site.reach(NOW), Reach::Sites(vec![2]));
    let mut own = view();
    failed(&mut own, |number| number % 3 != 0);
    assert_eq!(own.reach(NOW), Reach::OwnSite);
    let mut alone = view();
    failed(&mut alone, |_| true);
    assert_eq!(alone.reach(NOW), Reach::CutOff);
    // Cut off just now: nobody is failed yet, and nobody is heard.
    assert_eq!(view().reach(NOW + Span::from_millis(4_001)), Reach::CutOff);
    let mut left = view();
    (1..12).for_each(|number| left.set(number, State::Left, 5, NO_ZONE, NOW));
    assert_eq!(left.reach(NOW), Reach::Whole);
    // In one zone alone nothing can be said of sites.
    let mut flat = View::new(0, 0, 6, NOW);
    (1..6).for_each(|number| {
        flat.set(number, if number < 4 { State::Failed } else { State::Present }, 1, 0, NOW);
        flat.heard(number, NOW, 0);
    });
    assert_eq!(flat.reach(NOW), Reach::Failed(vec![1, 2, 3]));
}

#[test]
fn views_that_differ_find_out_and_for_how_long() {
    let (mut a, mut b) = (view(), view());
    b.own = 0;
    assert_eq!(a.digest(), b.digest());
    b.set(3, State::Suspected, 5, NO_ZONE, NOW);
    assert_eq!(a.digest(), b.digest());
    failed(&mut b, |number| number == 3);
    assert_ne!(a.digest(), b.digest());
    for number in 1..12 {
        a.heard(number, NOW, a.digest());
    }
    let later = NOW + Span::from_millis(700);
    a.heard(7, NOW, b.digest());
    a.heard(7, later, b.digest());
    assert_eq!(a.disagreement(later), (1, Span::from_millis(700)));
    a.heard(7, later, a.digest());
    assert_eq!(a.disagreement(later), (0, Span::ZERO));
    let changes = b.take_changes();
    assert_eq!(changes.len(), 13);
    assert!(b.take_changes().is_empty());
}
