//! Fair queue: order, use of idle shares, overload by one flow, and bounds.

use std::time::Duration;

use daisymast_admission::fair_queue::{EnqueueError, FairQueue, Flow};
use daisymast_types::ids::JobName;
use daisymast_types::quantities::Urgency;
use daisymast_types::time::Monotonic;
use proptest::prelude::*;

const FAR: Monotonic = Monotonic::from_millis(1_000_000_000);
const SERVICE: Duration = Duration::from_millis(5);

fn flow(name: &str, urgency: Urgency, weight: u32) -> Flow {
    Flow {
        name: JobName::from(name),
        urgency,
        weight,
    }
}

fn fair_queue(capacity: u32, flows: &[Flow]) -> FairQueue<u32> {
    let mut queue = FairQueue::new(capacity, 1_024);
    for flow in flows {
        queue.declare(flow.clone());
    }
    queue
}

fn enqueue(queue: &mut FairQueue<u32>, name: &str, item: u32) -> Result<(), EnqueueError> {
    queue.enqueue(Monotonic::ZERO, &JobName::from(name), item, FAR)
}

/// Starts and finishes up to `count` items one at a time and returns the flow of each.
fn serve(queue: &mut FairQueue<u32>, count: usize) -> Vec<String> {
    (0..count)
        .filter_map(|_| {
            let (name, _) = queue.dequeue()?;
            queue.finish(&name, Some(SERVICE));
            Some(name.as_str().to_owned())
        })
        .collect()
}

fn count(starts: &[String], name: &str) -> usize {
    starts.iter().filter(|start| *start == name).count()
}

/// Guards against reordering within a flow.
#[test]
fn flow_is_first_in_first_out() {
    let mut queue = fair_queue(1, &[flow("quotes", Urgency::Normal, 1)]);
    for item in 0..5 {
        assert_eq!(enqueue(&mut queue, "quotes", item), Ok(()));
    }
    for item in 0..5 {
        let (name, started) = queue.dequeue().expect("an item is waiting");
        assert_eq!(started, item);
        queue.finish(&name, Some(SERVICE));
    }
}

/// Guards against an overloaded flow of any urgency that takes the share of another flow.
#[test]
fn overloaded_flow_leaves_other_flows_their_share() {
    let levels = [Urgency::Urgent, Urgency::Normal, Urgency::Background];
    for flooding in levels {
        for calm in levels {
            let mut queue = fair_queue(1, &[flow("flood", flooding, 1), flow("calm", calm, 1)]);
            for item in 0..1_000 {
                assert_eq!(enqueue(&mut queue, "flood", item), Ok(()));
            }
            serve(&mut queue, 500);
            for item in 0..100 {
                assert_eq!(enqueue(&mut queue, "calm", item), Ok(()));
            }
            let starts = serve(&mut queue, 100);
            let got = count(&starts, "calm");
            assert!(
                got >= 40,
                "{flooding:?} leaves {calm:?} {got} of 100 starts"
            );
        }
    }
}

/// Guards against urgent items with a service time near zero that keep their lead for thousands of
/// starts.
#[test]
fn lead_of_short_urgent_items_is_bounded() {
    let flows = [
        flow("flood", Urgency::Urgent, 1),
        flow("calm", Urgency::Background, 1),
    ];
    let mut queue = fair_queue(1, &flows);
    let mut calm = 0;
    for round in 0..400 {
        assert_eq!(enqueue(&mut queue, "flood", round), Ok(()));
        assert_eq!(enqueue(&mut queue, "calm", round), Ok(()));
        let (name, _) = queue.dequeue().expect("an item is waiting");
        queue.finish(&name, Some(Duration::from_micros(1)));
        calm += u32::from(name.as_str() == "calm");
    }
    assert!(calm >= 150, "{calm} of 400 starts");
}

/// Guards against shares that are not proportional to the weights.
#[test]
fn shares_are_proportional_to_weights() {
    let flows = [
        flow("three", Urgency::Normal, 3),
        flow("one", Urgency::Normal, 1),
    ];
    let mut queue = fair_queue(1, &flows);
    for item in 0..400 {
        assert_eq!(enqueue(&mut queue, "three", item), Ok(()));
        assert_eq!(enqueue(&mut queue, "one", item), Ok(()));
    }
    let starts = serve(&mut queue, 400);
    assert_eq!(count(&starts, "three"), 300);
}

