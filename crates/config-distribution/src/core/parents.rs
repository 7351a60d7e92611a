//! Chooses which parent to follow, and when: one at a time, in a random order.
//!
//! A child has several parents, and each of them may be down, silent, or cut off from the origin itself. Thousands of
//! children must not all choose the same parent, nor reconnect at the same moment. Times are measured from an arbitrary
//! zero; random numbers come from a seed.

use std::time::Duration;

use oorandom::Rand64;

/// How long the first complete line of a watch may take, measured from the start of the call.
pub const FIRST_LINE_TIMEOUT: Duration = Duration::from_secs(2);
/// How long each further line of a watch may take; a parent sends a heartbeat every [`HEARTBEAT_EVERY`].
pub const PARENT_SILENCE_TIMEOUT: Duration = Duration::from_millis(3200);
/// How often a parent sends a heartbeat, which is an empty line, while it has nothing else to send.
pub const HEARTBEAT_EVERY: Duration = Duration::from_secs(2);
/// Upper bound of the random wait before the next parent is called, after a watch that was established. Each call that
/// fails doubles the bound, up to [`MAX_BACKOFF`].
pub const INITIAL_BACKOFF: Duration = Duration::from_millis(250);
/// Largest upper bound of the random wait before the next parent is called.
pub const MAX_BACKOFF: Duration = Duration::from_secs(1);
/// A watch that has received lines for this long counts as established, so that its end does not increase the backoff.
pub const ESTABLISHED_AFTER: Duration = Duration::from_secs(2);
/// A child leaves a parent that is staler than a limit drawn at random between this and twice this.
pub const MIN_STALE_LIMIT: Duration = Duration::from_secs(2);
/// If no other parent is known to be better, a child still follows a stale parent for a time drawn at random between
/// this and twice this.
pub const MIN_STALE_GRACE: Duration = Duration::from_secs(2);

/// Whether a process may serve a reader at the given level. The origin has level 0 and a relay may only read from a
/// process with a lower level than its own, so that relays cannot form a loop. A reader that is not a relay has no
/// level.
#[must_use]
pub fn may_serve(own_level: u8, reader_level: Option<u8>) -> bool {
    reader_level.is_none_or(|reader| own_level < reader)
}

/// What a child does next while it has no open watch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Follow the parent with this index in the host's list of addresses. The host calls [`Parents::on_watch_ended`]
    /// when the watch ends.
    Follow(usize),
    /// Call [`Parents::next`] again after this duration.
    Wait(Duration),
}

/// Whether to keep a watch after one of its lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Keep following this parent.
    Stay,
    /// The parent is stale: end the watch and follow the next parent.
    Leave,
}

/// The parents of one child, with the state needed to choose among them.
#[derive(Debug, Clone)]
pub struct Parents {
    rng: Rand64,
    /// Indexes of the parents in the host's list of addresses, in the random order in which they are tried.
    order: Vec<usize>,
    /// Position in `order` of the parent that is followed now, or next.
    current: usize,
    /// For each position in `order`, whether that parent was found stale or unreachable. Cleared when a parent is up to
    /// date, and when every parent is marked and the grace time of a stale one has passed.
    failed_or_stale: Vec<bool>,
    /// Time on the host's clock before which no parent is called.
    not_before: Duration,
    /// Upper bound of the random wait after the next watch ends, unless that watch is established.
    max_wait: Duration,
    /// The watch that is open, or the call that is to open it.
    watch: Option<Watch>,
    /// Latest time on the host's clock at which a parent was known to be up to date, from all lines: the arrival of a
    /// line less the staleness it states. Before the first line, the time of the first call of [`Parents::next`].
    fresh_at: Option<Duration>,
}

/// The watch at one parent.
#[derive(Debug, Clone)]
struct Watch {
    began_at: Duration,
    /// Whether a line arrived at least [`ESTABLISHED_AFTER`] after the watch began.
    is_established: bool,
    /// The parent is left once it is stale for longer than this, unless the child has no better one.
    max_stale: Duration,
    /// Time on the host's clock until which a stale parent is kept because no other is known to be better; `None` while
    /// there is no such grace time.
    grace_until: Option<Duration>,
}

