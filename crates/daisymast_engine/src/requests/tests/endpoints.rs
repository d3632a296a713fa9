//! The endpoint cache and load balancing.

use std::time::Duration;

use daisymast_protocol::peer::{Endpoint, PeerReply};
use daisymast_types::collections::FastMap;
use daisymast_types::ids::{BootId, InstanceId, JobName, RequestId, WorkerId};
use daisymast_types::time::Monotonic;

use super::harness::{self, RequestHarness};
use crate::requests::endpoints::{EndpointCache, Readiness};

fn cache_with(endpoints: &[(&str, u32, u64)]) -> EndpointCache {
    let mut cache = EndpointCache::default();
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
    cache.begin_fetch(&service, 1);
    cache.on_fetched(
        Monotonic::ZERO,
        &service,
        &InstanceId::from("entry-2"),
        Some(found),
    );
    cache
}

fn count_choices(cache: &EndpointCache, count: u32) -> FastMap<String, u32> {
    let mut chosen = FastMap::default();
    for number in 0..count {
        let id = RequestId::from(format!("quote-{number}"));
        let routed = cache.choose(&JobName::from("quotes"), &id, 0, &[]);
        let worker = routed.expect("an endpoint").endpoint.worker;
        *chosen.entry(worker.as_str().to_owned()).or_default() += 1;
    }
    chosen
}

/// Guards against uneven load on equal endpoints.
#[test]
fn equal_endpoints_receive_equal_load() {
    let names: Vec<String> = (0..10).map(|number| format!("w-{number}")).collect();
    let endpoints: Vec<_> = names.iter().map(|name| (name.as_str(), 8, 1_000)).collect();
    let chosen = count_choices(&cache_with(&endpoints), 10_000);
    assert_eq!(chosen.len(), 10);
    assert!(
        chosen.values().all(|count| (700..=1_300).contains(count)),
        "{chosen:?}"
    );
}

/// Guards against choosing a slow, busy or full endpoint over a better one.
#[test]
fn endpoint_with_shorter_expected_wait_is_chosen() {
    let pairs = [
        [("fast", 8, 1_000), ("slow", 8, 2_000)],
        [("fast", 8, 1_000), ("slow", 2, 1_000)],
        [("fast", 1, 1_000), ("slow", 0, 1_000)],
    ];
    for pair in pairs {
        let chosen = count_choices(&cache_with(&pair), 100);
        assert_eq!(chosen.get("fast"), Some(&100), "{pair:?}");
    }
    let mut busy = cache_with(&[("fast", 8, 1_000), ("slow", 8, 1_000)]);
    busy.on_sent(&WorkerId::from("slow"));
    assert_eq!(count_choices(&busy, 100).get("fast"), Some(&100));
    busy.on_returned(&WorkerId::from("slow"));
    assert!(count_choices(&busy, 100).get("fast") < Some(&100));
}

/// Guards against using a list indefinitely, and against blocking requests while it is refreshed.
#[test]
fn endpoint_list_expires() {
    let service = JobName::from("quotes");
    let mut cache = cache_with(&[("w-1", 8, 1_000)]);
    let at = |millis| Monotonic::ZERO + Duration::from_millis(millis);
    assert_eq!(cache.readiness(at(199), &service), Readiness::Fresh);
    assert_eq!(cache.readiness(at(200), &service), Readiness::Stale);
    cache.begin_fetch(&service, 1);
    assert_eq!(cache.readiness(at(999), &service), Readiness::Fresh);
    assert_eq!(cache.readiness(at(1_000), &service), Readiness::Fetching);
}

