//! In-memory state of an owned partition.

use std::collections::BTreeMap;

use daisymast_protocol::peer::ClaimState;
use daisymast_types::collections::{FastMap, FastSet};
use daisymast_types::ids::{InstanceId, RequestId, RunKey};
use daisymast_types::time::UnixMillis;

use crate::claim_file::{ClaimFile, ClaimRecord};
use crate::entry::{Entry, Settled};
use crate::record::RunRecord;
use crate::segment::Segment;

/// Maximum number of claims of a partition in memory. A claim takes about 260 bytes with the
/// default allocator, so 16 partitions on one instance take at most about 200 MB.
pub(crate) const CLAIMS_MAX: usize = 49_152;
/// Time for which a claim stays in memory after its segment was sealed. An id is accepted from 5
/// min before its issue time to 1 h after it; the rest is a margin for clock differences.
pub(crate) const IN_MEMORY_RETENTION_MS: u64 = 75 * 60_000;
/// Age of an id at which the owner refuses to claim it, because an earlier claim of the id may
/// already be evicted from memory.
pub(crate) const CLAIM_AGE_MAX_MS: u64 = 65 * 60_000;

/// A claim and its result, `None` while no result is known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct RecordedClaim {
    pub(crate) digest: String,
    pub(crate) by: InstanceId,
    pub(crate) settled: Option<Settled>,
}

impl RecordedClaim {
    /// State of the claim in the form that is reported to peers.
    pub(crate) fn claim_state(&self) -> ClaimState {
        let digest = self.digest.clone();
        match self.settled {
            None => ClaimState::Claimed {
                by: self.by.clone(),
                digest,
            },
            Some(Settled::Answered) => ClaimState::Answered {
                digest,
                answer: None,
            },
            Some(Settled::NotRun(reason)) => ClaimState::NotRun { digest, reason },
        }
    }
}

/// Claims and results of one segment. Those of a claim file are stored under the number of its
/// first segment.
#[derive(Clone, Debug, Default)]
struct SegmentClaims {
    /// Time at which the segment was sealed, `None` while it is open.
    sealed_at: Option<UnixMillis>,
    claims: Vec<RequestId>,
    /// Requests whose results are in the segment. Cleared once the results are in a claim file.
    results: Vec<RequestId>,
}

/// Recent claims, and the runs as of the newest segment.
#[derive(Clone, Debug, Default)]
pub(crate) struct PartitionState {
    claims: FastMap<RequestId, RecordedClaim>,
    by_segment: BTreeMap<u64, SegmentClaims>,
    runs: BTreeMap<RunKey, RunRecord>,
}

impl PartitionState {
    /// Adds a segment read from the store. Segments must be added in the order of their numbers.
    pub(crate) fn load_segment(&mut self, number: u64, segment: &Segment) {
        // Each segment starts with a copy of all runs, which replaces those of older segments.
        self.runs = segment
            .runs
            .iter()
            .map(|record| (record.opened.run, record.clone()))
            .collect();
        for entry in &segment.entries {
            self.apply(number, entry);
        }
        if let Some(at) = segment.sealed {
            self.seal(number, at);
        }
    }

    /// Adds a claim file read from the store. Claim files must be added before segments.
    pub(crate) fn load_file(&mut self, file: &ClaimFile) {
        for ClaimRecord(request, digest, by, settled) in &file.claims {
            self.claim(file.from, request, digest, by);
            if let Some(result) = settled {
                self.settle(request, *result);
            }
        }
        self.seal(file.from, file.at);
    }

    /// Records the time at which a segment was sealed.
    pub(crate) fn seal(&mut self, number: u64, at: UnixMillis) {
        let segment_claims = self.by_segment.entry(number).or_default();
        segment_claims.sealed_at = segment_claims.sealed_at.max(Some(at));
    }

