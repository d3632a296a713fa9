//! Weighted rendezvous hashing.

use daisymast_types::hashing;
use daisymast_types::ids::InstanceId;

/// An instance that can be chosen, with its weight.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Id of the instance.
    pub instance: InstanceId,
    /// Measured capacity, relative to the other candidates.
    pub weight: u32,
}

/// Orders the candidates for `item`, best first. The best candidate of an item changes only if that
/// candidate leaves or a better one joins. The score is weight / -ln(hash), as in Schindelhauer and
/// Schomaker, "Weighted Distributed Hash Tables" (SPAA 2005).
///
/// ```
/// use daisymast_membership::rendezvous;
/// use daisymast_types::ids;
/// let candidates: Vec<_> = ["a", "b", "c"]
///     .map(|name| rendezvous::Candidate { instance: ids::InstanceId::from(name), weight: 1 })
///     .into();
/// let all = rendezvous::ranking("w-1", &candidates);
/// let rest: Vec<_> =
///     candidates.into_iter().filter(|one| one.instance != all[0]).collect();
/// assert_eq!(rendezvous::ranking("w-1", &rest), all[1..]);
/// ```
pub fn ranking(item: &str, candidates: &[Candidate]) -> Vec<InstanceId> {
    let mut scored: Vec<(f64, &InstanceId)> = candidates
        .iter()
        .map(|candidate| (score(item, candidate), &candidate.instance))
        .collect();
    scored.sort_by(|a, b| b.0.total_cmp(&a.0).then_with(|| a.1.cmp(b.1)));
    scored
        .into_iter()
        .map(|(_, instance)| instance.clone())
        .collect()
}

/// The best candidate for `item`, `None` if there are no candidates.
pub fn owner(item: &str, candidates: &[Candidate]) -> Option<InstanceId> {
    candidates
        .iter()
        .map(|candidate| (score(item, candidate), &candidate.instance))
        .max_by(|a, b| a.0.total_cmp(&b.0).then_with(|| b.1.cmp(a.1)))
        .map(|(_, instance)| instance.clone())
}

pub(crate) fn score(item: &str, candidate: &Candidate) -> f64 {
    let hash = hashing::stable_hash_pair(item.as_bytes(), candidate.instance.as_str().as_bytes());
    // The upper 53 bits fill the mantissa. Adding 0.5 keeps the argument of the logarithm above
    // zero.
    #[expect(clippy::cast_precision_loss, reason = "53 bits fit the mantissa")]
    let unit = ((hash >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
    f64::from(candidate.weight.max(1)) / -unit.ln()
}
