//! One group as a store holds it: its entries in order, its state, how far it is on disk and along the chain, and the view
//! in which it is level.

use fennelgauge_batch::{Command, GroupState};
use fennelgauge_coordination::GroupNumber;
use fennelgauge_encoding::{decode, encode};

use crate::planted::ReplicaBug;
use crate::{Entry, EntryBatch, EntryLog, EntryPosition, GroupSnapshot, Role};

/// A group on one store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Replica {
    log: EntryLog,
    state: GroupState,
    /// Up to this place it is on this disk.
    durable_sequence: u64,
    /// Up to this place every link had it in some view.
    committed_sequence: u64,
    /// The newest view in which this store stood exactly where its predecessor stood; 0 where there is none in this life.
    caught_up_epoch: u64,
    /// The newest place that a reader was shown here.
    last_read: EntryPosition,
    planted: Option<ReplicaBug>,
}

/// What became of a batch from the predecessor.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AppendResult {
    /// New here: to be written to the disk.
    pub appended: Vec<Entry>,
    /// This store is level in the view and has the batch's end.
    pub is_caught_up: bool,
}

/// What another store lacks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CatchUp {
    /// It takes these entries.
    Entries(EntryBatch),
    /// It has others, or lacks too many: it becomes a copy.
    Snapshot,
}

