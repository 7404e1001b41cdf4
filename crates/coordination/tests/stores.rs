//! The placement of groups on stores: failures, repair, retirement.

use std::collections::BTreeSet;

use fennelgauge_coordination::{
    GroupConfirmation, GroupNumber, Identity, Member, Planner, StoreNumber, StoreReport, StoreView,
};

fn member(node: &str, disk: u64, zone: &str) -> Member {
    let port = 1_000 + node.bytes().map(u16::from).sum::<u16>();
    Member {
        identity: Identity { node: node.to_owned(), disk },
        peer: std::net::SocketAddr::from(([10, 0, 0, 1], port)),
        zone: zone.to_owned(),
        region: "r".to_owned(),
    }
}

#[derive(Clone)]
struct Fleet {
    view: StoreView,
    all: Vec<Member>,
    /// The stores that are alive.
    alive: Vec<Member>,
    /// Confirmations that the stores report.
    copied: BTreeSet<(StoreNumber, GroupConfirmation)>,
    holds: BTreeSet<(StoreNumber, GroupConfirmation)>,
    tolerated_failures: usize,
}

impl Fleet {
    fn new(nodes: &[&str], tolerated_failures: usize) -> Self {
        let alive: Vec<Member> = nodes.iter().map(|node| member(node, 1, &node[..1])).collect();
        let all = alive.clone();
        let mut fleet = Self {
            view: StoreView::default(),
            all,
            alive,
            copied: BTreeSet::new(),
            holds: BTreeSet::new(),
            tolerated_failures,
        };
        fleet.plan();
        fleet
    }

    /// Plans once; returns whether the view changed.
    fn plan(&mut self) -> bool {
        let reports: Vec<StoreReport> = self.alive.iter().map(|member| self.report(member)).collect();
        match Planner::new(self.tolerated_failures, &reports, true).plan(&self.view) {
            Some(next) => {
                assert!(next.epoch == self.view.epoch || next.epoch == self.view.epoch + 1);
                self.view = next;
                true
            }
            None => false,
        }
    }

    fn report(&self, member: &Member) -> StoreReport {
        let number = self.view.stores.iter().find(|store| store.member == *member).map(|store| store.number);
        let of_store = |confirmations: &BTreeSet<(StoreNumber, GroupConfirmation)>| {
            confirmations.iter().filter(|(store, _)| Some(*store) == number).map(|(_, it)| *it).collect()
        };
        StoreReport {
            member: member.clone(),
            copied_groups: of_store(&self.copied),
            held_groups: of_store(&self.holds),
        }
    }

    /// All learners confirm that they have copied their groups, and all joining links that they have everything. Returns whether
    /// there are any.
    fn confirm_all(&mut self) -> bool {
        let epoch = self.view.epoch;
        self.copied.clear();
        self.holds.clear();
        for (number, group) in self.view.groups.iter().enumerate() {
            let confirmation = GroupConfirmation { group: GroupNumber(number as u16), epoch };
            self.copied.extend(group.learner.map(|learner| (learner.store, confirmation)));
            self.holds.extend(group.joining.iter().map(|joining| (joining.store, confirmation)));
        }
        !self.copied.is_empty() || !self.holds.is_empty()
    }

    /// Plans and confirms until nothing changes.
    fn settle(&mut self) {
        for _ in 0..20 {
            let has_confirmations = self.confirm_all();
            if !self.plan() && !has_confirmations {
                return;
            }
        }
        panic!("the placement never settles");
    }

    /// Returns the chain_lengths of all chains.
    fn chain_lengths(&self) -> BTreeSet<usize> {
        self.view.groups.iter().map(|group| group.chain.len()).collect()
    }

    /// Makes all stores alive except the nodes at these indexes.
    fn all_alive_except(&mut self, nodes: &[&str], unresponsive: &[usize]) {
        self.alive = self.all.clone();
        for index in unresponsive {
            self.fail(nodes[*index]);
        }
    }

    fn number(&self, node: &str) -> StoreNumber {
        self.view.by_node(node).expect("listed").number
    }

    /// Returns the head of each group.
    fn heads(&self) -> impl Iterator<Item = (StoreNumber, GroupNumber)> + '_ {
        let groups = self.view.groups.iter().enumerate();
        groups.filter_map(|(number, group)| Some((*group.chain.first()?, GroupNumber(number as u16))))
    }

    /// Makes a store unresponsive.
    fn fail(&mut self, node: &str) {
        self.alive.retain(|member| member.identity.node != node);
    }
}

#[test]
fn chains_span_different_zones_and_have_one_spare_link() {
    let fleet = Fleet::new(&["a1", "a2", "b1", "c1"], 1);
    assert_eq!(fleet.chain_lengths(), BTreeSet::from([3]));
    for group in &fleet.view.groups {
        let zones: BTreeSet<&str> =
            group.chain.iter().map(|store| fleet.view.store(*store).unwrap().member.zone.as_str()).collect();
        assert_eq!(zones.len(), 3);
    }
    assert!(Fleet::new(&["a1"], 1).view.groups.is_empty(), "one store is too few");
}

