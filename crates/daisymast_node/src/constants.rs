//! Times and limits of a node.

use std::time::Duration;

/// Pause between two pings of the scheduler.
pub const PING_INTERVAL: Duration = Duration::from_millis(200);
/// Pause between two looks at the state of the election.
pub const ELECTION_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Pause after a read of the leader key.
pub const INSPECT_INTERVAL: Duration = Duration::from_millis(40);
/// Time for which the store may bring a configuration of which another node has told, before it is
/// asked for.
pub const CONFIG_FETCH_DELAY: Duration = Duration::from_millis(300);
/// Time for a ping.
pub const PING_TIMEOUT: Duration = Duration::from_millis(350);
/// Time for one read or commit at the store, above its answers while it is slow.
pub const STORE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time for one page of keys: a megabyte takes over a second on a link of 10 Mbit/s.
pub const PAGE_TIMEOUT: Duration = Duration::from_millis(4_000);
/// Time that a watch waits for a change.
pub const WATCH_WAIT: Duration = Duration::from_millis(1_500);
/// Time after which a watch counts as silent.
pub const WATCH_TIMEOUT: Duration = Duration::from_millis(2_100);
/// Pause after a call to the store that failed.
pub const STORE_RETRY_DELAY: Duration = Duration::from_millis(150);
/// Shortest time between two commits, so that they gather records.
pub const MIN_COMMIT_INTERVAL: Duration = Duration::from_millis(15);
/// Longest time without a commit: then the term is confirmed by an empty one.
pub const RENEWAL_INTERVAL: Duration = Duration::from_millis(300);
/// Age of the last confirmed commit up to which a scheduler answers questions at once.
pub const FRESH_COMMIT_AGE: Duration = Duration::from_millis(1_000);
/// Shortest time for a commit, and factor from its usual time to its limit. A commit whose answer is
/// lost is sent again after that.
pub const COMMIT_TIMEOUT_MIN: Duration = Duration::from_millis(80);
/// Factor from the usual time of a commit to its limit.
pub const COMMIT_TIMEOUT_FACTOR: u32 = 4;
/// Time without a confirmed commit for which a scheduler whose calls to the store have not failed counts
/// as one that has it: after a takeover the first commits wait for the processor.
pub const SLOW_COMMIT_TOLERANCE: Duration = Duration::from_millis(1_800);
/// Time without a commit that took effect after which new jobs are refused at once.
pub const STORE_OUTAGE_THRESHOLD: Duration = Duration::from_millis(500);
/// Time for the answer of a node that is asked about the scheduler.
pub const PROBE_TIMEOUT: Duration = Duration::from_millis(150);
/// Time between two ticks of the scheduler.
pub const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Time for an order to a worker.
pub const ORDER_TIMEOUT: Duration = Duration::from_millis(250);
/// Time beyond its wait for a look at a worker.
pub const HOLD_TIMEOUT_MARGIN: Duration = Duration::from_millis(350);
/// Time after which a scheduler gives its role to a much larger machine.
pub const YIELD_DELAY: Duration = Duration::from_millis(1_200);
/// Time within which a node that has pinged counts as alive.
pub const ALIVE_PERIOD: Duration = Duration::from_millis(900);
/// Time for a caller's request at the scheduler.
pub const FORWARD_TIMEOUT: Duration = Duration::from_millis(800);
/// Time without a scheduler for which requests wait for its successor. After that they are refused
/// at once, since none seems to come soon.
pub const LEADER_WAIT: Duration = Duration::from_millis(1_800);
/// Pause before a request is sent to the scheduler again.
pub const FORWARD_RETRY_DELAY: Duration = Duration::from_millis(60);
/// Time after which a request whose outcome is not known is given up.
pub const FORWARD_DEADLINE: Duration = Duration::from_millis(2_600);
/// Time after which a caller may come back that was refused for want of a scheduler, in seconds.
pub const RETRY_AFTER_S: u32 = 1;
/// Time after which a caller may come back that was refused for want of the store, whose outages are
/// longer, in seconds.
pub const STORE_RETRY_AFTER_S: u32 = 2;
/// Time from SIGTERM for which new connections are still served: the platform's balancer needs two
/// missed readiness checks, a second apart, to leave the node out.
pub const DRAIN_PERIOD: Duration = Duration::from_millis(2_600);
/// Part of the time to a SIGKILL that is left for the exit.
pub const EXIT_MARGIN: Duration = Duration::from_millis(500);
/// Time after which an idle connection of a caller is closed.
pub const CALLER_IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Age from which an idle connection to another process is not used again.
pub const MAX_IDLE_AGE: Duration = Duration::from_secs(12);
/// Bytes of one batch of the journal; larger ones are split over several keys.
pub const MAX_BATCH_BYTES: usize = 400_000;
/// Parts of a checkpoint, which are written in one commit of at most 32 entries.
pub const MAX_CHECKPOINT_PARTS: usize = 24;
/// Rate of the slowest link, 10 Mbit/s, for values in base64 and with some reserve.
pub const SLOW_LINK_BYTES_PER_MS: u64 = 500;
