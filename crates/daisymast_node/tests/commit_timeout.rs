//! Tests of the adaptive commit timeout.

use std::time::Duration;

use daisymast_node::commit_timeout::CommitTimeout;
use daisymast_node::constants;

const FAST_RESPONSE: Duration = Duration::from_millis(5);

/// Guards against timeouts that keep growing while a third of the responses is lost. After three
/// seconds of such loss, commits took 1.7 s and the leader was replaced.
#[test]
fn lost_responses_do_not_raise_later_timeouts() {
    let mut commit_timeout = CommitTimeout::default();
    for commit in 0..200 {
        if commit % 3 == 0 {
            // The first attempt gets no response, the second gets one immediately.
            assert!(commit_timeout.timeout(0) <= constants::COMMIT_TIMEOUT_MIN);
        }
        commit_timeout.record_response_time(FAST_RESPONSE);
    }
    assert_eq!(commit_timeout.timeout(0), constants::COMMIT_TIMEOUT_MIN);
}

/// Guards against attempts that all time out before a store that has become slow can respond.
#[test]
fn timeout_adapts_to_a_slow_store() {
    let mut commit_timeout = CommitTimeout::default();
    let slow = Duration::from_millis(340);
    let failures = (0..10).find(|&failures| commit_timeout.timeout(failures) > slow);
    assert!(failures.is_some_and(|failures| failures <= 3));
    commit_timeout.record_response_time(slow);
    assert!(
        commit_timeout.timeout(0) > slow,
        "the next commit needs a single attempt"
    );
    assert!(commit_timeout.timeout(9) <= constants::STORE_TIMEOUT);
    for _ in 0..60 {
        commit_timeout.record_response_time(FAST_RESPONSE);
    }
    assert!(
        commit_timeout.timeout(0) < slow,
        "the timeout recovers with the store"
    );
}
