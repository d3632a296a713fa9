//! Tests of the services component on a virtual clock.

use daisymast_manifest::manifest::{Service, TeamQuota};
use daisymast_manifest::quota;
use daisymast_protocol::outcome::Outcome;
use daisymast_protocol::peer::{PeerReply, PeerRequest, Replicas};
use daisymast_protocol::task::{TaskSpec, TaskState};
use daisymast_protocol::worker::{WorkerReply, WorkerRequest};
use daisymast_types::ids::{Generation, InstanceId, WorkerId, Zone};
use daisymast_types::quantities::Urgency;
use proptest::{prop_assert, prop_assert_eq, proptest};

use super::zone_share::zone_share;
use crate::testing::{FakeWorker, TICK_MS, TestHarness, call_error, heartbeat, manifest, replica};

const NAMES: [&str; 5] = ["w-0", "w-1", "w-2", "w-3", "w-4"];

fn harness_with_workers(peers: &[(&str, &str)]) -> TestHarness {
    let mut harness = TestHarness::new(&NAMES, peers);
    for worker in harness.workers.values_mut() {
        worker.executes_tasks = true;
    }
    harness
}

fn declare_replicas(harness: &mut TestHarness, generation: u64, replicas: u32) {
    harness
        .instance
        .set_manifest(Generation(generation), manifest(&[("quotes", replicas)]));
}

/// Indexes of the running replicas, sorted.
fn indexes(harness: &TestHarness) -> Vec<u32> {
    let running = harness.workers.values().flat_map(FakeWorker::running);
    let mut indexes: Vec<u32> = running.map(|task: TaskSpec| task.key.index).collect();
    indexes.sort_unstable();
    indexes
}

/// Guards against missing replicas, against more replicas than declared, and against several
/// replicas on one worker while others are free.
#[test]
fn missing_replicas_are_started_on_different_workers() {
    let mut harness = harness_with_workers(&[]);
    declare_replicas(&mut harness, 1, 4);
    harness.run_to(4_000);
    assert_eq!(indexes(&harness), [0, 1, 2, 3]);
    for worker in harness.workers.values() {
        assert!(worker.running().len() <= 1);
    }
    harness.run_to(20_000);
    assert_eq!(indexes(&harness), [0, 1, 2, 3]);
}

/// Guards against a new replica in the rack of the running ones while another rack is free: a
/// failure of that rack would take down the whole service.
#[test]
fn new_replica_goes_to_another_rack_than_running_ones() {
    for service in ["quotes", "parcels", "lifts", "halls", "invoices", "desks"] {
        let mut harness = harness_with_workers(&[]);
        harness.instance.set_rack(&WorkerId::from("w-4"), "r-2");
        let running = replica(service, 0);
        harness.worker("w-0").report(&running, TaskState::Running);
        let declared = manifest(&[(service, 2)]);
        harness.instance.set_manifest(Generation(1), declared);
        harness.run_to(4_000);
        assert_eq!(indexes(&harness), [0, 1]);
        assert_eq!(harness.worker("w-4").running().len(), 1, "{service}");
    }
}

/// Guards against services that exceed the quota of their team, and against quota that goes to a
/// less urgent service first.
#[test]
fn services_take_no_more_than_the_quota_of_their_team() {
    let mut harness = harness_with_workers(&[]);
    let mut declared = manifest(&[("desks", 5), ("quotes", 3)]);
    declared.services[1].urgency = Urgency::Urgent;
    let service = &declared.services[0];
    declared.teams = vec![TeamQuota {
        name: service.team.clone(),
        quota: quota::size_of_tasks(service.size, 4),
    }];
    harness.instance.set_manifest(Generation(1), declared);
    harness.run_to(6_000);
    let running = harness.workers.values().flat_map(FakeWorker::running);
    let mut names: Vec<String> = running.map(|task| task.job.to_string()).collect();
    names.sort_unstable();
    assert_eq!(names, ["desks", "quotes", "quotes", "quotes"]);
}

