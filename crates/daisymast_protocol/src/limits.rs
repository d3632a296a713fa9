//! Bounds that both ends of an edge agree on.

use std::time::Duration;

/// Largest body of a caller's request, in bytes.
pub const CALLER_BODY_BYTES: usize = 256 * 1024;
/// Largest manifest, in bytes. The store holds values of up to one megabyte.
pub const MANIFEST_BYTES: usize = 512 * 1024;
/// Largest value that the store holds, in bytes.
pub const STORE_VALUE_BYTES: usize = 1024 * 1024;
/// Largest message between two instances, in bytes.
pub const PEER_BODY_BYTES: usize = 2 * 1024 * 1024;
/// Callers that may wait in the queue of one kind of work.
pub const QUEUE_PER_FLOW: usize = 1_024;
/// Events that an instance keeps for the timeline.
pub const TIMELINE_EVENTS: usize = 4_096;
/// Request and task ids that a worker remembers.
pub const WORKER_REMEMBERED_IDS: usize = 65_536;
/// Time for which a worker refuses an id that was resolved as never run.
pub const TOMBSTONE_TTL: Duration = Duration::from_secs(600);
/// Age from which a non-idempotent request is refused. Its ledger record lives 24 h, so a repeat
/// of an accepted request always meets the record.
pub const REQUEST_ID_MAX_AGE: Duration = Duration::from_secs(3_600);
/// Longest time that a caller may ask for.
pub const REQUEST_TIMEOUT_MAX: Duration = Duration::from_secs(60);

/// Time to live of the control lease of a worker.
pub const CONTROL_LEASE_TTL: Duration = Duration::from_secs(3);
/// Time between two renewals of a control lease.
pub const CONTROL_LEASE_RENEWAL: Duration = Duration::from_secs(1);
/// A holder stops acting this long before the worker lets the lease expire, because the two clocks
/// may run at different rates and a paused holder must notice the expiry first.
pub const CONTROL_LEASE_MARGIN: Duration = Duration::from_secs(1);
/// Task lease of an exclusive task.
pub const EXCLUSIVE_TASK_LEASE: Duration = Duration::from_secs(10);
/// Task lease of a service replica or another task that may run twice.
pub const SHARED_TASK_LEASE: Duration = Duration::from_secs(600);
/// Ledger partitions.
pub const PARTITIONS: u16 = 16;
