//! Simulator adapter program: reads events from standard input and writes actions to standard output.
//!
//! It takes no arguments and exits at the end of the input. On an error, it writes one line to standard error and
//! exits with code 1.

#![warn(clippy::pedantic)]

use std::io::{self, BufReader, BufWriter};
use std::process::ExitCode;

use simulator_adapter::Host;

/// Size of the input and output buffers: large enough for many lines, so that a batch needs few system calls.
const BUFFER_BYTES: usize = 1 << 16;

fn main() -> ExitCode {
    let input = BufReader::with_capacity(BUFFER_BYTES, io::stdin().lock());
    let output = BufWriter::with_capacity(BUFFER_BYTES, io::stdout().lock());
    match Host::default().run(input, output) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("simulator-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}
