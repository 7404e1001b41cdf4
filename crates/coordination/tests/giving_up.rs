//! Giving up a group: case a request must name, when it is rejected, and the state of the recreated group.

use std::time::Duration;

use fennelgauge_coordination::{
    GiveUpError, GiveUpRequest, GroupNumber, HolderStatus, Identity, LastHolder, Member, Planner,
    StoreReport, StoreView, MIN_SILENCE_BEFORE_GIVE_UP, STORE_LEASE_DURATION,
};

const GROUP: GroupNumber = GroupNumber(5);
const LOSSES: usize = 1;
const LONG_SILENCE: Duration = Duration::from_secs(600);

fn report(node: &str) -> StoreReport {
    let port = 1_000 + node.bytes().map(u16::from).sum::<u16>();
    let member = Member {
        identity: Identity { node: node.to_owned(), disk: 1 },
        peer: std::net::SocketAddr::from(([10, 0, 0, 1], port)),
        zone: node[..1].to_owned(),
        region: "r".to_owned(),
    };
    StoreReport { member, copied_groups: Vec::new(), held_groups: Vec::new() }
}

fn reports(nodes: &[&str]) -> Vec<StoreReport> {
    nodes.iter().map(|node| report(node)).collect()
}

/// Returns a view of six stores on which all groups are placed.
fn placed() -> StoreView {
    let stores = reports(&["a1", "a2", "b1", "b2", "c1", "c2"]);
    Planner::new(LOSSES, &stores, true).plan(&StoreView::default()).expect("placed")
}

/// Returns the names of the nodes that hold the group.
fn holders(view: &StoreView) -> Vec<String> {
    let node = |number| view.store(number).expect("listed").member.identity.node.clone();
    view.recorded_holders(GROUP).into_iter().map(node).collect()
}

fn holder_status(node: &str, entries: Option<u64>, silent_for: Option<Duration>) -> HolderStatus {
    HolderStatus { holder: LastHolder { node: node.to_owned(), entries }, silent_for }
}

/// Returns the reports of all stores that do not hold the group.
fn others(view: &StoreView) -> Vec<StoreReport> {
    let holders = holders(view);
    let others = view.stores.iter().filter(|store| !holders.contains(&store.member.identity.node));
    others.map(|store| report(&store.member.identity.node)).collect()
}

fn request(view: &StoreView, statuses: &[HolderStatus], forced: bool) -> GiveUpRequest {
    let holders = statuses.iter().map(|status| status.holder.clone()).collect();
    GiveUpRequest { group: GROUP, epoch: view.epoch, holders, forced }
}

