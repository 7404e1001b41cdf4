//! Failure detection by pings: when each member was last known to be alive, and which ping rounds a majority has answered.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use crate::{Identity, Member, Version};

/// Number of ping rounds whose answers are still counted.
const MAX_TRACKED_ROUNDS: usize = 16;

#[derive(Clone, Debug)]
struct PingRound {
    number: u64,
    sent_at: Duration,
    /// Voters that were in the present view, unsealed, when they answered.
    confirmed_by: BTreeSet<Identity>,
}

#[derive(Clone, Debug)]
struct LastContact {
    /// When the ping was sent that the member answered: it was certainly alive after that.
    at: Duration,
    version: Version,
}

/// Failure detector fed by the answers to pings. Times are on this machine's steady clock.
#[derive(Clone, Debug, Default)]
pub(crate) struct Liveness {
    contacts: BTreeMap<Identity, LastContact>,
    rounds: VecDeque<PingRound>,
    last_round: u64,
    confirmed_round: u64,
}

impl Liveness {
    /// Returns the newest round that a majority answered from within the present view.
    pub fn confirmed_round(&self) -> u64 {
        self.confirmed_round
    }

    /// Starts a new view: all voters count as alive now, and answers to earlier rounds are ignored.
    pub fn begin_view(&mut self, now: Duration, voters: &[Member]) {
        self.rounds.clear();
        for voter in voters {
            let contact = LastContact { at: now, version: Version::default() };
            self.contacts.entry(voter.identity.clone()).or_insert(contact).at = now;
        }
    }

    /// Starts a ping round and returns its number.
    pub fn begin_round(&mut self, now: Duration) -> u64 {
        self.last_round += 1;
        self.rounds.push_back(PingRound {
            number: self.last_round,
            sent_at: now,
            confirmed_by: BTreeSet::new(),
        });
        while self.rounds.len() > MAX_TRACKED_ROUNDS {
            self.rounds.pop_front();
        }
        self.last_round
    }

    /// Records that a machine answered a round, and so was alive when the round started. Returns false if the round is no
    /// longer tracked.
    pub fn record_answer(&mut self, from: &Member, number: u64, version: Version) -> bool {
        let Some(round) = self.rounds.iter().find(|round| round.number == number) else { return false };
        let contact = LastContact { at: round.sent_at, version };
        let known = self.contacts.entry(from.identity.clone()).or_insert(contact.clone());
        if known.at <= contact.at {
            *known = contact;
        }
        true
    }

    /// Records that a voter confirmed the view in a round. Returns when the round was sent once `majority` voters have.
    pub fn record_confirmation(&mut self, voter: &Member, number: u64, majority: usize) -> Option<Duration> {
        let round = self.rounds.iter_mut().find(|round| round.number == number)?;
        round.confirmed_by.insert(voter.identity.clone());
        if round.confirmed_by.len() < majority {
            return None;
        }
        self.confirmed_round = self.confirmed_round.max(number);
        Some(round.sent_at)
    }

    /// Returns when a machine was last known to be alive.
    pub fn last_alive_at(&self, identity: &Identity) -> Option<Duration> {
        self.contacts.get(identity).map(|contact| contact.at)
    }

    /// Returns the version that a machine had when it last answered.
    pub fn version_of(&self, identity: &Identity) -> Option<Version> {
        self.contacts.get(identity).map(|contact| contact.version)
    }
}
