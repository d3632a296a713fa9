//! Preemption: selects tasks to stop in favor of a more urgent task.

use std::time::Duration;

use daisymast_types::ids::TaskKey;
use daisymast_types::quantities::{Resources, Urgency};

/// Share of the fleet, in percent, that preemption leaves to each urgency class even when other
/// classes are overloaded. Other classes may use the unused part of a share.
pub const GUARANTEED_SHARE_PERCENT: u32 = 20;
/// Time for which a restarted task is protected from preemption. Without it, a preempted task could
/// be restarted only to be preempted again.
pub const RESTART_PROTECTION: Duration = Duration::from_secs(30);

/// A running task that may be preempted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Key of the running attempt.
    pub task: TaskKey,
    /// Urgency class; lower classes are preempted first.
    pub urgency: Urgency,
    /// Resources reserved for it.
    pub size: Resources,
    /// Whether it is a replica of a service.
    pub service: bool,
    /// Time since its start.
    pub elapsed: Duration,
}

/// Chooses tasks of `classes` to stop so that `size` fits on a worker: the least urgent first, then
/// batch tasks before service replicas, then those that have run for the shortest time and lose the
/// least work. Returns `None` if stopping all of them does not free enough.
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
    // A task chosen later may be large enough to make earlier ones unnecessary. Those are spared,
    // the most urgent first.
    for candidate in chosen.clone().into_iter().rev() {
        if size.fits_in(available.saturating_sub(candidate.size)) {
            available = available.saturating_sub(candidate.size);
            chosen.retain(|kept| kept.task != candidate.task);
        }
    }
    Some(chosen.into_iter().map(|candidate| candidate.task).collect())
}

fn is_preemptible(candidate: &Candidate) -> bool {
    // The attempt number of a replica comes from its start time, so it does not count restarts.
    candidate.service || candidate.task.attempt <= 1 || candidate.elapsed >= RESTART_PROTECTION
}

/// Whether a class that uses `used` of the `fleet` still has its guaranteed share after losing
/// `taken`. As in [`is_below_share`], one quantity at or above the share is enough.
pub fn keeps_share(fleet: Resources, used: Resources, taken: Resources) -> bool {
    !is_below_share(fleet, used.saturating_sub(taken))
}

/// Whether a class uses less than its guaranteed share of the fleet in both CPU and memory.
pub fn is_below_share(fleet: Resources, used: Resources) -> bool {
    let share = share(fleet);
    used.millicores < share.millicores && used.memory_mib < share.memory_mib
}

fn share(fleet: Resources) -> Resources {
    let part = |whole: u32| {
        let part = u64::from(whole) * u64::from(GUARANTEED_SHARE_PERCENT) / 100;
        u32::try_from(part).unwrap_or(u32::MAX)
    };
    // Accelerators are few and indivisible, so no share of them is guaranteed to any class.
    Resources::new(part(fleet.millicores), part(fleet.memory_mib), 0)
}
