//! The lines of one watch: each change as soon as the reader has accepted the line before, merged to the newest, and a
//! heartbeat where there is none.

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

/// A reader that accepts nothing of a line for so long is closed.
const STALL_TIMEOUT: Duration = Duration::from_secs(10);

/// An encoded line, and the index that its reader stands at once it has it.
pub(super) struct EncodedLine {
    pub bytes: Bytes,
    pub index: u64,
}

/// What a reader is sent next.
enum Content {
    Update(Update),
    /// An empty line.
    Heartbeat,
}

/// How the sending of a line ended.
enum Sent {
    Delivered,
    Closed,
    Stalled,
}

impl<S: Source> Server<S> {
    /// Starts a watch; its lines come over the channel. Its task ends with the connection, by a stall or at shutdown.
    pub(super) fn open_watch(
        self: &Rc<Self>,
        query: WatchQuery,
        control: &Rc<ConnectionControl>,
    ) -> mpsc::Receiver<Line> {
        let (lines, receiver) = mpsc::channel(1);
        spawn_local(Rc::clone(self).stream_watch(query, lines, Rc::clone(control)));
        receiver
    }

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
                    Sent::Delivered => since = line.index,
                    Sent::Closed => return,
                    Sent::Stalled => {
                        let seconds = STALL_TIMEOUT.as_secs();
                        log(format_args!("closed reader {:?}: it took nothing for {seconds} s", query.name));
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

    /// By itself and not counted from the last line, so that heartbeats stay spread after a change for all.
    fn heartbeat(&self) -> Interval {
        let first = HEARTBEAT_EVERY.mul_f64(self.draws.borrow_mut().rand_float());
        let mut heartbeat = interval_at(Instant::now() + first, HEARTBEAT_EVERY);
        heartbeat.set_missed_tick_behavior(MissedTickBehavior::Delay);
        heartbeat
    }

    /// The next line of a reader that stands at an index, if there is one.
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
                Content::Update(update) => update,
                Content::Heartbeat => {
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

/// What a reader that stands at an index is sent next, if anything.
fn next_content(
    state: &State,
    since: u64,
    query: &WatchQuery,
    stale_s: u64,
    heartbeat_due: bool,
) -> Option<Content> {
    let update = if heartbeat_due {
        state.next_update(since, &query.wanted, stale_s)
    } else {
        state.since(since, &query.wanted)
    };
    match update {
        Some(update) => Some(Content::Update(Update { stale_s, ..update })),
        None if !heartbeat_due => None,
        None if query.follow => Some(Content::Heartbeat),
        // One answer is an object also where nothing has changed.
        None => Some(Content::Update(Update {
            index: state.index(),
            snapshot: false,
            after: since,
            stale_s,
            documents: Vec::new(),
        })),
    }
}

fn encode(update: &Update) -> Option<Bytes> {
    match serde_json::to_vec(update) {
        Ok(mut text) => {
            text.push(b'\n');
            Some(text.into())
        }
        Err(error) => {
            log(format_args!("cannot encode a line: {error}"));
            None
        }
    }
}

/// Sends a line and waits until its reader has accepted all of it. Where it is dropped, the line may still go out.
async fn send(lines: &mpsc::Sender<Line>, bytes: Bytes) -> Sent {
    let line = Line::new(bytes);
    let delivery = line.delivery();
    if lines.send(line).await.is_err() {
        return Sent::Closed;
    }
    tokio::select! {
        () = delivery.finished() => Sent::Delivered,
        () = lines.closed() => Sent::Closed,
        () = stalled(&delivery) => Sent::Stalled,
    }
}

/// Waits until a line has made no progress for too long.
async fn stalled(delivery: &Delivery) {
    loop {
        let deadline = delivery.last_progress() + STALL_TIMEOUT;
        if deadline <= Instant::now() {
            return;
        }
        sleep_until(deadline).await;
    }
}
