//! Timeouts, intervals and limits of relaying.

use std::time::Duration;

/// Number of workers up to which the leader makes all calls itself, since an exchange with a relay
/// would cost it more than the calls that the relay saves.
pub const MAX_DIRECT_WORKERS: usize = 128;
/// Number of workers that one relay serves.
pub const WORKERS_PER_RELAY: usize = 64;
/// Minimum time between two exchanges with one relay, in which calls and outcomes are batched.
pub const MIN_EXCHANGE_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum number of exchanges per second with all relays together. With more relays, the exchanges
/// with each are further apart.
pub const MAX_EXCHANGES_PER_SECOND: u32 = 400;
/// How long a relay may hold an exchange that brings calls, so that their outcomes return with it.
pub const ORDER_HOLD: Duration = Duration::from_millis(12);
/// How long a relay may hold an exchange without calls until an outcome is available.
pub const COLLECT_HOLD: Duration = Duration::from_millis(500);
/// Timeout of an exchange beyond the time for which the relay may hold it. As long as that of a
/// ping: a relay that does not answer within it is replaced.
pub const EXCHANGE_TIMEOUT_MARGIN: Duration = Duration::from_millis(350);
/// Maximum age at which a relay still sends a call. A relay that was paused must not send orders
/// that the leader has given up on.
pub const MAX_CALL_AGE: Duration = Duration::from_millis(400);
/// Time for which a reading of a relay's clock is preferred to later ones that were longer on their way.
/// A clock that is 2% slow is 40 ms off by then.
pub const CLOCK_READING_PERIOD: Duration = Duration::from_millis(2_000);
/// Interval at which a relay checks that its process is running.
pub const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// How long after a pause a relay sends no calls of the exchanges that it reads. They may have waited
/// in its socket while it was paused.
pub const RESUME_PERIOD: Duration = Duration::from_millis(200);
/// Time without an exchange after which a relay stops checking that its process is running.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Timeout of an order to a worker.
pub const ORDER_TIMEOUT: Duration = Duration::from_millis(250);
/// Timeout of a poll of a worker, in addition to the time for which the worker may wait.
pub const POLL_TIMEOUT_MARGIN: Duration = Duration::from_millis(350);
/// Time after the timeout of a call at which the leader no longer expects its outcome from the
/// relay.
pub const OUTCOME_MARGIN: Duration = Duration::from_millis(650);
/// How long a relay that failed gets no calls.
pub const EXCLUSION: Duration = Duration::from_millis(2_000);
/// Time between two reports of a worker that list its running runs. Reports in between leave them
/// out, as they make up most of the bytes.
pub const FULL_REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum number of leaders' sessions that a relay keeps. There is one leader at a time; a
/// replaced one may still be answered.
pub const MAX_SESSIONS: usize = 4;
