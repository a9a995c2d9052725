//! Rules of the protocol that a model can omit, in order to show that the check detects it.

/// Rule of the protocol that a model omits; the check of the model has to find a violation.
///
/// The fold of the log has no switch for these rules. Instead, the model changes the record that is
/// folded, or the step of the entry, so that the result is that of a protocol without the rule.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Fault {
    /// A record takes effect whatever version it presumes.
    NoVersionCheck,
    /// A claim of the fleet duty takes effect whatever term it presumes.
    NoTermCheck,
    /// A copy of a record takes effect as if it were a new record.
    NoIdCheck,
    /// A drain ends at once, although entries may still send requests to the instance.
    NoBarrier,
    /// An entry dispatches without a valid permit or membership.
    NoPermitCheck,
    /// An eviction names a witness that may still confirm the evicted entry.
    NoWitnessPromise,
    /// An evicted entry is treated as one that stopped in order: no fence and no new boot of the
    /// instance is waited for.
    NoBootFence,
    /// An eviction needs witnesses from the newest member set only, and not from each set that the
    /// evicted entry may still hold.
    NewestMembersOnly,
    /// An entry adopts the agreed state of a peer although that state is older than its own.
    NoStateOrder,
}
