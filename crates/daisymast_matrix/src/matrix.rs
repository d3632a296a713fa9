//! Runs every fault at every step of every session.

use std::collections::BTreeMap;
use std::fmt::{self, Write};
use std::panic::{self, AssertUnwindSafe};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

use crate::checkers::{self, Bounds, Violation};
use crate::fault::{Fault, PlannedFault};
use crate::session::{self, Session};
use crate::world::World;

/// Outages last for seconds, and the exchanges that go on all the time send a message every few
/// milliseconds. In sessions that count those, outages start at every fourth step.
const OUTAGE_STRIDE: usize = 4;

/// One fault at one step of one session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Cell {
    /// Index of the session in [`session::all`].
    pub session: usize,
    /// Faults and their steps.
    pub first: PlannedFault,
    /// Second fault, for pairs.
    pub second: Option<PlannedFault>,
}

/// A cell that broke a rule.
#[derive(Clone, Debug)]
pub struct Failure {
    /// The cell.
    pub cell: Cell,
    /// Rules that were broken.
    pub violations: Vec<Violation>,
}

/// Result of a matrix.
#[derive(Debug, Default)]
pub struct Report {
    /// Steps and cells run by session.
    pub sessions: Vec<(&'static str, usize, usize)>,
    /// Cells that broke a rule, in the order of the cells.
    pub failures: Vec<Failure>,
}

/// Starts a session and lets its window pass.
///
/// The returned world holds the steps and the lines of the session.
pub fn run_session(base: &World, session: &Session, faults: Vec<PlannedFault>) -> World {
    let mut world = base.clone();
    world.start_recording(faults, session.periodic);
    let start = world.now();
    (session.action)(&mut world);
    let elapsed = world.now() - start;
    world.run_for(session.window_ms.saturating_sub(elapsed));
    world.stop_recording();
    world
}

/// Runs one cell and checks its trace.
pub fn run_cell(base: &World, session: &Session, faults: Vec<PlannedFault>) -> Vec<Violation> {
    let result = panic::catch_unwind(AssertUnwindSafe(|| {
        let mut world = run_session(base, session, faults);
        world.run_for(session.settle_ms);
        let mut found = (session.final_check)(&mut world);
        let bounds = Bounds {
            settled_ms: world.now(),
        };
        found.extend(checkers::check(&world.trace, &bounds));
        found
    }));
    result.unwrap_or_else(|_| {
        let detail = "a component panicked".to_owned();
        vec![Violation {
            rule: "no panic",
            at: 0,
            detail,
        }]
    })
}

/// All cells of the single-fault matrix.
pub fn single_fault_cells(base: &World, sessions: &[Session]) -> Vec<Cell> {
    let mut cells = Vec::new();
    for (index, session) in sessions.iter().enumerate() {
        for (step, message) in run_session(base, session, Vec::new())
            .sent
            .iter()
            .enumerate()
        {
            let is_outage_step = !session.periodic || step % OUTAGE_STRIDE == 0;
            let faults = Fault::ALL.iter().filter(|fault| {
                fault.applies_to(message) && (is_outage_step || !fault.is_outage())
            });
            cells.extend(faults.map(|&fault| Cell {
                session: index,
                first: PlannedFault { step, fault },
                second: None,
            }));
        }
    }
    cells
}

/// Runs cells on `threads` threads. The verdict does not depend on the number of threads.
pub fn run(base: &World, sessions: &[Session], cells: &[Cell], threads: usize) -> Report {
    let next = AtomicUsize::new(0);
    let mut failures: Vec<(usize, Failure)> = thread::scope(|scope| {
        let handles: Vec<_> = (0..threads.max(1))
            .map(|_| scope.spawn(|| run_remaining_cells(base, sessions, cells, &next)))
            .collect();
        handles
            .into_iter()
            .flat_map(|handle| handle.join().unwrap_or_default())
            .collect()
    });
    failures.sort_by_key(|(index, _)| *index);
    let mut counts: BTreeMap<usize, (usize, usize)> = BTreeMap::new();
    for cell in cells {
        let count = counts.entry(cell.session).or_default();
        count.0 = count.0.max(cell.first.step + 1);
        count.1 += 1;
    }
    Report {
        sessions: counts
            .into_iter()
            .map(|(index, (steps, cells))| (sessions[index].name, steps, cells))
            .collect(),
        failures: failures.into_iter().map(|(_, failure)| failure).collect(),
    }
}

fn run_remaining_cells(
    base: &World,
    sessions: &[Session],
    cells: &[Cell],
    next: &AtomicUsize,
) -> Vec<(usize, Failure)> {
    let mut failures = Vec::new();
    loop {
        let index = next.fetch_add(1, Ordering::Relaxed);
        let Some(cell) = cells.get(index) else {
            return failures;
        };
        let faults = std::iter::once(cell.first).chain(cell.second).collect();
        let violations = run_cell(base, &sessions[cell.session], faults);
        if !violations.is_empty() {
            failures.push((
                index,
                Failure {
                    cell: *cell,
                    violations,
                },
            ));
        }
    }
}

impl Report {
    /// Cells that were run.
    pub fn cells(&self) -> usize {
        self.sessions.iter().map(|(_, _, cells)| cells).sum()
    }

    /// Failures by rule and fault, with the first one in full.
    pub fn summary(&self, sessions: &[Session]) -> String {
        let mut groups: BTreeMap<(String, String, &str), (usize, String)> = BTreeMap::new();
        for failure in &self.failures {
            let session = sessions[failure.cell.session].name;
            for violation in &failure.violations {
                let key = (
                    session.to_owned(),
                    failure.cell.first.fault.to_string(),
                    violation.rule,
                );
                let first = format!("step {}: {violation}", failure.cell.first.step);
                groups.entry(key).or_insert_with(|| (0, first)).0 += 1;
            }
        }
        let mut text = String::new();
        for ((session, fault, rule), (count, first)) in groups {
            let _ = writeln!(text, "{session} | {fault} | {rule} | {count} | {first}");
        }
        text
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (name, steps, cells) in &self.sessions {
            writeln!(f, "{name}: {steps} steps, {cells} cells")?;
        }
        let passed = self.cells() - self.failures.len();
        write!(f, "{} cells run, {passed} passed", self.cells())
    }
}

/// The sessions and the settled world that every matrix starts from.
pub fn setup() -> (World, Vec<Session>) {
    (session::settled_world(), session::all())
}
