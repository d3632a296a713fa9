//! Tables of measured quantities and their fitted lines.

use std::fmt::Write;

use serde::Serialize;

use crate::slopes::fit::{self, Line};
use crate::slopes::sample::Sample;

/// Parameter that is varied in a sweep.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Axis {
    /// Total number of workers, with a fixed number of instances.
    Workers,
    /// Total number of instances, with a fixed number of workers.
    Instances,
}

impl Axis {
    #[allow(clippy::cast_precision_loss, reason = "counts below 2^53")]
    fn position(self, sample: &Sample) -> f64 {
        match self {
            Self::Workers => sample.scene.all_workers() as f64,
            Self::Instances => sample.scene.all_instances() as f64,
        }
    }
}

/// Measured quantity with its fitted line.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    /// Name of the quantity with its unit.
    pub name: String,
    /// Value in each sample, in the order of the sweep.
    pub values: Vec<f64>,
    /// Line fitted to the values over the varied parameter.
    pub line: Line,
}

/// Computes the rows of all quantities measured in a sweep.
pub fn rows(axis: Axis, samples: &[Sample]) -> Vec<Row> {
    let mut rows: Vec<Row> = SCALAR_QUANTITIES
        .iter()
        .map(|(name, value)| row(axis, samples, (*name).to_owned(), value))
        .collect();
    for name in keys(samples, |sample| sample.messages.keys().cloned().collect()) {
        let rate = |sample: &Sample| sample.messages.get(&name).copied().unwrap_or_default();
        let count = format!("{name} /s");
        rows.push(row(axis, samples, count, &|sample| rate(sample).messages));
        let bytes = format!("{name} B/s");
        rows.push(row(axis, samples, bytes, &|sample| rate(sample).bytes));
    }
    for name in keys(samples, |sample| sample.events.keys().cloned().collect()) {
        let cost = |sample: &Sample| sample.events.get(&name).copied().unwrap_or_default();
        let time = format!("on {name} ms/s");
        rows.push(row(axis, samples, time, &|sample| cost(sample).millis));
    }
    rows
}

type Extract = fn(&Sample) -> f64;

const SCALAR_QUANTITIES: [(&str, Extract); 17] = [
    ("task starts /s", |sample| sample.starts),
    ("median start delay ms", |sample| sample.delay_median),
    ("p99 start delay ms", |sample| sample.delay_p99),
    ("requests done /s", |sample| sample.done),
    ("requests other /s", |sample| sample.other),
    ("running tasks", |sample| sample.running),
    ("mean instance ms/s", |sample| sample.mean_millis),
    ("busiest instance ms/s", |sample| sample.most_millis),
    ("state of an instance KiB", |sample| sample.state_kib),
    ("timeline of busiest /s", |sample| sample.records),
    ("change in force ms", |sample| sample.change_ms),
    ("store writes /s", |sample| sample.store_writes),
    ("store reads /s", |sample| sample.store_reads),
    ("store values B", |sample| sample.store_bytes),
    ("longest store value B", |sample| sample.longest_value),
    ("all messages /s", |sample| {
        sample.messages.values().map(|rate| rate.messages).sum()
    }),
    ("all messages B/s", |sample| {
        sample.messages.values().map(|rate| rate.bytes).sum()
    }),
];

fn row(axis: Axis, samples: &[Sample], name: String, value: &dyn Fn(&Sample) -> f64) -> Row {
    let values: Vec<f64> = samples.iter().map(value).collect();
    let points: Vec<(f64, f64)> = samples
        .iter()
        .map(|sample| axis.position(sample))
        .zip(values.iter().copied())
        .collect();
    Row {
        name,
        values,
        line: fit::line(&points),
    }
}

fn keys(samples: &[Sample], of: impl Fn(&Sample) -> Vec<String>) -> Vec<String> {
    let mut keys: Vec<String> = samples.iter().flat_map(of).collect();
    keys.sort_unstable();
    keys.dedup();
    keys
}

/// Formats the rows as a Markdown table.
pub fn table(title: &str, axis: Axis, samples: &[Sample], rows: &[Row]) -> String {
    let mut text = format!("## {title}\n\n| quantity |");
    for sample in samples {
        let _ = write!(text, " {} |", axis.position(sample));
    }
    text.push_str(" base | slope | residual % |\n|");
    text.push_str(&" --- |".repeat(samples.len() + 4));
    text.push('\n');
    for row in rows {
        let _ = write!(text, "| {} |", row.name);
        for value in &row.values {
            let _ = write!(text, " {value:.1} |");
        }
        let line = row.line;
        let percent = line.residual * 100.0;
        let _ = writeln!(
            text,
            " {:.3} | {:.4} | {percent:.1} |",
            line.base, line.slope
        );
    }
    text
}
