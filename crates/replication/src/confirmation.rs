//! A question to all other links of a chain: whether the view still stands, and how far the head is.

use std::collections::BTreeSet;

use fennelgauge_coordination::StoreNumber;

use crate::{EntryPosition, Replica, Role};

/// One question, while answers come in.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Confirmation {
    role: Role,
    head: Option<StoreNumber>,
    waiting_for: BTreeSet<StoreNumber>,
    head_position: Option<EntryPosition>,
    refused: bool,
}

/// What a question has come to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Answers are missing, this store is not level in the view, or it does not have yet what the head had.
    Waits,
    /// This store has, on its disk, all that was committed when the question was asked, and nothing that a link before it lacks.
    Certain,
    /// The view no longer stands at some link.
    Refused,
}

impl Confirmation {
    /// A question by a link in that role.
    pub fn new(role: &Role) -> Self {
        Self {
            role: role.clone(),
            head: role.predecessor.and_then(|_| role.others.first().copied()),
            waiting_for: role.others.iter().copied().collect(),
            head_position: None,
            refused: false,
        }
    }

    /// A link's answer: how far it is in the view of the question, or none if it is in another.
    pub fn hear(&mut self, link: StoreNumber, position: Option<EntryPosition>) {
        let Some(position) = position else {
            self.refused = true;
            return;
        };
        if Some(link) == self.head {
            self.head_position = Some(position);
        }
        self.waiting_for.remove(&link);
    }

    /// What the question has come to for the store that asked.
    pub fn outcome(&self, replica: &Replica) -> Outcome {
        if self.refused {
            return Outcome::Refused;
        }
        if !self.waiting_for.is_empty() || !replica.is_level(&self.role) {
            return Outcome::Waits;
        }
        let asked = match self.head {
            Some(_) => self.head_position.unwrap_or_default(),
            None => replica.position(),
        };
        match replica.has_on_disk(asked) {
            true => Outcome::Certain,
            false => Outcome::Waits,
        }
    }
}
