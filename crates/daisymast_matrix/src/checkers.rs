//! Safety and liveness checks of the trace of a session.
//!
//! Checkers read only what was observed at workers, at callers and in the published state of
//! instances, never the counters of the component under test.

mod answers;
mod capacity;
mod configuration;
mod exclusive;
mod leaving;

use std::fmt;

use crate::trace::Trace;

pub use configuration::Bounds;

/// A violation of a rule, found in a trace.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Name of the violated rule.
    pub rule: &'static str,
    /// Virtual time of the violation, in milliseconds.
    pub at: u64,
    /// Description of what was observed.
    pub detail: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} at {} ms: {}", self.rule, self.at, self.detail)
    }
}

/// Runs all checkers on a trace and returns the violations, grouped by checker.
///
/// ```
/// use daisymast_matrix::{checkers, trace};
/// let empty = trace::Trace::default();
/// assert!(checkers::check(&empty, &checkers::Bounds::default()).is_empty());
/// ```
pub fn check(trace: &Trace, bounds: &Bounds) -> Vec<Violation> {
    // A frozen worker reports its events only after it resumes, so the trace can be out of order.
    let mut trace = trace.clone();
    trace.seen.sort_by_key(|(at, _)| *at);
    let trace = &trace;
    let mut found = Vec::new();
    found.extend(capacity::check(trace));
    found.extend(exclusive::check(trace));
    found.extend(answers::check(trace));
    found.extend(leaving::check(trace));
    found.extend(configuration::check(trace, bounds));
    found
}
