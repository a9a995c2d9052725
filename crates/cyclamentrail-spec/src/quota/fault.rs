//! Rules of the quota that the model can omit.

/// Rule that the model omits; the check has to find a violation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuotaFault {
    /// The ledger reserves what a shard reported, without what it was granted since.
    GrantNotReserved,
    /// The ledger reserves what it granted last, although the reply may not have arrived.
    ReportNotReserved,
    /// The ledger doesn't reserve usage above the allowance.
    UsageNotReserved,
    /// A new ledger lends before every shard has reported to it.
    LendsBeforeReports,
    /// A new ledger takes reports of owners that were replaced before it began.
    EpochsNotRead,
    /// The ledger takes a report although it has a later one of the same owner.
    OvertakenReportTaken,
    /// The ledger takes a report of an owner although it has one of its successor.
    ReplacedOwnerTaken,
    /// The ledger ignores the successor of an owner that it has a report of.
    SuccessorIgnored,
    /// An owner accepts the reply of a ledger with a lower token than one that it reported to.
    LowerTokenAccepted,
    /// A new owner accepts replies of a ledger that was replaced before it began.
    TokenNotRead,
    /// An owner accepts the reply to a call that has timed out.
    LateReplyAccepted,
    /// The store takes placements of an owner that was replaced.
    PlacementsNotFenced,
    /// A start is sent before its placement is stored.
    StartedBeforeStored,
    /// A run counts no longer once its stop is sent.
    StoppingNotCounted,
    /// A run whose start wasn't answered counts no longer, although the start may take effect late.
    LateStartFreed,
    /// A task larger than the whole cap starts in a shard that doesn't hold every loan.
    OversizeWithoutLoans,
}
