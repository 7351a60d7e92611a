//! Lines for the operator, on standard error. A thread of its own writes them: a log that somebody holds and nobody
//! reads must not stop a process, nor one that is closed end it.

use std::fmt::Arguments;
use std::io::Write;
use std::sync::LazyLock;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread;
use std::time::Duration;

/// Lines that may wait to be written; further ones are lost, and counted.
const MAX_QUEUED: usize = 256;

enum Line {
    Text(String),
    /// All before it has been written.
    Flush(SyncSender<()>),
}

static WRITER: LazyLock<SyncSender<Line>> = LazyLock::new(|| {
    let (sender, lines) = sync_channel(MAX_QUEUED);
    // Without the thread all lines are lost, and nothing else is.
    let _ = thread::Builder::new().name("log".to_owned()).spawn(move || write(&lines));
    sender
});

/// Lines lost since the last that was not.
static LOST: AtomicU32 = AtomicU32::new(0);

fn write(lines: &Receiver<Line>) {
    for line in lines {
        // Where standard error or the waiter has gone, there is nobody to say it to.
        match line {
            Line::Text(text) => drop(writeln!(std::io::stderr(), "{text}")),
            Line::Flush(reached) => drop(reached.send(())),
        }
    }
}

/// Writes a line sooner or later, or loses it; never waits.
pub fn log(line: Arguments<'_>) {
    log_as("configuration", line);
}

/// The same with the name of the part of the process that says it.
pub fn log_as(part: &str, line: Arguments<'_>) {
    let lost = LOST.swap(0, Ordering::Relaxed);
    let text =
        if lost > 0 { format!("{part}: ({lost} lines lost) {line}") } else { format!("{part}: {line}") };
    if WRITER.try_send(Line::Text(text)).is_err() {
        LOST.fetch_add(lost + 1, Ordering::Relaxed);
    }
}

/// Waits until the lines so far have been written, for `most` at the longest.
pub fn flush(most: Duration) {
    let (reached, mark) = sync_channel(1);
    if WRITER.try_send(Line::Flush(reached)).is_ok() {
        // Past that time the lines are lost, as any that nobody reads.
        let _ = mark.recv_timeout(most);
    }
}
