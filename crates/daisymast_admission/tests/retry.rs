//! Retry budget.

use daisymast_admission::retry::Budget;
use daisymast_types::time::Monotonic;

/// Attempts per request when every attempt fails and up to three retries are tried.
fn amplification(percent: u64, per_second: u64) -> f64 {
    let mut budget = Budget::new(percent, 3);
    let (mut requests, mut attempts) = (0_u32, 0_u32);
    for second in 0..60 {
        for _ in 0..per_second {
            let now = Monotonic::from_millis(second * 1_000);
            budget.on_request(now);
            requests += 1;
            attempts += 1;
            for _ in 0..3 {
                if !budget.try_retry(now) {
                    break;
                }
                attempts += 1;
            }
        }
    }
    f64::from(attempts) / f64::from(requests)
}

/// Guards against multiplying the load during an outage. Without a budget the factor is 4.
#[test]
fn outage_adds_only_a_tenth_of_the_load() {
    let factor = amplification(10, 100);
    assert!((1.05..=1.11).contains(&factor), "{factor}");
    let unbounded = amplification(1_000_000, 100);
    assert!((unbounded - 4.0).abs() < 1e-9, "{unbounded}");
}

/// Guards against a budget that allows no retry at low traffic.
#[test]
fn isolated_failures_at_low_traffic_are_retried() {
    let mut budget = Budget::new(10, 3);
    let now = Monotonic::from_millis(500);
    budget.on_request(now);
    let granted = (0..5).filter(|_| budget.try_retry(now)).count();
    assert_eq!(granted, 3);
}

/// Guards against allowing retries because of traffic older than ten seconds, after an idle time of
/// any length.
#[test]
fn old_traffic_does_not_allow_retries() {
    for pause in [10_000, 11_000, 1_000_000] {
        let mut budget = Budget::new(10, 0);
        for _ in 0..1_000 {
            budget.on_request(Monotonic::ZERO);
        }
        assert!(budget.try_retry(Monotonic::from_millis(9_999)));
        assert!(
            !budget.try_retry(Monotonic::from_millis(pause)),
            "after {pause} ms"
        );
    }
}
