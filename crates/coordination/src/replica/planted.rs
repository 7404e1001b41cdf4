//! Bugs that the simulation plants, one at a time, to check that it detects them. They cannot be enabled in a program.

/// A bug in the state machines of the core.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum PlantedBug {
    /// An uncommitted value is published.
    UncommittedIsPublished,
    /// The voting record is not written to the disk.
    PromiseIsNotWritten,
    /// A voter accepts a proposal although it has promised a higher ballot.
    PromiseIsIgnored,
    /// A link takes writes of a view that it has sealed.
    SealedTakesWrites,
    /// A proposer ignores proposals accepted earlier, which may have been decided.
    AcceptedIsForgotten,
    /// A view starts with the proposer's own version instead of the newest one of a majority.
    OwnVersionStarts,
    /// A view is proposed before its start version is durable on its links.
    NothingIsHeld,
    /// The chain may be too short to intersect every majority of the voters.
    ChainMayBeShort,
    /// The majority is computed from the proposed chain instead of all voters.
    MajorityOfTheLiving,
    /// A machine that lost its disk votes under its former identity, because only the name is compared.
    NameVotes,
    /// The head counts a write as committed as soon as it has made it.
    HeadCommitsAlone,
    /// A member treats whatever version it has as the start version of a new view.
    AnyVersionStarts,
    /// A read is answered without a quorum check.
    ReadWithoutContact,
    /// One voter is enough to confirm a view.
    MinorityConfirms,
    /// The head decides about a write from an uncommitted state.
    RefusalInDoubt,
    /// A learner is sent uncommitted versions.
    FollowerGetsUncommitted,
    /// Every machine counts as caught up, even an empty one.
    EmptyIsLevel,
    /// A machine with a view does not tell the seeds of it.
    SeedsAreNotTold,
    /// A call to the platform bears the fence of the view at the time of the call, whoever its head is.
    FenceReadAtCall,
    /// The tail announces a write as committed without writing it to its disk.
    TailCommitsUnwritten,
}
