//! Guards against unintended changes of the protocol: compares all messages and changes of state of
//! each session without faults with its golden file.

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
