//! What an owner remembers of its partition.

use std::collections::BTreeMap;

use daisymast_protocol::peer::ClaimState;
use daisymast_types::collections::FastMap;
use daisymast_types::ids::{InstanceId, RequestId, RunKey};
use daisymast_types::time::UnixMillis;

use crate::entry::{Entry, Settled};
use crate::record::RunRecord;
use crate::segment::Segment;

/// A claim and the segment whose deletion ends its memory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Claimed {
    pub(crate) digest: String,
    pub(crate) by: InstanceId,
    pub(crate) settled: Option<Settled>,
}

/// Claims of all retained segments and runs of the newest one.
#[derive(Clone, Debug, Default)]
pub(crate) struct Memory {
    claims: FastMap<RequestId, Claimed>,
    by_segment: BTreeMap<u64, Vec<RequestId>>,
    runs: BTreeMap<RunKey, RunRecord>,
}

impl Memory {
    /// Adds a segment that was read. Segments come in the order of their numbers.
    pub(crate) fn load(&mut self, number: u64, segment: &Segment) {
        // Each segment starts with a copy of the runs, so only the newest one counts for them.
        self.runs = segment
            .runs
            .iter()
            .map(|record| (record.opened.run, record.clone()))
            .collect();
        for entry in &segment.entries {
            self.apply(number, entry);
        }
    }

    pub(crate) fn apply(&mut self, number: u64, entry: &Entry) {
        match entry {
            Entry::Claim {
                request,
                digest,
                by,
            } => self.claim(number, request, digest, by),
            Entry::Settle { request, result } => self.settle(request, *result),
            Entry::RunOpened(opened) => {
                self.runs
                    .entry(opened.run)
                    .or_insert_with(|| RunRecord::new(opened.clone()));
            }
            Entry::TaskClaim {
                run,
                index,
                attempt,
                worker,
            } => {
                if let Some(record) = self.runs.get_mut(run) {
                    record.claim(*index, *attempt, worker);
                }
            }
            Entry::TaskDone {
                run,
                index,
                attempt,
                end,
            } => {
                if let Some(record) = self.runs.get_mut(run) {
                    record.finish(*index, *attempt, *end);
                }
            }
            Entry::RunClosed { run } => self.close(*run),
        }
    }

    pub(crate) fn settle(&mut self, request: &RequestId, result: Settled) {
        if let Some(claimed) = self.claims.get_mut(request) {
            claimed.settled.get_or_insert(result);
        }
    }

    pub(crate) fn claimed(&self, request: &RequestId) -> Option<&Claimed> {
        self.claims.get(request)
    }

    /// Answer to the question after a request.
    pub(crate) fn claim_state(&self, request: &RequestId) -> ClaimState {
        let Some(claimed) = self.claims.get(request) else {
            return ClaimState::Absent;
        };
        let digest = claimed.digest.clone();
        match claimed.settled {
            None => ClaimState::Claimed {
                by: claimed.by.clone(),
                digest,
            },
            Some(Settled::Answered) => ClaimState::Answered {
                digest,
                answer: None,
            },
            Some(Settled::NotRun(reason)) => ClaimState::NotRun { digest, reason },
        }
    }

    pub(crate) fn runs(&self) -> &BTreeMap<RunKey, RunRecord> {
        &self.runs
    }

    /// Drops a closed run, so that it is not copied into the next segment.
    pub(crate) fn forget_run(&mut self, run: RunKey) {
        if self.runs.get(&run).is_some_and(|record| record.closed) {
            self.runs.remove(&run);
        }
    }

    /// Runs to copy into the next segment. A closed run that could still be due is copied, because
    /// it would be opened a second time without its record.
    pub(crate) fn copy_runs(&mut self, wall: UnixMillis) -> Vec<RunRecord> {
        self.runs
            .retain(|_, record| !record.closed || record.opened.until.is_none_or(|end| end > wall));
        self.runs.values().cloned().collect()
    }

    /// Drops the claims of a deleted segment.
    pub(crate) fn drop_segment(&mut self, number: u64) {
        for request in self.by_segment.remove(&number).unwrap_or_default() {
            self.claims.remove(&request);
        }
    }

    fn claim(&mut self, number: u64, request: &RequestId, digest: &str, by: &InstanceId) {
        if self.claims.contains_key(request) {
            return;
        }
        let claimed = Claimed {
            digest: digest.to_owned(),
            by: by.clone(),
            settled: None,
        };
        self.claims.insert(request.clone(), claimed);
        self.by_segment
            .entry(number)
            .or_default()
            .push(request.clone());
    }

    fn close(&mut self, run: RunKey) {
        if let Some(record) = self.runs.get_mut(&run) {
            record.closed = true;
            record.tasks.clear();
        }
    }
}
