//! Messages between instances.

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
    /// Tells that the sender is alive. Answered by the receiver's own heartbeat.
    Heartbeat(Heartbeat),
    /// Asks for the manifest if the receiver has a generation above `above`.
    FetchManifest {
        /// Generation that the sender has.
        above: Generation,
    },
    /// Claims a non-idempotent request at the owner of its partition.
    Claim {
        /// Request to claim.
        id: RequestId,
        /// [`daisymast_types::hashing::digest`] of service and body, as 32 hexadecimal digits.
        digest: String,
        /// Instance that will run the request if the claim is acknowledged.
        by: InstanceId,
    },
    /// Records how a claimed request ended.
    Settle {
        /// Claimed request.
        id: RequestId,
        /// How it ended.
        result: Settlement,
    },
    /// Asks the owner what is recorded of a request.
    ClaimStatus {
        /// Request in question.
        id: RequestId,
    },
    /// Asks for the endpoints of a service that the receiver can reach as holder.
    Endpoints {
        /// Service in question.
        service: JobName,
    },
    /// Hands a request to the holder of a worker, which sends it to a replica there.
    Serve {
        /// Worker with the replica.
        worker: WorkerId,
        /// Start of the worker's process, from its endpoint. The holder refuses the request with
        /// `StaleLease` if its lease is of another start.
        boot: BootId,
        /// The request.
        request: CallerRequest,
    },
    /// Hands a whole request to an instance of another zone.
    Forward {
        /// The request, with the remaining time as its timeout.
        request: CallerRequest,
        /// Whether the sender's claim of the request was acknowledged. The receiver then runs the
        /// request under that claim and settles it.
        claimed: bool,
    },
    /// Asks the holder what became of a request on a worker.
    Resolve {
        /// Worker in question.
        worker: WorkerId,
        /// Start of the worker's process that got the request. A worker that restarted since does
        /// not remember what ran, so the holder then answers `Uncertain`, never `NeverRan`.
        boot: BootId,
        /// Request in question.
        id: RequestId,
    },
    /// Asks the holder of any workers to place and start a task attempt.
    Start {
        /// Worker to use.
        worker: WorkerId,
        /// Task to start.
        task: TaskSpec,
    },
    /// Asks for the free capacity of the workers that the receiver holds.
    Capacity,
    /// Asks which replicas of services run on the workers that the receiver holds.
    Replicas {
        /// Runs of the services.
        runs: Vec<RunKey>,
    },
    /// Extends runs at the receiver and asks for the states of their tasks there.
    PollRuns {
        /// Partition of the runs.
        partition: Partition,
        /// Epoch of the sender's ownership; a lower one than seen before is refused.
        epoch: Epoch,
        /// Runs to extend.
        runs: Vec<RunKey>,
        /// Ended tasks whose results are recorded and may be dropped.
        recorded: Vec<TaskKey>,
    },
    /// Asks the holder to stop a task.
    Stop {
        /// Worker of the task.
        worker: WorkerId,
        /// Task to stop.
        task: TaskKey,
    },
    /// Asks the holder what became of a task attempt.
    ResolveTask {
        /// Worker in question.
        worker: WorkerId,
        /// Attempt in question.
        task: TaskKey,
    },
    /// Reserves capacity for a gang job until the reservation expires or is used.
    Reserve {
        /// Worker to reserve on.
        worker: WorkerId,
        /// Run that the reservation is for.
        run: RunKey,
        /// Capacity to reserve.
        size: Resources,
    },
    /// Gives a reservation back.
    Unreserve {
        /// Worker of the reservation.
        worker: WorkerId,
        /// Run of the reservation.
        run: RunKey,
    },
    /// Asks the holder to stop tasks on a worker until a task fits, and to reserve that room.
    Reclaim {
        /// Worker to make room on.
        worker: WorkerId,
        /// Run that the room is for.
        run: RunKey,
        /// Room that is needed.
        size: Resources,
        /// Urgencies of the tasks that may be stopped.
        classes: Vec<Urgency>,
    },
    /// Asks the holder to release a worker whose preferred holder is the sender.
    HandOver {
        /// Worker in question.
        worker: WorkerId,
    },
}

