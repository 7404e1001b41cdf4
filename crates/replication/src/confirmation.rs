//! Confirmation by all other links of a chain that the view is still current, with the head's position.

use std::collections::BTreeSet;

use fennelgauge_coordination::StoreNumber;

use crate::{EntryPosition, Replica, Role};

/// A confirmation request to all other links, and the answers so far.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Confirmation {
    role: Role,
    /// The head, unless this store is the head itself.
    head: Option<StoreNumber>,
    /// Links that have not answered.
    awaited_links: BTreeSet<StoreNumber>,
    head_position: Option<EntryPosition>,
    rejected: bool,
}

/// The status of a confirmation request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConfirmationStatus {
    /// Answers are missing, this store is not caught up in the view, or the entries that the head had are not durable here.
    Pending,
    /// Everything that was committed when the request was made is durable here, and this store has nothing that a link before
    /// it lacks.
    Confirmed,
    /// Some link is in another view.
    Rejected,
}

impl Confirmation {
    /// Starts a confirmation request of a link in this role.
    pub fn new(role: &Role) -> Self {
        Self {
            role: role.clone(),
            head: role.predecessor.and_then(|_| role.others.first().copied()),
            awaited_links: role.others.iter().copied().collect(),
            head_position: None,
            rejected: false,
        }
    }

    /// Records a link's answer: its position in the view of the request, or none if it is in another view.
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

    /// Returns the status of the request, given the state of the store that made it.
    pub fn status(&self, replica: &Replica) -> ConfirmationStatus {
        if self.rejected {
            return ConfirmationStatus::Rejected;
        }
        if !self.awaited_links.is_empty() || !replica.is_caught_up(&self.role) {
            return ConfirmationStatus::Pending;
        }
        let required = match self.head {
            Some(_) => self.head_position.unwrap_or_default(),
            None => replica.position(),
        };
        match replica.is_durable(required) {
            true => ConfirmationStatus::Confirmed,
            false => ConfirmationStatus::Pending,
        }
    }
}
