//! Tests of the argument parser. They guard against commands that run with arguments that are
//! invalid or silently ignored.

use std::time::Duration;

use daisymast_cli::command::{self, Command};

fn error(arguments: &[&str]) -> String {
    match command::parse(arguments) {
        Ok(parsed) => panic!("accepted: {parsed:?}"),
        Err(error) => error.to_string(),
    }
}

/// Guards against invalid arguments that are accepted or whose error message does not name the
/// fault.
#[test]
fn wrong_arguments_are_named() {
    let report = [
        error(&[]),
        error(&["sumbit", "m.json"]),
        error(&["submit"]),
        error(&["submit", "a.json", "b.json"]),
        error(&["submit", "a.json", "--expected", "x"]),
        error(&["status", "--idempotent"]),
        error(&["timeline", "--for", "3"]),
        error(&["timeline", "--follow", "--for", "9999"]),
        error(&["request", "quotes"]),
        error(&["request", "quotes", "3 plazas", "--timeout-ms", "0"]),
        error(&["status", "--instance", "localhost"]),
    ];
    insta::assert_snapshot!(report.join("\n"));
}

/// Guards against options that are parsed but not passed to the command.
#[test]
fn options_are_passed_to_the_command() {
    let parsed = command::parse(["timeline", "--follow", "--for", "3"]).expect("arguments");
    let follow = Some(Duration::from_secs(3));
    assert_eq!(parsed.command, Command::Timeline { follow });
    let parsed = command::parse(["request", "quotes", "3 plazas", "--idempotent", "--id", "a"]);
    let Command::Request(options) = parsed.expect("arguments").command else {
        panic!("another command");
    };
    assert!(options.idempotent && options.id.as_deref() == Some("a"));
    assert_eq!(options.timeout_ms, 5_000);
}
