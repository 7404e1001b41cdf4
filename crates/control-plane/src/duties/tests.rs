use fennelgauge_wire::WindowCounts;

use super::*;

fn report(node: &str, life: u64, window: u64, count: u64) -> UsageReport {
    let counts = vec![("t".to_owned(), count)];
    let windows = vec![WindowCounts { window, tenant_counts: counts }];
    UsageReport { node: node.to_owned(), incarnation: life, windows, timeliness: Vec::new() }
}

#[test]
fn window_counts_add_up_over_processes_and_incarnations_and_never_fall() {
    let collector = UsageCollector::default();
    for report in [report("a", 1, 7, 3), report("a", 1, 7, 5), report("a", 1, 7, 4), report("b", 1, 7, 2)] {
        collector.record_report(report);
    }
    collector.record_report(report("a", 2, 7, 1));
    assert_eq!(collector.window_counts(7), CountsByTenant::from([("t".to_owned(), 8)]));
    assert!(collector.window_counts(8).is_empty());
}

#[test]
fn window_is_complete_only_if_every_live_process_has_reported_since_its_end() {
    let collector = UsageCollector::default();
    let cases = [
        ("no process has reported", vec![], true),
        ("both reported after the end", vec![("a", 101.0), ("b", 103.0)], true),
        ("one has not reported since the end", vec![("a", 101.0), ("b", 99.9)], false),
        ("reported just after the end: some requests may not be counted", vec![("a", 100.2)], false),
        ("one ended long ago", vec![("a", 101.0), ("b", 80.0)], true),
    ];
    for (name, reports, expected) in cases {
        let reports = reports.into_iter().map(|(node, at)| ((node.to_owned(), 1), at));
        *collector.last_reported_at.borrow_mut() = reports.collect();
        assert_eq!(collector.is_window_complete(100.0, 104.0), expected, "{name}");
    }
}
