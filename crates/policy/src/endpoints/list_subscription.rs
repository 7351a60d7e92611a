//! When to subscribe to discovery's list of endpoints, where it does not push it.
//!
//! A subscription that broke is opened anew after a backoff. Replicas whose subscriptions break together must not come
//! back together, so the pause is drawn. The module owns the time of the next subscription and the backoff.

use oorandom::Rand64;

use crate::interface::{DiscoveryMode, Settings};
use crate::random::between;

/// Seconds before a failed subscription is tried again, at first.
const MIN_BACKOFF_S: f64 = 0.5;
/// Largest wait for a subscription, in parts of the poll interval allowed.
const WAIT_PART: f64 = 0.4;
/// Poll interval in seconds where the settings name none.
const DEFAULT_POLL_INTERVAL_S: f64 = 10.0;

/// Why there is no subscription.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Interruption {
    /// It broke, or the request for it failed.
    Broken,
    /// Discovery is elsewhere now, so earlier failures tell nothing of it.
    Relocated,
}

/// The subscription to the list. Times are in seconds.
#[derive(Debug, Default)]
pub struct ListSubscription {
    /// When to subscribe next; never, while a subscription stands.
    next_at: f64,
    /// How long the latest pause was, at most.
    backoff_s: f64,
}

impl ListSubscription {
    /// Whether to subscribe now; if so, it takes note that the request is out.
    #[must_use]
    pub fn begin_if_due(&mut self, now: f64, settings: &Settings) -> bool {
        let is_due = settings.discovery != DiscoveryMode::Push && now >= self.next_at;
        if is_due {
            self.next_at = now + longest_wait(settings);
        }
        is_due
    }

    /// A list has come over it.
    pub fn record_update(&mut self) {
        self.next_at = f64::MAX;
        self.backoff_s = 0.0;
    }

    /// It is interrupted: subscribes again after a pause, which grows while that fails.
    pub fn back_off(&mut self, now: f64, why: Interruption, settings: &Settings, rng: &mut Rand64) {
        // Each agent has one replica alone, so there is nobody to come back together with.
        let has_own_agent = settings.discovery == DiscoveryMode::Agent;
        let most = if has_own_agent { 0.0 } else { longest_wait(settings).max(MIN_BACKOFF_S) };
        let before = if why == Interruption::Relocated { 0.0 } else { self.backoff_s };
        self.backoff_s = (before * 2.0).max(MIN_BACKOFF_S).min(most);
        self.next_at = now + between(rng, self.backoff_s / 2.0..self.backoff_s);
    }
}

fn longest_wait(settings: &Settings) -> f64 {
    settings.rules.poll_interval_max.map_or(DEFAULT_POLL_INTERVAL_S, |span| span.as_secs_f64()) * WAIT_PART
}
