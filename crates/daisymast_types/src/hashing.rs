//! Stable hashes: the same input has the same value on every instance and in every release.

use xxhash_rust::xxh3;

/// Hashes `bytes` to a stable 64-bit value.
///
/// Instances compare these values with each other, so the function must not change between
/// releases.
///
/// ```
/// use daisymast_types::hashing;
/// assert_eq!(hashing::stable_hash(b"quotes"), hashing::stable_hash(b"quotes"));
/// assert_ne!(hashing::stable_hash(b"quotes"), hashing::stable_hash(b"invoices"));
/// ```
pub fn stable_hash(bytes: &[u8]) -> u64 {
    xxh3::xxh3_64(bytes)
}

/// Hashes a pair to a stable 64-bit value, for example the item and the candidate of rendezvous
/// hashing. The boundary between the two parts affects the value.
///
/// ```
/// use daisymast_types::hashing;
/// assert_ne!(hashing::stable_hash_pair(b"a", b"bc"), hashing::stable_hash_pair(b"ab", b"c"));
/// ```
pub fn stable_hash_pair(item: &[u8], node: &[u8]) -> u64 {
    xxh3::xxh3_64_with_seed(node, xxh3::xxh3_64(item))
}

/// Stable 128-bit digest of a request or answer body, to detect corruption in transit.
///
/// ```
/// use daisymast_types::hashing;
/// assert_eq!(hashing::digest(b"42 USD"), hashing::digest(b"42 USD"));
/// ```
pub fn digest(body: &[u8]) -> u128 {
    xxh3::xxh3_128(body)
}
