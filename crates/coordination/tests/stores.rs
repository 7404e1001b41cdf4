//! The placement of groups on stores: losses, repair, retirement.

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
    everybody: Vec<Member>,
    present: Vec<Member>,
    /// What stores have told of their groups, with the view of it.
    copied: BTreeSet<(StoreNumber, GroupConfirmation)>,
    holds: BTreeSet<(StoreNumber, GroupConfirmation)>,
    losses: usize,
}

impl Fleet {
    fn new(nodes: &[&str], losses: usize) -> Self {
        let present: Vec<Member> = nodes.iter().map(|node| member(node, 1, &node[..1])).collect();
        let everybody = present.clone();
        let mut fleet = Self {
            view: StoreView::default(),
            everybody,
            present,
            copied: BTreeSet::new(),
            holds: BTreeSet::new(),
            losses,
        };
        fleet.plan();
        fleet
    }

    fn plan(&mut self) -> bool {
        let heard: Vec<StoreReport> = self.present.iter().map(|member| self.heard(member)).collect();
        match Planner::new(self.losses, &heard, true).plan(&self.view) {
            Some(next) => {
                assert!(next.epoch == self.view.epoch || next.epoch == self.view.epoch + 1);
                self.view = next;
                true
            }
            None => false,
        }
    }

    fn heard(&self, member: &Member) -> StoreReport {
        let number = self.view.stores.iter().find(|store| store.member == *member).map(|store| store.number);
        let of_store = |told: &BTreeSet<(StoreNumber, GroupConfirmation)>| {
            told.iter().filter(|(store, _)| Some(*store) == number).map(|(_, told)| *told).collect()
        };
        StoreReport {
            member: member.clone(),
            copied_groups: of_store(&self.copied),
            held_groups: of_store(&self.holds),
        }
    }

    /// Learners have copied their groups, and joining links have everything, as of now.
    fn all_tell(&mut self) -> bool {
        let epoch = self.view.epoch;
        self.copied.clear();
        self.holds.clear();
        for (number, group) in self.view.groups.iter().enumerate() {
            let told = GroupConfirmation { group: GroupNumber(number as u16), epoch };
            self.copied.extend(group.learner.map(|learner| (learner.store, told)));
            self.holds.extend(group.joining.iter().map(|newcomer| (newcomer.store, told)));
        }
        !self.copied.is_empty() || !self.holds.is_empty()
    }

    fn settle(&mut self) {
        for _ in 0..20 {
            let news = self.all_tell();
            if !self.plan() && !news {
                return;
            }
        }
        panic!("placement does not settle");
    }

    fn lengths(&self) -> BTreeSet<usize> {
        self.view.groups.iter().map(|group| group.chain.len()).collect()
    }

    /// All are there but the nodes at these places.
    fn only_silent(&mut self, nodes: &[&str], silent: &[usize]) {
        self.present = self.everybody.clone();
        for place in silent {
            self.leave(nodes[*place]);
        }
    }

    fn number(&self, node: &str) -> StoreNumber {
        self.view.by_node(node).expect("listed").number
    }

    /// The head of each group.
    fn heads(&self) -> impl Iterator<Item = (StoreNumber, GroupNumber)> + '_ {
        let groups = self.view.groups.iter().enumerate();
        groups.filter_map(|(number, group)| Some((*group.chain.first()?, GroupNumber(number as u16))))
    }

    fn leave(&mut self, node: &str) {
        self.present.retain(|member| member.identity.node != node);
    }
}

#[test]
fn chains_lie_in_different_zones_and_have_one_link_to_spare() {
    let fleet = Fleet::new(&["a1", "a2", "b1", "c1"], 1);
    assert_eq!(fleet.lengths(), BTreeSet::from([3]));
    for group in &fleet.view.groups {
        let zones: BTreeSet<&str> =
            group.chain.iter().map(|store| fleet.view.store(*store).unwrap().member.zone.as_str()).collect();
        assert_eq!(zones.len(), 3);
    }
    assert!(Fleet::new(&["a1"], 1).view.groups.is_empty(), "one store is too few");
}

