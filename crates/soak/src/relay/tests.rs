use super::*;

const LONG: Duration = Duration::from_secs(60);

fn harmed(from: Option<Target>, to: Option<Target>, harm: Harm) -> Harmed {
    Harmed { from, to, harm, until: Instant::now() + LONG }
}

#[test]
fn harms_are_of_the_links_that_they_name() {
    let (store, core, other) = (Target::Store(0), Target::Core(1), Target::Store(2));
    let links = Links::default();
    links.harm(harmed(Some(store), Some(core), Harm::Cut));
    links.harm(harmed(None, Some(store), Harm::Slow(LONG)));
    links.harm(Harmed { until: Instant::now(), ..harmed(None, None, Harm::Lossy(9)) });
    let cases = [
        (store, core, vec![Harm::Cut]),
        (core, store, vec![Harm::Slow(LONG)]),
        (other, store, vec![Harm::Slow(LONG)]),
        (other, core, vec![]),
    ];
    for (from, to, expected) in cases {
        assert_eq!(links.harms(from, to), expected, "{from} to {to}");
    }
    links.heal();
    assert!(links.harms(store, core).is_empty());
}

#[test]
fn a_reset_is_taken_once() {
    let links = Links::default();
    let (from, to) = (Target::Store(0), Target::Store(1));
    links.harm(harmed(Some(from), None, Harm::Reset));
    assert!(!links.takes_reset(to, from));
    assert!(links.takes_reset(from, to) && !links.takes_reset(from, to));
}

#[test]
fn processes_are_known_by_the_address_that_they_call_from() {
    for target in
        [Target::Core(0), Target::Core(8), Target::Store(0), Target::Store(39), Target::DataPlane(99)]
    {
        assert_eq!(target_at(IpAddr::from([127, 0, 0, host(target)])), Some(target));
    }
    assert_eq!(target_at(IpAddr::from([127, 0, 0, 0])), None);
}
