//! The organisations of one version of the configuration.

use daisymast_types::ids;
use serde::{Deserialize, Serialize};

use crate::api_key;
use crate::organisation;

/// The organisations of one version of the configuration, in the order in which it lists them.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Directory {
    organisations: Vec<organisation::Organisation>,
}

impl Directory {
    /// Creates a directory.
    pub fn new(organisations: Vec<organisation::Organisation>) -> Self {
        Self { organisations }
    }

    /// Returns the organisation with the given name.
    pub fn get(&self, name: &ids::Organisation) -> Option<&organisation::Organisation> {
        self.organisations
            .iter()
            .find(|organisation| organisation.name == *name)
    }

    /// Returns the organisation whose callers use the key.
    ///
    /// ```
    /// use daisymast_organisations::{api_key, directory, organisation};
    /// let parts = organisation::Organisation {
    ///     name: "parts".into(),
    ///     keys: vec![api_key::KeyDigest::of("k1")],
    ///     weight: 4.0,
    ///     cap: organisation::Cap::default(),
    /// };
    /// let directory = directory::Directory::new(vec![parts]);
    /// let owner = directory.by_key(api_key::KeyDigest::of("k1")).unwrap();
    /// assert_eq!(owner.name.as_str(), "parts");
    /// assert!(directory.by_key(api_key::KeyDigest::of("k2")).is_none());
    /// ```
    pub fn by_key(&self, key: api_key::KeyDigest) -> Option<&organisation::Organisation> {
        self.organisations
            .iter()
            .find(|organisation| organisation.keys.contains(&key))
    }

    /// Iterates over the organisations.
    pub fn iter(&self) -> std::slice::Iter<'_, organisation::Organisation> {
        self.organisations.iter()
    }
}

impl<'a> IntoIterator for &'a Directory {
    type Item = &'a organisation::Organisation;
    type IntoIter = std::slice::Iter<'a, organisation::Organisation>;

    fn into_iter(self) -> Self::IntoIter {
        self.iter()
    }
}
