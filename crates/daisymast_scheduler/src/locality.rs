//! Waiting for a place near a task's data, or for enough places on one rack for a gang.
//!
//! A task that runs far from its data, and a gang that is spread over racks, takes longer by a known
//! factor. Waiting for a near place saves that time and costs the wait. The decision compares the
//! two for places that are expected to become free, and bounds each wait by the time that it can
//! save, by the time objective and by [`MAX_WAIT`]. It reads no clock and no worker.

use std::time::Duration;

use daisymast_jobs::spec;
use daisymast_types::collections;
use daisymast_types::ids;
use daisymast_types::time;

mod bounds;
mod ratios;
#[cfg(test)]
mod tests;

/// Longest wait of a step for near places. A job that has nothing running for 3 s while there is
/// room counts as lost; the rest is left for its placement to be stored and its start to be sent.
pub const MAX_WAIT: Duration = Duration::from_millis(2_000);
/// Multiple of the expected wait after which the estimate counts as wrong. Declared run times are
/// often off by a half.
const PATIENCE_FACTOR: f64 = 1.5;
/// Time that is added to the patience, for the report of an ended run to arrive.
const PATIENCE_MARGIN: Duration = Duration::from_millis(100);
/// Shortest saving that a wait is opened for. Shorter ones are lost in the noise of the estimates
/// and the time between two passes.
const MIN_SAVING: Duration = Duration::from_millis(50);

/// How it is decided whether to wait. The other two ways are baselines for measurements.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Policy {
    /// Start far away at once.
    Never,
    /// Wait if the expected wait is shorter than the time that it saves.
    #[default]
    Weighed,
    /// Wait for as long as the bounds allow.
    Always,
}

/// A place near the data that is expected to become free.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Place {
    /// Worker with the place, by index.
    pub worker_index: usize,
    /// Expected time until the place is free.
    pub free_in: Duration,
    /// Learned speed of the worker.
    pub speed: f64,
}

/// A step that could start far away now.
#[derive(Clone, Copy, Debug)]
pub struct Choice {
    /// Declared run time of a task near its data.
    pub estimate: Duration,
    /// Learned speed of the workers far away.
    pub far_speed: f64,
    /// Latest start with which the job still ends on time, by declared run times near the data.
    pub latest_start: time::Monotonic,
    /// Number of tasks that would start far away.
    pub far_tasks: u32,
    /// Whether the tasks only work together, so that all wait or none.
    pub is_gang: bool,
    /// When an open wait of the step ends at the latest.
    pub limit: Option<time::Monotonic>,
}

/// An open wait of a step for near places.
#[derive(Clone, Debug, PartialEq)]
pub struct Wait {
    /// Rack with the places.
    pub rack: ids::WorkerLabel,
    /// When the wait began.
    pub since: time::Monotonic,
    /// When it ends at the latest.
    pub until: time::Monotonic,
    /// Expected wait when it began.
    pub expected: Duration,
    /// Workers whose places are awaited, by index.
    pub workers: Vec<usize>,
}

/// Tasks that are held back for near places.
#[derive(Clone, Debug, PartialEq)]
pub struct Hold {
    /// Number of tasks.
    pub tasks: u32,
    /// Expected time until the last of them has a place.
    pub expected: Duration,
    /// Time that a near place saves a task.
    pub saving: Duration,
    /// When the wait has to end.
    pub until: time::Monotonic,
    /// Workers of the places, by index.
    pub workers: Vec<usize>,
}

/// What came of the waits, since the start of the term.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Counts {
    /// Waits that were opened.
    pub started: u64,
    /// Waits that ended with near places for all tasks that waited.
    pub paid: u64,
    /// Waits after which tasks started far away.
    pub lost: u64,
    /// Waits of steps that ended meanwhile.
    pub dropped: u64,
    /// Time of all ended waits together.
    pub waited: Duration,
}

/// Decides about waits, and learns how well they were estimated.
#[derive(Clone, Debug, Default)]
pub struct Locality {
    far_factor: f64,
    policy: Policy,
    open: collections::FastMap<spec::StepId, Wait>,
    ratios: ratios::Ratios,
    counts: Counts,
}

impl Locality {
    /// Creates the decision for a cell in which tasks far from their data take `far_factor` times as
    /// long. A factor of 1 or less, or one that is not a number, switches waits off.
    ///
    /// ```
    /// use daisymast_scheduler::locality;
    /// assert!(locality::Locality::new(1.5).is_enabled());
    /// assert!(!locality::Locality::new(1.0).is_enabled());
    /// assert!(!locality::Locality::new(f64::NAN).is_enabled());
    /// ```
    pub fn new(far_factor: f64) -> Self {
        Self {
            far_factor,
            ..Self::default()
        }
    }

