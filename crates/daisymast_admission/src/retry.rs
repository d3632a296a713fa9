//! Retry budget: limits retries to a share of recent traffic.

use std::time::Duration;

use daisymast_types::time::Monotonic;

/// Length of one slot of the sliding window.
const SLOT_LENGTH: Duration = Duration::from_secs(1);
/// Number of slots in the sliding window.
const SLOTS: usize = 10;

/// Counts first attempts and retries over the last ten seconds. Without a bound on retries, an
/// outage multiplies the load by the number of attempts just when the endpoints can handle the
/// least.
///
/// ```
/// use daisymast_admission::retry::Budget;
/// use daisymast_types::time::Monotonic;
/// let mut budget = Budget::new(10, 0);
/// let now = Monotonic::ZERO;
/// for _ in 0..10 {
///     budget.on_request(now);
/// }
/// assert!(budget.try_retry(now));
/// assert!(!budget.try_retry(now));
/// ```
#[derive(Clone, Debug)]
pub struct Budget {
    percent: u64,
    minimum: u64,
    slots: [Counts; SLOTS],
    /// Number of the newest slot, counted from the start of the process.
    newest_slot: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    requests: u64,
    retries: u64,
}

impl Budget {
    /// Creates a budget of `percent` of the first attempts, but at least `minimum` retries per ten
    /// seconds, so that isolated failures at low traffic are still retried.
    pub fn new(percent: u64, minimum: u64) -> Self {
        Self {
            percent,
            minimum,
            slots: [Counts::default(); SLOTS],
            newest_slot: 0,
        }
    }

    /// Counts a first attempt.
    pub fn on_request(&mut self, now: Monotonic) {
        self.current_slot(now).requests += 1;
    }

    /// Consumes one retry from the budget. Returns `false` if it is exhausted.
    pub fn try_retry(&mut self, now: Monotonic) -> bool {
        self.current_slot(now);
        let requests: u64 = self.slots.iter().map(|slot| slot.requests).sum();
        let retries: u64 = self.slots.iter().map(|slot| slot.retries).sum();
        let allowed = (requests * self.percent / 100).max(self.minimum);
        let permitted = retries < allowed;
        if permitted {
            self.current_slot(now).retries += 1;
        }
        permitted
    }

    /// Counts of the slot that contains `now`. Clears the slots that have left the window.
    fn current_slot(&mut self, now: Monotonic) -> &mut Counts {
        let slot_ms = u64::try_from(SLOT_LENGTH.as_millis()).unwrap_or(1);
        let number = now.as_millis() / slot_ms;
        let count = u64::try_from(SLOTS).unwrap_or(1);
        if number > self.newest_slot {
            let expired = (number - self.newest_slot).min(count);
            for step in 0..expired {
                self.slots[slot_index(number - step, count)] = Counts::default();
            }
            self.newest_slot = number;
        }
        &mut self.slots[slot_index(self.newest_slot, count)]
    }
}

fn slot_index(number: u64, count: u64) -> usize {
    usize::try_from(number % count).unwrap_or_default()
}
