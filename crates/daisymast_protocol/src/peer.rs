//! Messages between instances, encoded as MessagePack.

use daisymast_types::ids::{
    BootId, Epoch, Generation, InstanceId, JobName, Partition, RequestId, RunKey, TaskKey, Team,
    WorkerId, Zone,
};
use daisymast_types::quantities::{Resources, Urgency};
use serde::{Deserialize, Serialize};

use crate::caller::{CallerReply, CallerRequest, NotRunReason};
use crate::task::{TaskReport, TaskSpec};
use crate::worker::{Answer, Fate, Refusal};

/// A request from one instance to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Reports that the sender is alive. The receiver answers with its own heartbeat.
    Heartbeat(Heartbeat),
    /// Fetches the manifest if the generation at the receiver is higher than `above`.
    FetchManifest {
        /// Generation at the sender.
        above: Generation,
    },
    /// Records a claim of a non-idempotent request, at the owner of its ledger partition.
    Claim {
        /// ID of the request to claim.
        id: RequestId,
        /// [`daisymast_types::hashing::digest`] of service and body, as 32 hexadecimal digits.
        digest: String,
        /// Instance that runs the request once the claim is acknowledged.
        by: InstanceId,
    },
    /// Records the result of a claimed request.
    Settle {
        /// ID of the claimed request.
        id: RequestId,
        /// Result of the request.
        result: Settlement,
    },
    /// Reads what the owner of the partition has recorded about a request.
    ClaimStatus {
        /// ID of the request.
        id: RequestId,
    },
    /// Lists the endpoints of a service on the workers that the receiver holds.
    Endpoints {
        /// Name of the service.
        service: JobName,
    },
    /// Sends a request to the holder of a worker, which passes it to a replica on that worker.
    Serve {
        /// Worker that runs the replica.
        worker: WorkerId,
        /// Boot ID of the worker process, taken from the endpoint. The holder refuses the request
        /// with `StaleLease` if its own lease was granted by another boot.
        boot: BootId,
        /// The request.
        request: CallerRequest,
    },
    /// Forwards a request to an instance of another availability zone.
    Forward {
        /// The request. Its timeout is the remaining time.
        request: CallerRequest,
        /// Whether the claim of the sender was acknowledged. If so, the receiver runs the request
        /// under that claim and settles it.
        claimed: bool,
    },
    /// Asks the holder of a worker for the outcome of a request there.
    Resolve {
        /// Worker to which the request was sent.
        worker: WorkerId,
        /// Boot ID of the worker process that received the request. After a restart the worker no
        /// longer knows what ran, so the holder then answers `Uncertain`, never `NeverRan`.
        boot: BootId,
        /// ID of the request.
        id: RequestId,
    },
    /// Asks the holder of a worker to start a task attempt there.
    Start {
        /// Worker on which the task is to run.
        worker: WorkerId,
        /// Task to start.
        task: TaskSpec,
    },
    /// Reads the capacity of the workers that the receiver holds.
    Capacity,
    /// Lists the service replicas on the workers that the receiver holds.
    Replicas {
        /// Runs of the services to list.
        runs: Vec<RunKey>,
    },
    /// Extends the task leases of runs on the workers that the receiver holds, and reads the states
    /// of their tasks.
    PollRuns {
        /// Ledger partition of the runs.
        partition: Partition,
        /// Epoch under which the sender owns the partition. The receiver refuses an epoch lower
        /// than one it has seen.
        epoch: Epoch,
        /// Runs to extend.
        runs: Vec<RunKey>,
        /// Ended tasks whose results are recorded; their reports may be dropped.
        recorded: Vec<TaskKey>,
    },
    /// Asks the holder of a worker to stop a task there.
    Stop {
        /// Worker that runs the task.
        worker: WorkerId,
        /// Task to stop.
        task: TaskKey,
    },
    /// Asks the holder of a worker for the outcome of a task attempt there.
    ResolveTask {
        /// Worker to which the start was sent.
        worker: WorkerId,
        /// Task attempt.
        task: TaskKey,
    },
    /// Reserves capacity for a gang job until the reservation expires or is used.
    Reserve {
        /// Worker on which to reserve.
        worker: WorkerId,
        /// Run for which the capacity is reserved.
        run: RunKey,
        /// Capacity to reserve.
        size: Resources,
    },
    /// Cancels a reservation.
    Unreserve {
        /// Worker on which the capacity is reserved.
        worker: WorkerId,
        /// Run of the reservation.
        run: RunKey,
    },
    /// Asks the holder of a worker to stop tasks there until the given capacity is free, and to
    /// reserve it.
    Reclaim {
        /// Worker on which to free capacity.
        worker: WorkerId,
        /// Run for which the capacity is reserved.
        run: RunKey,
        /// Required capacity.
        size: Resources,
        /// Urgency classes of the tasks that may be stopped.
        classes: Vec<Urgency>,
    },
    /// Asks the holder to release the control lease of a worker whose preferred holder is the
    /// sender.
    HandOver {
        /// Worker to release.
        worker: WorkerId,
    },
}

