//! Request policies that are compared.

/// How entries share the slots of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sharing {
    /// Each entry has the same fixed number of slots at a server; the remainder stays unused.
    Static,
    /// Each entry has a fixed share; the remainder goes to different entries at different servers.
    Exact,
    /// Each entry may use all slots, and a full server refuses.
    Optimistic,
    /// Each server is used only by its home entry on a bounded-load hash ring; an entry without a
    /// free slot forwards requests to the entry that last reported the most free slots.
    Home,
    /// Each entry is guaranteed its exact share and borrows further slots that it learns to be
    /// free.
    Learned,
}

/// How entries route, queue and retry requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// Round-robin routing with a fixed timeout and three retries.
    Baseline,
    /// Routing, admission and retries of the core.
    Core {
        /// How entries share the slots of a server.
        sharing: Sharing,
        /// Whether a second attempt is sent when the first one is slow.
        hedge: bool,
    },
}

impl Policy {
    /// Returns the policy that the entry process uses: learned sharing without hedging.
    #[must_use]
    pub const fn learned() -> Self {
        Self::sharing(Sharing::Learned)
    }

    /// Returns the core's policy with a given way of sharing slots, without hedging.
    #[must_use]
    pub const fn sharing(sharing: Sharing) -> Self {
        Self::Core {
            sharing,
            hedge: false,
        }
    }

    /// Returns the policy with learned sharing and hedging.
    #[must_use]
    pub const fn hedged() -> Self {
        Self::Core {
            sharing: Sharing::Learned,
            hedge: true,
        }
    }
}
