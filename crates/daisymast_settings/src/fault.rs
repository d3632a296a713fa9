//! Faults of settings, all of which are reported at once.

use std::fmt;

/// One fault: where, what was found, what is allowed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Path of the field, such as `listen.callers`.
    pub path: String,
    /// The value; `(hidden)` for keys and unknown fields, as one of those may be a misspelt key.
    pub value: String,
    /// What is allowed there.
    pub allowed: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} = {}: {}", self.path, self.value, self.allowed)
    }
}

/// All faults of one settings file.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Faults(Vec<Fault>);

impl Faults {
    pub(crate) fn add(&mut self, path: &str, value: &dyn fmt::Display, allowed: &str) {
        self.0.push(Fault {
            path: path.to_owned(),
            value: value.to_string(),
            allowed: allowed.to_owned(),
        });
    }

    /// Whether there is no fault.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// The faults.
    pub fn iter(&self) -> impl Iterator<Item = &Fault> {
        self.0.iter()
    }
}

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, fault) in self.0.iter().enumerate() {
            let separator = if index == 0 { "" } else { "\n" };
            write!(f, "{separator}{fault}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Faults {}
