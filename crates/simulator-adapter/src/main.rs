//! The simulator's adapter as a program: events on standard input, actions on standard output.
//!
//! Takes no arguments. Ends with the input; an error is one line on standard error and exit code 1.

#![warn(clippy::pedantic)]

use std::io::{self, BufReader, BufWriter};
use std::process::ExitCode;

use simulator_adapter::Host;

/// Buffer space for many lines, so that a batch costs few system calls.
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
