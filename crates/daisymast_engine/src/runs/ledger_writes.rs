//! Tracks writes to the ledger and applies their outcomes.

use daisymast_ledger::effect::{Reply, Ticket};
use daisymast_ledger::entry::Entry;
use daisymast_runs::run::ClaimOutcome;
use daisymast_types::ids::{RunKey, TaskKey};

use crate::partitions::LedgerPartitions;
use crate::runs::Runs;
use crate::shared::Context;

/// The purpose of one call to [`LedgerPartitions::record`] whose reply is pending.
#[derive(Clone, Debug)]
pub(crate) enum LedgerWrite {
    Open(RunKey),
    Claim(RunKey, Vec<u32>),
    End(TaskKey),
    Close { run: RunKey, retired: bool },
}

impl Runs {
    /// Applies the ledger replies received since the last tick.
    pub(crate) fn apply_ledger_replies(
        &mut self,
        cx: &mut Context<'_>,
        partitions: &mut LedgerPartitions,
    ) {
        for (ticket, reply) in partitions.take_results() {
            self.on_ledger_reply(cx, partitions, ticket, &reply);
        }
    }

    fn on_ledger_reply(
        &mut self,
        cx: &mut Context<'_>,
        partitions: &mut LedgerPartitions,
        ticket: Ticket,
        reply: &Reply,
    ) {
        let Some(write) = self.ledger_writes.remove(&ticket) else {
            return;
        };
        let durable = *reply == Reply::Committed;
        match write {
            LedgerWrite::Open(run) => {
                self.opening.remove(&run);
                if durable {
                    self.adopt_recorded(cx, partitions, false);
                    self.record_run_event(cx, "run.opened", run, "");
                }
            }
            LedgerWrite::Claim(run, tasks) => {
                self.on_claim_reply(cx, partitions, run, tasks, reply);
            }
            LedgerWrite::End(key) => self.on_end_reply(cx, key, durable),
            LedgerWrite::Close { run, retired } if durable => {
                let detail = if retired {
                    "job is retired"
                } else {
                    "all tasks ended"
                };
                self.record_run_event(cx, "run.closed", run, detail);
                self.drop_run(run);
            }
            // The next pass tries again to close the run.
            LedgerWrite::Close { run, .. } => {
                self.closing.remove(&run);
            }
        }
    }

    fn on_end_reply(&mut self, cx: &mut Context<'_>, key: TaskKey, durable: bool) {
        let now = cx.now.mono;
        let run = self.runs.get_mut(&key.run);
        if run.is_some_and(|run| run.on_end(key, durable, now)) {
            let detail = "failed on three workers".to_owned();
            cx.outbox.record("task.parked", &key.to_string(), detail);
        }
    }

    fn on_claim_reply(
        &mut self,
        cx: &mut Context<'_>,
        partitions: &mut LedgerPartitions,
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
            Reply::ClaimState(_) | Reply::NotOwner | Reply::Unavailable => {
                ClaimOutcome::NotRecorded
            }
        };
        let now = cx.now.mono;
        let retries: Vec<Entry> = tasks
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
        if retries.is_empty() {
            self.on_gang_claim_reply(cx, key, outcome);
        } else {
            let ticket = partitions.record(cx, key, retries);
            self.ledger_writes
                .insert(ticket, LedgerWrite::Claim(key, tasks));
        }
    }

    /// Writes the results of ended attempts to the ledger.
    pub(crate) fn record_ends(&mut self, cx: &mut Context<'_>, partitions: &mut LedgerPartitions) {
        let now = cx.now.mono;
        let ends: Vec<_> = self
            .active_runs()
            .flat_map(|run| run.take_unrecorded_ends(now))
            .collect();
        for (key, end) in ends {
            let entry = Entry::TaskDone {
                run: key.run,
                index: key.index,
                attempt: key.attempt,
                end,
            };
            let ticket = partitions.record(cx, key.run, vec![entry]);
            self.ledger_writes.insert(ticket, LedgerWrite::End(key));
        }
    }

    fn record_run_event(&self, cx: &mut Context<'_>, kind: &str, run: RunKey, detail: &str) {
        let job = self.runs.get(&run).map(|run| run.opened.job.to_string());
        let subject = format!("{} {run}", job.unwrap_or_default());
        cx.outbox.record(kind, &subject, detail.to_owned());
    }
}
