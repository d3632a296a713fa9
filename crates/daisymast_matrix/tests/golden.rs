//! Golden files of whole sessions without a fault, one line for each message and change of state.

use std::fmt::Write;

use daisymast_matrix::matrix;

#[test]
fn sessions_without_faults() {
    let (base, sessions) = matrix::setup();
    for session in &sessions {
        let world = matrix::run_session(&base, session, Vec::new());
        let mut text = String::new();
        for line in &world.lines {
            let _ = writeln!(text, "{:>5} ms  {}", line.at, line.text);
        }
        let name = session.name.replace(' ', "_");
        insta::assert_snapshot!(name, text);
    }
}
