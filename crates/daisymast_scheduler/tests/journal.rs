//! Tests of the effects that wait for the journal.

use daisymast_jobs::record::Record;
use daisymast_jobs::spec::{JobId, JobSpec};
use daisymast_scheduler::action::Answer;
use daisymast_scheduler::journal::{Effect, Journal};
use daisymast_types::time::UnixMillis;

fn accepted(job: u64) -> Record {
    Record::Accepted {
        job: JobId(job),
        queue: "q".into(),
        spec: JobSpec::default(),
        at: UnixMillis(0),
        organisation: None,
        over_rate: false,
    }
}

fn answer(token: u64, job: u64) -> Effect {
    Effect::Answer {
        token,
        job: JobId(job),
        answer: Answer::Accepted,
    }
}

fn tokens(effects: &[Effect]) -> Vec<u64> {
    let answers = effects.iter().filter_map(|effect| match effect {
        Effect::Answer { token, .. } => Some(*token),
        _ => None,
    });
    answers.collect()
}

/// Guards against an answer that is sent before its record or an earlier commit is stored.
#[test]
fn effects_wait_for_all_earlier_records() {
    let mut journal = Journal::default();
    assert!(
        journal.defer(answer(1, 1)).is_some(),
        "no records are pending"
    );
    journal.append(accepted(2));
    assert!(journal.defer(answer(2, 2)).is_none());
    assert!(journal.take_batch().is_some());
    assert!(
        journal.defer(answer(3, 2)).is_none(),
        "a commit is in flight"
    );
    journal.append(accepted(4));
    assert!(journal.defer(answer(4, 4)).is_none());
    assert!(journal.take_batch().is_none(), "one commit at a time");
    assert_eq!(tokens(&journal.committed()), [2]);
    assert!(journal.take_batch().is_some());
    assert_eq!(tokens(&journal.committed()), [3, 4]);
}

/// Guards against a job that is refused although its record may be stored.
#[test]
fn only_jobs_that_are_not_in_flight_are_removed() {
    let mut journal = Journal::default();
    journal.append(accepted(1));
    assert!(journal.defer(answer(1, 1)).is_none());
    assert!(journal.take_batch().is_some());
    journal.append(accepted(2));
    assert!(journal.defer(answer(2, 2)).is_none());
    let (jobs, rejected) = journal.remove_unstored_jobs();
    assert_eq!(jobs, [JobId(2)]);
    assert_eq!(rejected, [2]);
    assert_eq!(tokens(&journal.committed()), [1]);
    assert!(journal.take_batch().is_none());
}

/// Guards against the loss of records when a batch did not take effect.
#[test]
fn a_requeued_batch_is_written_again() {
    let mut journal = Journal::default();
    journal.append(Record::Cancelled { job: JobId(9) });
    assert!(journal.defer(answer(9, 9)).is_none());
    journal.append(accepted(1));
    assert!(journal.defer(answer(1, 1)).is_none());
    assert!(journal.take_batch().is_some());
    journal.requeue_batch();
    let (_, rejected) = journal.remove_unstored_jobs();
    assert_eq!(rejected, [1]);
    let batch = journal
        .take_batch()
        .expect("the cancellation is written again");
    assert_eq!(batch, [Record::Cancelled { job: JobId(9) }]);
    assert_eq!(tokens(&journal.committed()), [9]);
}
