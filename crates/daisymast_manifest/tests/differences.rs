//! Differences between manifests as displayed to operators, and the stored record.

use daisymast_manifest::manifest::Manifest;
use daisymast_manifest::record::Record;
use daisymast_manifest::{diff, parse};
use daisymast_types::ids::{Generation, Nonce, Release};

const OLD: &str = r#"{"release": "r1",
    "teams": [{"name": "crews", "quota": {"millicores": 64000, "memory_mib": 131072}}],
    "services": [
        {"name": "quotes", "team": "crews", "replicas": 6,
         "size": {"millicores": 1000, "memory_mib": 512}},
        {"name": "confirmations", "team": "crews", "replicas": 3,
         "size": {"millicores": 1000, "memory_mib": 512}}],
    "gang_jobs": [{"name": "survey", "team": "crews", "tasks": 8, "run_s": 20,
                   "size": {"millicores": 2000, "memory_mib": 1024}}]}"#;

fn manifest(text: &str) -> Manifest {
    parse::parse(text).expect("a valid manifest")
}

/// Guards against a removed job that the operator does not see before submitting the manifest.
#[test]
fn diff_lists_changed_fields_and_items() {
    let new = OLD
        .replace("\"r1\"", "\"r2\"")
        .replace("\"confirmations\"", "\"bookings\"")
        .replace(
            "\"replicas\": 6",
            "\"replicas\": 9, \"urgency\": \"urgent\"",
        )
        .replace("\"millicores\": 2000", "\"millicores\": 2500");
    insta::assert_snapshot!(diff::diff(&manifest(OLD), &manifest(&new)));
}

/// Guards against changes reported only because a pipeline writes the same items in another order.
#[test]
fn reordered_items_are_no_difference() {
    let old = manifest(OLD);
    let mut new = old.clone();
    new.services.reverse();
    assert!(diff::diff(&old, &new).is_empty());
}

fn record(generation: u64, release: &str, body: &str) -> Record {
    Record {
        generation: Generation(generation),
        nonce: Nonce(7),
        release: Release::from(release),
        body: body.to_owned(),
    }
}

/// Guards against a record that is changed by writing it to the store and reading it back.
#[test]
fn record_is_unchanged_by_encoding_and_decoding() {
    let record = record(3, "r1", OLD);
    let value = record.to_value().expect("a small record");
    let (read, body) = Record::from_value(&value).expect("a valid record");
    assert_eq!((read, body), (record, manifest(OLD)));
}

/// Guards against applying an incomplete record, or one whose body is invalid or of another
/// release.
#[test]
fn invalid_records_are_rejected() {
    let values = [
        "{}".to_owned(),
        record(0, "r1", OLD).to_value().expect("a small record"),
        record(1, "r2", OLD).to_value().expect("a small record"),
        record(1, "r1", "{\"release\": 1}")
            .to_value()
            .expect("a small record"),
    ];
    let report: Vec<String> = values
        .iter()
        .map(|value| {
            Record::from_value(value)
                .expect_err("an invalid record")
                .to_string()
        })
        .collect();
    insta::assert_snapshot!(report.join("\n"));
}

/// Guards against a write that the store rejects: JSON escapes can push a body within its own limit
/// over that of the store.
#[test]
fn record_above_the_store_limit_is_rejected() {
    let body = "\"".repeat(520 * 1024);
    assert!(record(1, "r1", &body).to_value().is_err());
}
