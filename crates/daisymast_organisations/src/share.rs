//! Shares of the organisations in a cell, by weight over the dominant resource.
//!
//! The dominant share of an organisation is the largest part that its tasks occupy of any resource of
//! the cell (dominant resource fairness, Ghodsi et al. 2011). It is entitled to the part that its
//! weight has among those of the active organisations, so that idle shares are lent to the others. An
//! organisation that comes back has nothing running, and so comes first for what becomes free.

use daisymast_types::collections;
use daisymast_types::ids;
use daisymast_types::quantities;

/// Highest level that [`Shares::level`] returns. Organisations beyond it rank equally.
const MAX_LEVEL: f64 = 8.0;

/// Resources of all usable workers together. The sums are wider than those of a worker.
#[derive(Clone, Copy, Debug, Default)]
pub struct Capacity {
    millicores: u64,
    memory_mib: u64,
    accelerators: u64,
}

impl Capacity {
    /// Adds the resources of a worker.
    pub fn add(&mut self, worker: quantities::Resources) {
        self.millicores += u64::from(worker.millicores);
        self.memory_mib += u64::from(worker.memory_mib);
        self.accelerators += u64::from(worker.accelerators);
    }

    /// Returns the largest part that `used` takes of any resource.
    ///
    /// ```
    /// use daisymast_organisations::share;
    /// use daisymast_types::quantities::Resources;
    /// let mut capacity = share::Capacity::default();
    /// capacity.add(Resources::new(10_000, 4_096, 0));
    /// assert_eq!(capacity.dominant_share(Resources::new(1_000, 1_024, 0)), 0.25);
    /// ```
    pub fn dominant_share(&self, used: quantities::Resources) -> f64 {
        let part = |used: u64, capacity: u64| used as f64 / capacity.max(1) as f64;
        part(u64::from(used.millicores), self.millicores)
            .max(part(u64::from(used.memory_mib), self.memory_mib))
            .max(part(u64::from(used.accelerators), self.accelerators))
    }
}

/// An organisation that has tasks running or waiting.
#[derive(Clone, Debug)]
pub struct Active {
    /// Name of the organisation.
    pub name: ids::Organisation,
    /// Its weight.
    pub weight: f64,
    /// What its tasks occupy on all workers.
    pub used: quantities::Resources,
}

/// How much the active organisations use of what they are entitled to.
#[derive(Clone, Debug, Default)]
pub struct Shares {
    capacity: Capacity,
    /// Use of each active organisation.
    uses: collections::FastMap<ids::Organisation, Use>,
}

/// How much an organisation uses of its share.
#[derive(Clone, Copy, Debug)]
struct Use {
    /// Its dominant share, as a multiple of the part that it is entitled to.
    multiple: f64,
    /// Part of the cell that its weight entitles it to.
    entitled: f64,
}

impl Shares {
    /// Compares what the active organisations use with their shares of the capacity.
    ///
    /// ```
    /// use daisymast_organisations::share;
    /// use daisymast_types::quantities::Resources;
    /// let mut capacity = share::Capacity::default();
    /// capacity.add(Resources::new(10_000, 4_096, 0));
    /// let active = |name: &str, weight, millicores| share::Active {
    ///     name: name.into(),
    ///     weight,
    ///     used: Resources::new(millicores, 0, 0),
    /// };
    /// let mut shares = share::Shares::new(capacity, vec![
    ///     active("large", 3.0, 5_000),
    ///     active("small", 1.0, 5_000),
    /// ]);
    /// // "large" is entitled to three quarters, "small" to one.
    /// assert_eq!(shares.level(&"large".into()), 0);
    /// assert_eq!(shares.level(&"small".into()), 2);
    /// shares.add(&"large".into(), Resources::new(2_500, 0, 0), 1);
    /// assert_eq!(shares.level(&"large".into()), 1);
    /// ```
    pub fn new(capacity: Capacity, active: Vec<Active>) -> Self {
        let weight = |organisation: &Active| organisation.weight.max(f64::MIN_POSITIVE);
        let total: f64 = active.iter().map(weight).sum();
        let uses = active.into_iter().map(|organisation| {
            let entitled = weight(&organisation) / total;
            let multiple = capacity.dominant_share(organisation.used) / entitled;
            (organisation.name, Use { multiple, entitled })
        });
        Self {
            capacity,
            uses: uses.collect(),
        }
    }

    /// Counts tasks of a size that an organisation is about to start. The dominant share of the tasks is
    /// added to that of the organisation even if the two are of different resources. The sum is then an
    /// upper bound, which is enough to take turns between the organisations within one pass.
    pub fn add(
        &mut self,
        organisation: &ids::Organisation,
        size: quantities::Resources,
        tasks: usize,
    ) {
        let part = self.capacity.dominant_share(size) * tasks as f64;
        if let Some(usage) = self.uses.get_mut(organisation) {
            usage.multiple += part / usage.entitled;
        }
    }

    /// Returns how often an organisation uses its share, rounded down: 0 while it is within the share
    /// or not active.
    pub fn level(&self, organisation: &ids::Organisation) -> u8 {
        let usage = self.uses.get(organisation);
        let multiple = usage.map_or(0.0, |usage| usage.multiple);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the value is clamped first"
        )]
        let level = multiple.clamp(0.0, MAX_LEVEL) as u8;
        level
    }
}
