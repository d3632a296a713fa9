//! Assignment of workers to relays.

mod common;

use common::address;
use daisymast_election::record;
use daisymast_relay::{constants, table};
use daisymast_types::ids;
use proptest::{prop_assert, prop_assert_eq, proptest};

const ZONES: [&str; 3] = ["a", "b", "c"];

fn nodes(count: u16) -> Vec<record::Member> {
    (0..count)
        .map(|number| record::Member {
            id: format!("n-{number}").into(),
            address: address(1_000 + number),
            millicores: if number % 4 == 0 { 500 } else { 90 },
            zone: ZONES[usize::from(number) % ZONES.len()].into(),
        })
        .collect()
}

fn workers(count: usize) -> Vec<table::Worker> {
    (0..count)
        .map(|number| table::Worker {
            id: format!("w-{number}").into(),
            zone: ZONES[number % ZONES.len()].into(),
        })
        .collect()
}

/// Guards against relays in other zones, which a cut zone would take away from workers that the
/// leader still reaches.
#[test]
fn relays_are_in_the_zone_of_their_workers() {
    let nodes = nodes(40);
    let workers = workers(350);
    let assigned = table::assign(&nodes, &"n-0".into(), &workers);
    assert_eq!(assigned.len(), workers.len());
    for worker in &workers {
        let relay = &assigned[&worker.id];
        let node = nodes.iter().find(|node| node.id == *relay);
        assert_eq!(node.map(|node| &node.zone), Some(&worker.zone));
        assert_ne!(relay.as_str(), "n-0", "the leader is no relay of its own");
    }
}

/// Guards against small machines that make the calls of hundreds of workers while larger ones idle.
#[test]
fn the_largest_machines_are_relays() {
    let nodes = nodes(40);
    let assigned = table::assign(&nodes, &"n-0".into(), &workers(350));
    for relay in assigned.values() {
        let node = nodes.iter().find(|node| node.id == *relay);
        assert_eq!(node.map(|node| node.millicores), Some(500));
    }
}

/// Guards against relays of nodes that name no zone, since those of earlier releases know no relayed
/// calls.
#[test]
fn nodes_without_a_zone_are_no_relays() {
    let mut nodes = nodes(40);
    for node in &mut nodes {
        node.zone = "".into();
    }
    assert!(table::assign(&nodes, &"n-0".into(), &workers(350)).is_empty());
}

proptest! {
    /// Guards against a node that leaves and moves most workers to other relays, whose open calls
    /// would all be made again.
    #[test]
    fn a_relay_that_leaves_moves_few_workers(
        node_count in 8_u16..60,
        worker_count in 130_usize..600,
        leaving in 0_usize..60,
    ) {
        let nodes = nodes(node_count);
        let workers = workers(worker_count);
        let leader: ids::InstanceId = "n-0".into();
        let before = table::assign(&nodes, &leader, &workers);
        let relays: std::collections::BTreeSet<ids::InstanceId> =
            before.values().cloned().collect();
        let Some(left) = relays.iter().nth(leaving % relays.len().max(1)) else {
            return Ok(());
        };
        let rest: Vec<record::Member> =
            nodes.iter().filter(|node| node.id != *left).cloned().collect();
        let after = table::assign(&rest, &leader, &workers);
        let own = before.values().filter(|relay| *relay == left).count();
        let moved = workers
            .iter()
            .filter(|worker| before.get(&worker.id) != after.get(&worker.id))
            .count();
        // Besides the workers of the relay that left, the bound on the load moves some others of the
        // same zone, at most as many again for each remaining relay there.
        let zone = workers.len().div_ceil(ZONES.len());
        prop_assert!(moved <= zone, "{moved} moved, {own} of the relay that left");
        for worker in &workers {
            if after.get(&worker.id) != before.get(&worker.id) {
                let node = nodes.iter().find(|node| node.id == *left);
                prop_assert_eq!(node.map(|node| &node.zone), Some(&worker.zone));
            }
        }
    }

    /// Guards against one relay that serves far more workers than the others.
    #[test]
    fn the_load_of_a_relay_is_bounded(worker_count in 130_usize..1_000) {
        let nodes = nodes(60);
        let assigned = table::assign(&nodes, &"n-0".into(), &workers(worker_count));
        for node in &nodes {
            let load = assigned.values().filter(|relay| **relay == node.id).count();
            prop_assert!(load <= constants::WORKERS_PER_RELAY * 2, "{load} at {}", node.id);
        }
    }
}