/// Guards against a lowered replica count that takes effect late, and against stops of other
/// replicas than those with the highest indexes.
#[test]
fn surplus_replicas_are_stopped_from_the_highest_index() {
    let mut harness = harness_with_workers(&[]);
    declare_replicas(&mut harness, 1, 6);
    harness.run_to(6_000);
    assert_eq!(indexes(&harness).len(), 6);
    declare_replicas(&mut harness, 2, 2);
    harness.run_for(1_000);
    assert_eq!(indexes(&harness), [0, 1]);
}

/// Guards against a failed replica that is not replaced, and against a replacement with a used
/// attempt number, which the worker would refuse.
#[test]
fn ended_replica_is_replaced_by_a_higher_attempt() {
    let mut harness = harness_with_workers(&[]);
    declare_replicas(&mut harness, 1, 1);
    harness.run_to(4_000);
    let (name, failed) = harness
        .workers
        .iter()
        .find_map(|(name, worker)| Some((name.clone(), worker.running().pop()?)))
        .expect("a replica");
    harness
        .worker(name.as_str())
        .report(&failed, TaskState::Failed);
    harness.run_for(3_000);
    let running: Vec<TaskSpec> = harness
        .workers
        .values()
        .flat_map(FakeWorker::running)
        .collect();
    assert_eq!(running.len(), 1);
    assert_eq!(running[0].key.index, failed.key.index);
    assert!(running[0].key.attempt > failed.key.attempt);
}

/// Guards against a service that loses a replica on a leaving worker before its replacement runs.
#[test]
fn replica_on_a_leaving_worker_is_replaced_before_it_ends() {
    let mut harness = harness_with_workers(&[]);
    declare_replicas(&mut harness, 1, 3);
    harness.run_to(4_000);
    let name = harness
        .workers
        .iter()
        .find_map(|(name, worker)| (!worker.running().is_empty()).then(|| name.clone()))
        .expect("a worker with a replica");
    harness.worker(name.as_str()).leaving = true;
    harness.run_for(5_000);
    assert_eq!(harness.workers[&name].running().len(), 1);
    assert_eq!(indexes(&harness).len(), 4);
}

/// Guards against a second replica while the first one's start has an unknown outcome.
#[test]
fn start_of_unknown_outcome_is_not_repeated() {
    let mut harness = harness_with_workers(&[]);
    for worker in harness.workers.values_mut() {
        worker.executes_tasks = false;
    }
    declare_replicas(&mut harness, 1, 1);
    harness.run_to(2_200);
    let open = harness.take_start().expect("a start");
    let WorkerRequest::Start { task, .. } = &open.request else {
        unreachable!()
    };
    harness
        .worker(open.worker.as_str())
        .report(task, TaskState::Running);
    harness.reply(open.call, Outcome::Unknown(call_error()));
    harness.run_for(10_000);
    assert!(harness.take_start().is_none());
    assert_eq!(indexes(&harness).len(), 1);
}

/// Guards against a service without replicas because a failed start is retried on the same worker
/// or not at all.
#[test]
fn failed_start_is_retried_on_another_worker() {
    let mut harness = harness_with_workers(&[]);
    for worker in harness.workers.values_mut() {
        worker.executes_tasks = false;
    }
    declare_replicas(&mut harness, 1, 1);
    harness.run_to(2_200);
    let first = harness.take_start().expect("a start");
    harness.reply(first.call, Outcome::NoEffect(call_error()));
    harness.run_for(500);
    let second = harness.take_start().expect("another start");
    assert_ne!(first.worker, second.worker);
    harness.reply(second.call, Outcome::Done(WorkerReply::Ok));
    harness.run_for(500);
    assert!(harness.take_start().is_none());
}

/// Answers the calls to the peer until `until`, and its replica queries by `reply`. Returns whether
/// a replica was started.
fn run_with_peer(harness: &mut TestHarness, until: u64, reply: &Outcome<PeerReply>) -> bool {
    let mut has_started = false;
    while harness.now < until {
        harness.run_for(TICK_MS);
        while let Some(open) = harness.take_peer_call(|_| true) {
            let reply = match open.request {
                PeerRequest::Replicas { .. } => reply.clone(),
                PeerRequest::Capacity => Outcome::Done(PeerReply::Capacity(Vec::new())),
                _ => Outcome::NoEffect(call_error()),
            };
            harness.reply_peer(open.call, reply);
        }
        has_started |= !indexes(harness).is_empty();
    }
    has_started
}

