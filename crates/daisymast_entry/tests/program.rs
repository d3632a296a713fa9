//! Integration tests of the executable: exit codes, settings check and shutdown by signal.

mod common;

use std::io::{BufRead, BufReader, Read, Write};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Output, Stdio};
use std::time::Instant;

use common::{PEER_KEY, TEST_TIMEOUT, settings};

const PROGRAM: &str = env!("CARGO_BIN_EXE_daisymast-entry");

fn file(name: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).expect("write settings");
    path
}

fn run(arguments: &[&str]) -> Output {
    Command::new(PROGRAM)
        .args(arguments)
        .output()
        .expect("run the program")
}

/// Kills the child process on drop, so that a failed test leaves no process behind.
struct ChildGuard(Child);

impl Drop for ChildGuard {
    fn drop(&mut self) {
        drop(self.0.kill());
        drop(self.0.wait());
    }
}

impl ChildGuard {
    fn terminate(&self) {
        let id = self.0.id().to_string();
        let status = Command::new("kill").args(["-TERM", &id]).status();
        assert!(status.expect("send SIGTERM").success());
    }

    fn wait(&mut self) -> ExitStatus {
        let end = Instant::now() + TEST_TIMEOUT;
        loop {
            if let Some(status) = self.0.try_wait().expect("wait") {
                return status;
            }
            assert!(Instant::now() < end, "no exit within {TEST_TIMEOUT:?}");
            std::thread::sleep(std::time::Duration::from_millis(20));
        }
    }
}

/// Guards against exit codes that do not distinguish invalid arguments from invalid settings.
#[test]
fn usage_and_settings_errors_have_distinct_exit_codes() {
    assert_eq!(run(&["--help"]).status.code(), Some(0));
    assert_eq!(run(&["--version"]).status.code(), Some(0));
    assert_eq!(run(&[]).status.code(), Some(2));
    assert_eq!(run(&["--settings"]).status.code(), Some(2));
    assert_eq!(run(&["--loud"]).status.code(), Some(2));
    assert_eq!(run(&["--settings", "no-such-file"]).status.code(), Some(3));
}

/// Guards against a start with invalid settings whose faults are not all reported, and against keys
/// in the output.
#[test]
fn check_reports_all_faults_without_printing_keys() {
    let platform = "127.0.0.1:7000".parse().expect("an address");
    let good = file("good.json", &settings(platform));
    let path = good.to_str().expect("a path");
    assert_eq!(run(&["--check", "--settings", path]).status.code(), Some(0));
    let text = settings(platform)
        .replace("Austin", "")
        .replace("entry-1", "entry 1");
    let bad = file("bad.json", &text);
    let output = run(&["--check", "--settings", bad.to_str().expect("a path")]);
    assert_eq!(output.status.code(), Some(3));
    let report = String::from_utf8_lossy(&output.stderr);
    assert!(
        report.contains("instance = ") && report.contains("zone = "),
        "{report}"
    );
    assert!(!report.contains(PEER_KEY));
}

/// Guards against a shutdown that takes longer than the platform waits or exits with an error.
#[test]
fn sigterm_drains_and_exits_with_code_zero() {
    // Nothing listens on the platform address: an instance must start and stop without the store.
    let free = std::net::TcpListener::bind("127.0.0.1:0").expect("bind");
    let platform = free.local_addr().expect("an address");
    drop(free);
    let path = file("run.json", &settings(platform));
    let child = Command::new(PROGRAM)
        .arg("--settings")
        .arg(path)
        .stdout(Stdio::piped())
        .spawn()
        .expect("start");
    let mut running = ChildGuard(child);
    let mut output = BufReader::new(running.0.stdout.take().expect("standard output"));
    let mut line = String::new();
    output
        .read_line(&mut line)
        .expect("the line with the addresses");
    let addresses: serde_json::Value = serde_json::from_str(&line).expect("JSON");
    let address = addresses["metrics"].as_str().expect("an address");
    let mut stream = std::net::TcpStream::connect(address).expect("connect");
    let request = "GET /health HTTP/1.1\r\nhost: entry\r\nconnection: close\r\n\r\n";
    stream.write_all(request.as_bytes()).expect("send");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("an answer");
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    running.terminate();
    assert_eq!(running.wait().code(), Some(0));
}
