//! Giving a group up: what an order has to name, when it is refused, and what the group is then.

use std::time::Duration;

use fennelgauge_coordination::{
    GiveUpError, GiveUpRequest, GroupNumber, HolderStatus, Identity, LastHolder, Member, Planner,
    StoreReport, StoreView, MIN_SILENCE_BEFORE_GIVE_UP, STORE_LEASE_DURATION,
};

const GROUP: GroupNumber = GroupNumber(5);
const LOSSES: usize = 1;
const LONG: Duration = Duration::from_secs(600);

fn heard(node: &str) -> StoreReport {
    let port = 1_000 + node.bytes().map(u16::from).sum::<u16>();
    let member = Member {
        identity: Identity { node: node.to_owned(), disk: 1 },
        peer: std::net::SocketAddr::from(([10, 0, 0, 1], port)),
        zone: node[..1].to_owned(),
        region: "r".to_owned(),
    };
    StoreReport { member, copied_groups: Vec::new(), held_groups: Vec::new() }
}

fn all(nodes: &[&str]) -> Vec<StoreReport> {
    nodes.iter().map(|node| heard(node)).collect()
}

/// Six stores, all groups placed.
fn placed() -> StoreView {
    let stores = all(&["a1", "a2", "b1", "b2", "c1", "c2"]);
    Planner::new(LOSSES, &stores, true).plan(&StoreView::default()).expect("placed")
}

/// The nodes that hold the group.
fn holders(view: &StoreView) -> Vec<String> {
    let node = |number| view.store(number).expect("listed").member.identity.node.clone();
    view.recorded_holders(GROUP).into_iter().map(node).collect()
}

fn silent(node: &str, entries: Option<u64>, silent_for: Option<Duration>) -> HolderStatus {
    HolderStatus { holder: LastHolder { node: node.to_owned(), entries }, silent_for }
}

/// The other stores, which are heard.
fn others(view: &StoreView) -> Vec<StoreReport> {
    let holders = holders(view);
    let others = view.stores.iter().filter(|store| !holders.contains(&store.member.identity.node));
    others.map(|store| heard(&store.member.identity.node)).collect()
}

fn order(view: &StoreView, seen: &[HolderStatus], forced: bool) -> GiveUpRequest {
    let holders = seen.iter().map(|seen| seen.holder.clone()).collect();
    GiveUpRequest { group: GROUP, epoch: view.epoch, holders, forced }
}

#[test]
fn an_order_has_to_name_what_is_known_and_nobody_may_be_there() {
    let view = placed();
    let nodes = holders(&view);
    let stores = others(&view);
    let planner = Planner::new(LOSSES, &stores, false);
    let all_silent = |silent_for| -> Vec<HolderStatus> {
        nodes.iter().map(|node| silent(node, Some(9), Some(silent_for))).collect()
    };
    let seen = all_silent(LONG);
    let right = order(&view, &seen, false);
    let mut one_heard = seen.clone();
    one_heard[1].silent_for = None;
    let of_late = all_silent(MIN_SILENCE_BEFORE_GIVE_UP - Duration::from_millis(2_500));
    let mut other_entries = right.clone();
    other_entries.holders[0].entries = Some(8);
    let mut one_missing = right.clone();
    one_missing.holders.pop();
    let mut unknown_entries = right.clone();
    unknown_entries.holders[2].entries = None;
    let other_view = GiveUpRequest { epoch: view.epoch + 1, ..right.clone() };
    let no_group = GiveUpRequest { group: GroupNumber(64), ..right.clone() };
    let forced = GiveUpRequest { forced: true, ..right.clone() };
    let may_come_back = GiveUpError::HolderMayReturn { node: nodes[0].clone(), seconds: 3 };
    type Case<'a> = (&'a str, &'a GiveUpRequest, &'a [HolderStatus], Option<GiveUpError>);
    let cases: [Case; 10] = [
        ("right", &right, &seen, None),
        ("a holder is heard", &right, &one_heard, Some(GiveUpError::HolderAlive(nodes[1].clone()))),
        ("forced, a holder is heard", &forced, &one_heard, Some(GiveUpError::HolderAlive(nodes[1].clone()))),
        ("silent of late", &right, &of_late, Some(may_come_back)),
        ("forced, silent of late", &forced, &of_late, None),
        ("other entries", &other_entries, &seen, Some(GiveUpError::HolderMismatch)),
        ("a holder is missing", &one_missing, &seen, Some(GiveUpError::HolderMismatch)),
        ("entries that are known", &unknown_entries, &seen, Some(GiveUpError::HolderMismatch)),
        ("another view", &other_view, &seen, Some(GiveUpError::StaleView { current: view.epoch })),
        ("no such group", &no_group, &seen, Some(GiveUpError::UnknownGroup(64))),
    ];
    for (what, order, seen, refusal) in cases {
        let next = planner.give_up(&view, order, seen, Vec::new(), MIN_SILENCE_BEFORE_GIVE_UP);
        assert_eq!(next.err(), refusal, "{what}");
    }
}

#[test]
fn a_group_that_was_given_up_is_begun_anew_on_stores_that_are_heard() {
    let view = placed();
    let seen: Vec<HolderStatus> = holders(&view).iter().map(|node| silent(node, None, Some(LONG))).collect();
    let stores = others(&view);
    let planner = Planner::new(LOSSES, &stores, false);
    let names = vec!["job-1".to_owned()];
    let given_up =
        planner.give_up(&view, &order(&view, &seen, false), &seen, names.clone(), MIN_SILENCE_BEFORE_GIVE_UP);
    let next = given_up.expect("given up");
    assert_eq!(next.epoch, view.epoch + 1);
    let group = next.group(GROUP).expect("there");
    assert!(group.is_open() && group.joining.is_empty() && group.learner.is_none());
    assert_eq!((group.recreated_in_epoch, &group.given_up_jobs), (next.epoch, &names));
    assert!(group.unchanged_since.iter().all(|since| *since == next.epoch), "nobody is level from before");
    let nodes: Vec<String> = stores.iter().map(|heard| heard.member.identity.node.clone()).collect();
    assert!(holders(&next).iter().all(|node| nodes.contains(node)));
    for other in GroupNumber::all().filter(|other| *other != GROUP) {
        assert_eq!(next.group(other), view.group(other), "no other group changes");
    }
    let again =
        planner.give_up(&next, &order(&view, &seen, false), &seen, Vec::new(), MIN_SILENCE_BEFORE_GIVE_UP);
    assert_eq!(again.err(), Some(GiveUpError::StaleView { current: next.epoch }));
}

#[test]
fn without_stores_for_it_a_group_is_not_given_up() {
    let view = placed();
    let seen: Vec<HolderStatus> = holders(&view).iter().map(|node| silent(node, None, Some(LONG))).collect();
    let one = &others(&view)[..1];
    let next =
        Planner::new(LOSSES, one, false).give_up(&view, &order(&view, &seen, true), &seen, vec![], LONG);
    assert_eq!(next.err(), Some(GiveUpError::TooFewStores { heard: 1, needed: 2 }));
}

#[test]
fn who_is_given_up_has_no_lease_any_more() {
    assert!(STORE_LEASE_DURATION * 2 <= MIN_SILENCE_BEFORE_GIVE_UP);
}
