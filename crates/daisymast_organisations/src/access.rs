//! Decides for which organisation a caller acts.

use daisymast_types::ids;

use crate::api_key;
use crate::directory;

/// For whom a caller acts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Access {
    /// The queue asks for no key, or no organisations are configured.
    Open,
    /// The caller's key belongs to this organisation.
    Organisation(ids::Organisation),
    /// The key is missing or unknown.
    Denied,
}

/// Decides about a call. `public` tells whether the queue of the call asks for no key.
///
/// ```
/// use daisymast_organisations::{access, directory};
/// assert_eq!(access::decide(None, false, None), access::Access::Open);
/// let directory = directory::Directory::default();
/// assert_eq!(access::decide(Some(&directory), false, None), access::Access::Denied);
/// assert_eq!(access::decide(Some(&directory), true, None), access::Access::Open);
/// ```
pub fn decide(
    directory: Option<&directory::Directory>,
    public: bool,
    key: Option<api_key::KeyDigest>,
) -> Access {
    let Some(directory) = directory.filter(|_| !public) else {
        return Access::Open;
    };
    match key.and_then(|key| directory.by_key(key)) {
        Some(organisation) => Access::Organisation(organisation.name.clone()),
        None => Access::Denied,
    }
}
