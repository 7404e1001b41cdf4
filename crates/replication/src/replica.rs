//! The replica of one group on a store: its log, its state, how far the log is durable and committed, and the newest view in
//! which the replica was caught up.

use fennelgauge_batch::{Command, GroupState};
use fennelgauge_coordination::GroupNumber;
use fennelgauge_encoding::{decode, encode};

use crate::planted::ReplicaBug;
use crate::{Entry, EntryBatch, EntryLog, EntryPosition, GroupSnapshot, Role};

/// The replica of a group on one store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Replica {
    log: EntryLog,
    state: GroupState,
    /// Sequence number up to which the log is durable on this disk.
    durable_sequence: u64,
    /// Sequence number up to which every link had the log in some view in which the group was open.
    committed_sequence: u64,
    /// Epoch of the newest view in which this replica's log ended exactly where its predecessor's did; 0 if there is none since
    /// the process started.
    caught_up_epoch: u64,
    /// Newest position that a reader has been shown here.
    last_read: EntryPosition,
    planted: Option<ReplicaBug>,
}

/// The result of appending a batch from the predecessor.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AppendResult {
    /// The entries that are new here and must be written to the disk.
    pub appended: Vec<Entry>,
    /// Whether this store is caught up in the view and has the batch's last entry.
    pub is_caught_up: bool,
}

/// What another store needs in order to catch up with this one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CatchUp {
    /// It appends these entries.
    Entries(EntryBatch),
    /// It has other entries, or lacks more than are kept here: it must install a snapshot.
    Snapshot,
}

/// The result of installing a snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InstallResult {
    /// The replica has the snapshot's content now, in memory; the snapshot must be written to the disk.
    Installed {
        /// A position that a reader was shown here and that the snapshot lacks, which indicates a fault of the program.
        lost_read: Option<EntryPosition>,
    },
    /// The snapshot cannot be decoded: run the same version of all programs.
    Corrupt,
    /// The snapshot is older than this replica: it lacks entries of a caught-up replica, or predates the group's recreation.
    Outdated,
    /// This store has no predecessor in that view.
    NotInChain,
}

impl Replica {
    /// Enables a planted bug, to check that the tests detect it.
    #[cfg(feature = "planted-bugs")]
    pub fn plant(&mut self, bug: ReplicaBug) {
        self.planted = Some(bug);
    }

    fn has(&self, bug: ReplicaBug) -> bool {
        self.planted == Some(bug)
    }

    /// Returns the position of the newest entry.
    pub fn position(&self) -> EntryPosition {
        self.log.position()
    }

    /// Returns the state of the group: its batch jobs.
    pub fn state(&self) -> &GroupState {
        &self.state
    }

    /// Whether the entry at this position is here.
    pub fn contains(&self, position: EntryPosition) -> bool {
        self.log.contains(position)
    }

    /// Whether the entry at this position is here and durable.
    pub fn is_durable(&self, position: EntryPosition) -> bool {
        let is_durable = self.durable_sequence >= position.sequence || self.has(ReplicaBug::AnswersUnsynced);
        is_durable && self.contains(position)
    }

    /// Whether the entry at this position is here and was committed in some view.
    pub fn is_committed(&self, position: EntryPosition) -> bool {
        self.committed_sequence >= position.sequence && self.contains(position)
    }

    /// Whether there are entries that are not known to be committed.
    pub fn has_uncommitted(&self) -> bool {
        self.committed_sequence < self.position().sequence
    }

    /// Returns the epoch of the newest entry; a store must not take part in an earlier view again.
    pub fn newest_epoch(&self) -> u64 {
        self.position().epoch
    }

    /// Whether there are entries but none is known to be committed, as after a restart.
    pub fn commit_position_unknown(&self) -> bool {
        self.committed_sequence == 0 && self.position().sequence > 0
    }

    /// Whether this store, as a link in this role, has nothing that a link before it lacks: it is the head, or its log ended
    /// exactly where its predecessor's did at some time since the chain up to here last changed.
    pub fn is_caught_up(&self, role: &Role) -> bool {
        self.was_caught_up_since(role.caught_up_since) || self.has(ReplicaBug::AnswersWithoutLevel)
    }

    /// Whether this store may forward entries and repair its successor.
    pub fn may_forward(&self, role: &Role) -> bool {
        self.is_caught_up(role) || self.has(ReplicaBug::PassesOnUnlevel)
    }

