//! Quotas, shares and the retry budget in the request path.

use daisymast_protocol::caller::{CallerReply, CallerRequest, NotRunReason};
use daisymast_protocol::peer::PeerReply;
use daisymast_protocol::worker::Refusal;
use daisymast_types::ids::JobName;

use super::rig::{self, Rig};

fn quote(number: u64) -> CallerRequest {
    rig::repeatable(&format!("quote-{number}"))
}

/// Submits quotes until all sixteen slots of the instance are taken.
fn fill(rig: &mut Rig) {
    for number in 0..16 {
        rig.submit(number, quote(number));
        if number == 0 {
            rig.endpoints(&["w-1", "w-2"]);
        }
    }
    assert_eq!(rig.open_starts(), 16);
}

fn serve_one(rig: &mut Rig) -> String {
    let call = rig.take(rig::is_serve);
    let request = rig::request_of(&call);
    rig.reply(&call, PeerReply::Served(rig::answer_to(&request.id, "ok")));
    request.service.as_str().to_owned()
}

fn reasons(rig: &Rig) -> Vec<NotRunReason> {
    let not_run = |answer: &(u64, CallerReply)| match &answer.1 {
        CallerReply::NotRun { reason, .. } => Some(*reason),
        _ => None,
    };
    rig.answers.iter().filter_map(not_run).collect()
}

/// Guards against more work at the workers than the share of this instance.
#[test]
fn requests_above_the_capacity_wait() {
    let mut rig = Rig::new();
    fill(&mut rig);
    rig.submit(16, quote(16));
    assert_eq!(rig.open_starts(), 16);
    assert!(rig.answers.is_empty());
    serve_one(&mut rig);
    assert_eq!(rig.open_starts(), 16);
    assert_eq!(rig.answers.len(), 1);
}

/// Guards against a flood of the urgent service that leaves the other one nothing.
#[test]
fn a_flood_of_one_service_leaves_the_other_its_share() {
    let mut rig = Rig::new();
    fill(&mut rig);
    for number in 16..200 {
        rig.submit(number, quote(number));
    }
    for number in 200..220 {
        let service = JobName::from("bookings");
        rig.submit(
            number,
            CallerRequest {
                service,
                ..quote(number)
            },
        );
    }
    let mut bookings = 0;
    for answered in 0..56 {
        if answered % 8 == 0 {
            rig.pass(50);
        }
        if rig
            .calls
            .iter()
            .any(|call| rig::is_endpoints(&call.request))
        {
            rig.endpoints(&["w-3"]);
        }
        bookings += usize::from(serve_one(&mut rig) == "bookings");
    }
    assert!(bookings >= 14, "{bookings} of 56 answers");
}

/// Guards against a queue without bound, and against `NotRun` that is not true: what was refused is
/// never sent.
#[test]
fn a_full_queue_refuses_at_once() {
    let mut rig = Rig::new();
    fill(&mut rig);
    for number in 16..1_200 {
        rig.submit(
            number,
            CallerRequest {
                timeout_ms: 60_000,
                ..quote(number)
            },
        );
    }
    let refused = reasons(&rig);
    assert!(!refused.is_empty());
    assert!(
        refused
            .iter()
            .all(|reason| *reason == NotRunReason::Overloaded)
    );
    assert_eq!(rig.open_starts(), 16);
}

/// Guards against a request that waits in the queue beyond its deadline and starts then.
#[test]
fn the_deadline_in_the_queue_is_a_true_not_run() {
    let mut rig = Rig::new();
    fill(&mut rig);
    rig.submit(16, quote(16));
    rig.calls.clear();
    rig.pass(2_050);
    assert_eq!(reasons(&rig), vec![NotRunReason::DeadlineUnreachable]);
    assert_eq!(rig.answers.len(), 17);
    assert_eq!(rig.open_starts(), 0);
    assert!(rig.requests.is_idle());
}

/// Guards against slots that stay taken after their requests ended.
#[test]
fn slots_are_given_back() {
    let mut rig = Rig::new();
    rig.isolate();
    for round in 0..10 {
        for number in 0..16 {
            rig.submit(number, quote(100 * round + number));
            if rig
                .calls
                .iter()
                .any(|call| rig::is_endpoints(&call.request))
            {
                rig.endpoints(&["w-1"]);
            }
        }
        assert_eq!(rig.open_starts(), 16);
        while rig.open_starts() > 0 {
            let call = rig.take(rig::is_serve);
            rig.reply(&call, PeerReply::Refused(Refusal::NoSlot));
        }
        assert!(rig.requests.is_idle());
    }
}

/// Guards against an overload that multiplies the load by the number of attempts.
#[test]
fn retries_are_a_share_of_the_traffic() {
    let mut rig = Rig::new();
    rig.isolate();
    let workers = ["w-1", "w-2", "w-3", "w-4", "w-5"];
    let mut attempts = 0;
    for number in 0..500 {
        rig.submit(number, quote(number));
        if rig
            .calls
            .iter()
            .any(|call| rig::is_endpoints(&call.request))
        {
            rig.endpoints(&workers);
        }
        while rig.open_starts() > 0 {
            let call = rig.take(rig::is_serve);
            rig.reply(&call, PeerReply::Refused(Refusal::NoSlot));
            attempts += 1;
        }
    }
    assert_eq!(rig.answers.len(), 500);
    assert!(
        (510..=550).contains(&attempts),
        "{attempts} attempts for 500 requests"
    );
}
