//! The leader's side of the exchanges with one relay.

mod common;

use std::time::Duration;

use common::{accepted, address, at, key, poll, reply, start};
use daisymast_relay::link::{Failure, Lane, Link, Next, Sending};
use daisymast_relay::{constants, wire};
use daisymast_scheduler::{constants as limits, lease};

const INTERVAL: Duration = constants::MIN_EXCHANGE_INTERVAL;

fn link() -> Link {
    Link::new(address(7), 1, 4, at(0))
}

fn send(link: &mut Link, now: u64) -> Sending {
    match link.next(at(now), INTERVAL) {
        Next::Send(sending) => sending,
        other => panic!("no exchange at {now} ms: {other:?}"),
    }
}

/// Guards against one exchange for each call, which would cost the leader more than the call itself.
#[test]
fn calls_are_sent_in_batches() {
    let mut link = link();
    link.push(start(1, 1));
    let first = send(&mut link, 100);
    assert_eq!(first.exchange.calls.len(), 1);
    link.push(start(2, 1));
    assert_eq!(link.next(at(101), INTERVAL), Next::Idle, "one is open");
    let answered = link.on_reply(Lane::Orders, first.number, reply(1, Vec::new()), at(103));
    assert!(answered.delivered.is_empty() && answered.undelivered.is_empty());
    link.push(start(3, 2));
    assert_eq!(
        link.next(at(104), INTERVAL),
        Next::WaitUntil(at(100) + INTERVAL)
    );
    assert_eq!(send(&mut link, 120).exchange.calls.len(), 2);
}

/// Guards against outcomes that are collected only when the next call is sent.
#[test]
fn outcomes_are_collected_while_no_call_is_sent() {
    let mut link = link();
    link.push(poll(1));
    let orders = send(&mut link, 0);
    link.on_reply(Lane::Orders, orders.number, reply(1, Vec::new()), at(15));
    let collect = send(&mut link, 60);
    assert_eq!(collect.lane, Lane::Collect);
    assert!(collect.exchange.calls.is_empty());
    let outcome = wire::Outcome::NoReport(wire::PollFailure::Failed);
    let number = orders.exchange.calls[0].0;
    let answered = link.on_reply(
        Lane::Collect,
        collect.number,
        reply(1, vec![(number, outcome)]),
        at(300),
    );
    assert_eq!(answered.delivered.len(), 1);
    assert_eq!(link.next(at(900), INTERVAL), Next::Idle);
}

/// Guards against a start that counts as not made although the relay may make it: its task would run
/// twice.
#[test]
fn calls_of_an_unanswered_exchange_may_have_been_sent() {
    let mut link = link();
    link.push(start(1, 1));
    let sending = send(&mut link, 0);
    link.push(start(2, 1));
    let undelivered = link.on_failure(Lane::Orders, sending.number, Failure::Unknown, 2);
    let sent: Vec<(u64, bool)> = undelivered
        .iter()
        .map(|call| (key(&call.action), call.may_have_been_sent))
        .collect();
    assert_eq!(sent, vec![(1, true), (2, false)]);
}

/// Guards against starts that are held back for the time of a lease although the relay was not even
/// reached.
#[test]
fn calls_of_a_refused_exchange_were_not_sent() {
    let mut link = link();
    link.push(start(1, 1));
    let first = send(&mut link, 0);
    link.on_reply(Lane::Orders, first.number, reply(1, Vec::new()), at(10));
    link.push(start(2, 1));
    let second = send(&mut link, 50);
    let undelivered = link.on_failure(Lane::Orders, second.number, Failure::NoEffect, 2);
    let mut sent: Vec<(u64, bool)> = undelivered
        .iter()
        .map(|call| (key(&call.action), call.may_have_been_sent))
        .collect();
    sent.sort_unstable();
    assert_eq!(sent, vec![(1, true), (2, false)]);
}

/// Guards against calls that wait forever for a relay that was restarted and forgot them.
#[test]
fn a_restarted_relay_gives_earlier_calls_back() {
    let mut link = link();
    link.push(start(1, 1));
    let first = send(&mut link, 0);
    link.on_reply(Lane::Orders, first.number, reply(1, Vec::new()), at(10));
    link.push(start(2, 1));
    let second = send(&mut link, 50);
    let number = second.exchange.calls[0].0;
    let answered = link.on_reply(
        Lane::Orders,
        second.number,
        reply(2, vec![(number, accepted(7))]),
        at(60),
    );
    assert_eq!(key(&answered.delivered[0].action), 2);
    assert_eq!(key(&answered.undelivered[0].action), 1);
    assert!(answered.undelivered[0].may_have_been_sent);
}

