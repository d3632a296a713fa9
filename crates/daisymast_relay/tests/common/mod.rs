//! Calls to workers for the tests.
#![allow(dead_code, reason = "each test file uses a part of the module")]

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use daisymast_jobs::spec;
use daisymast_relay::wire;
use daisymast_scheduler::{action, report};
use daisymast_types::time;

pub(crate) fn at(millis: u64) -> time::Monotonic {
    time::Monotonic::from_millis(millis)
}

pub(crate) fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn target(index: usize) -> action::Target {
    action::Target {
        index,
        id: format!("w-{index}").into(),
        address: address(1),
        fence: 1,
        sent_at: time::Monotonic::ZERO,
    }
}

fn task(job: u64) -> spec::TaskId {
    let step = spec::StepId {
        job: spec::JobId(job),
        occurrence: 0,
        step: 0,
    };
    step.task(0)
}

/// Returns the start of the first task of a job on a worker.
pub(crate) fn start(job: u64, worker: usize) -> action::Action {
    let spec = spec::JobSpec {
        payload: format!("payload of {job}"),
        ..spec::JobSpec::default()
    };
    action::Action::Start(action::Start {
        target: target(worker),
        task: task(job),
        run: 1,
        spec: Arc::new(spec),
        deadline_ms: 9_000,
        checkpoint: None,
        ticket: Some("ticket".into()),
    })
}

/// Returns a poll of a worker that may wait for a second.
pub(crate) fn poll(worker: usize) -> action::Action {
    action::Action::PollWorker {
        target: target(worker),
        deadline_ms: Some(5_000),
        acked_end: 3,
        wait: Duration::from_secs(1),
    }
}

/// Returns the job of a start, or the worker of a poll.
pub(crate) fn key(action: &action::Action) -> u64 {
    match action {
        action::Action::Start(start) => start.task.step.job.0,
        action::Action::PollWorker { target, .. } => target.index as u64,
        _ => u64::MAX,
    }
}

pub(crate) fn accepted(clock_ms: u64) -> wire::Outcome {
    wire::Outcome::Order(report::OrderOutcome::Accepted(clock_ms))
}

pub(crate) fn reply(process: u64, outcomes: Vec<(u64, wire::Outcome)>) -> wire::ExchangeReply {
    wire::ExchangeReply {
        process,
        draining: false,
        outcomes,
        clock_ms: None,
    }
}
