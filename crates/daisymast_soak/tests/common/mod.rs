//! Jobs that the tests with real node processes run.

use std::time::Duration;

use daisymast_cluster::wait;
use daisymast_soak::{cell, plan};

/// Time limit for a job to complete after a fault. The platform's bound for recovery is 12 s.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(12);

/// Submits a job and waits until it is completed.
pub(crate) async fn run_job(cell: &cell::Cell, id: u64) {
    let job = plan::Job {
        id: daisymast_jobs::spec::JobId(id),
        ..plan::Job::probe()
    };
    let (id, queue) = (job.id, job.queue);
    cell.clients.run(job).await;
    wait::until(
        RECOVERY_TIMEOUT,
        &format!("job {id} is completed"),
        async || {
            cell.clients.query_state(id, queue).await;
            (!cell.clients.unfinished_jobs().contains(&id)).then_some(())
        },
    )
    .await;
}
