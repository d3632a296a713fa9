//! Newer manifests from the store and from peers.

use daisymast_protocol::operator::OperatorReply;
use daisymast_protocol::outcome::{CallError, Outcome};
use daisymast_protocol::peer::{PeerReply, PeerRequest};
use daisymast_types::ids::{Generation, InstanceId, Token};

use super::harness::{ConfigHarness, Mode, SECOND, Store, accepted, body};
use crate::config::TICK_INTERVAL;
use crate::event::Event;

/// Guards against a change that applies late, and against polls while a watch works.
#[test]
fn watch_applies_a_change_within_one_tick() {
    let (mut harness, mut store) = (ConfigHarness::new("entry-1"), Store::new(Mode::Up));
    harness.advance(&mut store, 3 * SECOND);
    store.set(1, "r1", 1);
    harness.advance(&mut store, TICK_INTERVAL);
    assert_eq!(harness.generation(), 1);
    let reads = store.reads;
    harness.advance(&mut store, 15 * SECOND);
    assert_eq!(store.reads, reads, "no polls while a watch works");
    assert_eq!(harness.watches.len(), 1);
}

/// Guards against a change that is missed while watches fail, against a flood of polls or watches,
/// and against polls that continue after watches work again.
#[test]
fn polls_continue_while_watches_fail() {
    let (mut harness, mut store) = (ConfigHarness::new("entry-1"), Store::new(Mode::NoWatches));
    harness.advance(&mut store, 3 * SECOND);
    store.set(1, "r1", 1);
    harness.advance(&mut store, 6 * SECOND);
    assert_eq!(harness.generation(), 1);
    harness.advance(&mut store, 51 * SECOND);
    assert!(
        (10..=14).contains(&store.reads),
        "{} reads in 60 s",
        store.reads
    );
    assert!(store.watches <= store.reads, "{} watches", store.watches);
    store.mode = Mode::Up;
    harness.advance(&mut store, 8 * SECOND);
    let reads = store.reads;
    harness.advance(&mut store, 15 * SECOND);
    assert_eq!(store.reads, reads, "a watch works again");
}

/// Guards against retired jobs that come back when the store is restored to an older state.
#[test]
fn store_restored_to_an_older_state_is_refused_and_recorded_once() {
    let (mut harness, mut store) = (ConfigHarness::new("entry-1"), Store::new(Mode::Up));
    store.set(5, "r5", 9);
    harness.advance(&mut store, SECOND);
    assert_eq!(harness.generation(), 5);
    store.set(3, "r3", 7);
    harness.advance(&mut store, 60 * SECOND);
    assert_eq!(harness.generation(), 5);
    assert_eq!(harness.event_count("configuration.refused"), 1);
    // The next submission has to expect the generation in force, and its write repairs the store.
    let event = harness.submit(1, 3, "r6");
    harness.run(&mut store, event);
    assert!(matches!(
        harness.answers.pop(),
        Some((
            _,
            OperatorReply::Conflict {
                actual: Generation(5),
                ..
            }
        ))
    ));
    let event = harness.submit(2, 5, "r6");
    harness.run(&mut store, event);
    assert_eq!(harness.answers, [(Token(2), accepted(6))]);
    harness.advance(&mut store, SECOND);
    assert_eq!(harness.event_count("configuration.recovered"), 1);
}

/// Guards against a record that cannot be parsed and replaces the manifest in force.
#[test]
fn unusable_record_is_never_applied() {
    let (mut harness, mut store) = (ConfigHarness::new("entry-1"), Store::new(Mode::Up));
    store.set(1, "r1", 1);
    harness.advance(&mut store, SECOND);
    store.set(2, "r2", 2);
    let entry = store.entry.as_mut().expect("the record");
    entry.value = entry
        .value
        .replace("{\\\"release", "{\\\"services\\\": 1, \\\"release");
    harness.advance(&mut store, 30 * SECOND);
    assert_eq!(
        (
            harness.generation(),
            harness.event_count("configuration.refused")
        ),
        (1, 1)
    );
}

/// Guards against a zone that cannot start while the store is down: an instance has to get the
/// manifest from a peer and pass it on to others.
#[test]
fn manifest_is_fetched_from_a_peer_while_the_store_is_down() {
    let (mut harness, mut store) = (ConfigHarness::new("entry-1"), Store::new(Mode::Down));
    harness.record_heartbeat("entry-2", 4);
    harness.advance(&mut store, TICK_INTERVAL);
    let (call, peer) = harness.fetches.pop().expect("a fetch");
    assert_eq!(peer.as_str(), "entry-2");
    let reply = PeerReply::Manifest {
        generation: Generation(4),
        body: Some(body("r4")),
    };
    harness.run(
        &mut store,
        Event::PeerReply {
            call,
            outcome: Outcome::Done(reply),
        },
    );
    assert_eq!(harness.generation(), 4);
    assert!(harness.instance.is_ready());
    // The instance serves the fetched body to other peers.
    let request = PeerRequest::FetchManifest {
        above: Generation(3),
    };
    let from = InstanceId::from("entry-3");
    harness.run(
        &mut store,
        Event::Peer {
            token: Token(9),
            from,
            request,
        },
    );
    assert!(matches!(
        &harness.peer_answers[..],
        [PeerReply::Manifest { body: Some(_), .. }]
    ));
}

/// Guards against fetches that always go to the newest peer, which may be unreachable.
#[test]
fn unreachable_newest_peer_does_not_block_fetches_from_others() {
    let (mut harness, mut store) = (ConfigHarness::new("entry-1"), Store::new(Mode::Down));
    let mut fetched_from = Vec::new();
    for _ in 0..4 {
        harness.record_heartbeat("entry-2", 4);
        harness.record_heartbeat("entry-3", 3);
        harness.advance(&mut store, SECOND);
        for (call, peer) in std::mem::take(&mut harness.fetches) {
            let error = CallError::new("fetch", peer.as_str(), "connection refused");
            harness.run(
                &mut store,
                Event::PeerReply {
                    call,
                    outcome: Outcome::NoEffect(error),
                },
            );
            fetched_from.push(peer);
        }
    }
    assert!(fetched_from.contains(&InstanceId::from("entry-3")));
}

/// Guards against fetches from peers that are behind.
#[test]
fn peer_with_an_older_generation_is_ignored() {
    let (mut harness, mut store) = (ConfigHarness::new("entry-1"), Store::new(Mode::Up));
    store.set(5, "r5", 9);
    harness.advance(&mut store, SECOND);
    harness.record_heartbeat("entry-2", 4);
    harness.advance(&mut store, SECOND);
    assert!(harness.fetches.is_empty());
    assert_eq!(harness.generation(), 5);
}

/// Guards against a fetch that returns after a newer manifest was applied, and replaces it.
#[test]
fn late_reply_of_a_peer_does_not_revert_a_newer_manifest() {
    let (mut harness, mut store) = (ConfigHarness::new("entry-1"), Store::new(Mode::Down));
    harness.record_heartbeat("entry-2", 4);
    harness.advance(&mut store, TICK_INTERVAL);
    let (call, _) = harness.fetches.pop().expect("a fetch");
    store.mode = Mode::Up;
    store.set(6, "r6", 9);
    harness.advance(&mut store, 6 * SECOND);
    assert_eq!(harness.generation(), 6);
    let reply = PeerReply::Manifest {
        generation: Generation(4),
        body: Some(body("r4")),
    };
    harness.run(
        &mut store,
        Event::PeerReply {
            call,
            outcome: Outcome::Done(reply),
        },
    );
    assert_eq!(harness.generation(), 6);
}
