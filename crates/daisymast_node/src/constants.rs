//! Timeouts, intervals and limits of a node.

use std::time::Duration;

/// Interval between pings of the leader.
pub const PING_INTERVAL: Duration = Duration::from_millis(200);
/// Interval at which the state of the election is checked.
pub const ELECTION_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Pause after each read of the leader key.
pub const INSPECT_INTERVAL: Duration = Duration::from_millis(40);
/// Time that the store has to deliver a configuration version known from another node. After that,
/// the node requests the configuration in its pings.
pub const CONFIG_FETCH_DELAY: Duration = Duration::from_millis(300);
/// Timeout of a ping.
pub const PING_TIMEOUT: Duration = Duration::from_millis(350);
/// Timeout of one read or commit, above the store's response times while it is slow.
pub const STORE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Timeout for one page of keys: a megabyte takes over a second on a link of 10 Mbit/s.
pub const PAGE_TIMEOUT: Duration = Duration::from_millis(4_000);
/// Time that the store holds a watch request open while nothing changes.
pub const WATCH_WAIT: Duration = Duration::from_millis(1_500);
/// Timeout of a watch request, longer than [`WATCH_WAIT`].
pub const WATCH_TIMEOUT: Duration = Duration::from_millis(2_100);
/// Pause after a failed call to the store.
pub const STORE_RETRY_DELAY: Duration = Duration::from_millis(150);
/// Minimum time between two commits, so that records are batched.
pub const MIN_COMMIT_INTERVAL: Duration = Duration::from_millis(15);
/// Number of the last batches of a journal whose starts may not have been answered, also through a
/// relay: they cover the second before its end.
pub const RECENT_BATCHES: usize = 72;
/// Maximum time without a commit. After that, an empty commit renews the term.
pub const RENEWAL_INTERVAL: Duration = Duration::from_millis(300);
/// Maximum age of the last confirmed commit for the leader to answer reads without confirming its
/// term first.
pub const FRESH_COMMIT_AGE: Duration = Duration::from_millis(1_000);
/// Minimum timeout of a commit, after which it is sent again.
pub const COMMIT_TIMEOUT_MIN: Duration = Duration::from_millis(80);
/// Factor from the smoothed response time of commits to their timeout.
pub const COMMIT_TIMEOUT_FACTOR: u32 = 4;
/// Time without a confirmed commit that is tolerated while no call to the store has failed. After
/// an election the first commits compete for processor time.
pub const SLOW_COMMIT_TOLERANCE: Duration = Duration::from_millis(1_800);
/// Time for which a commit may fail before new jobs are rejected immediately.
pub const STORE_OUTAGE_THRESHOLD: Duration = Duration::from_millis(500);
/// Interval between two ticks of the scheduler.
pub const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Time after which a newly elected leader may step down in favour of a much larger machine.
pub const STEP_DOWN_DELAY: Duration = Duration::from_millis(1_200);
/// Time after its last ping for which a node counts as alive.
pub const ALIVE_PERIOD: Duration = Duration::from_millis(900);
/// Timeout of a caller's request forwarded to the leader.
pub const FORWARD_TIMEOUT: Duration = Duration::from_millis(800);
/// Time without a leader for which requests wait for the next one. After that they are rejected
/// immediately, since no leader is likely to appear soon.
pub const LEADER_WAIT: Duration = Duration::from_millis(1_800);
/// Pause before a request is forwarded again.
pub const FORWARD_RETRY_DELAY: Duration = Duration::from_millis(60);
/// Time after which the node stops retrying a request whose outcome is unknown.
pub const FORWARD_DEADLINE: Duration = Duration::from_millis(2_600);
/// Part of a caller's deadline that is left for the way of the answer.
pub const DEADLINE_MARGIN: Duration = Duration::from_millis(150);
/// Minimum time for a call to the leader; with less left, the request is answered.
pub const MIN_CALL_TIME: Duration = Duration::from_millis(20);
/// Smallest `Retry-After` value of a refusal, in seconds.
pub const RETRY_AFTER_S: u32 = 1;
/// Number of further seconds over which the callers that are refused during a long outage of the store
/// are spread.
pub const MAX_RETRY_SPREAD_S: u32 = 4;
/// Interval between two rounds of questions to the store and to other nodes, while the leader is suspected.
pub const REACH_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum time since the leader's last answer for a node to be a path to it. Below the time after which the
/// node that asks suspects the leader, less an interval between pings: nodes of one zone that is cut off
/// would otherwise be paths for each other.
pub const PATH_CONTACT_AGE: Duration = Duration::from_millis(300);
/// Interval at which a node remembers the list of the other nodes.
pub const MEMBERS_INTERVAL: Duration = Duration::from_secs(2);
/// Timeout of each question of a round; see [`REACH_INTERVAL`].
pub const REACH_TIMEOUT: Duration = Duration::from_millis(250);
/// Interval at which a request that waits for the leader's answer checks whether there is a later leader.
pub const TERM_CHECK_INTERVAL: Duration = Duration::from_millis(40);
/// Maximum number of callers' requests that wait for a commit at the leader; further ones are refused.
/// A leader stores more than that in the time for which callers wait.
pub const MAX_WAITING_REQUESTS: usize = 600;
/// Time without a page of the journal, or without a configuration, after which an elected node gives its
/// role up. It renews its term and answers pings meanwhile, so no other node would replace it, and all
/// requests would wait for it. Longer than one page takes at most, within the 15 s for a recovery.
pub const REPLAY_STALL_LIMIT: Duration = Duration::from_millis(5_000);
/// Time after which a leader steps down in favour of a much larger machine although the leader before it
/// has resigned: the larger machines were free to follow that one, and could not.
pub const STEP_DOWN_RETRY_DELAY: Duration = Duration::from_millis(10_000);
/// Time after SIGTERM for which new connections are still accepted. The platform's load balancer
/// takes a node out after two failed readiness checks, which are a second apart.
pub const DRAIN_PERIOD: Duration = Duration::from_millis(2_600);
/// Part of the time before SIGKILL that is reserved for the exit.
pub const EXIT_MARGIN: Duration = Duration::from_millis(500);
/// Time after which an idle connection of a caller is closed.
pub const CALLER_IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Maximum idle time of a connection to another process before it is no longer reused.
pub const MAX_IDLE_AGE: Duration = Duration::from_secs(12);
/// Time after which the kernel gives up a call to a worker or a node that is not acknowledged. It bounds
/// the age of an order that was sent right before its process was paused and the link was cut. Leaves
/// room for two retransmissions, 200 and 400 ms after the packet.
pub const DELIVERY_TIMEOUT: Duration = Duration::from_millis(700);
/// Maximum size of one journal batch. Larger batches are split over several keys.
pub const MAX_BATCH_BYTES: usize = 400_000;
/// Maximum number of parts of a checkpoint. They are written in one commit of at most 32 entries.
pub const MAX_CHECKPOINT_PARTS: usize = 24;
/// Transfer rate assumed for the slowest link: 10 Mbit/s, less the base64 overhead and a reserve.
pub const SLOW_LINK_BYTES_PER_MS: u64 = 500;
