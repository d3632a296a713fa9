//! Operator command.

use std::process::ExitCode;

fn main() -> ExitCode {
    daisymast_cli::run::main()
}