/// What an instance tells of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender.
    pub instance: InstanceId,
    /// Start of the sender's process.
    pub boot: BootId,
    /// Sender's availability zone.
    pub zone: Zone,
    /// Address of the sender's listener for instances.
    pub address: String,
    /// Generation in force at the sender.
    pub generation: Generation,
    /// Whether the sender is draining.
    pub draining: bool,
    /// Measured capacity, relative to other instances.
    pub weight: u32,
    /// Ledger partitions that the sender owns.
    pub partitions: Vec<(Partition, Epoch)>,
    /// Workers that the sender holds.
    pub workers: Vec<WorkerId>,
}

/// How a claimed request ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Settlement {
    /// It was answered.
    Answered(Answer),
    /// It surely did not run and will not run.
    NotRun(NotRunReason),
}

/// What the ledger holds of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimState {
    /// Nothing.
    Absent,
    /// Claimed, not settled.
    Claimed {
        /// Instance that was to run it.
        by: InstanceId,
        /// Digest of service and body.
        digest: String,
    },
    /// Settled. The answer's body is kept in the owner's memory only.
    Answered {
        /// Digest of service and body.
        digest: String,
        /// The answer, if the owner still has it.
        answer: Option<Answer>,
    },
    /// Settled as not run.
    NotRun {
        /// Digest of service and body.
        digest: String,
        /// Why it was not run.
        reason: NotRunReason,
    },
}

/// Free capacity of one worker, from its holder.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerCapacity {
    /// The worker.
    pub worker: WorkerId,
    /// What it can hold.
    pub capacity: Resources,
    /// What is free of running tasks and reservations.
    pub free: Resources,
    /// Whether it may get new work.
    pub open: bool,
    /// What the tasks of batches and gang jobs use there, by team. Teams without a task are left out.
    #[serde(default)]
    pub teams: Vec<(Team, Resources)>,
    /// What all tasks use there, by urgency. Urgencies without a task are left out.
    #[serde(default)]
    pub classes: Vec<(Urgency, Resources)>,
}

/// The replicas of some services on the workers that one instance holds.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Replicas {
    /// Workers that the instance holds. A replica on any other worker is not listed.
    pub held: Vec<WorkerId>,
    /// Held workers that are leaving; their replicas need replacement.
    pub leaving: Vec<WorkerId>,
    /// Replicas that run or whose start is under way.
    pub replicas: Vec<(WorkerId, TaskKey)>,
}

/// A service replica that takes requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Endpoint {
    /// Worker of the replica.
    pub worker: WorkerId,
    /// Start of the worker's process.
    pub boot: BootId,
    /// Free request slots of the worker.
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
        /// Generation of the body.
        generation: Generation,
        /// Manifest as JSON text; nothing if the receiver has none above the asked generation.
        body: Option<String>,
    },
    /// The claim is durable and new.
    Claimed,
    /// The ledger holds a claim of this id already, or was asked for its state.
    ClaimState(ClaimState),
    /// The receiver does not own the partition.
    NotOwner {
        /// Owner as far as the receiver knows.
        owner: Option<InstanceId>,
    },
    /// The ledger could not be written; the claim surely took no effect.
    LedgerUnavailable,
    /// Answers `Endpoints`.
    Endpoints(Vec<Endpoint>),
    /// Answers `Serve`: the replica's answer.
    Served(Answer),
    /// Answers `Serve` or `Start`: refused, nothing took effect.
    Refused(Refusal),
    /// Answers `Serve`, `Start` or `Resolve`: the outcome at the worker is unknown. Answers `Claim`
    /// or `Settle`: the entry may or may not be recorded.
    Uncertain,
    /// Answers `Forward`.
    Forwarded(CallerReply),
    /// Answers `Resolve` and `ResolveTask`.
    Fate(Fate),
    /// The receiver does not hold the worker; nothing took effect.
    NotHolder {
        /// Holder as far as the receiver knows.
        holder: Option<InstanceId>,
    },
    /// Answers `Capacity`.
    Capacity(Vec<WorkerCapacity>),
    /// Answers `Replicas`.
    Replicas(Replicas),
    /// Answers `PollRuns`: each task of the runs with its worker.
    Runs(Vec<(WorkerId, TaskReport)>),
    /// The epoch is lower than one that the receiver has seen.
    StaleEpoch,
    /// The request took effect.
    Ok,
}
