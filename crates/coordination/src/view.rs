//! Views: the voters that decide the next view, and the chain that replicates the writes of the present one.
//!
//! Voters and chain are separate. The number of voters, 2 x tolerated failures + 1, does not shrink when machines fail. The
//! chain is the subset of the voters that takes writes, and is always long enough to intersect every majority of the voters.
//! Every link of the chain has all acknowledged writes, so every majority of the voters includes a machine that has them.

use serde::{Deserialize, Serialize};

use crate::{Identity, Member, Version};

/// A configuration of voters and chain, decided by a majority of the voters of the previous view.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct View {
    /// Number of the view, one above that of its predecessor.
    pub epoch: u64,
    /// Members that decide the next view.
    pub voters: Vec<Member>,
    /// Members that replicate writes, head first; all of them are voters.
    pub chain: Vec<Member>,
    /// Version with which the view starts, under its name in the previous view.
    pub start: Version,
}

impl View {
    /// Returns view 0, whose voters are the seeds, known by address only; they decide the first real view.
    pub fn from_seeds(peers: &[std::net::SocketAddr], start: Version) -> Self {
        let seed = |peer: &std::net::SocketAddr| Member {
            identity: Identity { node: String::new(), disk: 0 },
            peer: *peer,
            zone: String::new(),
            region: String::new(),
        };
        Self { epoch: 0, voters: peers.iter().map(seed).collect(), chain: Vec::new(), start }
    }

    /// Returns the number of voters that form a majority.
    pub fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Returns the first link, which makes the writes.
    pub fn head(&self) -> Option<&Member> {
        self.chain.first()
    }

    /// Returns the last link, which commits writes and answers reads.
    pub fn tail(&self) -> Option<&Member> {
        self.chain.last()
    }

    /// Returns the index of a member among the voters; in view 0 voters are matched by address only.
    pub fn voter_index(&self, member: &Member) -> Option<usize> {
        self.voters.iter().position(|voter| match self.epoch {
            0 => voter.peer == member.peer,
            _ => voter.identity == member.identity,
        })
    }

    /// Returns the index of an identity in the chain.
    pub fn chain_index(&self, identity: &Identity) -> Option<usize> {
        self.chain.iter().position(|link| link.identity == *identity)
    }

    /// Returns the link after this one; none for the tail and for a machine outside the chain.
    pub fn successor(&self, identity: &Identity) -> Option<&Member> {
        self.chain.get(self.chain_index(identity)? + 1)
    }

    /// Returns the voters in the order in which they may propose the next view: links first, in chain order.
    pub fn takeover_order(&self) -> impl Iterator<Item = &Member> {
        let others = self.voters.iter().filter(|voter| self.chain_index(&voter.identity).is_none());
        self.chain.iter().chain(others)
    }
}

/// Sizes of the voter set and the chain.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ViewRules {
    /// Number of simultaneous losses of disks that data must survive.
    pub tolerated_failures: usize,
}

impl ViewRules {
    /// Returns the rules for surviving this number of simultaneous losses of disks.
    pub fn tolerating(tolerated_failures: usize) -> Self {
        Self { tolerated_failures }
    }

    /// Returns the number of voters that a view should have.
    pub fn voter_count(&self) -> usize {
        (2 * self.tolerated_failures + 1).max(3)
    }

    /// Returns the minimum length at which a chain takes writes: more than the tolerated failures, and enough to intersect
    /// every majority of the voters.
    pub fn min_chain_length(&self, voters: usize) -> usize {
        (self.tolerated_failures + 1).max(voters - voters / 2)
    }
}

/// Verdicts of failure detection and catch-up state, from which the next view is computed.
pub struct ClusterStatus<'a> {
    /// Whether the member answered recently.
    pub is_alive: &'a dyn Fn(&Member) -> bool,
    /// Whether the member has been unresponsive for so long that it may be replaced as a voter.
    pub is_lost: &'a dyn Fn(&Member) -> bool,
    /// Whether the member lacks at most a few of the newest changes.
    pub is_caught_up: &'a dyn Fn(&Member) -> bool,
    /// Machines that are not voters, but are alive, eligible and caught up.
    pub joiners: &'a [Member],
}

/// Returns the view that should follow, or none if the present one should stay. At most one voter changes: a voter that lost
/// its disk, or is lost itself, is replaced by a caught-up machine. The chain consists of the voters that are alive and
/// caught up: present links in their order, then new ones.
pub fn next_view(view: &View, status: &ClusterStatus, rules: ViewRules) -> Option<View> {
    let voters = next_voters(view, status, rules);
    let chain = next_chain(view, &voters, status, rules);
    let changed = voters != view.voters || chain != view.chain;
    let enough = chain.len() >= rules.min_chain_length(voters.len());
    (changed && enough).then(|| View { epoch: view.epoch + 1, voters, chain, start: Version::default() })
}

/// Returns the voters of the next view. A machine with a new disk replaces its former identity first; otherwise the first
/// joiner fills a free place or replaces a lost voter. Joiners from zones with fewer voters are preferred.
fn next_voters(view: &View, status: &ClusterStatus, rules: ViewRules) -> Vec<Member> {
    let mut voters = view.voters.clone();
    let joiners = |voters: &[Member]| -> Vec<Member> {
        let mut joiners: Vec<Member> =
            status.joiners.iter().filter(|joiner| !voters.contains(joiner)).cloned().collect();
        let in_zone = |zone: &str| voters.iter().filter(|voter| voter.zone == zone).count();
        joiners.sort_by_key(|joiner| (in_zone(&joiner.zone), joiner.identity.clone()));
        joiners
    };
    let candidates = joiners(&voters);
    let disk_lost = voters.iter().enumerate().find_map(|(index, voter)| {
        let has_new_disk = |joiner: &&Member| {
            joiner.identity.node == voter.identity.node && joiner.identity.disk != voter.identity.disk
        };
        Some((index, candidates.iter().find(has_new_disk)?.clone()))
    });
    if let Some((index, joiner)) = disk_lost {
        voters[index] = joiner;
        return voters;
    }
    let Some(joiner) = candidates.first() else { return voters };
    if voters.len() < rules.voter_count() {
        voters.push(joiner.clone());
    } else if let Some(index) = voters.iter().position(|voter| (status.is_lost)(voter)) {
        voters[index] = joiner.clone();
    }
    voters
}

/// Returns the chain of the next view.
fn next_chain(view: &View, voters: &[Member], status: &ClusterStatus, rules: ViewRules) -> Vec<Member> {
    let min_length = rules.min_chain_length(voters.len());
    let stays = |link: &&Member| voters.contains(link) && (status.is_alive)(link);
    let mut chain: Vec<Member> = view.chain.iter().filter(stays).cloned().collect();
    let alive = |voter: &&Member| (status.is_alive)(voter) || status.joiners.contains(voter);
    let mut others: Vec<&Member> =
        voters.iter().filter(|voter| !view.chain.contains(voter)).filter(alive).collect();
    others.sort_by_key(|voter| !((status.is_caught_up)(voter) || status.joiners.contains(voter)));
    for voter in others {
        let caught_up = (status.is_caught_up)(voter) || status.joiners.contains(voter);
        // A link that is not caught up blocks writes until it is, so it is added only where the chain would be too short.
        if caught_up || chain.len() < min_length {
            chain.push(voter.clone());
        }
    }
    chain
}