    /// Decides by another policy.
    #[must_use]
    pub fn with_policy(mut self, policy: Policy) -> Self {
        self.policy = policy;
        self
    }

    /// Whether steps may wait.
    pub fn is_enabled(&self) -> bool {
        self.far_factor > 1.0 && self.far_factor.is_finite() && self.policy != Policy::Never
    }

    /// Factor by which tasks far from their data take longer, at least 1.
    pub fn far_factor(&self) -> f64 {
        if self.far_factor > 1.0 && self.far_factor.is_finite() {
            self.far_factor
        } else {
            1.0
        }
    }

    /// What came of the waits.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Returns how many tasks to hold back, and for how long, `None` if a start far away is better.
    /// `places` are those on the rack that are not free now.
    ///
    /// ```
    /// use std::time::Duration;
    /// use daisymast_scheduler::locality;
    /// use daisymast_types::time;
    /// let choice = locality::Choice {
    ///     estimate: Duration::from_secs(4),
    ///     far_speed: 1.0,
    ///     latest_start: time::Monotonic::from_millis(20_000),
    ///     far_tasks: 1,
    ///     is_gang: false,
    ///     limit: None,
    /// };
    /// let place = |millis| locality::Place {
    ///     worker_index: 7,
    ///     free_in: Duration::from_millis(millis),
    ///     speed: 1.0,
    /// };
    /// let locality = locality::Locality::new(1.5);
    /// let now = time::Monotonic::from_millis(5_000);
    /// // Near its data, the task takes 4 s instead of 6 s.
    /// assert!(locality.weigh(&choice, &"r1".into(), vec![place(500)], now).is_some());
    /// assert!(locality.weigh(&choice, &"r1".into(), vec![place(2_500)], now).is_none());
    /// ```
    pub fn weigh(
        &self,
        choice: &Choice,
        rack: &ids::WorkerLabel,
        mut places: Vec<Place>,
        now: time::Monotonic,
    ) -> Option<Hold> {
        if !self.is_enabled() {
            return None;
        }
        let far = bounds::run_time(choice.estimate, self.far_factor, choice.far_speed);
        let ratio = self.ratios.get(rack, now);
        for place in &mut places {
            place.free_in = bounds::scale(place.free_in, ratio);
        }
        places.sort_unstable_by_key(|place| (place.free_in, place.worker_index));
        places.truncate(choice.far_tasks as usize);
        if choice.is_gang {
            self.weigh_together(choice, &places, far, now)
        } else {
            self.weigh_each(choice, &places, far, now)
        }
    }

    /// Holds back as many tasks as there are places that become free in time.
    fn weigh_each(
        &self,
        choice: &Choice,
        places: &[Place],
        far: Duration,
        now: time::Monotonic,
    ) -> Option<Hold> {
        let speeds = places.iter().map(|place| place.speed);
        let fastest = speeds.fold(0.0, f64::max);
        let near = bounds::run_time(choice.estimate, 1.0, fastest);
        let bounds = bounds::Bounds::new(choice, far, near, now)?;
        let pays = |place: &&Place| {
            let near = bounds::run_time(choice.estimate, 1.0, place.speed);
            let saving = far.saturating_sub(near);
            self.pays(choice, place.free_in, bounds::Bounds { saving, ..bounds })
        };
        let places: Vec<Place> = places.iter().filter(pays).copied().collect();
        let last = places.last()?.free_in;
        Some(self.hold(&places, last, bounds, now))
    }

    /// Holds back all members of a gang, or none. It is as slow as its slowest member.
    fn weigh_together(
        &self,
        choice: &Choice,
        places: &[Place],
        far: Duration,
        now: time::Monotonic,
    ) -> Option<Hold> {
        if places.len() < choice.far_tasks as usize {
            return None;
        }
        let speeds = places.iter().map(|place| place.speed);
        let slowest = speeds.fold(f64::INFINITY, f64::min);
        let near = bounds::run_time(choice.estimate, 1.0, slowest);
        let bounds = bounds::Bounds::new(choice, far, near, now)?;
        let last = places.last()?.free_in;
        let pays = self.pays(choice, last, bounds);
        pays.then(|| self.hold(places, last, bounds, now))
    }

