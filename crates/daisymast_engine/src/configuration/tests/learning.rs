//! Learning of manifests from the store and from peers.

use daisymast_protocol::operator::OperatorReply;
use daisymast_protocol::outcome::{CallError, Outcome};
use daisymast_protocol::peer::{PeerReply, PeerRequest};
use daisymast_types::ids::{Generation, InstanceId, Token};

use super::rig::{Mode, Rig, SECOND, Store, accepted, body};
use crate::config::TICK_INTERVAL;
use crate::event::Event;

#[test]
fn watch_brings_a_change_within_a_tick() {
    let (mut rig, mut store) = (Rig::new("entry-1"), Store::new(Mode::Up));
    rig.pass(&mut store, 3 * SECOND);
    store.set(1, "r1", 1);
    rig.pass(&mut store, TICK_INTERVAL);
    assert_eq!(rig.generation(), 1);
    let reads = store.reads;
    rig.pass(&mut store, 15 * SECOND);
    assert_eq!(store.reads, reads, "no polls while a watch works");
    assert_eq!(rig.watches.len(), 1);
}

#[test]
fn polls_go_on_while_watches_fail() {
    let (mut rig, mut store) = (Rig::new("entry-1"), Store::new(Mode::NoWatches));
    rig.pass(&mut store, 3 * SECOND);
    store.set(1, "r1", 1);
    rig.pass(&mut store, 6 * SECOND);
    assert_eq!(rig.generation(), 1);
    rig.pass(&mut store, 51 * SECOND);
    assert!(
        (10..=14).contains(&store.reads),
        "{} reads in 60 s",
        store.reads
    );
    assert!(store.watches <= store.reads, "{} watches", store.watches);
    store.mode = Mode::Up;
    rig.pass(&mut store, 8 * SECOND);
    let reads = store.reads;
    rig.pass(&mut store, 15 * SECOND);
    assert_eq!(store.reads, reads, "a watch works again");
}

#[test]
fn store_restored_to_an_older_state_is_refused_and_recorded_once() {
    let (mut rig, mut store) = (Rig::new("entry-1"), Store::new(Mode::Up));
    store.set(5, "r5", 9);
    rig.pass(&mut store, SECOND);
    assert_eq!(rig.generation(), 5);
    store.set(3, "r3", 7);
    rig.pass(&mut store, 60 * SECOND);
    assert_eq!(rig.generation(), 5);
    assert_eq!(rig.recorded("configuration.refused"), 1);
    // The next submission counts on from the generation in force and repairs the store.
    let event = rig.submit(1, 3, "r6");
    rig.run(&mut store, event);
    assert!(matches!(
        rig.answers.pop(),
        Some((
            _,
            OperatorReply::Conflict {
                actual: Generation(5),
                ..
            }
        ))
    ));
    let event = rig.submit(2, 5, "r6");
    rig.run(&mut store, event);
    assert_eq!(rig.answers, [(Token(2), accepted(6))]);
    rig.pass(&mut store, SECOND);
    assert_eq!(rig.recorded("configuration.recovered"), 1);
}

#[test]
fn unusable_record_is_never_applied() {
    let (mut rig, mut store) = (Rig::new("entry-1"), Store::new(Mode::Up));
    store.set(1, "r1", 1);
    rig.pass(&mut store, SECOND);
    store.set(2, "r2", 2);
    let entry = store.entry.as_mut().expect("the record");
    entry.value = entry
        .value
        .replace("{\\\"release", "{\\\"services\\\": 1, \\\"release");
    rig.pass(&mut store, 30 * SECOND);
    assert_eq!(
        (rig.generation(), rig.recorded("configuration.refused")),
        (1, 1)
    );
}

#[test]
fn manifest_comes_from_a_peer_while_the_store_is_down() {
    let (mut rig, mut store) = (Rig::new("entry-1"), Store::new(Mode::Down));
    rig.hear("entry-2", 4);
    rig.pass(&mut store, TICK_INTERVAL);
    let (call, peer) = rig.fetches.pop().expect("a fetch");
    assert_eq!(peer.as_str(), "entry-2");
    let reply = PeerReply::Manifest {
        generation: Generation(4),
        body: Some(body("r4")),
    };
    rig.run(
        &mut store,
        Event::PeerReply {
            call,
            outcome: Outcome::Done(reply),
        },
    );
    assert_eq!(rig.generation(), 4);
    assert!(rig.instance.is_ready());
    // It passes the body on.
    let request = PeerRequest::FetchManifest {
        above: Generation(3),
    };
    let from = InstanceId::from("entry-3");
    rig.run(
        &mut store,
        Event::Peer {
            token: Token(9),
            from,
            request,
        },
    );
    assert!(matches!(
        &rig.peer_answers[..],
        [PeerReply::Manifest { body: Some(_), .. }]
    ));
}

#[test]
fn unreachable_newest_peer_does_not_hide_the_others() {
    let (mut rig, mut store) = (Rig::new("entry-1"), Store::new(Mode::Down));
    let mut asked = Vec::new();
    for _ in 0..4 {
        rig.hear("entry-2", 4);
        rig.hear("entry-3", 3);
        rig.pass(&mut store, SECOND);
        for (call, peer) in std::mem::take(&mut rig.fetches) {
            let error = CallError::new("fetch", peer.as_str(), "connection refused");
            rig.run(
                &mut store,
                Event::PeerReply {
                    call,
                    outcome: Outcome::NoEffect(error),
                },
            );
            asked.push(peer);
        }
    }
    assert!(asked.contains(&InstanceId::from("entry-3")));
}

#[test]
fn older_peer_is_ignored() {
    let (mut rig, mut store) = (Rig::new("entry-1"), Store::new(Mode::Up));
    store.set(5, "r5", 9);
    rig.pass(&mut store, SECOND);
    rig.hear("entry-2", 4);
    rig.pass(&mut store, SECOND);
    assert!(rig.fetches.is_empty());
    assert_eq!(rig.generation(), 5);
}

#[test]
fn late_reply_of_a_peer_does_not_revert_a_newer_manifest() {
    let (mut rig, mut store) = (Rig::new("entry-1"), Store::new(Mode::Down));
    rig.hear("entry-2", 4);
    rig.pass(&mut store, TICK_INTERVAL);
    let (call, _) = rig.fetches.pop().expect("a fetch");
    store.mode = Mode::Up;
    store.set(6, "r6", 9);
    rig.pass(&mut store, 6 * SECOND);
    assert_eq!(rig.generation(), 6);
    let reply = PeerReply::Manifest {
        generation: Generation(4),
        body: Some(body("r4")),
    };
    rig.run(
        &mut store,
        Event::PeerReply {
            call,
            outcome: Outcome::Done(reply),
        },
    );
    assert_eq!(rig.generation(), 6);
}
