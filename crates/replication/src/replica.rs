//! One group as a store holds it: its entries in order, its state, how far it is on disk and along the chain, and the view
//! in which it is level.

use fennelgauge_batch::{Command, GroupState};
use fennelgauge_coordination::GroupNumber;
use fennelgauge_encoding::{decode, encode};

use crate::planted::ReplicaBug;
use crate::{Entry, EntryBatch, EntryLog, EntryPosition, GroupCopy, Role};

/// A group on one store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Replica {
    log: EntryLog,
    state: GroupState,
    /// Up to this place it is on this disk.
    synced: u64,
    /// Up to this place every link had it in some view.
    committed: u64,
    /// The newest view in which this store stood exactly where its predecessor stood; 0 where there is none in this life.
    level_in: u64,
    /// The newest place that a reader was shown here.
    shown: EntryPosition,
    planted: Option<ReplicaBug>,
}

/// What became of a batch from the predecessor.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Followed {
    /// New here: to be written to the disk.
    pub taken: Vec<Entry>,
    /// This store is level in the view and has the batch's end.
    pub is_level: bool,
}

/// What another store lacks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Missing {
    /// It takes these entries.
    Entries(EntryBatch),
    /// It has others, or lacks too many: it becomes a copy.
    Copy,
}

/// What became of a copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Installed {
    /// The group is that copy now, from memory on: to be written to the disk.
    Yes {
        /// A place that a reader was shown here and that the copy lacks: a fault.
        drops_shown: Option<EntryPosition>,
    },
    /// It cannot be read: run one version of the programs everywhere.
    Unreadable,
    /// This store is level, and the copy lacks something that is here: it was overtaken.
    Outdated,
    /// This store follows nobody in that view.
    NotALink,
}

impl Replica {
    /// Plants a mistake, to see that it is found.
    #[cfg(feature = "planted-bugs")]
    pub fn plant(&mut self, bug: ReplicaBug) {
        self.planted = Some(bug);
    }

    fn has(&self, bug: ReplicaBug) -> bool {
        self.planted == Some(bug)
    }

    /// The place of the newest entry.
    pub fn position(&self) -> EntryPosition {
        self.log.position()
    }

    /// The batch jobs of the group.
    pub fn state(&self) -> &GroupState {
        &self.state
    }

    /// Whether the entry of that place and epoch is here.
    pub fn contains(&self, position: EntryPosition) -> bool {
        self.log.contains(position)
    }

    /// Whether the entry of that place and epoch is here, on the disk.
    pub fn has_on_disk(&self, position: EntryPosition) -> bool {
        let on_disk = self.synced >= position.sequence || self.has(ReplicaBug::AnswersUnsynced);
        on_disk && self.contains(position)
    }

    /// Whether the entry of that place and epoch is here and was committed in some view.
    pub fn is_committed(&self, position: EntryPosition) -> bool {
        self.committed >= position.sequence && self.contains(position)
    }

    /// Whether entries are here that are not known to be committed.
    pub fn is_in_doubt(&self) -> bool {
        self.committed < self.position().sequence
    }

    /// The newest view in which an entry was made that is here: a store must not take part in an earlier one again.
    pub fn newest_epoch(&self) -> u64 {
        self.position().epoch
    }

    /// Whether nothing is known of what is committed, as after a restart.
    pub fn knows_nothing_committed(&self) -> bool {
        self.committed == 0 && self.position().sequence > 0
    }

    /// Whether this store, as a link in that role, has nothing that a link before it lacks: it stood exactly where its
    /// predecessor stood since the chain up to here is as it is, or is the head.
    pub fn is_level(&self, role: &Role) -> bool {
        self.was_level_since(role.level_since) || self.has(ReplicaBug::AnswersWithoutLevel)
    }

    /// Whether this store may pass entries on and bring its successor level.
    pub fn passes_on(&self, role: &Role) -> bool {
        self.is_level(role) || self.has(ReplicaBug::PassesOnUnlevel)
    }

    fn was_level_since(&self, epoch: u64) -> bool {
        self.level_in > 0 && (self.level_in >= epoch || self.has(ReplicaBug::LevelForEver))
    }

    /// Whether what is here is of the group as it was begun last.
    pub fn is_begun(&self, role: &Role) -> bool {
        self.state.recreated_in_epoch() >= role.begun_in || self.has(ReplicaBug::KeepsWhatWasGivenUp)
    }

    /// This store is the head in that role: it stands where the chain stands. Where the group was given up and still is here as it was,
    /// it is begun anew; then gives the copy to be written to the disk before anything else of the group.
    pub fn lead(&mut self, group: GroupNumber, role: &Role) -> Option<GroupCopy> {
        if !role.is_head() {
            return None;
        }
        if self.is_begun(role) {
            self.level_in = role.epoch;
            return None;
        }
        let mut given_up = self.state.known_job_ids();
        given_up.extend(role.given_up.iter().cloned());
        let begin = Command::Recreate { epoch: role.begun_in, given_up_jobs: given_up };
        *self = Self { planted: self.planted, ..Self::default() };
        self.create(group, role.epoch, begin);
        Some(self.copy())
    }

    /// Makes a new entry as the head, in the view of `epoch`.
    pub fn create(&mut self, group: GroupNumber, epoch: u64, command: Command) -> Entry {
        self.level_in = epoch;
        let position = EntryPosition { sequence: self.position().sequence + 1, epoch };
        let entry = Entry { group, position, command: encode(&command) };
        self.state.apply(command);
        self.log.push(entry.clone());
        entry
    }

    /// Takes an entry that follows on the newest one here, as from the own disk; false if it does not, or cannot be read.
    pub fn restore(&mut self, entry: &Entry) -> bool {
        if self.contains(entry.position) {
            return true;
        }
        entry.position.sequence == self.position().sequence + 1 && self.take(entry)
    }

