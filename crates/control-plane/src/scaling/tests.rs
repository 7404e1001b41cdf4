use super::*;

const BOUNDS: Autoscale = Autoscale { min: 2, max: 4, boot_s: 4.0 };

fn load(responses: u64, late_responses: u64, ready_servers: &[(&str, u32)]) -> ServiceLoad {
    let ready_servers = ready_servers.iter().map(|(zone, count)| ((*zone).to_owned(), *count)).collect();
    ServiceLoad { responses, late_responses, ready_servers }
}

/// Writes the wanted numbers of servers as "zone number" pairs.
fn format_counts(counts: BTreeMap<String, u32>) -> String {
    counts.iter().map(|(zone, count)| format!("{zone}{count}")).collect::<Vec<_>>().join(" ")
}

#[test]
fn number_of_servers_follows_the_share_of_late_responses() {
    let zones = [("a", 3), ("b", 2)];
    let steps = [
        ("too few responses", 0, load(10, 10, &zones), ""),
        ("late: servers are added, first to the smallest zone", 1, load(100, 20, &zones), "a4 b3"),
        ("added servers are still starting", 4, load(100, 20, &zones), ""),
        ("still late after their effect time", 9, load(100, 20, &[("a", 3), ("b", 4)]), "a4"),
        ("maximum reached", 20, load(100, 20, &[("a", 4), ("b", 4)]), ""),
        ("on time, but within the cooldown", 40, load(100, 0, &[("a", 4), ("b", 4)]), ""),
        ("on time after the cooldown", 81, load(100, 0, &[("a", 4), ("b", 4)]), ""),
        ("a few late responses", 85, load(100, 5, &[("a", 4), ("b", 4)]), ""),
        ("on time again", 90, load(100, 0, &[("a", 4), ("b", 2)]), ""),
        ("on time for long enough", 98, load(100, 0, &[("a", 4), ("b", 2)]), "a3"),
    ];
    let mut scaler = Scaler::default();
    for (name, at_s, load, expected) in steps {
        assert_eq!(format_counts(scaler.scale(Duration::from_secs(at_s), &load, BOUNDS)), expected, "{name}");
    }
}
