//! Injects every fault at every step of every session.

use std::collections::BTreeMap;
use std::fmt::{self, Write};
use std::panic::{self, AssertUnwindSafe};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

use crate::checkers::{self, Bounds, Violation};
use crate::fault::{Fault, PlannedFault};
use crate::session::{self, Session};
use crate::world::World;

/// Interval between the steps at which outages are injected, in sessions that count periodic
/// messages. These are sent every few milliseconds, while an outage lasts for seconds, so that
/// outages at neighbouring steps hardly differ.
const OUTAGE_STRIDE: usize = 4;

/// One case of the matrix: a session with a fault at one step, or with two faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Cell {
    /// Index of the session in [`session::all`].
    pub session: usize,
    /// First fault, or the only one.
    pub first: PlannedFault,
    /// Second fault, for pairs of faults.
    pub second: Option<PlannedFault>,
}

/// A cell in which a rule was violated.
#[derive(Clone, Debug)]
pub struct Failure {
    /// Cell that failed.
    pub cell: Cell,
    /// Violations found in the cell.
    pub violations: Vec<Violation>,
}

/// Result of running a matrix.
#[derive(Debug, Default)]
pub struct Report {
    /// Name, number of steps and number of cells of each session.
    pub sessions: Vec<(&'static str, usize, usize)>,
    /// Failed cells, in the order of the cells.
    pub failures: Vec<Failure>,
}

/// Runs a session until the end of its window.
///
/// The returned world holds the messages and the recorded lines of the session.
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

/// Runs a session with the given faults and checks its trace. A panic of a component is returned as
/// a violation.
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

/// All cells with a single fault.
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

/// Runs cells on `threads` threads. The result does not depend on the number of threads.
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
    /// Number of cells that were run.
    pub fn cells(&self) -> usize {
        self.sessions.iter().map(|(_, _, cells)| cells).sum()
    }

    /// Number of violations by session, fault and rule, each with its first violation in full.
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

/// The settled world from which all cells start, and all sessions.
pub fn setup() -> (World, Vec<Session>) {
    (session::settled_world(), session::all())
}
