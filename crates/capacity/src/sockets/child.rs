//! Processes that the rig starts: each has its commands on standard input, ends with it, and is ended with its guard.

use std::io::{BufRead, BufReader, Write};
use std::process::{self, ChildStdin, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::Sender;
use std::thread;

use tokio::signal::unix::{SignalKind, signal};

use crate::CapacityError;

/// What comes from a process on its standard output.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Output {
    /// The number of the process, as its starter gave it.
    pub process: usize,
    /// A line without its end; `None` once there are no more.
    pub line: Option<String>,
}

static INTERRUPTED: AtomicBool = AtomicBool::new(false);

/// Has SIGTERM and SIGINT end the run in order from now on, so that the guards of its processes still work.
///
/// # Errors
/// There is no runtime for it.
pub fn handle_signals() -> Result<(), CapacityError> {
    let wrong = |cause| CapacityError::run("signals", cause);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(wrong)?;
    let (mut terminate, mut interrupt) = {
        let _within = runtime.enter();
        let ask = |kind| signal(kind).map_err(wrong);
        (ask(SignalKind::terminate())?, ask(SignalKind::interrupt())?)
    };
    thread::spawn(move || {
        runtime.block_on(async {
            tokio::select! { _ = terminate.recv() => {}, _ = interrupt.recv() => {} }
        });
        INTERRUPTED.store(true, Ordering::Release);
    });
    Ok(())
}

/// Whether the run has been asked to end.
///
/// # Errors
/// It has.
pub fn check_interrupted() -> Result<(), CapacityError> {
    if INTERRUPTED.load(Ordering::Acquire) {
        Err(CapacityError::run("signals", "asked to end"))
    } else {
        Ok(())
    }
}

/// A process that ends when this is dropped.
#[derive(Debug)]
pub struct Child {
    name: String,
    process: process::Child,
    input: Option<ChildStdin>,
}

impl Child {
    /// Starts it. Its lines go to `lines` with the number; without `lines` nothing is read.
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
                // The reader may have gone first.
                let _ = lines.send(Output { process: number, line: None });
            });
        }
        let input = process.stdin.take();
        Ok(Self { name: name.to_owned(), process, input })
    }

    /// Its number at the kernel.
    #[must_use]
    pub fn pid(&self) -> u32 {
        self.process.id()
    }

    /// Tells it a line.
    ///
    /// # Errors
    /// It has gone.
    pub fn send_line(&mut self, line: &str) -> Result<(), CapacityError> {
        let written = self.input.as_mut().map(|input| writeln!(input, "{line}").and_then(|()| input.flush()));
        match written {
            Some(Ok(())) => Ok(()),
            Some(Err(cause)) => Err(CapacityError::run(&self.name, cause)),
            None => Err(CapacityError::run(&self.name, "has been ended")),
        }
    }
}

impl Drop for Child {
    fn drop(&mut self) {
        // One that has ended by itself is only waited for.
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}
