//! Property tests: guard against submissions that make an instance panic.

use daisymast_manifest::record::Record;
use daisymast_manifest::{diff, parse};
use proptest::prelude::*;
use serde_json::{Value, json};

fn any_json() -> impl Strategy<Value = Value> {
    let leaf = prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        any::<u64>().prop_map(Value::from),
        any::<f64>().prop_map(Value::from),
        "[a-z\u{e9}\u{1f600}-]{0,70}".prop_map(Value::from),
    ];
    let key = prop_oneof![
        Just("name"),
        Just("team"),
        Just("size"),
        Just("millicores"),
        Just("memory_mib"),
        Just("every_s"),
        Just("offset_s"),
        Just("tasks"),
        Just("run_s"),
        Just("zones"),
        Just("replicas"),
        Just("quota"),
        Just("deadline_s"),
        Just("urgency"),
        Just("other"),
    ];
    leaf.prop_recursive(4, 48, 8, move |inner| {
        prop_oneof![
            prop::collection::vec(inner.clone(), 0..6).prop_map(Value::from),
            prop::collection::hash_map(key.clone().prop_map(str::to_owned), inner, 0..8)
                .prop_map(|fields| Value::Object(fields.into_iter().collect())),
        ]
    })
}

proptest! {
    /// Guards against a panic on text that is not a manifest.
    #[test]
    fn parsing_any_text_does_not_panic(text in ".{0,200}") {
        let _ = parse::parse(&text);
        let _ = Record::from_value(&text);
    }

    /// Guards against a panic on a manifest of the wrong types, and against a manifest that differs
    /// from itself.
    #[test]
    fn parsing_any_json_does_not_panic(
        teams in any_json(), services in any_json(), batches in any_json(), jobs in any_json(),
    ) {
        let value = json!({
            "release": "r", "teams": teams, "services": services, "batches": batches,
            "gang_jobs": jobs,
        });
        if let Ok(manifest) = parse::parse(&value.to_string()) {
            prop_assert!(diff::diff(&manifest, &manifest).is_empty());
        }
    }

    /// Guards against overflows in the rules or the reports with extreme numbers.
    #[test]
    fn parsing_any_numbers_does_not_overflow(every in any::<u64>(), offset in any::<u64>(), run in any::<u64>(),
                                 deadline in any::<u64>(), tasks in any::<u32>()) {
        let value = json!({
            "release": "r",
            "teams": [{"name": "t", "quota": {"millicores": 1, "memory_mib": 1}}],
            "batches": [{"name": "b", "team": "t", "every_s": every, "offset_s": offset,
                         "tasks": tasks, "size": {"millicores": 1, "memory_mib": 1},
                         "run_s": run, "deadline_s": deadline}],
        });
        if let Ok(manifest) = parse::parse(&value.to_string()) {
            let batch = &manifest.batches[0];
            prop_assert!(batch.offset_s < batch.every_s && batch.run_s <= batch.deadline_s);
        }
    }
}
