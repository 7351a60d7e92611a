//! Schedules subscriptions to the endpoint list, where service discovery does not push it.
//!
//! A broken subscription is opened again after a backoff. The backoff is random so that replicas whose subscriptions
//! break together do not reconnect together. The module owns the time of the next subscription and the backoff.

use oorandom::Rand64;

use crate::interface::{DiscoveryMode, Settings};
use crate::random::uniform;

/// Longest pause in seconds before the first retry of a failed subscription, and the lower bound of later ones.
const MIN_BACKOFF_S: f64 = 0.5;
/// Longest wait for the list after a try to subscribe, and longest backoff, as a fraction of the longest poll interval
/// allowed.
const MAX_WAIT_FRACTION: f64 = 0.4;
/// Longest poll interval for the endpoint list, in seconds, where the settings do not specify one.
const DEFAULT_POLL_INTERVAL_S: f64 = 10.0;

/// Why the subscription was interrupted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Interruption {
    /// The subscription broke, or the request for it failed.
    Broken,
    /// Discovery moved to another address, so earlier failures say nothing about the new one.
    Relocated,
}

/// Subscription to the endpoint list. Times are in seconds.
#[derive(Debug, Default)]
pub struct ListSubscription {
    /// Time at which to subscribe to the endpoint list next, in seconds of the clock; `f64::MAX` while a subscription
    /// is open.
    next_at: f64,
    /// Upper bound of the latest pause before a new attempt to subscribe to the endpoint list, in seconds.
    backoff_s: f64,
}

impl ListSubscription {
    /// Whether to subscribe now. If so, schedules the next try for the case that no list arrives.
    #[must_use]
    pub fn begin_if_due(&mut self, now: f64, settings: &Settings) -> bool {
        let is_due = settings.discovery != DiscoveryMode::Push && now >= self.next_at;
        if is_due {
            self.next_at = now + max_wait_s(settings);
        }
        is_due
    }

    /// Records that a list or an update has arrived over the subscription.
    pub fn record_update(&mut self) {
        self.next_at = f64::MAX;
        self.backoff_s = 0.0;
    }

    /// Schedules a new subscription after an interruption. The pause doubles with each consecutive failure.
    pub fn back_off(&mut self, now: f64, interruption: Interruption, settings: &Settings, rng: &mut Rand64) {
        // Each agent serves one replica only, so no other replica could reconnect to it at the same time.
        let has_own_agent = settings.discovery == DiscoveryMode::Agent;
        let max_backoff_s = if has_own_agent { 0.0 } else { max_wait_s(settings).max(MIN_BACKOFF_S) };
        let previous_backoff_s = if interruption == Interruption::Relocated { 0.0 } else { self.backoff_s };
        self.backoff_s = (previous_backoff_s * 2.0).max(MIN_BACKOFF_S).min(max_backoff_s);
        self.next_at = now + uniform(rng, self.backoff_s / 2.0..self.backoff_s);
    }
}

fn max_wait_s(settings: &Settings) -> f64 {
    settings.rules.poll_interval_max.map_or(DEFAULT_POLL_INTERVAL_S, |span| span.as_secs_f64())
        * MAX_WAIT_FRACTION
}
