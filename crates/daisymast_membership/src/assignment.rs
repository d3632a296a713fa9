//! Assignment of workers to preferred holders by weighted rendezvous hashing with bounded load.

use daisymast_types::collections::FastMap;
use daisymast_types::ids::{InstanceId, WorkerId};

use crate::rendezvous::{self, Candidate};

/// Upper bound on the load of an instance, in quarters of its weighted fair share.
const MAX_LOAD_QUARTERS: u64 = 5;

/// Maximum number of workers assigned to an instance: 1.25 times its weighted fair share, rounded
/// up.
///
/// ```
/// use daisymast_membership::assignment;
/// assert_eq!(assignment::max_workers(50, 1, 8), 8);
/// assert_eq!(assignment::max_workers(0, 1, 8), 0);
/// ```
pub fn max_workers(workers: usize, weight: u32, total_weight: u64) -> usize {
    let workers = u64::try_from(workers).unwrap_or(u64::MAX);
    let share = u64::from(weight.max(1)).saturating_mul(workers);
    let quarters = share.saturating_mul(MAX_LOAD_QUARTERS);
    let most = quarters.div_ceil(total_weight.max(1).saturating_mul(4));
    usize::try_from(most).unwrap_or(usize::MAX)
}

/// Assigns a preferred holder to each worker.
///
/// Pairs of worker and instance are processed by descending score. The result therefore does not
/// depend on the order of the input, and an instance at its bound keeps the workers with its
/// highest scores and leaves the others to their next-best instances.
///
/// ```
/// use daisymast_membership::{assignment, rendezvous};
/// use daisymast_types::ids;
/// let candidates = [
///     rendezvous::Candidate { instance: ids::InstanceId::from("a"), weight: 1 },
///     rendezvous::Candidate { instance: ids::InstanceId::from("b"), weight: 1 },
/// ];
/// let workers: Vec<_> = (0..8).map(|n| ids::WorkerId::from(format!("w-{n}"))).collect();
/// let preferred = assignment::assign(&workers, &candidates);
/// assert_eq!(preferred.len(), 8);
/// ```
pub fn assign(workers: &[WorkerId], candidates: &[Candidate]) -> FastMap<WorkerId, InstanceId> {
    let total: u64 = candidates
        .iter()
        .map(|one| u64::from(one.weight.max(1)))
        .sum();
    let mut remaining: Vec<usize> = candidates
        .iter()
        .map(|one| max_workers(workers.len(), one.weight, total))
        .collect();
    let mut pairs: Vec<(f64, &WorkerId, usize)> = workers
        .iter()
        .flat_map(|worker| {
            candidates
                .iter()
                .enumerate()
                .map(move |(at, one)| (rendezvous::score(worker.as_str(), one), worker, at))
        })
        .collect();
    pairs.sort_by(|a, b| {
        b.0.total_cmp(&a.0)
            .then_with(|| a.1.cmp(b.1))
            .then_with(|| candidates[a.2].instance.cmp(&candidates[b.2].instance))
    });
    let mut preferred = FastMap::default();
    for (_, worker, at) in pairs {
        if remaining[at] > 0 && !preferred.contains_key(worker) {
            remaining[at] -= 1;
            preferred.insert(worker.clone(), candidates[at].instance.clone());
        }
    }
    preferred
}
