//! What a node waits for between its election and its first decision, and how long it then leads.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use daisymast_election::{former_leases, leader_lease};
use daisymast_scheduler::{config, constants as limits};
use smol::Timer;

use crate::clock;
use crate::constants;
use crate::context::{self, lock};
use crate::leadership::replay;

/// Returns the time after which a new leader may step down in favour of a larger machine. One that
/// follows a resignation has won although larger machines were free to.
pub(super) fn step_down_delay(former: &former_leases::Former) -> Duration {
    match former {
        former_leases::Former::Known { elected, .. } if elected.leader.resigned => {
            constants::STEP_DOWN_RETRY_DELAY
        }
        _ => constants::STEP_DOWN_DELAY,
    }
}

/// Waits for the first configuration. Returns `None` if it does not come, or the process is shutting
/// down.
pub(super) async fn wait_for_config(
    context: &context::Context,
) -> Option<Arc<config::Configuration>> {
    let started = clock::now();
    while !context.is_draining() && clock::now() - started < constants::REPLAY_STALL_LIMIT {
        if let Some(config) = context.config() {
            return Some(config);
        }
        Timer::after(constants::TICK_INTERVAL).await;
    }
    None
}

/// Waits until a write of this term is confirmed. Returns whether the leader may act.
pub(super) async fn wait_for_lease(
    context: &context::Context,
    term: u64,
    leader_lease: &Mutex<leader_lease::LeaderLease>,
) -> bool {
    let started = clock::now();
    while clock::now() - started < limits::LEADER_LEASE {
        if lock(leader_lease).is_valid(clock::now()) {
            return true;
        }
        if context.is_draining() || replay::is_replaced(context, term) {
            return false;
        }
        Timer::after(constants::TICK_INTERVAL).await;
    }
    false
}
