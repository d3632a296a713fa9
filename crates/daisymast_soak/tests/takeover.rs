//! Scheduler takeover between real node processes.

use std::time::Duration;

use daisymast_cluster::{process, programs, wait};
use daisymast_http::executor;
use daisymast_soak::{cell, plan};
use daisymast_stand_in::store;

/// Added latency of each page of a journal listing, as on a 10 Mbit/s link.
const LIST_DELAY: Duration = Duration::from_millis(2_000);
/// Time limit from the crash of the scheduler to recovery: failure detection, an election and the
/// slow listing, with a margin for a busy machine. The platform's bound for recovery is 12 s.
const TAKEOVER_TIMEOUT: Duration = Duration::from_secs(12);
/// Time after the slow listing during which no further election may take place.
const WATCH_DURATION: Duration = Duration::from_secs(4);

/// Guards against replacing a scheduler that has just finished a slow read of the journal. Its
/// election counted as its last commit, and with a large journal the role changed eleven times in
/// 12 s.
#[test]
fn a_scheduler_that_reads_the_journal_slowly_keeps_its_role() {
    let _turn = programs::turn();
    let folder = programs::folder()
        .join("daisymast_soak")
        .join("slow_takeover");
    std::fs::create_dir_all(&folder).expect("the log folder is created");
    executor::run(2, async |executor| {
        let cell = cell::Cell::open(&executor, &folder)
            .await
            .expect("the cell opens");
        cell.start_all().expect("the nodes start");
        cell.wait_until_ready().await;
        let leader = cell.leader().expect("a scheduler is elected");
        cell.store.set_faults(store::Faults {
            list_delay: LIST_DELAY,
            ..store::Faults::default()
        });
        let elections_before = cell.store.write_count(store::LEADER);
        cell.nodes[leader].signal(process::Signal::Kill);
        wait::until(
            TAKEOVER_TIMEOUT,
            "another scheduler is elected",
            async || (cell.store.write_count(store::LEADER) > elections_before).then_some(()),
        )
        .await;
        // No caller sends a request meanwhile, because its commit would confirm the term.
        smol::Timer::after(LIST_DELAY + WATCH_DURATION).await;
        assert_eq!(
            cell.store.write_count(store::LEADER),
            elections_before + 1,
            "exactly one election took place"
        );
        let job = plan::Job {
            id: daisymast_jobs::spec::JobId(9),
            ..plan::Job::probe()
        };
        cell.clients.run(job).await;
        assert_eq!(
            cell.clients.unfinished_jobs().len(),
            2,
            "the job is accepted"
        );
    });
}
