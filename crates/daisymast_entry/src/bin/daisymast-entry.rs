//! Entry daemon.

use std::process::ExitCode;

fn main() -> ExitCode {
    daisymast_entry::command::main()
}
