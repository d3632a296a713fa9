//! Tests of usage under caps and of rates.

use std::time::Duration;

use daisymast_organisations::{organisation::Cap, rate::Rates, usage};
use daisymast_types::{ids, quantities::Resources, time::Monotonic};
use proptest::prelude::*;

fn any_size() -> impl Strategy<Value = Resources> {
    (0_u32..9, 0_u32..9, 0_u16..3)
        .prop_map(|(cores, memory, accelerators)| Resources::new(cores, memory, accelerators))
}

fn any_cap() -> impl Strategy<Value = Cap> {
    let limit = || prop::option::of(0_u32..40);
    (limit(), limit(), prop::option::of(0_u16..9)).prop_map(
        |(millicores, memory_mib, accelerators)| Cap {
            millicores,
            memory_mib,
            accelerators,
        },
    )
}

/// Counts the jobs within the rate of a caller who sends `every_ms` over a time in seconds.
fn within(rate: f64, every_ms: u64, seconds: u64) -> u64 {
    let mut rates = Rates::default();
    let name = "parts".into();
    let times = (0..seconds * 1_000).step_by(usize::try_from(every_ms).expect("a short interval"));
    let times = times.map(Monotonic::from_millis);
    times.filter(|&at| rates.take(&name, rate, at)).count() as u64
}

/// Guards against a steady caller at its rate who is taken for one beyond it, and against a flood that
/// gets more than its rate and one burst.
#[test]
fn a_steady_caller_is_within_its_rate_and_a_flood_gets_no_more() {
    assert_eq!(within(5.0, 200, 60), 300);
    assert_eq!(within(0.5, 2_000, 60), 30);
    assert!((300..=305).contains(&within(5.0, 25, 60)));
}

/// Guards against uneven arrivals at half the rate, such as random ones, that count as beyond it.
#[test]
fn random_arrivals_at_half_the_rate_are_nearly_all_within_it() {
    let mut random = fastrand::Rng::with_seed(38);
    let mut rates = Rates::default();
    let name = "parts".into();
    let (mut now, mut within) = (0.0, 0);
    for _ in 0..10_000 {
        now -= random.f64().max(f64::MIN_POSITIVE).ln() / 4.0;
        let at = Monotonic::ZERO + Duration::from_secs_f64(now);
        within += u32::from(rates.take(&name, 8.0, at));
    }
    assert!(within > 9_900, "{within} of 10,000");
}

/// Guards against refused callers who return at the same time, or before the rate allows them.
#[test]
fn refused_callers_are_told_times_in_step_with_the_rate() {
    let mut rates = Rates::default();
    let name = "parts".into();
    for _ in 0..4 {
        assert!(rates.take(&name, 4.0, Monotonic::ZERO));
    }
    let told = (0..60).map(|_| rates.retry_after(&name, 4.0, Monotonic::ZERO));
    let told: Vec<u64> = told
        .map(|after| u64::try_from(after.as_millis()).expect("short"))
        .collect();
    assert_eq!(told[..4], [250, 500, 750, 1_000]);
    assert!(told.iter().all(|&after| after <= 10_000));
}

/// Guards against a rate of zero or one that is no number, which must neither panic nor allow a flood.
#[test]
fn rates_that_are_no_positive_number_allow_one_job() {
    for rate in [0.0, -3.0, f64::NAN] {
        let mut rates = Rates::default();
        let name = "parts".into();
        let taken =
            (0..100).filter(|&at| rates.take(&name, rate, Monotonic::from_millis(at * 1_000)));
        assert_eq!(taken.count(), 1, "{rate}");
        let after = rates.retry_after(&name, rate, Monotonic::ZERO);
        assert_eq!(after, Duration::from_secs(10), "{rate}");
    }
}

proptest! {
    /// Guards against a room that exceeds the cap, or that leaves a task out that would fit.
    #[test]
    fn the_room_is_the_largest_number_of_tasks_within_the_cap(
        cap in any_cap(), running in prop::collection::vec(any_size(), 0..8), size in any_size()
    ) {
        let name: ids::Organisation = "parts".into();
        let mut usage = usage::Usage::default();
        for &task in &running {
            usage.add(&name, task);
        }
        let room = usage.room(&name, cap, size);
        let with = |tasks: u32| (0..tasks).fold(usage.of(&name), |sum, _| sum + size);
        prop_assert!(room == 0 || cap.allows(with(room.min(100))));
        prop_assert!(room >= 100 || !cap.allows(with(room + 1)));
        for &task in &running {
            usage.remove(&name, task);
        }
        prop_assert_eq!(usage.of(&name), Resources::ZERO);
    }
}
