//! Assignment of workers to instances.

use daisymast_membership::assignment::{assign, max_workers};
use daisymast_membership::rendezvous::Candidate;
use daisymast_types::ids::{InstanceId, WorkerId};
use proptest::prelude::Strategy;
use proptest::{prop_assert, prop_assert_eq, proptest};

fn workers(count: usize) -> Vec<WorkerId> {
    (0..count)
        .map(|n| WorkerId::from(format!("w-{n}")))
        .collect()
}

fn candidates(weights: &[u32]) -> Vec<Candidate> {
    weights
        .iter()
        .enumerate()
        .map(|(n, &weight)| Candidate {
            instance: InstanceId::from(format!("entry-{n}")),
            weight,
        })
        .collect()
}

fn load(preferred: impl Iterator<Item = InstanceId>, of: &InstanceId) -> usize {
    preferred.filter(|instance| instance == of).count()
}

fn weights() -> impl Strategy<Value = Vec<u32>> {
    proptest::collection::vec(1_u32..=8, 1..12)
}

proptest! {
    /// Guards against overloading an instance, and against workers without a preferred holder.
    #[test]
    fn every_worker_is_assigned_within_the_bound(count in 0_usize..200, weights in weights()) {
        let candidates = candidates(&weights);
        let preferred = assign(&workers(count), &candidates);
        prop_assert_eq!(preferred.len(), count);
        let total = weights.iter().map(|&weight| u64::from(weight)).sum();
        for one in &candidates {
            let held = load(preferred.values().cloned(), &one.instance);
            prop_assert!(held <= max_workers(count, one.weight, total));
        }
    }

    /// Guards against an assignment that depends on the order in which instances joined the view.
    #[test]
    fn assignment_does_not_depend_on_input_order(count in 0_usize..100, weights in weights()) {
        let (mut workers, mut candidates) = (workers(count), candidates(&weights));
        let forward = assign(&workers, &candidates);
        workers.reverse();
        candidates.reverse();
        prop_assert_eq!(forward, assign(&workers, &candidates));
    }

    /// Guards against reassigning a whole availability zone when one instance leaves: apart from
    /// its own workers, only workers that the load bound kept from a better instance may move.
    #[test]
    fn few_workers_move_when_an_instance_leaves(count in 20_usize..200, size in 3_usize..12, gone in 0_usize..3) {
        let (workers, mut candidates) = (workers(count), candidates(&vec![1; size]));
        let before = assign(&workers, &candidates);
        let left = candidates.remove(gone).instance;
        let after = assign(&workers, &candidates);
        let moved = workers
            .iter()
            .filter(|&worker| before[worker] != left && before[worker] != after[worker])
            .count();
        prop_assert!(moved * 4 <= count, "{moved} of {count} others moved");
    }
}

/// Guards against a panic when there are no candidates.
#[test]
fn nothing_is_assigned_without_candidates() {
    assert!(assign(&workers(5), &[]).is_empty());
}
