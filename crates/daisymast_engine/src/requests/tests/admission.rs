//! Quotas, fair shares and the retry budget in the request path.

use daisymast_protocol::caller::{CallerReply, CallerRequest, NotRunReason};
use daisymast_protocol::peer::PeerReply;
use daisymast_protocol::worker::Refusal;
use daisymast_types::ids::JobName;

use super::harness::{self, RequestHarness};

fn quote(number: u64) -> CallerRequest {
    harness::idempotent_request(&format!("quote-{number}"))
}

/// Submits requests until all 16 slots of the instance are in use.
fn fill(harness: &mut RequestHarness) {
    for number in 0..16 {
        harness.submit(number, quote(number));
        if number == 0 {
            harness.reply_endpoints(&["w-1", "w-2"]);
        }
    }
    assert_eq!(harness.open_dispatches(), 16);
}

fn serve_one(harness: &mut RequestHarness) -> String {
    let call = harness.take_call(harness::is_serve);
    let request = harness::request_of(&call);
    harness.reply(
        &call,
        PeerReply::Served(harness::worker_answer(&request.id, "ok")),
    );
    request.service.as_str().to_owned()
}

fn reasons(harness: &RequestHarness) -> Vec<NotRunReason> {
    let not_run = |answer: &(u64, CallerReply)| match &answer.1 {
        CallerReply::NotRun { reason, .. } => Some(*reason),
        _ => None,
    };
    harness.answers.iter().filter_map(not_run).collect()
}

/// Guards against sending more concurrent requests to workers than this instance's share.
#[test]
fn requests_beyond_capacity_are_queued() {
    let mut harness = RequestHarness::new();
    fill(&mut harness);
    harness.submit(16, quote(16));
    assert_eq!(harness.open_dispatches(), 16);
    assert!(harness.answers.is_empty());
    serve_one(&mut harness);
    assert_eq!(harness.open_dispatches(), 16);
    assert_eq!(harness.answers.len(), 1);
}

/// Guards against a flood of requests to the urgent service that starves the other service.
#[test]
fn flood_of_one_service_does_not_starve_another() {
    let mut harness = RequestHarness::new();
    fill(&mut harness);
    for number in 16..200 {
        harness.submit(number, quote(number));
    }
    for number in 200..220 {
        let service = JobName::from("bookings");
        harness.submit(
            number,
            CallerRequest {
                service,
                ..quote(number)
            },
        );
    }
    let mut bookings = 0;
    for fate_answered in 0..56 {
        if fate_answered % 8 == 0 {
            harness.advance(50);
        }
        if harness
            .calls
            .iter()
            .any(|call| harness::is_endpoints(&call.request))
        {
            harness.reply_endpoints(&["w-3"]);
        }
        bookings += usize::from(serve_one(&mut harness) == "bookings");
    }
    assert!(bookings >= 14, "{bookings} of 56 answers");
}

/// Guards against an unbounded queue, and against sending a request that was refused as `NotRun`.
#[test]
fn full_queue_rejects_immediately() {
    let mut harness = RequestHarness::new();
    fill(&mut harness);
    for number in 16..1_200 {
        harness.submit(
            number,
            CallerRequest {
                timeout_ms: 60_000,
                ..quote(number)
            },
        );
    }
    let refused = reasons(&harness);
    assert!(!refused.is_empty());
    assert!(
        refused
            .iter()
            .all(|reason| *reason == NotRunReason::Overloaded)
    );
    assert_eq!(harness.open_dispatches(), 16);
}

/// Guards against starting a queued request after its deadline.
#[test]
fn request_expired_in_queue_is_never_started() {
    let mut harness = RequestHarness::new();
    fill(&mut harness);
    harness.submit(16, quote(16));
    harness.calls.clear();
    harness.advance(2_050);
    assert_eq!(reasons(&harness), vec![NotRunReason::DeadlineUnreachable]);
    assert_eq!(harness.answers.len(), 17);
    assert_eq!(harness.open_dispatches(), 0);
    assert!(harness.requests.is_idle());
}

/// Guards against slots that stay in use after their requests have ended.
#[test]
fn slots_are_released_after_each_request() {
    let mut harness = RequestHarness::new();
    harness.disconnect_other_zones();
    for round in 0..10 {
        for number in 0..16 {
            harness.submit(number, quote(100 * round + number));
            if harness
                .calls
                .iter()
                .any(|call| harness::is_endpoints(&call.request))
            {
                harness.reply_endpoints(&["w-1"]);
            }
        }
        assert_eq!(harness.open_dispatches(), 16);
        while harness.open_dispatches() > 0 {
            let call = harness.take_call(harness::is_serve);
            harness.reply(&call, PeerReply::Refused(Refusal::NoSlot));
        }
        assert!(harness.requests.is_idle());
    }
}

/// Guards against retries that multiply the load when all workers are overloaded.
#[test]
fn retry_budget_bounds_retries() {
    let mut harness = RequestHarness::new();
    harness.disconnect_other_zones();
    let workers = ["w-1", "w-2", "w-3", "w-4", "w-5"];
    let mut attempts = 0;
    for number in 0..500 {
        harness.submit(number, quote(number));
        if harness
            .calls
            .iter()
            .any(|call| harness::is_endpoints(&call.request))
        {
            harness.reply_endpoints(&workers);
        }
        while harness.open_dispatches() > 0 {
            let call = harness.take_call(harness::is_serve);
            harness.reply(&call, PeerReply::Refused(Refusal::NoSlot));
            attempts += 1;
        }
    }
    assert_eq!(harness.answers.len(), 500);
    assert!(
        (510..=550).contains(&attempts),
        "{attempts} attempts for 500 requests"
    );
}
