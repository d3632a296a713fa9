//! Tests of heartbeats and discovery on a virtual clock.

use std::collections::BTreeSet;

use daisymast_protocol::outcome::Outcome;
use daisymast_protocol::peer::{PeerReply, PeerRequest};
use daisymast_protocol::store::{Member, MemberId, StoreReply};
use daisymast_protocol::worker::WorkerRequest;
use daisymast_types::ids::{InstanceId, Rack, WorkerId, Zone};

use crate::event::Event;
use crate::testing::{OWN_INSTANCE, TICK_MS, TestHarness, call_error, heartbeat};

const PEERS: [(&str, &str); 6] = [
    ("entry-2", "Austin"),
    ("entry-3", "Austin"),
    ("entry-4", "Waco"),
    ("entry-5", "Waco"),
    ("entry-6", "Waco"),
    ("entry-7", "Temple"),
];

/// Runs one tick, fails all heartbeats that it sends and returns their targets.
fn tick_and_fail_heartbeats(harness: &mut TestHarness) -> BTreeSet<String> {
    harness.now += TICK_MS;
    harness.event(Event::Tick);
    let mut targets = BTreeSet::new();
    while let Some(open) =
        harness.take_peer_call(|request| matches!(request, PeerRequest::Heartbeat(_)))
    {
        targets.insert(open.to.as_str().to_owned());
        harness.reply_peer(open.call, Outcome::NoEffect(call_error()));
    }
    targets
}

fn listed_instance(name: &str, zone: &str) -> Member {
    Member {
        who: MemberId::Instance(InstanceId::from(name)),
        zone: Zone::from(zone),
        address: format!("{name}:2"),
        leaving: false,
    }
}

fn listed_worker(name: &str, leaving: bool) -> Member {
    Member {
        who: MemberId::Worker(WorkerId::from(name), Rack::from("r-1")),
        zone: Zone::from("Austin"),
        address: format!("{name}:1"),
        leaving,
    }
}

/// Runs to `until` milliseconds. Every read of the member list ends with `outcome`.
fn run_with_member_list(harness: &mut TestHarness, until: u64, outcome: &Outcome<StoreReply>) {
    while harness.now < until {
        harness.run_for(TICK_MS);
        while let Some(call) = harness.member_list_calls.pop() {
            let outcome = outcome.clone();
            harness.event(Event::StoreReply { call, outcome });
        }
    }
}

fn member_list(members: &[Member]) -> Outcome<StoreReply> {
    Outcome::Done(StoreReply::Members {
        members: members.to_vec(),
    })
}

/// Runs for two seconds and returns the instances to which heartbeats were sent.
fn heartbeat_targets(harness: &mut TestHarness) -> BTreeSet<String> {
    (0..40)
        .flat_map(|_| tick_and_fail_heartbeats(harness))
        .collect()
}

/// Guards against instances of one zone that get no heartbeats from each other, and against a
/// number of heartbeats that grows with the size of the remote zones.
#[test]
fn heartbeats_go_to_the_local_zone_and_two_peers_per_remote_zone() {
    let mut harness = TestHarness::new(&[], &PEERS);
    let mut waco = BTreeSet::new();
    for _ in 0..3 {
        let targets = tick_and_fail_heartbeats(&mut harness);
        assert!(targets.contains("entry-2") && targets.contains("entry-3"));
        assert!(targets.contains("entry-7"));
        let waco_peers = ["entry-4", "entry-5", "entry-6"];
        let targeted = waco_peers.iter().filter(|name| targets.contains(**name));
        assert_eq!(targeted.clone().count(), 2);
        waco.extend(targeted.copied());
        for _ in 0..9 {
            assert!(tick_and_fail_heartbeats(&mut harness).is_empty());
        }
    }
    assert_eq!(waco.len(), 3);
}

/// Guards against a reply without the receiver's state, and against a sender that is not added
/// to the known instances.
#[test]
fn heartbeat_is_answered_and_adds_its_sender() {
    let mut harness = TestHarness::new(&[], &[]);
    let heartbeat_sent = PeerRequest::Heartbeat(heartbeat("entry-9", "Austin", &["w-1"]));
    let PeerReply::Heartbeat(own) = harness.call_as_peer(heartbeat_sent) else {
        unreachable!()
    };
    assert_eq!(own.instance, InstanceId::from(OWN_INSTANCE));
    assert!(tick_and_fail_heartbeats(&mut harness).contains("entry-9"));
}

/// Guards against heartbeats that accumulate at an instance which does not answer.
#[test]
fn silent_instance_has_at_most_one_open_heartbeat() {
    let mut harness = TestHarness::new(&[], &[("entry-2", "Austin")]);
    for _ in 0..60 {
        harness.now += TICK_MS;
        harness.event(Event::Tick);
    }
    assert_eq!(harness.peer_calls.len(), 1);
}

/// Guards against an outage of the platform that makes an instance lose its known members.
#[test]
fn empty_or_failed_list_removes_nothing() {
    let lists = [
        member_list(&[]),
        Outcome::Unknown(call_error()),
        Outcome::NoEffect(call_error()),
    ];
    for outcome in lists {
        let mut harness = TestHarness::new(&["w-1"], &PEERS);
        run_with_member_list(&mut harness, 700_000, &outcome);
        assert_eq!(heartbeat_targets(&mut harness).len(), PEERS.len());
    }
}

/// Guards against heartbeats to instances that are gone for good, and against removing an unlisted
/// instance that still sends heartbeats or an unlisted worker that has a holder.
#[test]
fn unlisted_and_silent_members_are_removed_after_five_minutes() {
    // The instance holds w-1, its peer holds w-2, and w-3 answers no calls.
    let mut harness = TestHarness::new(&["w-1", "w-2", "w-3"], &PEERS);
    harness.worker("w-3").answers_lease_calls = false;
    harness
        .live_peers
        .push(heartbeat("entry-2", "Austin", &["w-2"]));
    harness.worker("w-2").holder = Some(InstanceId::from("entry-2"));
    let members = [listed_instance("entry-7", "Temple")];
    run_with_member_list(&mut harness, 290_000, &member_list(&members));
    assert_eq!(heartbeat_targets(&mut harness).len(), PEERS.len());
    run_with_member_list(&mut harness, 700_000, &member_list(&members));
    let left = heartbeat_targets(&mut harness);
    assert_eq!(left, BTreeSet::from(["entry-2".into(), "entry-7".into()]));
    let status = harness.instance.known_workers();
    assert_eq!(status, [WorkerId::from("w-1"), WorkerId::from("w-2")]);
}

/// Guards against ignoring that the member list marks a worker as leaving, and against a new worker
/// that gets no holder.
#[test]
fn member_list_adds_workers_and_marks_leaving_ones() {
    let mut harness = TestHarness::new(&[], &[]);
    let call = {
        harness.run_for(TICK_MS);
        harness
            .member_list_calls
            .pop()
            .expect("a read of the member list")
    };
    let members = [listed_worker("w-9", true)];
    harness.event(Event::StoreReply {
        call,
        outcome: member_list(&members),
    });
    harness.run_for(500);
    let open = harness
        .take_call(|request| matches!(request, WorkerRequest::Acquire { .. }))
        .expect("an acquisition");
    assert_eq!(open.worker, WorkerId::from("w-9"));
    assert!(harness.instance.is_listed_leaving(&open.worker));
}