    /// Whether a wait pays. One that is open goes on until its limit while a near place would still
    /// save time: estimates change with each report, and a wait that ends at each change saves
    /// nothing.
    fn pays(&self, choice: &Choice, wait: Duration, bounds: bounds::Bounds) -> bool {
        let enough = match choice.limit {
            Some(_) => bounds.saving,
            None => bounds.saving.min(bounds.longest),
        };
        self.policy == Policy::Always || wait < enough
    }

    fn hold(
        &self,
        places: &[Place],
        expected: Duration,
        bounds: bounds::Bounds,
        now: time::Monotonic,
    ) -> Hold {
        let patience = bounds::scale(expected, PATIENCE_FACTOR) + PATIENCE_MARGIN;
        let wait = match self.policy {
            Policy::Always => bounds.longest,
            Policy::Weighed | Policy::Never => bounds.longest.min(patience),
        };
        Hold {
            tasks: u32::try_from(places.len()).unwrap_or(u32::MAX),
            expected,
            saving: bounds.saving,
            until: now + wait,
            workers: places.iter().map(|place| place.worker_index).collect(),
        }
    }

    /// Returns the open wait of a step.
    pub fn open_wait(&self, step: spec::StepId) -> Option<&Wait> {
        self.open.get(&step)
    }

    /// Returns the steps with an open wait, and when it ends at the latest.
    pub fn open_waits(&self) -> Vec<(spec::StepId, time::Monotonic)> {
        let open = self.open.iter();
        open.map(|(&step, wait)| (step, wait.until)).collect()
    }

    /// Returns when the first open wait ends.
    pub fn next_end(&self) -> Option<time::Monotonic> {
        self.open.values().map(|wait| wait.until).min()
    }

    /// Opens a wait, or updates the workers of the one that is open. Returns whether it is new.
    pub fn open(
        &mut self,
        step: spec::StepId,
        rack: ids::WorkerLabel,
        hold: Hold,
        now: time::Monotonic,
    ) -> bool {
        if let Some(wait) = self.open.get_mut(&step) {
            wait.workers = hold.workers;
            return false;
        }
        self.counts.started += 1;
        let wait = Wait {
            rack,
            since: now,
            until: hold.until,
            expected: hold.expected,
            workers: hold.workers,
        };
        self.open.insert(step, wait);
        true
    }

    /// Closes the wait of a step, if one is open, and learns from it.
    pub fn close(
        &mut self,
        step: spec::StepId,
        outcome: Outcome,
        now: time::Monotonic,
    ) -> Option<Wait> {
        let wait = self.open.remove(&step)?;
        let actual = now - wait.since;
        self.counts.waited += actual;
        match outcome {
            Outcome::Paid => self.counts.paid += 1,
            Outcome::Lost => self.counts.lost += 1,
            Outcome::Dropped => self.counts.dropped += 1,
        }
        // Of a lost wait only the lower bound is known. It counts as twice as long.
        let shown = match outcome {
            Outcome::Paid => Some(actual),
            Outcome::Lost => Some(actual.max(wait.expected) * 2),
            Outcome::Dropped => None,
        };
        if let Some(shown) = shown {
            let expected = wait.expected.max(MIN_SAVING);
            self.ratios.learn(&wait.rack, expected, shown, now);
        }
        Some(wait)
    }
}

/// How a wait ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// All tasks that waited got near places.
    Paid,
    /// Tasks start far away, or wait with all others because there is no room.
    Lost,
    /// The step has ended or was cancelled.
    Dropped,
}

/// Returns the time that a run of a worker still takes.
///
/// ```
/// use std::time::Duration;
/// use daisymast_scheduler::locality;
/// let seconds = Duration::from_secs;
/// // Progress counts for more than the declared run time.
/// assert_eq!(locality::remaining(seconds(4), seconds(5), 50, seconds(1)), seconds(3));
/// // A run that is overdue by some time is expected to go on for as long again.
/// assert_eq!(locality::remaining(seconds(4), seconds(6), 0, seconds(6)), seconds(2));
/// ```
pub fn remaining(expected: Duration, elapsed: Duration, percent: u8, quiet: Duration) -> Duration {
    /// Progress, in percent, from which on it is used to estimate the run time.
    const MIN_PERCENT: u8 = 5;
    let percent = percent.min(100);
    let total = if percent >= MIN_PERCENT {
        let at_report = elapsed.saturating_sub(quiet);
        at_report * 100 / u32::from(percent)
    } else {
        expected
    };
    match total.checked_sub(elapsed) {
        Some(left) if !left.is_zero() => left,
        _ => elapsed.saturating_sub(total),
    }
}