/// Guards against a flow that accumulates its unused share while idle and then takes all capacity.
#[test]
fn unused_shares_do_not_accumulate() {
    let flows = [
        flow("late", Urgency::Normal, 1),
        flow("steady", Urgency::Normal, 1),
    ];
    let mut queue = fair_queue(1, &flows);
    for item in 0..1_000 {
        assert_eq!(enqueue(&mut queue, "steady", item), Ok(()));
    }
    serve(&mut queue, 800);
    for item in 0..100 {
        assert_eq!(enqueue(&mut queue, "late", item), Ok(()));
    }
    let starts = serve(&mut queue, 100);
    // The late flow joins at the virtual time before the last start, so it is one start ahead.
    let steady = count(&starts, "steady");
    assert!((49..=50).contains(&steady), "{steady} of 100 starts");
}

/// Guards against urgent items that wait behind less urgent items queued at the same time.
#[test]
fn urgent_items_start_first() {
    let flows = [
        flow("batch", Urgency::Background, 1),
        flow("quotes", Urgency::Urgent, 1),
    ];
    let mut queue = fair_queue(1, &flows);
    for item in 0..3 {
        assert_eq!(enqueue(&mut queue, "batch", item), Ok(()));
        assert_eq!(enqueue(&mut queue, "quotes", item), Ok(()));
    }
    let starts = serve(&mut queue, 6);
    assert_eq!(starts[..3], ["quotes", "quotes", "quotes"]);
}

/// Guards against unbounded queues, and against accepting items that cannot meet their deadlines.
#[test]
fn items_beyond_queue_limit_or_deadline_are_refused() {
    let mut queue: FairQueue<u32> = FairQueue::new(1, 4);
    queue.declare(flow("quotes", Urgency::Normal, 1));
    assert_eq!(
        enqueue(&mut queue, "retired", 0),
        Err(EnqueueError::UnknownFlow)
    );
    for item in 0..4 {
        assert_eq!(enqueue(&mut queue, "quotes", item), Ok(()));
    }
    assert_eq!(
        enqueue(&mut queue, "quotes", 4),
        Err(EnqueueError::QueueFull)
    );
    // Four items wait, so the next one would start after 25 ms and finish after 30 ms.
    let deadline = Monotonic::from_millis(29);
    let refused = queue.enqueue(Monotonic::ZERO, &JobName::from("quotes"), 5, deadline);
    assert_eq!(refused, Err(EnqueueError::TooLate));
    assert_eq!(queue.rejected(), 3);
    assert_eq!(
        queue.expected_wait(&JobName::from("quotes")),
        Some(Duration::from_millis(25))
    );
    assert_eq!(queue.queued(&JobName::from("quotes")), 4);
}

/// Guards against starting expired items, and against keeping them in the queue.
#[test]
fn expired_items_are_removed() {
    let mut queue = fair_queue(1, &[flow("quotes", Urgency::Normal, 1)]);
    let name = JobName::from("quotes");
    for item in 0..4_u32 {
        let deadline = Monotonic::from_millis(200 + 100 * u64::from(item % 2));
        assert_eq!(
            queue.enqueue(Monotonic::ZERO, &name, item, deadline),
            Ok(())
        );
    }
    assert_eq!(queue.take_expired(Monotonic::from_millis(200)), vec![0, 2]);
    assert_eq!(serve(&mut queue, 10).len(), 2);
}

/// Guards against starting an item whose answer would be late, and against refusing a slow flow
/// forever because none of its items run and update its service time.
#[test]
fn slow_flow_is_retried_when_idle() {
    let mut queue = fair_queue(1, &[flow("quotes", Urgency::Normal, 1)]);
    let name = JobName::from("quotes");
    for _ in 0..100 {
        assert_eq!(enqueue(&mut queue, "quotes", 0), Ok(()));
        assert!(queue.dequeue().is_some());
        queue.finish(&name, Some(Duration::from_secs(1)));
    }
    let deadline = Monotonic::from_millis(500);
    assert_eq!(queue.enqueue(Monotonic::ZERO, &name, 1, deadline), Ok(()));
    let refused = queue.enqueue(Monotonic::ZERO, &name, 2, deadline);
    assert_eq!(refused, Err(EnqueueError::TooLate));
    assert!(queue.take_expired(Monotonic::ZERO).is_empty());
    assert_eq!(queue.dequeue(), Some((name.clone(), 1)));
    assert_eq!(enqueue(&mut queue, "quotes", 3), Ok(()));
    let late = Monotonic::from_millis(FAR.as_millis() - 500);
    assert_eq!(queue.take_expired(late), vec![3]);
}

