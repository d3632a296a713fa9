//! Resource quantities and urgency of tasks.

use std::ops::{Add, AddAssign, Sub, SubAssign};

use serde::{Deserialize, Serialize};

/// CPU, memory and accelerators of a task or a worker.
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
    /// Number of accelerators.
    #[serde(default)]
    pub accelerators: u16,
}

impl Resources {
    /// No resources.
    pub const ZERO: Self = Self::new(0, 0, 0);

    /// Creates a size from thousandths of a core, mebibytes and a number of accelerators.
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

    /// Subtracts each quantity, saturating at zero.
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

/// Subtracts each quantity. A negative result is a bug in the caller: it fails a debug assertion
/// and saturates at zero in release builds.
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

/// Urgency class of a job. Less urgent work may be preempted by more urgent work.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Urgency {
    /// Uses capacity that no other work needs.
    Background,
    /// Default for work that is neither urgent nor deferrable.
    #[default]
    Normal,
    /// Takes precedence over all other work.
    Urgent,
}
