//! Calls that the leader makes itself: until when they may be sent, and their outcomes.

mod common;

use std::time::Duration;

use common::{at, poll, start};
use daisymast_relay::{constants, direct, link};
use daisymast_scheduler::{action, constants as limits, report};
use daisymast_types::time;

/// End of a leader lease that outlasts the calls of the tests.
const LEASE_END: time::Monotonic = time::Monotonic::from_millis(60_000);

fn decided(mut action: action::Action, now: time::Monotonic) -> action::Action {
    match &mut action {
        action::Action::Start(start) => start.target.sent_at = now,
        action::Action::PollWorker { target, .. } => target.sent_at = now,
        _ => {}
    }
    action
}

fn undelivered(action: action::Action, may_have_been_sent: bool) -> link::Undelivered {
    link::Undelivered {
        action,
        may_have_been_sent,
    }
}

/// Guards against orders that a paused leader decided on before the pause and sends after it
/// (issue 35).
#[test]
fn a_requested_call_expires_with_the_delivery_time() {
    for action in [start(1, 1), poll(1)] {
        let call = direct::DirectCall::requested(decided(action, at(1_000)));
        let expires = at(1_000) + limits::MAX_DELIVERY_TIME;
        assert_eq!(call.send_by(Some(LEASE_END)), expires);
    }
}

/// Guards against orders that a leader sends after its lease has ended, although it decided on them
/// before.
#[test]
fn no_call_is_sent_after_the_leader_lease() {
    let action = || decided(start(1, 1), at(1_000));
    let requested = direct::DirectCall::requested(action());
    let passed_on = direct::DirectCall::passed_on(undelivered(action(), true), at(1_300));
    for call in [requested, passed_on] {
        assert_eq!(call.send_by(Some(at(1_100))), at(1_100));
        assert_eq!(
            call.send_by(None),
            time::Monotonic::ZERO,
            "the term has ended"
        );
    }
}

/// Guards against calls that a failed relay returns and that no longer get the time to reach their
/// worker.
#[test]
fn a_call_that_a_relay_returns_may_be_sent_for_the_delivery_time() {
    let returned = at(1_000) + constants::ORDER_TIMEOUT + constants::OUTCOME_MARGIN;
    let call = undelivered(decided(start(1, 1), at(1_000)), true);
    let call = direct::DirectCall::passed_on(call, returned);
    assert_eq!(
        call.send_by(Some(LEASE_END)),
        returned + limits::MAX_DELIVERY_TIME
    );
}

/// Guards against a call that counts as new when a paused leader takes it back from a relay: it may
/// have waited for as long as the pause.
#[test]
fn a_call_that_a_relay_returns_after_a_pause_has_expired() {
    let resumed = at(1_000) + Duration::from_secs(3);
    for action in [start(1, 1), poll(1)] {
        let call = undelivered(decided(action, at(1_000)), false);
        let call = direct::DirectCall::passed_on(call, resumed);
        assert!(call.send_by(Some(LEASE_END)) < resumed);
    }
}

/// Guards against an order that counts as not run because it was not sent directly, while a relay
/// may have sent it.
#[test]
fn an_unsent_order_has_no_effect_unless_a_relay_may_have_sent_it() {
    let unsent = report::OrderOutcome::NoEffect;
    let sent_by_none = direct::DirectCall::requested(start(1, 1));
    assert_eq!(sent_by_none.start_outcome(unsent), unsent);
    assert_eq!(sent_by_none.stop_outcome(unsent), unsent);
    for (may_have_been_sent, outcome) in [(true, report::OrderOutcome::Unknown), (false, unsent)] {
        let call = undelivered(start(1, 1), may_have_been_sent);
        let call = direct::DirectCall::passed_on(call, at(0));
        assert_eq!(call.start_outcome(unsent), outcome);
        assert_eq!(call.stop_outcome(unsent), outcome);
    }
}
