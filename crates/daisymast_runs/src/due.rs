//! Determines which runs are due.

use daisymast_ledger::entry::{Origin, RunOpened};
use daisymast_manifest::manifest::{self, Batch, Manifest};
use daisymast_types::ids::Generation;
use daisymast_types::time::UnixMillis;

/// Runs that should exist at `wall`: for each batch the one with the latest due time, unless its
/// deadline has passed, and one for each declared gang job. Missed due times are not caught up, so
/// neither an outage nor a new batch opens a large number of old runs.
pub fn due_runs(manifest: &Manifest, generation: Generation, wall: UnixMillis) -> Vec<RunOpened> {
    let batches = manifest.batches.iter().filter_map(|batch| {
        let (due, until) = latest_due(batch, wall)?;
        Some(RunOpened {
            run: manifest::batch_run_key(&batch.name, due),
            job: batch.name.clone(),
            origin: Origin::Due(due),
            tasks: batch.tasks,
            generation,
            until: Some(until),
        })
    });
    let gangs = manifest.gang_jobs.iter().map(|job| RunOpened {
        run: manifest::gang_run_key(job),
        job: job.name.clone(),
        origin: Origin::Declared(wall),
        tasks: job.tasks,
        generation,
        until: None,
    });
    batches.chain(gangs).collect()
}

/// Latest due time at or before `wall`, and the time until which the run is due: its deadline or
/// the next due time, whichever is earlier. Returns `None` if no run is due at `wall`.
///
/// ```
/// use daisymast_runs::due;
/// use daisymast_types::time::UnixMillis;
/// let batch: daisymast_manifest::manifest::Batch = serde_json::from_str(
///     r#"{"name": "survey", "team": "crews", "every_s": 3600, "offset_s": 60, "tasks": 1,
///         "size": {"millicores": 1, "memory_mib": 1}, "run_s": 1, "deadline_s": 600}"#,
/// ).unwrap();
/// let due = due::latest_due(&batch, UnixMillis(3_700_000));
/// assert_eq!(due, Some((UnixMillis(3_660_000), UnixMillis(4_260_000))));
/// assert_eq!(due::latest_due(&batch, UnixMillis(4_260_000)), None);
/// ```
pub fn latest_due(batch: &Batch, wall: UnixMillis) -> Option<(UnixMillis, UnixMillis)> {
    let interval_ms = batch
        .every_s
        .checked_mul(1_000)
        .filter(|interval_ms| *interval_ms > 0)?;
    let offset_ms = batch.offset_s.saturating_mul(1_000);
    let since = wall.0.checked_sub(offset_ms)?;
    let due = offset_ms + since / interval_ms * interval_ms;
    let span = batch.deadline_s.saturating_mul(1_000).min(interval_ms);
    let until = due.saturating_add(span);
    (wall.0 < until).then_some((UnixMillis(due), UnixMillis(until)))
}
