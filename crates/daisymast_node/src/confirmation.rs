//! Confirms that the configuration of this node is the newest, while callers need API keys.

use std::sync::Arc;
use std::time::Duration;

use daisymast_adapter::keys;
use smol::Timer;

use crate::clock;
use crate::configuration;
use crate::constants;
use crate::context;
use crate::follower;

/// Interval at which the age of the configuration is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Interval at which a node to which callers need no keys checks whether that has changed.
const IDLE_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum jitter of the reads of a node that does not lead, in milliseconds.
const MAX_JITTER_MS: u64 = 400;
/// Maximum time for which a request waits for a confirmation. A read usually takes some
/// milliseconds, and a refusal that comes late costs the caller more than an early one.
const MAX_WAIT: Duration = Duration::from_millis(200);
/// Interval at which a waiting request looks for the confirmation.
const WAIT_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Reads the configuration whenever a confirmation is due, for as long as the process runs.
pub async fn run(context: Arc<context::Context>) {
    let mut jitter = Duration::ZERO;
    // Revision and version of the last item read, which need not be decoded again.
    let mut known = None;
    let mut honours_keys = false;
    loop {
        if !context.checks_keys() {
            Timer::after(IDLE_INTERVAL).await;
            continue;
        }
        let version = context.config_version();
        let leads = context.term().is_some();
        let due = context
            .freshness()
            .is_read_due(version, leads, jitter, clock::now());
        if due {
            let confirmed = read(&context, &mut known).await;
            if !confirmed && !leads {
                ask_peer(&context).await;
            }
            jitter = Duration::from_millis(fastrand::u64(0..=MAX_JITTER_MS));
        }
        report_age(&context, &mut honours_keys);
        Timer::after(CHECK_INTERVAL).await;
    }
}

/// Reads the configuration with a linearizable call, which confirms the version that it returns for
/// the time at which the call was sent. Returns whether it did.
async fn read(context: &context::Context, known: &mut Option<(u64, u64)>) -> bool {
    let held = context.config_version();
    let read = context.freshness().begin_read(held, clock::now());
    let item = context
        .store
        .read(keys::CONFIGURATION, constants::STORE_TIMEOUT)
        .await;
    let version = match &item {
        Ok(Some(item)) => match *known {
            Some((revision, version)) if revision == item.revision => Some(version),
            _ => configuration::apply(context, item).inspect(|&version| {
                *known = Some((item.revision, version));
            }),
        },
        Ok(None) => None,
        Err(error) => {
            log::debug!("failed to confirm the configuration: {error}");
            None
        }
    };
    context.metrics.count_call(
        "configuration",
        if item.is_ok() { "done" } else { "failed" },
    );
    context.freshness().end_read(read, version, clock::now());
    version.is_some()
}

/// Pings another node than the leader, whose pong carries the age of its configuration. A node that
/// reaches neither the store nor the leader may still serve requests through others.
async fn ask_peer(context: &context::Context) {
    if let Some(peer) = fastrand::choice(context.other_followers()) {
        follower::ping_address(context, peer.address, None).await;
    }
}

/// Sets the gauge of the age, and logs when keys expire and when they are honoured again.
fn report_age(context: &context::Context, honours_keys: &mut bool) {
    let now = clock::now();
    let version = context.config_version();
    let (age, may_honour) = {
        let freshness = context.freshness();
        (
            freshness.age(version, now),
            freshness.may_honour(version, now),
        )
    };
    let age = age.unwrap_or(Duration::MAX);
    context.metrics.set_confirmation_age(age);
    if may_honour == *honours_keys {
        return;
    }
    *honours_keys = may_honour;
    if may_honour {
        log::info!("configuration version {version} is confirmed; API keys are honoured");
    } else {
        log::warn!(
            "configuration version {version} was last confirmed too long ago; calls with API keys \
             are refused with 503"
        );
    }
}

/// Waits a short time until `is_decided` holds. Returns whether it does.
pub async fn wait(context: &context::Context, is_decided: impl Fn() -> bool) -> bool {
    let started = clock::now();
    while !is_decided() {
        let now = clock::now();
        if now - started >= MAX_WAIT || !context.freshness().demand(now) {
            return false;
        }
        Timer::after(WAIT_POLL_INTERVAL).await;
    }
    true
}
