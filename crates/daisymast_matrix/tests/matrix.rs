//! Guards against violations by a single fault: injects every fault at every step of every session.

use std::thread;

use daisymast_matrix::matrix;

#[test]
fn single_faults() {
    let (base, sessions) = matrix::setup();
    let cells = matrix::single_fault_cells(&base, &sessions);
    let threads = thread::available_parallelism().map_or(4, std::num::NonZero::get);
    let report = matrix::run(&base, &sessions, &cells, threads);
    #[expect(
        clippy::print_stdout,
        reason = "the test prints the size of the matrix"
    )]
    {
        println!("{report}");
    }
    assert!(
        report.failures.is_empty(),
        "{report}\n{}",
        report.summary(&sessions)
    );
}
