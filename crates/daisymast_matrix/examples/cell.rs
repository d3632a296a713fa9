//! Runs every session without faults and prints its number of steps and violations.
//!
//! With the arguments session, step and fault, runs this one cell instead and prints its lines and
//! violations.

use std::time::Instant;

use daisymast_matrix::fault::{Fault, PlannedFault};
use daisymast_matrix::matrix;

#[expect(clippy::print_stdout, reason = "command-line output")]
fn main() {
    let started = Instant::now();
    let (base, sessions) = matrix::setup();
    println!("system settled after {:?}", started.elapsed());
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    if let [name, step, fault] = arguments.as_slice() {
        let session = sessions.iter().find(|session| session.name == name);
        let fault = Fault::ALL.iter().find(|known| known.to_string() == *fault);
        if let (Some(session), Some(&fault), Ok(step)) = (session, fault, step.parse()) {
            let faults = vec![PlannedFault { step, fault }];
            let world = matrix::run_session(&base, session, faults.clone());
            for line in &world.lines {
                println!("{:>6} ms  {}", line.at, line.text);
            }
            for violation in matrix::run_cell(&base, session, faults) {
                println!("{violation}");
            }
        }
        return;
    }
    for session in &sessions {
        let started = Instant::now();
        let steps = matrix::run_session(&base, session, Vec::new()).steps();
        let session_time = started.elapsed();
        let violations = matrix::run_cell(&base, session, Vec::new());
        println!(
            "{}: {steps} steps, session run in {session_time:?}, with final checks in {:?}",
            session.name,
            started.elapsed()
        );
        for violation in violations {
            println!("    {violation}");
        }
    }
}
