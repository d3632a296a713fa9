//! Scheduling decisions, as they are written to the structured log.

use daisymast_jobs::spec;
use daisymast_organisations::organisation;
use daisymast_types::ids;
use daisymast_types::quantities;
use serde::{Serialize, Serializer};

use crate::locality;
use crate::report;

/// Why a run is being stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum StopReason {
    /// The job was cancelled or has failed.
    JobEnded,
    /// Another member of its gang was lost.
    GangBroken,
    /// The run made no progress within the hang timeout.
    Hung,
    /// The start request got no answer, so it is unknown whether the run exists.
    StartUnknown,
    /// The worker reports a run that the scheduler does not expect there.
    Stray,
}

/// A decision about a job, or a change in the scheduler's view of a worker.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Decision {
    /// A job was submitted. It counts as accepted once its record is stored.
    Submitted {
        /// Job ID.
        #[serde(serialize_with = "text")]
        job: spec::JobId,
        /// Queue of the job.
        queue: ids::QueueName,
        /// Version of the configuration that the time objective comes from.
        version: u64,
        /// Time objective, counted from acceptance, in milliseconds.
        allowance_ms: u64,
        /// Whether the job came beyond the rate of its organisation.
        #[serde(skip_serializing_if = "std::ops::Not::not")]
        over_rate: bool,
    },
    /// Tasks of a step were assigned to workers.
    Placed {
        /// Job ID.
        #[serde(serialize_with = "text")]
        job: spec::JobId,
        /// Position of the step in the job.
        step: u16,
        /// Run number that all tasks of this placement share.
        run: u32,
        /// Number of tasks that were placed.
        tasks: usize,
        /// Number of tasks of the step that still wait for a worker.
        waiting: usize,
        /// Time left until the latest start that still meets the time objective, in milliseconds;
        /// negative if that time has passed.
        slack_ms: i64,
        /// Worker of the first placed task.
        worker: ids::WorkerId,
    },
    /// Tasks of a step wait for near places instead of starting far away.
    PlaceWaitOpened {
        /// Job ID.
        #[serde(serialize_with = "text")]
        job: spec::JobId,
        /// Position of the step in the job.
        step: u16,
        /// Rack with the places.
        rack: ids::WorkerLabel,
        /// Number of tasks that wait.
        tasks: u32,
        /// Expected time until the last of them has a place, in milliseconds.
        expected_ms: u64,
        /// Time that a near place saves a task, in milliseconds.
        saving_ms: u64,
        /// Time after which the tasks start far away, in milliseconds.
        limit_ms: u64,
    },
    /// The wait of a step for near places ended.
    PlaceWaitClosed {
        /// Job ID.
        #[serde(serialize_with = "text")]
        job: spec::JobId,
        /// Position of the step in the job.
        step: u16,
        /// Rack with the places.
        rack: ids::WorkerLabel,
        /// What came of the wait.
        outcome: locality::Outcome,
        /// Duration of the wait, in milliseconds.
        waited_ms: u64,
    },
    /// A run ended without completing its task.
    Ended {
        /// Job ID.
        #[serde(serialize_with = "text")]
        job: spec::JobId,
        /// Position of the step in the job.
        step: u16,
        /// Position of the task in the step.
        task: u32,
        /// Run number.
        run: u32,
        /// Worker that ran the task.
        worker: ids::WorkerId,
        /// How the run ended.
        end: report::End,
        /// Time since placement, in milliseconds.
        after_ms: u64,
    },
    /// A run is being stopped.
    Stopping {
        /// Job ID.
        #[serde(serialize_with = "text")]
        job: spec::JobId,
        /// Position of the step in the job.
        step: u16,
        /// Position of the task in the step.
        task: u32,
        /// Run number.
        run: u32,
        /// Worker that runs the task.
        worker: ids::WorkerId,
        /// Why the run is being stopped.
        reason: StopReason,
        /// Number of other runs of the step that are stopped together with this one.
        others: usize,
    },
    /// A job reached a final state.
    Finished {
        /// Job ID.
        #[serde(serialize_with = "text")]
        job: spec::JobId,
        /// Final state: `completed`, `failed` or `cancelled`.
        state: &'static str,
        /// Time since acceptance, in milliseconds.
        after_ms: u64,
    },
    /// A worker did not answer a poll or an order.
    WorkerSuspected {
        /// Worker ID.
        worker: ids::WorkerId,
        /// Number of runs assigned to the worker.
        runs: usize,
    },
    /// A worker answered for the first time in this term, or again after it was suspected.
    WorkerKnown {
        /// Worker ID.
        worker: ids::WorkerId,
        /// Number of runs that the worker reports.
        runs: usize,
        /// Whether the worker process was restarted since its last report, or reports for the first
        /// time.
        reborn: bool,
        /// Number of processes seen under the worker's ID.
        incarnation: u32,
        /// Fencing token of the poll that the worker answered.
        fence: u64,
        /// Time since the last call that extended the lease, in milliseconds.
        last_call_ms: u64,
    },
    /// A start got no answer, so it may have taken effect, or may do so later.
    StartUnanswered {
        /// Job ID.
        #[serde(serialize_with = "text")]
        job: spec::JobId,
        /// Position of the step in the job.
        step: u16,
        /// Position of the task in the step.
        task: u32,
        /// Run number.
        run: u32,
        /// Worker that the start was sent to.
        worker: ids::WorkerId,
        /// Process of the worker that the start was meant for.
        incarnation: u32,
        /// How often the start was sent.
        sends: u8,
    },
    /// The clock reading in an answer shows that another process has started under the worker's ID.
    WorkerRestarted {
        /// Worker ID.
        worker: ids::WorkerId,
        /// Reading of the new process's clock, in milliseconds.
        clock_ms: u64,
    },
    /// The lease of a worker has expired with certainty; its tasks are queued again.
    LeaseExpired {
        /// Worker ID.
        worker: ids::WorkerId,
        /// Number of runs that are written off.
        runs: usize,
        /// Number of processes seen under the worker's ID.
        incarnation: u32,
        /// Time since the last call that extended the lease, in milliseconds.
        last_call_ms: u64,
        /// Time since the last answer of the known process, in milliseconds; `None` if there was none.
        last_answer_ms: Option<u64>,
    },
    /// A worker is excluded from placement for a while.
    Quarantined {
        /// Worker ID.
        worker: ids::WorkerId,
        /// Number of consecutive failures.
        strikes: u32,
    },
    /// An organisation has reached its cap, so that steps of it wait, or none has waited for it for a
    /// while.
    Cap {
        /// The organisation.
        organisation: ids::Organisation,
        /// Whether the cap was reached, and not left.
        reached: bool,
        /// What its tasks occupy on all workers.
        usage: quantities::Resources,
        /// The cap.
        cap: organisation::Cap,
    },
}

impl Decision {
    /// Returns the name of the event about an organisation, as it is counted; `None` for all others.
    pub fn organisation_event(&self) -> Option<&'static str> {
        match self {
            Self::Cap { reached: true, .. } => Some("cap_reached"),
            Self::Cap { reached: false, .. } => Some("cap_left"),
            Self::Submitted {
                over_rate: true, ..
            } => Some("over_rate"),
            _ => None,
        }
    }
}

fn text<S: Serializer>(job: &spec::JobId, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.collect_str(job)
}
