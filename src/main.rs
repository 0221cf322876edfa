//! Entry point of the `jayreach` program.

use std::process::ExitCode;

fn main() -> ExitCode {
    jayreach::cmd::main()
}