impl Parents {
    /// Creates the state for parents with the numbers `0..count`, in a random order that depends on the seed.
    #[must_use]
    pub fn new(count: usize, seed: u64) -> Self {
        let mut rng = Rand64::new(u128::from(seed));
        let mut order: Vec<usize> = (0..count).collect();
        for place in (1..count).rev() {
            #[allow(clippy::cast_possible_truncation, reason = "it is at most `place`, a usize")]
            let other = rng.rand_range(0..place as u64 + 1) as usize;
            order.swap(place, other);
        }
        Self {
            rng,
            order,
            current: 0,
            failed_or_stale: vec![false; count],
            not_before: Duration::ZERO,
            max_wait: INITIAL_BACKOFF,
            watch: None,
            fresh_at: None,
        }
    }

    /// Returns which parent to follow now, or how long to wait; to be called while no watch is open. Without parents
    /// the result is always a wait.
    pub fn next(&mut self, now: Duration) -> Step {
        self.fresh_at.get_or_insert(now);
        let Some(&parent) = self.order.get(self.current) else { return Step::Wait(MAX_BACKOFF) };
        if now < self.not_before {
            return Step::Wait(self.not_before.saturating_sub(now));
        }
        let max_stale = MIN_STALE_LIMIT + self.random_up_to(MIN_STALE_LIMIT);
        self.watch = Some(Watch { began_at: now, is_established: false, max_stale, grace_until: None });
        Step::Follow(parent)
    }

    /// Processes the arrival of a valid line, which may be an empty one (`stale_s` 0). The host does not call this for
    /// a line that was refused, but ends the watch.
    pub fn on_line(&mut self, now: Duration, stale_s: u64) -> Verdict {
        let stale = Duration::from_secs(stale_s);
        self.fresh_at = self.fresh_at.max(Some(now.saturating_sub(stale)));
        let others_failed_or_stale =
            (0..self.failed_or_stale.len()).all(|place| place == self.current || self.failed_or_stale[place]);
        let grace = MIN_STALE_GRACE + self.random_up_to(MIN_STALE_GRACE);
        let Some(watch) = &mut self.watch else { return Verdict::Stay };
        watch.is_established |= now >= watch.began_at + ESTABLISHED_AFTER;
        if stale_s == 0 {
            watch.grace_until = None;
            self.failed_or_stale.fill(false);
            return Verdict::Stay;
        }
        // A stale parent is kept if it is the only one.
        if stale <= watch.max_stale || self.order.len() == 1 {
            return Verdict::Stay;
        }
        if others_failed_or_stale && now < *watch.grace_until.get_or_insert(now + grace) {
            return Verdict::Stay;
        }
        // After the grace time, each of the other parents is tried once again.
        if others_failed_or_stale {
            self.failed_or_stale.fill(false);
        }
        self.failed_or_stale[self.current] = true;
        Verdict::Leave
    }

    /// Processes the end of a watch: it ended, could not be opened, or was left by the child.
    pub fn on_watch_ended(&mut self, now: Duration) {
        let Some(watch) = self.watch.take() else { return };
        if watch.is_established {
            self.max_wait = INITIAL_BACKOFF;
        } else {
            self.failed_or_stale[self.current] = true;
        }
        self.not_before = now + self.random_up_to(self.max_wait);
        self.max_wait = (2 * self.max_wait).min(MAX_BACKOFF);
        self.current = (self.current + 1) % self.order.len();
    }

    /// Seconds since this process last had up-to-date information from its parents, as it reports them to its own
    /// readers. Returns 0 until that time exceeds [`PARENT_SILENCE_TIMEOUT`], the silence that ends a watch.
    #[must_use]
    pub fn stale_s(&self, now: Duration) -> u64 {
        let stale = self.fresh_at.map_or(Duration::ZERO, |fresh_at| now.saturating_sub(fresh_at));
        if stale > PARENT_SILENCE_TIMEOUT { stale.as_secs() } else { 0 }
    }

    /// Returns a random time below `upper_bound`.
    fn random_up_to(&mut self, upper_bound: Duration) -> Duration {
        upper_bound.mul_f64(self.rng.rand_float())
    }
}
