//! Deliberate faults, each of which a check must find.

/// A rule of the protocol that a model leaves out.
///
/// The fold has no switch for it: the model changes the record that it feeds to the fold, or the
/// step of the entry, in the way that a protocol without the rule would behave.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Fault {
    /// Records take effect whichever version they presume.
    NoVersionCheck,
    /// Claims of the duty take effect whichever term they presume.
    NoTermCheck,
    /// Each copy of a record counts as a record of its own.
    NoIdCheck,
    /// A drain ends at once, whoever still sends.
    NoBarrier,
    /// An entry dispatches whether or not it is permitted to.
    NoPermission,
    /// An eviction names members as witnesses that promised nothing.
    NoWitnesses,
    /// An evicted entry counts as one that stopped in order: no fence and no new boot.
    NoBootRule,
    /// An eviction needs witnesses among the newest members only.
    NoMemberSets,
    /// An entry takes over the agreed state of a peer that is behind its own.
    NoOrder,
}
