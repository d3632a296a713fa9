//! Takeovers of real nodes.

use std::time::Duration;

use daisymast_cluster::{process, programs, wait};
use daisymast_http::executor;
use daisymast_soak::{cell, plan};
use daisymast_stand_in::store;

/// Time for a list of the journal, as on a link of 10 Mbit/s.
const LIST_DELAY: Duration = Duration::from_millis(2_000);
/// Time from the death of the scheduler to work: suspicion, an election and the slow list, with reserve
/// for a busy machine. The platform's bound for recovery is 12 s.
const TAKEOVER_TIMEOUT: Duration = Duration::from_secs(12);
/// Time for which the new scheduler is watched.
const WATCH_DURATION: Duration = Duration::from_secs(4);

/// Guards against a scheduler that takes long to read the journal and is replaced as soon as it has: its
/// election counted as its last commit, and on a grown day the role changed eleven times in twelve seconds.
#[test]
fn a_scheduler_that_reads_the_journal_slowly_keeps_its_role() {
    let _turn = programs::turn();
    let folder = programs::folder()
        .join("daisymast_soak")
        .join("slow_takeover");
    std::fs::create_dir_all(&folder).expect("a folder");
    executor::run(2, async |executor| {
        let cell = cell::Cell::open(&executor, &folder).await.expect("ports");
        cell.start_all().expect("the programs start");
        cell.wait_until_ready().await;
        let leader = cell.leader().expect("a scheduler");
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
        // No caller asks for anything meanwhile, whose commit would confirm the term.
        smol::Timer::after(LIST_DELAY + WATCH_DURATION).await;
        assert_eq!(
            cell.store.write_count(store::LEADER),
            elections_before + 1,
            "one election"
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
