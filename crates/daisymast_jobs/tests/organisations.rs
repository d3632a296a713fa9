//! Tests of what the journal keeps of organisations, and that records of deployments without any keep
//! their bytes, so that two builds read each other's records during an update.

use daisymast_jobs::job_table::JobTable;
use daisymast_jobs::record::{self, Record};
use daisymast_jobs::spec::{JobId, JobSpec, Step};
use daisymast_organisations::organisation::{Cap, Terms};
use daisymast_types::time::UnixMillis;

/// A batch as it was written before jobs had organisations: the acceptance of a job of one task, and the
/// same job in a checkpoint.
const FORMER_BATCH: &str = concat!(
    "9381a841636365707465649407a17193a170919e01930000000090c2c2c2c0c000c2c2c200c005aa4368",
    "65636b706f696e7481a8526573746f726564920799a17193a170919e01930000000090c2c2c2c0c000c2",
    "c2c200c0059191929195a177000000c000c2c2c2c2a6517565756564",
);

fn accepted(organisation: Option<&str>, over_rate: bool) -> Record {
    Record::Accepted {
        job: JobId(7),
        queue: "q".into(),
        spec: JobSpec {
            payload: "p".to_owned(),
            steps: vec![Step {
                tasks: 1,
                ..Step::default()
            }],
            schedule: None,
        },
        at: UnixMillis(5),
        organisation: organisation.map(Into::into),
        over_rate,
    }
}

fn terms() -> Terms {
    Terms {
        name: "parts".into(),
        weight: 2.5,
        cap: Cap {
            millicores: Some(16_000),
            ..Cap::default()
        },
        version: 3,
    }
}

fn table(records: impl IntoIterator<Item = Record>) -> JobTable {
    let mut job_table = JobTable::default();
    for record in records {
        job_table.apply(record);
    }
    job_table
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

#[test]
fn records_without_organisations_keep_their_bytes() {
    let mut batch = vec![accepted(None, false)];
    batch.extend(table(batch.clone()).checkpoint());
    let bytes = record::encode(&batch).expect("a valid batch");
    assert_eq!(hex(&bytes), FORMER_BATCH);
    assert_eq!(record::decode(&bytes).expect("a valid batch"), batch);
}

/// Guards against fields that are read in the wrong places: they are told apart by their position.
#[test]
fn an_organisation_and_the_class_of_its_rate_survive_a_checkpoint() {
    for over_rate in [false, true] {
        let records = [
            Record::Organisation { terms: terms() },
            accepted(Some("parts"), over_rate),
        ];
        let checkpoint = table(records).checkpoint();
        let bytes = record::encode(&checkpoint).expect("a valid checkpoint");
        let restored = table(record::decode(&bytes).expect("a valid checkpoint"));
        let job = restored.job(JobId(7)).expect("the job");
        assert_eq!(job.organisation, Some("parts".into()));
        assert_eq!(job.over_rate, over_rate);
        assert_eq!(restored.organisation(&"parts".into()), Some(&terms()));
    }
}

/// Guards against settings that are lost while jobs need them, and against a journal that keeps those of
/// every organisation there ever was.
#[test]
fn settings_are_kept_for_as_long_as_the_organisation_has_a_job() {
    let mut job_table = table([
        Record::Organisation { terms: terms() },
        accepted(Some("parts"), false),
    ]);
    job_table.compact(UnixMillis(10));
    assert!(job_table.organisation(&"parts".into()).is_some());
    job_table.apply(Record::Cancelled { job: JobId(7) });
    job_table.mark_all_committed();
    job_table.compact(UnixMillis(20));
    assert!(job_table.organisation(&"parts".into()).is_none());
}