    /// Records for a claim file: the claims of a segment, and earlier claims whose results are in
    /// it.
    pub(crate) fn claim_records(&self, number: u64) -> Vec<ClaimRecord> {
        let Some(segment_claims) = self.by_segment.get(&number) else {
            return Vec::new();
        };
        let claimed: FastSet<&RequestId> = segment_claims.claims.iter().collect();
        let settled = segment_claims
            .results
            .iter()
            .filter(|id| !claimed.contains(*id));
        segment_claims
            .claims
            .iter()
            .chain(settled)
            .filter_map(|id| {
                let claimed = self.claims.get(id)?;
                let (digest, by) = (claimed.digest.clone(), claimed.by.clone());
                Some(ClaimRecord(id.clone(), digest, by, claimed.settled))
            })
            .collect()
    }

    /// Evicts the claims of old segments that are in claim files, which cover segments up to
    /// `merged_through`.
    pub(crate) fn evict_expired(&mut self, wall: UnixMillis, merged_through: u64) {
        while let Some(first) = self.by_segment.first_entry()
            && *first.key() <= merged_through
            && first
                .get()
                .sealed_at
                .is_some_and(|at| at.0.saturating_add(IN_MEMORY_RETENTION_MS) <= wall.0)
        {
            for request in first.remove().claims {
                self.claims.remove(&request);
            }
        }
    }

    /// Clears the lists of results of segments up to `through`, which are now in claim files.
    pub(crate) fn clear_merged_results(&mut self, through: u64) {
        for (_, segment_claims) in self.by_segment.range_mut(..=through) {
            segment_claims.results = Vec::new();
        }
    }

    /// Number of claims in memory.
    pub(crate) fn claim_count(&self) -> usize {
        self.claims.len()
    }

    pub(crate) fn apply(&mut self, number: u64, entry: &Entry) {
        match entry {
            Entry::Claim {
                request,
                digest,
                by,
            } => self.claim(number, request, digest, by),
            Entry::Settle { request, result } => {
                self.settle(request, *result);
                if self.claims.contains_key(request) {
                    let segment_claims = self.by_segment.entry(number).or_default();
                    segment_claims.results.push(request.clone());
                }
            }
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

    pub(crate) fn recorded_claim(&self, request: &RequestId) -> Option<&RecordedClaim> {
        self.claims.get(request)
    }

    /// Recorded state of a request, `Absent` if its claim is not in memory.
    pub(crate) fn claim_state(&self, request: &RequestId) -> ClaimState {
        self.claims
            .get(request)
            .map_or(ClaimState::Absent, RecordedClaim::claim_state)
    }

    pub(crate) fn runs(&self) -> &BTreeMap<RunKey, RunRecord> {
        &self.runs
    }

    /// Deletes a closed run, so that it is not copied into the next segment. Does nothing for an
    /// open run.
    pub(crate) fn delete_run(&mut self, run: RunKey) {
        if self.runs.get(&run).is_some_and(|record| record.closed) {
            self.runs.remove(&run);
        }
    }

    /// Deletes closed runs that can no longer be due, and returns the others for the next segment.
    /// A closed run that could still be due is kept, because it would be opened a second time if
    /// its record were lost.
    pub(crate) fn snapshot_runs(&mut self, wall: UnixMillis) -> Vec<RunRecord> {
        self.runs
            .retain(|_, record| !record.closed || record.opened.until.is_none_or(|end| end > wall));
        self.runs.values().cloned().collect()
    }

    fn claim(&mut self, number: u64, request: &RequestId, digest: &str, by: &InstanceId) {
        if self.claims.contains_key(request) {
            return;
        }
        let claimed = RecordedClaim {
            digest: digest.to_owned(),
            by: by.clone(),
            settled: None,
        };
        self.claims.insert(request.clone(), claimed);
        let segment_claims = self.by_segment.entry(number).or_default();
        segment_claims.claims.push(request.clone());
    }

    fn close(&mut self, run: RunKey) {
        if let Some(record) = self.runs.get_mut(&run) {
            record.closed = true;
            record.tasks.clear();
        }
    }
}
