//! Per-team quotas.

use daisymast_admission::quota::{Limit, OverQuota, Quotas};
use daisymast_types::ids::Team;
use daisymast_types::quantities::Resources;
use proptest::prelude::*;

const LIMIT: Limit = Limit {
    resources: Resources::new(8_000, 8_192, 1),
    requests: 2,
};

/// Guards against exceeding the quota in a single quantity.
#[test]
fn each_quantity_has_a_limit() {
    let team = Team::from("surveys");
    let mut quotas = Quotas::default();
    assert_eq!(
        quotas.acquire_resources(&team, Resources::ZERO),
        Err(OverQuota::UnknownTeam)
    );
    quotas.set(&team, LIMIT);
    for size in [
        Resources::new(8_001, 1, 0),
        Resources::new(1, 8_193, 0),
        Resources::new(1, 1, 2),
    ] {
        assert_eq!(
            quotas.acquire_resources(&team, size),
            Err(OverQuota::Resources)
        );
    }
    assert_eq!(quotas.used(&team), Resources::ZERO);
    assert_eq!(quotas.acquire_resources(&team, LIMIT.resources), Ok(()));
}

/// Guards against more requests in flight than the quota, and against not counting their end.
#[test]
fn requests_in_flight_have_a_limit() {
    let team = Team::from("desk");
    let mut quotas = Quotas::default();
    quotas.set(&team, LIMIT);
    assert_eq!(quotas.acquire_request(&team), Ok(()));
    assert_eq!(quotas.acquire_request(&team), Ok(()));
    assert_eq!(quotas.acquire_request(&team), Err(OverQuota::Requests));
    quotas.release_request(&team);
    assert_eq!(quotas.acquire_request(&team), Ok(()));
}

/// Guards against admitting requests of a removed team, and against losing track of its remaining
/// use.
#[test]
fn removed_team_is_not_admitted() {
    let team = Team::from("desk");
    let mut quotas = Quotas::default();
    quotas.set(&team, LIMIT);
    assert_eq!(quotas.acquire_request(&team), Ok(()));
    quotas.retain(|_| false);
    assert_eq!(quotas.acquire_request(&team), Err(OverQuota::UnknownTeam));
    assert_eq!(quotas.in_flight(&team), 1);
    quotas.release_request(&team);
    quotas.set(&team, LIMIT);
    assert_eq!(quotas.in_flight(&team), 0);
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(12),
        failure_persistence: None,
        ..ProptestConfig::with_cases(128)
    })]

    /// Guards against exceeding the quota after any sequence of acquisitions and releases.
    #[test]
    fn use_never_exceeds_quota(sizes in prop::collection::vec((0..5_000_u32, any::<bool>()), 1..100)) {
        let team = Team::from("surveys");
        let mut quotas = Quotas::default();
        quotas.set(&team, LIMIT);
        let mut acquired = Vec::new();
        for (size, release) in sizes {
            let size = Resources::new(size, size, 0);
            if release {
                if let Some(size) = acquired.pop() {
                    quotas.release_resources(&team, size);
                }
            } else if quotas.acquire_resources(&team, size).is_ok() {
                acquired.push(size);
            }
            let total = acquired.iter().fold(Resources::ZERO, |sum, one| sum + *one);
            prop_assert_eq!(quotas.used(&team), total);
            prop_assert!(total.fits_in(LIMIT.resources));
        }
    }
}
