//! Names, ids and counters. Each has a type of its own, so that two kinds cannot be mixed up.

use std::borrow::Borrow;
use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Declares a shared immutable string type.
macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// The name as a string slice.
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
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:?}", &self.0)
            }
        }
    };
}

/// Declares a counter that only rises.
macro_rules! counter_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// The value that follows this one.
            #[must_use]
            pub fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }
    };
}

name_type!(
    /// A worker: a machine that runs tasks.
    WorkerId
);
name_type!(
    /// A label of a worker: its kind or its rack.
    WorkerLabel
);
name_type!(
    /// A queue that takes callers' jobs.
    QueueName
);
name_type!(
    /// A service: a pool of workers.
    ServiceName
);
name_type!(
    /// One process of the system on an entry machine.
    InstanceId
);
name_type!(
    /// An availability zone.
    Zone
);
name_type!(
    /// A rack of workers, unique over all zones.
    Rack
);
name_type!(
    /// A team with a quota.
    Team
);
name_type!(
    /// A service, recurring batch or all-at-once job of the manifest.
    JobName
);
name_type!(
    /// A release of the users' product, as its pipeline names it.
    Release
);
name_type!(
    /// Id that a caller gives its request. Non-idempotent requests use a UUID of version 7.
    RequestId
);

counter_type!(
    /// Number of accepted manifests so far. Zero means that none was accepted yet.
    Generation
);
counter_type!(
    /// Rises with each change of the holder of a lease or the owner of a partition.
    Epoch
);
counter_type!(
    /// Revision of one key of the platform's store. Zero means that the key is absent.
    Revision
);
counter_type!(
    /// Number of a call that an instance made; its reply carries the same number.
    CallId
);
counter_type!(
    /// Number of an exchange that another party opened with an instance.
    Token
);
counter_type!(
    /// Random value of one start of a process; a restarted process has another one.
    BootId
);
counter_type!(
    /// Random value that marks one write, so that its author can recognise it when reading back.
    Nonce
);

/// Key of one run of a recurring batch or an all-at-once job.
///
/// It is derived from the job and the due time or release, so every instance computes the same key.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct RunKey(pub u64);

impl fmt::Display for RunKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// One attempt of one task. Replicas of a service count as tasks of the run of their job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskKey {
    /// Run that the task belongs to.
    pub run: RunKey,
    /// Index of the task in its run, from 0.
    pub index: u32,
    /// Attempt, from 1.
    pub attempt: u32,
}

impl fmt::Display for TaskKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}#{}", self.run, self.index, self.attempt)
    }
}

/// Partition of the ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Partition(pub u16);

impl fmt::Display for Partition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
