//! Settings of one organisation.

use daisymast_types::ids;
use daisymast_types::quantities;
use serde::{Deserialize, Serialize};

use crate::api_key;

/// An organisation as the operator's configuration declares it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Organisation {
    /// Name of the organisation.
    pub name: ids::Organisation,
    /// Digests of the API keys that its callers may use.
    pub keys: Vec<api_key::KeyDigest>,
    /// Share of the organisation while capacity is short, and the number of jobs a second to which
    /// it is entitled.
    pub weight: f64,
    /// Limit on what its tasks occupy on all workers together.
    pub cap: Cap,
}

/// Settings of an organisation that its accepted jobs follow. They are kept after a configuration drops
/// the organisation, and hold no keys.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Terms {
    /// Name of the organisation.
    pub name: ids::Organisation,
    /// Share and rate; see [`Organisation::weight`].
    pub weight: f64,
    /// Limit on what its tasks occupy.
    pub cap: Cap,
    /// Version of the configuration that the settings come from.
    pub version: u64,
}

impl Organisation {
    /// Returns the settings that jobs accepted under a version of the configuration follow.
    pub fn terms(&self, version: u64) -> Terms {
        Terms {
            name: self.name.clone(),
            weight: self.weight,
            cap: self.cap,
            version,
        }
    }
}

/// Limit on resources; `None` in a field means that there is no limit on it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cap {
    /// Thousandths of a core.
    pub millicores: Option<u32>,
    /// Mebibytes of memory.
    pub memory_mib: Option<u32>,
    /// Number of accelerators.
    pub accelerators: Option<u16>,
}

impl Cap {
    /// The cap that allows no task to run.
    pub const NOTHING: Self = Self {
        millicores: Some(0),
        memory_mib: Some(0),
        accelerators: Some(0),
    };

    /// Whether use is within the limit.
    ///
    /// ```
    /// use daisymast_organisations::organisation::Cap;
    /// use daisymast_types::quantities::Resources;
    /// let cap = Cap { millicores: Some(4_000), ..Cap::default() };
    /// assert!(cap.allows(Resources::new(4_000, 99_000, 0)));
    /// assert!(!cap.allows(Resources::new(4_001, 0, 0)));
    /// ```
    pub fn allows(self, used: quantities::Resources) -> bool {
        self.millicores.is_none_or(|cap| used.millicores <= cap)
            && self.memory_mib.is_none_or(|cap| used.memory_mib <= cap)
            && self.accelerators.is_none_or(|cap| used.accelerators <= cap)
    }
}
