//! A short soak run, and regression runs of seeds that failed before.

use std::time::Duration;

use daisymast_cluster::programs;
use daisymast_soak::run;

/// Traffic duration of a short run.
const SHORT_TRAFFIC: Duration = Duration::from_secs(6);

/// Traffic duration of seeds that are run by hand, and the default of the `soak` example.
const LONG_TRAFFIC: Duration = Duration::from_secs(10);

fn assert_no_violations(seed: u64, traffic: Duration) {
    let _turn = programs::turn();
    let folder = programs::folder()
        .join("daisymast_soak")
        .join(format!("test-{seed}"));
    let report = run::run(run::Options { seed, traffic }, &folder).expect("the soak run completes");
    assert!(report.accepted > 20, "{report:?}");
    assert!(
        report.violations.is_empty(),
        "seed {seed}, logs in {}: {:#?}",
        folder.display(),
        report.violations
    );
}

/// Guards against violated guarantees under faults of node processes, links, the store and workers.
#[test]
fn a_short_seed_has_no_violations() {
    assert_no_violations(3, SHORT_TRAFFIC);
}

/// Guards against the return of failures that seeds found, each with its cause. Seeds 13, 17, 31
/// and 59 failed for the same cause and are run by hand.
#[test]
fn seeds_that_failed_before_have_no_violations() {
    // The checker took the late response to an earlier state query for a state that went backwards.
    // The seed is kept because it pauses and disconnects the scheduler during state queries.
    assert_no_violations(20, LONG_TRAFFIC);
}
