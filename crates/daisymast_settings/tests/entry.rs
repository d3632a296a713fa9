//! Settings of the entry daemon: guards against starting with invalid or ignored settings, and
//! against keys in logs.

use daisymast_settings::entry;
use proptest::prelude::*;

const VALID: &str = r#"{
    "instance": "entry-1",
    "zone": "Klein Windhoek",
    "weight": 2,
    "listen": {"callers": "127.0.0.1:0", "operators": "127.0.0.1:7201",
               "peers": "127.0.0.1:7301", "metrics": "127.0.0.1:7401"},
    "platform": "127.0.0.1:7000",
    "seeds": [{"instance": "entry-2", "zone": "Olympia", "address": "127.0.0.1:7302"}],
    "workers": [{"worker": "worker-01", "zone": "Eros", "rack": "eros-1",
                 "address": "127.0.0.1:7501"}],
    "peer_key": "peer-key-peer-key-peer-key-peer-key",
    "operator_key": "operator-key-operator-key-operator-key",
    "threads": 4,
    "log_level": "warn"
}"#;

fn faults(text: &str) -> String {
    match entry::parse(text) {
        Ok(settings) => panic!("accepted: {settings:?}"),
        Err(faults) => faults.to_string(),
    }
}

/// Guards against rejecting valid settings, losing their values, or keys in the debug output.
#[test]
fn valid_settings_are_accepted_and_keys_redacted() {
    let settings = entry::parse(VALID).expect("valid settings");
    insta::assert_debug_snapshot!(settings);
    assert!(settings.peer_key.expose().starts_with("peer-key"));
}

/// Guards against a fault that hides others.
#[test]
fn all_faults_are_reported_together() {
    let text = VALID
        .replace("\"entry-1\"", "\"entry 1\"")
        .replace("\"weight\": 2", "\"weight\": 0")
        .replace("\"127.0.0.1:0\"", "\"localhost\"")
        .replace("\"127.0.0.1:7401\"", "7401")
        .replace("\"127.0.0.1:7000\"", "\"127.0.0.1:0\"")
        .replace("\"Olympia\"", "\"\"")
        .replace("\"rack\"", "\"rak\"")
        .replace("\"threads\": 4", "\"threads\": \"four\"")
        .replace("\"warn\"", "\"loud\"");
    insta::assert_snapshot!(faults(&text));
}

/// Guards against missing fields that are accepted or reported one at a time.
#[test]
fn missing_fields_are_reported() {
    insta::assert_snapshot!(faults("{}"));
}

/// Guards against keys in fault messages: too short, of the wrong type, under a misspelt name, used
/// twice, or in place of the whole file.
#[test]
fn keys_are_redacted_in_faults() {
    let short = VALID.replace("peer-key-peer-key-peer-key-peer-key", "hush-hush");
    let number = VALID.replace("\"peer-key-peer-key-peer-key-peer-key\"", "424242");
    let misspelt = VALID.replace("\"peer_key\"", "\"peer_kye\"");
    let equal = VALID.replace(
        "operator-key-operator-key-operator-key",
        "peer-key-peer-key-peer-key-peer-key",
    );
    let text = "\"hush-hush-hush-hush-hush-hush-hush\"";
    let report = [&short, &number, &misspelt, &equal, text]
        .map(faults)
        .join("\n");
    for key in ["hush", "424242", "peer-key", "operator-key"] {
        assert!(!report.contains(key), "{key} is shown in:\n{report}");
    }
    insta::assert_snapshot!(report);
}

/// Guards against two seeds with one id.
#[test]
fn duplicate_ids_are_rejected() {
    let seed = r#"{"instance": "entry-2", "zone": "Olympia", "address": "127.0.0.1:7302"}"#;
    let text = VALID.replace(seed, &format!("{seed}, {seed}"));
    insta::assert_snapshot!(faults(&text));
}

proptest! {
    /// Guards against a panic on an invalid or truncated file.
    #[test]
    fn parsing_any_text_does_not_panic(text in ".{0,200}", at in 0..700_usize, len in 0..40_usize) {
        let _ = entry::parse(&text);
        let cut: String = VALID.chars().take(at).chain(VALID.chars().skip(at + len)).collect();
        let _ = entry::parse(&cut);
    }
}
