//! Due times, and the conditions under which the next attempt of a task may start.

use std::time::Duration;

use daisymast_ledger::entry::{Entry, Origin, RunOpened, TaskEnd};
use daisymast_ledger::record::{RunRecord, TaskRecord};
use daisymast_manifest::manifest::{self, Batch, GangJob, Manifest};
use daisymast_protocol::task::{TaskReport, TaskState};
use daisymast_protocol::worker::Fate;
use daisymast_runs::due;
use daisymast_runs::job::Job;
use daisymast_runs::run::{ClaimOutcome, Run, StartOutcome};
use daisymast_runs::task::Phase;
use daisymast_types::ids::{Generation, JobName, Release, RunKey, TaskKey, Team, WorkerId};
use daisymast_types::quantities::{Resources, Urgency};
use daisymast_types::time::{Monotonic, UnixMillis};

fn manifest(exclusive: bool) -> Manifest {
    Manifest {
        release: Release::from("r1"),
        teams: Vec::new(),
        services: Vec::new(),
        batches: vec![Batch {
            name: JobName::from("survey"),
            team: Team::from("crews"),
            urgency: Urgency::Normal,
            every_s: 3_600,
            offset_s: 600,
            tasks: 2,
            size: Resources::new(1_000, 512, 0),
            exclusive,
            run_s: 60,
            deadline_s: 1_800,
        }],
        gang_jobs: vec![GangJob {
            name: JobName::from("model"),
            team: Team::from("crews"),
            urgency: Urgency::Background,
            tasks: 4,
            size: Resources::new(1_000, 512, 0),
            exclusive: true,
            run_s: 60,
            revision: 0,
        }],
    }
}

fn second(at: u64) -> Monotonic {
    Monotonic::from_millis(at * 1_000)
}

fn opened() -> RunOpened {
    RunOpened {
        run: RunKey(7),
        job: JobName::from("survey"),
        origin: Origin::Due(UnixMillis(0)),
        tasks: 2,
        generation: Generation(1),
        until: Some(UnixMillis(1_000)),
    }
}

fn run(exclusive: bool) -> Run {
    let opened = opened();
    let job = Job::for_run(&manifest(exclusive), &opened);
    Run::new(opened, job, second(0))
}

/// A run whose task 0 was started at second `at`, and the key of the attempt.
fn started(exclusive: bool, at: u64) -> (Run, TaskKey) {
    let mut run = run(exclusive);
    assert!(run.claim(0, WorkerId::from("w-1")).is_some());
    let _ = run.on_claim(0, ClaimOutcome::Recorded, second(at));
    assert!(run.start(0).is_some());
    let key = run.key(0);
    run.on_start(key, StartOutcome::Started, second(at));
    (run, key)
}

fn report(run: &Run, key: TaskKey, state: TaskState) -> TaskReport {
    TaskReport {
        spec: run.job.as_ref().expect("declared").task_spec(key),
        state,
        elapsed_ms: 0,
    }
}

/// Guards against opening a large number of old runs, and against opening a run after its deadline.
#[test]
fn only_the_latest_due_time_is_opened_until_its_deadline() {
    let manifest = manifest(true);
    for (wall, expected) in [
        (599_999, None),
        (600_000, Some(600_000)),
        (2_399_999, Some(600_000)),
        (2_400_000, None),
        (100 * 3_600_000 + 700_000, Some(100 * 3_600_000 + 600_000)),
    ] {
        let runs = due::due_runs(&manifest, Generation(1), UnixMillis(wall));
        let found: Vec<_> = runs
            .iter()
            .filter_map(|run| match run.origin {
                Origin::Due(due) => Some(due.0),
                Origin::Declared(_) => None,
            })
            .collect();
        assert_eq!(
            found,
            expected.into_iter().collect::<Vec<_>>(),
            "wall {wall}"
        );
    }
}

/// Guards against restarting a gang job on every release, and against not running it after its
/// declaration has changed.
#[test]
fn gang_jobs_run_once_per_declaration() {
    let mut manifest = manifest(true);
    let key = |manifest: &Manifest, wall| {
        let runs = due::due_runs(manifest, Generation(1), UnixMillis(wall));
        let gang = runs.into_iter().find(|run| run.job.as_str() == "model");
        gang.expect("always due")
    };
    let first = key(&manifest, 0);
    assert_eq!(first.run, key(&manifest, 999_999_999).run);
    manifest.release = Release::from("r2");
    assert_eq!(first.run, key(&manifest, 0).run);
    assert!(Job::for_run(&manifest, &first).is_some());
    let declared = manifest.gang_jobs[0].clone();
    let changes: [fn(&mut GangJob); 8] = [
        |job| job.name = JobName::from("model-2"),
        |job| job.team = Team::from("billing"),
        |job| job.urgency = Urgency::Urgent,
        |job| job.tasks = 5,
        |job| job.size.memory_mib = 513,
        |job| job.exclusive = false,
        |job| job.run_s = 61,
        |job| job.revision = 1,
    ];
    let mut seen = vec![first.run];
    for change in changes {
        manifest.gang_jobs[0] = declared.clone();
        change(&mut manifest.gang_jobs[0]);
        let run = manifest::gang_run_key(&manifest.gang_jobs[0]);
        assert!(!seen.contains(&run), "{:?}", manifest.gang_jobs[0]);
        assert_eq!(
            Job::for_run(&manifest, &first),
            None,
            "the old run has no job"
        );
        seen.push(run);
    }
    manifest.gang_jobs[0] = declared;
    assert_eq!(
        first.run,
        key(&manifest, 0).run,
        "the restored declaration has its first key"
    );
}

