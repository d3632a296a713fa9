//! Hash collections with a fast hasher. It does not resist crafted collisions, so the number of
//! keys must be bounded.

/// Hash map with a fast hasher, for keys whose number is bounded by the caller.
///
/// ```
/// use daisymast_types::collections;
/// let mut slots: collections::FastMap<u32, &str> = collections::FastMap::default();
/// slots.insert(1, "free");
/// assert_eq!(slots.get(&1), Some(&"free"));
/// ```
pub type FastMap<K, V> = rustc_hash::FxHashMap<K, V>;

/// Hash set with the same hasher as [`FastMap`].
pub type FastSet<K> = rustc_hash::FxHashSet<K>;
