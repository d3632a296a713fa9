//! Daemon of every machine on the users' platform.

use std::process::ExitCode;

fn main() -> ExitCode {
    daisymast_node::process::main()
}
