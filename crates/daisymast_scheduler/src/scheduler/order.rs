//! Order in which a pass tries the waiting steps.
//!
//! The first line of the table in which two steps differ decides which of them goes first. The lines
//! marked with * count only while room is short, and hold only for steps of organisations.
//!
//! | line | first | why |
//! | --- | --- | --- |
//! | value | any other before one that is late beyond all value | it can earn nothing |
//! | rate * | within the organisation's rate before beyond it | a flood of one organisation takes no room from the others |
//! | urgency | urgent and on time before all others | it has hardly any slack |
//! | share * | the lower use of the organisation's share | room goes by weight over the dominant resource; a job that a flood has made late goes before the flood |
//! | tier | on time before late | a job that can still be on time earns more than one that cannot |
//! | largest gangs | a few of the largest before others of the tier | the size delay below would starve them |
//! | latest start | the earlier, later for a large step | several small jobs go before a large one on a fleet that cannot serve all |
//! | ID | the lower | the order is the same in each pass |
//!
//! The order alone decides: no running task is stopped for a step that comes before it.

use std::cmp::Reverse;
use std::time::Duration;

use daisymast_jobs::spec;
use daisymast_organisations::share;
use daisymast_types::collections;
use daisymast_types::time;

use crate::constants;
use crate::steps;

#[cfg(test)]
mod tests;

/// State of the cell that the order depends on.
pub(super) struct Cell {
    /// Number of usable workers.
    pub(super) workers: usize,
    /// How much the organisations use of their shares; `None` while there is room for all.
    pub(super) shares: Option<share::Shares>,
}

/// Returns the IDs of the steps that wait for workers, in the order in which they are tried.
pub(super) fn waiting_steps(
    steps: &collections::FastMap<spec::StepId, steps::ReadyStep>,
    cell: &Cell,
    now: time::Monotonic,
) -> Vec<spec::StepId> {
    let mut ranked: Vec<Ranked> = steps
        .values()
        .filter(|step| !step.waiting.is_empty() && !step.aborting && now >= step.not_before)
        .map(|step| Ranked::new(step, cell, now))
        .collect();
    prefer_largest_gangs(&mut ranked, cell.workers);
    ranked.sort_unstable_by_key(Ranked::key);
    if let Some(shares) = &cell.shares {
        set_share_levels(&mut ranked, steps, shares.clone());
        ranked.sort_unstable_by_key(Ranked::key);
    }
    ranked.into_iter().map(|step| step.id).collect()
}

/// Preference of a step that does not go before the others of its tier.
const NOT_PREFERRED: usize = usize::MAX;

/// A waiting step and what determines its place.
struct Ranked {
    id: spec::StepId,
    /// Whether the step lies beyond the rate of its organisation while room is short.
    beyond_rate: bool,
    tier: steps::Tier,
    /// Place among the steps that go before the others of their tier, lowest first;
    /// [`NOT_PREFERRED`] for all others.
    preference: usize,
    /// How often the organisation uses its share, 0 while there is room for all.
    share_level: u8,
    /// Latest start, later for a large step.
    start_by: time::Monotonic,
    is_gang: bool,
    core_ms: u64,
}

impl Ranked {
    fn new(step: &steps::ReadyStep, cell: &Cell, now: time::Monotonic) -> Self {
        let step_spec = step.step_spec();
        let core_ms = core_ms(step_spec);
        Self {
            id: step.id,
            beyond_rate: cell.shares.is_some() && !step.within_rate && !step.is_restart(),
            tier: step.tier(now),
            preference: NOT_PREFERRED,
            share_level: 0,
            start_by: step.deadlines.latest_start + size_delay(core_ms),
            is_gang: step_spec.gang,
            core_ms,
        }
    }

    /// Returns the lines of the module's table.
    fn key(&self) -> impl Ord + use<> {
        let is_expired = self.tier == steps::Tier::Expired;
        let is_urgent = self.tier == steps::Tier::Urgent;
        (
            (is_expired, self.beyond_rate, !is_urgent, self.share_level),
            (self.tier, self.preference, self.start_by, self.id),
        )
    }
}

/// Marks the largest gangs that are on time, as many as the fleet can hold workers for, and fewer of
/// those that are late: all would be late one day, and none served, on a fleet that stays full.
fn prefer_largest_gangs(ranked: &mut [Ranked], workers: usize) {
    let on_time = (workers / constants::WORKERS_PER_LARGE_GANG).max(1);
    let late = on_time.saturating_sub(constants::LARGE_GANGS_ON_TIME);
    let mut preference = 0;
    for (tier, count) in [(steps::Tier::InTime, on_time), (steps::Tier::Late, late)] {
        let mut gangs: Vec<&mut Ranked> = ranked
            .iter_mut()
            .filter(|step| step.is_gang && step.tier == tier && !step.beyond_rate)
            .collect();
        gangs.sort_unstable_by_key(|step| (Reverse(step.core_ms), step.id));
        for gang in gangs.into_iter().take(count) {
            gang.preference = preference;
            gang.tier = steps::Tier::InTime;
            preference += 1;
        }
    }
}

/// Sets the use of the organisations' shares as it is when the turn of each step comes. Without the
/// steps before it, all steps of an organisation that was idle would take the room that becomes free
/// in one pass. Gangs do not count until they have started, as most of them wait for room.
fn set_share_levels(
    ranked: &mut [Ranked],
    steps: &collections::FastMap<spec::StepId, steps::ReadyStep>,
    mut shares: share::Shares,
) {
    for rank in ranked {
        let Some(step) = steps.get(&rank.id) else {
            continue;
        };
        let Some(organisation) = &step.organisation else {
            continue;
        };
        rank.share_level = shares.level(organisation);
        if !rank.is_gang {
            shares.add(organisation, step.size(), step.waiting.len());
        }
    }
}

/// Processor time that a step is declared to take, in core-milliseconds.
fn core_ms(step: &spec::Step) -> u64 {
    let millicores = u64::from(step.tasks) * u64::from(step.size.millicores);
    millicores.saturating_mul(u64::from(step.estimate_ms)) / 1_000
}

/// Returns how much later a step is ranked because of its size.
fn size_delay(core_ms: u64) -> Duration {
    Duration::from_micros(core_ms.saturating_mul(constants::SIZE_DELAY_PER_CORE_MS_US))
}
