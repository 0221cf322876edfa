//! Entry point of the `jayreach` program.

use std::process::ExitCode;

use jayreach::{cmd, startup_signals};

fn main() -> ExitCode {
    startup_signals::hold();
    cmd::main()
}
