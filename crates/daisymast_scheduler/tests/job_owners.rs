//! Tests of who may see, cancel and repeat the jobs of an organisation.

mod common;

use common::{BATCH, Rig, job, step, timestamp};
use daisymast_jobs::job::State;
use daisymast_jobs::spec::JobId;
use daisymast_organisations::access::Caller;
use daisymast_scheduler::action::Answer;
use daisymast_scheduler::scheduler::Submission;

/// Submits job 1 on behalf of an organisation, and returns the answer.
fn submit(rig: &mut Rig, token: u64, organisation: Option<&str>) -> Option<Answer> {
    let spec = job(vec![step(2, 1, 300)]);
    let submission =
        Submission::new(JobId(1), BATCH.into(), spec).owned_by(organisation.map(Into::into));
    rig.work_ms.insert((JobId(1), 0), 300);
    rig.scheduler.submit(token, submission, timestamp(rig.now));
    rig.run_ms(100);
    rig.answers.get(&token).copied()
}

fn caller(name: &str) -> Caller {
    Caller::Organisation(name.into())
}

/// Guards against another organisation that learns of a job or replaces it by its ID, before and
/// after the job has ended and the scheduler has changed; and against a repeated submission with
/// the other key of the same organisation that is refused.
#[test]
fn a_job_is_open_to_its_organisation_only() {
    let mut rig = Rig::with_organisations(3, &[("parts", 10.0, 100), ("saws", 10.0, 100)]);
    assert_eq!(submit(&mut rig, 1, Some("parts")), Some(Answer::Accepted));
    let check = |rig: &mut Rig, token| {
        assert!(rig.scheduler.may_use(JobId(1), &caller("parts")));
        assert!(rig.scheduler.may_use(JobId(1), &Caller::Unchecked));
        assert!(!rig.scheduler.may_use(JobId(1), &caller("saws")));
        assert!(!rig.scheduler.may_use(JobId(1), &Caller::Public));
        assert!(rig.scheduler.may_use(JobId(2), &caller("saws")));
        for (offset, name) in [Some("saws"), None].into_iter().enumerate() {
            let token = token + offset as u64;
            assert_eq!(submit(rig, token, name), Some(Answer::IdTaken));
        }
        let repeated = submit(rig, token + 2, Some("parts"));
        assert_eq!(repeated, Some(Answer::Accepted));
    };
    check(&mut rig, 10);
    rig.take_over();
    check(&mut rig, 20);
    assert!(rig.run_until(1, State::Completed, 20_000).is_some());
    check(&mut rig, 30);
    rig.take_over();
    check(&mut rig, 40);
    assert_eq!(rig.state(1), Some(State::Completed), "it ran once");
}

/// Guards against jobs of earlier releases, or of public queues, that their callers can no longer
/// see.
#[test]
fn a_job_of_no_organisation_is_open_to_all() {
    let mut rig = Rig::with_organisations(3, &[("parts", 10.0, 100), ("saws", 10.0, 100)]);
    assert_eq!(submit(&mut rig, 1, None), Some(Answer::Accepted));
    assert!(rig.scheduler.may_use(JobId(1), &caller("saws")));
    assert!(rig.scheduler.may_use(JobId(1), &Caller::Public));
    assert_eq!(submit(&mut rig, 2, Some("saws")), Some(Answer::Accepted));
}