#[test]
fn survivors_keep_their_order_and_a_learner_joins_the_end() {
    let mut fleet = Fleet::new(&["a1", "b1", "c1", "d1"], 1);
    let before = fleet.view.clone();
    fleet.leave("b1");
    assert!(fleet.plan());
    for (was, is) in before.groups.iter().zip(&fleet.view.groups) {
        let kept: Vec<StoreNumber> =
            was.chain.iter().copied().filter(|store| is.chain.contains(store)).collect();
        assert_eq!(is.chain, kept, "nobody is in a chain before it has copied");
        assert_eq!(is.learner.is_some(), is.chain.len() == 2);
    }
    fleet.settle();
    assert_eq!(fleet.lengths(), BTreeSet::from([3]));
}

#[test]
fn a_group_is_closed_while_too_few_hold_it() {
    let mut fleet = Fleet::new(&["a1", "b1", "c1"], 1);
    fleet.leave("a1");
    fleet.plan();
    assert_eq!(fleet.lengths(), BTreeSet::from([2]));
    assert!(fleet.view.groups.iter().all(|group| group.is_open()));
    fleet.leave("b1");
    fleet.plan();
    let (b, c) = (fleet.number("b1"), fleet.number("c1"));
    for group in &fleet.view.groups {
        assert_eq!((group.chain.as_slice(), group.absent.as_slice()), ([c].as_slice(), [b].as_slice()));
        assert!(!group.is_open(), "nothing is changed or read");
    }
    fleet.present.push(member("b1", 2, "b"));
    fleet.plan();
    let empty = |fleet: &Fleet| {
        fleet.view.stores.iter().find(|store| store.member.identity.disk == 2).unwrap().number
    };
    let new = empty(&fleet);
    for group in &fleet.view.groups {
        assert_eq!(group.chain, [c], "an empty one is no link before it has copied");
        assert_eq!(group.learner.map(|learner| learner.store), Some(new));
    }
    fleet.all_tell();
    fleet.plan();
    for group in &fleet.view.groups {
        assert_eq!((group.chain.as_slice(), group.is_open()), ([c, new].as_slice(), false), "it joins");
    }
    fleet.all_tell();
    fleet.plan();
    for group in &fleet.view.groups {
        assert_eq!((group.holders().as_slice(), group.is_open()), ([c, new].as_slice(), true), "it holds");
        assert!(group.absent.is_empty());
    }
}

#[test]
fn an_absent_holder_comes_back_as_a_holder() {
    let mut fleet = Fleet::new(&["a1", "b1", "c1"], 1);
    let back = fleet.present.clone();
    fleet.leave("a1");
    fleet.leave("b1");
    fleet.plan();
    fleet.present = back;
    fleet.plan();
    for group in &fleet.view.groups {
        assert!(group.is_open() && group.joining.is_empty());
        assert_eq!(group.holders().len(), 3);
    }
}

#[test]
fn what_a_store_told_of_an_earlier_stay_does_not_count() {
    let mut fleet = Fleet::new(&["a1", "b1", "c1", "d1"], 1);
    fleet.leave("d1");
    fleet.settle();
    fleet.present.push(member("d1", 1, "d"));
    fleet.settle();
    fleet.leave("a1");
    fleet.plan();
    fleet.all_tell();
    let told = (fleet.copied.clone(), fleet.holds.clone());
    fleet.plan();
    let joining = |fleet: &Fleet| fleet.view.groups.iter().map(|group| group.joining.len()).sum::<usize>();
    let joined = joining(&fleet);
    assert!(joined > 0);
    (fleet.copied, fleet.holds) = (BTreeSet::new(), told.0.clone());
    fleet.plan();
    assert_eq!(joining(&fleet), joined, "told before it was a link");
    fleet.all_tell();
    fleet.plan();
    assert_eq!(joining(&fleet), 0);
}

