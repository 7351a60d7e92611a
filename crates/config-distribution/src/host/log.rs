//! Log lines for the operator, on standard error. A separate thread writes them, so that a reader which keeps standard
//! error open without reading it cannot block the process, and a closed standard error cannot end it.

use std::fmt::Arguments;
use std::io::Write;
use std::sync::LazyLock;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread;
use std::time::Duration;

/// Maximum number of lines that wait to be written. Further lines are dropped and counted.
const MAX_QUEUED_LINES: usize = 256;

/// Message to the log thread.
enum Line {
    /// Text of a log line, without the line break.
    Text(String),
    /// Request to confirm on the channel that all lines queued before this message have been written.
    Flush(SyncSender<()>),
}

/// Queue of the log thread, which starts with the first line.
static WRITER: LazyLock<SyncSender<Line>> = LazyLock::new(|| {
    let (sender, lines) = sync_channel(MAX_QUEUED_LINES);
    // If the thread cannot be started, log lines are lost, but the process works.
    let _ = thread::Builder::new().name("log".to_owned()).spawn(move || write(&lines));
    sender
});

/// Number of log lines dropped since the last one that was queued.
static DROPPED: AtomicU32 = AtomicU32::new(0);

/// Writes the queued lines to standard error, and confirms flushes.
fn write(lines: &Receiver<Line>) {
    for line in lines {
        // Errors are ignored: a closed standard error, or a caller that no longer waits, cannot be reported to anyone.
        match line {
            Line::Text(text) => drop(writeln!(std::io::stderr(), "{text}")),
            Line::Flush(done) => drop(done.send(())),
        }
    }
}

/// Queues a log line of the configuration service without blocking. The line is dropped if the queue is full.
pub fn log(line: Arguments<'_>) {
    log_as("configuration", line);
}

/// Queues a log line as [`log`] does, with `part` as the name of the component that writes it.
pub fn log_as(part: &str, line: Arguments<'_>) {
    let dropped = DROPPED.swap(0, Ordering::Relaxed);
    let text = if dropped > 0 {
        format!("{part}: ({dropped} earlier lines dropped) {line}")
    } else {
        format!("{part}: {line}")
    };
    if WRITER.try_send(Line::Text(text)).is_err() {
        DROPPED.fetch_add(dropped + 1, Ordering::Relaxed);
    }
}

/// Waits until all lines queued so far have been written, for at most the given time.
pub fn flush(max_wait: Duration) {
    let (done, flushed) = sync_channel(1);
    if WRITER.try_send(Line::Flush(done)).is_ok() {
        // After a time-out the remaining lines are given up: nobody reads standard error.
        let _ = flushed.recv_timeout(max_wait);
    }
}