/// What became of a copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InstallResult {
    /// The group is that copy now, from memory on: to be written to the disk.
    Installed {
        /// A place that a reader was shown here and that the copy lacks: a fault.
        lost_read: Option<EntryPosition>,
    },
    /// It cannot be read: run one version of the programs everywhere.
    Corrupt,
    /// This store is level, and the copy lacks something that is here: it was overtaken.
    Outdated,
    /// This store follows nobody in that view.
    NotInChain,
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
    pub fn is_durable(&self, position: EntryPosition) -> bool {
        let on_disk = self.durable_sequence >= position.sequence || self.has(ReplicaBug::AnswersUnsynced);
        on_disk && self.contains(position)
    }

    /// Whether the entry of that place and epoch is here and was committed in some view.
    pub fn is_committed(&self, position: EntryPosition) -> bool {
        self.committed_sequence >= position.sequence && self.contains(position)
    }

    /// Whether entries are here that are not known to be committed.
    pub fn has_uncommitted(&self) -> bool {
        self.committed_sequence < self.position().sequence
    }

    /// The newest view in which an entry was made that is here: a store must not take part in an earlier one again.
    pub fn newest_epoch(&self) -> u64 {
        self.position().epoch
    }

    /// Whether nothing is known of what is committed, as after a restart.
    pub fn commit_position_unknown(&self) -> bool {
        self.committed_sequence == 0 && self.position().sequence > 0
    }

    /// Whether this store, as a link in that role, has nothing that a link before it lacks: it stood exactly where its
    /// predecessor stood since the chain up to here is as it is, or is the head.
    pub fn is_caught_up(&self, role: &Role) -> bool {
        self.was_caught_up_since(role.caught_up_since) || self.has(ReplicaBug::AnswersWithoutLevel)
    }

    /// Whether this store may pass entries on and bring its successor level.
    pub fn may_forward(&self, role: &Role) -> bool {
        self.is_caught_up(role) || self.has(ReplicaBug::PassesOnUnlevel)
    }

    fn was_caught_up_since(&self, epoch: u64) -> bool {
        self.caught_up_epoch > 0 && (self.caught_up_epoch >= epoch || self.has(ReplicaBug::LevelForEver))
    }

    /// Whether what is here is of the group as it was begun last.
    pub fn reflects_recreation(&self, role: &Role) -> bool {
        self.state.recreated_in_epoch() >= role.recreated_in_epoch
            || self.has(ReplicaBug::KeepsWhatWasGivenUp)
    }

    /// This store is the head in that role: it stands where the chain stands. Where the group was given up and still is here as it was,
    /// it is begun anew; then gives the copy to be written to the disk before anything else of the group.
    pub fn become_head(&mut self, group: GroupNumber, role: &Role) -> Option<GroupSnapshot> {
        if !role.is_head() {
            return None;
        }
        if self.reflects_recreation(role) {
            self.caught_up_epoch = role.epoch;
            return None;
        }
        let mut given_up = self.state.known_job_ids();
        given_up.extend(role.given_up_jobs.iter().cloned());
        let begin = Command::Recreate { epoch: role.recreated_in_epoch, given_up_jobs: given_up };
        *self = Self { planted: self.planted, ..Self::default() };
        self.create_entry(group, role.epoch, begin);
        Some(self.snapshot())
    }

    /// Makes a new entry as the head, in the view of `epoch`.
    pub fn create_entry(&mut self, group: GroupNumber, epoch: u64, command: Command) -> Entry {
        self.caught_up_epoch = epoch;
        let position = EntryPosition { sequence: self.position().sequence + 1, epoch };
        let entry = Entry { group, position, command: encode(&command) };
        self.state.apply(command);
        self.log.push(entry.clone());
        entry
    }

    /// Takes an entry that follows on the newest one here, as from the own disk; false if it does not, or cannot be read.
    pub fn restore_entry(&mut self, entry: &Entry) -> bool {
        if self.contains(entry.position) {
            return true;
        }
        entry.position.sequence == self.position().sequence + 1 && self.apply_entry(entry)
    }

    fn apply_entry(&mut self, entry: &Entry) -> bool {
        let Ok(command) = decode::<Command>(&entry.command) else { return false };
        self.state.apply(command);
        self.log.push(entry.clone());
        true
    }

    /// Takes a batch as a learner that asked in the view of `epoch`; gives what is new here, to be written to the disk.
    pub fn append_as_learner(&mut self, epoch: u64, batch: &EntryBatch) -> Vec<Entry> {
        match self.was_caught_up_since(epoch) && !self.has(ReplicaBug::LearnsThoughLevel) {
            true => Vec::new(),
            false => self.append_batch(batch),
        }
    }

    /// Takes what this store lacks of a batch, from wherever it has the batch's beginning; nothing if it has other entries there.
    fn append_batch(&mut self, batch: &EntryBatch) -> Vec<Entry> {
        let mut taken = Vec::new();
        if !self.contains(batch.after) && !self.has(ReplicaBug::TakesAfterAnything) {
            return taken;
        }
        for entry in &batch.entries {
            if self.contains(entry.position) {
                continue;
            }
            if entry.position.sequence != self.position().sequence + 1 || !self.apply_entry(entry) {
                break;
            }
            taken.push(entry.clone());
        }
        taken
    }

    /// Takes a batch from the predecessor, which is level in the view of that role. Whoever then stands exactly at the batch's end
    /// is level; whoever has more is not, and stays so until a copy takes that away.
    pub fn append_from_predecessor(&mut self, role: &Role, batch: &EntryBatch) -> AppendResult {
        let taken = self.append_batch(batch);
        let has_more = self.has(ReplicaBug::LevelWithMore) && self.contains(batch.end);
        if self.position() == batch.end || has_more {
            self.caught_up_epoch = role.epoch;
        }
        AppendResult { appended: taken, is_caught_up: self.is_caught_up(role) && self.contains(batch.end) }
    }

    /// What a store at that place lacks.
    pub fn catch_up_from(&self, group: GroupNumber, theirs: EntryPosition) -> CatchUp {
        match self.log.after(theirs) {
            Some(entries) => {
                CatchUp::Entries(EntryBatch { group, after: theirs, entries, end: self.position() })
            }
            None => CatchUp::Snapshot,
        }
    }

    /// A batch of entries that were made here one after the other, without those that a copy has taken away since.
    pub fn batch_from(&self, group: GroupNumber, mut entries: Vec<Entry>) -> Option<EntryBatch> {
        entries.retain(|entry| self.contains(entry.position) || self.has(ReplicaBug::JournalsWhatIsGone));
        let (first, last) = (entries.first()?.position, entries.last()?.position);
        let after = self.log.position_of(first.sequence.checked_sub(1)?)?;
        Some(EntryBatch { group, after, entries, end: last })
    }

    /// The whole group.
    pub fn snapshot(&self) -> GroupSnapshot {
        GroupSnapshot {
            history: self.log.history().to_vec(),
            position: self.position(),
            state: encode(&self.state),
        }
    }

    /// Becomes a copy of another store's group. A copy that lacks something of what is here is taken only if this store was not
    /// level since the view of `level_since`: that of its role for a link, that of the question for a learner. One of a group as it was
    /// before it was given up is never taken.
    pub fn install_snapshot(&mut self, level_since: u64, copy: &GroupSnapshot) -> InstallResult {
        let log = EntryLog::from_snapshot(copy.position, copy.history.clone());
        let extends = log.contains(self.position());
        let is_level = self.was_caught_up_since(level_since) && !self.has(ReplicaBug::CopyReplacesLevel);
        if !extends && is_level {
            return InstallResult::Outdated;
        }
        let Ok(state) = decode::<GroupState>(&copy.state) else { return InstallResult::Corrupt };
        if state.recreated_in_epoch() < self.state.recreated_in_epoch() {
            return InstallResult::Outdated;
        }
        let was_given_up = state.recreated_in_epoch() > self.state.recreated_in_epoch();
        let drops_shown = (log.lacks(self.last_read) && !was_given_up).then_some(self.last_read);
        if !extends && !self.has(ReplicaBug::MarksOutliveCopy) {
            (self.durable_sequence, self.committed_sequence, self.caught_up_epoch) = (0, 0, 0);
        }
        if drops_shown.is_some() || was_given_up {
            self.last_read = EntryPosition::default();
        }
        (self.log, self.state) = (log, state);
        InstallResult::Installed { lost_read: drops_shown }
    }

    /// Becomes what a copy on the own disk holds.
    pub fn restore_snapshot(&mut self, copy: &GroupSnapshot) -> bool {
        let Ok(state) = decode::<GroupState>(&copy.state) else { return false };
        let log = EntryLog::from_snapshot(copy.position, copy.history.clone());
        *self = Self { log, state, planted: self.planted, ..Self::default() };
        true
    }

    /// The entry at that place is on the disk, with all before it; of no effect if a copy has taken it away meanwhile.
    pub fn mark_durable(&mut self, position: EntryPosition) {
        if self.contains(position) || self.has(ReplicaBug::MarksOutliveCopy) {
            self.durable_sequence = self.durable_sequence.max(position.sequence);
        }
    }

    /// Every link after this one has the entry at that place, in the view of `role`: it is committed if enough links held the
    /// group in that view, whatever is known since. Of no effect if a copy has taken the entry away meanwhile.
    pub fn mark_replicated(&mut self, role: &Role, position: EntryPosition) {
        let is_here = self.contains(position) || self.has(ReplicaBug::MarksOutliveCopy);
        if (role.is_open || self.has(ReplicaBug::CommitsWhileClosed)) && is_here {
            self.committed_sequence = self.committed_sequence.max(position.sequence);
        }
    }

    /// A reader is shown the group as it was at that place.
    pub fn mark_read(&mut self, position: EntryPosition) {
        self.last_read = self.last_read.max(position);
    }
}