/// A harness with a live peer that holds no worker, and a manifest with at least one service that
/// the instance under test owns.
fn harness_with_peer() -> TestHarness {
    let mut harness = harness_with_workers(&[("entry-2", "Austin")]);
    harness.live_peers.push(heartbeat("entry-2", "Austin", &[]));
    let mut declared = manifest(&[]);
    // Rendezvous hashing gives each instance about half of the services. The hash is fixed, so in
    // every run the instance owns at least one of these four.
    declared.services =
        manifest(&[("quotes", 1), ("parcels", 1), ("lifts", 1), ("halls", 1)]).services;
    harness.instance.set_manifest(Generation(1), declared);
    harness
}

/// Guards against replicas that are started twice because a holder did not report them.
#[test]
fn nothing_is_started_while_a_holder_does_not_answer() {
    let mut harness = harness_with_peer();
    // The peer holds w-0. The other workers that the instance leaves to the peer stay without a
    // holder and count as dead after five seconds. From then on only w-0 delays the starts.
    harness.live_peers[0].workers = vec![WorkerId::from("w-0")];
    harness.worker("w-0").holder = Some(InstanceId::from("entry-2"));
    let silent = Outcome::Unknown(call_error());
    assert!(!run_with_peer(&mut harness, 11_000, &silent));
    let PeerReply::Capacity(held) = harness.call_as_peer(PeerRequest::Capacity) else {
        unreachable!()
    };
    assert!(!held.is_empty(), "no worker to start replicas on");
}

/// Guards against second copies of replicas that still run on workers whose holder has just failed,
/// and against starts that wait for a dead worker for ever.
#[test]
fn workers_without_holder_delay_starts_for_a_bounded_time() {
    let mut harness = harness_with_peer();
    harness.worker("w-1").answers_lease_calls = false;
    let empty = Outcome::Done(PeerReply::Replicas(Replicas::default()));
    assert!(!run_with_peer(&mut harness, 5_000, &empty));
    assert!(run_with_peer(&mut harness, 9_000, &empty));
}

/// Guards against an instance that starts replicas of services which another instance owns.
#[test]
fn only_owned_services_are_started() {
    let mut harness = harness_with_peer();
    let empty = Outcome::Done(PeerReply::Replicas(Replicas::default()));
    run_with_peer(&mut harness, 15_000, &empty);
    let count = indexes(&harness).len();
    assert!((1..4).contains(&count), "{count} of 4 services are owned");
}

/// Guards against replicas that keep running in a zone that the service no longer lists.
#[test]
fn zone_not_listed_by_the_service_runs_no_replica() {
    let mut harness = harness_with_workers(&[]);
    let unlisted = replica("quotes", 0);
    harness.worker("w-1").report(&unlisted, TaskState::Running);
    let mut declared = manifest(&[("quotes", 3)]);
    declared.services[0].zones = vec![Zone::from("Waco")];
    harness.instance.set_manifest(Generation(1), declared);
    harness.run_to(5_000);
    assert!(indexes(&harness).is_empty());
}

fn service(replicas: u32) -> Service {
    manifest(&[("quotes", replicas)]).services.remove(0)
}

proptest! {
    /// Guards against replicas that no zone or more than one zone runs, and against an uneven
    /// split.
    #[test]
    fn shares_add_up_and_are_even(replicas in 0_u32..5_000, count in 1_usize..12) {
        let zones: Vec<Zone> = (0..count).map(|n| Zone::from(format!("z-{n:02}"))).collect();
        let shares: Vec<_> = zones
            .iter()
            .map(|zone| zone_share(&service(replicas), &zones, zone))
            .collect();
        prop_assert_eq!(shares.iter().map(|share| share.replicas).sum::<u32>(), replicas);
        let largest = shares.iter().map(|share| share.replicas).max().unwrap_or(0);
        let smallest = shares.iter().map(|share| share.replicas).min().unwrap_or(0);
        prop_assert!(largest - smallest <= 1);
        for pair in shares.windows(2) {
            prop_assert!(pair[0].first_index + pair[0].replicas <= pair[1].first_index);
        }
    }
}
