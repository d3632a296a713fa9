//! Checks of a session's trace against what must always hold.
//!
//! Each checker reads only what workers, callers and the instances' published state showed, never
//! the counters of the component under test.

mod answers;
mod capacity;
mod configuration;
mod exclusive;
mod leaving;

use std::fmt;

use crate::trace::Trace;

pub use configuration::Bounds;

/// A rule that a trace breaks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Rule that is broken.
    pub rule: &'static str,
    /// Virtual time in milliseconds.
    pub at: u64,
    /// What was seen.
    pub detail: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} at {} ms: {}", self.rule, self.at, self.detail)
    }
}

/// Runs all checkers over a trace.
///
/// ```
/// use daisymast_matrix::{checkers, trace};
/// let empty = trace::Trace::default();
/// assert!(checkers::check(&empty, &checkers::Bounds::default()).is_empty());
/// ```
pub fn check(trace: &Trace, bounds: &Bounds) -> Vec<Violation> {
    // A worker that was frozen reports afterwards what ended meanwhile.
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
