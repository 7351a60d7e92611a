//! Which parent to follow, and when: one at a time, in drawn order.
//!
//! A child has several parents, and any of them may be gone, silent, or cut off from the origin itself. Thousands of children
//! must not all go to the same one, nor come back at one moment. Times are since any zero; draws come from a seed.

use std::time::Duration;

use oorandom::Rand64;

/// How long the first whole line of a call may take, from the call on.
pub const FIRST_LINE: Duration = Duration::from_secs(2);
/// How long each next one may take; a parent's heartbeat comes every [`HEARTBEAT_EVERY`].
pub const PARENT_SILENCE_TIMEOUT: Duration = Duration::from_millis(3200);
/// How often a parent that has nothing to send sends a heartbeat, an empty line.
pub const HEARTBEAT_EVERY: Duration = Duration::from_secs(2);
/// The wait before the next parent is drawn up to this after a watch that stood, and up to twice as much after each
/// call that came to nothing.
pub const WAIT_FIRST: Duration = Duration::from_millis(250);
/// The wait is drawn up to this at most.
pub const MAX_WAIT: Duration = Duration::from_secs(1);
/// A watch that has sent lines for so long has stood, so that its end begins no backoff.
pub const STOOD: Duration = Duration::from_secs(2);
/// From here to twice this is drawn how stale a parent has to be before it is left.
pub const STALE: Duration = Duration::from_secs(2);
/// From here to twice this is drawn how long a stale parent is still followed when no other is known to be better.
pub const STALE_GRACE: Duration = Duration::from_secs(2);

/// Whether a process at a level may be read by one at another: levels grow away from the origin, which has 0, so that no
/// loop of relays can form. A reader that is no relay names no level.
#[must_use]
pub fn may_serve(own_level: u8, reader_level: Option<u8>) -> bool {
    reader_level.is_none_or(|reader| own_level < reader)
}

/// What to do next where no watch is up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Follow this one of the parents; [`Parents::ended`] must follow at its end.
    Follow(usize),
    /// Look for one again after so long.
    Wait(Duration),
}

/// What to do with a watch after one of its lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Go on.
    Stay,
    /// It is stale: end it and follow the next.
    Leave,
}

/// The parents of one child.
#[derive(Debug, Clone)]
pub struct Parents {
    draws: Rand64,
    order: Vec<usize>,
    /// Place in the order.
    at: usize,
    /// By place: seen as stale or not reached since one was last fresh, or since all were.
    worse: Vec<bool>,
    not_before: Duration,
    wait: Duration,
    /// The watch that is up, or the call for it.
    watch: Option<Watch>,
    /// When the newest line from above left the origin's side, as far as is known; from the first step on.
    fresh: Option<Duration>,
}

#[derive(Debug, Clone)]
struct Watch {
    began: Duration,
    stood: bool,
    max_stale: Duration,
    grace_until: Option<Duration>,
}

impl Parents {
    /// Parents by number, `0..count`, in an order drawn from the seed.
    #[must_use]
    pub fn new(count: usize, seed: u64) -> Self {
        let mut draws = Rand64::new(u128::from(seed));
        let mut order: Vec<usize> = (0..count).collect();
        for place in (1..count).rev() {
            #[allow(clippy::cast_possible_truncation, reason = "it is at most `place`, a usize")]
            let other = draws.rand_range(0..place as u64 + 1) as usize;
            order.swap(place, other);
        }
        Self {
            draws,
            order,
            at: 0,
            worse: vec![false; count],
            not_before: Duration::ZERO,
            wait: WAIT_FIRST,
            watch: None,
            fresh: None,
        }
    }

    /// Which to follow now, where no watch is up. Without parents it waits for ever.
    pub fn next(&mut self, now: Duration) -> Step {
        self.fresh.get_or_insert(now);
        let Some(&parent) = self.order.get(self.at) else { return Step::Wait(MAX_WAIT) };
        if now < self.not_before {
            return Step::Wait(self.not_before.saturating_sub(now));
        }
        let max_stale = STALE + self.draw(STALE);
        self.watch = Some(Watch { began: now, stood: false, max_stale, grace_until: None });
        Step::Follow(parent)
    }

    /// A line came that could be used, also an empty one (`stale_s` 0). One that was refused is none: the host ends the
    /// watch.
    pub fn line(&mut self, now: Duration, stale_s: u64) -> Verdict {
        let stale = Duration::from_secs(stale_s);
        self.fresh = self.fresh.max(Some(now.saturating_sub(stale)));
        let others_worse = (0..self.worse.len()).all(|place| place == self.at || self.worse[place]);
        let grace = STALE_GRACE + self.draw(STALE_GRACE);
        let Some(watch) = &mut self.watch else { return Verdict::Stay };
        watch.stood |= now >= watch.began + STOOD;
        if stale_s == 0 {
            watch.grace_until = None;
            self.worse.fill(false);
            return Verdict::Stay;
        }
        // An only parent is as good as any.
        if stale <= watch.max_stale || self.order.len() == 1 {
            return Verdict::Stay;
        }
        if others_worse && now < *watch.grace_until.get_or_insert(now + grace) {
            return Verdict::Stay;
        }
        // After the grace, the others are tried anew, each once.
        if others_worse {
            self.worse.fill(false);
        }
        self.worse[self.at] = true;
        Verdict::Leave
    }

    /// The watch ended, never came, or was left.
    pub fn ended(&mut self, now: Duration) {
        let Some(watch) = self.watch.take() else { return };
        if watch.stood {
            self.wait = WAIT_FIRST;
        } else {
            self.worse[self.at] = true;
        }
        self.not_before = now + self.draw(self.wait);
        self.wait = (2 * self.wait).min(MAX_WAIT);
        self.at = (self.at + 1) % self.order.len();
    }

    /// For how many seconds nothing fresh came from above, as this process passes it on to its own readers; 0 until that
    /// lasts longer than the silence that ends a watch.
    #[must_use]
    pub fn stale_s(&self, now: Duration) -> u64 {
        let stale = self.fresh.map_or(Duration::ZERO, |fresh| now.saturating_sub(fresh));
        if stale > PARENT_SILENCE_TIMEOUT { stale.as_secs() } else { 0 }
    }

    fn draw(&mut self, most: Duration) -> Duration {
        most.mul_f64(self.draws.rand_float())
    }
}
