//! Validation faults of settings, all of which are reported together.

use std::fmt;

/// A validation fault: the field, its value and what is allowed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Path of the field, such as `listen.callers`.
    pub path: String,
    /// The invalid value; `(hidden)` for keys and for unknown fields, which may be misspelt keys.
    pub value: String,
    /// Description of the allowed values.
    pub allowed: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} = {}: {}", self.path, self.value, self.allowed)
    }
}

/// All validation faults of one settings file.
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

    /// Whether the settings are valid so far.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Iterates over the faults in the order in which the fields are read.
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
