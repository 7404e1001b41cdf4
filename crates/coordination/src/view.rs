//! Views of the chain. View e + 1 is a single decision among a majority of view e (one Paxos instance for each epoch).
//! A promise seals view e at its member: from then on the member takes no writes of e.

use serde::{Deserialize, Serialize};

use crate::{Identity, Member};

/// The chain's members, head first.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    pub epoch: u64,
    pub members: Vec<Member>,
}

impl View {
    /// The acceptors of the very first decision: the seeds, known by address only.
    pub fn of_seeds(peers: &[std::net::SocketAddr]) -> Self {
        let seed = |peer: &std::net::SocketAddr| Member {
            identity: Identity { node: String::new(), disk: 0 },
            peer: *peer,
            zone: String::new(),
            region: String::new(),
        };
        Self { epoch: 0, members: peers.iter().map(seed).collect() }
    }

    /// How many members decide.
    pub fn majority(&self) -> usize {
        self.members.len() / 2 + 1
    }

    pub fn head(&self) -> Option<&Member> {
        self.members.first()
    }

    pub fn tail(&self) -> Option<&Member> {
        self.members.last()
    }

    pub fn position(&self, identity: &Identity) -> Option<usize> {
        self.members.iter().position(|member| member.identity == *identity)
    }

    pub fn successor(&self, identity: &Identity) -> Option<&Member> {
        self.members.get(self.position(identity)? + 1)
    }
}

/// One version of the replicated state. Versions order by the epoch in which a member took them, then by sequence.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StateVersion {
    pub epoch: u64,
    pub sequence: u64,
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
}

impl StateVersion {
    pub fn order(&self) -> (u64, u64) {
        (self.epoch, self.sequence)
    }
}

/// The number of an attempt to decide; unique by its proposer.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Ballot {
    pub round: u64,
    pub proposer: Identity,
}

/// What is decided: the next view and the state it begins with.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Proposal {
    pub view: View,
    pub state: StateVersion,
}

/// A member's part in the decisions. All of it must be on disk before an answer that follows from a change is sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Acceptor {
    pub view: View,
    pub promised: Option<Ballot>,
    pub accepted: Option<(Ballot, Proposal)>,
}

/// A promise to take no earlier ballot and no more writes of the present view.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Promise {
    pub accepted: Option<(Ballot, Proposal)>,
    pub state: StateVersion,
    /// Who promises, where that may be a member of the next view.
    pub candidate: Option<Member>,
}

/// The answer to the first question of an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PrepareReply {
    Promised(Box<Promise>),
    /// A higher ballot was promised.
    Refused(Ballot),
    /// This member is in a later view already.
    Ahead(u64),
    /// This member has not installed the proposer's view.
    Behind(u64),
}

/// The answer to the second question.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AcceptReply {
    Accepted,
    Refused(Ballot),
    Ahead(u64),
    Behind(u64),
}

impl Acceptor {
    pub fn new(view: View) -> Self {
        Self { view, promised: None, accepted: None }
    }

    /// Whether the present view takes no more writes here.
    pub fn sealed(&self) -> bool {
        self.promised.is_some()
    }

    /// Asked to promise for the view after `epoch`.
    pub fn prepare(
        &mut self,
        epoch: u64,
        ballot: &Ballot,
        state: &StateVersion,
        candidate: Option<Member>,
    ) -> PrepareReply {
        match self.view.epoch.cmp(&epoch) {
            std::cmp::Ordering::Greater => return PrepareReply::Ahead(self.view.epoch),
            std::cmp::Ordering::Less => return PrepareReply::Behind(self.view.epoch),
            std::cmp::Ordering::Equal => {}
        }
        match &self.promised {
            Some(promised) if promised > ballot => PrepareReply::Refused(promised.clone()),
            _ => {
                self.promised = Some(ballot.clone());
                let accepted = self.accepted.clone();
                PrepareReply::Promised(Box::new(Promise { accepted, state: state.clone(), candidate }))
            }
        }
    }

    /// Asked to accept a proposal for the view after `epoch`.
    pub fn accept(&mut self, epoch: u64, ballot: &Ballot, proposal: &Proposal) -> AcceptReply {
        match self.view.epoch.cmp(&epoch) {
            std::cmp::Ordering::Greater => return AcceptReply::Ahead(self.view.epoch),
            std::cmp::Ordering::Less => return AcceptReply::Behind(self.view.epoch),
            std::cmp::Ordering::Equal => {}
        }
        match &self.promised {
            Some(promised) if promised > ballot => AcceptReply::Refused(promised.clone()),
            _ => {
                self.promised = Some(ballot.clone());
                self.accepted = Some((ballot.clone(), proposal.clone()));
                AcceptReply::Accepted
            }
        }
    }

    /// Takes up a decided view; earlier ones are left alone. Tells whether it was new.
    pub fn install(&mut self, view: &View) -> bool {
        if view.epoch <= self.view.epoch {
            return false;
        }
        *self = Self::new(view.clone());
        true
    }
}

/// How large a chain is.
#[derive(Clone, Copy, Debug)]
pub struct ViewRules {
    /// A chain of fewer takes no writes.
    pub fewest: usize,
    /// More stand by.
    pub most: usize,
}

impl ViewRules {
    /// For `losses` members lost at once.
    pub fn for_losses(losses: usize) -> Self {
        Self { fewest: losses + 1, most: (2 * losses + 1).max(3) }
    }
}

/// The members that the next view should have, if not those of the present one: who lives keeps the order, the lost
/// go, those standing by fill up at the end, first from zones that have no member.
pub fn next_view(
    view: &View,
    alive: impl Fn(&Member) -> bool,
    joiners: &[Member],
    rules: ViewRules,
) -> Option<View> {
    let replaced = |member: &Member| {
        joiners.iter().any(|joiner| {
            joiner.identity.node == member.identity.node && joiner.identity.disk != member.identity.disk
        })
    };
    let mut members: Vec<Member> =
        view.members.iter().filter(|member| alive(member) && !replaced(member)).cloned().collect();
    let mut joiners: Vec<&Member> =
        joiners.iter().filter(|joiner| view.position(&joiner.identity).is_none()).collect();
    joiners.sort_by(|left, right| left.identity.cmp(&right.identity));
    while members.len() < rules.most && !joiners.is_empty() {
        let in_zone = |zone: &str| members.iter().filter(|member| member.zone == zone).count();
        let best = (0..joiners.len()).min_by_key(|at| (in_zone(&joiners[*at].zone), *at)).unwrap_or(0);
        members.push(joiners.remove(best).clone());
    }
    let enough = members.len() >= rules.fewest;
    let changed = members != view.members;
    (enough && changed).then(|| View { epoch: view.epoch + 1, members })
}
