//! Finds out whether the former leader still acts.

use std::sync::Arc;

use daisymast_election::record;
use daisymast_protocol::outcome;
use daisymast_scheduler::constants as limits;
use smol::Timer;

use crate::clock;
use crate::constants;
use crate::context::{self, lock};
use crate::leadership::Leadership;
use crate::peers;

/// Asks the former leader's process whether it still leads, for as long as its leader lease can
/// last. Once it answers that it does not, the tasks of lost workers need to wait only for the
/// workers' own leases and those of leaders before the former one, and not for its leader lease.
pub(super) async fn confirm_stopped(
    context: Arc<context::Context>,
    leadership: Arc<Leadership>,
    former: record::Elected,
) {
    let started = clock::now();
    while clock::now() - started < limits::LEADER_LEASE && leadership.may_act(clock::now()) {
        if has_stopped(&context, &former).await {
            let leases_end = {
                let mut former_leases = lock(&leadership.former_leases);
                former_leases.on_last_stopped(clock::now());
                former_leases.end()
            };
            log::info!("the leader of term {} has stopped", former.term);
            leadership.update(|scheduler| scheduler.on_former_scheduler_stopped(leases_end));
            return;
        }
        Timer::after(constants::PING_INTERVAL).await;
    }
}

async fn has_stopped(context: &context::Context, former: &record::Elected) -> bool {
    if former.leader.node.id == context.settings.instance {
        // This node led in the former term, in an earlier process or before the term ended.
        return true;
    }
    let request = context.ping();
    let address = former.leader.node.address;
    let answer = peers::call(context, address, &request, constants::PING_TIMEOUT).await;
    match answer {
        outcome::Outcome::Done(peers::Reply::Pong(pong)) => pong.leads != Some(former.term),
        _ => false,
    }
}
