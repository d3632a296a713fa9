//! Settings of the command line tool.

use daisymast_settings::operator;

/// Guards against a fault that hides others, and against keys in fault messages.
#[test]
fn all_faults_are_reported_and_the_key_is_redacted() {
    let text = r#"{"operators": ["127.0.0.1:0", "localhost", 7], "callers": "127.0.0.1:1",
                   "operator_key": "hush-hush", "operater": "hush-hush"}"#;
    let faults = operator::parse(text).expect_err("faults").to_string();
    assert!(!faults.contains("hush"), "{faults}");
    insta::assert_snapshot!(faults);
}
