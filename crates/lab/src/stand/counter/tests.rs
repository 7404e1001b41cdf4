use super::*;
use crate::timeline::moment;

const KEEP: Span = Span::from_millis(1_000);

fn total(told: Told) -> f64 {
    if let Told::Total(total, _) = told {
        total
    } else {
        f64::NAN
    }
}

#[test]
fn it_adds_forgets_and_takes_so_many_calls() {
    let mut counter = Counter::new(&Figures { per_s: 100.0, line: 5, ..Figures::default() });
    assert_eq!(total(counter.call(moment(0.0), 0, 7, 2.0, KEEP)), 2.0);
    assert_eq!(total(counter.call(moment(0.5), 1, 7, -0.5, KEEP)), 1.5);
    assert_eq!(total(counter.call(moment(1.0), 1, 7, 1.0, KEEP)), 1.0);
    let told: Vec<Told> = (0..10).map(|_| counter.call(moment(2.0), 0, 1, 1.0, KEEP)).collect();
    assert!(told[..5].iter().all(|it| matches!(it, Told::Total(..))) && told[9] == Told::Busy);
    // Each has its turn after those before it.
    let at = |told: Told| if let Told::Total(_, at) = told { at } else { Moment::default() };
    assert_eq!(at(told[3]).since(at(told[0])), Span::from_millis(30));
}

#[test]
fn halves_count_apart_and_the_first_stays() {
    let mut counter = Counter::new(&Figures::default());
    counter.call(moment(0.0), 0, 7, 1.0, KEEP);
    counter.hit(&OnCounter::Split([1].into()), || 0.0);
    assert_eq!(total(counter.call(moment(0.1), 0, 7, 2.0, KEEP)), 3.0);
    assert_eq!(total(counter.call(moment(0.1), 1, 7, 10.0, KEEP)), 11.0);
    counter.hit(&OnCounter::Split(BTreeSet::new()), || 0.0);
    assert_eq!(total(counter.call(moment(0.2), 1, 7, 0.0, KEEP)), 3.0);
    counter.hit(&OnCounter::Replace, || 0.0);
    assert_eq!(total(counter.call(moment(0.3), 1, 7, 0.0, KEEP)), 0.0);
    counter.hit(&OnCounter::Silent(true), || 0.0);
    assert_eq!(counter.call(moment(0.4), 1, 7, 5.0, KEEP), Told::Nothing);
    counter.hit(&OnCounter::Silent(false), || 0.0);
    counter.hit(&OnCounter::Flush(1.0), || 0.5);
    assert_eq!(total(counter.call(moment(0.5), 1, 7, 0.0, KEEP)), 0.0);
}