#[test]
fn links_are_dated_by_what_stands_before_them_and_who_is_joining_is_no_news() {
    let mut fleet = Fleet::new(&["a1", "b1", "c1", "d1"], 1);
    let dates = |fleet: &Fleet, group: usize| fleet.view.groups[group].unchanged_since.clone();
    assert!((0..64).all(|group| dates(&fleet, group) == [1, 1, 1]));
    let before = fleet.view.clone();
    fleet.leave("b1");
    fleet.plan();
    let b = before.by_node("b1").expect("listed").number;
    for (group, was) in before.groups.iter().enumerate() {
        let expected = match was.chain.iter().position(|link| *link == b) {
            Some(0) => vec![2, 2],
            Some(1) => vec![1, 2],
            Some(_) => vec![1, 1],
            None => vec![1, 1, 1],
        };
        assert_eq!(dates(&fleet, group), expected, "{was:?}");
    }
    fleet.all_tell();
    fleet.plan();
    assert_eq!(fleet.view.epoch, 3, "learners have joined");
    fleet.all_tell();
    assert!(fleet.plan());
    assert_eq!(fleet.view.epoch, 3, "they hold: nobody else goes by it");
    assert!(fleet.view.groups.iter().all(|group| group.joining.is_empty()));
}

#[test]
fn where_nobody_who_holds_a_group_is_heard_it_stays_as_it_is() {
    let mut fleet = Fleet::new(&["a1", "b1", "c1", "d1"], 1);
    let before = fleet.view.groups.clone();
    let back = fleet.present.clone();
    fleet.present.clear();
    fleet.plan();
    assert_eq!(fleet.view.groups, before);
    fleet.present = back;
    assert!(!fleet.plan());
}

#[test]
fn a_retiring_store_is_emptied_before_it_is_out() {
    let mut fleet = Fleet::new(&["a1", "b1", "c1", "d1"], 1);
    let number = fleet.view.by_node("a1").unwrap().number;
    fleet.view.stores.iter_mut().find(|store| store.number == number).unwrap().retiring = true;
    fleet.plan();
    assert!(fleet.view.holds_data(number), "what it holds stands nowhere else yet");
    fleet.settle();
    assert!(!fleet.view.holds_data(number));
    assert_eq!(fleet.lengths(), BTreeSet::from([3]));
    fleet.leave("a1");
    fleet.plan();
    assert!(fleet.view.by_node("a1").is_none());
}

/// Silent stores come back with all that they had: whoever leads a group then has what was kept in it. Every four of eight
/// stores are silent, then every three.
#[test]
fn a_head_holds_what_was_kept_however_the_silences_overlap() {
    let nodes = ["a1", "a2", "b1", "b2", "c1", "c2", "d1", "d2"];
    let fleet = Fleet::new(&nodes, 2);
    let kept = holders(&fleet.view);
    let mut wrong = Vec::new();
    for first in subsets(nodes.len(), 4) {
        for second in subsets(nodes.len(), 3) {
            let mut fleet = fleet.clone();
            for silent in [first.as_slice(), second.as_slice(), &[]] {
                fleet.only_silent(&nodes, silent);
                while fleet.plan() {}
            }
            let empty = fleet.heads().filter(|place| !kept.contains(place)).count();
            if empty > 0 {
                wrong.push((first.clone(), second.clone(), empty));
            }
        }
    }
    let most = wrong.iter().max_by_key(|(_, _, empty)| *empty);
    assert!(
        wrong.is_empty(),
        "{} cases; in the worst, heads that have copied nothing: {most:?}",
        wrong.len()
    );
}

fn subsets(of: usize, size: u32) -> Vec<Vec<usize>> {
    let sets = (0..1_usize << of).filter(|set| set.count_ones() == size);
    sets.map(|set| (0..of).filter(|place| set >> place & 1 == 1).collect()).collect()
}

/// Every link of every chain: nobody has copied anything yet.
fn holders(view: &StoreView) -> BTreeSet<(StoreNumber, GroupNumber)> {
    let of_group = |(number, group): (usize, &fennelgauge_coordination::Group)| {
        let number = GroupNumber(number as u16);
        group.chain.iter().map(move |store| (*store, number)).collect::<Vec<_>>()
    };
    view.groups.iter().enumerate().flat_map(of_group).collect()
}
