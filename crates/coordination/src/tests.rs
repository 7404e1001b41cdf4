use super::*;
use std::collections::BTreeSet;

fn member(node: &str, disk: u64, zone: &str) -> Member {
    let port = 1_000 + node.bytes().map(u16::from).sum::<u16>();
    Member {
        identity: Identity { node: node.to_owned(), disk },
        peer: std::net::SocketAddr::from(([10, 0, 0, 1], port)),
        zone: zone.to_owned(),
        region: "r".to_owned(),
    }
}

fn view(nodes: &[&str]) -> View {
    View { epoch: 4, members: nodes.iter().map(|node| member(node, 1, &node[..1])).collect() }
}

fn ballot(round: u64, node: &str) -> Ballot {
    Ballot { round, proposer: Identity { node: node.to_owned(), disk: 1 } }
}

fn state(epoch: u64, sequence: u64) -> StateVersion {
    StateVersion { epoch, sequence, body: vec![sequence as u8] }
}

#[test]
fn the_next_view_keeps_the_living_in_order_and_fills_up_from_other_zones() {
    let rules = ViewRules::for_losses(1);
    type Case = (&'static str, &'static [&'static str], &'static str, Vec<Member>, Option<&'static str>);
    let cases: [Case; 7] = [
        ("nothing to do", &["a", "b", "c"], "", vec![], None),
        ("one is lost", &["a", "b", "c"], "a", vec![], Some("b c")),
        ("and replaced", &["a", "b", "c"], "a", vec![member("d", 1, "d")], Some("b c d")),
        ("other zone first", &["a", "b"], "", vec![member("ax", 1, "a"), member("z", 1, "z")], Some("a b z")),
        ("full", &["a", "b", "c"], "", vec![member("d", 1, "d")], None),
        ("too few would be left", &["a", "b"], "b", vec![], None),
        ("back with an empty disk", &["a", "b", "c"], "", vec![member("a", 2, "a")], Some("b c a")),
    ];
    for (name, nodes, lost, joiners, expected) in cases {
        let next = next_view(&view(nodes), |member| member.identity.node != lost, &joiners, rules);
        let next = next.map(|view| {
            view.members.iter().map(|member| member.identity.node.clone()).collect::<Vec<_>>().join(" ")
        });
        assert_eq!(next.as_deref(), expected, "{name}");
    }
}

#[test]
fn an_acceptor_holds_to_its_promise() {
    let mut acceptor = Acceptor::new(view(&["a", "b", "c"]));
    let proposal = Proposal { view: View { epoch: 5, members: vec![] }, state: state(5, 1) };
    assert!(!acceptor.sealed());
    assert!(matches!(acceptor.prepare(3, &ballot(1, "a"), &state(4, 1), None), PrepareReply::Ahead(4)));
    assert!(matches!(acceptor.prepare(5, &ballot(1, "a"), &state(4, 1), None), PrepareReply::Behind(4)));
    assert!(matches!(acceptor.prepare(4, &ballot(2, "b"), &state(4, 1), None), PrepareReply::Promised(_)));
    assert!(acceptor.sealed());
    assert!(matches!(acceptor.prepare(4, &ballot(1, "c"), &state(4, 1), None), PrepareReply::Refused(_)));
    assert!(matches!(acceptor.accept(4, &ballot(1, "c"), &proposal), AcceptReply::Refused(_)));
    assert_eq!(acceptor.accept(4, &ballot(2, "b"), &proposal), AcceptReply::Accepted);
    let PrepareReply::Promised(promise) = acceptor.prepare(4, &ballot(3, "c"), &state(4, 1), None) else {
        panic!("a higher ballot is promised")
    };
    assert_eq!(promise.accepted, Some((ballot(2, "b"), proposal.clone())));
    assert!(acceptor.install(&proposal.view) && !acceptor.sealed());
    assert!(!acceptor.install(&proposal.view));
}

#[test]
fn a_proposer_takes_up_what_may_be_decided_and_the_newest_state() {
    let promise = |accepted, sequence| {
        PrepareReply::Promised(Box::new(Promise { accepted, state: state(4, sequence), candidate: None }))
    };
    let wanted = View { epoch: 5, members: view(&["b", "c"]).members };
    let mut fresh = Proposer::new(view(&["a", "b", "c"]), ballot(1, "b"));
    assert_eq!(fresh.promised(1, promise(None, 3)), Step::Wait);
    assert_eq!(fresh.promised(1, promise(None, 3)), Step::Wait, "one member counts once");
    assert_eq!(fresh.promised(2, promise(None, 4)), Step::Propose);
    let proposal = fresh.propose(wanted.clone());
    assert_eq!(proposal.state, StateVersion { epoch: 5, ..state(4, 4) });
    assert_eq!(fresh.accepted(1, AcceptReply::Accepted), Step::Wait);
    assert_eq!(fresh.accepted(2, AcceptReply::Accepted), Step::Decided(proposal.clone()));

    let mut later = Proposer::new(view(&["a", "b", "c"]), ballot(2, "c"));
    later.promised(2, promise(Some((ballot(1, "b"), proposal.clone())), 4));
    later.promised(0, promise(None, 9));
    assert_eq!(later.propose(view(&["c"])), proposal, "what may be decided stays");
    assert_eq!(later.promised(1, PrepareReply::Refused(ballot(7, "a"))), Step::Lost { round: 7 });
}

#[test]
fn seeds_need_two_of_three_for_a_first_view() {
    let peers: Vec<std::net::SocketAddr> =
        (1..=3).map(|last| std::net::SocketAddr::from(([10, 0, 0, last], 7360))).collect();
    assert_eq!(View::of_seeds(&peers).majority(), 2);
    assert_eq!(View::of_seeds(&peers[..1]).majority(), 1);
}

struct Fleet {
    view: StoreView,
    present: Vec<Member>,
    level: BTreeSet<(StoreNumber, GroupNumber)>,
    losses: usize,
}

impl Fleet {
    fn new(nodes: &[&str], losses: usize) -> Self {
        let present = nodes.iter().map(|node| member(node, 1, &node[..1])).collect();
        let mut fleet = Self { view: StoreView::default(), present, level: BTreeSet::new(), losses };
        fleet.plan();
        fleet
    }

    fn plan(&mut self) -> bool {
        let present = self.present.clone();
        let alive = |member: &Member| present.iter().any(|there| there.identity == member.identity);
        let planner = Planner {
            losses: self.losses,
            alive: &alive,
            present: &present,
            level: &self.level,
            may_begin: true,
        };
        match planner.plan(&self.view) {
            Some(next) => {
                assert!(next.epoch == self.view.epoch + 1);
                self.view = next;
                true
            }
            None => false,
        }
    }

    fn settle(&mut self) {
        for _ in 0..8 {
            let learners = self.view.groups.iter().enumerate().filter_map(|(number, group)| {
                group.learner.map(|learner| (learner, GroupNumber(number as u16)))
            });
            self.level = learners.collect();
            if !self.plan() && self.level.is_empty() {
                return;
            }
        }
        panic!("placement does not settle");
    }

    fn lengths(&self) -> BTreeSet<usize> {
        self.view.groups.iter().map(|group| group.chain.len()).collect()
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
fn a_chain_never_goes_below_the_fewest_links() {
    let mut fleet = Fleet::new(&["a1", "b1", "c1"], 1);
    fleet.leave("a1");
    fleet.plan();
    assert_eq!(fleet.lengths(), BTreeSet::from([2]));
    fleet.leave("b1");
    fleet.plan();
    assert_eq!(fleet.lengths(), BTreeSet::from([2]), "the lost one stays named: no writes");
    fleet.present.push(member("b1", 2, "b"));
    fleet.plan();
    assert_eq!(fleet.lengths(), BTreeSet::from([2]), "an empty one takes its place at the end");
    let c = fleet.view.by_node("c1").unwrap().number;
    assert!(fleet.view.groups.iter().all(|group| group.chain[0] == c));
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

fn peer(number: usize, zones: usize) -> Peer {
    Peer {
        node: format!("n{number}"),
        zone: format!("z{}", number % zones),
        address: std::net::SocketAddr::from(([10, 1, (number / 250) as u8, (number % 250) as u8], 7361)),
    }
}

/// Chance that repeats: a linear congruence.
fn chance(seed: u64) -> impl FnMut(usize) -> usize {
    let mut state = seed;
    move |below| {
        state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        ((state >> 33) as usize) % below.max(1)
    }
}

/// Rounds of swaps among `count` processes that begin with one acquaintance; those in `gone` do not answer.
fn rounds(
    count: usize,
    zones: usize,
    rounds: usize,
    gone: &dyn Fn(usize, usize) -> bool,
) -> Vec<PartialView> {
    let mut draw = chance(7);
    let mut views: Vec<PartialView> =
        (0..count).map(|number| PartialView::new(peer(number, zones), 24, 6)).collect();
    for (number, view) in views.iter_mut().enumerate() {
        view.meet(peer((number + 1) % count, zones));
    }
    for round in 0..rounds {
        for number in (0..count).filter(|number| !gone(round, *number)).collect::<Vec<_>>() {
            let Some(swap) = views[number].begin(&mut draw) else { continue };
            let with: usize = swap.with.node[1..].parse().unwrap();
            if gone(round, with) {
                continue;
            }
            let received = views[with].answer(swap.offer.clone(), &mut draw);
            views[number].finish(swap, received);
        }
    }
    views
}

#[test]
fn partial_views_stay_bounded_and_find_the_whole_zone() {
    let views = rounds(200, 20, 60, &|_, _| false);
    for (number, view) in views.iter().enumerate() {
        assert!(view.peers().count() <= 24);
        let near = view.peers().filter(|known| known.zone == peer(number, 20).zone).count();
        assert!(near >= 8, "process {number} knows {near} of the 9 others of its zone");
    }
}

#[test]
fn whoever_is_gone_drops_out_of_all_views() {
    let views = rounds(60, 3, 100, &|round, number| round >= 20 && number < 10);
    let remembered = views[10..].iter().flat_map(PartialView::peers).filter(|known| {
        let number: usize = known.node[1..].parse().unwrap();
        number < 10
    });
    assert_eq!(remembered.count(), 0);
}
