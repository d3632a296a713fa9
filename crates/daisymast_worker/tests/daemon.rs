//! Tests of the daemon over HTTP: decisions of the model reach the holder. Signals and arguments
//! are tested on a real process.
#![allow(clippy::unwrap_used, reason = "a test fails by a panic")]

mod common;

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant};

use common::{acquire, refused, renew, replica, request, resolve, serve, start};
use daisymast_http::client::{Call, Client};
use daisymast_http::executor::{self, Executor};
use daisymast_http::json;
use daisymast_protocol::outcome::Outcome;
use daisymast_protocol::worker::{Fate, LeaseStamp, Refusal, WorkerReply, WorkerRequest};
use daisymast_worker::client::WorkerClient;
use daisymast_worker::daemon::{Daemon, FAULTS_PATH, LOG_PATH, Listening, LogReply};
use daisymast_worker::model::{self, LogEvent};
use daisymast_worker::settings::{Faults, ModelSettings, Settings};
use serde::Deserialize;
use smol::Timer;

/// Upper bound of every wait in the tests, far above what a loaded machine needs.
const TIMEOUT: Duration = Duration::from_secs(20);

/// Holder of the control lease of one worker.
struct Holder {
    client: Arc<Client>,
    worker: WorkerClient,
    address: SocketAddr,
    stamp: LeaseStamp,
}

impl Holder {
    async fn new(executor: &Executor, listening: &Listening) -> Self {
        let client = Arc::new(Client::new(executor.clone(), Default::default()));
        let address = listening.address;
        let worker = WorkerClient::new(client.clone(), &listening.worker, address, "i-1");
        let granted = worker.call(&acquire("i-1", 60_000), TIMEOUT).await;
        let Outcome::Done(WorkerReply::Granted(grant)) = granted else {
            panic!("{granted:?}")
        };
        Self {
            client,
            worker,
            address,
            stamp: grant.stamp,
        }
    }

    async fn call(&self, request: &WorkerRequest) -> WorkerReply {
        let outcome = self.worker.call(request, TIMEOUT).await;
        let Outcome::Done(reply) = outcome else {
            panic!("{request:?}: {outcome:?}")
        };
        reply
    }

    async fn set_faults(&self, faults: Faults) {
        let call = Call::new(self.address, FAULTS_PATH, TIMEOUT);
        let set: Outcome<Faults> = json::post(&self.client, &call, &faults).await;
        assert_eq!(set, Outcome::Done(faults));
    }

    async fn log(&self) -> LogReply {
        let call = Call::new(self.address, LOG_PATH, TIMEOUT);
        let answer = self.client.get(&call).await.done().unwrap();
        serde_json::from_slice(&answer.body).unwrap()
    }

    /// Waits until the worker has `pending` unanswered messages.
    async fn wait_for_pending(&self, pending: usize) {
        let started_at = Instant::now();
        while self.log().await.pending != pending {
            assert!(
                started_at.elapsed() < TIMEOUT,
                "worker did not reach {pending} pending exchanges"
            );
        }
    }

    /// Sends a message and disconnects once it has reached the worker, or when it is answered.
    async fn send_and_disconnect(&self, request: &WorkerRequest) {
        let call = async {
            let _ = self.worker.call(request, TIMEOUT).await;
        };
        smol::future::or(call, self.wait_for_pending(1)).await;
    }
}

/// Starts a daemon with one worker that runs a replica, and acquires its control lease.
async fn start_with_replica(executor: &Executor, worker: ModelSettings) -> (Daemon, Holder) {
    let settings = Settings {
        worker,
        ..Settings::default()
    };
    let daemon = Daemon::start(executor, &settings).await.unwrap();
    let holder = Holder::new(executor, &daemon.listening()[0]).await;
    let started = holder.call(&start(holder.stamp, replica(1))).await;
    assert_eq!(started, WorkerReply::Ok);
    (daemon, holder)
}

/// Guards against an answer that is delivered to another of many concurrent requests.
#[test]
fn concurrent_requests_get_their_own_answers() {
    executor::run(2, async |executor| {
        let (_daemon, holder) = start_with_replica(&executor, ModelSettings::default()).await;
        let stamp = holder.stamp;
        let mut exchanges = Vec::new();
        for number in 0..8 {
            let worker = holder.worker.clone();
            exchanges.push(executor.spawn(async move {
                for round in 0..10 {
                    let id = format!("r-{number}-{round}");
                    let reply = worker.call(&serve(stamp, &id), TIMEOUT).await;
                    let answer = model::answer(&request(&id));
                    assert_eq!(reply, Outcome::Done(WorkerReply::Served { answer }));
                }
            }));
        }
        for exchange in exchanges {
            exchange.await;
        }
    });
}

