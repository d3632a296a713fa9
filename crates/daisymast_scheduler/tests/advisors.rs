//! Which node asks the advice service.

use std::time::Duration;

use daisymast_scheduler::advice_nodes::AdviceNodes;
use daisymast_types::ids::InstanceId;
use daisymast_types::time::Monotonic;

const SHORT: Duration = Duration::from_millis(20);
const LONG: Duration = Duration::from_millis(500);

fn nodes(count: usize) -> Vec<InstanceId> {
    (0..count)
        .map(|number| format!("n{number}").as_str().into())
        .collect()
}

/// Guards against questions to a node that was just killed and still counts as alive: after a
/// takeover urgent steps waited for 2.5 s.
#[test]
fn a_node_that_did_not_answer_is_excluded_for_a_while() {
    let mut advisors = AdviceNodes::default();
    let alive = nodes(2);
    advisors.set(&alive);
    let now = Monotonic::from_millis(10_000);
    let (first, _) = advisors.pick(now, SHORT).expect("a node");
    advisors.finish(&first, now);
    advisors.exclude(&first, now);
    // It is still reported alive.
    advisors.set(&alive);
    for _ in 0..4 {
        let (picked, _) = advisors.pick(now, SHORT).expect("a node");
        assert_ne!(picked, first);
        advisors.finish(&picked, now);
    }
    let later = now + Duration::from_secs(3);
    let (again, _) = advisors.pick(later, SHORT).expect("a node");
    let (other, _) = advisors.pick(later, SHORT).expect("a node");
    assert!([again, other].contains(&first));
}

/// Guards against short questions that wait behind long ones on every node.
#[test]
fn long_requests_leave_nodes_for_short_ones() {
    let mut advisors = AdviceNodes::default();
    advisors.set(&nodes(8));
    let now = Monotonic::from_millis(10_000);
    for _ in 0..12 {
        advisors.pick(now, LONG).expect("a node");
    }
    let (_, wait) = advisors.pick(now, SHORT).expect("a node");
    assert_eq!(wait, SHORT);
}

/// Guards against more questions at one node than the service lets wait.
#[test]
fn open_requests_of_a_node_are_limited() {
    let mut advisors = AdviceNodes::default();
    advisors.set(&nodes(1));
    let now = Monotonic::from_millis(10_000);
    let taken = (0..100)
        .filter(|_| advisors.pick(now, SHORT).is_some())
        .count();
    assert!(taken < 32, "{taken}");
}
