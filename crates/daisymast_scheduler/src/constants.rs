//! Times, limits and weights of the scheduler.

use std::time::Duration;

/// Lease that each order and each look gives a worker. Long enough for a takeover, short enough that
/// tasks of a lost worker start again soon.
pub const LEASE: Duration = Duration::from_millis(5_000);
/// Time for which a worker may hold a look back while nothing ends.
pub const POLL_WAIT: Duration = Duration::from_millis(1_000);
/// Open looks at workers of which it is not known what runs there. A new scheduler has to look at all
/// of them, and would answer no one else while it sends hundreds of calls at once.
pub const MAX_INITIAL_POLLS: usize = 96;
/// Shortest time between two looks at a worker, as each look has a cost.
pub const MIN_POLL_INTERVAL: Duration = Duration::from_millis(40);
/// Time between two looks at a worker whose ends wait to be stored. They extend its lease while the
/// store is down.
pub const UNSTORED_ENDS_POLL_INTERVAL: Duration = Duration::from_millis(1_500);
/// Pause after a look that failed.
pub const POLL_RETRY_DELAY: Duration = Duration::from_millis(300);
/// Pause before a stop without an answer is sent again.
pub const STOP_RETRY_DELAY: Duration = Duration::from_millis(400);
/// Time for which the former scheduler may act without a confirmed commit.
pub const AUTHORITY: Duration = Duration::from_millis(7_000);
/// Rate of a worker's clock against ours, at the slowest: 2% slow, in thousandths of its time.
pub const SLOW_CLOCK_PERMILLE: u64 = 1_021;
/// Further time after which a lease has surely expired.
pub const LEASE_MARGIN: Duration = Duration::from_millis(30);
/// Workers of a zone that are suspected at the same time before the others of the zone are asked.
pub const ZONE_SUSPECT_THRESHOLD: usize = 2;
/// Workers of a zone that are asked when the first one is suspected.
pub const ZONE_PROBE_WORKERS: usize = 2;
/// Sends of a start before it is stopped.
pub const MAX_START_SENDS: u8 = 2;
/// Validity that a ticket needs when a start is decided: the start is journaled and sent first.
pub const MIN_TICKET_VALIDITY: Duration = Duration::from_millis(250);
/// Most workers in one question to the advice service.
pub const MAX_WORKERS_PER_REQUEST: usize = 30;
/// Most workers in one question for a gang: its tickets have to be valid at the same time, so a wide
/// gang cannot gather them over several questions. The service takes 100.
pub const MAX_WORKERS_PER_GANG_REQUEST: usize = 90;
/// Share of allowed workers before a queue's first answer.
pub const INITIAL_ALLOWED_SHARE: f64 = 0.5;
/// Weight of a new answer in the learned share of allowed workers.
pub const ALLOWED_SHARE_WEIGHT: f64 = 0.2;
/// Open questions of a queue that is not urgent.
pub const MAX_OPEN_REQUESTS: usize = 8;
/// Open questions of such a queue while the fleet has room, when each answer leads to a start.
pub const MAX_OPEN_REQUESTS_IDLE: usize = 20;
/// Pause between two questions for a step that is not urgent.
pub const ADVICE_REQUEST_INTERVAL: Duration = Duration::from_millis(150);
/// Time beyond the expected one after which a question is given up.
pub const ADVICE_TIMEOUT_MARGIN: Duration = Duration::from_millis(400);
/// Change of a learned speed, as a logarithm, from which it is stored for the next scheduler.
pub const SPEED_STORE_THRESHOLD: f64 = 0.15;
/// Gangs that may keep room free for themselves at the same time.
pub const MAX_RESERVING_GANGS: usize = 4;
/// Waiting steps from which passes are paced: with fewer a pass costs less than the call that led to
/// it.
pub const PACING_THRESHOLD_STEPS: usize = 12;
/// Shortest time between two passes then. At twice the load of a full fleet of 350 workers each end of
/// a task would else cost a pass over more than a hundred steps.
pub const MIN_PASS_INTERVAL: Duration = Duration::from_millis(8);
/// Steps that one pass looks at.
pub const MAX_STEPS_PER_PASS: usize = 300;
/// Weight of a new sample in the learned speed of a worker.
pub const SPEED_SAMPLE_WEIGHT: f64 = 0.15;
/// Factor from one band of speeds to the next.
pub const SPEED_BAND_FACTOR: f64 = 1.2;
/// Failed runs on end after which a worker gets one task at a time.
pub const QUARANTINE_THRESHOLD: u32 = 3;
/// Time for which such a worker gets nothing.
pub const QUARANTINE_DURATION: Duration = Duration::from_millis(2_500);
/// Time without progress after which a run counts as hung.
pub const HUNG_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Progress from which a run may wait for slower members of its gang.
pub const GANG_WAIT_PERCENT: u8 = 99;
/// Pause before a lasting task that ended is started again.
pub const LASTING_RESTART_DELAY: Duration = Duration::from_millis(200);
/// Share of the processors in use, in hundredths, from which room is kept for urgent steps.
pub const HIGH_UTILISATION_PERCENT: u64 = 60;
/// Room on each of the faster workers that is kept for urgent steps, in thousandths of its
/// processors.
pub const URGENT_RESERVE_PERMILLE: u32 = 250;
/// Time within which the entry of a live worker is back after an outage of the store.
pub const REREGISTRATION_TIMEOUT: Duration = Duration::from_millis(2_300);
