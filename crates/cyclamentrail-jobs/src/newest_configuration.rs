//! Which record of the configuration is in force, and whether it is the newest one.
//!
//! Answers configurations that can't be decoded or that keep their version: each of them may have
//! revoked keys.

/// What a process does with a record of the configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConfigurationStep {
    /// Puts the configuration in force.
    Apply,
    /// Keeps the configuration in force, which is that of the record.
    Keep,
    /// Keeps the configuration in force, because that of the record has a lower version.
    KeepNewer,
    /// Keeps the configuration in force without relying on it, because the record can't be decoded.
    Distrust,
    /// Does the same, for a record that was seen before.
    DistrustAgain,
}

/// Progress of a process in the records of the configuration.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct NewestConfiguration {
    /// Version in force, and the offset of its record.
    in_force: Option<(u64, u64)>,
    /// Offset of the newest record if it can't be decoded.
    unreadable_offset: Option<u64>,
    /// Whether the newest records had no configuration although one is in force.
    is_missing: bool,
}

impl NewestConfiguration {
    /// Decides about the next record, at `offset`; `version` is `None` if it can't be decoded. A
    /// record with the version in force replaces it if it was appended after it.
    pub fn read(&mut self, offset: u64, version: Option<u64>) -> ConfigurationStep {
        self.is_missing = false;
        let Some(version) = version else {
            let is_known = self.unreadable_offset.replace(offset) == Some(offset);
            return if is_known {
                ConfigurationStep::DistrustAgain
            } else {
                ConfigurationStep::Distrust
            };
        };
        self.unreadable_offset = None;
        match self.in_force {
            Some((in_force, _)) if version < in_force => ConfigurationStep::KeepNewer,
            Some(in_force) if in_force == (version, offset) => ConfigurationStep::Keep,
            _ => {
                self.in_force = Some((version, offset));
                ConfigurationStep::Apply
            }
        }
    }

    /// Decides about the newest records of all keys if none of them is a configuration: it was
    /// deleted.
    pub const fn read_none(&mut self) {
        self.is_missing = self.in_force.is_some();
    }

    /// Returns whether the configuration in force may be confirmed as the newest.
    #[must_use]
    pub const fn is_in_force(&self) -> bool {
        self.unreadable_offset.is_none() && !self.is_missing
    }
}