/// Guards against a worker that aborts a request when its holder disconnects: the outcome must
/// still be known afterwards.
#[test]
fn request_continues_after_its_holder_disconnects() {
    executor::run(2, async |executor| {
        let settings = ModelSettings {
            service_ms: 300,
            ..ModelSettings::default()
        };
        let (_daemon, holder) = start_with_replica(&executor, settings).await;
        holder
            .send_and_disconnect(&serve(holder.stamp, "r-1"))
            .await;
        let started_at = Instant::now();
        let fate = loop {
            assert!(started_at.elapsed() < TIMEOUT, "request did not end");
            match holder
                .call(&common::resolve_with_boot(holder.stamp.boot, "r-1"))
                .await
            {
                WorkerReply::Resolved {
                    fate: Fate::Running,
                } => Timer::after(Duration::from_millis(5)).await,
                other => break other,
            };
        };
        let answer = model::answer(&request("r-1"));
        assert_eq!(fate, common::resolved(Fate::Answered { answer }));
    });
}

/// Guards against a long poll that does not return when a task starts.
#[test]
fn start_ends_a_waiting_renewal() {
    executor::run(2, async |executor| {
        let (_daemon, holder) = start_with_replica(&executor, ModelSettings::default()).await;
        let (worker, stamp) = (holder.worker.clone(), holder.stamp);
        let waiting = executor.spawn(async move {
            worker
                .call(&renew(stamp, &[], 1, 20_000), TIMEOUT * 2)
                .await
        });
        assert_eq!(
            holder.call(&start(stamp, replica(2))).await,
            WorkerReply::Ok
        );
        let started_at = Instant::now();
        let Outcome::Done(WorkerReply::Renewed { seq, changes, .. }) = waiting.await else {
            panic!("renewal failed")
        };
        assert_eq!((seq, changes.len()), (2, 1));
        assert!(started_at.elapsed() < Duration::from_secs(10));
    });
}

/// Guards against injected faults that the daemon does not apply, and against values out of range
/// that it accepts.
#[test]
fn injected_faults_affect_the_holder() {
    executor::run(2, async |executor| {
        let (_daemon, holder) = start_with_replica(&executor, ModelSettings::default()).await;
        let leaving = Faults {
            leaving: true,
            ..Faults::default()
        };
        holder.set_faults(leaving).await;
        let reply = holder.call(&serve(holder.stamp, "r-1")).await;
        assert_eq!(reply, refused(Refusal::Leaving));
        let refuse = Faults {
            refuse: vec!["i-1".to_owned()],
            ..Faults::default()
        };
        holder.set_faults(refuse).await;
        let lost = holder.worker.call(&resolve("r-2"), TIMEOUT).await;
        assert!(matches!(lost, Outcome::Unknown(_)), "{lost:?}");
        let call = Call::new(holder.address, FAULTS_PATH, TIMEOUT);
        let body = r#"{"speed": 0}"#;
        let answer = holder
            .client
            .post(&call, "", body.into())
            .await
            .done()
            .unwrap();
        assert_eq!(answer.status.as_u16(), 400);
        assert!(
            answer.body.starts_with(b"speed: 0 is not within"),
            "{answer:?}"
        );
    });
}

/// Guards against a frozen worker that loses the messages which arrive during the freeze.
#[test]
fn frozen_worker_handles_buffered_messages_afterwards() {
    executor::run(2, async |executor| {
        let (_daemon, holder) = start_with_replica(&executor, ModelSettings::default()).await;
        let frozen = Faults {
            freeze: true,
            ..Faults::default()
        };
        holder.set_faults(frozen).await;
        holder
            .send_and_disconnect(&start(holder.stamp, replica(2)))
            .await;
        holder.set_faults(Faults::default()).await;
        let started = |event: &LogEvent| matches!(event, LogEvent::TaskStarted { task, .. } if *task == common::key(2));
        let log = holder.log().await.entries;
        assert!(log.iter().any(|entry| started(&entry.event)), "{log:?}");
    });
}

