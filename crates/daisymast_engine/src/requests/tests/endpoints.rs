//! The list of endpoints and the choice among them.

use std::time::Duration;

use daisymast_protocol::peer::{Endpoint, PeerReply};
use daisymast_types::collections::FastMap;
use daisymast_types::ids::{BootId, InstanceId, JobName, RequestId, WorkerId};
use daisymast_types::time::Monotonic;

use super::rig::{self, Rig};
use crate::requests::endpoints::{Endpoints, Readiness};

fn list(endpoints: &[(&str, u32, u64)]) -> Endpoints {
    let mut list = Endpoints::default();
    let service = JobName::from("quotes");
    let found = endpoints
        .iter()
        .map(|(worker, free_slots, service_us)| Endpoint {
            worker: WorkerId::from(*worker),
            boot: BootId(1),
            free_slots: *free_slots,
            service_us: *service_us,
        })
        .collect();
    list.begin(&service, 1);
    list.arrived(
        Monotonic::ZERO,
        &service,
        &InstanceId::from("entry-2"),
        Some(found),
    );
    list
}

fn choices(list: &Endpoints, count: u32) -> FastMap<String, u32> {
    let mut chosen = FastMap::default();
    for number in 0..count {
        let id = RequestId::from(format!("quote-{number}"));
        let known = list.choose(&JobName::from("quotes"), &id, 0, &[]);
        let worker = known.expect("an endpoint").endpoint.worker;
        *chosen.entry(worker.as_str().to_owned()).or_default() += 1;
    }
    chosen
}

/// Guards against equal endpoints of which one gets most of the work.
#[test]
fn equal_endpoints_share_the_work() {
    let names: Vec<String> = (0..10).map(|number| format!("w-{number}")).collect();
    let endpoints: Vec<_> = names.iter().map(|name| (name.as_str(), 8, 1_000)).collect();
    let chosen = choices(&list(&endpoints), 10_000);
    assert_eq!(chosen.len(), 10);
    assert!(
        chosen.values().all(|count| (700..=1_300).contains(count)),
        "{chosen:?}"
    );
}

/// Guards against slow, busy and full endpoints that are chosen over better ones.
#[test]
fn the_shorter_expected_wait_wins() {
    let pairs = [
        [("fast", 8, 1_000), ("slow", 8, 2_000)],
        [("fast", 8, 1_000), ("slow", 2, 1_000)],
        [("fast", 1, 1_000), ("slow", 0, 1_000)],
    ];
    for pair in pairs {
        let chosen = choices(&list(&pair), 100);
        assert_eq!(chosen.get("fast"), Some(&100), "{pair:?}");
    }
    let mut busy = list(&[("fast", 8, 1_000), ("slow", 8, 1_000)]);
    busy.sent(&WorkerId::from("slow"));
    assert_eq!(choices(&busy, 100).get("fast"), Some(&100));
    busy.returned(&WorkerId::from("slow"));
    assert!(choices(&busy, 100).get("fast") < Some(&100));
}

/// Guards against a list that is used for ever, and against one that blocks while it is renewed.
#[test]
fn lists_age() {
    let service = JobName::from("quotes");
    let mut list = list(&[("w-1", 8, 1_000)]);
    let at = |millis| Monotonic::ZERO + Duration::from_millis(millis);
    assert_eq!(list.readiness(at(199), &service), Readiness::Fresh);
    assert_eq!(list.readiness(at(200), &service), Readiness::Stale);
    list.begin(&service, 1);
    assert_eq!(list.readiness(at(999), &service), Readiness::Fresh);
    assert_eq!(list.readiness(at(1_000), &service), Readiness::Fetching);
}

/// Guards against a question for each request, and against requests that wait for a silent
/// instance while a usable list is there.
#[test]
fn one_question_serves_many_requests() {
    let mut rig = Rig::new();
    for token in 0..5 {
        rig.submit(token, rig::repeatable(&format!("quote-{token}")));
    }
    rig.endpoints(&["w-1"]);
    assert_eq!((rig.calls.len(), rig.open_starts()), (5, 5));
    rig.pass(250);
    rig.submit(5, rig::repeatable("quote-5"));
    assert_eq!(rig.open_starts(), 6, "the older list is used");
    let call = rig.take(rig::is_endpoints);
    rig.unknown(&call);
    rig.submit(6, rig::repeatable("quote-6"));
    rig.take(rig::is_forward);
}

/// Guards against an endpoint whose worker is leaving and that still gets work seconds later.
#[test]
fn an_endpoint_that_left_gets_no_work() {
    let mut rig = Rig::new();
    rig.submit(0, rig::repeatable("quote-0"));
    rig.endpoints(&["w-1", "w-2"]);
    rig.take(rig::is_serve);
    for token in 1..50 {
        rig.pass(250);
        rig.submit(token, rig::repeatable(&format!("quote-{token}")));
        let call = rig.take(rig::is_serve);
        if token > 4 {
            assert_eq!(rig::worker_of(&call), "w-2");
        }
        let id = rig::request_of(&call).id;
        rig.reply(&call, PeerReply::Served(rig::answer_to(&id, "ok")));
        rig.endpoints(&["w-2"]);
    }
}

/// Guards against `NotRun` for a request that comes while the only worker of its service is between
/// two holders, as when an instance drains.
#[test]
fn a_request_waits_while_its_worker_moves() {
    let mut rig = Rig::new();
    rig.isolate();
    let call = rig.serving(&rig::once(), &["w-1"]);
    rig.reply(&call, PeerReply::NotHolder { holder: None });
    assert!(rig.answers.is_empty(), "{:?}", rig.answers);
    rig.pass(300);
    rig.endpoints(&["w-1"]);
    let second = rig.take(rig::is_serve);
    assert_eq!(rig::worker_of(&second), "w-1");
    let answer = rig::answer_to(&rig::once().id, "42 USD");
    rig.reply(&second, PeerReply::Served(answer));
    rig.assert_done("42 USD");
}

/// Guards against `NotRun` for a request that finds the list empty because the lease has just moved.
#[test]
fn a_list_that_was_emptied_by_a_move_is_read_again() {
    let mut rig = Rig::new();
    rig.isolate();
    let first = {
        rig.submit(1, rig::repeatable("quote-1"));
        rig.endpoints(&["w-1"]);
        rig.take(rig::is_serve)
    };
    let answer = rig::answer_to(&rig::repeatable("quote-1").id, "41 USD");
    rig.reply(&first, PeerReply::Served(answer));
    rig.answers.clear();
    rig.pass(1_000);
    rig.submit(2, rig::repeatable("quote-2"));
    rig.endpoints(&[]);
    assert!(rig.answers.is_empty(), "{:?}", rig.answers);
    rig.pass(300);
    rig.endpoints(&["w-1"]);
    let second = rig.take(rig::is_serve);
    let answer = rig::answer_to(&rig::repeatable("quote-2").id, "42 USD");
    rig.reply(&second, PeerReply::Served(answer));
    rig.assert_done("42 USD");
}

/// Guards against a request that waits for a worker that has gone until its deadline passes.
#[test]
fn a_worker_that_does_not_come_back_is_not_waited_for() {
    let mut rig = Rig::new();
    let call = rig.serving(&rig::once(), &["w-1"]);
    rig.reply(&call, PeerReply::NotHolder { holder: None });
    assert_eq!(rig.open_starts(), 0);
    for _ in 0..6 {
        rig.pass(250);
        if rig
            .calls
            .iter()
            .any(|call| rig::is_endpoints(&call.request))
        {
            rig.endpoints(&[]);
        }
    }
    rig.take(rig::is_forward);
}
