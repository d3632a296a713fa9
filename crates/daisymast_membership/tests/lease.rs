//! Control lease of a holder on a virtual clock.

use std::time::Duration;

use daisymast_membership::lease::Lease;
use daisymast_protocol::worker::{LeaseStamp, WorkerMillis};
use daisymast_types::ids::{BootId, Epoch};
use daisymast_types::time::Monotonic;
use proptest::prelude::{Strategy, any};
use proptest::{prop_assert, proptest};

const STAMP: LeaseStamp = LeaseStamp {
    boot: BootId(7),
    epoch: Epoch(1),
};

fn at(millis: u64) -> Monotonic {
    Monotonic::from_millis(millis)
}

fn granted_at(sent: u64, arrived: u64) -> Lease {
    let mut lease = Lease::default();
    lease.granted(at(sent), at(arrived), STAMP, WorkerMillis(50_000));
    lease
}

/// Guards against counting the validity from the arrival of a slow reply: the lease on the worker
/// may have started right after sending.
#[test]
fn validity_counts_from_sending() {
    let lease = granted_at(0, 900);
    assert_eq!(lease.stamp(at(1_999)), Some(STAMP));
    assert_eq!(lease.stamp(at(2_000)), None);
    assert_eq!(lease.not_after(at(2_000), Duration::from_secs(1)), None);
}

/// Guards against a holder that resumes after a pause and acts on a renewal answered before the
/// pause.
#[test]
fn reply_processed_after_a_pause_gives_no_validity() {
    let mut lease = granted_at(0, 1);
    lease.renewed(at(1_000), at(9_000), WorkerMillis(51_000));
    assert_eq!(lease.stamp(at(9_000)), None);
}

/// Guards against a delayed reply that shortens a lease extended by a later renewal.
#[test]
fn out_of_order_replies_keep_the_longest_validity() {
    let mut lease = granted_at(0, 1);
    lease.renewed(at(1_500), at(1_501), WorkerMillis(51_500));
    lease.renewed(at(1_000), at(1_600), WorkerMillis(51_000));
    assert_eq!(lease.stamp(at(3_499)), Some(STAMP));
    assert_eq!(lease.clock(at(1_600)), Some(WorkerMillis(51_598)));
}

/// Guards against a renewal with an unknown outcome that extends the lease or ends it early.
#[test]
fn lease_expires_on_time_without_a_reply() {
    let lease = granted_at(100, 110);
    assert_eq!(lease.stamp(at(2_099)), Some(STAMP));
    assert_eq!(lease.stamp(at(2_100)), None);
    assert_eq!(lease.held_stamp(), Some(STAMP));
}

/// Guards against keeping the clock estimate from before a restart of the worker, which could be
/// far ahead.
#[test]
fn restarted_worker_resets_the_clock() {
    let mut lease = granted_at(0, 1);
    let restarted = LeaseStamp {
        boot: BootId(8),
        epoch: Epoch(1),
    };
    lease.granted(at(500), at(510), restarted, WorkerMillis(20));
    assert_eq!(lease.clock(at(510)), Some(WorkerMillis(20)));
}

/// Guards against acting under a lease that was refused or released, also after a late renewal.
#[test]
fn cleared_lease_is_not_valid() {
    let mut lease = granted_at(0, 1);
    lease.clear();
    assert_eq!(lease.stamp(at(2)), None);
    lease.renewed(at(2), at(3), WorkerMillis(50_003));
    assert_eq!(lease.stamp(at(4)), None);
}

/// One renewal: pause before sending, network time to the worker, processing time, network time
/// back, whether the worker reads its clock on arrival instead of when replying, and whether the
/// reply is lost.
type Step = (u64, u64, u64, u64, bool, bool);

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = (
        0_u64..1_500,
        0_u64..400,
        0_u64..800,
        0_u64..400,
        any::<bool>(),
        any::<bool>(),
    );
    proptest::collection::vec(step, 1..40)
}

proptest! {
    /// Guards against an estimate ahead of the worker's clock, which would let a message take
    /// effect after its deadline. The worker's clock runs up to 500 ppm slower or faster.
    #[test]
    fn estimate_never_exceeds_worker_clock(
        drift_ppm in -500_i64..=500,
        origin in 0_u64..1_000_000,
        steps in steps(),
    ) {
        let truth = |now: u64| {
            let rate = 1_000_000_u64.saturating_add_signed(drift_ppm);
            origin + now * rate / 1_000_000
        };
        let mut lease = Lease::default();
        lease.granted(at(0), at(0), STAMP, WorkerMillis(truth(0)));
        let mut now = 0;
        for (pause, out, inside, back, early, lost) in steps {
            let sent = now + pause;
            let arrived = sent + out + inside + back;
            let read = if early { sent + out } else { sent + out + inside };
            if !lost {
                lease.renewed(at(sent), at(arrived), WorkerMillis(truth(read)));
            }
            now = arrived;
            let estimate = lease.clock(at(now)).map_or(0, |clock| clock.0);
            prop_assert!(estimate <= truth(now), "{estimate} > {} at {now}", truth(now));
        }
    }
}