#[test]
fn a_request_must_match_the_record_and_all_holders_must_be_unresponsive() {
    let view = placed();
    let nodes = holders(&view);
    let stores = others(&view);
    let planner = Planner::new(LOSSES, &stores, false);
    let all_unresponsive = |silent_for| -> Vec<HolderStatus> {
        nodes.iter().map(|node| holder_status(node, Some(9), Some(silent_for))).collect()
    };
    let statuses = all_unresponsive(LONG_SILENCE);
    let valid = request(&view, &statuses, false);
    let mut one_alive = statuses.clone();
    one_alive[1].silent_for = None;
    let recent = all_unresponsive(MIN_SILENCE_BEFORE_GIVE_UP - Duration::from_millis(2_500));
    let mut wrong_entries = valid.clone();
    wrong_entries.holders[0].entries = Some(8);
    let mut one_missing = valid.clone();
    one_missing.holders.pop();
    let mut unknown_entries = valid.clone();
    unknown_entries.holders[2].entries = None;
    let other_view = GiveUpRequest { epoch: view.epoch + 1, ..valid.clone() };
    let no_group = GiveUpRequest { group: GroupNumber(64), ..valid.clone() };
    let forced = GiveUpRequest { forced: true, ..valid.clone() };
    let may_come_back = GiveUpError::HolderMayReturn { node: nodes[0].clone(), seconds: 3 };
    type Case<'a> = (&'a str, &'a GiveUpRequest, &'a [HolderStatus], Option<GiveUpError>);
    let cases: [Case; 10] = [
        ("valid", &valid, &statuses, None),
        ("a holder is alive", &valid, &one_alive, Some(GiveUpError::HolderAlive(nodes[1].clone()))),
        ("forced, a holder is alive", &forced, &one_alive, Some(GiveUpError::HolderAlive(nodes[1].clone()))),
        ("unresponsive for too short a time", &valid, &recent, Some(may_come_back)),
        ("forced, unresponsive for a short time", &forced, &recent, None),
        ("wrong number of entries", &wrong_entries, &statuses, Some(GiveUpError::HolderMismatch)),
        ("a holder is missing", &one_missing, &statuses, Some(GiveUpError::HolderMismatch)),
        (
            "unknown entries, although they are on record",
            &unknown_entries,
            &statuses,
            Some(GiveUpError::HolderMismatch),
        ),
        ("another view", &other_view, &statuses, Some(GiveUpError::StaleView { current: view.epoch })),
        ("no such group", &no_group, &statuses, Some(GiveUpError::UnknownGroup(64))),
    ];
    for (case, request, statuses, refusal) in cases {
        let next = planner.give_up(&view, request, statuses, Vec::new(), MIN_SILENCE_BEFORE_GIVE_UP);
        assert_eq!(next.err(), refusal, "{case}");
    }
}

#[test]
fn a_group_that_was_given_up_is_recreated_on_stores_that_are_alive() {
    let view = placed();
    let statuses: Vec<HolderStatus> =
        holders(&view).iter().map(|node| holder_status(node, None, Some(LONG_SILENCE))).collect();
    let stores = others(&view);
    let planner = Planner::new(LOSSES, &stores, false);
    let names = vec!["job-1".to_owned()];
    let given_up = planner.give_up(
        &view,
        &request(&view, &statuses, false),
        &statuses,
        names.clone(),
        MIN_SILENCE_BEFORE_GIVE_UP,
    );
    let next = given_up.expect("given up");
    assert_eq!(next.epoch, view.epoch + 1);
    let group = next.group(GROUP).expect("there");
    assert!(group.is_open() && group.joining.is_empty() && group.learner.is_none());
    assert_eq!((group.recreated_in_epoch, &group.given_up_jobs), (next.epoch, &names));
    assert!(
        group.unchanged_since.iter().all(|since| *since == next.epoch),
        "no store counts as caught up from before"
    );
    let nodes: Vec<String> = stores.iter().map(|report| report.member.identity.node.clone()).collect();
    assert!(holders(&next).iter().all(|node| nodes.contains(node)));
    for other in GroupNumber::all().filter(|other| *other != GROUP) {
        assert_eq!(next.group(other), view.group(other), "the other groups are unchanged");
    }
    let again = planner.give_up(
        &next,
        &request(&view, &statuses, false),
        &statuses,
        Vec::new(),
        MIN_SILENCE_BEFORE_GIVE_UP,
    );
    assert_eq!(again.err(), Some(GiveUpError::StaleView { current: next.epoch }));
}

#[test]
fn a_group_is_not_given_up_without_enough_stores_to_recreate_it() {
    let view = placed();
    let statuses: Vec<HolderStatus> =
        holders(&view).iter().map(|node| holder_status(node, None, Some(LONG_SILENCE))).collect();
    let one = &others(&view)[..1];
    let next = Planner::new(LOSSES, one, false).give_up(
        &view,
        &request(&view, &statuses, true),
        &statuses,
        vec![],
        LONG_SILENCE,
    );
    assert_eq!(next.err(), Some(GiveUpError::TooFewStores { heard: 1, needed: 2 }));
}

#[test]
fn the_lease_of_a_holder_has_expired_before_it_may_be_given_up() {
    assert!(STORE_LEASE_DURATION * 2 <= MIN_SILENCE_BEFORE_GIVE_UP);
}
