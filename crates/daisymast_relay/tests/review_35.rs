//! Fencing tokens of the calls that a relay makes.

mod common;

use common::{address, at, poll};
use daisymast_relay::constants;
use daisymast_relay::link::{Link, Next};
use daisymast_scheduler::action;

/// Returns a poll that carries a fencing token.
fn poll_with(worker: usize, fence: u64) -> action::Action {
    let mut poll = poll(worker);
    if let action::Action::PollWorker { target, .. } = &mut poll {
        target.fence = fence;
    }
    poll
}

/// Guards against a call that reaches its worker with a higher token than the scheduler recorded for it.
/// Once the worker has restarted, a token above the recorded one does not keep the new process from
/// carrying out that call late.
#[test]
fn no_call_is_sent_with_a_token_above_its_own() {
    let mut link = Link::new(address(7), 1, 4, at(0));
    link.push(poll_with(1, 4));
    link.push(poll_with(2, 9));
    let Next::Send(sending) = link.next(at(100), constants::MIN_EXCHANGE_INTERVAL) else {
        panic!("no exchange");
    };
    let workers: Vec<&str> = sending
        .exchange
        .calls
        .iter()
        .map(|call| call.1.as_str())
        .collect();
    assert!(
        sending.exchange.term == 4 || !workers.contains(&"w-1"),
        "an exchange with token {} calls {workers:?}",
        sending.exchange.term
    );
}
