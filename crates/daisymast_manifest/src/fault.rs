//! Validation faults of a manifest, all of which are reported together.

use std::fmt;

/// Maximum number of characters of a path or value that a message shows.
const MAX_SHOWN_CHARS: usize = 60;
/// Maximum number of faults in one report. A generated manifest can repeat one fault thousands of
/// times.
const MAX_SHOWN_FAULTS: usize = 200;

/// A validation fault: the field, its value and what is allowed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Path of the field, such as `services[0].replicas`.
    pub path: String,
    /// The invalid value, truncated.
    pub value: String,
    /// Description of the allowed values.
    pub allowed: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} = {}: {}", self.path, self.value, self.allowed)
    }
}

/// All validation faults of one manifest.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    faults: Vec<Fault>,
    /// Number of faults above the maximum of one report.
    omitted: usize,
}

impl Faults {
    /// Adds a fault with its path and value truncated. Faults above the maximum of one report are
    /// only counted.
    pub(crate) fn add(&mut self, path: &str, value: &dyn fmt::Display, allowed: String) {
        if self.faults.len() >= MAX_SHOWN_FAULTS {
            self.omitted += 1;
            return;
        }
        self.faults.push(Fault {
            path: shorten(path),
            value: shorten(&value.to_string()),
            allowed,
        });
    }

    /// Whether the manifest is valid so far.
    pub fn is_empty(&self) -> bool {
        self.faults.is_empty()
    }

    /// Iterates over the reported faults: first type faults, then violated rules.
    pub fn iter(&self) -> impl Iterator<Item = &Fault> {
        self.faults.iter()
    }

    /// Returns one line per reported fault, and a last line with the number of faults that are not
    /// reported, if there are any.
    pub fn lines(&self) -> Vec<String> {
        let mut lines: Vec<String> = self.faults.iter().map(Fault::to_string).collect();
        if self.omitted > 0 {
            lines.push(format!("{} more faults", self.omitted));
        }
        lines
    }
}

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.lines().join("\n"))
    }
}

impl std::error::Error for Faults {}

fn shorten(text: &str) -> String {
    let mut shown: String = text.chars().take(MAX_SHOWN_CHARS).collect();
    if shown.len() < text.len() {
        shown.push_str("...");
    }
    shown
}