/// Guards against a late reply of a former session that is taken for one of the current session.
#[test]
fn replies_after_a_failure_are_ignored() {
    let mut link = link();
    link.push(poll(1));
    let orders = send(&mut link, 0);
    link.on_reply(Lane::Orders, orders.number, reply(1, Vec::new()), at(10));
    let collect = send(&mut link, 60);
    link.push(start(2, 1));
    let second = send(&mut link, 70);
    let undelivered = link.on_failure(Lane::Orders, second.number, Failure::Unknown, 2);
    assert_eq!(undelivered.len(), 2);
    let number = orders.exchange.calls[0].0;
    let late = reply(1, vec![(number, accepted(7))]);
    let answered = link.on_reply(Lane::Collect, collect.number, late, at(80));
    assert!(answered.delivered.is_empty());
    link.push(start(3, 1));
    assert_eq!(send(&mut link, 200).exchange.session, 2);
}

/// Guards against a call that waits forever because the relay lost its outcome.
#[test]
fn overdue_calls_are_given_back() {
    let mut link = link();
    link.push(start(1, 1));
    let sending = send(&mut link, 0);
    link.on_reply(Lane::Orders, sending.number, reply(1, Vec::new()), at(10));
    let due = constants::ORDER_TIMEOUT + constants::OUTCOME_MARGIN;
    assert!(link.take_overdue(at(0) + due).is_empty());
    let overdue = link.take_overdue(at(1) + due);
    assert_eq!(overdue.len(), 1);
    assert!(overdue[0].may_have_been_sent);
}

/// Guards against a payload that is sent with each task of a step, and against tasks that get the
/// payload of another job.
#[test]
fn tasks_of_a_job_share_their_payload() {
    let mut link = link();
    let first = start(1, 1);
    link.push(first.clone());
    link.push(first);
    link.push(start(2, 1));
    let exchange = send(&mut link, 0).exchange;
    assert_eq!(exchange.payloads.len(), 2);
    let payload = |call: &wire::Call| match &call.3 {
        wire::Operation::Start { payload, .. } => exchange.payloads[*payload].to_string(),
        _ => String::new(),
    };
    let payloads: Vec<String> = exchange.calls.iter().map(payload).collect();
    assert_eq!(payloads[0], "payload of 1");
    assert_eq!(payloads[1], "payload of 1");
    assert_eq!(payloads[2], "payload of 2");
}

/// Guards against orders that wait for a relay while the leader is paused, and are sent to it
/// afterwards (issue 35): the relay counts their age from their arrival.
#[test]
fn calls_that_waited_during_a_pause_are_not_sent() {
    let mut link = link();
    link.push(start(1, 1));
    let oldest = at(0) + limits::MAX_DELIVERY_TIME;
    assert!(link.take_expired(oldest).is_empty());
    let expired = link.take_expired(oldest + Duration::from_millis(1));
    let [call] = expired.as_slice() else {
        panic!("one call: {expired:?}");
    };
    assert_eq!(key(&call.action), 1);
    assert!(
        call.send_by(Some(at(60_000))) <= oldest,
        "nor is it sent directly"
    );
    assert_eq!(link.next(at(3_000), INTERVAL), Next::Idle);
}

/// Guards against calls that expire too early because an answer of the relay was slow: the leader
/// would make them all itself when it is busy.
#[test]
fn a_slow_answer_does_not_shorten_the_expiry() {
    let mut link = link();
    let mut exchange = |now: u64, arrival: u64, clock_ms: u64| {
        link.push(start(now, 1));
        let sent = send(&mut link, now);
        let mut reply = reply(1, vec![(sent.exchange.calls[0].0, accepted(5))]);
        reply.clock_ms = Some(clock_ms);
        link.on_reply(Lane::Orders, sent.number, reply, at(arrival));
        sent.exchange.expiry.map(|expiry| expiry.clock_ms)
    };
    let allowed = lease::millis(constants::MAX_CALL_AGE);
    assert_eq!(exchange(0, 10, 50_010), None, "the clock is not known yet");
    // This answer is 300 ms on its way.
    assert_eq!(exchange(1_000, 1_310, 51_010), Some(51_000 + allowed));
    assert_eq!(exchange(1_500, 1_510, 51_510), Some(51_500 + allowed));
    // After a while, a slow answer counts, as the clock may be slow.
    assert_eq!(exchange(3_700, 4_010, 53_710), Some(53_700 + allowed));
    assert_eq!(exchange(5_000, 5_010, 55_010), Some(54_700 + allowed));
}
