//! Name under which a process is a member of the consumer group.

use std::fmt::{Display, Formatter, Result};

use cyclamentrail_jobs::OwnerCapacity;

/// Separates the capacity from the name of the machine.
const SEPARATOR: char = '@';

/// Name of a member, which tells the other processes its capacity as well: the group's list of
/// members is then all that they need to know of each other.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct MemberName {
    pub(crate) capacity: OwnerCapacity,
    pub(crate) machine: String,
}

impl MemberName {
    /// Parses a name as the group lists it; `None` if it has another form, as an earlier version
    /// of the system wrote it.
    pub(crate) fn parse(text: &str) -> Option<Self> {
        let (capacity, machine) = text.split_once(SEPARATOR)?;
        Some(Self {
            capacity: OwnerCapacity::new(capacity.parse().ok()?),
            machine: machine.to_owned(),
        })
    }
}

impl Display for MemberName {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        write!(
            f,
            "{}{SEPARATOR}{}",
            self.capacity.tasks_per_s(),
            self.machine
        )
    }
}
