//! Typed names: immutable shared strings with one type for each kind of object, so that the
//! compiler rejects a name of the wrong kind.

use std::borrow::Borrow;
use std::fmt;
use std::sync::Arc;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

macro_rules! define_names {
    ($($(#[$doc:meta])* $name:ident),+ $(,)?) => {$(
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, JsonSchema)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Creates a name from a string, without checking its characters.
            #[must_use]
            pub fn new(text: impl Into<Arc<str>>) -> Self {
                Self(text.into())
            }

            /// Returns the name as a string slice.
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

define_names! {
    /// Name of a site: one installation with its own settings.
    SiteName,
    /// Name of an availability zone.
    ZoneName,
    /// Name of a rack in an availability zone.
    RackName,
    /// Name of a worker instance.
    InstanceName,
    /// Name of a pool of instances.
    PoolName,
    /// Name of a service that a pool serves.
    ServiceName,
    /// Name of a team: callers that share a quota.
    TeamName,
    /// Name of a maintenance wave.
    WaveName,
    /// Name of an entry instance; a replacement of the instance keeps the name.
    EntryName,
    /// Id of a job, chosen by the caller that submits the job.
    JobId,
    /// Name of a route: a queue of jobs.
    RouteName,
    /// Id of a registered backend server; kept when the server restarts in place.
    WorkerId,
    /// Name of the image that the tasks of a step run.
    ImageName,
    /// Name of a worker label.
    LabelName,
}
