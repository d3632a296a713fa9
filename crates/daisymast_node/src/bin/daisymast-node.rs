//! Node daemon: accepts requests of callers and, if elected, runs the scheduler.

use std::process::ExitCode;

fn main() -> ExitCode {
    daisymast_node::process::main()
}
