//! The relay's side of the exchanges with a leader.

mod common;

use std::time::Duration;

use common::{accepted, address, at, poll, reply, start};
use daisymast_relay::link::{Link, Next};
use daisymast_relay::session::{Sessions, Superseded};
use daisymast_relay::{constants, wire};
use daisymast_scheduler::{action, report};

fn exchange(session: u64, term: u64, calls: Vec<action::Action>) -> wire::Exchange {
    let mut link = Link::new(address(7), session, term, at(0));
    for call in calls {
        link.push(call);
    }
    match link.next(at(1_000), Duration::ZERO) {
        Next::Send(sending) => sending.exchange,
        other => panic!("nothing to send: {other:?}"),
    }
}

/// Guards against orders of a replaced leader that a relay still carries out.
#[test]
fn calls_of_an_earlier_term_are_rejected() {
    let mut sessions = Sessions::default();
    let old = || exchange(1, 4, vec![start(1, 1)]);
    assert_eq!(
        sessions.accept(old(), 5, at(0)).err(),
        Some(Superseded { by: 5 }),
        "the node knows of term 5"
    );
    assert!(sessions.accept(old(), 4, at(0)).is_ok());
    let new = exchange(2, 6, vec![start(2, 1)]);
    assert!(sessions.accept(new, 4, at(10)).is_ok());
    assert_eq!(
        sessions.accept(old(), 4, at(20)).err(),
        Some(Superseded { by: 6 }),
        "an exchange of term 6 was accepted"
    );
}

/// Guards against a relay that was paused and then sends orders that the leader has given up on.
#[test]
fn old_calls_are_not_sent() {
    let mut sessions = Sessions::default();
    let calls = sessions.accept(exchange(1, 4, vec![start(1, 1)]), 0, at(1_000));
    let call = &calls.expect("the term is current")[0];
    assert!(call.may_send(at(1_000) + constants::MAX_CALL_AGE));
    assert!(!call.may_send(at(1_001) + constants::MAX_CALL_AGE));
}

/// Returns a later exchange of a link whose relay read `clock_ms` on its clock when the leader's
/// showed 1 s. The later exchange is sent at 2 s of the leader's clock.
fn exchange_after_reading(process: u64, clock_ms: u64) -> wire::Exchange {
    let mut link = Link::new(address(7), 1, 4, at(0));
    link.push(start(1, 1));
    let Next::Send(first) = link.next(at(990), Duration::ZERO) else {
        panic!("a call waits");
    };
    let mut reply = reply(process, vec![(first.exchange.calls[0].0, accepted(5))]);
    reply.clock_ms = Some(clock_ms);
    link.on_reply(first.lane, first.number, reply, at(1_000));
    link.push(start(2, 1));
    match link.next(at(2_000), Duration::ZERO) {
        Next::Send(sending) => sending.exchange,
        other => panic!("nothing to send: {other:?}"),
    }
}

/// Guards against an exchange that stalled on its way, or in the socket of a relay that was idle and
/// paused, and whose calls are made at any age when it arrives (issue 35).
#[test]
fn calls_of_an_exchange_that_stalled_are_not_made() {
    // The relay's clock is 50 s ahead.
    let expires = at(52_000) + constants::MAX_CALL_AGE;
    let exchange = || exchange_after_reading(7, 51_000);
    let mut sessions = Sessions::new(7);
    let late = sessions.accept(exchange(), 0, expires + Duration::from_millis(1));
    assert!(late.expect("the term is current").is_empty());
    assert_eq!(
        sessions.take_outcomes(1),
        vec![(2, wire::Outcome::NotSent)],
        "the leader learns that the call was not made"
    );
    let mut sessions = Sessions::new(7);
    let calls = sessions.accept(exchange(), 0, at(52_300));
    let call = &calls.expect("the term is current")[0];
    assert!(call.may_send(expires));
    assert!(
        !call.may_send(expires + Duration::from_millis(1)),
        "the time on the way counts"
    );
}

/// Guards against an exchange with a relay's former process that its new one takes for its own: the
/// expiry is a time on another clock.
#[test]
fn calls_for_the_former_process_of_a_relay_are_not_made() {
    let mut sessions = Sessions::new(8);
    let calls = sessions.accept(exchange_after_reading(7, 51_000), 0, at(100));
    assert!(calls.expect("the term is current").is_empty());
    assert!(sessions.has_outcomes(1));
}

