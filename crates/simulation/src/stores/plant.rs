//! Mistakes that are switched on to see that the judge finds them.

use fennelgauge_coordination::PlannerBug;
use fennelgauge_replication::ReplicaBug;
use strum::IntoEnumIterator;

/// A mistake: of one group on one store, of the placement, or of the process around them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum StorePlant {
    Replica(ReplicaBug),
    Planner(PlannerBug),
    /// After a restart a store takes part in a view that is earlier than what it has.
    GoesBack,
    /// Reads are answered while too few links hold the group.
    AnswersWhileClosed,
    /// Changes are taken while too few links hold the group.
    ChangesWhileClosed,
    /// A tail answers without asking the other links.
    AnswersWithoutAsking,
    /// Entries go on before they are on the disk.
    PassesOnUnsynced,
    /// The head counts an entry as committed when it is on its own disk.
    CommitsAlone,
    /// Any link answers reads.
    AnyLinkAnswers,
    /// What a wiped store was is not forgotten: it comes back under the same identity.
    WipedKeepsIdentity,
    /// Whether an entry is committed is judged by the view in which the answer comes.
    OpenByLaterView,
    /// Entries of an earlier view are taken.
    OldViewsAreServed,
    /// Batch jobs that were given up are answered as if there had never been any.
    GivenUpIsUnknown,
    /// A store that does not hear the core goes on without end.
    NoLease,
    /// A route that a store's configuration lacks counts as ended, however old the configuration is.
    UnknownRouteIsEnded,
    /// A configuration as new as the batch job gives items up, though the core has not confirmed it.
    UnconfirmedGivesUp,
    /// A source that is not in touch with the core any more goes on to confirm its configuration.
    StaleIsConfirmed,
    /// Items are given up by the limits with which their job was accepted, though the route allows more now.
    OnlyLimitsOfAcceptance,
    /// Confirmations of the configuration are lost.
    ConfirmationIsForgotten,
    /// The retention of items never ends.
    RetentionIsEndless,
    /// Failures at servers are not counted.
    FailuresAreForgotten,
    /// Items of a route that has ended run on.
    EndedRouteRunsOn,
    /// Failures at servers are counted by each run anew.
    FailuresEndWithTheRun,
    /// Items are sent without a permit, so that attempts with an unknown outcome are not counted.
    PermitsAreNotTaken,
    /// Items are sent before their permit is committed.
    PermitsAreNotCommitted,
    /// After a lost answer an item is sent again under the same permit.
    LostAnswersKeepThePermit,
    /// Attempts with an unknown outcome count as failures.
    UnknownOutcomesAreFailures,
    /// A batch job is refused by the last reply, though an earlier call for it may have been executed, or may yet.
    RefusesByTheLastReply,
    /// An item rests without end if the outcome of too many attempts is unknown.
    RestsWithoutEnd,
}

impl StorePlant {
    /// Whether the mistake shows only while an operator changes the batch routes.
    pub fn needs_changing_routes(self) -> bool {
        matches!(
            self,
            Self::UnknownRouteIsEnded
                | Self::UnconfirmedGivesUp
                | Self::StaleIsConfirmed
                | Self::OnlyLimitsOfAcceptance
                | Self::ConfirmationIsForgotten
                | Self::RetentionIsEndless
                | Self::FailuresAreForgotten
                | Self::EndedRouteRunsOn
        )
    }

    /// Whether the mistake shows only on days with items that fail.
    pub fn needs_failing_items(self) -> bool {
        matches!(
            self,
            Self::FailuresEndWithTheRun
                | Self::PermitsAreNotTaken
                | Self::PermitsAreNotCommitted
                | Self::LostAnswersKeepThePermit
                | Self::UnknownOutcomesAreFailures
                | Self::RestsWithoutEnd
        )
    }

    /// Whether the mistake shows only on days with late calls.
    pub fn needs_late_calls(self) -> bool {
        self == Self::RefusesByTheLastReply
    }

    pub fn all() -> Vec<Self> {
        let replica = ReplicaBug::iter().map(Self::Replica);
        let planner = PlannerBug::iter().map(Self::Planner);
        let around = [
            Self::GoesBack,
            Self::AnswersWhileClosed,
            Self::ChangesWhileClosed,
            Self::AnswersWithoutAsking,
            Self::PassesOnUnsynced,
            Self::CommitsAlone,
            Self::AnyLinkAnswers,
            Self::WipedKeepsIdentity,
            Self::OpenByLaterView,
            Self::OldViewsAreServed,
            Self::GivenUpIsUnknown,
            Self::NoLease,
            Self::UnknownRouteIsEnded,
            Self::UnconfirmedGivesUp,
            Self::StaleIsConfirmed,
            Self::OnlyLimitsOfAcceptance,
            Self::ConfirmationIsForgotten,
            Self::RetentionIsEndless,
            Self::FailuresAreForgotten,
            Self::EndedRouteRunsOn,
            Self::FailuresEndWithTheRun,
            Self::PermitsAreNotTaken,
            Self::PermitsAreNotCommitted,
            Self::LostAnswersKeepThePermit,
            Self::UnknownOutcomesAreFailures,
            Self::RestsWithoutEnd,
            Self::RefusesByTheLastReply,
        ];
        replica.chain(planner).chain(around).collect()
    }
}
