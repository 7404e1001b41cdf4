//! Bugs that can be enabled to verify that the checker detects them. Their names are printed.

use fennelgauge_coordination::PlantedBug;

/// A planted bug of the state machines, of a disk, or of the process that runs the state machines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SimulationBug {
    /// A bug of the state machines of `fennelgauge-coordination`.
    Core(PlantedBug),
    /// Messages are sent before the state that they depend on is written to the disk.
    SentBeforeWritten,
    /// After a restart the voting record from before the last write is read.
    OldRecordIsRead,
    /// After a restart the value and version from before the last write are read.
    OldValueIsRead,
    /// A machine whose disk was lost keeps its old identity.
    WipedKeepsIdentity,
    /// Reads are answered with the local value, without confirmation by a quorum.
    AnyLinkAnswersReads,
    /// A head rejects an order without a quorum check that it is still the head.
    RefusalWithoutContact,
    /// An order that was already applied is rejected with a conflict when it is sent again.
    OrdersAreForgotten,
    /// An order is acknowledged before it is committed.
    AcknowledgedEarly,
}

impl SimulationBug {
    /// Returns all planted bugs that the simulation of the core can enable.
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
            SeedsAreNotTold,
            FenceReadAtCall,
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
