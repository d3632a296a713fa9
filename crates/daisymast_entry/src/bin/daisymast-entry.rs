//! Executable of the entry daemon; see [`daisymast_entry::command`].

use std::process::ExitCode;

fn main() -> ExitCode {
    daisymast_entry::command::main()
}
