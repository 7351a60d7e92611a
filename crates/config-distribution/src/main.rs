//! The binary of the distribution.

#![warn(clippy::pedantic)]

use std::process::ExitCode;

fn main() -> ExitCode {
    config_distribution::command::run(std::env::args_os())
}
