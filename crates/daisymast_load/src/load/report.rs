//! What became of the requests.

use std::collections::BTreeMap;

use anyhow::Context;
use hdrhistogram::Histogram;
use serde::Serialize;

use crate::load::plan::Plan;

/// Longest waiting time that is told apart, in microseconds.
const MAX_WAIT_US: u64 = 120_000_000;

/// How a request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// Served.
    Done,
    /// Not run, with the reason.
    NotRun(String),
    /// The instance does not know.
    Unknown,
    /// No answer that can be read.
    NoValidReply,
}

/// One request and its end.
#[derive(Clone, Debug)]
pub struct CompletedRequest {
    /// Index of the kind.
    pub kind: usize,
    /// Second of the intended arrival.
    pub second: u64,
    /// Microseconds from the intended arrival to the answer.
    pub wait_us: u64,
    /// How it ended.
    pub outcome: RequestOutcome,
}

/// Results of one kind, over the arrivals that count.
#[derive(Clone, Debug, Default, Serialize)]
pub struct KindReport {
    /// Requests sent.
    pub sent: u64,
    /// Requests served.
    pub done: u64,
    /// Requests served a second.
    pub throughput: f64,
    /// Requests not run, by reason.
    pub not_run: BTreeMap<String, u64>,
    /// Requests whose outcome the instance does not know.
    pub unknown: u64,
    /// Requests without a readable answer.
    pub broken: u64,
    /// Median wait of served requests, in milliseconds from the intended arrival.
    pub p50_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
    /// 99.9th percentile.
    pub p999_ms: f64,
}

/// Sums up the counted requests of each kind.
///
/// # Errors
///
/// Fails if a histogram cannot be made.
#[allow(clippy::cast_precision_loss, reason = "counts below 2^53")]
pub fn summarize(
    plan: &Plan,
    completed: &[CompletedRequest],
) -> anyhow::Result<BTreeMap<String, KindReport>> {
    let mut reports = BTreeMap::new();
    for (index, kind) in plan.kinds.iter().enumerate() {
        let mut waits = Histogram::<u64>::new_with_max(MAX_WAIT_US, 3).context("histogram")?;
        let mut report = KindReport::default();
        let counted = completed
            .iter()
            .filter(|request| request.kind == index && plan.is_counted(request.second));
        for request in counted {
            report.sent += 1;
            match &request.outcome {
                RequestOutcome::Done => {
                    report.done += 1;
                    waits.saturating_record(request.wait_us);
                }
                RequestOutcome::NotRun(reason) => {
                    *report.not_run.entry(reason.clone()).or_default() += 1;
                }
                RequestOutcome::Unknown => report.unknown += 1,
                RequestOutcome::NoValidReply => report.broken += 1,
            }
        }
        let millis = |quantile| waits.value_at_quantile(quantile) as f64 / 1_000.0;
        report.throughput = report.done as f64 / plan.counted_seconds() as f64;
        report.p50_ms = millis(0.5);
        report.p99_ms = millis(0.99);
        report.p999_ms = millis(0.999);
        reports.insert(kind.name.clone(), report);
    }
    Ok(reports)
}
