//! Views: who votes on the next view, and the chain that takes the writes of this one.
//!
//! Voters are apart from the chain. The number of voters does not change with who is silent: 2 x losses + 1 of them. The chain is those
//! of them that take writes, never fewer than any majority of voters must meet one of. So a majority of voters always
//! includes a link of the chain, and every link has all that was acknowledged.

use serde::{Deserialize, Serialize};

use crate::{Identity, Member, Version};

/// A view: decided by a majority of the voters of the one before.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct View {
    pub epoch: u64,
    pub voters: Vec<Member>,
    /// Head first; all of them voters.
    pub chain: Vec<Member>,
    /// The version with which the view begins, as it was named in the view before.
    pub start: Version,
}

impl View {
    /// The voters on the very first view: the seeds, known by address only.
    pub fn from_seeds(peers: &[std::net::SocketAddr], start: Version) -> Self {
        let seed = |peer: &std::net::SocketAddr| Member {
            identity: Identity { node: String::new(), disk: 0 },
            peer: *peer,
            zone: String::new(),
            region: String::new(),
        };
        Self { epoch: 0, voters: peers.iter().map(seed).collect(), chain: Vec::new(), start }
    }

    /// How many voters decide.
    pub fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    pub fn head(&self) -> Option<&Member> {
        self.chain.first()
    }

    pub fn tail(&self) -> Option<&Member> {
        self.chain.last()
    }

    /// The place of a voter; before the first view voters are known by address only.
    pub fn voter_index(&self, member: &Member) -> Option<usize> {
        self.voters.iter().position(|voter| match self.epoch {
            0 => voter.peer == member.peer,
            _ => voter.identity == member.identity,
        })
    }

    /// The place of a link of the chain.
    pub fn chain_index(&self, identity: &Identity) -> Option<usize> {
        self.chain.iter().position(|link| link.identity == *identity)
    }

    pub fn successor(&self, identity: &Identity) -> Option<&Member> {
        self.chain.get(self.chain_index(identity)? + 1)
    }

    /// Voters in the order in which they take over: the chain's links first.
    pub fn takeover_order(&self) -> impl Iterator<Item = &Member> {
        let others = self.voters.iter().filter(|voter| self.chain_index(&voter.identity).is_none());
        self.chain.iter().chain(others)
    }
}

/// How large views are.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ViewRules {
    /// Losses of disks at once that must be outlived.
    pub tolerated_failures: usize,
}

impl ViewRules {
    pub fn tolerating(losses: usize) -> Self {
        Self { tolerated_failures: losses }
    }

    /// Voters that a view should have.
    pub fn voter_count(&self) -> usize {
        (2 * self.tolerated_failures + 1).max(3)
    }

    /// Links without which a chain takes no writes: more than may be lost, and enough to meet every majority of the voters.
    pub fn min_chain_length(&self, voters: usize) -> usize {
        (self.tolerated_failures + 1).max(voters - voters / 2)
    }
}

/// What is known of the machines when the next view is worked out.
pub struct ClusterStatus<'a> {
    /// Answered lately.
    pub is_alive: &'a dyn Fn(&Member) -> bool,
    /// Has been silent for so long that another may take its place.
    pub is_lost: &'a dyn Fn(&Member) -> bool,
    /// Has all but the newest changes.
    pub is_caught_up: &'a dyn Fn(&Member) -> bool,
    /// Machines that are no voters, alive and level.
    pub joiners: &'a [Member],
}

/// The view that should follow, if not the present one. At most one voter changes: one whose disk was lost or that is lost gives its
/// place to a machine that is level. The chain is the voters that are alive and level, in their present order, new ones at the end.
pub fn next_view(view: &View, judged: &ClusterStatus, rules: ViewRules) -> Option<View> {
    let voters = next_voters(view, judged, rules);
    let chain = next_chain(view, &voters, judged, rules);
    let changed = voters != view.voters || chain != view.chain;
    let enough = chain.len() >= rules.min_chain_length(voters.len());
    (changed && enough).then(|| View { epoch: view.epoch + 1, voters, chain, start: Version::default() })
}

fn next_voters(view: &View, judged: &ClusterStatus, rules: ViewRules) -> Vec<Member> {
    let mut voters = view.voters.clone();
    let joiners = |voters: &[Member]| -> Vec<Member> {
        let mut joiners: Vec<Member> =
            judged.joiners.iter().filter(|joiner| !voters.contains(joiner)).cloned().collect();
        let in_zone = |zone: &str| voters.iter().filter(|voter| voter.zone == zone).count();
        joiners.sort_by_key(|joiner| (in_zone(&joiner.zone), joiner.identity.clone()));
        joiners
    };
    let free = joiners(&voters);
    let disk_lost = voters.iter().enumerate().find_map(|(seat, voter)| {
        let another = |joiner: &&Member| {
            joiner.identity.node == voter.identity.node && joiner.identity.disk != voter.identity.disk
        };
        Some((seat, free.iter().find(another)?.clone()))
    });
    if let Some((seat, joiner)) = disk_lost {
        voters[seat] = joiner;
        return voters;
    }
    let Some(joiner) = free.first() else { return voters };
    if voters.len() < rules.voter_count() {
        voters.push(joiner.clone());
    } else if let Some(seat) = voters.iter().position(|voter| (judged.is_lost)(voter)) {
        voters[seat] = joiner.clone();
    }
    voters
}

fn next_chain(view: &View, voters: &[Member], judged: &ClusterStatus, rules: ViewRules) -> Vec<Member> {
    let fewest = rules.min_chain_length(voters.len());
    let stays = |link: &&Member| voters.contains(link) && (judged.is_alive)(link);
    let mut chain: Vec<Member> = view.chain.iter().filter(stays).cloned().collect();
    let alive = |voter: &&Member| (judged.is_alive)(voter) || judged.joiners.contains(voter);
    let mut others: Vec<&Member> =
        voters.iter().filter(|voter| !view.chain.contains(voter)).filter(alive).collect();
    others.sort_by_key(|voter| !((judged.is_caught_up)(voter) || judged.joiners.contains(voter)));
    for voter in others {
        let level = (judged.is_caught_up)(voter) || judged.joiners.contains(voter);
        // One that is not level holds writes up until it is; it is taken only where there would be too few links.
        if level || chain.len() < fewest {
            chain.push(voter.clone());
        }
    }
    chain
}
