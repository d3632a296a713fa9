//! Sizes of tasks and workers.

use std::ops::{Add, AddAssign, Sub, SubAssign};

use serde::{Deserialize, Serialize};

/// Processors, memory and accelerators of a task or a worker.
///
/// ```
/// use daisymast_types::quantities::Resources;
/// let worker = Resources::new(32_000, 128 * 1024, 0);
/// let task = Resources::new(4_000, 2_048, 0);
/// assert!(task.fits_in(worker));
/// assert_eq!((worker - task).millicores, 28_000);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Resources {
    /// Thousandths of a core.
    pub millicores: u32,
    /// Mebibytes of memory.
    pub memory_mib: u32,
    /// Whole accelerators.
    #[serde(default)]
    pub accelerators: u16,
}

impl Resources {
    /// No resources at all.
    pub const ZERO: Self = Self::new(0, 0, 0);

    /// Makes a size from thousandths of a core, mebibytes and whole accelerators.
    pub const fn new(millicores: u32, memory_mib: u32, accelerators: u16) -> Self {
        Self {
            millicores,
            memory_mib,
            accelerators,
        }
    }

    /// Whether each quantity is at most that of `other`.
    pub fn fits_in(self, other: Self) -> bool {
        self.millicores <= other.millicores
            && self.memory_mib <= other.memory_mib
            && self.accelerators <= other.accelerators
    }

    /// Subtraction that stops at zero in each quantity.
    #[must_use]
    pub fn saturating_sub(self, other: Self) -> Self {
        Self {
            millicores: self.millicores.saturating_sub(other.millicores),
            memory_mib: self.memory_mib.saturating_sub(other.memory_mib),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }
}

impl Add for Resources {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self {
            millicores: self.millicores.saturating_add(other.millicores),
            memory_mib: self.memory_mib.saturating_add(other.memory_mib),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }
}

impl AddAssign for Resources {
    fn add_assign(&mut self, other: Self) {
        *self = *self + other;
    }
}

/// Subtraction; a negative result is a fault of the caller and saturates at zero.
impl Sub for Resources {
    type Output = Self;

    fn sub(self, other: Self) -> Self {
        debug_assert!(other.fits_in(self), "{other:?} does not fit in {self:?}");
        self.saturating_sub(other)
    }
}

impl SubAssign for Resources {
    fn sub_assign(&mut self, other: Self) {
        *self = *self - other;
    }
}

/// How urgent a job is. Lower work yields to higher work.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Urgency {
    /// Runs when nothing else needs the capacity.
    Background,
    /// Ordinary work.
    #[default]
    Normal,
    /// Starts before all other work.
    Urgent,
}
