//! Tests of the choice of the node that sends an advice request.

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

/// Guards against requests through a node that was just killed but still counts as alive. After a
/// takeover this delayed urgent steps by 2.5 s.
#[test]
fn a_node_that_did_not_answer_is_excluded_for_a_while() {
    let mut advice_nodes = AdviceNodes::default();
    let alive = nodes(2);
    advice_nodes.set(&alive);
    let now = Monotonic::from_millis(10_000);
    let (first, _) = advice_nodes.pick(now, SHORT).expect("a node");
    advice_nodes.finish(&first, now);
    advice_nodes.exclude(&first, now);
    // The node is still reported as alive.
    advice_nodes.set(&alive);
    for _ in 0..4 {
        let (picked, _) = advice_nodes.pick(now, SHORT).expect("a node");
        assert_ne!(picked, first);
        advice_nodes.finish(&picked, now);
    }
    let later = now + Duration::from_secs(3);
    let (again, _) = advice_nodes.pick(later, SHORT).expect("a node");
    let (other, _) = advice_nodes.pick(later, SHORT).expect("a node");
    assert!([again, other].contains(&first));
}

/// Guards against short requests that wait behind long ones on every node.
#[test]
fn long_requests_leave_nodes_for_short_ones() {
    let mut advice_nodes = AdviceNodes::default();
    advice_nodes.set(&nodes(8));
    let now = Monotonic::from_millis(10_000);
    for _ in 0..12 {
        advice_nodes.pick(now, LONG).expect("a node");
    }
    let (_, wait) = advice_nodes.pick(now, SHORT).expect("a node");
    assert_eq!(wait, SHORT);
}

/// Guards against more open requests on one node than the service queues.
#[test]
fn open_requests_of_a_node_are_limited() {
    let mut advice_nodes = AdviceNodes::default();
    advice_nodes.set(&nodes(1));
    let now = Monotonic::from_millis(10_000);
    let taken = (0..100)
        .filter(|_| advice_nodes.pick(now, SHORT).is_some())
        .count();
    assert!(taken < 32, "{taken}");
}

/// Expected duration of a request about 30 workers to a slow advice service.
const REQUEST: Duration = Duration::from_millis(610);
/// Time beyond the expected one after which a request counts as failed.
const TIMEOUT_MARGIN: Duration = Duration::from_millis(400);
/// Number of requests that a step makes one after another.
const REQUESTS: usize = 60;

/// Guards against a step that asks only nodes that do not answer, while others would. From three of
/// them on, each was idle again, and first in order, as soon as its exclusion had ended.
#[test]
fn a_step_asks_nodes_that_answer_after_some_that_do_not() {
    for silent in 1..=10 {
        let mut alive = nodes(31);
        alive.sort();
        let mut advice_nodes = AdviceNodes::default();
        advice_nodes.set(&alive);
        let mut now = Monotonic::from_millis(10_000);
        let mut failed = 0;
        for request in 0..REQUESTS {
            let (picked, wait) = advice_nodes.pick(now, REQUEST).expect("a node");
            if alive[..silent].contains(&picked) {
                failed += 1;
                now = now + wait + TIMEOUT_MARGIN;
                advice_nodes.finish(&picked, now);
                advice_nodes.exclude(&picked, now);
            } else {
                now = now + wait;
                advice_nodes.finish(&picked, now);
            }
            assert!(
                failed <= silent,
                "{silent} silent nodes: {failed} of {} requests failed",
                request + 1
            );
        }
    }
}
