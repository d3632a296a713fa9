//! Validation of manifests: guards against accepting an invalid manifest, and against reports that
//! show only some of its faults.

use daisymast_manifest::parse;

const VALID: &str = r#"{
    "release": "r41",
    "teams": [{"name": "crews", "quota": {"millicores": 64000, "memory_mib": 131072}}],
    "services": [{"name": "quote-lookup", "team": "crews", "urgency": "urgent", "replicas": 6,
                  "size": {"millicores": 1000, "memory_mib": 512}, "zones": ["Austin", "Waco"]}],
    "batches": [{"name": "invoices", "team": "crews", "every_s": 3600, "offset_s": 60, "tasks": 4,
                 "size": {"millicores": 500, "memory_mib": 256}, "exclusive": true,
                 "run_s": 30, "deadline_s": 600}],
    "gang_jobs": [{"name": "route-survey", "team": "crews", "tasks": 8,
                   "size": {"millicores": 2000, "memory_mib": 1024}, "run_s": 20}]
}"#;

fn faults(text: &str) -> String {
    match parse::parse(text) {
        Ok(manifest) => panic!("accepted: {manifest:?}"),
        Err(faults) => faults.to_string(),
    }
}

/// Guards against rejecting a valid manifest, or losing its values.
#[test]
fn valid_manifest_is_accepted() {
    let manifest = parse::parse(VALID).expect("a valid manifest");
    assert_eq!(manifest.services.len(), 1);
    assert_eq!(manifest.batches[0].offset_s, 60);
    assert_eq!(manifest.gang_jobs[0].tasks, 8);
}

/// Guards against a type fault that hides those of other items.
#[test]
fn all_type_faults_are_reported_together() {
    let text = VALID
        .replace("\"replicas\": 6", "\"replicas\": \"six\"")
        .replace("\"every_s\": 3600", "\"every_s\": -1")
        .replace("\"urgent\"", "\"urgent\", \"extra\": 1")
        .replace("\"run_s\": 20", "\"run_s\": 2.5")
        .replace("\"release\": \"r41\"", "\"release\": 41, \"servcies\": []");
    insta::assert_snapshot!(faults(&text));
}

/// Guards against a violated rule that is not reported, or that hides others.
#[test]
fn all_rule_faults_are_reported_together() {
    let text = VALID
        .replace("\"r41\"", "\"r 41\"")
        .replace("\"crews\", \"quota\"", "\"staff\", \"quota\"")
        .replace("\"quote-lookup\"", "\"Quote Lookup\"")
        .replace("\"route-survey\"", "\"invoices\"")
        .replace("\"replicas\": 6", "\"replicas\": 1001")
        .replace("\"Waco\"", "\"Austin\", \"\"")
        .replace(
            "\"millicores\": 500, \"memory_mib\": 256",
            "\"millicores\": 0, \"memory_mib\": 0",
        )
        .replace("\"offset_s\": 60", "\"offset_s\": 3600")
        .replace("\"deadline_s\": 600", "\"deadline_s\": 29")
        .replace("\"tasks\": 8", "\"tasks\": 10001")
        .replace("\"tasks\": 4", "\"tasks\": 0");
    insta::assert_snapshot!(faults(&text));
}

/// Guards against accepting an interval of zero, and against a second fault for the offset that
/// results from it.
#[test]
fn zero_period_is_rejected() {
    let text = VALID.replace("\"every_s\": 3600, \"offset_s\": 60", "\"every_s\": 0");
    insta::assert_snapshot!(faults(&text));
}

/// Guards against accepting names of an invalid length, and against rejecting the longest valid
/// name.
#[test]
fn long_and_empty_names_are_rejected() {
    let long = format!("\"{}\"", "a".repeat(65));
    let text = VALID
        .replace("\"quote-lookup\"", &long)
        .replace("\"invoices\"", "\"\"");
    insta::assert_snapshot!(faults(&text));
    let longest = format!("\"{}\"", "a".repeat(64));
    assert!(parse::parse(&VALID.replace("\"quote-lookup\"", &longest)).is_ok());
}

/// Guards against silently applying one of two values of a field.
#[test]
fn duplicate_fields_are_rejected() {
    let inner = VALID.replace("\"replicas\": 6", "\"replicas\": 6, \"replicas\": 60");
    let outer = VALID.replace(
        "\"release\": \"r41\"",
        "\"release\": \"r41\", \"release\": \"r40\"",
    );
    insta::assert_snapshot!(format!("{}\n{}", faults(&inner), faults(&outer)));
}

/// Guards against a stack overflow on deeply nested JSON, and against unclear reports of invalid
/// JSON.
#[test]
fn deep_nesting_and_invalid_json_are_rejected() {
    let deep = format!("{}{}", "[".repeat(100_000), "]".repeat(100_000));
    let texts = [
        "",
        "[]",
        "{",
        "{\"release\": \"r\"} x",
        "{\"teams\": 3}",
        deep.as_str(),
    ];
    let report: Vec<String> = texts.iter().map(|text| faults(text)).collect();
    insta::assert_snapshot!(report.join("\n"));
}

/// Guards against manifests that exhaust the memory, by their size or by the length of a list.
#[test]
fn size_and_counts_are_limited() {
    let large = format!("{{\"release\": \"{}\"}}", "a".repeat(512 * 1024));
    let team = "{\"name\": \"t\", \"quota\": {\"millicores\": 1, \"memory_mib\": 1}}";
    let many = format!(
        "{{\"release\": \"r\", \"teams\": [{}]}}",
        vec![team; 201].join(",")
    );
    let report = format!("{}\n{}", faults(&large), faults(&many));
    let lines: Vec<&str> = report.lines().collect();
    insta::assert_snapshot!([&lines[..3], &lines[lines.len() - 1..]].concat().join("\n"));
}

/// Guards against faults for all jobs of a team whose declaration has a type fault.
#[test]
fn unknown_team_is_not_reported_when_a_team_has_a_type_fault() {
    let text = VALID.replace("\"millicores\": 64000", "\"millicores\": \"many\"");
    assert_eq!(faults(&text).lines().count(), 1);
}
