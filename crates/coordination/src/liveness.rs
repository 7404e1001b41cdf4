//! Who answers, and which rounds of questions a majority has answered.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use crate::{Identity, Member, Version};

/// Rounds of pings whose answers are still counted.
const MAX_TRACKED_ROUNDS: usize = 16;

#[derive(Clone, Debug)]
struct PingRound {
    number: u64,
    sent_at: Duration,
    standing: BTreeSet<Identity>,
}

#[derive(Clone, Debug)]
struct LastContact {
    at: Duration,
    version: Version,
}

/// What the answers to pings tell.
#[derive(Clone, Debug, Default)]
pub(crate) struct Liveness {
    heard: BTreeMap<Identity, LastContact>,
    rounds: VecDeque<PingRound>,
    last_round: u64,
    confirmed_round: u64,
}

impl Liveness {
    /// The newest round that a majority has answered from the present view.
    pub fn confirmed_round(&self) -> u64 {
        self.confirmed_round
    }

    /// In a new view everybody counts as heard, and answers to earlier rounds do not count.
    pub fn begin_view(&mut self, now: Duration, voters: &[Member]) {
        self.rounds.clear();
        for voter in voters {
            let heard = LastContact { at: now, version: Version::default() };
            self.heard.entry(voter.identity.clone()).or_insert(heard).at = now;
        }
    }

    /// Begins a round of pings; gives its number.
    pub fn begin_round(&mut self, now: Duration) -> u64 {
        self.last_round += 1;
        self.rounds.push_back(PingRound { number: self.last_round, sent_at: now, standing: BTreeSet::new() });
        while self.rounds.len() > MAX_TRACKED_ROUNDS {
            self.rounds.pop_front();
        }
        self.last_round
    }

    /// A machine has answered a round: it was there when the round began. False where the round no longer counts.
    pub fn hear(&mut self, from: &Member, number: u64, version: Version) -> bool {
        let Some(round) = self.rounds.iter().find(|round| round.number == number) else { return false };
        let heard = LastContact { at: round.sent_at, version };
        let known = self.heard.entry(from.identity.clone()).or_insert(heard.clone());
        if known.at <= heard.at {
            *known = heard;
        }
        true
    }

    /// A voter stands by the view in a round; once `majority` do, when the round began.
    pub fn count_standing(&mut self, voter: &Member, number: u64, majority: usize) -> Option<Duration> {
        let round = self.rounds.iter_mut().find(|round| round.number == number)?;
        round.standing.insert(voter.identity.clone());
        if round.standing.len() < majority {
            return None;
        }
        self.confirmed_round = self.confirmed_round.max(number);
        Some(round.sent_at)
    }

    /// When a machine is known to have been there.
    pub fn heard_at(&self, identity: &Identity) -> Option<Duration> {
        self.heard.get(identity).map(|heard| heard.at)
    }

    /// What a machine had when it was heard.
    pub fn version_of(&self, identity: &Identity) -> Option<Version> {
        self.heard.get(identity).map(|heard| heard.version)
    }
}