/// Guards against losing the slots of running items when their flow is no longer declared.
#[test]
fn busy_flow_is_kept_until_idle() {
    let mut queue = fair_queue(1, &[flow("quotes", Urgency::Normal, 1)]);
    assert_eq!(enqueue(&mut queue, "quotes", 1), Ok(()));
    let (name, _) = queue.dequeue().expect("an item is waiting");
    queue.retain(|_| false);
    assert_eq!(queue.running(), 1);
    queue.finish(&name, None);
    queue.retain(|_| false);
    assert_eq!(
        enqueue(&mut queue, "quotes", 2),
        Err(EnqueueError::UnknownFlow)
    );
}

#[derive(Clone, Debug)]
enum Action {
    Enqueue(usize),
    Dequeue,
    Finish(usize, u64),
}

fn action() -> impl Strategy<Value = Action> {
    prop_oneof![
        (0..4_usize).prop_map(Action::Enqueue),
        Just(Action::Dequeue),
        (0..8_usize, 1..200_u64).prop_map(|(which, millis)| Action::Finish(which, millis)),
    ]
}

fn four_flows() -> Vec<Flow> {
    vec![
        flow("a", Urgency::Urgent, 1),
        flow("b", Urgency::Normal, 4),
        flow("c", Urgency::Normal, 1),
        flow("d", Urgency::Background, 2),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::with_cases(256)
    })]

    /// Guards against idle slots while items wait, and against running more items than the
    /// capacity.
    #[test]
    fn queue_is_work_conserving(actions in prop::collection::vec(action(), 1..300)) {
        let flows = four_flows();
        let mut queue = fair_queue(3, &flows);
        let mut running: Vec<JobName> = Vec::new();
        for action in actions {
            match action {
                Action::Enqueue(which) => {
                    let _ = queue.enqueue(Monotonic::ZERO, &flows[which].name, 0, FAR);
                }
                Action::Dequeue => {
                    let waiting: usize = flows.iter().map(|flow| queue.queued(&flow.name)).sum();
                    let expected = running.len() < 3 && waiting > 0;
                    let started = queue.dequeue();
                    prop_assert_eq!(started.is_some(), expected);
                    running.extend(started.map(|(name, _)| name));
                }
                Action::Finish(which, millis) if !running.is_empty() => {
                    let name = running.swap_remove(which % running.len());
                    queue.finish(&name, Some(Duration::from_millis(millis)));
                }
                Action::Finish(..) => {}
            }
            prop_assert!(running.len() <= 3);
            prop_assert_eq!(usize::try_from(queue.running()).ok(), Some(running.len()));
        }
    }

    /// Guards against starving a flow while the others are busy, whatever its urgency, weight and
    /// service time. The bound on the gap covers the lead of two urgency levels and the largest
    /// charge of the other flows, in starts with the shortest service time at the largest weight.
    #[test]
    fn no_flow_starves(victim in 0..4_usize, millis in prop::array::uniform4(5..50_u64)) {
        let flows = four_flows();
        let mut queue = fair_queue(1, &flows);
        let step = |queue: &mut FairQueue<u32>| {
            for flow in &flows {
                while queue.queued(&flow.name) < 3 {
                    let _ = queue.enqueue(Monotonic::ZERO, &flow.name, 0, FAR);
                }
            }
            let (name, _) = queue.dequeue().expect("an item is waiting");
            let which = flows.iter().position(|flow| flow.name == name).expect("declared");
            queue.finish(&name, Some(Duration::from_millis(millis[which])));
            which
        };
        let mut gap = 0;
        for _ in 0..2_000 {
            gap = if step(&mut queue) == victim { 0 } else { gap + 1 };
            prop_assert!(gap <= 200, "{gap} starts of other flows in a row");
        }
    }
}
