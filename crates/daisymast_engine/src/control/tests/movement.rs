//! Leases that move between instances.

use daisymast_protocol::outcome::Outcome;
use daisymast_protocol::peer::{PeerReply, PeerRequest};
use daisymast_protocol::task::TaskState;
use daisymast_protocol::worker::{Refusal, WorkerReply, WorkerRequest};
use daisymast_types::ids::{InstanceId, Token, WorkerId};

use crate::testing::{BOOT, Bench, answer, heartbeat, replica, request};

const NAMES: [&str; 8] = ["w-1", "w-2", "w-3", "w-4", "w-5", "w-6", "w-7", "w-8"];

/// A bench with one peer in the zone that is not heard yet.
fn pair() -> Bench {
    Bench::new(&NAMES, &[("entry-2", "Austin")])
}

fn is_hand_over(request: &PeerRequest) -> bool {
    matches!(request, PeerRequest::HandOver { .. })
}

/// Opens a request on each worker and asks for its lease. Returns what is to be handed over.
fn ask_all(bench: &mut Bench) -> Vec<(&'static str, Token)> {
    // The peer is preferred for some of the workers; exactly those are handed over.
    let mut accepted = Vec::new();
    for name in NAMES {
        let worker = WorkerId::from(name);
        let serve = PeerRequest::Serve {
            worker: worker.clone(),
            boot: BOOT,
            request: request("quotes", "q-1"),
        };
        let token = bench.ask("entry-2", serve);
        let reply = bench.answer_to(PeerRequest::HandOver { worker });
        if reply == PeerReply::Ok {
            accepted.push((name, token));
        } else {
            assert_eq!(reply, PeerReply::Refused(Refusal::Invalid));
        }
    }
    accepted
}

/// Guards against a hand-over that cuts off a request in flight.
#[test]
fn hand_over_waits_for_open_calls() {
    let mut bench = pair();
    for name in NAMES {
        let quotes = replica("quotes", 0);
        bench.worker(name).report(&quotes, TaskState::Running);
    }
    bench.run_to(2_000);
    bench.live.push(heartbeat("entry-2", "Austin", &[]));
    bench.run_for(1_000);
    let accepted = ask_all(&mut bench);
    assert!((1..NAMES.len()).contains(&accepted.len()), "{accepted:?}");
    bench.run_for(900);
    assert!(!bench.has_record("lease.released"));
    let (name, token) = accepted[0];
    let open = bench
        .take_call(|_| true)
        .into_iter()
        .chain(std::iter::from_fn(|| bench.take_call(|_| true)))
        .find(|open| open.worker.as_str() == name)
        .expect("the open request");
    assert!(matches!(open.request, WorkerRequest::Serve { .. }));
    let reply = WorkerReply::Served {
        answer: answer("q-1", "Plaza 4"),
    };
    bench.reply(open.call, Outcome::Done(reply));
    assert!(matches!(bench.answer(token), Some(PeerReply::Served(_))));
    bench.run_for(700);
    let released: Vec<_> = bench
        .records
        .iter()
        .filter(|(step, _)| step == "lease.released")
        .collect();
    assert_eq!(released.len(), 1);
    assert_eq!(released[0].1, name);
}

/// Guards against leases that move with every change of the view, and against taking a worker from
/// a live holder.
#[test]
fn preferred_instance_asks_the_holder_after_two_seconds() {
    let mut bench = pair();
    for worker in bench.workers.values_mut() {
        worker.holder = Some(InstanceId::from("entry-2"));
    }
    bench.live.push(heartbeat("entry-2", "Austin", &NAMES));
    // It is preferred from the first tick on, at 50 ms.
    bench.run_to(2_000);
    assert!(bench.take_peer_call(is_hand_over).is_none());
    bench.run_to(5_000);
    let asked = bench.take_peer_call(is_hand_over).expect("a request");
    assert_eq!(asked.to, InstanceId::from("entry-2"));
    assert!(!bench.has_record("lease.acquired"));
    let PeerRequest::HandOver { worker } = asked.request else {
        unreachable!()
    };
    bench.worker(worker.as_str()).holder = None;
    bench.reply_peer(asked.call, Outcome::Done(PeerReply::Ok));
    bench.run_for(300);
    assert!(bench.has_record("lease.acquired"));
}

/// Guards against workers that stay without a holder when theirs dies.
#[test]
fn dead_holder_is_replaced_when_its_leases_are_free() {
    let mut bench = pair();
    for worker in bench.workers.values_mut() {
        worker.holder = Some(InstanceId::from("entry-2"));
    }
    bench.live.push(heartbeat("entry-2", "Austin", &NAMES));
    bench.run_to(3_000);
    bench.live.clear();
    for worker in bench.workers.values_mut() {
        worker.holder = None;
        worker.epoch += 1;
    }
    bench.run_for(5_000);
    let PeerReply::Capacity(held) = bench.answer_to(PeerRequest::Capacity) else {
        unreachable!()
    };
    assert_eq!(held.len(), NAMES.len());
}

/// Guards against a new instance that takes all leases before it hears of its peers.
#[test]
fn new_instance_waits_for_its_peers() {
    let mut bench = pair();
    bench.run_to(1_000);
    assert!(bench.records.is_empty(), "{:?}", bench.records);
    bench.run_to(1_600);
    assert!(bench.has_record("lease.acquired"));
}

/// Guards against a draining instance that takes new leases.
#[test]
fn draining_instance_acquires_nothing() {
    let mut bench = Bench::new(&["w-1"], &[]);
    bench.event(crate::event::Event::Drain);
    bench.run_to(2_000);
    assert!(bench.worker_calls.is_empty());
    assert!(bench.is_stopped);
}
