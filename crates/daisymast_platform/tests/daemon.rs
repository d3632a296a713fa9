//! Tests of the daemon over HTTP: decisions of the model reach the caller. Signals and arguments
//! are tested on a real process.
#![allow(clippy::unwrap_used, reason = "a test fails by a panic")]

use std::io::{BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use daisymast_http::client::{Call, Client};
use daisymast_http::executor::{self, Executor};
use daisymast_http::json;
use daisymast_platform::client::StoreClient;
use daisymast_platform::daemon::{COUNTS_PATH, Daemon, FAULTS_PATH, FaultRequest, MEMBERS_PATH};
use daisymast_platform::model::{Counts, Faults};
use daisymast_platform::settings::Settings;
use daisymast_protocol::outcome::Outcome;
use daisymast_protocol::store::{StoreReply, StoreRequest};
use daisymast_types::ids::Revision;
use serde_json::{Value, json};

/// Upper bound of every wait in the tests, far above what a loaded machine needs.
const TIMEOUT: Duration = Duration::from_secs(20);

fn put(value: &str, expect: u64) -> StoreRequest {
    StoreRequest::Put {
        key: "k".to_owned(),
        value: value.to_owned(),
        expect: Revision(expect),
    }
}

fn watch() -> StoreRequest {
    StoreRequest::Watch {
        key: "k".to_owned(),
        seen: Revision(0),
        wait_ms: 20_000,
    }
}

async fn set_faults(executor: &Executor, address: SocketAddr, faults: Faults) {
    let client = Client::new(executor.clone(), Default::default());
    let call = Call::new(address, FAULTS_PATH, TIMEOUT);
    let set: Outcome<Faults> = json::post(&client, &call, &FaultRequest::Set(faults.clone())).await;
    assert_eq!(set, Outcome::Done(faults));
}

/// Waits until exactly `reads` reads have reached the daemon.
async fn wait_for_reads(executor: &Executor, address: SocketAddr, reads: u64) {
    let client = Client::new(executor.clone(), Default::default());
    let call = Call::new(address, COUNTS_PATH, TIMEOUT);
    let start = Instant::now();
    loop {
        assert!(
            start.elapsed() < TIMEOUT,
            "daemon did not count {reads} reads"
        );
        let answer = client.get(&call).await.done().unwrap();
        let counts: Counts = serde_json::from_slice(&answer.body).unwrap();
        if counts.reads == reads {
            return;
        }
    }
}

/// Guards against injected faults that the daemon does not apply.
#[test]
fn injected_faults_affect_the_caller() {
    executor::run(2, async |executor| {
        let daemon = Daemon::start(&executor, &Settings::default())
            .await
            .unwrap();
        let store = StoreClient::new(executor.clone(), daemon.address(), "i-1");
        let lose = Faults {
            lose_writes: 1,
            ..Faults::default()
        };
        set_faults(&executor, daemon.address(), lose).await;
        let lost = store.call(&put("a", 0), TIMEOUT).await;
        assert!(matches!(lost, Outcome::Unknown(_)), "{lost:?}");
        let conflict = store.call(&put("a", 0), TIMEOUT).await.done().unwrap();
        assert!(
            matches!(conflict, StoreReply::Conflict { entry: Some(_) }),
            "{conflict:?}"
        );

        let refuse = Faults {
            refuse: vec!["i-1".to_owned()],
            ..Faults::default()
        };
        set_faults(&executor, daemon.address(), refuse).await;
        let refused = store.call(&put("b", 1), TIMEOUT).await;
        assert!(matches!(refused, Outcome::Unknown(_)), "{refused:?}");
        let other = StoreClient::new(executor.clone(), daemon.address(), "i-2");
        let written = StoreReply::Written {
            revision: Revision(2),
        };
        assert_eq!(
            other.call(&put("b", 1), TIMEOUT).await,
            Outcome::Done(written)
        );
    });
}

/// Guards against a watch that does not return when another caller writes the key.
#[test]
fn write_ends_a_pending_watch() {
    executor::run(2, async |executor| {
        let daemon = Daemon::start(&executor, &Settings::default())
            .await
            .unwrap();
        let address = daemon.address();
        let watcher = StoreClient::new(executor.clone(), address, "i-1");
        let pending = executor.spawn(async move { watcher.call(&watch(), TIMEOUT * 2).await });
        wait_for_reads(&executor, address, 1).await;
        let writer = StoreClient::new(executor.clone(), address, "i-2");
        assert!(writer.call(&put("a", 0), TIMEOUT).await.done().is_some());
        let Outcome::Done(StoreReply::Value { entry }) = pending.await else {
            panic!("watch failed")
        };
        assert_eq!(entry.unwrap().value, "a");
    });
}

/// Guards against a value of the largest size that exceeds the body limits of the HTTP server or
/// client.
#[test]
fn largest_value_fits_in_http_bodies() {
    executor::run(2, async |executor| {
        let daemon = Daemon::start(&executor, &Settings::default())
            .await
            .unwrap();
        let store = StoreClient::new(executor.clone(), daemon.address(), "i-1");
        // JSON escapes each of these bytes with six bytes.
        let value = "\u{1}".repeat(daisymast_protocol::limits::STORE_VALUE_BYTES);
        let reply = store.call(&put(&value, 0), TIMEOUT).await.done().unwrap();
        assert!(matches!(reply, StoreReply::Written { .. }), "{reply:?}");
        let get = StoreRequest::Get {
            key: "k".to_owned(),
        };
        let Outcome::Done(StoreReply::Value { entry }) = store.call(&get, TIMEOUT).await else {
            panic!("expected a value")
        };
        assert!(entry.unwrap().value == value);
    });
}

/// Child process that is killed on drop, so that a failed test leaves none behind.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        // Both calls fail if the process has already exited.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn binary() -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_daisymast-platform"));
    command.stdout(Stdio::piped()).stderr(Stdio::piped());
    command
}

