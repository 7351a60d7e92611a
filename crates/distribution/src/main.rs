//! The binary of the distribution.

use std::process::ExitCode;

fn main() -> ExitCode {
    fennelhatch_distribution::command::run(std::env::args_os())
}
