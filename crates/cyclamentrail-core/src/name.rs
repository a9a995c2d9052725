//! Typed names: shared immutable strings that can't be mistaken for one another.

use std::borrow::Borrow;
use std::fmt;
use std::sync::Arc;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

macro_rules! names {
    ($($(#[$doc:meta])* $name:ident),+ $(,)?) => {$(
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, JsonSchema)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Creates a name from any string.
            #[must_use]
            pub fn new(text: impl Into<Arc<str>>) -> Self {
                Self(text.into())
            }

            /// Returns the name as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(Arc::from(text))
            }
        }

        impl From<String> for $name {
            fn from(text: String) -> Self {
                Self(Arc::from(text))
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }
    )+};
}

names! {
    /// Names a site: one operator's installation.
    SiteName,
    /// Names an availability zone.
    ZoneName,
    /// Names a rack inside an availability zone.
    RackName,
    /// Names a worker instance.
    InstanceName,
    /// Names a pool of instances.
    PoolName,
    /// Names a service placed on a pool.
    ServiceName,
    /// Names a team of callers with a quota.
    TeamName,
    /// Names a maintenance wave.
    WaveName,
    /// Names an entry instance; the name is reused when the instance is replaced.
    EntryName,
    /// Names a job; callers choose it.
    JobId,
    /// Names a route: a queue of jobs.
    RouteName,
    /// Names a registered backend server; kept when it restarts in place.
    WorkerId,
    /// Names what the tasks of a step run.
    ImageName,
    /// Names a label of a worker.
    LabelName,
}
