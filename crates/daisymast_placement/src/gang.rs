//! Plans of jobs that need all their tasks at once.

use crate::pool::{Demand, Pool};

/// Slots and the number of tasks for each, on as few workers as possible: the roomiest ones first,
/// and for the rest the worker with the least room that holds it. Nothing if they do not all fit.
pub(crate) fn plan(pool: &Pool, demand: &Demand, tasks: u32) -> Option<Vec<(u32, u32)>> {
    let mut rooms: Vec<(u32, u32)> = pool
        .seats
        .iter()
        .zip(0_u32..)
        .filter_map(|(seat, slot)| {
            let seat = seat.as_ref().filter(|seat| seat.suits(demand))?;
            let (free, size) = (seat.machine.free, demand.size);
            let count = times(free.millicores, size.millicores)
                .min(times(free.memory_mib, size.memory_mib))
                .min(times(free.accelerators.into(), size.accelerators.into()));
            Some((count.min(tasks), slot))
        })
        .collect();
    rooms.sort_unstable_by_key(|(count, slot)| (std::cmp::Reverse(*count), *slot));
    let mut left = tasks;
    let mut chosen = Vec::new();
    for (position, (count, slot)) in rooms.iter().enumerate() {
        if left == 0 {
            break;
        }
        if *count >= left {
            let last = rooms[position..]
                .iter()
                .rev()
                .find(|(count, _)| *count >= left)
                .map_or(*slot, |(_, slot)| *slot);
            chosen.push((last, left));
            left = 0;
            break;
        }
        chosen.push((*slot, *count));
        left -= count;
    }
    (left == 0).then_some(chosen)
}

fn times(free: u32, size: u32) -> u32 {
    free.checked_div(size).unwrap_or(u32::MAX)
}