/// Guards against a shutdown that aborts a request in flight, or that waits for the end of a long
/// poll.
#[test]
fn shutdown_answers_requests_in_flight() {
    executor::run(2, async |executor| {
        let settings = ModelSettings {
            service_ms: 300,
            ..ModelSettings::default()
        };
        let (daemon, holder) = start_with_replica(&executor, settings).await;
        let (worker, stamp) = (holder.worker.clone(), holder.stamp);
        let serving =
            executor.spawn(async move { worker.call(&serve(stamp, "r-1"), TIMEOUT).await });
        let worker = holder.worker.clone();
        let waiting = executor.spawn(async move {
            worker
                .call(&renew(stamp, &[], 1, 20_000), TIMEOUT * 2)
                .await
        });
        holder.wait_for_pending(2).await;
        daemon.shutdown().await;
        let answer = model::answer(&request("r-1"));
        assert_eq!(serving.await, Outcome::Done(WorkerReply::Served { answer }));
        let renewed = waiting.await;
        assert!(
            matches!(renewed, Outcome::Done(WorkerReply::Renewed { .. })),
            "{renewed:?}"
        );
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

#[derive(Deserialize)]
struct Output {
    listening: Vec<Listening>,
}

/// Guards against a process that cannot host many independent workers, and against one that does
/// not exit on SIGTERM.
#[test]
fn process_hosts_many_workers_and_exits_on_sigterm() {
    let mut command = Command::new(env!("CARGO_BIN_EXE_daisymast-worker"));
    command.args(["--count", "50"]).stdout(Stdio::piped());
    let mut process = Process(command.spawn().unwrap());
    let mut line = String::new();
    let output = process.0.stdout.take().unwrap();
    BufReader::new(output).read_line(&mut line).unwrap();
    let Output { listening } = serde_json::from_str(&line).unwrap();
    assert_eq!(listening.len(), 50);
    assert_eq!(listening[49].worker.as_str(), "w-49");
    executor::run(2, async |executor| {
        let mut boots = std::collections::HashSet::new();
        for worker in &listening {
            let holder = Holder::new(&executor, worker).await;
            assert!(boots.insert(holder.stamp.boot), "two workers share a model");
        }
        let id = process.0.id().to_string();
        assert!(
            Command::new("kill")
                .args(["-TERM", &id])
                .status()
                .unwrap()
                .success()
        );
        let started_at = Instant::now();
        let status = loop {
            assert!(started_at.elapsed() < TIMEOUT, "process did not exit");
            if let Some(status) = process.0.try_wait().unwrap() {
                break status;
            }
            Timer::after(Duration::from_millis(5)).await;
        };
        assert!(status.success(), "{status}");
    });
}

/// Guards against invalid settings that are accepted, and against errors that do not name the
/// field.
#[test]
fn invalid_settings_are_rejected_with_the_field_name() {
    let error = |text: &str| format!("{:#}", Settings::parse(text).unwrap_err());
    for (text, expected) in [
        (r#"{"count": 0}"#, "count: 0 is not within 1 to 1000"),
        (r#"{"threads": 65}"#, "threads: 65 is not within 1 to 64"),
        (
            r#"{"worker": {"slots": 0}}"#,
            "worker: slots: 0 is not above 0",
        ),
        (
            r#"{"worker": {"slots": -1}}"#,
            "worker.slots: invalid value",
        ),
        (
            r#"{"worker": {"faults": {"failure_rate": 1.5}}}"#,
            "worker: faults: failure_rate: 1.5 is not within 0 to 1",
        ),
        (
            r#"{"listen": "127.0.0.1:65535", "count": 2}"#,
            "listen: 127.0.0.1:65535 leaves too few ports for 2 workers",
        ),
    ] {
        assert!(error(text).starts_with(expected), "{}", error(text));
    }
}

/// Guards against a `--check` that passes for settings with which the daemon cannot run.
#[test]
fn check_validates_and_exits() {
    let run = |arguments: &[&str]| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_daisymast-worker"));
        command
            .args(arguments)
            .stdout(Stdio::null())
            .stderr(Stdio::null());
        command.status().unwrap().success()
    };
    assert!(run(&["--check"]));
    assert!(run(&["--help"]));
    assert!(run(&["--version"]));
    assert!(!run(&["--check", "--count", "0"]));
    assert!(!run(&["--check", "--settings", "/nonexistent"]));
}
