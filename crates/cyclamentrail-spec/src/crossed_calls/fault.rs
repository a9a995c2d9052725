//! Rules about crossed calls that the model can omit.

/// Rule that the model omits; the check has to find a violation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrossedFault {
    /// Crossed calls are counted for one tick after the restart is seen; all incarnations share the
    /// owner's token, and a run in doubt ends with the lease.
    CallsCountedForOneTick,
    /// All incarnations share the owner's token.
    NoOwnToken,
    /// The tokens of a later owner aren't higher than those of an earlier one.
    TokensOverlap,
    /// A task is placed on an incarnation that hasn't responded to a call with its token.
    PlacedBeforeContact,
    /// A response to a call to a former incarnation counts as an acknowledgement, too.
    AnyResponseAcknowledges,
    /// The lease counts as granted, without the longest lease from the first contact.
    FirstContactIgnored,
    /// The longest lease counts from the first contact only if the owner saw the restart, not if it found
    /// the incarnation registered when it claimed the shard.
    FoundRegisteredNotCounted,
    /// A run in doubt ends with the longest lease from when the restart is seen.
    DoubtEndsWithTime,
    /// A run in doubt is recorded as placed on the new incarnation.
    DoubtRecordedAsNew,
    /// A successor counts what owners grant, not the longest lease that the worker accepts.
    SuccessorCountsGrants,
    /// A successor doesn't count the time for which an earlier owner may act.
    OwnerMayActIgnored,
    /// A start without an outcome is forgotten once a new incarnation has listed the run.
    LateStartForgotten,
    /// The next run is started on an incarnation of its worker that hasn't responded to a call with its token.
    NextRunBeforeContact,
    /// A successor doesn't know that a start of a run that was given up may be carried out.
    OpenStartNotRecorded,
    /// A start counts as answered although another incarnation than the one it was sent to responded.
    CrossedOutcomeCounts,
}
