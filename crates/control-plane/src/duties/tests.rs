use fennelgauge_wire::WindowCounts;

use super::*;

fn report(node: &str, life: u64, window: u64, count: u64) -> UsageReport {
    let counts = vec![("t".to_owned(), count)];
    let windows = vec![WindowCounts { window, tenant_counts: counts }];
    UsageReport { node: node.to_owned(), incarnation: life, windows, timeliness: Vec::new() }
}

#[test]
fn counts_are_added_over_processes_and_lives_and_never_fall() {
    let collector = UsageCollector::default();
    for told in [report("a", 1, 7, 3), report("a", 1, 7, 5), report("a", 1, 7, 4), report("b", 1, 7, 2)] {
        collector.hear(told);
    }
    collector.hear(report("a", 2, 7, 1));
    assert_eq!(collector.sum(7), Counts::from([("t".to_owned(), 8)]));
    assert!(collector.sum(8).is_empty());
}

#[test]
fn a_window_is_fixed_early_only_if_every_living_process_has_told_of_its_end() {
    let collector = UsageCollector::default();
    let cases = [
        ("nobody is known", vec![], true),
        ("told after its end", vec![("a", 101.0), ("b", 103.0)], true),
        ("one has not told since", vec![("a", 101.0), ("b", 99.9)], false),
        ("told just at the end: some may be uncounted", vec![("a", 100.2)], false),
        ("one has been gone for long", vec![("a", 101.0), ("b", 80.0)], true),
    ];
    for (what, told, expected) in cases {
        let told = told.into_iter().map(|(node, at)| ((node.to_owned(), 1), at));
        *collector.told_at.borrow_mut() = told.collect();
        assert_eq!(collector.has_all_of(100.0, 104.0), expected, "{what}");
    }
}
