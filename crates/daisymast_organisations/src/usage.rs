//! What the organisations have running, and how many tasks their caps still allow.

use daisymast_types::collections;
use daisymast_types::ids;
use daisymast_types::quantities;

use crate::organisation;

/// What the tasks of each organisation occupy on all workers together.
///
/// ```
/// use daisymast_organisations::{organisation, usage};
/// use daisymast_types::quantities::Resources;
/// let cap = organisation::Cap { millicores: Some(10_000), ..organisation::Cap::default() };
/// let size = Resources::new(4_000, 1_024, 0);
/// let mut usage = usage::Usage::default();
/// usage.add(&"parts".into(), size);
/// assert_eq!(usage.room(&"parts".into(), cap, size), 1);
/// usage.add(&"parts".into(), size);
/// assert_eq!(usage.room(&"parts".into(), cap, size), 0);
/// usage.remove(&"parts".into(), size);
/// assert_eq!(usage.of(&"parts".into()), size);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Usage {
    /// Organisations without running tasks have no entry, which bounds the map by the running tasks.
    totals: collections::FastMap<ids::Organisation, Total>,
}

impl Usage {
    /// Counts a task of an organisation.
    pub fn add(&mut self, organisation: &ids::Organisation, size: quantities::Resources) {
        match self.totals.get_mut(organisation) {
            Some(total) => total.add(size),
            None => {
                let mut total = Total::default();
                total.add(size);
                self.totals.insert(organisation.clone(), total);
            }
        }
    }

    /// Stops counting a task of an organisation.
    pub fn remove(&mut self, organisation: &ids::Organisation, size: quantities::Resources) {
        if let Some(total) = self.totals.get_mut(organisation) {
            total.remove(size);
            if total.tasks == 0 {
                self.totals.remove(organisation);
            }
        }
    }

    /// Returns what the tasks of an organisation occupy.
    pub fn of(&self, organisation: &ids::Organisation) -> quantities::Resources {
        self.totals
            .get(organisation)
            .map_or(quantities::Resources::ZERO, |total| total.resources())
    }

    /// Returns how many more tasks of a size an organisation may start under a cap. The rest of a step
    /// that is wider waits until some of them have ended.
    pub fn room(
        &self,
        organisation: &ids::Organisation,
        cap: organisation::Cap,
        size: quantities::Resources,
    ) -> u32 {
        tasks_within(cap, self.of(organisation), size)
    }
}

/// Returns how many more tasks of a size a cap allows beside what is in use, `u32::MAX` if the cap does
/// not limit them. Nothing more may start while use exceeds the cap in any quantity, also one that the
/// task does not need: a lowered cap has to be kept first.
///
/// ```
/// use daisymast_organisations::{organisation, usage};
/// use daisymast_types::quantities::Resources;
/// let cap = organisation::Cap { memory_mib: Some(4_096), ..organisation::Cap::default() };
/// let size = Resources::new(9_000, 1_024, 0);
/// assert_eq!(usage::tasks_within(cap, Resources::ZERO, size), 4);
/// assert_eq!(usage::tasks_within(cap, Resources::new(0, 4_097, 0), Resources::new(1, 0, 0)), 0);
/// assert_eq!(usage::tasks_within(organisation::Cap::default(), size, size), u32::MAX);
/// ```
pub fn tasks_within(
    cap: organisation::Cap,
    used: quantities::Resources,
    size: quantities::Resources,
) -> u32 {
    let tasks = |cap: Option<u32>, used: u32, size: u32| {
        let Some(cap) = cap else {
            return u32::MAX;
        };
        let Some(left) = cap.checked_sub(used) else {
            return 0;
        };
        left.checked_div(size).unwrap_or(u32::MAX)
    };
    let accelerators = cap.accelerators.map(u32::from);
    tasks(cap.millicores, used.millicores, size.millicores)
        .min(tasks(cap.memory_mib, used.memory_mib, size.memory_mib))
        .min(tasks(
            accelerators,
            u32::from(used.accelerators),
            u32::from(size.accelerators),
        ))
}

/// Sums are wider than the quantities, so that no sum saturates and then falls short after a removal.
#[derive(Clone, Copy, Debug, Default)]
struct Total {
    millicores: u64,
    memory_mib: u64,
    accelerators: u64,
    tasks: u64,
}

impl Total {
    fn add(&mut self, size: quantities::Resources) {
        self.millicores += u64::from(size.millicores);
        self.memory_mib += u64::from(size.memory_mib);
        self.accelerators += u64::from(size.accelerators);
        self.tasks += 1;
    }

    fn remove(&mut self, size: quantities::Resources) {
        debug_assert!(self.tasks > 0, "removal of a task that was not counted");
        self.millicores = self.millicores.saturating_sub(u64::from(size.millicores));
        self.memory_mib = self.memory_mib.saturating_sub(u64::from(size.memory_mib));
        self.accelerators = self
            .accelerators
            .saturating_sub(u64::from(size.accelerators));
        self.tasks = self.tasks.saturating_sub(1);
    }

    fn resources(self) -> quantities::Resources {
        quantities::Resources {
            millicores: u32::try_from(self.millicores).unwrap_or(u32::MAX),
            memory_mib: u32::try_from(self.memory_mib).unwrap_or(u32::MAX),
            accelerators: u16::try_from(self.accelerators).unwrap_or(u16::MAX),
        }
    }
}
