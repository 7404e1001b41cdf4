//! Mistakes that the simulator switches on, one at a time, to see that it finds them. No program can.

/// A mistake in the core's state machines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum PlantedBug {
    /// What is not committed is handed out.
    UncommittedIsPublished,
    /// The record of promises is not written.
    PromiseIsNotWritten,
    /// An accept goes through in spite of a higher promise.
    PromiseIsIgnored,
    /// A sealed link goes on taking writes.
    SealedTakesWrites,
    /// A proposer does not take up what may have been decided.
    AcceptedIsForgotten,
    /// A view begins with the proposer's own version.
    OwnVersionStarts,
    /// A view is proposed before its links hold the version it begins with.
    NothingIsHeld,
    /// The chain may be shorter than is needed to meet every majority.
    ChainMayBeShort,
    /// Those who are silent do not count for a majority.
    MajorityOfTheLiving,
    /// A machine with the same name votes for one whose disk was lost.
    NameVotes,
    /// The head counts a write as committed when it is on its own disk.
    HeadCommitsAlone,
    /// A member takes whatever it has for the version the view begins with.
    AnyVersionStarts,
    /// A read is answered without asking a majority.
    ReadWithoutContact,
    /// A view counts as confirmed as soon as one voter stands by it.
    MinorityConfirms,
    /// A refusal is given from a state that is not committed.
    RefusalInDoubt,
    /// A follower is given what is not committed.
    FollowerGetsUncommitted,
    /// A machine that has nothing counts as level.
    EmptyIsLevel,
    /// The tail commits a write before it is on its disk.
    TailCommitsUnwritten,
}
