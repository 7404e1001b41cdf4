//! Views: who votes next, which chain takes writes; a voter's promises.

use std::net::SocketAddr;

use fennelgauge_coordination::{
    next_view, Acceptor, Ballot, ClusterStatus, Identity, Member, Version, View, ViewRules,
};

fn member(node: &str, disk: u64) -> Member {
    let port = 1_000 + node.bytes().map(u16::from).sum::<u16>();
    Member {
        identity: Identity { node: node.to_owned(), disk },
        peer: SocketAddr::from(([10, 0, 0, 1], port)),
        zone: node[..1].to_owned(),
        region: "r".to_owned(),
    }
}

/// Names; `a2` is machine `a` with another disk.
fn members(names: &str) -> Vec<Member> {
    let one = |name: &str| match name.strip_suffix('2') {
        Some(node) => member(node, 2),
        None => member(name, 1),
    };
    names.split_whitespace().map(one).collect()
}

fn names(members: &[Member]) -> String {
    let one = |member: &Member| match member.identity.disk {
        2 => format!("{}2", member.identity.node),
        _ => member.identity.node.clone(),
    };
    members.iter().map(one).collect::<Vec<_>>().join(" ")
}

struct Case {
    what: &'static str,
    voters: &'static str,
    chain: &'static str,
    /// Not heard for a while.
    down: &'static str,
    /// Not heard for so long that they are replaced.
    lost: &'static str,
    /// Lack changes.
    behind: &'static str,
    joiners: &'static str,
    next: Option<(&'static str, &'static str)>,
}

const QUIET: Case = Case {
    what: "nothing to do",
    voters: "a b c",
    chain: "a b c",
    down: "",
    lost: "",
    behind: "",
    joiners: "",
    next: None,
};

#[test]
fn the_number_of_voters_stays_and_the_chain_follows_the_living() {
    let cases = [
        QUIET,
        Case { what: "one is down: it still votes", down: "a", next: Some(("a b c", "b c")), ..QUIET },
        Case { what: "two are down: no shorter chain", down: "a b", ..QUIET },
        Case { what: "one is back and level", chain: "b c", next: Some(("a b c", "b c a")), ..QUIET },
        Case { what: "one is back and behind", chain: "b c", behind: "a", ..QUIET },
        Case {
            what: "one is behind, and without it there are too few",
            chain: "b c",
            down: "b",
            behind: "a",
            next: Some(("a b c", "c a")),
            ..QUIET
        },
        Case {
            what: "down, not lost: nobody takes its place",
            chain: "b c",
            down: "a",
            joiners: "d",
            ..QUIET
        },
        Case {
            what: "lost: a level machine takes its place",
            chain: "b c",
            down: "a",
            lost: "a",
            joiners: "d",
            next: Some(("d b c", "b c d")),
            ..QUIET
        },
        Case { what: "lost, and nobody is there", chain: "b c", down: "a", lost: "a", ..QUIET },
        Case {
            what: "its disk was lost: at once",
            chain: "b c",
            down: "a",
            joiners: "a2",
            next: Some(("a2 b c", "b c a2")),
            ..QUIET
        },
        Case {
            what: "two disks were lost: one after the other",
            voters: "a b c d e",
            chain: "c d e",
            down: "a b",
            lost: "a b",
            joiners: "a2 b2",
            next: Some(("a2 b c d e", "c d e a2")),
            ..QUIET
        },
        Case { what: "all seats are taken", joiners: "d", ..QUIET },
        Case {
            what: "a seat is free",
            voters: "a b",
            chain: "a b",
            joiners: "d",
            next: Some(("a b d", "a b d")),
            ..QUIET
        },
    ];
    for case in cases {
        let view = View {
            epoch: 4,
            voters: members(case.voters),
            chain: members(case.chain),
            start: Version::default(),
        };
        let (down, lost, behind) = (members(case.down), members(case.lost), members(case.behind));
        let joiners = members(case.joiners);
        let judged = ClusterStatus {
            is_alive: &|member| !down.contains(member),
            is_lost: &|member| lost.contains(member),
            is_caught_up: &|member| !behind.contains(member),
            joiners: &joiners,
        };
        let losses = view.voters.len().max(3) / 2;
        let next = next_view(&view, &judged, ViewRules::tolerating(losses));
        let next = next.map(|view| (names(&view.voters), names(&view.chain)));
        let expected = case.next.map(|(voters, chain)| (voters.to_owned(), chain.to_owned()));
        assert_eq!(next, expected, "{}", case.what);
    }
}

#[test]
fn every_chain_meets_every_majority() {
    for losses in 0..4 {
        let rules = ViewRules::tolerating(losses);
        for voters in 1..=rules.voter_count() {
            let links = rules.min_chain_length(voters);
            let majority = voters / 2 + 1;
            assert!(links + majority > voters, "{voters} voters, {links} links");
            assert!(links > losses, "a chain of {links} does not outlive {losses} losses");
        }
    }
}

#[test]
fn a_voter_holds_to_its_promise() {
    let ballot = |round, node: &str| Ballot { round, proposer: member(node, 1).identity };
    let view =
        |epoch| View { epoch, voters: members("a b c"), chain: members("a b"), start: Version::default() };
    let mut acceptor = Acceptor::new(view(4));
    assert!(!acceptor.is_sealed());
    assert_eq!(acceptor.prepare(&ballot(2, "b")), Ok(()));
    assert!(acceptor.is_sealed());
    assert_eq!(acceptor.prepare(&ballot(1, "c")), Err(ballot(2, "b")));
    assert_eq!(acceptor.accept(&ballot(1, "c"), &view(5)), Err(ballot(2, "b")));
    assert_eq!(acceptor.accept(&ballot(2, "b"), &view(5)), Ok(()));
    assert_eq!(acceptor.prepare(&ballot(3, "c")), Ok(()));
    assert_eq!(acceptor.accepted, Some((ballot(2, "b"), view(5))), "what was accepted is not forgotten");
    assert_eq!(acceptor.accept(&ballot(2, "b"), &view(5)), Err(ballot(3, "c")));
}

#[test]
fn seeds_need_two_of_three_for_a_first_view() {
    let peers: Vec<SocketAddr> = (1..=3).map(|last| SocketAddr::from(([10, 0, 0, last], 7360))).collect();
    assert_eq!(View::from_seeds(&peers, Version::default()).majority(), 2);
    assert_eq!(View::from_seeds(&peers[..1], Version::default()).majority(), 1);
}
