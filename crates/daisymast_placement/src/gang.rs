//! Placement plans for gangs: jobs whose tasks must all start at the same time.

use crate::pool::{Demand, Pool};

/// Pool slots and the number of tasks for each, on as few workers as possible: first the workers
/// that fit the most tasks, then for the remainder the worker that fits the fewest tasks but still
/// all of it. Returns `None` if the gang does not fit as a whole.
pub(crate) fn plan(pool: &Pool, demand: &Demand, tasks: u32) -> Option<Vec<(u32, u32)>> {
    let mut counts: Vec<(u32, u32)> = pool
        .entries
        .iter()
        .zip(0_u32..)
        .filter_map(|(pool_entry, slot)| {
            let pool_entry = pool_entry
                .as_ref()
                .filter(|pool_entry| pool_entry.fits(demand))?;
            let (free, size) = (pool_entry.machine.free, demand.size);
            let count = fit_count(free.millicores, size.millicores)
                .min(fit_count(free.memory_mib, size.memory_mib))
                .min(fit_count(
                    free.accelerators.into(),
                    size.accelerators.into(),
                ));
            Some((count.min(tasks), slot))
        })
        .collect();
    counts.sort_unstable_by_key(|(count, slot)| (std::cmp::Reverse(*count), *slot));
    let mut remaining = tasks;
    let mut chosen = Vec::new();
    for (position, (count, slot)) in counts.iter().enumerate() {
        if remaining == 0 {
            break;
        }
        if *count >= remaining {
            let last = counts[position..]
                .iter()
                .rev()
                .find(|(count, _)| *count >= remaining)
                .map_or(*slot, |(_, slot)| *slot);
            chosen.push((last, remaining));
            remaining = 0;
            break;
        }
        chosen.push((*slot, *count));
        remaining -= count;
    }
    (remaining == 0).then_some(chosen)
}

/// Number of tasks that fit by one quantity; unlimited if a task needs none of it.
fn fit_count(free: u32, size: u32) -> u32 {
    free.checked_div(size).unwrap_or(u32::MAX)
}
