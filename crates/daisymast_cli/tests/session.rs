//! Integration tests of the commands against an in-process instance with the platform stand-in.

use std::path::PathBuf;

use daisymast_cli::{command, run};
use daisymast_entry::process::Process;
use daisymast_http::executor::{self, Executor};
use daisymast_platform::daemon::Daemon;
use daisymast_platform::settings::Settings;
use daisymast_settings::entry;

const MANIFEST: &str = r#"{"release": "r1",
    "teams": [{"name": "crews", "quota": {"millicores": 64000, "memory_mib": 131072}}],
    "services": [{"name": "quotes", "team": "crews", "replicas": 2,
                  "size": {"millicores": 1000, "memory_mib": 512}}],
    "batches": [{"name": "surveys", "team": "crews", "every_s": 60, "tasks": 2, "run_s": 5,
                 "deadline_s": 60, "size": {"millicores": 500, "memory_mib": 256}}]}"#;

fn file(name: &str, text: &str) -> String {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).expect("write a file");
    path.to_str().expect("a path").to_owned()
}

/// Runs a command on a separate thread, because it starts its own executor.
async fn command(arguments: &[&str]) -> (run::Exit, String) {
    let arguments = command::parse(arguments).expect("arguments");
    smol::unblock(move || {
        let mut output = Vec::new();
        let exit = run::run(&arguments, &mut output).expect("a result");
        (exit, String::from_utf8(output).expect("text"))
    })
    .await
}

/// Guards against faults in the sequence of commands that an operator uses: an invalid manifest or
/// an outdated expected generation must be rejected, and `diff`, `retire`, `status` and `timeline`
/// must reflect the manifests that were accepted.
#[test]
fn operator_submits_and_retires_jobs() {
    executor::run(2, async |executor: Executor| {
        let platform = Daemon::start(&executor, &Settings::default())
            .await
            .expect("a platform");
        let any = "127.0.0.1:0";
        let key = "operator-key-operator-key-operator-key";
        let settings = serde_json::json!({
            "instance": "entry-1", "zone": "Austin", "platform": platform.address(),
            "listen": {"callers": any, "operators": any, "peers": any, "metrics": any},
            "peer_key": "peer-key-peer-key-peer-key-peer-key", "operator_key": key,
        });
        let settings = entry::parse(&settings.to_string()).expect("settings");
        let process = Process::start(&executor, &settings)
            .await
            .expect("an instance");
        let at = process.addresses();
        let settings_file = serde_json::json!({
            "operators": [at.operators], "callers": [at.callers], "operator_key": key,
        });
        let settings_file = file("operator.json", &settings_file.to_string());
        let manifest = file("manifest.json", MANIFEST);
        let faulty = file(
            "faulty.json",
            &MANIFEST.replace("\"replicas\": 2", "\"replicas\": 0"),
        );

        let (exit, text) = command(&["validate", &manifest]).await;
        assert_eq!(exit, run::Exit::Done, "{text}");
        let (exit, text) = command(&["submit", &faulty, "--settings", &settings_file]).await;
        assert!(
            exit == run::Exit::Failed && text.contains("services[0].replicas = 0"),
            "{text}"
        );
        let (exit, text) = command(&["submit", &manifest, "--settings", &settings_file]).await;
        assert_eq!(
            (exit, text.as_str()),
            (run::Exit::Done, "accepted as generation 1\n")
        );
        let stale = [
            "submit",
            &manifest,
            "--expected",
            "0",
            "--settings",
            &settings_file,
        ];
        let (exit, text) = command(&stale).await;
        assert!(
            exit == run::Exit::Failed && text.contains("in force is generation 1"),
            "{text}"
        );
        let (_, text) = command(&["diff", &manifest, "--settings", &settings_file]).await;
        assert_eq!(text, "no difference from generation 1\n");
        let (exit, text) = command(&["retire", "surveys", "--settings", &settings_file]).await;
        assert_eq!(
            (exit, text.as_str()),
            (run::Exit::Done, "accepted as generation 2\n")
        );
        let (_, text) = command(&["diff", &manifest, "--settings", &settings_file]).await;
        assert_eq!(text, "against generation 2:\nadded batch surveys\n");
        let (_, text) = command(&["status", "--settings", &settings_file]).await;
        assert!(
            text.starts_with("entry-1 in Austin: running, generation 2\n"),
            "{text}"
        );
        let (_, text) = command(&["timeline", "--settings", &settings_file]).await;
        assert_eq!(
            text.matches("configuration.accepted r1").count(),
            2,
            "{text}"
        );
        process.drain().await.expect("a drain in time");
        platform.shutdown().await;
    });
}

/// Guards against a port that is printed twice.
#[test]
fn printed_ports_are_distinct() {
    smol::block_on(async {
        let (_, text) = command(&["ports", "20"]).await;
        let mut ports: Vec<&str> = text.lines().collect();
        ports.sort_unstable();
        ports.dedup();
        assert_eq!(ports.len(), 20);
    });
}

/// Guards against invalid settings that are reported with the exit code of another failure.
#[test]
fn invalid_settings_have_a_distinct_exit_code() {
    let path = file("no-key.json", "{}");
    smol::block_on(async {
        let (exit, text) = command(&["status", "--settings", &path]).await;
        assert!(
            exit == run::Exit::Settings && text.contains("operator_key"),
            "{text}"
        );
    });
}
