//! Adaptive concurrency limits.

use daisymast_admission::limiter::{self, Limiter, Permit, Policy, RequestOutcome};
use daisymast_types::time::Monotonic;

/// Repeats `rounds` times: acquires all permits and releases them after `latency` milliseconds.
/// Returns the time of the last release in milliseconds.
fn run(
    limiter: &mut Limiter,
    from: u64,
    rounds: u64,
    latency: u64,
    outcome: RequestOutcome,
) -> u64 {
    let mut now = from;
    for _ in 0..rounds {
        let permits: Vec<Permit> =
            std::iter::from_fn(|| limiter.try_acquire(Monotonic::from_millis(now))).collect();
        now += latency;
        for permit in permits {
            limiter.release(Monotonic::from_millis(now), permit, outcome);
        }
    }
    now
}

/// Guards against more requests in flight than the limit, and against leaking a permit.
#[test]
fn permits_are_bounded_and_returned() {
    let mut limiter = Limiter::new(limiter::fixed());
    let mut permits: Vec<Permit> =
        std::iter::from_fn(|| limiter.try_acquire(Monotonic::ZERO)).collect();
    assert_eq!(permits.len(), 8);
    let permit = permits.pop().expect("eight permits");
    limiter.release(Monotonic::ZERO, permit, RequestOutcome::Served);
    assert!(limiter.try_acquire(Monotonic::ZERO).is_some());
}

/// Guards against limits below 1 or above the number of connections.
#[test]
fn limits_stay_between_one_and_the_number_of_connections() {
    let policies: [fn() -> Policy; 2] = [
        || limiter::aimd(limiter::is_overload),
        || limiter::gradient(2.0),
    ];
    for policy in policies {
        let mut limiter = Limiter::new(policy());
        let now = run(&mut limiter, 0, 2_000, 20, RequestOutcome::Served);
        assert!((limiter.limit() - 60.0).abs() < 1e-9, "{}", limiter.limit());
        run(&mut limiter, now, 2_000, 20, RequestOutcome::Refused);
        assert!((limiter.limit() - 1.0).abs() < 1e-9, "{}", limiter.limit());
    }
}

/// Guards against treating service failures as overload.
#[test]
fn classifier_decides_which_outcomes_are_failures() {
    let mut limiter = Limiter::new(limiter::aimd(limiter::is_overload));
    run(&mut limiter, 0, 200, 20, RequestOutcome::Failed);
    assert!(limiter.limit() > 8.0);
    let mut strict = Limiter::new(limiter::aimd(|outcome| outcome != RequestOutcome::Served));
    run(&mut strict, 0, 200, 20, RequestOutcome::Failed);
    assert!(strict.limit() < 8.0);
}

/// Guards against a second decrease because of requests that started before the first decrease.
#[test]
fn requests_from_earlier_windows_are_ignored() {
    let mut limiter = Limiter::new(limiter::aimd(limiter::is_overload));
    let old_permits: Vec<Permit> =
        std::iter::from_fn(|| limiter.try_acquire(Monotonic::ZERO)).collect();
    let later = Monotonic::from_millis(300);
    for permit in old_permits {
        limiter.release(later, permit, RequestOutcome::Refused);
    }
    let after_first = limiter.limit();
    assert!((after_first - 5.6).abs() < 1e-9, "{after_first}");

    let mut limiter = Limiter::new(limiter::aimd(limiter::is_overload));
    let mut early_permits: Vec<Permit> = (0..4)
        .filter_map(|_| limiter.try_acquire(Monotonic::ZERO))
        .collect();
    run(&mut limiter, 0, 20, 20, RequestOutcome::Refused);
    let reduced = limiter.limit();
    while let Some(permit) = early_permits.pop() {
        limiter.release(Monotonic::from_millis(800), permit, RequestOutcome::Refused);
    }
    assert!((limiter.limit() - reduced).abs() < 1e-9);
}

/// Guards against a latency-based limit that keeps growing while requests queue at the endpoint.
#[test]
fn rising_latency_lowers_the_limit() {
    let mut limiter = Limiter::new(limiter::gradient(2.0));
    let now = run(&mut limiter, 0, 100, 20, RequestOutcome::Served);
    let before = limiter.limit();
    run(&mut limiter, now, 30, 100, RequestOutcome::Served);
    assert!(
        limiter.limit() < before,
        "{} from {before}",
        limiter.limit()
    );
}
