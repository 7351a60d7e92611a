//! Child processes that end with the test that started them, and whose log is at hand when one does not come up.

use std::collections::VecDeque;
use std::fs;
use std::io::{BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, mpsc};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use super::lock;
use crate::CapacityError;

/// How long a process may take to start.
pub(super) const START_TIMEOUT: Duration = Duration::from_secs(20);

/// How many of the latest log lines of a process are retained.
const LOG_LINES: usize = 200;

/// Called with each line of a process's output.
type Heard = dyn Fn(&str) + Send + Sync;

/// A child process that is ended, by its id, when this is dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
    file: Option<PathBuf>,
    log: Arc<Mutex<VecDeque<String>>>,
    readers: Vec<JoinHandle<()>>,
}

/// A process that has come to listen.
pub(super) struct Listening {
    /// The process.
    pub(super) process: Process,
    /// Where it listens.
    pub(super) address: SocketAddr,
    /// When its line of that came.
    pub(super) at: Instant,
}

impl Process {
    /// Starts a program whose lines, of both its outputs, are retained and passed to `line` as they arrive.
    ///
    /// # Errors
    /// It does not start.
    fn start(mut command: Command, file: Option<PathBuf>, line: Arc<Heard>) -> Result<Self, CapacityError> {
        let started = command.stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::piped()).spawn();
        let mut child =
            started.map_err(|cause| CapacityError::run(format!("starting {command:?}"), cause))?;
        let log: Arc<Mutex<VecDeque<String>>> = Arc::default();
        let outputs: [Option<Box<dyn Read + Send>>; 2] = [
            child.stdout.take().map(|output| Box::new(output) as Box<dyn Read + Send>),
            child.stderr.take().map(|output| Box::new(output) as Box<dyn Read + Send>),
        ];
        let mut readers = Vec::new();
        for output in outputs.into_iter().flatten() {
            let (log, line) = (Arc::clone(&log), Arc::clone(&line));
            // Ends with the process, whose end closes the pipe.
            readers.push(thread::spawn(move || {
                for text in BufReader::new(output).lines().map_while(Result::ok) {
                    line(&text);
                    let mut log = lock(&log);
                    if log.len() == LOG_LINES {
                        log.pop_front();
                    }
                    log.push_back(text);
                }
            }));
        }
        Ok(Self { child, file, log, readers })
    }

    /// Starts a program, and waits until a line of it ends with the address where it listens; gives both, and when
    /// that came.
    ///
    /// # Errors
    /// It does not start, or does not come to listen.
    pub(super) fn listening(
        command: Command,
        file: Option<PathBuf>,
        line: impl Fn(&str) + Send + Sync + 'static,
    ) -> Result<Listening, CapacityError> {
        let (listens, listening) = mpsc::channel();
        let place = format!("starting {}", command.get_program().display());
        let process = Self::start(
            command,
            file,
            Arc::new(move |text| {
                if let Some((_, address)) = text.rsplit_once(" on ")
                    && text.contains("listen")
                    && let Ok(address) = address.trim().parse::<SocketAddr>()
                {
                    // The receiver is gone once the first address has arrived.
                    let _ = listens.send((address, Instant::now()));
                }
                line(text);
            }),
        )?;
        match listening.recv_timeout(START_TIMEOUT) {
            Ok((address, at)) => Ok(Listening { process, address, at }),
            Err(_) => Err(CapacityError::run(place, format!("it does not listen: {}", process.last_words()))),
        }
    }

    /// Whether it has ended by itself.
    pub(super) fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// The process id.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Ends it, and gives the latest lines of its log up to its end.
    pub(super) fn last_words(mut self) -> String {
        // The process may have exited already.
        let _ = self.child.kill();
        for reader in self.readers.drain(..) {
            // A reader that panicked leaves the lines that it had read.
            let _ = reader.join();
        }
        let log = lock(&self.log);
        log.iter().map(String::as_str).collect::<Vec<_>>().join("; ")
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // The process may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
        if let Some(file) = &self.file {
            // A file that stays lies among the temporary files.
            let _ = fs::remove_file(file);
        }
    }
}

/// A path of this process's own among the temporary files.
pub(super) fn own_path(name: &str) -> PathBuf {
    static NUMBER: AtomicUsize = AtomicUsize::new(0);
    let number = NUMBER.fetch_add(1, Ordering::Relaxed);
    std::env::temp_dir().join(format!("capacity-{}-{number}-{name}", std::process::id()))
}