/// Guards against one endpoint query per request, and against waiting for an unresponsive instance
/// while a usable list is cached.
#[test]
fn one_fetch_serves_concurrent_requests() {
    let mut harness = RequestHarness::new();
    for token in 0..5 {
        harness.submit(
            token,
            harness::idempotent_request(&format!("quote-{token}")),
        );
    }
    harness.reply_endpoints(&["w-1"]);
    assert_eq!((harness.calls.len(), harness.open_dispatches()), (5, 5));
    harness.advance(250);
    harness.submit(5, harness::idempotent_request("quote-5"));
    assert_eq!(harness.open_dispatches(), 6, "the older list is used");
    let call = harness.take_call(harness::is_endpoints);
    harness.reply_unknown(&call);
    harness.submit(6, harness::idempotent_request("quote-6"));
    harness.take_call(harness::is_forward);
}

/// Guards against sending requests to a worker seconds after it has left the list.
#[test]
fn removed_endpoint_receives_no_requests() {
    let mut harness = RequestHarness::new();
    harness.submit(0, harness::idempotent_request("quote-0"));
    harness.reply_endpoints(&["w-1", "w-2"]);
    harness.take_call(harness::is_serve);
    for token in 1..50 {
        harness.advance(250);
        harness.submit(
            token,
            harness::idempotent_request(&format!("quote-{token}")),
        );
        let call = harness.take_call(harness::is_serve);
        if token > 4 {
            assert_eq!(harness::worker_of(&call), "w-2");
        }
        let id = harness::request_of(&call).id;
        harness.reply(&call, PeerReply::Served(harness::worker_answer(&id, "ok")));
        harness.reply_endpoints(&["w-2"]);
    }
}

/// Guards against `NotRun` while the only worker of the service is being handed over, as when an
/// instance drains.
#[test]
fn request_waits_during_worker_handover() {
    let mut harness = RequestHarness::new();
    harness.disconnect_other_zones();
    let call = harness.submit_to_worker(&harness::non_idempotent_request(), &["w-1"]);
    harness.reply(&call, PeerReply::NotHolder { holder: None });
    assert!(harness.answers.is_empty(), "{:?}", harness.answers);
    harness.advance(300);
    harness.reply_endpoints(&["w-1"]);
    let second = harness.take_call(harness::is_serve);
    assert_eq!(harness::worker_of(&second), "w-1");
    let answer = harness::worker_answer(&harness::non_idempotent_request().id, "42 USD");
    harness.reply(&second, PeerReply::Served(answer));
    harness.assert_done("42 USD");
}

/// Guards against `NotRun` for a request that finds the list empty because the worker's lease has
/// just moved.
#[test]
fn empty_list_after_handover_is_fetched_again() {
    let mut harness = RequestHarness::new();
    harness.disconnect_other_zones();
    let first = {
        harness.submit(1, harness::idempotent_request("quote-1"));
        harness.reply_endpoints(&["w-1"]);
        harness.take_call(harness::is_serve)
    };
    let answer = harness::worker_answer(&harness::idempotent_request("quote-1").id, "41 USD");
    harness.reply(&first, PeerReply::Served(answer));
    harness.answers.clear();
    harness.advance(1_000);
    harness.submit(2, harness::idempotent_request("quote-2"));
    harness.reply_endpoints(&[]);
    assert!(harness.answers.is_empty(), "{:?}", harness.answers);
    harness.advance(300);
    harness.reply_endpoints(&["w-1"]);
    let second = harness.take_call(harness::is_serve);
    let answer = harness::worker_answer(&harness::idempotent_request("quote-2").id, "42 USD");
    harness.reply(&second, PeerReply::Served(answer));
    harness.assert_done("42 USD");
}

/// Guards against waiting until the deadline for a worker that is gone.
#[test]
fn wait_for_handover_is_bounded() {
    let mut harness = RequestHarness::new();
    let call = harness.submit_to_worker(&harness::non_idempotent_request(), &["w-1"]);
    harness.reply(&call, PeerReply::NotHolder { holder: None });
    assert_eq!(harness.open_dispatches(), 0);
    for _ in 0..6 {
        harness.advance(250);
        if harness
            .calls
            .iter()
            .any(|call| harness::is_endpoints(&call.request))
        {
            harness.reply_endpoints(&[]);
        }
    }
    harness.take_call(harness::is_forward);
}
