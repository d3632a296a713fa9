//! Removal of a job from a manifest.

use daisymast_manifest::manifest::Manifest;
use daisymast_types::ids::JobName;

/// Returns the manifest without the job, or `None` if the manifest does not declare the job.
///
/// ```
/// use daisymast_cli::retire;
/// use daisymast_manifest::parse;
/// let manifest = parse::parse(r#"{"release": "r1"}"#)?;
/// assert!(retire::without(manifest, &"route-survey".into()).is_none());
/// # Ok::<(), daisymast_manifest::fault::Faults>(())
/// ```
pub fn without(mut manifest: Manifest, job: &JobName) -> Option<Manifest> {
    if !manifest.declares(job) {
        return None;
    }
    manifest.services.retain(|service| service.name != *job);
    manifest.batches.retain(|batch| batch.name != *job);
    manifest.gang_jobs.retain(|gang| gang.name != *job);
    Some(manifest)
}