#[test]
fn remaining_links_keep_their_order_and_a_learner_joins_the_end() {
    let mut fleet = Fleet::new(&["a1", "b1", "c1", "d1"], 1);
    let before = fleet.view.clone();
    fleet.fail("b1");
    assert!(fleet.plan());
    for (previous, next) in before.groups.iter().zip(&fleet.view.groups) {
        let kept: Vec<StoreNumber> =
            previous.chain.iter().copied().filter(|store| next.chain.contains(store)).collect();
        assert_eq!(next.chain, kept, "no store joins a chain before it has copied the group");
        assert_eq!(next.learner.is_some(), next.chain.len() == 2);
    }
    fleet.settle();
    assert_eq!(fleet.chain_lengths(), BTreeSet::from([3]));
}

#[test]
fn a_group_is_closed_while_it_has_too_few_holders() {
    let mut fleet = Fleet::new(&["a1", "b1", "c1"], 1);
    fleet.fail("a1");
    fleet.plan();
    assert_eq!(fleet.chain_lengths(), BTreeSet::from([2]));
    assert!(fleet.view.groups.iter().all(|group| group.is_open()));
    fleet.fail("b1");
    fleet.plan();
    let (b, c) = (fleet.number("b1"), fleet.number("c1"));
    for group in &fleet.view.groups {
        assert_eq!((group.chain.as_slice(), group.absent.as_slice()), ([c].as_slice(), [b].as_slice()));
        assert!(!group.is_open(), "the group can be neither changed nor read");
    }
    fleet.alive.push(member("b1", 2, "b"));
    fleet.plan();
    let empty = |fleet: &Fleet| {
        fleet.view.stores.iter().find(|store| store.member.identity.disk == 2).unwrap().number
    };
    let new = empty(&fleet);
    for group in &fleet.view.groups {
        assert_eq!(group.chain, [c], "an empty store is no link before it has copied the group");
        assert_eq!(group.learner.map(|learner| learner.store), Some(new));
    }
    fleet.confirm_all();
    fleet.plan();
    for group in &fleet.view.groups {
        assert_eq!(
            (group.chain.as_slice(), group.is_open()),
            ([c, new].as_slice(), false),
            "the new store is a joining link"
        );
    }
    fleet.confirm_all();
    fleet.plan();
    for group in &fleet.view.groups {
        assert_eq!(
            (group.holders().as_slice(), group.is_open()),
            ([c, new].as_slice(), true),
            "the new store is a holder"
        );
        assert!(group.absent.is_empty());
    }
}

#[test]
fn an_absent_holder_returns_as_a_holder() {
    let mut fleet = Fleet::new(&["a1", "b1", "c1"], 1);
    let back = fleet.alive.clone();
    fleet.fail("a1");
    fleet.fail("b1");
    fleet.plan();
    fleet.alive = back;
    fleet.plan();
    for group in &fleet.view.groups {
        assert!(group.is_open() && group.joining.is_empty());
        assert_eq!(group.holders().len(), 3);
    }
}

#[test]
fn confirmations_from_before_an_assignment_do_not_count() {
    let mut fleet = Fleet::new(&["a1", "b1", "c1", "d1"], 1);
    fleet.fail("d1");
    fleet.settle();
    fleet.alive.push(member("d1", 1, "d"));
    fleet.settle();
    fleet.fail("a1");
    fleet.plan();
    fleet.confirm_all();
    let confirmed = (fleet.copied.clone(), fleet.holds.clone());
    fleet.plan();
    let joining = |fleet: &Fleet| fleet.view.groups.iter().map(|group| group.joining.len()).sum::<usize>();
    let joining_before = joining(&fleet);
    assert!(joining_before > 0);
    (fleet.copied, fleet.holds) = (BTreeSet::new(), confirmed.0.clone());
    fleet.plan();
    assert_eq!(joining(&fleet), joining_before, "confirmed before it was a link");
    fleet.confirm_all();
    fleet.plan();
    assert_eq!(joining(&fleet), 0);
}

#[test]
fn links_record_since_when_the_chain_before_them_is_unchanged_and_joining_links_need_no_new_epoch() {
    let mut fleet = Fleet::new(&["a1", "b1", "c1", "d1"], 1);
    let dates = |fleet: &Fleet, group: usize| fleet.view.groups[group].unchanged_since.clone();
    assert!((0..64).all(|group| dates(&fleet, group) == [1, 1, 1]));
    let before = fleet.view.clone();
    fleet.fail("b1");
    fleet.plan();
    let b = before.by_node("b1").expect("listed").number;
    for (group, previous) in before.groups.iter().enumerate() {
        let expected = match previous.chain.iter().position(|link| *link == b) {
            Some(0) => vec![2, 2],
            Some(1) => vec![1, 2],
            Some(_) => vec![1, 1],
            None => vec![1, 1, 1],
        };
        assert_eq!(dates(&fleet, group), expected, "{previous:?}");
    }
    fleet.confirm_all();
    fleet.plan();
    assert_eq!(fleet.view.epoch, 3, "learners have joined");
    fleet.confirm_all();
    assert!(fleet.plan());
    assert_eq!(fleet.view.epoch, 3, "only the planner uses the set of joining links");
    assert!(fleet.view.groups.iter().all(|group| group.joining.is_empty()));
}