/// Guards against a program update that changes the key of an unchanged declaration, which would
/// run every gang job again.
#[test]
fn gang_run_key_is_stable() {
    let key = manifest::gang_run_key(&manifest(true).gang_jobs[0]);
    assert_eq!(key, RunKey(5_317_651_000_722_325_850));
}

/// Guards against two attempts of an exclusive task at the same time: the next one has to wait
/// until the lease of the last one has expired.
#[test]
fn exclusive_task_is_lost_only_after_its_lease_expired() {
    let (mut run, key) = started(true, 10);
    let running = report(&run, key, TaskState::Running);
    assert!(!run.on_report(&running, second(20)));
    assert!(run.expire(second(34), true).is_empty());
    run.on_poll_failed(second(25));
    assert!(run.expire(second(39), true).is_empty());
    assert_eq!(run.expire(second(40), true), [key]);
    assert!(
        run.waiting(second(100)) == [1],
        "no new attempt before the end is recorded"
    );
    assert_eq!(run.take_unrecorded_ends(second(40)), [(key, TaskEnd::Lost)]);
    assert!(!run.on_end(key, true, second(41)));
    assert_eq!(run.waiting(second(42)), [0, 1]);
}

/// Guards against a long wait for a task of which two attempts may run at the same time.
#[test]
fn shared_task_is_lost_after_five_seconds() {
    let (mut run, key) = started(false, 10);
    assert!(run.expire(second(14), true).is_empty());
    assert_eq!(run.expire(second(15), true), [key]);
}

/// Guards against starting a second attempt while the first start may still take effect.
#[test]
fn lost_start_reply_is_resolved_and_not_repeated() {
    let mut run = run(true);
    let _ = run.claim(0, WorkerId::from("w-1"));
    let _ = run.on_claim(0, ClaimOutcome::Recorded, second(10));
    let _ = run.start(0);
    let key = run.key(0);
    run.on_start(key, StartOutcome::Unknown(second(13)), second(11));
    assert!(run.startable().is_empty());
    assert_eq!(run.waiting(second(100)), [1]);
    assert_eq!(run.uncertain_tasks(), [0]);
    assert!(run.expire(second(27), true).is_empty());
    let mut never = run.clone();
    never.on_fate(key, &Fate::NeverRan, second(12));
    assert_eq!(
        never.take_unrecorded_ends(second(12)),
        [(key, TaskEnd::Lost)]
    );
    run.on_fate(key, &Fate::Running, second(12));
    assert!(run.uncertain_tasks().is_empty());
}

/// Guards against a second attempt while a former owner that does not know that it is fenced still
/// polls.
#[test]
fn new_owner_waits_for_former_owner_unless_it_reaches_the_task() {
    let mut record = RunRecord::new(opened());
    let task = TaskRecord {
        attempt: 2,
        worker: WorkerId::from("w-1"),
        end: None,
        failed: vec![WorkerId::from("w-0")],
    };
    record.tasks.insert(0, task);
    let mut unreached = Run::adopt(&record, Job::for_run(&manifest(true), &opened()), second(0));
    assert_eq!(unreached.uncertain_tasks(), [0]);
    unreached.on_poll_failed(second(100));
    assert!(unreached.expire(second(15 * 60 + 14), true).is_empty());
    let mut adopted = unreached.clone();
    assert_eq!(unreached.expire(second(15 * 60 + 15), true).len(), 1);
    let key = adopted.key(0);
    let running = report(&adopted, key, TaskState::Running);
    let _ = adopted.on_report(&running, second(200));
    assert!(adopted.expire(second(214), true).is_empty());
    assert_eq!(adopted.expire(second(215), true), [key]);
}

/// Guards against endless retries, and against losing track of the workers on which a task failed.
#[test]
fn task_is_parked_after_three_failures_on_distinct_workers() {
    let mut run = run(true);
    for (time, worker) in [(10, "w-1"), (20, "w-2"), (30, "w-3")] {
        assert!(run.waiting(second(time)).contains(&0));
        let entry = run.claim(0, WorkerId::from(worker));
        assert!(matches!(entry, Some(Entry::TaskClaim { .. })));
        let _ = run.on_claim(0, ClaimOutcome::Recorded, second(time));
        let _ = run.start(0);
        let key = run.key(0);
        run.on_start(key, StartOutcome::Started, second(time));
        let failed = report(&run, key, TaskState::Failed);
        let _ = run.on_report(&failed, second(time + 1));
        assert_eq!(
            run.take_unrecorded_ends(second(time + 1)),
            [(key, TaskEnd::Failed)]
        );
        let parked = run.on_end(key, true, second(time + 2));
        assert_eq!(parked, worker == "w-3");
    }
    let task = run.task(0).expect("exists");
    assert_eq!(task.phase, Phase::Parked);
    assert_eq!(task.failed_workers.len(), 3);
    assert!(!run.waiting(second(99)).contains(&0));
}

