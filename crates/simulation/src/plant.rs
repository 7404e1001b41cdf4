//! Mistakes that are switched on to see that the judge finds them.

use fennelgauge_coordination::PlantedBug;

/// A mistake: of the state machines, of a disk, or of the process around them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Plant {
    Core(PlantedBug),
    /// Messages leave before what they rest on is on the disk.
    SentBeforeWritten,
    /// After a restart the record before the newest is read.
    OldRecordIsRead,
    /// After a restart the value before the newest is read.
    OldValueIsRead,
    /// A machine whose disk was lost goes on under its old identity.
    WipedKeepsIdentity,
    /// Any link of the chain answers reads with what it has.
    AnyLinkAnswersReads,
    /// A head refuses without asking a majority whether it still is the head.
    RefusalWithoutContact,
    /// An order that was sent again is not known.
    OrdersAreForgotten,
    /// An order is acknowledged once it is on its way.
    AcknowledgedEarly,
}

impl Plant {
    pub fn all() -> Vec<Self> {
        use PlantedBug::*;
        let core = [
            UncommittedIsPublished,
            PromiseIsNotWritten,
            PromiseIsIgnored,
            SealedTakesWrites,
            AcceptedIsForgotten,
            OwnVersionStarts,
            NothingIsHeld,
            ChainMayBeShort,
            MajorityOfTheLiving,
            NameVotes,
            HeadCommitsAlone,
            AnyVersionStarts,
            ReadWithoutContact,
            MinorityConfirms,
            RefusalInDoubt,
            FollowerGetsUncommitted,
            EmptyIsLevel,
            TailCommitsUnwritten,
        ];
        let mut all: Vec<Self> = core.into_iter().map(Self::Core).collect();
        all.extend([
            Self::SentBeforeWritten,
            Self::OldRecordIsRead,
            Self::OldValueIsRead,
            Self::WipedKeepsIdentity,
            Self::AnyLinkAnswersReads,
            Self::RefusalWithoutContact,
            Self::OrdersAreForgotten,
            Self::AcknowledgedEarly,
        ]);
        all
    }
}
