//! What a test reads from a running cell: statuses, timeline and worker logs.

use std::collections::BTreeMap;

use daisymast_protocol::operator::{OperatorReply, OperatorRequest, Status};
use daisymast_protocol::timeline::TimelineEvent;

use super::{Cell, STATUS_TIMEOUT};
use crate::checks::{self, WorkerLog};
use crate::load::RequestRecord;

impl Cell {
    /// Statuses by name of the instances that answer within 1 s.
    pub async fn statuses(&self) -> BTreeMap<String, Status> {
        let mut statuses = BTreeMap::new();
        for (name, instance) in &self.instances {
            let request = OperatorRequest::Status;
            let reply = self
                .clients
                .operator(instance.operators, &request, STATUS_TIMEOUT)
                .await;
            if let Some(OperatorReply::Status(status)) = reply.done() {
                statuses.insert(name.clone(), status);
            }
        }
        statuses
    }

    /// Timeline events of all instances, ordered by wall-clock time. Instances that do not answer
    /// within 1 s are left out.
    pub async fn timeline(&self) -> Vec<TimelineEvent> {
        let mut all = Vec::new();
        for instance in self.instances.values() {
            let request = OperatorRequest::Timeline { after: 0 };
            let reply = self
                .clients
                .operator(instance.operators, &request, STATUS_TIMEOUT)
                .await;
            if let Some(OperatorReply::Timeline { events }) = reply.done() {
                all.extend(events.into_iter().map(|(_, event)| event));
            }
        }
        all.sort_by_key(|event| event.at);
        all
    }

    /// Fetches the logs of all workers, always in the same order.
    pub async fn logs(&self) -> Vec<WorkerLog> {
        let mut logs = Vec::new();
        for group in &self.worker_groups {
            for worker in &group.workers {
                logs.push(WorkerLog {
                    worker: worker.worker.clone(),
                    started: group.process.started,
                    log: self.clients.log(worker.address).await,
                });
            }
        }
        logs
    }

    /// Checks the worker logs and `records` against the rules of the fault matrix.
    ///
    /// # Panics
    /// A rule is violated. The message lists the violations and the last 60 timeline events.
    pub async fn assert_no_violations(&self, records: &[RequestRecord]) {
        let violations = checks::violations(self.started_at, &self.logs().await, records);
        if violations.is_empty() {
            return;
        }
        let violations: Vec<String> = violations.iter().map(ToString::to_string).collect();
        let timeline = self.timeline().await;
        let last = &timeline[timeline.len().saturating_sub(60)..];
        let last: Vec<String> = last.iter().map(|event| format!("{event:?}")).collect();
        panic!("{}\ntimeline:\n{}", violations.join("\n"), last.join("\n"));
    }
}

/// Number of running tasks of a job, summed over the statuses of all instances.
pub fn running_tasks(statuses: &BTreeMap<String, Status>, job: &str) -> u32 {
    let all = statuses.values().flat_map(|status| &status.running);
    let own = all.filter(|(name, _)| name.as_str() == job);
    own.map(|(_, tasks)| tasks).sum()
}