/// Guards against messages that nodes of the releases before and after the expiry cannot exchange.
#[test]
fn expiry_and_clock_are_optional_in_messages() {
    #[derive(Debug, serde::Serialize, serde::Deserialize)]
    struct FormerExchange {
        session: u64,
        term: u64,
        wait_ms: u64,
        payloads: Vec<String>,
        calls: Vec<wire::Call>,
    }
    #[derive(Debug, serde::Serialize, serde::Deserialize)]
    struct FormerReply {
        process: u64,
        draining: bool,
        outcomes: Vec<(u64, wire::Outcome)>,
    }
    let sent = exchange_after_reading(7, 51_000);
    assert!(sent.expiry.is_some());
    let bytes = rmp_serde::to_vec_named(&sent).expect("it can be encoded");
    let former: FormerExchange = rmp_serde::from_slice(&bytes).expect("a former build decodes it");
    assert_eq!(former.calls, sent.calls);
    let bytes = rmp_serde::to_vec_named(&former).expect("it can be encoded");
    let received: wire::Exchange = rmp_serde::from_slice(&bytes).expect("this build decodes it");
    assert_eq!(received.expiry, None);
    assert_eq!(received.calls, sent.calls);

    let mut sent = reply(7, vec![(1, accepted(5))]);
    sent.clock_ms = Some(9);
    let bytes = rmp_serde::to_vec_named(&sent).expect("it can be encoded");
    let former: FormerReply = rmp_serde::from_slice(&bytes).expect("a former build decodes it");
    let bytes = rmp_serde::to_vec_named(&former).expect("it can be encoded");
    let received: wire::ExchangeReply =
        rmp_serde::from_slice(&bytes).expect("this build decodes it");
    assert_eq!(received.clock_ms, None);
    assert_eq!(received.outcomes, sent.outcomes);
}

/// Guards against outcomes that reach a session which did not ask for them.
#[test]
fn outcomes_are_returned_once_and_to_their_session() {
    let mut sessions = Sessions::default();
    let first = sessions.accept(exchange(1, 4, vec![start(1, 1)]), 0, at(0));
    let number = first.expect("the term is current")[0].call.0;
    let second = sessions.accept(exchange(2, 4, vec![start(2, 1)]), 0, at(0));
    assert!(second.is_ok());
    sessions.complete(1, number, accepted(5));
    assert!(!sessions.has_outcomes(2));
    assert!(sessions.take_outcomes(2).is_empty());
    assert_eq!(sessions.take_outcomes(1), vec![(number, accepted(5))]);
    assert!(sessions.take_outcomes(1).is_empty());
}

/// Guards against unbounded memory: each restart of a link opens a session.
#[test]
fn the_number_of_sessions_is_bounded() {
    let mut sessions = Sessions::default();
    for session in 0..100 {
        let calls = sessions.accept(exchange(session, 4, vec![start(1, 1)]), 0, at(0));
        assert!(calls.is_ok());
        sessions.complete(session, 1, accepted(5));
    }
    let kept = (0..100).filter(|&session| sessions.has_outcomes(session));
    assert_eq!(kept.count(), constants::MAX_SESSIONS);
}

/// Guards against reports without running runs where the scheduler does not know the worker's state.
#[test]
fn running_runs_are_listed_now_and_then_and_for_immediate_polls() {
    let mut sessions = Sessions::default();
    let calls = sessions.accept(exchange(1, 4, vec![poll(1)]), 0, at(0));
    assert!(calls.is_ok());
    let worker = "w-1".into();
    assert!(sessions.needs_full_report(1, &worker, 1_000, at(0)));
    assert!(!sessions.needs_full_report(1, &worker, 1_000, at(100)));
    assert!(sessions.needs_full_report(1, &worker, 0, at(110)));
    assert!(!sessions.needs_full_report(1, &worker, 1_000, at(300)));
    assert!(sessions.needs_full_report(1, &worker, 1_000, at(360)));
}

/// Guards against a report that changes on its way through the messages.
#[test]
fn a_report_arrives_as_the_worker_made_it() {
    let action::Action::Start(start) = start(9, 1) else {
        panic!("a start");
    };
    let report = report::Report {
        clock_ms: 12,
        started_at: Some(3),
        is_partial: false,
        running: vec![report::Running {
            task: start.task,
            run: 2,
            checkpoint: Some("c".into()),
            percent: 40,
        }],
        ended: vec![report::Ended {
            number: 7,
            task: start.task,
            run: 1,
            end: report::End::Broken,
            checkpoint: None,
        }],
    };
    let sent = wire::Report::new(report.clone(), true);
    let bytes = rmp_serde::to_vec_named(&sent).expect("it can be encoded");
    let received: wire::Report = rmp_serde::from_slice(&bytes).expect("it can be decoded");
    assert_eq!(report::Report::from(received), report);
    let partial = report::Report::from(wire::Report::new(report.clone(), false));
    assert!(partial.is_partial && partial.running.is_empty());
    assert_eq!(partial.ended, report.ended);
}
