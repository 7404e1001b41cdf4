//! Views: the voters and the chain of the next view, and the promises of a voter.

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

/// Returns the members with these names; `a2` is machine `a` with a new disk.
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
    name: &'static str,
    voters: &'static str,
    chain: &'static str,
    /// Suspected to be down.
    down: &'static str,
    /// Unresponsive for so long that they may be replaced.
    lost: &'static str,
    /// Not caught up.
    behind: &'static str,
    joiners: &'static str,
    /// Voters and chain of the next view, if there is one.
    next: Option<(&'static str, &'static str)>,
}

/// A healthy view of three voters.
const HEALTHY: Case = Case {
    name: "all voters are alive",
    voters: "a b c",
    chain: "a b c",
    down: "",
    lost: "",
    behind: "",
    joiners: "",
    next: None,
};

#[test]
fn the_number_of_voters_is_kept_and_the_chain_excludes_failed_machines() {
    let cases = [
        HEALTHY,
        Case {
            name: "one is down: it leaves the chain and stays a voter",
            down: "a",
            next: Some(("a b c", "b c")),
            ..HEALTHY
        },
        Case { name: "two are down: the chain cannot get shorter", down: "a b", ..HEALTHY },
        Case { name: "one is back and caught up", chain: "b c", next: Some(("a b c", "b c a")), ..HEALTHY },
        Case { name: "one is back and not caught up", chain: "b c", behind: "a", ..HEALTHY },
        Case {
            name: "one is not caught up, but the chain would be too short without it",
            chain: "b c",
            down: "b",
            behind: "a",
            next: Some(("a b c", "c a")),
            ..HEALTHY
        },
        Case {
            name: "down, but not lost: it is not replaced",
            chain: "b c",
            down: "a",
            joiners: "d",
            ..HEALTHY
        },
        Case {
            name: "lost: a caught-up machine replaces it",
            chain: "b c",
            down: "a",
            lost: "a",
            joiners: "d",
            next: Some(("d b c", "b c d")),
            ..HEALTHY
        },
        Case { name: "lost, but no machine can replace it", chain: "b c", down: "a", lost: "a", ..HEALTHY },
        Case {
            name: "its disk was lost: it is replaced at once",
            chain: "b c",
            down: "a",
            joiners: "a2",
            next: Some(("a2 b c", "b c a2")),
            ..HEALTHY
        },
        Case {
            name: "two disks were lost: one is replaced after the other",
            voters: "a b c d e",
            chain: "c d e",
            down: "a b",
            lost: "a b",
            joiners: "a2 b2",
            next: Some(("a2 b c d e", "c d e a2")),
            ..HEALTHY
        },
        Case { name: "no place is free", joiners: "d", ..HEALTHY },
        Case {
            name: "a place is free",
            voters: "a b",
            chain: "a b",
            joiners: "d",
            next: Some(("a b d", "a b d")),
            ..HEALTHY
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
        let status = ClusterStatus {
            is_alive: &|member| !down.contains(member),
            is_lost: &|member| lost.contains(member),
            is_caught_up: &|member| !behind.contains(member),
            joiners: &joiners,
        };
        let losses = view.voters.len().max(3) / 2;
        let next = next_view(&view, &status, ViewRules::tolerating(losses));
        let next = next.map(|view| (names(&view.voters), names(&view.chain)));
        let expected = case.next.map(|(voters, chain)| (voters.to_owned(), chain.to_owned()));
        assert_eq!(next, expected, "{}", case.name);
    }
}

#[test]
fn every_chain_intersects_every_majority() {
    for losses in 0..4 {
        let rules = ViewRules::tolerating(losses);
        for voters in 1..=rules.voter_count() {
            let links = rules.min_chain_length(voters);
            let majority = voters / 2 + 1;
            assert!(links + majority > voters, "{voters} voters, {links} links");
            assert!(links > losses, "a chain of {links} does not survive {losses} losses");
        }
    }
}

#[test]
fn a_voter_keeps_its_promise() {
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
    assert_eq!(acceptor.accepted, Some((ballot(2, "b"), view(5))), "the accepted proposal is kept");
    assert_eq!(acceptor.accept(&ballot(2, "b"), &view(5)), Err(ballot(3, "c")));
}

#[test]
fn the_first_view_needs_a_majority_of_the_seeds() {
    let peers: Vec<SocketAddr> = (1..=3).map(|last| SocketAddr::from(([10, 0, 0, last], 7360))).collect();
    assert_eq!(View::from_seeds(&peers, Version::default()).majority(), 2);
    assert_eq!(View::from_seeds(&peers[..1], Version::default()).majority(), 1);
}
