//! Mistakes that are switched on to see that the judge finds them: each is what an earlier text did, or would be easy to do.

use strum::EnumIter;

/// A mistake of one store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EnumIter)]
pub enum ReplicaBug {
    /// A tail that has more than its predecessor answers.
    AnswersWithoutLevel,
    /// An entry is taken if its number follows, whatever stands before it.
    TakesAfterAnything,
    /// A link passes entries on and brings others level before it is level itself.
    PassesOnUnlevel,
    /// The marks of what is on the disk and committed are not reset by a copy.
    MarksOutliveCopy,
    /// What was made here is journalled though a copy has replaced it.
    JournalsWhatIsGone,
    /// A copy replaces what a link has, though it is level in that view or a later one.
    CopyReplacesLevel,
    /// A tail answers with what is not on its disk yet.
    AnswersUnsynced,
    /// A link is level if it has the batch's end, though it has more.
    LevelWithMore,
    /// What reached all links counts as committed though the group is closed.
    CommitsWhileClosed,
    /// Who was level once is level for ever.
    LevelForEver,
    /// A learner's batch is taken though the store is level.
    LearnsThoughLevel,
    /// A group that was given up goes on with what it held.
    KeepsWhatWasGivenUp,
}
