use super::*;

const BOUNDS: Autoscale = Autoscale { min: 2, max: 4, boot_s: 4.0 };

fn seen(answers: u64, late: u64, servers: &[(&str, u32)]) -> Seen {
    let servers = servers.iter().map(|(zone, count)| ((*zone).to_owned(), *count)).collect();
    Seen { answers, late, servers }
}

fn told(orders: BTreeMap<String, u32>) -> String {
    orders.iter().map(|(zone, count)| format!("{zone}{count}")).collect::<Vec<_>>().join(" ")
}

#[test]
fn orders_follow_late_answers() {
    let zones = [("a", 3), ("b", 2)];
    let steps = [
        ("too few answers", 0, seen(10, 10, &zones), ""),
        ("late: more, first where there are few", 1, seen(100, 20, &zones), "a4 b3"),
        ("they are still starting", 4, seen(100, 20, &zones), ""),
        ("still late after that", 9, seen(100, 20, &[("a", 3), ("b", 4)]), "a4"),
        ("not beyond the most", 20, seen(100, 20, &[("a", 4), ("b", 4)]), ""),
        ("in time, but grown of late", 40, seen(100, 0, &[("a", 4), ("b", 4)]), ""),
        ("calm begins", 81, seen(100, 0, &[("a", 4), ("b", 4)]), ""),
        ("a little late", 85, seen(100, 5, &[("a", 4), ("b", 4)]), ""),
        ("calm begins again", 90, seen(100, 0, &[("a", 4), ("b", 2)]), ""),
        ("calm for long enough", 98, seen(100, 0, &[("a", 4), ("b", 2)]), "a3"),
    ];
    let mut scaler = Scaler::default();
    for (name, at_s, seen, expected) in steps {
        assert_eq!(told(scaler.orders(Duration::from_secs(at_s), &seen, BOUNDS)), expected, "{name}");
    }
}
