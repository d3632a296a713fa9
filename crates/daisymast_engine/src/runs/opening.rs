//! Opens due runs, adopts runs found in the ledger, and closes runs that are finished or whose job
//! is retired.

use daisymast_ledger::entry::{Entry, Origin};
use daisymast_ledger::keys;
use daisymast_membership::view::SUSPECT_AFTER;
use daisymast_protocol::peer::PeerRequest;
use daisymast_runs::due;
use daisymast_runs::job::Job;
use daisymast_runs::lease;
use daisymast_runs::run::Run;
use daisymast_runs::task::Phase;
use daisymast_types::ids::{Partition, RunKey};

use crate::outbox;
use crate::partitions::LedgerPartitions;
use crate::runs::ledger_writes::LedgerWrite;
use crate::runs::{PEER_TIMEOUT, PendingCall, Runs};
use crate::shared::Context;

/// Minimum time from the opening of a gang job's run to the deletion of its record. Within this
/// time a rollback to an earlier declaration does not run that declaration again.
const GANG_RECORD_RETENTION_MS: u64 = 24 * 3_600_000;

impl Runs {
    /// Adopts the open runs of a partition that this instance has just acquired.
    pub(crate) fn adopt_partition(
        &mut self,
        cx: &Context<'_>,
        partitions: &LedgerPartitions,
        partition: Partition,
    ) {
        let manifest = cx.shared.manifest.as_ref();
        for (key, record) in partitions.runs(partition).into_iter().flatten() {
            if !record.closed {
                let job = manifest.and_then(|manifest| Job::for_run(manifest, &record.opened));
                let run = Run::adopt(record, job, cx.now.mono);
                self.runs.insert(*key, run);
            }
        }
    }

    /// Starts tracking the open runs that this instance recorded in the ledger, and deletes the
    /// record of a gang job's closed run when its declaration is no longer in force and the
    /// retention time is over. `refresh` looks up the jobs of all runs again, because the manifest
    /// changed.
    pub(crate) fn adopt_recorded(
        &mut self,
        cx: &mut Context<'_>,
        partitions: &mut LedgerPartitions,
        refresh: bool,
    ) {
        let manifest = cx.shared.manifest.clone();
        let mut superseded = Vec::new();
        for partition in self.owned.keys() {
            for (key, record) in partitions.runs(*partition).into_iter().flatten() {
                if !record.closed {
                    self.opening.remove(key);
                    let job = || Job::for_run(manifest.as_ref()?, &record.opened);
                    match self.runs.get_mut(key) {
                        None => {
                            let run = Run::new(record.opened.clone(), job(), cx.now.mono);
                            self.runs.insert(*key, run);
                        }
                        Some(run) if refresh => run.job = job(),
                        Some(_) => {}
                    }
                } else if let Origin::Declared(opened) = record.opened.origin
                    && cx.now.wall.0.saturating_sub(opened.0) >= GANG_RECORD_RETENTION_MS
                    && record.opened.generation < cx.shared.generation
                    && manifest
                        .as_ref()
                        .is_some_and(|manifest| Job::for_run(manifest, &record.opened).is_none())
                {
                    superseded.push(*key);
                }
            }
        }
        for run in superseded {
            partitions.delete_run(run);
        }
    }

    /// Records the opening of runs that are due and not yet in the ledger.
    pub(crate) fn open_due(&mut self, cx: &mut Context<'_>, partitions: &mut LedgerPartitions) {
        let Some(manifest) = cx.shared.manifest.clone() else {
            return;
        };
        if cx.shared.draining {
            return;
        }
        for opened in due::due_runs(&manifest, cx.shared.generation, cx.now.wall) {
            let key = opened.run;
            let partition = keys::partition_of_run(key);
            let known = partitions
                .runs(partition)
                .is_none_or(|runs| runs.contains_key(&key));
            if known || !self.owned.contains_key(&partition) || !self.opening.insert(key) {
                continue;
            }
            let ticket = partitions.record(cx, key, vec![Entry::RunOpened(opened)]);
            self.ledger_writes.insert(ticket, LedgerWrite::Open(key));
        }
    }

    /// Closes runs that are finished or whose job is retired, and stops the tasks of the latter. A
    /// job counts as retired only under a manifest at least as new as the one that opened the run.
    pub(crate) fn close_finished(
        &mut self,
        cx: &mut Context<'_>,
        partitions: &mut LedgerPartitions,
    ) {
        let has_manifest = cx.shared.manifest.is_some();
        let generation = cx.shared.generation;
        let closing = &self.closing;
        let finished: Vec<(RunKey, bool)> = self
            .runs
            .iter()
            .filter(|(key, _)| !closing.contains(*key))
            .filter_map(|(key, run)| {
                let known = has_manifest && generation >= run.opened.generation;
                let retired = known && run.job.is_none();
                (retired || run.is_closable(cx.now.wall)).then_some((*key, retired))
            })
            .collect();
        for (key, retired) in finished {
            if retired {
                self.stop_tasks(cx, key);
                self.release_reservations(cx, key);
            }
            self.closing.insert(key);
            let ticket = partitions.record(cx, key, vec![Entry::RunClosed { run: key }]);
            let write = LedgerWrite::Close { run: key, retired };
            self.ledger_writes.insert(ticket, write);
        }
    }

    /// Asks the holders to stop the tasks of a run whose job is retired. A lost stop is not
    /// retried: the run is no longer polled, and holders stop tasks that the manifest does not
    /// declare.
    fn stop_tasks(&mut self, cx: &mut Context<'_>, key: RunKey) {
        let Some(run) = self.runs.get(&key) else {
            return;
        };
        let running = run
            .tasks()
            .filter(|(_, task)| matches!(task.phase, Phase::Active { .. } | Phase::Starting));
        for (index, task) in running {
            let Some(worker) = task.worker.clone() else {
                continue;
            };
            if let Some(holder) = cx.shared.view.holder(cx.now.mono, &worker) {
                let task = run.key(index);
                let request = PeerRequest::Stop { worker, task };
                let pending = outbox::PendingCall::Runs(PendingCall::Ignore);
                cx.outbox
                    .call_peer(cx.shared, pending, &holder, request, PEER_TIMEOUT);
            }
        }
    }

    /// Tracks since when all other known instances have been live without interruption. A pause of
    /// this process counts as an interruption, because heartbeats may have been missed in that
    /// time.
    pub(crate) fn track_liveness(&mut self, cx: &Context<'_>) {
        let now = cx.now.mono;
        let paused = now - self.last_tick >= SUSPECT_AFTER;
        self.last_tick = now;
        let mut known = cx.shared.instances.keys();
        if paused || !known.all(|instance| cx.shared.view.is_live(now, instance)) {
            self.all_live_since = now;
        }
    }

    /// Gives up attempts whose leases have certainly expired, so that their tasks can be restarted.
    pub(crate) fn expire_attempts(&mut self, cx: &mut Context<'_>) {
        let now = cx.now.mono;
        let all_live = now - self.all_live_since >= lease::ATTEMPT_LEASE;
        let expired: Vec<_> = self
            .active_runs()
            .flat_map(|run| run.expire(now, all_live))
            .collect();
        for key in expired {
            let detail = "no contact until its lease expired".to_owned();
            cx.outbox.record("task.expired", &key.to_string(), detail);
        }
    }
}
