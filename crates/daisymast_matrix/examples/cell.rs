//! Prints the number of steps of each session, or plays one cell and prints its lines.

use std::time::Instant;

use daisymast_matrix::fault::{Armed, Fault};
use daisymast_matrix::matrix;

#[expect(clippy::print_stdout, reason = "the output of a command")]
fn main() {
    let started = Instant::now();
    let (base, sessions) = matrix::setting();
    println!("settled after {:?}", started.elapsed());
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    if let [name, step, fault] = arguments.as_slice() {
        let session = sessions.iter().find(|session| session.name == name);
        let fault = Fault::ALL.iter().find(|known| known.to_string() == *fault);
        if let (Some(session), Some(&fault), Ok(step)) = (session, fault, step.parse()) {
            let armed = vec![Armed { step, fault }];
            let world = matrix::play(&base, session, armed.clone());
            for line in &world.lines {
                println!("{:>6} ms  {}", line.at, line.text);
            }
            for violation in matrix::run_cell(&base, session, armed) {
                println!("{violation}");
            }
        }
        return;
    }
    for session in &sessions {
        let started = Instant::now();
        let steps = matrix::play(&base, session, Vec::new()).steps();
        let played = started.elapsed();
        let violations = matrix::run_cell(&base, session, Vec::new());
        println!(
            "{}: {steps} steps, play {played:?}, cell {:?}",
            session.name,
            started.elapsed()
        );
        for violation in violations {
            println!("    {violation}");
        }
    }
}
