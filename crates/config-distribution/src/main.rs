//! The `config-distribution` program: origin, relay and publisher of the configuration.

#![warn(clippy::pedantic)]

use std::process::ExitCode;

fn main() -> ExitCode {
    config_distribution::command::run(std::env::args_os())
}
