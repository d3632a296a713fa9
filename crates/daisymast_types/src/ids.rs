//! Names, ids and counters. Each has its own type, so that they cannot be confused.

use std::borrow::Borrow;
use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Declares an immutable string type that is cheap to clone.
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

/// Declares a 64-bit integer type: a counter, or a random value that is only compared.
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
    /// Id of a worker, which is a machine that runs tasks.
    WorkerId
);
name_type!(
    /// Label of a worker, such as its kind or its rack.
    WorkerLabel
);
name_type!(
    /// Name of a queue to which callers submit jobs.
    QueueName
);
name_type!(
    /// Name of a service, which is served by a pool of workers.
    ServiceName
);
name_type!(
    /// Id of an instance: one process of the system.
    InstanceId
);
name_type!(
    /// Name of an availability zone.
    Zone
);
name_type!(
    /// Name of a rack of workers, unique across availability zones.
    Rack
);
name_type!(
    /// Name of an organisation whose callers share the cell with those of others.
    Organisation
);
name_type!(
    /// Name of a team, the unit to which quotas apply.
    Team
);
name_type!(
    /// Name of a service, recurring batch or gang job in the manifest.
    JobName
);
name_type!(
    /// Release of the users' product, as named by their deployment pipeline.
    Release
);
name_type!(
    /// Id that a caller assigns to its request. Non-idempotent requests use a version 7 UUID.
    RequestId
);

counter_type!(
    /// Generation of a manifest: the number of manifests accepted up to it. Zero if none was
    /// accepted.
    Generation
);
counter_type!(
    /// Fencing epoch. Increases with each change of the holder of a lease or the owner of a
    /// partition.
    Epoch
);
counter_type!(
    /// Revision of one key in the platform store. Zero means that the key does not exist.
    Revision
);
counter_type!(
    /// Number of an outgoing call of an instance, by which the reply is matched to it.
    CallId
);
counter_type!(
    /// Number of an incoming call to an instance, by which the answer is matched to it.
    Token
);
counter_type!(
    /// Random id of one start of a process; it changes with every restart.
    BootId
);
counter_type!(
    /// Random value that marks one write, so that its author recognizes it when reading it back.
    Nonce
);

/// Key of one run of a recurring batch or a gang job.
///
/// It is derived from the job and the due time or the declaration, so every instance computes the
/// same key.
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

/// Key of one attempt of one task. The replicas of a service are tasks of the run of that service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskKey {
    /// Run to which the task belongs.
    pub run: RunKey,
    /// Index of the task in its run, from 0.
    pub index: u32,
    /// Number of the attempt, from 1.
    pub attempt: u32,
}

impl fmt::Display for TaskKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}#{}", self.run, self.index, self.attempt)
    }
}

/// Number of a ledger partition.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Partition(pub u16);

impl fmt::Display for Partition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
