//! Tests of the validity and renewal of control leases.

use daisymast_protocol::outcome::Outcome;
use daisymast_protocol::peer::{PeerReply, PeerRequest};
use daisymast_protocol::task::TaskState;
use daisymast_protocol::worker::{Refusal, WorkerReply, WorkerRequest};
use daisymast_types::ids::WorkerId;

use crate::event::Event;
use crate::testing::{TestHarness, WORKER_BOOT, call_error, refused, replica, request, task};

fn is_renewal(request: &WorkerRequest) -> bool {
    matches!(request, WorkerRequest::Renew { .. })
}

/// Guards against a holder that resumes after a pause longer than its lease and still sends
/// requests and starts.
#[test]
fn paused_holder_sends_nothing_under_an_expired_lease() {
    let mut harness = TestHarness::new(&["w-1"], &[]);
    let quotes = replica("quotes", 0);
    harness.worker("w-1").report(&quotes, TaskState::Running);
    harness.run_to(500);
    let worker = WorkerId::from("w-1");
    harness.now += 10_000;
    let serve = PeerRequest::Serve {
        worker: worker.clone(),
        boot: WORKER_BOOT,
        request: request("quotes", "q-1"),
    };
    let start = PeerRequest::Start {
        worker,
        task: task("survey", 1, 0),
    };
    for ask in [serve, start] {
        let reply = harness.call_as_peer(ask);
        assert_eq!(reply, PeerReply::NotHolder { holder: None });
    }
    assert_eq!(
        harness.call_as_peer(PeerRequest::Capacity),
        PeerReply::Capacity(Vec::new())
    );
    assert!(harness.take_start().is_none());
}

/// Guards against a start that takes effect after its sender timed out. The message carries its
/// deadline on the worker's clock, and a refusal because of it frees the capacity.
#[test]
fn late_start_is_refused_and_frees_its_capacity() {
    let mut harness = TestHarness::new(&["w-1"], &[]);
    harness.run_to(500);
    let mut survey = task("survey", 1, 0);
    survey.size = harness.worker("w-1").capacity;
    let start = PeerRequest::Start {
        worker: WorkerId::from("w-1"),
        task: survey,
    };
    let token = harness.send_as_peer("entry-2", start.clone());
    let open = harness.take_start().expect("a start");
    let WorkerRequest::Start { not_after, .. } = open.request else {
        unreachable!()
    };
    let deadline = crate::testing::WORKER_CLOCK_OFFSET_MS + open.sent + 1_000;
    assert!(not_after.0 <= deadline, "{} > {deadline}", not_after.0);
    assert!(
        not_after.0 + 5 >= deadline,
        "{} is far below {deadline}",
        not_after.0
    );
    harness.reply(open.call, refused(Refusal::Late));
    let reply = harness.take_answer(token);
    assert_eq!(reply, Some(PeerReply::Refused(Refusal::Late)));
    harness.send_as_peer("entry-2", start);
    assert!(harness.take_start().is_some());
}

/// Guards against a lease that expires because of a single lost renewal reply, and against two
/// renewals that are open at once.
#[test]
fn lost_renewal_reply_is_retried_before_the_lease_expires() {
    let mut harness = TestHarness::new(&["w-1"], &[]);
    harness.run_to(100);
    harness.worker("w-1").answers_lease_calls = false;
    let mut last = None;
    while last.is_none() {
        harness.run_for(50);
        last = harness.take_call(is_renewal);
    }
    let first = last.expect("a renewal");
    // No other renewal is sent while this one is open.
    while harness.now + 50 < first.sent + 750 {
        harness.run_for(50);
        assert!(harness.take_call(is_renewal).is_none());
    }
    harness.now = first.sent + 750;
    assert!(first.timeout.as_millis() <= 750);
    harness.reply(first.call, Outcome::Unknown(call_error()));
    harness.worker("w-1").answers_lease_calls = true;
    let retry = harness.worker_calls.first().expect("a retry");
    assert!(matches!(
        retry.request,
        WorkerRequest::Renew { wait_ms: 0, .. }
    ));
    harness.answer_calls();
    harness.run_for(1_000);
    assert!(!harness.has_record("lease.lost"));
    let PeerReply::Capacity(held) = harness.call_as_peer(PeerRequest::Capacity) else {
        unreachable!()
    };
    assert_eq!(held.len(), 1);
}

/// Guards against a holder that keeps using a lease after all its renewals failed.
#[test]
fn lease_is_lost_without_renewals() {
    let mut harness = TestHarness::new(&["w-1"], &[]);
    harness.run_to(100);
    harness.worker("w-1").answers_lease_calls = false;
    while harness.now < 3_000 {
        harness.run_for(50);
        if let Some(open) = harness.take_call(|_| true) {
            harness.reply(open.call, Outcome::Unknown(call_error()));
        }
    }
    assert!(harness.has_record("lease.lost"));
    assert_eq!(
        harness.call_as_peer(PeerRequest::Capacity),
        PeerReply::Capacity(Vec::new())
    );
}

/// Guards against further use of a lease after the worker refused its stamp, for example after a
/// restart of the worker.
#[test]
fn stale_lease_refusal_drops_the_lease() {
    let mut harness = TestHarness::new(&["w-1"], &[]);
    harness.run_to(500);
    let start = PeerRequest::Start {
        worker: WorkerId::from("w-1"),
        task: task("survey", 1, 0),
    };
    let token = harness.send_as_peer("entry-2", start);
    let open = harness.take_start().expect("a start");
    harness.worker("w-1").answers_lease_calls = false;
    harness.reply(open.call, refused(Refusal::StaleLease));
    let reply = harness.take_answer(token);
    assert_eq!(reply, Some(PeerReply::NotHolder { holder: None }));
    assert!(harness.has_record("lease.lost"));
}

/// Guards against a draining instance that drops an open request, lets the lease expire during it,
/// or never stops.
#[test]
fn draining_releases_the_lease_after_the_last_open_request() {
    let mut harness = TestHarness::new(&["w-1"], &[]);
    let quotes = replica("quotes", 0);
    harness.worker("w-1").report(&quotes, TaskState::Running);
    harness.run_to(500);
    let mut slow = request("quotes", "q-1");
    slow.timeout_ms = 20_000;
    let token = harness.send_as_peer(
        "entry-2",
        PeerRequest::Serve {
            worker: WorkerId::from("w-1"),
            boot: WORKER_BOOT,
            request: slow,
        },
    );
    let serve = harness
        .take_call(|one| matches!(one, WorkerRequest::Serve { .. }))
        .expect("the request");
    harness.event(Event::Drain);
    harness.run_for(10_000);
    assert!(!harness.has_record("lease.lost") && !harness.has_record("lease.released"));
    assert!(!harness.is_stopped);
    let answer = crate::testing::answer("q-1", "Plaza 4");
    let reply = WorkerReply::Served {
        answer: answer.clone(),
    };
    harness.reply(serve.call, Outcome::Done(reply));
    assert_eq!(harness.take_answer(token), Some(PeerReply::Served(answer)));
    harness.run_for(1_500);
    assert!(harness.has_record("lease.released"));
    assert!(harness.is_stopped);
    assert_eq!(harness.worker("w-1").holder, None);
}
