//! Sends the lines of one watch. After a change, an update is sent as soon as the reader has accepted the line before
//! it; changes in between are merged into one update. A heartbeat is sent if there is no change.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::{Instant, Interval, MissedTickBehavior, interval_at, sleep_until};

use super::connection::ConnectionControl;
use super::limits::OpenWatch;
use super::line_cache::LineKey;
use super::query::WatchQuery;
use super::response::{Delivery, Line};
use super::{Server, Source};
use crate::document::Update;
use crate::host::log::log;
use crate::parents::HEARTBEAT_EVERY;
use crate::state::State;

/// Time without any accepted byte of a line after which the reader of a watch is disconnected.
const STALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Encoded line of a watch.
pub(super) struct EncodedLine {
    /// Bytes of the line, with its line break.
    pub bytes: Bytes,
    /// Index of the newest change that the reader has once it has received the line.
    pub index: u64,
}

/// Content of the next line of a watch.
enum LineContent {
    /// Changes since the last line, or a snapshot.
    Update(Update),
    /// Empty line, which shows that the connection and the server work.
    Heartbeat,
}

/// Outcome of sending a line.
enum SendOutcome {
    /// The whole line was written to the socket, or dropped with its connection.
    Delivered,
    /// The connection was closed.
    Closed,
    /// The reader accepted no bytes of the line for `STALL_TIMEOUT`.
    Stalled,
}

impl<S: Source> Server<S> {
    /// Starts the task of a watch, and returns the channel on which its lines arrive. The task ends when the connection
    /// is closed, when the reader stalls, or at shutdown.
    pub(super) fn open_watch(
        self: &Rc<Self>,
        query: WatchQuery,
        control: &Rc<ConnectionControl>,
    ) -> mpsc::Receiver<Line> {
        let (lines, receiver) = mpsc::channel(1);
        spawn_local(Rc::clone(self).stream_watch(query, lines, Rc::clone(control)));
        receiver
    }

    /// Sends the lines of a watch until the connection is closed, the reader stalls, or the server shuts down.
    async fn stream_watch(
        self: Rc<Self>,
        query: WatchQuery,
        lines: mpsc::Sender<Line>,
        control: Rc<ConnectionControl>,
    ) {
        let _open = OpenWatch::new(&self.open_watches);
        let (mut changed, mut shutdown) = (self.changed.subscribe(), self.shutdown.subscribe());
        let mut heartbeat = self.heartbeat();
        let (mut since, mut heartbeat_due) = (query.since, true);
        loop {
            changed.borrow_and_update();
            if let Some(line) = self.next_line(since, &query, heartbeat_due) {
                match send(&lines, line.bytes).await {
                    SendOutcome::Delivered => since = line.index,
                    SendOutcome::Closed => return,
                    SendOutcome::Stalled => {
                        let seconds = STALL_TIMEOUT.as_secs();
                        log(format_args!(
                            "closed the watch of reader {:?}: it accepted no data for {seconds} s",
                            query.name
                        ));
                        control.close_stalled();
                        return;
                    }
                }
            }
            heartbeat_due = tokio::select! {
                biased;
                _ = shutdown.wait_for(|shutdown| *shutdown) => return,
                () = lines.closed() => return,
                _ = changed.changed() => false,
                _ = heartbeat.tick() => true,
            };
        }
    }

    /// Creates the heartbeat timer of a watch, which starts at a random time and does not restart with each line. The
    /// heartbeats of all watches thus stay spread in time, even after a change that is sent to all of them.
    fn heartbeat(&self) -> Interval {
        let first = HEARTBEAT_EVERY.mul_f64(self.rng.borrow_mut().rand_float());
        let mut heartbeat = interval_at(Instant::now() + first, HEARTBEAT_EVERY);
        heartbeat.set_missed_tick_behavior(MissedTickBehavior::Delay);
        heartbeat
    }

    /// Returns the next line for a reader that has reached the index `since`, or `None` if there is nothing to send.
    pub(super) fn next_line(
        &self,
        since: u64,
        query: &WatchQuery,
        heartbeat_due: bool,
    ) -> Option<EncodedLine> {
        let stale_s = self.source.stale_s();
        let line = self.source.with_state(|state| {
            let key = LineKey { scopes: query.scopes.clone(), since, stale_s };
            if let Some(bytes) = self.lines.borrow().get(&key) {
                return Some(EncodedLine { bytes, index: state.index() });
            }
            let update = match next_content(state, since, query, stale_s, heartbeat_due)? {
                LineContent::Update(update) => update,
                LineContent::Heartbeat => {
                    return Some(EncodedLine { bytes: Bytes::from_static(b"\n"), index: since });
                }
            };
            let bytes = encode(&update)?;
            if !update.documents.is_empty() || update.snapshot {
                self.lines.borrow_mut().insert(key, bytes.clone());
            }
            Some(EncodedLine { bytes, index: update.index })
        });
        line.flatten()
    }
}

/// Returns the content of the next line for a reader that has reached the index `since`, or `None` if there is nothing
/// to send.
fn next_content(
    state: &State,
    since: u64,
    query: &WatchQuery,
    stale_s: u64,
    heartbeat_due: bool,
) -> Option<LineContent> {
    let update = if heartbeat_due {
        state.next_update(since, &query.wanted, stale_s)
    } else {
        state.since(since, &query.wanted)
    };
    match update {
        Some(update) => Some(LineContent::Update(Update { stale_s, ..update })),
        None if !heartbeat_due => None,
        None if query.follow => Some(LineContent::Heartbeat),
        // A single response is a JSON object even if nothing has changed.
        None => Some(LineContent::Update(Update {
            index: state.index(),
            snapshot: false,
            after: since,
            stale_s,
            documents: Vec::new(),
        })),
    }
}

/// Encodes an update as a line of JSON. Returns `None` and logs the error if that fails.
fn encode(update: &Update) -> Option<Bytes> {
    match serde_json::to_vec(update) {
        Ok(mut text) => {
            text.push(b'\n');
            Some(text.into())
        }
        Err(error) => {
            log(format_args!(
                "cannot encode an update as JSON, the next change or heartbeat tries again: {error}"
            ));
            None
        }
    }
}

/// Sends a line, and waits until it has been written to the socket. If the future is dropped, the line may still be
/// sent.
async fn send(lines: &mpsc::Sender<Line>, bytes: Bytes) -> SendOutcome {
    let line = Line::new(bytes);
    let delivery = line.delivery();
    if lines.send(line).await.is_err() {
        return SendOutcome::Closed;
    }
    tokio::select! {
        () = delivery.finished() => SendOutcome::Delivered,
        () = lines.closed() => SendOutcome::Closed,
        () = stalled(&delivery) => SendOutcome::Stalled,
    }
}

/// Waits until the socket has accepted no bytes of a line for `STALL_TIMEOUT`.
async fn stalled(delivery: &Delivery) {
    loop {
        let deadline = delivery.last_progress() + STALL_TIMEOUT;
        if deadline <= Instant::now() {
            return;
        }
        sleep_until(deadline).await;
    }
}