    fn take(&mut self, entry: &Entry) -> bool {
        let Ok(command) = decode::<Command>(&entry.command) else { return false };
        self.state.apply(command);
        self.log.push(entry.clone());
        true
    }

    /// Takes a batch as a learner that asked in the view of `epoch`; gives what is new here, to be written to the disk.
    pub fn learn(&mut self, epoch: u64, batch: &EntryBatch) -> Vec<Entry> {
        match self.was_level_since(epoch) && !self.has(ReplicaBug::LearnsThoughLevel) {
            true => Vec::new(),
            false => self.take_batch(batch),
        }
    }

    /// Takes what this store lacks of a batch, from wherever it has the batch's beginning; nothing if it has other entries there.
    fn take_batch(&mut self, batch: &EntryBatch) -> Vec<Entry> {
        let mut taken = Vec::new();
        if !self.contains(batch.after) && !self.has(ReplicaBug::TakesAfterAnything) {
            return taken;
        }
        for entry in &batch.entries {
            if self.contains(entry.position) {
                continue;
            }
            if entry.position.sequence != self.position().sequence + 1 || !self.take(entry) {
                break;
            }
            taken.push(entry.clone());
        }
        taken
    }

    /// Takes a batch from the predecessor, which is level in the view of that role. Whoever then stands exactly at the batch's end
    /// is level; whoever has more is not, and stays so until a copy takes that away.
    pub fn follow(&mut self, role: &Role, batch: &EntryBatch) -> Followed {
        let taken = self.take_batch(batch);
        let has_more = self.has(ReplicaBug::LevelWithMore) && self.contains(batch.end);
        if self.position() == batch.end || has_more {
            self.level_in = role.epoch;
        }
        Followed { taken, is_level: self.is_level(role) && self.contains(batch.end) }
    }

    /// What a store at that place lacks.
    pub fn missing_at(&self, group: GroupNumber, theirs: EntryPosition) -> Missing {
        match self.log.after(theirs) {
            Some(entries) => {
                Missing::Entries(EntryBatch { group, after: theirs, entries, end: self.position() })
            }
            None => Missing::Copy,
        }
    }

    /// A batch of entries that were made here one after the other, without those that a copy has taken away since.
    pub fn batch_of(&self, group: GroupNumber, mut entries: Vec<Entry>) -> Option<EntryBatch> {
        entries.retain(|entry| self.contains(entry.position) || self.has(ReplicaBug::JournalsWhatIsGone));
        let (first, last) = (entries.first()?.position, entries.last()?.position);
        let after = self.log.place(first.sequence.checked_sub(1)?)?;
        Some(EntryBatch { group, after, entries, end: last })
    }

    /// The whole group.
    pub fn copy(&self) -> GroupCopy {
        GroupCopy {
            history: self.log.history().to_vec(),
            position: self.position(),
            state: encode(&self.state),
        }
    }

    /// Becomes a copy of another store's group. A copy that lacks something of what is here is taken only if this store was not
    /// level since the view of `level_since`: that of its role for a link, that of the question for a learner. One of a group as it was
    /// before it was given up is never taken.
    pub fn install(&mut self, level_since: u64, copy: &GroupCopy) -> Installed {
        let log = EntryLog::of_copy(copy.position, copy.history.clone());
        let extends = log.contains(self.position());
        let is_level = self.was_level_since(level_since) && !self.has(ReplicaBug::CopyReplacesLevel);
        if !extends && is_level {
            return Installed::Outdated;
        }
        let Ok(state) = decode::<GroupState>(&copy.state) else { return Installed::Unreadable };
        if state.recreated_in_epoch() < self.state.recreated_in_epoch() {
            return Installed::Outdated;
        }
        let was_given_up = state.recreated_in_epoch() > self.state.recreated_in_epoch();
        let drops_shown = (log.lacks(self.shown) && !was_given_up).then_some(self.shown);
        if !extends && !self.has(ReplicaBug::MarksOutliveCopy) {
            (self.synced, self.committed, self.level_in) = (0, 0, 0);
        }
        if drops_shown.is_some() || was_given_up {
            self.shown = EntryPosition::default();
        }
        (self.log, self.state) = (log, state);
        Installed::Yes { drops_shown }
    }

    /// Becomes what a copy on the own disk holds.
    pub fn restore_copy(&mut self, copy: &GroupCopy) -> bool {
        let Ok(state) = decode::<GroupState>(&copy.state) else { return false };
        let log = EntryLog::of_copy(copy.position, copy.history.clone());
        *self = Self { log, state, planted: self.planted, ..Self::default() };
        true
    }

    /// The entry at that place is on the disk, with all before it; of no effect if a copy has taken it away meanwhile.
    pub fn mark_synced(&mut self, position: EntryPosition) {
        if self.contains(position) || self.has(ReplicaBug::MarksOutliveCopy) {
            self.synced = self.synced.max(position.sequence);
        }
    }

    /// Every link after this one has the entry at that place, in the view of `role`: it is committed if enough links held the
    /// group in that view, whatever is known since. Of no effect if a copy has taken the entry away meanwhile.
    pub fn mark_reached(&mut self, role: &Role, position: EntryPosition) {
        let is_here = self.contains(position) || self.has(ReplicaBug::MarksOutliveCopy);
        if (role.is_open || self.has(ReplicaBug::CommitsWhileClosed)) && is_here {
            self.committed = self.committed.max(position.sequence);
        }
    }

    /// A reader is shown the group as it was at that place.
    pub fn mark_shown(&mut self, position: EntryPosition) {
        self.shown = self.shown.max(position);
    }
}