/// State that an instance reports about itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Instance ID of the sender.
    pub instance: InstanceId,
    /// Boot ID of the sender's process.
    pub boot: BootId,
    /// Availability zone of the sender.
    pub zone: Zone,
    /// Address at which the sender accepts messages of other instances.
    pub address: String,
    /// Generation of the manifest in force at the sender.
    pub generation: Generation,
    /// Whether the sender is draining.
    pub draining: bool,
    /// Measured capacity of the sender, relative to other instances.
    pub weight: u32,
    /// Ledger partitions that the sender owns, with the epoch of its ownership.
    pub partitions: Vec<(Partition, Epoch)>,
    /// Workers whose control lease the sender holds.
    pub workers: Vec<WorkerId>,
}

/// Result of a claimed request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Settlement {
    /// The request was answered.
    Answered(Answer),
    /// The request definitely did not run and will not run.
    NotRun(NotRunReason),
}

/// State of a request in the ledger.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimState {
    /// The ledger has no record of the request.
    Absent,
    /// The request is claimed and not settled.
    Claimed {
        /// Instance that claimed the request in order to run it.
        by: InstanceId,
        /// Digest of service and body.
        digest: String,
    },
    /// The request is settled as answered. The body of the answer is kept only in the memory of the
    /// partition owner.
    Answered {
        /// Digest of service and body.
        digest: String,
        /// The answer; `None` if the owner no longer has it.
        answer: Option<Answer>,
    },
    /// The request is settled as not run.
    NotRun {
        /// Digest of service and body.
        digest: String,
        /// Reason why the request did not run.
        reason: NotRunReason,
    },
}

/// Capacity of one worker, as its holder reports it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerCapacity {
    /// Worker ID.
    pub worker: WorkerId,
    /// Total capacity for tasks.
    pub capacity: Resources,
    /// Capacity that is neither used by running tasks nor reserved.
    pub free: Resources,
    /// Whether the worker accepts new tasks.
    pub open: bool,
    /// Capacity used by tasks of batch and gang jobs, by team. Teams without such tasks are
    /// omitted.
    #[serde(default)]
    pub teams: Vec<(Team, Resources)>,
    /// Capacity used by all tasks, by urgency class. Classes without tasks are omitted.
    #[serde(default)]
    pub classes: Vec<(Urgency, Resources)>,
}

/// Replicas of the requested services on the workers that one instance holds.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Replicas {
    /// Workers that the instance holds. Replicas on other workers are not listed.
    pub held: Vec<WorkerId>,
    /// Held workers that are leaving. Their replicas must be replaced.
    pub leaving: Vec<WorkerId>,
    /// Replicas that are running or starting, with their workers.
    pub replicas: Vec<(WorkerId, TaskKey)>,
}

/// A service replica that takes requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Endpoint {
    /// Worker that runs the replica.
    pub worker: WorkerId,
    /// Boot ID of the worker process.
    pub boot: BootId,
    /// Number of free request slots of the worker.
    pub free_slots: u32,
    /// Smoothed service time in microseconds.
    pub service_us: u64,
}

/// A reply to a [`PeerRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerReply {
    /// Answers `Heartbeat`.
    Heartbeat(Heartbeat),
    /// Answers `FetchManifest`.
    Manifest {
        /// Generation of the manifest at the receiver.
        generation: Generation,
        /// Manifest as JSON text; `None` if the receiver has no generation above the requested one.
        body: Option<String>,
    },
    /// Answers `Claim`: the claim is new and durably recorded.
    Claimed,
    /// Answers `ClaimStatus`. Also answers `Claim` if the ledger already has a claim of this ID.
    ClaimState(ClaimState),
    /// The receiver does not own the partition.
    NotOwner {
        /// Owner according to the receiver; `None` if it knows none.
        owner: Option<InstanceId>,
    },
    /// The ledger could not be written; the claim definitely took no effect.
    LedgerUnavailable,
    /// Answers `Endpoints`.
    Endpoints(Vec<Endpoint>),
    /// Answers `Serve` with the answer of the replica.
    Served(Answer),
    /// Answers `Serve` or `Start`: the worker refused it, and it took no effect.
    Refused(Refusal),
    /// Answers `Serve`, `Start` or `Resolve`: the outcome at the worker is unknown. Answers `Claim`
    /// or `Settle`: the ledger entry may or may not have been recorded.
    Uncertain,
    /// Answers `Forward`.
    Forwarded(CallerReply),
    /// Answers `Resolve` and `ResolveTask`.
    Fate(Fate),
    /// The receiver does not hold the worker; nothing took effect.
    NotHolder {
        /// Holder according to the receiver; `None` if it knows none.
        holder: Option<InstanceId>,
    },
    /// Answers `Capacity`.
    Capacity(Vec<WorkerCapacity>),
    /// Answers `Replicas`.
    Replicas(Replicas),
    /// Answers `PollRuns` with each task of the runs and its worker.
    Runs(Vec<(WorkerId, TaskReport)>),
    /// The epoch of the request is lower than one that the receiver has seen.
    StaleEpoch,
    /// The request took effect.
    Ok,
}
