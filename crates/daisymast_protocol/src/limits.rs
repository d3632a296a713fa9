//! Limits and time-outs on which both ends of a connection must agree.

use std::time::Duration;

/// Largest body of a caller's request, in bytes.
pub const CALLER_BODY_BYTES: usize = 256 * 1024;
/// Largest manifest, in bytes. It must fit in one store value of [`STORE_VALUE_BYTES`].
pub const MANIFEST_BYTES: usize = 512 * 1024;
/// Largest value of a key in the store, in bytes.
pub const STORE_VALUE_BYTES: usize = 1024 * 1024;
/// Largest message between two instances, in bytes.
pub const PEER_BODY_BYTES: usize = 2 * 1024 * 1024;
/// Largest number of requests that wait in the queue of one flow.
pub const QUEUE_PER_FLOW: usize = 1_024;
/// Largest number of timeline events that an instance keeps.
pub const TIMELINE_CAPACITY: usize = 4_096;
/// Largest number of request IDs in the history of a worker, and of task IDs.
pub const WORKER_REMEMBERED_IDS: usize = 65_536;
/// Minimum time for which a worker refuses an ID that was resolved as never run.
pub const TOMBSTONE_TTL: Duration = Duration::from_secs(600);
/// Age of the ID from which a non-idempotent request is refused. The ledger keeps its records for
/// 24 h, so a repetition of an accepted request always finds the record.
pub const REQUEST_ID_MAX_AGE: Duration = Duration::from_secs(3_600);
/// Longest timeout that a caller may request.
pub const REQUEST_TIMEOUT_MAX: Duration = Duration::from_secs(60);

/// Time to live of the control lease of a worker.
pub const CONTROL_LEASE_TTL: Duration = Duration::from_secs(3);
/// Interval between two renewals of a control lease.
pub const CONTROL_LEASE_RENEW_INTERVAL: Duration = Duration::from_secs(1);
/// Safety margin of a control lease: the holder stops using the lease this long before it expires
/// at the worker. The two clocks may run at different rates, and a paused holder must notice the
/// expiry before the worker does.
pub const CONTROL_LEASE_MARGIN: Duration = Duration::from_secs(1);
/// Time to live of the task lease of an exclusive task.
pub const EXCLUSIVE_TASK_LEASE: Duration = Duration::from_secs(10);
/// Time to live of the task lease of a shared task, such as a service replica, which may run twice.
pub const SHARED_TASK_LEASE: Duration = Duration::from_secs(600);
/// Number of ledger partitions.
pub const PARTITION_COUNT: u16 = 16;
