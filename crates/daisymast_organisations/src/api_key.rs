//! Digests of API keys.

use serde::{Deserialize, Serialize};
use sha2::Digest;

/// SHA-256 digest of an API key. Nodes keep and exchange digests only, so that a key appears in no
/// log, metric or record.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Returns the digest of a key as callers send it.
    ///
    /// ```
    /// use daisymast_organisations::api_key::KeyDigest;
    /// assert_eq!(KeyDigest::of("k1"), KeyDigest::of("k1"));
    /// assert_ne!(KeyDigest::of("k1"), KeyDigest::of("k2"));
    /// ```
    pub fn of(key: &str) -> Self {
        Self(sha2::Sha256::digest(key.as_bytes()).into())
    }
}

impl std::fmt::Debug for KeyDigest {
    /// Shows no part of the digest: short keys could be found by trial.
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("KeyDigest")
    }
}