/// Guards against a process that does not print its address, and against one that aborts a waiting
/// watch on SIGTERM.
#[test]
fn process_prints_its_address_and_exits_on_sigterm() {
    let mut process = Process(binary().spawn().unwrap());
    let mut line = String::new();
    let output = process.0.stdout.take().unwrap();
    BufReader::new(output).read_line(&mut line).unwrap();
    let listening: Value = serde_json::from_str(&line).unwrap();
    let address: SocketAddr = listening["listening"].as_str().unwrap().parse().unwrap();
    executor::run(2, async |executor| {
        let client = Client::new(executor.clone(), Default::default());
        let call = Call::new(address, MEMBERS_PATH, TIMEOUT);
        let member = json!({"op": "register", "member": {
            "who": {"worker": ["w-1", "r-1"]}, "zone": "waco",
            "address": "127.0.0.1:1", "leaving": false,
        }});
        let registered: Outcome<String> = json::post(&client, &call, &member).await;
        assert_eq!(registered, Outcome::Done("ok".to_owned()));
        let store = StoreClient::new(executor.clone(), address, "i-1");
        let pending = executor.spawn(async move { store.call(&watch(), TIMEOUT * 2).await });
        let store = StoreClient::new(executor.clone(), address, "i-1");
        assert!(
            store
                .call(&StoreRequest::Members, TIMEOUT)
                .await
                .done()
                .is_some()
        );
        wait_for_reads(&executor, address, 2).await;
        let id = process.0.id().to_string();
        assert!(
            Command::new("kill")
                .args(["-TERM", &id])
                .status()
                .unwrap()
                .success()
        );
        let start = Instant::now();
        let status = loop {
            assert!(start.elapsed() < TIMEOUT, "process did not exit");
            if let Some(status) = process.0.try_wait().unwrap() {
                break status;
            }
            smol::Timer::after(Duration::from_millis(5)).await;
        };
        assert!(status.success(), "{status}");
        let watched = pending.await;
        assert_eq!(watched, Outcome::Done(StoreReply::Value { entry: None }));
    });
}

/// Guards against invalid settings that are accepted, and against errors that do not name the
/// field.
#[test]
fn invalid_settings_are_rejected_with_the_field_name() {
    let error = |text: &str| Settings::parse(text).unwrap_err().to_string();
    assert!(error(r#"{"threads": 0}"#).starts_with("threads: 0 is not within 1 to 64"));
    assert!(error(r#"{"member_lag_ms": "x"}"#).starts_with("member_lag_ms: invalid type"));
    assert!(error(r#"{"colour": 1}"#).contains("unknown field `colour`"));
}

/// Guards against a `--check` that starts to serve, and against one that passes for settings with
/// which the daemon cannot run.
#[test]
fn check_validates_and_exits() {
    let run = |arguments: &[&str]| {
        let mut child = Process(binary().args(arguments).spawn().unwrap());
        let status = child.0.wait().unwrap();
        let mut error = String::new();
        child
            .0
            .stderr
            .take()
            .unwrap()
            .read_to_string(&mut error)
            .unwrap();
        (status.success(), error)
    };
    assert!(run(&["--check"]).0);
    assert!(run(&["--help"]).0);
    assert!(run(&["--version"]).0);
    let (passed, error) = run(&["--check", "--settings", "/nonexistent"]);
    assert!(!passed && error.contains("/nonexistent"), "{error}");
    assert!(!run(&["--unknown"]).0);
}
