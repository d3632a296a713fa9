//! Opens due runs, adopts recorded ones and closes those that are over or retired.

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

use crate::claims::Claims;
use crate::outbox;
use crate::runs::recording::Recording;
use crate::runs::{PEER_TIMEOUT, PendingCall, Runs};
use crate::shared::Context;

/// Least time from the opening of a gang job's run to the deletion of its record. Until then a release
/// that goes back to an earlier declaration does not repeat its run.
const GANG_KEEP_MS: u64 = 24 * 3_600_000;

impl Runs {
    /// Takes over the open runs of a partition whose ownership is new.
    pub(crate) fn adopt_partition(
        &mut self,
        cx: &Context<'_>,
        claims: &Claims,
        partition: Partition,
    ) {
        let manifest = cx.shared.manifest.as_ref();
        for (key, record) in claims.runs(partition).into_iter().flatten() {
            if !record.closed {
                let job = manifest.and_then(|all| Job::of(all, &record.opened));
                let run = Run::adopt(record, job, cx.now.mono);
                self.runs.insert(*key, run);
            }
        }
    }

    /// Follows each open run that was recorded under the own ownership. `refresh` looks up the jobs
    /// of all runs again, because the manifest changed.
    pub(crate) fn adopt_recorded(
        &mut self,
        cx: &mut Context<'_>,
        claims: &mut Claims,
        refresh: bool,
    ) {
        let manifest = cx.shared.manifest.clone();
        let mut superseded = Vec::new();
        for partition in self.owned.keys() {
            for (key, record) in claims.runs(*partition).into_iter().flatten() {
                if !record.closed {
                    self.opening.remove(key);
                    let job = || Job::of(manifest.as_ref()?, &record.opened);
                    match self.runs.get_mut(key) {
                        None => {
                            let run = Run::new(record.opened.clone(), job(), cx.now.mono);
                            self.runs.insert(*key, run);
                        }
                        Some(run) if refresh => run.job = job(),
                        Some(_) => {}
                    }
                } else if let Origin::Declared(opened) = record.opened.origin
                    && cx.now.wall.0.saturating_sub(opened.0) >= GANG_KEEP_MS
                    && record.opened.generation < cx.shared.generation
                    && manifest
                        .as_ref()
                        .is_some_and(|all| Job::of(all, &record.opened).is_none())
                {
                    superseded.push(*key);
                }
            }
        }
        for run in superseded {
            claims.forget_run(run);
        }
    }

    pub(crate) fn open_due(&mut self, cx: &mut Context<'_>, claims: &mut Claims) {
        let Some(manifest) = cx.shared.manifest.clone() else {
            return;
        };
        if cx.shared.draining {
            return;
        }
        for opened in due::due_runs(&manifest, cx.shared.generation, cx.now.wall) {
            let key = opened.run;
            let partition = keys::of_run(key);
            let known = claims
                .runs(partition)
                .is_none_or(|runs| runs.contains_key(&key));
            if known || !self.owned.contains_key(&partition) || !self.opening.insert(key) {
                continue;
            }
            let ticket = claims.record(cx, key, vec![Entry::RunOpened(opened)]);
            self.recordings.insert(ticket, Recording::Open(key));
        }
    }

    /// Closes runs that are complete or whose job is retired, and stops the tasks of the latter.
    pub(crate) fn close_over(&mut self, cx: &mut Context<'_>, claims: &mut Claims) {
        let informed = cx.shared.manifest.is_some();
        let generation = cx.shared.generation;
        let closing = &self.closing;
        let over: Vec<(RunKey, bool)> = self
            .runs
            .iter()
            .filter(|(key, _)| !closing.contains(*key))
            .filter_map(|(key, run)| {
                let known = informed && generation >= run.opened.generation;
                let retired = known && run.job.is_none();
                (retired || run.is_over(cx.now.wall)).then_some((*key, retired))
            })
            .collect();
        for (key, retired) in over {
            if retired {
                self.stop_tasks(cx, key);
                self.give_back(cx, key);
            }
            self.closing.insert(key);
            let ticket = claims.record(cx, key, vec![Entry::RunClosed { run: key }]);
            let recording = Recording::Close { run: key, retired };
            self.recordings.insert(ticket, recording);
        }
    }

    /// Asks the holders to stop what runs of a retired run. A stop that is lost is not repeated:
    /// the run is no longer polled, and the holder stops what the manifest does not declare.
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
                let step = outbox::PendingCall::Runs(PendingCall::Ignore);
                cx.outbox
                    .call_peer(cx.shared, step, &holder, request, PEER_TIMEOUT);
            }
        }
    }

    /// Notes since when all other known instances were heard without a gap. A pause of the own process
    /// counts as a gap, because nothing is known of that time.
    pub(crate) fn watch_instances(&mut self, cx: &Context<'_>) {
        let now = cx.now.mono;
        let paused = now - self.ticked >= SUSPECT_AFTER;
        self.ticked = now;
        let mut known = cx.shared.instances.keys();
        if paused || !known.all(|instance| cx.shared.view.is_live(now, instance)) {
            self.all_seen_since = now;
        }
    }

    pub(crate) fn give_up_expired(&mut self, cx: &mut Context<'_>) {
        let now = cx.now.mono;
        let all_seen = now - self.all_seen_since >= lease::LEASE;
        let expired: Vec<_> = self
            .active_runs()
            .flat_map(|run| run.expire(now, all_seen))
            .collect();
        for key in expired {
            let detail = "no contact until its lease expired".to_owned();
            cx.outbox.record("task.expired", &key.to_string(), detail);
        }
    }
}
