//! Which runs are due.

use daisymast_ledger::entry::{Origin, RunOpened};
use daisymast_manifest::manifest::{self, Batch, Manifest};
use daisymast_types::ids::Generation;
use daisymast_types::time::UnixMillis;

/// Runs that should exist at `wall`: of each batch the one with the latest due time, as long as its
/// deadline has not passed, and each declared gang job. Earlier due times are never made up
/// for, so neither an outage nor a new batch causes a flood of old runs.
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

/// The latest due time at or before `wall` and the time until which it is due, both from the Unix
/// epoch; nothing if none is due.
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
    let every = batch
        .every_s
        .checked_mul(1_000)
        .filter(|every| *every > 0)?;
    let offset = batch.offset_s.saturating_mul(1_000);
    let since = wall.0.checked_sub(offset)?;
    let due = offset + since / every * every;
    let span = batch.deadline_s.saturating_mul(1_000).min(every);
    let until = due.saturating_add(span);
    (wall.0 < until).then_some((UnixMillis(due), UnixMillis(until)))
}
