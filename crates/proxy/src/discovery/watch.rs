//! Interprets the lines of a watch on discovery and notifies the [`WatchObserver`].

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use super::client::{self, DiscoveryWatchError, FirstLineTimeout};
use super::update::Update;
use crate::pool::Pool;

/// Time within which a balancer must learn of a change, counted from when discovery has the change and can be reached,
/// whatever calls failed before. The worst case from when discovery can be reached again, in seconds, where the list is
/// requested from discovery and where it is pushed to an agent on the balancer's machine:
///
/// | | requested | pushed to an agent |
/// | --- | --- | --- |
/// | a call that still hangs ([`FirstLineTimeout`]: connect, response head and first whole line together) | 2 | 1 |
/// | back-off after it (the policy uses 0.4 of this limit) | 2.4 | 0 |
/// | until the policy's next maintenance | 0.2 | 0.2 |
/// | left for the answer | 1.4 | 4.8 |
///
/// After the last line of a watch that falls silent: silence timeout 3.2, back-off 0.5 or 0, maintenance 0.2, which
/// leaves 2.1 or 2.6. After a reload the back-off is that of a first failure, 0.5 or 0, and 4 s are allowed.
pub const MAX_NOTIFICATION_DELAY: Duration = Duration::from_secs(6);

/// Receives the events of a watch on discovery.
pub trait WatchObserver {
    /// Called for an update. If the first line of a watch is empty, no endpoint has changed since the version that the
    /// watch started from, and `update` has that version and no entries.
    fn on_update(self: &Rc<Self>, update: Update);

    /// Called for each empty line after the first line: the watch is alive. Other lines are passed to
    /// [`Self::on_update`].
    fn on_heartbeat(&self);

    /// Called when the watch with this number has ended. The watch makes no further calls of the observer after it.
    fn on_watch_ended(self: &Rc<Self>, number: u64, cause: &DiscoveryWatchError);
}

/// Parameters of a watch to be opened.
#[derive(Debug, Clone, Copy)]
pub struct WatchStart {
    /// Address on which discovery listens.
    pub address: SocketAddr,
    /// Time that the watch may take until its first whole line.
    pub first_line_timeout: FirstLineTimeout,
    /// Version of the list of endpoints that the balancer has; the changes after it are requested.
    pub since: u64,
    /// Number that distinguishes this watch on discovery from earlier ones.
    pub number: u64,
}

/// Watches the endpoint list until the watch ends, then notifies the observer of the end. The connection counts towards
/// the socket limit of `pool`.
///
/// Cancellation: dropping the future closes the connection without a call of `on_watch_ended`. The observer handles
/// each whole line without an await in between, so no line is handled in part.
pub async fn watch(observer: Rc<impl WatchObserver>, pool: Rc<Pool>, start: WatchStart) {
    let WatchStart { address, first_line_timeout, since, number } = start;
    let mut established = false;
    let line = |line: &[u8]| {
        if !line.is_empty() {
            observer.on_update(serde_json::from_slice(line)?);
        } else if !established {
            // Nothing has changed since that version. The observer learns from the update that the watch is
            // established.
            observer.on_update(Update { index: since, snapshot: false, endpoints: Vec::new() });
        } else {
            observer.on_heartbeat();
        }
        established = true;
        Ok(())
    };
    let Err(error) = client::follow(&pool, address, first_line_timeout, since, line).await;
    observer.on_watch_ended(number, &error);
}
