//! Limits of the concurrency towards one back end.
//!
//! A [`Limiter`] counts what is in flight and closes an observation window from time to time; a
//! [`Policy`] turns the window into the next limit. Three policies are provided: [`fixed`],
//! [`additive`] and [`gradient`].

use std::fmt;
use std::time::Duration;

use daisymast_types::time::Monotonic;

/// Slots of a back end; the limit starts there.
const INITIAL_LIMIT: f64 = 8.0;
/// Connections of a back end; no limit exceeds it.
const MAX_LIMIT: f64 = 60.0;
/// Shortest observation window.
const MIN_WINDOW: Duration = Duration::from_millis(250);
/// Fewest endings in a closed window.
const MIN_WINDOW_COMPLETIONS: u32 = 8;

/// How one piece of work ended at the back end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RequestOutcome {
    /// It was served.
    Served,
    /// The back end had no room for it.
    Refused,
    /// No answer came before the deadline.
    TimedOut,
    /// The service itself failed, which says nothing of the load.
    Failed,
}

/// What was seen while one limit was in force.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Window {
    /// Endings in the window.
    pub completions: u32,
    /// Endings that the policy counts as failures.
    pub failures: u32,
    /// Most that was in flight at one time.
    pub peak: u32,
    /// Mean latency of what was served, in microseconds; zero if nothing was.
    pub latency: f64,
    served: u32,
}

/// Derives the next limit from a closed window and the present limit.
pub type Adjust = Box<dyn FnMut(&Window, f64) -> f64 + Send>;

/// How a limit is derived from what was seen.
pub struct Policy {
    /// Whether an ending counts as a failure.
    pub is_failure: Box<dyn Fn(RequestOutcome) -> bool + Send>,
    /// The next limit from the closed window and the present limit.
    pub adjust: Adjust,
}

impl fmt::Debug for Policy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Policy")
    }
}

/// Permission for one piece of work; given back with [`Limiter::finish`].
#[must_use = "a permit that is dropped is never given back"]
#[derive(Debug)]
pub struct Permit {
    started: Monotonic,
    window_number: u64,
}

/// Concurrency limit towards one back end.
///
/// ```
/// use daisymast_admission::limiter::{self, RequestOutcome, Limiter};
/// use daisymast_types::time::Monotonic;
/// let mut limiter = Limiter::new(limiter::fixed());
/// let permit = limiter.try_acquire(Monotonic::ZERO).expect("nothing is in flight");
/// assert_eq!(limiter.in_flight(), 1);
/// limiter.release(Monotonic::from_millis(20), permit, RequestOutcome::Served);
/// assert_eq!(limiter.in_flight(), 0);
/// ```
#[derive(Debug)]
pub struct Limiter {
    policy: Policy,
    limit: f64,
    in_flight: u32,
    window_number: u64,
    window_started_at: Monotonic,
    window: Window,
}

impl Limiter {
    /// A limiter that starts with eight slots.
    pub fn new(policy: Policy) -> Self {
        Self {
            policy,
            limit: INITIAL_LIMIT,
            in_flight: 0,
            window_number: 0,
            window_started_at: Monotonic::ZERO,
            window: Window::default(),
        }
    }

    /// Permits one more piece of work, if the limit allows it.
    pub fn try_acquire(&mut self, now: Monotonic) -> Option<Permit> {
        if f64::from(self.in_flight) + 1.0 > self.limit {
            return None;
        }
        self.in_flight += 1;
        self.window.peak = self.window.peak.max(self.in_flight);
        Some(Permit {
            started: now,
            window_number: self.window_number,
        })
    }

    /// Notes how a piece of work ended. Only work that started under the present limit counts: what
    /// started before shows the effect of an earlier limit.
    pub fn release(&mut self, now: Monotonic, permit: Permit, outcome: RequestOutcome) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if permit.window_number != self.window_number {
            return;
        }
        let window = &mut self.window;
        window.completions += 1;
        if (self.policy.is_failure)(outcome) {
            window.failures += 1;
        }
        if outcome == RequestOutcome::Served {
            window.served += 1;
            let sample = (now - permit.started).as_secs_f64() * 1e6;
            window.latency += (sample - window.latency) / f64::from(window.served);
        }
        if window.completions >= MIN_WINDOW_COMPLETIONS
            && now - self.window_started_at >= MIN_WINDOW
        {
            self.close_window(now);
        }
    }

    /// Most that may be in flight.
    pub fn limit(&self) -> f64 {
        self.limit
    }

    /// What is in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    fn close_window(&mut self, now: Monotonic) {
        let next = (self.policy.adjust)(&self.window, self.limit).clamp(1.0, MAX_LIMIT);
        self.limit = next;
        self.window_number += 1;
        self.window_started_at = now;
        self.window = Window {
            peak: self.in_flight,
            ..Window::default()
        };
    }
}

/// The limit stays at the number of slots. Baseline of the other two.
pub fn fixed() -> Policy {
    Policy {
        is_failure: Box::new(|_| false),
        adjust: Box::new(|_, limit| limit),
    }
}

/// Additive increase by one and multiplicative decrease by three tenths over settled windows. The
/// limit rises only if it was used up, and falls if the classifier counted a failure.
///
/// A limit that adapts between bounds to what the other side takes is the idea of the package
/// "dynamic-throttled-queue"; here it follows additive increase and multiplicative decrease, settled
/// observation windows and a classifier of the failures that count.
pub fn aimd(is_failure: impl Fn(RequestOutcome) -> bool + Send + 'static) -> Policy {
    Policy {
        is_failure: Box::new(is_failure),
        adjust: Box::new(|window, limit| {
            if window.failures > 0 {
                limit * 0.7
            } else if f64::from(window.peak) + 1.0 > limit {
                limit + 1.0
            } else {
                limit
            }
        }),
    }
}

/// Whether an ending tells of too much load: a refusal or a lost answer.
pub fn is_overload(outcome: RequestOutcome) -> bool {
    matches!(outcome, RequestOutcome::Refused | RequestOutcome::TimedOut)
}

/// The limit follows the ratio of the least latency to the smoothed one: latency above `tolerance`
/// times the least one means that work queues at the back end.
pub fn gradient(tolerance: f64) -> Policy {
    let mut min_latency = f64::INFINITY;
    let mut smoothed = 0.0;
    Policy {
        is_failure: Box::new(is_overload),
        adjust: Box::new(move |window, limit| {
            if window.failures > 0 {
                return limit * 0.7;
            }
            if window.latency <= 0.0 {
                return limit;
            }
            smoothed = if smoothed <= 0.0 {
                window.latency
            } else {
                0.5 * smoothed + 0.5 * window.latency
            };
            // The least latency rises slowly, so that a back end that became slower for good is
            // not taken for an overloaded one for ever.
            min_latency = (min_latency * 1.02).min(window.latency);
            let ratio = (tolerance * min_latency / smoothed).clamp(0.5, 1.0);
            let headroom = if f64::from(window.peak) + 1.0 > limit {
                1.0
            } else {
                0.0
            };
            limit * ratio + headroom
        }),
    }
}
