//! A question to all other links of a chain: whether the view still stands, and how far the head is.

use std::collections::BTreeSet;

use fennelgauge_coordination::StoreNumber;

use crate::{EntryPosition, Replica, Role};

/// One question, while answers come in.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Confirmation {
    role: Role,
    head: Option<StoreNumber>,
    awaited_links: BTreeSet<StoreNumber>,
    head_position: Option<EntryPosition>,
    rejected: bool,
}

/// What a question has come to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConfirmationStatus {
    /// Answers are missing, this store is not level in the view, or it does not have yet what the head had.
    Pending,
    /// This store has, on its disk, all that was committed when the question was asked, and nothing that a link before it lacks.
    Confirmed,
    /// The view no longer stands at some link.
    Rejected,
}

impl Confirmation {
    /// A question by a link in that role.
    pub fn new(role: &Role) -> Self {
        Self {
            role: role.clone(),
            head: role.predecessor.and_then(|_| role.others.first().copied()),
            awaited_links: role.others.iter().copied().collect(),
            head_position: None,
            rejected: false,
        }
    }

    /// A link's answer: how far it is in the view of the question, or none if it is in another.
    pub fn record_answer(&mut self, link: StoreNumber, position: Option<EntryPosition>) {
        let Some(position) = position else {
            self.rejected = true;
            return;
        };
        if Some(link) == self.head {
            self.head_position = Some(position);
        }
        self.awaited_links.remove(&link);
    }

    /// What the question has come to for the store that asked.
    pub fn status(&self, replica: &Replica) -> ConfirmationStatus {
        if self.rejected {
            return ConfirmationStatus::Rejected;
        }
        if !self.awaited_links.is_empty() || !replica.is_caught_up(&self.role) {
            return ConfirmationStatus::Pending;
        }
        let asked = match self.head {
            Some(_) => self.head_position.unwrap_or_default(),
            None => replica.position(),
        };
        match replica.is_durable(asked) {
            true => ConfirmationStatus::Confirmed,
            false => ConfirmationStatus::Pending,
        }
    }
}
