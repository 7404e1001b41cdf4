//! Bugs that the simulation plants to check that its checker detects them. Each is a fault of an earlier version of the code,
//! or one that is easy to make.

use strum::EnumIter;

/// A bug in the replica of a group on one store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EnumIter)]
pub enum ReplicaBug {
    /// A tail answers reads although it is not caught up, and may have entries that its predecessor lacks.
    AnswersWithoutLevel,
    /// An entry is appended if its sequence number follows, whatever the entry before it is.
    TakesAfterAnything,
    /// A link forwards entries and repairs its successor before it is caught up itself.
    PassesOnUnlevel,
    /// The durable and committed positions are not reset when a snapshot replaces the log.
    MarksOutliveCopy,
    /// Entries made here are written to the journal although a snapshot has replaced them.
    JournalsWhatIsGone,
    /// A snapshot replaces the entries of a link that is caught up in that view or a later one.
    CopyReplacesLevel,
    /// A tail answers with entries that are not durable on its disk yet.
    AnswersUnsynced,
    /// A link counts as caught up if it has the batch's last entry, even if it has further entries.
    LevelWithMore,
    /// Entries that reached all links count as committed although the group is closed.
    CommitsWhileClosed,
    /// A replica that was caught up in some view counts as caught up in all later ones.
    LevelForEver,
    /// A batch that was requested as a learner is appended although the store is caught up.
    LearnsThoughLevel,
    /// A group that was given up keeps its former content.
    KeepsWhatWasGivenUp,
}
