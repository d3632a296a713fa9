//! Selection of tasks to preempt for a more urgent one.

use std::time::Duration;

use daisymast_placement::reclaim::{self, Candidate, RESTART_PROTECTION};
use daisymast_types::ids::{RunKey, TaskKey};
use daisymast_types::quantities::{Resources, Urgency};

const LOWER: [Urgency; 2] = [Urgency::Background, Urgency::Normal];

fn candidate(index: u32, urgency: Urgency, cores: u32, elapsed_s: u64) -> Candidate {
    Candidate {
        task: TaskKey {
            run: RunKey(1),
            index,
            attempt: 1,
        },
        urgency,
        size: cores_of(cores),
        service: false,
        elapsed: Duration::from_secs(elapsed_s),
    }
}

fn cores_of(cores: u32) -> Resources {
    Resources::new(cores * 1_000, cores * 1_024, 0)
}

fn chosen(cores: u32, running: &[Candidate]) -> Option<Vec<u32>> {
    let chosen = reclaim::victims(Resources::ZERO, cores_of(cores), &LOWER, running)?;
    Some(chosen.iter().map(|task| task.index).collect())
}

/// Guards against preempting more urgent tasks than needed, service replicas before batch tasks,
/// and tasks that lose more work than others.
#[test]
fn least_urgent_and_cheapest_tasks_are_chosen() {
    let mut running = vec![
        candidate(0, Urgency::Urgent, 8, 1),
        candidate(1, Urgency::Normal, 2, 1),
        candidate(2, Urgency::Background, 2, 100),
        candidate(3, Urgency::Background, 2, 10),
        candidate(4, Urgency::Background, 2, 1),
    ];
    running[4].service = true;
    assert_eq!(chosen(2, &running), Some(vec![3]));
    assert_eq!(chosen(4, &running), Some(vec![3, 2]));
    assert_eq!(chosen(6, &running), Some(vec![3, 2, 4]));
    assert_eq!(chosen(8, &running), Some(vec![3, 2, 4, 1]));
    assert_eq!(
        chosen(9, &running),
        None,
        "urgent tasks are never preempted"
    );
}

/// Guards against preempting a small task when a larger one has to be preempted as well and frees
/// enough alone.
#[test]
fn unnecessary_victims_are_spared() {
    let running = [
        candidate(0, Urgency::Background, 1, 1),
        candidate(1, Urgency::Background, 8, 2),
    ];
    assert_eq!(chosen(8, &running), Some(vec![1]));
}

/// Guards against preempting a task again right after its restart.
#[test]
fn restarted_task_is_protected_for_a_while() {
    let mut again = candidate(0, Urgency::Background, 2, 29);
    again.task.attempt = 2;
    assert_eq!(chosen(2, std::slice::from_ref(&again)), None);
    again.elapsed = RESTART_PROTECTION;
    assert_eq!(chosen(2, &[again]), Some(vec![0]));
}

/// Guards against taking the share of a class because it uses little of one of the quantities.
#[test]
fn share_is_measured_by_the_dominant_quantity() {
    let fleet = Resources::new(100_000, 100_000, 4);
    let used = Resources::new(30_000, 1_000, 0);
    let taken = |millicores| Resources::new(millicores, 1_000, 0);
    assert!(reclaim::keeps_share(fleet, used, taken(10_000)));
    assert!(!reclaim::keeps_share(fleet, used, taken(10_001)));
    assert!(!reclaim::is_below_share(fleet, used));
}
