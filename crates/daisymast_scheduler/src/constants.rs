//! Timeouts, limits and weights of the scheduler.

use std::time::Duration;

/// Lease that each order and each poll gives a worker. Long enough to outlast a change of the
/// scheduler, short enough for the tasks of a lost worker to start again soon.
pub const WORKER_LEASE: Duration = Duration::from_millis(5_000);
/// How long a worker may delay its answer to a poll while no run ends.
pub const POLL_WAIT: Duration = Duration::from_millis(1_000);
/// Maximum number of concurrent polls of workers whose runs are not known yet. A new scheduler has
/// to poll every worker, and could not answer anyone else while it sends hundreds of calls at once.
pub const MAX_INITIAL_POLLS: usize = 96;
/// Longest time from when a worker makes an answer to its arrival. Answers use several connections,
/// so one may be overtaken by others within this time. The calls of orders and polls end earlier,
/// also when other nodes make them.
pub const MAX_ANSWER_AGE: Duration = Duration::from_millis(2_000);
/// Longest time from the decision to send an order until it leaves the process. One that takes longer
/// is given up.
pub const MAX_DELIVERY_TIME: Duration = Duration::from_millis(400);
/// Maximum age of the reading of an idle worker's clock. After that the worker is polled: the
/// reading of a clock that runs 2% slow is 0.4 s off by then, and an order with a deadline that is
/// reckoned from it gives a lease longer by as much.
pub const MAX_CLOCK_AGE: Duration = Duration::from_millis(20_000);
/// Longest time after which a worker may still carry out an order that it left without an answer.
pub const MAX_ORDER_AGE: Duration = Duration::from_millis(12_000);
/// Shortest time in which a worker can end and start again.
pub const MIN_RESTART_TIME: Duration = Duration::from_millis(150);
/// Minimum time between two polls of a worker, to limit the cost of polling.
pub const MIN_POLL_INTERVAL: Duration = Duration::from_millis(40);
/// Time between two polls of a worker while ended runs that it reported are not stored yet. These
/// polls renew its lease during an outage of the store.
pub const UNSTORED_RUN_ENDS_POLL_INTERVAL: Duration = Duration::from_millis(1_500);
/// Time between two polls of a worker while the acknowledgement of a run end is withheld. Polls with a
/// wait would return at once.
pub const WITHHELD_ACK_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Delay before a failed poll is repeated.
pub const POLL_RETRY_DELAY: Duration = Duration::from_millis(300);
/// Delay before an unanswered stop is sent again.
pub const STOP_RETRY_DELAY: Duration = Duration::from_millis(400);
/// How long a scheduler may act after its last confirmed commit. A new scheduler assumes that
/// the former one acted for as long.
pub const LEADER_LEASE: Duration = Duration::from_millis(7_000);
/// Longest local time, in thousandths, in which a worker's clock advances by one unit: worker
/// clocks run up to 2% slow.
pub const SLOW_CLOCK_PERMILLE: u64 = 1_021;
/// Safety margin that is added before a worker lease counts as expired.
pub const WORKER_LEASE_MARGIN: Duration = Duration::from_millis(30);
/// Number of workers in a zone that have to be suspected at the same time before all other workers
/// of the zone are suspected and polled.
pub const ZONE_SUSPECT_THRESHOLD: usize = 2;
/// Number of further workers that are polled when the first worker of a zone is suspected.
pub const ZONE_PROBE_WORKERS: usize = 2;
/// How often a start is sent to a process without an answer before the run is stopped. While one of
/// them may be carried out late, the task cannot run elsewhere.
pub const MAX_START_SENDS: u8 = 6;
/// The same for a start with a ticket, which is valid for a short time, and whose gang waits meanwhile.
pub const MAX_TICKET_START_SENDS: u8 = 2;
/// Validity that a ticket must have left when a start is decided: the placement is stored and the
/// start is sent before the worker checks the ticket.
pub const MIN_TICKET_VALIDITY: Duration = Duration::from_millis(250);
/// Maximum number of workers in a request to the advice service.
pub const MAX_WORKERS_PER_REQUEST: usize = 30;
/// Maximum number of workers in a request for a gang. All tickets of a gang have to be valid at the
/// same time, so a wide gang cannot collect them over several requests. The service accepts up to
/// 100.
pub const MAX_WORKERS_PER_GANG_REQUEST: usize = 90;
/// Share of workers that the advice service is assumed to allow before its first answer for a
/// queue.
pub const INITIAL_ALLOWED_SHARE: f64 = 0.5;
/// Weight of a new answer in the moving average of the allowed share.
pub const ALLOWED_SHARE_WEIGHT: f64 = 0.2;
/// Number of advice requests of a queue that is not urgent that may always be open.
pub const MIN_OPEN_REQUESTS: usize = 8;
/// Number of nodes for each of which such a queue may have an open request. The service answers one
/// call at a time for each node, and urgent steps need nodes, too.
pub const NODES_PER_OPEN_REQUEST: usize = 2;
/// Number of requests that may be open while the fleet has free capacity, when each answer leads to a
/// start; more with more nodes.
pub const MIN_OPEN_REQUESTS_IDLE: usize = 20;
/// Time between two advice requests for a step that is not urgent.
pub const ADVICE_REQUEST_INTERVAL: Duration = Duration::from_millis(150);
/// Time beyond the expected duration after which an advice request times out.
pub const ADVICE_TIMEOUT_MARGIN: Duration = Duration::from_millis(400);
/// Change of a learned speed, as a difference of natural logarithms, from which on it is stored for
/// the next scheduler.
pub const SPEED_STORE_THRESHOLD: f64 = 0.15;
/// Number of usable workers for each of which one of the largest gangs goes before other steps.
pub const WORKERS_PER_LARGE_GANG: usize = 120;
/// Number of such gangs that go first only while they are on time. On a larger fleet, as many late
/// ones go first as gangs that are on time beyond this number.
pub const LARGE_GANGS_ON_TIME: usize = 2;
/// How much later a step is ranked for each core-millisecond that it takes, in microseconds.
pub const SIZE_DELAY_PER_CORE_MS_US: u64 = 3;
/// Minimum number of gangs that may reserve workers in one pass.
pub const MIN_RESERVING_GANGS: usize = 4;
/// Number of usable workers for each of which one gang may reserve workers in a pass.
pub const WORKERS_PER_RESERVING_GANG: usize = 40;
/// Number of waiting steps from which on passes are rate-limited. With fewer, a pass costs less
/// than the call that triggered it.
pub const PACING_THRESHOLD_STEPS: usize = 12;
/// Minimum time between two rate-limited passes. Otherwise each ended task would cause a pass over
/// more than a hundred steps at twice the load that fills 350 workers.
pub const MIN_PASS_INTERVAL: Duration = Duration::from_millis(8);
/// Number of waiting steps for each of which a rate-limited pass adds its cost to the minimum time
/// to the next one, in microseconds.
pub const PASS_INTERVAL_PER_STEP_US: u64 = 20;
/// Maximum time between two rate-limited passes.
pub const MAX_PASS_INTERVAL: Duration = Duration::from_millis(40);
/// Number of the most urgent steps that each pass tries to place.
pub const MAX_URGENT_STEPS_PER_PASS: usize = 300;
/// Number of further steps that a pass tries to place. Successive passes continue where the one
/// before stopped, so that no step waits forever behind others that cannot start.
pub const FURTHER_STEPS_PER_PASS: usize = 100;
/// Weight of a new sample in the learned speed of a worker.
pub const SPEED_SAMPLE_WEIGHT: f64 = 0.15;
/// Ratio between neighbouring speed bands.
pub const SPEED_BAND_FACTOR: f64 = 1.2;
/// Number of consecutive failures after which a worker is quarantined, and then gets one task at a
/// time until it shows that it is sound.
pub const QUARANTINE_THRESHOLD: u32 = 3;
/// How long a quarantined worker gets no tasks.
pub const QUARANTINE_DURATION: Duration = Duration::from_millis(2_500);
/// Time after which a run on a worker on probation no longer keeps other tasks from starting there.
/// Long tasks would otherwise leave workers empty for longer than a job may have nothing running.
pub const MAX_TRIAL_TIME: Duration = Duration::from_millis(2_000);
/// Progress, in percent, from which on a task of a long-running step is at work.
pub const AT_WORK_PERCENT: u8 = 100;
/// Shortest time without progress after which a run counts as hung.
pub const HUNG_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Multiple of the time that a run of the step took for one percent after which a run counts as hung.
pub const STALL_FACTOR: u32 = 3;
/// Progress, in percent, from which a run is not treated as hung, as it may wait for slower members
/// of its gang.
pub const GANG_WAIT_PERCENT: u8 = 99;
/// Delay before a long-running task that ended is started again.
pub const LASTING_RESTART_DELAY: Duration = Duration::from_millis(200);
/// Share of processors in use, in percent, from which capacity is kept free for urgent steps.
pub const HIGH_UTILISATION_PERCENT: u64 = 60;
/// Share of the processors of each fast worker that is kept free for urgent steps, in thousandths.
pub const URGENT_RESERVE_PERMILLE: u32 = 250;
/// Time within which a live worker registers again after an outage of the store.
pub const REREGISTRATION_TIMEOUT: Duration = Duration::from_millis(2_300);
/// Limit on the waiting jobs that lie beyond the rate of an organisation, as the time in which the rate
/// allows as many. With a much lower limit, refused callers come back later and leave workers idle.
pub const OVER_RATE_BACKLOG: Duration = Duration::from_secs(30);
/// Lower bound of that limit, for organisations with a low rate.
pub const MIN_OVER_RATE_BACKLOG: f64 = 100.0;
/// An organisation counts as at its cap until the cap has kept none of its steps from starting for this
/// long. Shorter gaps between the ends and starts of its tasks would fill the log.
pub const CAP_LEFT_AFTER: Duration = Duration::from_secs(5);
