//! Checks worker logs and callers' records against the rules of the fault matrix.

use std::time::{Duration, Instant};

use daisymast_matrix::checkers::{self, Bounds, Violation};
use daisymast_matrix::trace::{Seen, Trace};
use daisymast_protocol::task::{Kind, TaskSpec};
use daisymast_protocol::worker::Refusal;
use daisymast_types::ids::{Epoch, InstanceId, WorkerId};
use daisymast_types::quantities::Urgency;
use daisymast_types::time::Monotonic;
use daisymast_worker::daemon::LogReply;
use daisymast_worker::model::{LogEntry, LogEvent};
use daisymast_worker::settings::ModelSettings;

use crate::load::{ExchangeEnd, RequestRecord};

/// Log of one worker, with the time at which its clock started.
#[derive(Clone, Debug)]
pub struct WorkerLog {
    /// Worker that wrote the log.
    pub worker: WorkerId,
    /// Time just after the worker's clock started. Log entries are therefore dated slightly too
    /// late, never before the message that caused them. Otherwise, a request that a draining
    /// instance refused and the balancer retried within milliseconds could appear to start before
    /// the refusal.
    pub started: Instant,
    /// Entries, with times relative to the worker's clock.
    pub log: LogReply,
}

impl WorkerLog {
    /// Entries for started tasks and requests, without the first `skip` log entries.
    pub fn start_entries(&self, skip: usize) -> impl Iterator<Item = &LogEntry> {
        self.log.entries.iter().skip(skip).filter(|entry| {
            matches!(
                entry.event,
                LogEvent::TaskStarted { .. } | LogEvent::RequestStarted { .. }
            )
        })
    }

    /// Epochs of the work that was refused for the `expected` reason, without the first `skip` log
    /// entries.
    pub fn refused_epochs(&self, skip: usize, expected: Refusal) -> Vec<Epoch> {
        let entries = self.log.entries.iter().skip(skip);
        let refused = entries.filter_map(|entry| match &entry.event {
            LogEvent::WorkRefused { epoch, reason } if *reason == expected => Some(*epoch),
            _ => None,
        });
        refused.collect()
    }

    /// Instance that was last granted the worker's control lease; `None` if there was none.
    pub fn lease_holder(&self) -> Option<&InstanceId> {
        let entries = self.log.entries.iter().rev();
        entries
            .filter_map(|entry| match &entry.event {
                LogEvent::Granted { holder, .. } => Some(holder),
                _ => None,
            })
            .next()
    }
}

/// Violations of the rules on capacity, exclusive tasks, answers and repeated execution. Times are
/// relative to `trace_start`.
///
/// # Panics
/// A worker dropped log entries, so its log is incomplete.
pub fn violations(
    trace_start: Instant,
    logs: &[WorkerLog],
    records: &[RequestRecord],
) -> Vec<Violation> {
    let mut events = Vec::new();
    // Worker logs are added first, so that a start precedes an answer at the same time.
    for log in logs {
        assert_eq!(log.log.dropped, 0, "{} dropped log entries", log.worker);
        add_worker_log(&mut events, trace_start, log);
    }
    for record in records {
        add_request(&mut events, trace_start, record);
    }
    // The trace has a resolution of a millisecond, in which a balancer can retry a refused request
    // at another instance. The checkers keep the order of events within a millisecond, so the
    // events are ordered by their exact times first.
    events.sort_by_key(|(at, _)| *at);
    let mut trace = Trace::default();
    for (at, seen) in events {
        trace.push(millis(at), seen);
    }
    checkers::check(&trace, &Bounds::default())
}

/// Events with their exact times since the start of the trace.
type Events = Vec<(Duration, Seen)>;

fn millis(at: Duration) -> u64 {
    u64::try_from(at.as_millis()).unwrap_or(u64::MAX)
}

fn add_worker_log(events: &mut Events, trace_start: Instant, log: &WorkerLog) {
    let worker = &log.worker;
    let joined = Seen::WorkerJoined {
        worker: worker.clone(),
        capacity: ModelSettings::default().capacity,
    };
    events.push((Duration::ZERO, joined));
    let started = log.started - trace_start;
    for entry in &log.log.entries {
        let worker = worker.clone();
        let seen = match &entry.event {
            LogEvent::TaskStarted {
                task,
                size,
                exclusive,
                ..
            } => Seen::TaskStarted {
                worker,
                // The log has no job name, and the rules do not need one.
                spec: TaskSpec {
                    key: *task,
                    job: "unnamed".into(),
                    team: "unnamed".into(),
                    kind: Kind::Batch,
                    urgency: Urgency::default(),
                    size: *size,
                    exclusive: *exclusive,
                    run_ms: 0,
                },
            },
            LogEvent::TaskEnded { task, state } => Seen::TaskEnded {
                worker,
                key: *task,
                state: *state,
            },
            LogEvent::RequestStarted { id, .. } => Seen::RequestStarted {
                worker,
                id: id.clone(),
            },
            LogEvent::Granted { .. }
            | LogEvent::RequestEnded { .. }
            | LogEvent::WorkRefused { .. } => continue,
        };
        events.push((started + (entry.at - Monotonic::ZERO), seen));
    }
}

fn add_request(events: &mut Events, trace_start: Instant, record: &RequestRecord) {
    let request = &record.request;
    for exchange in &record.exchanges {
        let instance = InstanceId::from(exchange.instance.as_str());
        let sent = Seen::CallerAsked {
            instance: instance.clone(),
            id: request.id.clone(),
            service: request.service.clone(),
            idempotent: request.idempotent,
            body: request.body.clone(),
        };
        events.push((exchange.sent_at - trace_start, sent));
        let id = request.id.clone();
        let seen = match &exchange.end {
            ExchangeEnd::Answered(reply) => Seen::CallerAnswered {
                instance,
                id,
                reply: reply.clone(),
            },
            // If no connection was made, nothing ran, but the caller has no answer either.
            ExchangeEnd::NoValidReply(_) | ExchangeEnd::ConnectFailed(_) => {
                Seen::CallerCutOff { instance, id }
            }
            // Left open, so that the rule of one answer for each request reports a violation.
            ExchangeEnd::TimedOut => continue,
        };
        events.push((exchange.ended_at - trace_start, seen));
    }
}
