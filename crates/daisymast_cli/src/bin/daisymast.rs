//! Executable of the operator command line; see [`daisymast_cli::run`].

use std::process::ExitCode;

fn main() -> ExitCode {
    daisymast_cli::run::main()
}