#[test]
fn the_placement_of_a_group_without_a_live_holder_is_kept() {
    let mut fleet = Fleet::new(&["a1", "b1", "c1", "d1"], 1);
    let before = fleet.view.groups.clone();
    let back = fleet.alive.clone();
    fleet.alive.clear();
    fleet.plan();
    assert_eq!(fleet.view.groups, before);
    fleet.alive = back;
    assert!(!fleet.plan());
}

#[test]
fn a_retiring_store_is_emptied_before_it_is_removed() {
    let mut fleet = Fleet::new(&["a1", "b1", "c1", "d1"], 1);
    let number = fleet.view.by_node("a1").unwrap().number;
    fleet.view.stores.iter_mut().find(|store| store.number == number).unwrap().retiring = true;
    fleet.plan();
    assert!(fleet.view.holds_data(number), "its data is not elsewhere yet");
    fleet.settle();
    assert!(!fleet.view.holds_data(number));
    assert_eq!(fleet.chain_lengths(), BTreeSet::from([3]));
    fleet.fail("a1");
    fleet.plan();
    assert!(fleet.view.by_node("a1").is_none());
}

/// Guards against a head that has none of the group's data. Every four of eight stores become unresponsive, then every three,
/// and finally all return with the data that they had: every head must then be one of the original holders.
#[test]
fn a_head_is_an_original_holder_however_outages_overlap() {
    let nodes = ["a1", "a2", "b1", "b2", "c1", "c2", "d1", "d2"];
    let fleet = Fleet::new(&nodes, 2);
    let original = holders(&fleet.view);
    let mut failures = Vec::new();
    for first in subsets(nodes.len(), 4) {
        for second in subsets(nodes.len(), 3) {
            let mut fleet = fleet.clone();
            for unresponsive in [first.as_slice(), second.as_slice(), &[]] {
                fleet.all_alive_except(&nodes, unresponsive);
                while fleet.plan() {}
            }
            let empty = fleet.heads().filter(|head| !original.contains(head)).count();
            if empty > 0 {
                failures.push((first.clone(), second.clone(), empty));
            }
        }
    }
    let worst = failures.iter().max_by_key(|(_, _, empty)| *empty);
    assert!(
        failures.is_empty(),
        "{} cases; the worst one, with its number of heads without data: {worst:?}",
        failures.len()
    );
}

/// Returns all subsets of a size of the numbers below `of`.
fn subsets(of: usize, size: u32) -> Vec<Vec<usize>> {
    let sets = (0..1_usize << of).filter(|set| set.count_ones() == size);
    sets.map(|set| (0..of).filter(|element| set >> element & 1 == 1).collect()).collect()
}

/// Returns every link of every chain of a view in which no store has joined yet.
fn holders(view: &StoreView) -> BTreeSet<(StoreNumber, GroupNumber)> {
    let of_group = |(number, group): (usize, &fennelgauge_coordination::Group)| {
        let number = GroupNumber(number as u16);
        group.chain.iter().map(move |store| (*store, number)).collect::<Vec<_>>()
    };
    view.groups.iter().enumerate().flat_map(of_group).collect()
}

/// Guards against entries that count as replicated though a link lacks them: two links of a chain had one address, since a
/// store that lost its disk came back before its former self was found to be gone.
#[test]
fn a_store_that_lost_its_disk_does_not_join_a_chain_in_which_its_former_self_is_a_link() {
    let mut fleet = Fleet::new(&["a1", "b1", "c1"], 2);
    let empty = member("c1", 2, "c");
    fleet.alive.push(empty.clone());
    fleet.all.push(empty.clone());
    fleet.settle();
    let addresses = |fleet: &Fleet| -> Vec<usize> {
        let of_link = |number: &StoreNumber| fleet.view.store(*number).expect("a store").member.peer;
        let distinct = |chain: &Vec<StoreNumber>| chain.iter().map(of_link).collect::<BTreeSet<_>>().len();
        fleet.view.groups.iter().map(|group| group.chain.len() - distinct(&group.chain)).collect()
    };
    assert!(addresses(&fleet).iter().all(|shared| *shared == 0), "both are heard");
    fleet.alive.retain(|member| member.identity.node != "c1" || *member == empty);
    fleet.settle();
    assert!(addresses(&fleet).iter().all(|shared| *shared == 0));
    assert_eq!(
        fleet.chain_lengths(),
        BTreeSet::from([3]),
        "the empty store joins in the place of its former self"
    );
}
