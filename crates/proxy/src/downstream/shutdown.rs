//! The drain between SIGTERM and the end of the program.

use std::time::Duration;

/// After SIGTERM the platform kills no sooner than the longest deadline, counted as this where it is longer...
pub(super) const KILL_DEADLINE_CAP: Duration = Duration::from_secs(3);
/// ...and this much more.
pub(super) const KILL_DELAY: Duration = Duration::from_millis(700);
/// How long connections stay open after SIGTERM at the least: the front goes on sending for 0.4 s.
pub(super) const DRAIN_OPEN_MIN: Duration = Duration::from_millis(500);
/// Before the earliest kill by this much, each answer closes its connection and idle ones are closed: until then
/// clients go on using theirs, and may have no other balancer.
pub(super) const CLOSE_BEFORE_KILL: Duration = Duration::from_millis(900);
/// Before the earliest kill by this much, what came after SIGTERM must have its answer.
pub(super) const ANSWER_BEFORE_KILL: Duration = Duration::from_millis(350);
/// How long new connections are let in after that at the least.
pub(super) const LATE_ACCEPT_PERIOD: Duration = Duration::from_millis(150);
/// How long no connection must have been open before the program ends: a client whose request crossed the close of
/// its connection comes with a new one.
pub(super) const QUIET_PERIOD: Duration = Duration::from_millis(50);
/// How often the end of a drain is looked for.
pub(super) const QUIET_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Where the program stands between SIGTERM and its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Phase {
    Serving,
    /// Each answer closes its connection, and idle ones are closed.
    Closing,
}
