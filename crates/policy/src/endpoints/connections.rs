//! Estimates how many connections are open to an endpoint.
//!
//! The embedding program owns the connections. Their number matters to the decisions only where a handshake has a cost,
//! so it is estimated here from the starts and ends of attempts, without asking the program. The module owns the
//! estimate for one endpoint.

use crate::interface::Permissions;

/// Estimated connections to an endpoint.
#[derive(Debug)]
pub struct Connections {
    open: u32,
    /// Time at which a connection was last used, in seconds of the clock.
    last_used: f64,
}

impl Connections {
    /// Creates an estimate of no open connections.
    #[must_use]
    pub fn new(now: f64) -> Self {
        Self { open: 0, last_used: now }
    }

    /// Whether an open connection has a free stream beside `in_flight` attempts.
    #[must_use]
    pub fn has_free_stream(&self, now: f64, in_flight: u32, permissions: &Permissions) -> bool {
        let streams = self.open.saturating_mul(permissions.streams_per_connection);
        in_flight < streams && !self.are_closed_by_keepalive(now, in_flight, permissions)
    }

    /// Counts a newly opened connection. Connections that were idle for longer than the keepalive count as closed
    /// first.
    pub fn record_opened(&mut self, now: f64, in_flight: u32, permissions: &Permissions) {
        let are_closed = self.are_closed_by_keepalive(now, in_flight, permissions);
        self.open = if are_closed { 1 } else { self.open.saturating_add(1) };
        self.last_used = now;
    }

    /// Records that an attempt begins or ends now.
    pub fn record_use(&mut self, now: f64) {
        self.last_used = now;
    }

    /// Counts a closed connection.
    pub fn record_closed(&mut self) {
        self.open = self.open.saturating_sub(1);
    }

    fn are_closed_by_keepalive(&self, now: f64, in_flight: u32, permissions: &Permissions) -> bool {
        in_flight == 0 && now - self.last_used >= permissions.idle_timeout.as_secs_f64()
    }
}