    fn was_caught_up_since(&self, epoch: u64) -> bool {
        self.caught_up_epoch > 0 && (self.caught_up_epoch >= epoch || self.has(ReplicaBug::LevelForEver))
    }

    /// Whether the state here includes the group's last recreation.
    pub fn reflects_recreation(&self, role: &Role) -> bool {
        self.state.recreated_in_epoch() >= role.recreated_in_epoch
            || self.has(ReplicaBug::KeepsWhatWasGivenUp)
    }

    /// Takes over as the head, if this is the head's role: the head is caught up by definition. If the group was given up and the
    /// state here predates that, recreates the group empty, and returns the snapshot that must be written to the disk before
    /// anything else of the group.
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
        let recreate = Command::Recreate { epoch: role.recreated_in_epoch, given_up_jobs: given_up };
        *self = Self { planted: self.planted, ..Self::default() };
        self.create_entry(group, role.epoch, recreate);
        Some(self.snapshot())
    }

    /// Makes and applies a new entry as the head, in the view of `epoch`.
    pub fn create_entry(&mut self, group: GroupNumber, epoch: u64, command: Command) -> Entry {
        self.caught_up_epoch = epoch;
        let position = EntryPosition { sequence: self.position().sequence + 1, epoch };
        let entry = Entry { group, position, command: encode(&command) };
        self.state.apply(command);
        self.log.push(entry.clone());
        entry
    }

    /// Restores an entry from the disk. Returns false if it does not follow the newest entry here or cannot be decoded.
    pub fn restore_entry(&mut self, entry: &Entry) -> bool {
        if self.contains(entry.position) {
            return true;
        }
        entry.position.sequence == self.position().sequence + 1 && self.apply_entry(entry)
    }

    /// Applies an entry and appends it to the log; false if its command cannot be decoded.
    fn apply_entry(&mut self, entry: &Entry) -> bool {
        let Ok(command) = decode::<Command>(&entry.command) else { return false };
        self.state.apply(command);
        self.log.push(entry.clone());
        true
    }

    /// Appends a batch that this store requested as a learner in the view of `epoch`, unless it has been caught up since that view.
    /// Returns the entries that are new here and must be written to the disk.
    pub fn append_as_learner(&mut self, epoch: u64, batch: &EntryBatch) -> Vec<Entry> {
        match self.was_caught_up_since(epoch) && !self.has(ReplicaBug::LearnsThoughLevel) {
            true => Vec::new(),
            false => self.append_batch(batch),
        }
    }

    /// Appends the entries of a batch that are missing here. Appends nothing if the entry before the batch is not here.
    fn append_batch(&mut self, batch: &EntryBatch) -> Vec<Entry> {
        let mut appended = Vec::new();
        if !self.contains(batch.after) && !self.has(ReplicaBug::TakesAfterAnything) {
            return appended;
        }
        for entry in &batch.entries {
            if self.contains(entry.position) {
                continue;
            }
            if entry.position.sequence != self.position().sequence + 1 || !self.apply_entry(entry) {
                break;
            }
            appended.push(entry.clone());
        }
        appended
    }

    /// Appends a batch from the predecessor, which is caught up in the view of this role. The replica is caught up if its log then
    /// ends exactly at the batch's end. If it has further entries, it is not, until a snapshot replaces them.
    pub fn append_from_predecessor(&mut self, role: &Role, batch: &EntryBatch) -> AppendResult {
        let appended = self.append_batch(batch);
        let ignores_further = self.has(ReplicaBug::LevelWithMore) && self.contains(batch.end);
        if self.position() == batch.end || ignores_further {
            self.caught_up_epoch = role.epoch;
        }
        AppendResult { appended, is_caught_up: self.is_caught_up(role) && self.contains(batch.end) }
    }

    /// Returns what a store at `other_position` needs in order to catch up.
    pub fn catch_up_from(&self, group: GroupNumber, other_position: EntryPosition) -> CatchUp {
        match self.log.after(other_position) {
            Some(entries) => {
                CatchUp::Entries(EntryBatch { group, after: other_position, entries, end: self.position() })
            }
            None => CatchUp::Snapshot,
        }
    }

    /// Returns a batch of consecutive entries that were made here, without those that a snapshot has since replaced; none if no
    /// entry is left.
    pub fn batch_from(&self, group: GroupNumber, mut entries: Vec<Entry>) -> Option<EntryBatch> {
        entries.retain(|entry| self.contains(entry.position) || self.has(ReplicaBug::JournalsWhatIsGone));
        let (first, last) = (entries.first()?.position, entries.last()?.position);
        let after = self.log.position_of(first.sequence.checked_sub(1)?)?;
        Some(EntryBatch { group, after, entries, end: last })
    }

    /// Returns a snapshot of the group.
    pub fn snapshot(&self) -> GroupSnapshot {
        GroupSnapshot {
            history: self.log.history().to_vec(),
            position: self.position(),
            state: encode(&self.state),
        }
    }

    /// Installs a snapshot that this store requested as a learner in the view of `epoch`, unless it has been caught up since that
    /// view: as a link it has no more than its predecessor.
    pub fn install_snapshot_as_learner(&mut self, epoch: u64, snapshot: &GroupSnapshot) -> InstallResult {
        match self.was_caught_up_since(epoch) && !self.has(ReplicaBug::LearnsThoughLevel) {
            true => InstallResult::Outdated,
            false => self.install_snapshot(epoch, snapshot),
        }
    }

    /// Installs a snapshot of another store. A snapshot that lacks entries that are here is installed only if this replica has not
    /// been caught up since the view of `caught_up_since`: that of its role for a link, that of the request for a learner. A
    /// snapshot from before the group was given up is never installed.
    pub fn install_snapshot(&mut self, caught_up_since: u64, snapshot: &GroupSnapshot) -> InstallResult {
        let log = EntryLog::from_snapshot(snapshot.position, snapshot.history.clone());
        let extends_log = log.contains(self.position());
        let is_caught_up =
            self.was_caught_up_since(caught_up_since) && !self.has(ReplicaBug::CopyReplacesLevel);
        if !extends_log && is_caught_up {
            return InstallResult::Outdated;
        }
        let Ok(state) = decode::<GroupState>(&snapshot.state) else { return InstallResult::Corrupt };
        if state.recreated_in_epoch() < self.state.recreated_in_epoch() {
            return InstallResult::Outdated;
        }
        let was_recreated = state.recreated_in_epoch() > self.state.recreated_in_epoch();
        let lost_read = (log.lacks(self.last_read) && !was_recreated).then_some(self.last_read);
        if !extends_log && !self.has(ReplicaBug::MarksOutliveCopy) {
            (self.durable_sequence, self.committed_sequence, self.caught_up_epoch) = (0, 0, 0);
        }
        if lost_read.is_some() || was_recreated {
            self.last_read = EntryPosition::default();
        }
        (self.log, self.state) = (log, state);
        InstallResult::Installed { lost_read }
    }

    /// Restores a snapshot from the disk. Returns false if it cannot be decoded.
    pub fn restore_snapshot(&mut self, snapshot: &GroupSnapshot) -> bool {
        let Ok(state) = decode::<GroupState>(&snapshot.state) else { return false };
        let log = EntryLog::from_snapshot(snapshot.position, snapshot.history.clone());
        *self = Self { log, state, planted: self.planted, ..Self::default() };
        true
    }

    /// Records that the entry at this position and all before it are durable on this disk. Has no effect if a snapshot has
    /// replaced the entry meanwhile.
    pub fn mark_durable(&mut self, position: EntryPosition) {
        if self.contains(position) || self.has(ReplicaBug::MarksOutliveCopy) {
            self.durable_sequence = self.durable_sequence.max(position.sequence);
        }
    }

    /// Records that every link after this one has the entry at this position, in the view of `role`. The entry is committed if the
    /// group was open in that view, whatever has become known since. Has no effect if a snapshot has replaced the entry
    /// meanwhile.
    pub fn mark_replicated(&mut self, role: &Role, position: EntryPosition) {
        let is_here = self.contains(position) || self.has(ReplicaBug::MarksOutliveCopy);
        if (role.is_open || self.has(ReplicaBug::CommitsWhileClosed)) && is_here {
            self.committed_sequence = self.committed_sequence.max(position.sequence);
        }
    }

    /// Records that a reader is shown the group as of this position.
    pub fn mark_read(&mut self, position: EntryPosition) {
        self.last_read = self.last_read.max(position);
    }
}
