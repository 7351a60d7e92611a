//! The watch on discovery: what each line of the call means for the [`WatchObserver`].

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use super::client::{self, BrokenError, Patience};
use super::update::Update;
use crate::pool::Pool;

/// A change counts as notified this long after discovery had it and could be reached, whatever call failed before. At its
/// worst the way there is, in seconds, from when it can be reached again:
///
/// | | asked for | pushed to an agent |
/// | --- | --- | --- |
/// | a call that still hangs ([`Patience`]: connect, head and first whole line together) | 2 | 1 |
/// | back-off after it (0.4 of this time, by the decisions) | 2.4 | 0 |
/// | until the next sweep of the decisions | 0.2 | 0.2 |
/// | left for the answer | 1.4 | 4.8 |
///
/// And from the last line of a watch that fell silent: its silence 3.2, back-off 0.5 or 0, sweep 0.2; left are 2.1
/// and 2.6. A reload starts at the back-off of a first failure, 0.5 or 0, and has 4 s.
pub const NOTIFIED_WITHIN: Duration = Duration::from_secs(6);

/// Is notified of what a watch brings.
pub trait WatchObserver {
    /// An update has come, or the first line of a watch has said that nothing has changed since it asked.
    fn on_update(self: &Rc<Self>, update: Update);

    /// A later line was empty: the watch is alive.
    fn on_heartbeat(&self);

    /// The watch of that number has ended; it notifies of nothing more.
    fn on_broken(self: &Rc<Self>, number: u64, why: &BrokenError);
}

/// A watch to be opened.
#[derive(Debug, Clone, Copy)]
pub struct WatchStart {
    /// Where discovery listens.
    pub address: SocketAddr,
    /// How long it may take to the first whole line.
    pub patience: Patience,
    /// The version of the list in hand.
    pub since: u64,
    /// Distinguishes this watch from those before it.
    pub number: u64,
}

/// Watches the list until the watch ends, then notifies the observer of its end. The connection counts against the
/// sockets of `pool`.
///
/// Cancellation: dropping the future closes the connection, and the observer is not notified of that end. Each line is
/// handed over whole, without an await in between.
pub async fn watch(observer: Rc<impl WatchObserver>, pool: Rc<Pool>, start: WatchStart) {
    let WatchStart { address, patience, since, number } = start;
    let mut stands = false;
    let line = |line: &[u8]| {
        if !line.is_empty() {
            observer.on_update(serde_json::from_slice(line)?);
        } else if !stands {
            // Nothing has changed since; the watch stands all the same.
            observer.on_update(Update { index: since, snapshot: false, endpoints: Vec::new() });
        } else {
            observer.on_heartbeat();
        }
        stands = true;
        Ok(())
    };
    let Err(error) = client::follow(&pool, address, patience, since, line).await;
    observer.on_broken(number, &error);
}
