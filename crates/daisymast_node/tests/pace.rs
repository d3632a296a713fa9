//! How long commits wait for their answers.

use std::time::Duration;

use daisymast_node::constants;
use daisymast_node::pace::Pace;

const QUICK: Duration = Duration::from_millis(5);

/// Guards against commits that wait longer and longer while a third of the answers is lost: on
/// otjisana-desk-grown trouble-2 they took 1.7 s after three seconds of that, and the scheduler was replaced.
#[test]
fn lost_answers_do_not_slow_down_later_commits() {
    let mut pace = Pace::default();
    for commit in 0..200 {
        if commit % 3 == 0 {
            // The first try is lost, the second is answered at once.
            assert!(pace.timeout(0) <= constants::COMMIT_TIMEOUT_MIN);
        }
        pace.answered(QUICK);
    }
    assert_eq!(pace.timeout(0), constants::COMMIT_TIMEOUT_MIN);
}

/// Guards against tries that all end before a store that has become slow can answer.
#[test]
fn a_slow_store_is_waited_for() {
    let mut pace = Pace::default();
    let slow = Duration::from_millis(340);
    let failures = (0..10).find(|&failures| pace.timeout(failures) > slow);
    assert!(failures.is_some_and(|failures| failures <= 3));
    pace.answered(slow);
    assert!(pace.timeout(0) > slow, "the next commit needs one try");
    assert!(pace.timeout(9) <= constants::STORE_TIMEOUT);
    for _ in 0..60 {
        pace.answered(QUICK);
    }
    assert!(pace.timeout(0) < slow, "the store is quick again");
}
