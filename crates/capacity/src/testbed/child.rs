//! Child processes that are killed when the value that owns them is dropped, and whose latest log lines are available
//! for the error message when one does not start.

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

/// Time after its start within which a process must listen, and a balancer must pass its health check.
pub(super) const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Number of the latest log lines of a process that are retained.
const LOG_LINES: usize = 200;

/// Callback for each line that a process writes to its standard output or standard error.
type LineCallback = dyn Fn(&str) + Send + Sync;

/// A child process that is killed when this value is dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
    file: Option<PathBuf>,
    log: Arc<Mutex<VecDeque<String>>>,
    readers: Vec<JoinHandle<()>>,
}

/// A process that has reported the address on which it listens.
pub(super) struct Listening {
    /// The listening process.
    pub(super) process: Process,
    /// Address on which the process listens.
    pub(super) address: SocketAddr,
    /// Time at which the log line with the process's address was read.
    pub(super) at: Instant,
}

impl Process {
    /// Starts a program. The lines of its standard output and standard error are passed to `line` as they arrive, and
    /// the latest are retained.
    ///
    /// # Errors
    /// The program cannot be started.
    fn start(
        mut command: Command,
        file: Option<PathBuf>,
        line: Arc<LineCallback>,
    ) -> Result<Self, CapacityError> {
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
            // The thread ends when the process exits, because that closes the pipe.
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

    /// Starts a program, and waits until a line of its output contains `listen` and ends with ` on ` and an address.
    ///
    /// # Errors
    /// The program does not start, or exits or takes longer than [`START_TIMEOUT`] before it reports an address.
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
                    // The receiver has been dropped if this is not the first address.
                    let _ = listens.send((address, Instant::now()));
                }
                line(text);
            }),
        )?;
        match listening.recv_timeout(START_TIMEOUT) {
            Ok((address, at)) => Ok(Listening { process, address, at }),
            Err(_) => Err(CapacityError::run(
                place,
                format!("it reported no address; its log: {}", process.kill_and_read_log()),
            )),
        }
    }

    /// Whether the process has exited.
    pub(super) fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// Id of the child process.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Kills the process, and returns its latest log lines, including those written until it ended.
    pub(super) fn kill_and_read_log(mut self) -> String {
        // The process may have exited already.
        let _ = self.child.kill();
        for reader in self.readers.drain(..) {
            // If a reader has panicked, the lines that it read before are still in the log.
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
            // A file that cannot be removed is left in the temporary folder.
            let _ = fs::remove_file(file);
        }
    }
}

/// A path in the temporary folder that is unique to this process and this call.
pub(super) fn unique_temp_path(name: &str) -> PathBuf {
    static NUMBER: AtomicUsize = AtomicUsize::new(0);
    let number = NUMBER.fetch_add(1, Ordering::Relaxed);
    std::env::temp_dir().join(format!("capacity-{}-{number}-{name}", std::process::id()))
}
