//! Sessions in which operators submit manifests.

use daisymast_types::ids::Generation;

use crate::checkers::Violation;
use crate::session::{self, Session, requests};
use crate::world::{InstanceProcess, World};

pub(super) fn sessions() -> Vec<Session> {
    vec![
        Session {
            name: "manifest accepted and spread",
            periodic: true,
            window_ms: 700,
            settle_ms: session::SETTLE_MS,
            action: |world| submit_empty(world, "austin-e1", "r2"),
            final_check: check_same_generation,
        },
        Session {
            name: "two operators race",
            periodic: false,
            window_ms: 2_000,
            settle_ms: session::SETTLE_MS,
            action: |world| {
                submit_empty(world, "austin-e1", "r2");
                submit_empty(world, "waco-e1", "r3");
            },
            final_check: check_same_generation,
        },
        Session {
            name: "instance joins while the store is down",
            periodic: false,
            window_ms: 8_000,
            settle_ms: session::SETTLE_MS,
            action: |world| {
                world.take_store_down();
                world.crash(&session::instance("austin-e2"));
            },
            final_check: |world| {
                world.reconnect();
                check_same_generation(world)
            },
        },
    ]
}

fn submit_empty(world: &mut World, at: &str, release: &str) {
    let text = session::manifest(release, "", "");
    session::submit(world, at, 1, text);
}

/// Checks that all running instances have the same generation, and that at most one of two
/// concurrent submissions was accepted.
fn check_same_generation(world: &mut World) -> Vec<Violation> {
    world.run_for(6_000);
    let mut found = requests::check_recovery(world);
    let generations: Vec<Generation> = world
        .instances()
        .iter()
        .filter_map(|id| world.node(id))
        .filter(|node| node.is_running())
        .map(InstanceProcess::generation)
        .collect();
    let same = generations.windows(2).all(|pair| pair[0] == pair[1]);
    let newest = generations.iter().max().copied().unwrap_or_default();
    if !same || newest < Generation(1) || newest > Generation(2) {
        let detail = format!("expected generation 1 or 2 on all instances, found {generations:?}");
        found.push(session::violation(world, "in force", detail));
    }
    found
}