/// Guards against parking a task because of refused starts, which are not failures of the task.
#[test]
fn refusals_do_not_park_a_task() {
    let mut run = run(true);
    for attempt in 1..10 {
        let now = second(10 * u64::from(attempt));
        let _ = run.claim(0, WorkerId::from("w-1"));
        let _ = run.on_claim(0, ClaimOutcome::Recorded, now);
        let _ = run.start(0);
        let key = run.key(0);
        assert_eq!(key.attempt, attempt);
        run.on_start(key, StartOutcome::Refused, now);
        assert_eq!(run.take_unrecorded_ends(now), [(key, TaskEnd::Lost)]);
        assert!(!run.on_end(key, true, now));
    }
    assert!(run.waiting(second(200)).contains(&0));
}

/// Guards against sending a start before its claim is durable.
#[test]
fn unrecorded_claims_are_not_started() {
    let mut run = run(true);
    let entry = run.claim(0, WorkerId::from("w-1"));
    assert!(run.startable().is_empty());
    assert_eq!(run.on_claim(0, ClaimOutcome::Unknown, second(1)), entry);
    assert!(run.startable().is_empty());
    assert_eq!(run.on_claim(0, ClaimOutcome::NotRecorded, second(2)), None);
    assert!(run.startable().is_empty());
    assert!(run.waiting(second(3)).contains(&0));
}

/// Guards against workers that keep results forever, and against discarding results that are not
/// recorded.
#[test]
fn results_are_discarded_only_after_they_are_recorded() {
    let (mut run, key) = started(true, 10);
    let done = report(&run, key, TaskState::Succeeded);
    assert!(!run.on_report(&done, second(11)));
    assert_eq!(
        run.take_unrecorded_ends(second(11)),
        [(key, TaskEnd::Succeeded)]
    );
    assert!(!run.on_report(&done, second(12)));
    assert!(!run.on_end(key, false, second(12)));
    assert_eq!(
        run.take_unrecorded_ends(second(13)),
        [(key, TaskEnd::Succeeded)]
    );
    assert!(!run.on_end(key, true, second(13)));
    assert!(run.on_report(&done, second(14)));
    assert!(!run.is_closable(UnixMillis(0)));
}

/// Guards against losing a task that the holder of its worker no longer reports.
#[test]
fn unreported_task_becomes_uncertain() {
    let (mut run, _) = started(true, 10);
    run.on_poll_reply(second(10), |_| true);
    assert!(
        run.uncertain_tasks().is_empty(),
        "the poll was sent before the start was known"
    );
    run.on_poll_reply(second(11), |worker| worker.as_str() != "w-1");
    assert!(
        run.uncertain_tasks().is_empty(),
        "another holder cannot know"
    );
    run.on_poll_reply(second(11) + Duration::from_millis(1), |_| true);
    assert_eq!(run.uncertain_tasks(), [0]);
}

/// Guards against an attempt that waits forever because its worker has no holder.
#[test]
fn attempt_that_cannot_be_sent_is_lost() {
    let mut run = run(true);
    let _ = run.claim(0, WorkerId::from("w-1"));
    let _ = run.on_claim(0, ClaimOutcome::Recorded, second(10));
    let key = run.key(0);
    for time in 11..15 {
        let _ = run.start(0);
        run.on_start(key, StartOutcome::NotSent, second(time));
        assert!(run.expire(second(time), true).is_empty());
    }
    assert_eq!(run.expire(second(15), true), [key]);
    assert_eq!(run.take_unrecorded_ends(second(15)), [(key, TaskEnd::Lost)]);
}

/// Guards against two attempts at the same time when a fenced owner polls the run through an
/// instance from which the new owner receives no heartbeats: such polls extend restored tasks and
/// also those that the new owner started.
#[test]
fn unseen_instances_delay_expiry_in_restored_runs() {
    let adopted = |index: u32| {
        let record = RunRecord::new(opened());
        let job = Job::for_run(&manifest(true), &opened());
        let mut run = Run::adopt(&record, job, second(0));
        assert!(run.claim(index, WorkerId::from("w-1")).is_some());
        let _ = run.on_claim(index, ClaimOutcome::Recorded, second(20));
        let _ = run.start(index);
        run.on_start(run.key(index), StartOutcome::Started, second(20));
        run
    };
    assert!(adopted(0).expire(second(914), false).is_empty());
    assert_eq!(adopted(0).expire(second(915), false).len(), 1);
    assert!(adopted(0).expire(second(34), true).is_empty());
    assert_eq!(adopted(0).expire(second(35), true).len(), 1);
    let (mut own, key) = started(true, 10);
    assert_eq!(
        own.expire(second(25), false),
        [key],
        "the run has no former owner"
    );
}
