//! What is being recorded in the ledger, and what follows from the outcome.

use daisymast_ledger::effect::{Reply, Ticket};
use daisymast_ledger::entry::Entry;
use daisymast_runs::run::ClaimOutcome;
use daisymast_types::ids::{RunKey, TaskKey};

use crate::claims::Claims;
use crate::runs::Runs;
use crate::shared::Context;

/// Entries of one call to [`Claims::record`].
#[derive(Clone, Debug)]
pub(crate) enum Recording {
    Open(RunKey),
    Claim(RunKey, Vec<u32>),
    End(TaskKey),
    Close { run: RunKey, retired: bool },
}

impl Runs {
    /// Handles the outcomes that came since the last tick.
    pub(crate) fn collect(&mut self, cx: &mut Context<'_>, claims: &mut Claims) {
        for (ticket, reply) in claims.take_results() {
            self.recorded(cx, claims, ticket, &reply);
        }
    }

    fn recorded(
        &mut self,
        cx: &mut Context<'_>,
        claims: &mut Claims,
        ticket: Ticket,
        reply: &Reply,
    ) {
        let Some(recording) = self.recordings.remove(&ticket) else {
            return;
        };
        let durable = *reply == Reply::Committed;
        match recording {
            Recording::Open(run) => {
                self.opening.remove(&run);
                if durable {
                    self.adopt_recorded(cx, claims, false);
                    self.report_run(cx, "run.opened", run, "");
                }
            }
            Recording::Claim(run, tasks) => self.claimed(cx, claims, run, tasks, reply),
            Recording::End(key) => self.end_recorded(cx, key, durable),
            // A run that could not be closed is tried again in the next round.
            Recording::Close { run, retired } if durable => {
                let detail = if retired {
                    "job is retired"
                } else {
                    "all tasks ended"
                };
                self.report_run(cx, "run.closed", run, detail);
                self.drop_run(run);
            }
            Recording::Close { run, .. } => {
                self.closing.remove(&run);
            }
        }
    }

    fn end_recorded(&mut self, cx: &mut Context<'_>, key: TaskKey, durable: bool) {
        let now = cx.now.mono;
        let run = self.runs.get_mut(&key.run);
        if run.is_some_and(|run| run.on_end(key, durable, now)) {
            let detail = "failed on three workers".to_owned();
            cx.outbox.record("task.parked", &key.to_string(), detail);
        }
    }

    fn claimed(
        &mut self,
        cx: &mut Context<'_>,
        claims: &mut Claims,
        key: RunKey,
        tasks: Vec<u32>,
        reply: &Reply,
    ) {
        let Some(run) = self.runs.get_mut(&key) else {
            return;
        };
        let outcome = match reply {
            Reply::Committed => ClaimOutcome::Recorded,
            Reply::Unknown => ClaimOutcome::Unknown,
            Reply::Known(_) | Reply::NotOwner | Reply::Unavailable => ClaimOutcome::NotRecorded,
        };
        let now = cx.now.mono;
        let again: Vec<Entry> = tasks
            .iter()
            .filter_map(|index| run.on_claim(*index, outcome, now))
            .collect();
        if outcome == ClaimOutcome::Recorded {
            for index in &tasks {
                let worker = run.task(*index).and_then(|task| task.worker.clone());
                let detail = worker.map_or_else(String::new, |worker| format!("worker {worker}"));
                cx.outbox
                    .record("task.claimed", &run.key(*index).to_string(), detail);
            }
        }
        if again.is_empty() {
            self.gang_claimed(cx, key, outcome);
        } else {
            let ticket = claims.record(cx, key, again);
            self.recordings.insert(ticket, Recording::Claim(key, tasks));
        }
    }

    /// Records the ends of attempts that became known.
    pub(crate) fn record_ends(&mut self, cx: &mut Context<'_>, claims: &mut Claims) {
        let now = cx.now.mono;
        let ends: Vec<_> = self
            .active_runs()
            .flat_map(|run| run.take_ends(now))
            .collect();
        for (key, end) in ends {
            let entry = Entry::TaskDone {
                run: key.run,
                index: key.index,
                attempt: key.attempt,
                end,
            };
            let ticket = claims.record(cx, key.run, vec![entry]);
            self.recordings.insert(ticket, Recording::End(key));
        }
    }

    fn report_run(&self, cx: &mut Context<'_>, step: &str, run: RunKey, detail: &str) {
        let job = self.runs.get(&run).map(|run| run.opened.job.to_string());
        let subject = format!("{} {run}", job.unwrap_or_default());
        cx.outbox.record(step, &subject, detail.to_owned());
    }
}
