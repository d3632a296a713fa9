//! Decides for which organisation a caller acts.

use daisymast_types::ids;
use serde::{Deserialize, Serialize};

use crate::api_key;
use crate::directory;

/// For whom a caller acts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Caller {
    /// No organisations are configured, or the node that sent the request knows none.
    #[default]
    Unchecked,
    /// The caller uses a queue that asks for no key.
    Public,
    /// The caller's key belongs to this organisation.
    Organisation(ids::Organisation),
}

impl Caller {
    /// Whether the caller is not checked. Messages omit such a caller.
    pub fn is_unchecked(&self) -> bool {
        *self == Self::Unchecked
    }

    /// Returns the organisation for which the caller acts.
    pub fn organisation(&self) -> Option<&ids::Organisation> {
        match self {
            Self::Organisation(organisation) => Some(organisation),
            Self::Unchecked | Self::Public => None,
        }
    }

    /// Whether the caller may see and cancel a job that belongs to `owner`. A job that belongs to no
    /// organisation is open to all callers.
    ///
    /// ```
    /// use daisymast_organisations::access::Caller;
    /// let caller = Caller::Organisation("parts".into());
    /// assert!(caller.may_use(Some(&"parts".into())));
    /// assert!(!caller.may_use(Some(&"saws".into())));
    /// assert!(!Caller::Public.may_use(Some(&"saws".into())));
    /// assert!(caller.may_use(None));
    /// ```
    pub fn may_use(&self, owner: Option<&ids::Organisation>) -> bool {
        self.is_unchecked() || owner.is_none() || owner == self.organisation()
    }
}

/// Decides about a call; `None` if its key is missing or unknown. `public` tells whether the queue
/// of the call asks for no key.
///
/// ```
/// use daisymast_organisations::{access, directory};
/// assert_eq!(access::decide(None, false, None), Some(access::Caller::Unchecked));
/// let directory = directory::Directory::default();
/// assert_eq!(access::decide(Some(&directory), false, None), None);
/// assert_eq!(access::decide(Some(&directory), true, None), Some(access::Caller::Public));
/// ```
pub fn decide(
    directory: Option<&directory::Directory>,
    public: bool,
    key: Option<api_key::KeyDigest>,
) -> Option<Caller> {
    let Some(directory) = directory else {
        return Some(Caller::Unchecked);
    };
    if public {
        return Some(Caller::Public);
    }
    let organisation = directory.by_key(key?)?;
    Some(Caller::Organisation(organisation.name.clone()))
}
