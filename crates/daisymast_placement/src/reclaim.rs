//! Which tasks are stopped to make room for a more urgent one.

use std::time::Duration;

use daisymast_types::ids::TaskKey;
use daisymast_types::quantities::{Resources, Urgency};

/// Part of the fleet, in percent, that each urgency class keeps while others flood in. What a class
/// does not use of it is lent.
pub const GUARANTEED_SHARE_PERCENT: u32 = 20;
/// Time for which a task that was started again is not stopped. Without it a stopped task could be
/// restarted only to be stopped again.
pub const RESTART_PROTECTION: Duration = Duration::from_secs(30);

/// A running task that may have to make room.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The task.
    pub task: TaskKey,
    /// Its urgency.
    pub urgency: Urgency,
    /// What it uses.
    pub size: Resources,
    /// Whether it is a replica of a service.
    pub service: bool,
    /// Time for which it has run.
    pub elapsed: Duration,
}

/// Chooses tasks of `classes` whose end makes room for `size` on a worker: the least urgent first, then
/// batches before services, then those with the least time to lose. Nothing if that is not enough.
///
/// ```
/// use daisymast_placement::reclaim;
/// use daisymast_types::quantities::{Resources, Urgency};
/// let size = Resources::new(1_000, 512, 0);
/// assert_eq!(reclaim::victims(size, size, &[Urgency::Background], &[]), Some(vec![]));
/// assert_eq!(reclaim::victims(Resources::ZERO, size, &[Urgency::Background], &[]), None);
/// ```
pub fn victims(
    free: Resources,
    size: Resources,
    classes: &[Urgency],
    running: &[Candidate],
) -> Option<Vec<TaskKey>> {
    let mut ordered: Vec<&Candidate> = running
        .iter()
        .filter(|candidate| classes.contains(&candidate.urgency) && is_preemptible(candidate))
        .collect();
    ordered.sort_by_key(|candidate| {
        (
            candidate.urgency,
            candidate.service,
            candidate.elapsed,
            candidate.task,
        )
    });
    let mut available = free;
    let mut chosen: Vec<&Candidate> = Vec::new();
    for candidate in ordered {
        if size.fits_in(available) {
            break;
        }
        available += candidate.size;
        chosen.push(candidate);
    }
    if !size.fits_in(available) {
        return None;
    }
    // A later one may be large enough alone: what is not needed stays, the most urgent first.
    for candidate in chosen.clone().into_iter().rev() {
        if size.fits_in(available.saturating_sub(candidate.size)) {
            available = available.saturating_sub(candidate.size);
            chosen.retain(|kept| kept.task != candidate.task);
        }
    }
    Some(chosen.into_iter().map(|candidate| candidate.task).collect())
}

fn is_preemptible(candidate: &Candidate) -> bool {
    // Replicas are numbered by the time of their start, so their attempts do not count restarts.
    candidate.service || candidate.task.attempt <= 1 || candidate.elapsed >= RESTART_PROTECTION
}

/// Whether a class that uses `used` of the `fleet` keeps its share when it loses `taken`. As in
/// [`is_below_share`], the quantity of which it uses the larger part counts.
pub fn keeps_share(fleet: Resources, used: Resources, taken: Resources) -> bool {
    !is_below_share(fleet, used.saturating_sub(taken))
}

/// Whether a class uses less than its share of the fleet in each quantity.
pub fn is_below_share(fleet: Resources, used: Resources) -> bool {
    let share = share(fleet);
    used.millicores < share.millicores && used.memory_mib < share.memory_mib
}

fn share(fleet: Resources) -> Resources {
    let part = |whole: u32| {
        let part = u64::from(whole) * u64::from(GUARANTEED_SHARE_PERCENT) / 100;
        u32::try_from(part).unwrap_or(u32::MAX)
    };
    // Accelerators are few and whole, so no class keeps some of them unused.
    Resources::new(part(fleet.millicores), part(fleet.memory_mib), 0)
}
