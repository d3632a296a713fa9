//! Tests of runs that make no visible progress, because they are slow or stand still.

mod common;

use common::{BATCH, Rig, job, step};
use daisymast_jobs::job::State;
use daisymast_jobs::spec::{JobId, Step};
use daisymast_scheduler::decision;

/// Time for which a job may have nothing running while there is capacity for it, in milliseconds.
const IDLE_LIMIT_MS: u64 = 3_000;
/// Declared run time, in milliseconds.
const DECLARED_MS: u32 = 12_000;

/// Guards against tasks that run much longer than declared and are stopped as hung again and again.
/// Progress comes in whole percents, and tasks of ten minutes stayed at one for more than 2.5 s
/// (review/5).
#[test]
fn tasks_that_take_much_longer_than_declared_complete() {
    for (workers, tasks, factor) in [(6, 6, 50), (6, 6, 20), (3, 8, 30), (2, 1, 50), (1, 2, 30)] {
        let mut rig = Rig::new(workers);
        let jobs = 1..=4;
        let work_ms = u64::from(DECLARED_MS) * factor;
        for id in jobs.clone() {
            let slow = Step {
                spread: if tasks == 6 { 1 } else { 0 },
                ..step(tasks, 2, DECLARED_MS)
            };
            rig.submit(id, BATCH, job(vec![slow]));
            rig.work_ms.insert((JobId(id), 0), work_ms);
        }
        rig.run_ms(500);
        let mut idle_ms = [0; 5];
        for _ in 0..600 {
            rig.run_ms(50);
            for id in jobs.clone() {
                let running = rig
                    .starts_of(id)
                    .iter()
                    .any(|start| start.ended_at.is_none());
                let slot = &mut idle_ms[usize::try_from(id).expect("a small number")];
                *slot = if running { 0 } else { *slot + 50 };
                assert!(*slot < IDLE_LIMIT_MS, "{workers} workers, job {id}");
            }
        }
        for id in jobs {
            let completed = rig.run_until(id, State::Completed, work_ms + 60_000);
            assert!(completed.is_some(), "{workers} workers, job {id}");
        }
    }
}

/// Guards against hung runs on two workers that are taken for slow tasks, while other runs of their
/// step progress.
#[test]
fn runs_that_stand_still_on_two_workers_are_stopped() {
    let mut rig = Rig::new(6);
    rig.workers[0].hangs = true;
    rig.workers[1].hangs = true;
    let spread = Step {
        spread: 1,
        ..step(6, 4, 5_000)
    };
    rig.submit(1, BATCH, job(vec![spread]));
    rig.run_ms(3_700);
    let stopped_on = rig.log.iter().filter(|decision| {
        matches!(
            decision,
            decision::Decision::Stopping {
                reason: decision::StopReason::Hung,
                ..
            }
        )
    });
    assert_eq!(stopped_on.count(), 2);
}
