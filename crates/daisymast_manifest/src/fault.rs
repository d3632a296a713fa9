//! Faults of a manifest, all of which are reported at once.

use std::fmt;

/// Longest part of a path or faulty value that a message shows, in characters.
const MAX_SHOWN_CHARS: usize = 60;
/// Faults that one report lists. A generated manifest can repeat one fault thousands of times.
const MAX_SHOWN_FAULTS: usize = 200;

/// One fault: where, what was found, what is allowed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Path of the field, such as `services[0].replicas`.
    pub path: String,
    /// The value, shortened.
    pub value: String,
    /// What is allowed there.
    pub allowed: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} = {}: {}", self.path, self.value, self.allowed)
    }
}

/// All faults of one manifest.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    faults: Vec<Fault>,
    omitted: usize,
}

impl Faults {
    /// Adds a fault. The value is shortened; faults above the bound are only counted.
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

    /// Whether there is no fault.
    pub fn is_empty(&self) -> bool {
        self.faults.is_empty()
    }

    /// The faults in the order of the manifest.
    pub fn iter(&self) -> impl Iterator<Item = &Fault> {
        self.faults.iter()
    }

    /// One line for each fault, and one that counts those beyond the bound.
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
