//! Concurrency limits for requests to one endpoint.
//!
//! A [`Limiter`] counts the requests in flight and divides time into observation windows. At the
//! end of a window, a [`Policy`] derives the next limit from it. Three policies are provided:
//! [`fixed`], [`aimd`] and [`gradient`].

use std::fmt;
use std::time::Duration;

use daisymast_types::time::Monotonic;

/// Initial limit: the number of requests that an endpoint serves concurrently.
const INITIAL_LIMIT: f64 = 8.0;
/// Upper bound on the limit: the number of connections that an endpoint accepts.
const MAX_LIMIT: f64 = 60.0;
/// Minimum length of an observation window.
const MIN_WINDOW: Duration = Duration::from_millis(250);
/// Minimum number of completed requests in an observation window.
const MIN_WINDOW_COMPLETIONS: u32 = 8;

/// Outcome of one request to the endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RequestOutcome {
    /// The endpoint served it.
    Served,
    /// The endpoint refused it for lack of capacity.
    Refused,
    /// No answer came before the deadline.
    TimedOut,
    /// The service itself failed, which says nothing about the load.
    Failed,
}

/// Observations made while one limit was in force.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Window {
    /// Requests that completed in the window.
    pub completions: u32,
    /// Completed requests that the policy counts as failures.
    pub failures: u32,
    /// Maximum number of requests in flight at one time.
    pub peak: u32,
    /// Mean latency of the served requests in microseconds, zero if there were none.
    pub latency: f64,
    served: u32,
}

/// Function from a closed window and the current limit to the next limit.
pub type Adjust = Box<dyn FnMut(&Window, f64) -> f64 + Send>;

/// Rule that adapts the limit to the observations.
pub struct Policy {
    /// Whether an outcome counts as a failure.
    pub is_failure: Box<dyn Fn(RequestOutcome) -> bool + Send>,
    /// Computes the next limit; the result is clamped to the range from 1 to the upper bound.
    pub adjust: Adjust,
}

impl fmt::Debug for Policy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Policy")
    }
}

/// Permit for one request in flight; returned with [`Limiter::release`].
#[must_use = "a dropped permit is never returned to the limiter"]
#[derive(Debug)]
pub struct Permit {
    started: Monotonic,
    window_number: u64,
}

/// Adaptive concurrency limit for one endpoint.
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
    /// Creates a limiter with an initial limit of eight requests.
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

    /// Acquires a permit for one more request, or returns `None` if the limit is reached.
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

    /// Returns a permit with the outcome of its request. Only requests that started in the current
    /// window are observed: earlier ones show the effect of a previous limit.
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

    /// Maximum number of requests in flight.
    pub fn limit(&self) -> f64 {
        self.limit
    }

    /// Number of requests in flight.
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

/// Keeps the initial limit. Serves as the baseline for the other policies.
pub fn fixed() -> Policy {
    Policy {
        is_failure: Box::new(|_| false),
        adjust: Box::new(|_, limit| limit),
    }
}

/// Additive increase by one, multiplicative decrease by three tenths. The limit rises only if it
/// was fully used, and falls if `is_failure` was true for any outcome in the window.
///
/// The idea of adapting a limit between bounds to what the other side accepts comes from the
/// package "dynamic-throttled-queue". This policy adds AIMD steps, separate observation windows and
/// a classifier for failures.
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

/// Whether an outcome indicates overload: a refusal or a timeout.
pub fn is_overload(outcome: RequestOutcome) -> bool {
    matches!(outcome, RequestOutcome::Refused | RequestOutcome::TimedOut)
}

/// Scales the limit by the ratio of the minimum latency to the smoothed latency. A latency above
/// `tolerance` times the minimum means that requests queue at the endpoint.
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
            // The minimum latency slowly rises, so that an endpoint that has become permanently
            // slower is not treated as overloaded forever.
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
