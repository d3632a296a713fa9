//! What was served of what was owed.

use std::fmt;

use super::jobs::{Job, Kind};

/// Returns what was served of what was owed.
pub(crate) fn summarize(kinds: &[Kind], jobs: &[Job], occupied: f64) -> Summary {
    let mut rows: Vec<Row> = kinds
        .iter()
        .map(|kind| Row {
            name: kind.name,
            ..Row::default()
        })
        .collect();
    let (mut earned, mut owed) = (0.0, 0.0);
    for (index, row) in rows.iter_mut().enumerate() {
        let mut jobs: Vec<&Job> = jobs.iter().filter(|job| job.kind == index).collect();
        jobs.sort_by(|a, b| b.core_seconds.total_cmp(&a.core_seconds));
        let largest = jobs.len().div_ceil(10);
        for (rank, job) in jobs.iter().enumerate() {
            let credit = job.credit();
            row.earned += job.worth * credit;
            row.owed += job.worth;
            row.jobs += 1.0;
            row.served += f64::from(u8::from(credit > 0.0));
            if rank < largest {
                row.largest += 1.0;
                row.largest_served += f64::from(u8::from(credit > 0.0));
            }
        }
        earned += row.earned;
        owed += row.owed;
    }
    Summary {
        rows,
        share: earned / owed,
        occupied,
    }
}

/// Result for one kind.
#[derive(Clone, Debug, Default)]
pub(crate) struct Row {
    name: &'static str,
    earned: f64,
    owed: f64,
    jobs: f64,
    served: f64,
    largest: f64,
    largest_served: f64,
}

/// Result of a run.
#[derive(Clone, Debug)]
pub(crate) struct Summary {
    rows: Vec<Row>,
    /// Share of the worth that was earned.
    pub(crate) share: f64,
    /// Share of the processors that were occupied while jobs arrived.
    occupied: f64,
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "share {:.3}, {:.2} occupied", self.share, self.occupied)?;
        for row in &self.rows {
            write!(
                f,
                "; {} {:.3} (served {:.2}, of the largest tenth {:.2})",
                row.name,
                row.earned / row.owed,
                row.served / row.jobs,
                row.largest_served / row.largest.max(1.0),
            )?;
        }
        Ok(())
    }
}
