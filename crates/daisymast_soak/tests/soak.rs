//! Short seeded runs, and each seed that ever failed.

use std::time::Duration;

use daisymast_cluster::programs;
use daisymast_soak::run;

/// Length of the traffic of a short run.
const SHORT_TRAFFIC: Duration = Duration::from_secs(6);

/// Length of the traffic with which seeds run by hand.
const LONG_TRAFFIC: Duration = Duration::from_secs(10);

fn assert_no_violations(seed: u64, traffic: Duration) {
    let _turn = programs::turn();
    let folder = programs::folder()
        .join("daisymast_soak")
        .join(format!("test-{seed}"));
    let report = run::run(run::Options { seed, traffic }, &folder).expect("the programs run");
    assert!(report.accepted > 20, "{report:?}");
    assert!(
        report.violations.is_empty(),
        "seed {seed}, logs in {}: {:#?}",
        folder.display(),
        report.violations
    );
}

/// Guards against a promise that is broken under faults of processes, links, the store and workers.
#[test]
fn a_short_seed_has_no_violations() {
    assert_no_violations(3, SHORT_TRAFFIC);
}

/// Seeds that ever failed, each with its cause. The others of the same cause run by hand: 13, 17, 31, 59.
#[test]
fn seeds_that_failed_before_have_no_violations() {
    // The checker took the late answer to an earlier question for a state that went back. Kept, as
    // this seed pauses the scheduler and cuts it off while states are asked.
    assert_no_violations(20, LONG_TRAFFIC);
}
