//! What is compared.

/// How entries share the slots of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sharing {
    /// Equal fixed shares of the slots, rounded down.
    Static,
    /// Equal fixed shares, whose remainder goes to different entries at different servers.
    Exact,
    /// Each entry uses all slots, and the server refuses.
    Optimistic,
    /// Each server has a home entry on a bounded-load ring; others pass their requests to it.
    Home,
    /// Exact shares, beyond which each entry borrows what it learns to be free.
    Learned,
}

/// A policy of the entries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// Round robin, a fixed timeout and three retries.
    Baseline,
    /// The decisions of the core.
    Core {
        /// How the slots are shared.
        sharing: Sharing,
        /// Whether a second try is sent when the first one is slow.
        hedge: bool,
    },
}

impl Policy {
    /// Returns the policy that the process follows.
    #[must_use]
    pub const fn learned() -> Self {
        Self::sharing(Sharing::Learned)
    }

    /// Returns the core's decisions with one way of sharing slots.
    #[must_use]
    pub const fn sharing(sharing: Sharing) -> Self {
        Self::Core {
            sharing,
            hedge: false,
        }
    }

    /// Returns the policy of the process with hedging.
    #[must_use]
    pub const fn hedged() -> Self {
        Self::Core {
            sharing: Sharing::Learned,
            hedge: true,
        }
    }
}
