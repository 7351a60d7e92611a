//! Child processes, which read commands from standard input and exit when it closes. A child is killed when its
//! [`Child`] guard is dropped.

use std::io::{BufRead, BufReader, Write};
use std::process::{self, ChildStdin, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::Sender;
use std::thread;

use tokio::signal::unix::{SignalKind, signal};

use crate::CapacityError;

/// A line, or the end, of the standard output of a child process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Output {
    /// Number of the child process, as passed to [`Child::start`].
    pub process: usize,
    /// The line without its line feed; `None` at the end of the output.
    pub line: Option<String>,
}

static INTERRUPTED: AtomicBool = AtomicBool::new(false);

/// Installs handlers for SIGTERM and SIGINT that let the run end in order, so that the guards of the child processes
/// are dropped.
///
/// # Errors
/// The handlers cannot be installed.
pub fn handle_signals() -> Result<(), CapacityError> {
    let to_error = |cause| CapacityError::run("signals", cause);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(to_error)?;
    let (mut terminate, mut interrupt) = {
        let _within = runtime.enter();
        let install = |kind| signal(kind).map_err(to_error);
        (install(SignalKind::terminate())?, install(SignalKind::interrupt())?)
    };
    thread::spawn(move || {
        runtime.block_on(async {
            tokio::select! { _ = terminate.recv() => {}, _ = interrupt.recv() => {} }
        });
        INTERRUPTED.store(true, Ordering::Release);
    });
    Ok(())
}

/// Checks that neither SIGTERM nor SIGINT has been received.
///
/// # Errors
/// One of these signals has been received.
pub fn check_interrupted() -> Result<(), CapacityError> {
    if INTERRUPTED.load(Ordering::Acquire) {
        Err(CapacityError::run("signals", "asked to end"))
    } else {
        Ok(())
    }
}

/// A child process, which is killed when this guard is dropped.
#[derive(Debug)]
pub struct Child {
    name: String,
    process: process::Child,
    input: Option<ChildStdin>,
}

impl Child {
    /// Starts the process. The lines of its standard output are sent to `lines` with the given number; without `lines`,
    /// the output is discarded.
    ///
    /// # Errors
    /// The program cannot be started.
    pub fn start(
        name: &str,
        command: &mut Command,
        lines: Option<(usize, Sender<Output>)>,
    ) -> Result<Self, CapacityError> {
        let output = if lines.is_some() { Stdio::piped() } else { Stdio::null() };
        command.stdin(Stdio::piped()).stdout(output).stderr(Stdio::null());
        let mut process = command.spawn().map_err(|cause| {
            CapacityError::run(format!("{name}: {}", command.get_program().display()), cause)
        })?;
        if let (Some((number, lines)), Some(output)) = (lines, process.stdout.take()) {
            thread::spawn(move || {
                for line in BufReader::new(output).lines().map_while(Result::ok) {
                    if lines.send(Output { process: number, line: Some(line) }).is_err() {
                        return;
                    }
                }
                // Sending fails if the receiver has been dropped, in which case nobody needs the end of the output.
                let _ = lines.send(Output { process: number, line: None });
            });
        }
        let input = process.stdin.take();
        Ok(Self { name: name.to_owned(), process, input })
    }

    /// Returns the process id of the child process.
    #[must_use]
    pub fn pid(&self) -> u32 {
        self.process.id()
    }

    /// Writes a line to the standard input of the process.
    ///
    /// # Errors
    /// The process has exited.
    pub fn send_line(&mut self, line: &str) -> Result<(), CapacityError> {
        let written = self.input.as_mut().map(|input| writeln!(input, "{line}").and_then(|()| input.flush()));
        match written {
            Some(Ok(())) => Ok(()),
            Some(Err(cause)) => Err(CapacityError::run(&self.name, cause)),
            None => Err(CapacityError::run(&self.name, "standard input is closed")),
        }
    }
}

impl Drop for Child {
    fn drop(&mut self) {
        // Killing fails if the process has already exited; it is then only reaped.
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}
