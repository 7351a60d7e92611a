//! Determines when each upstream started, as a time on the policy's monotonic clock.
//!
//! Discovery stamps a start with the wall clock of another machine, and this module, the only one that does so, reads
//! the wall clock of this machine. Either clock may step at any time. A stamp therefore identifies a start but tells
//! its time only roughly; the monotonic times at which lists arrived give the bounds.

use std::collections::BTreeMap;
use std::fmt;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use balancer_policy::interface::{EndpointId, Time};
use rustc_hash::{FxHashMap, FxHashSet};

/// Maximum number of remembered starts of processes that are no longer listed; beyond it, the start that left the list
/// first is forgotten. A tier of this size can leave the list and return, and the memory used is a fraction of a
/// megabyte. A process that returns after its start was forgotten goes through slow start again.
pub const MAX_PAST_STARTS: usize = 4096;

/// A source of the time of day, which may step forwards or backwards.
pub trait WallClock: fmt::Debug + Send {
    /// Returns the current Unix time in milliseconds.
    fn unix_ms(&self) -> u64;
}

/// The wall clock of this machine.
#[derive(Debug, Clone, Copy, Default)]
pub struct SystemClock;

impl WallClock for SystemClock {
    fn unix_ms(&self) -> u64 {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
    }
}

/// The time at which a list is applied. The start times of all entries of the list are derived from it.
#[derive(Debug, Clone, Copy)]
pub struct ListTime {
    now: Time,
    /// Best estimate of the Unix time in milliseconds at `now`.
    unix_ms: u64,
    /// Time on the policy's clock of the previous line of discovery. A start that this list names, and no earlier list
    /// did, is not before it. `None` until the first list of discovery has been applied, as nothing bounds earlier
    /// starts.
    earliest: Option<Time>,
}

impl ListTime {
    /// Returns the start time of a process that this list is the first to name; `None` if it started before the zero of
    /// the policy's clock.
    fn start(&self, since_ms: u64) -> Option<Time> {
        // A stamp in the future counts as the current time.
        let age = Duration::from_millis(self.unix_ms.saturating_sub(since_ms));
        let start = self.now.checked_sub(age);
        match self.earliest {
            Some(earliest) => Some(start.unwrap_or(earliest).max(earliest).min(self.now)),
            None => start.filter(|start| !start.is_zero()),
        }
    }
}

/// A start of a process: the stamp from discovery, and the time that was assigned to it on the policy's clock.
#[derive(Debug, Clone, Copy)]
struct Start {
    since_ms: u64,
    time: Option<Time>,
}

/// Start times of the upstreams. A start keeps the time that was first assigned to it, even if clocks step later,
/// because the policy takes a different start time as a different process.
#[derive(Debug)]
pub struct StartTimes {
    clock: Box<dyn WallClock>,
    listed: FxHashMap<EndpointId, Start>,
    past: PastStarts,
    /// Time on the policy's clock at which a list first named an upstream. Starts that later lists add are new.
    first_list_at: Option<Time>,
    /// Time on the policy's clock at which discovery last sent a line. The current list has everything that discovery
    /// knew by then.
    last_line_at: Option<Time>,
}

impl StartTimes {
    /// Creates a table of start times to which no list has been applied yet.
    #[must_use]
    pub fn new(clock: Box<dyn WallClock>) -> Self {
        Self {
            clock,
            listed: FxHashMap::default(),
            past: PastStarts::default(),
            first_list_at: None,
            last_line_at: None,
        }
    }

    /// Reads the wall clock for a list whose newest stamp is `newest_ms`.
    ///
    /// Until the first list of discovery has been applied, the Unix time is taken as at least `newest_ms`, because the
    /// machine that stamps has reached that time: otherwise a local clock that is behind would make the whole tier look
    /// just started. Starts in later lists have a lower bound, so this is not needed there, and one stamp that is ahead
    /// must not make the other starts look old.
    #[must_use]
    pub fn list_time(&self, now: Time, newest_ms: u64) -> ListTime {
        let least_ms = if self.last_line_at.is_none() { newest_ms } else { 0 };
        ListTime { now, unix_ms: self.clock.unix_ms().max(least_ms), earliest: self.last_line_at }
    }

    /// Records that discovery has sent a line, empty or not, whose update has been applied or ignored as older than the
    /// current list. Does nothing until a list has named an upstream.
    pub fn note_line(&mut self, now: Time) {
        if self.first_list_at.is_some() {
            self.last_line_at = Some(now);
        }
    }

    /// Records that a list names an upstream with the stamp `since_ms`, and returns the upstream's start time; `None`
    /// if it started long ago.
    pub fn note_listed(&mut self, list_time: &ListTime, id: EndpointId, since_ms: u64) -> Option<Time> {
        self.first_list_at.get_or_insert(list_time.now);
        if let Some(start) = self.listed.get(&id).filter(|start| start.since_ms == since_ms) {
            return start.time;
        }
        self.delist(id);
        if since_ms == 0 {
            return None;
        }
        let remembered = self.past.take(id, since_ms);
        let start = remembered.unwrap_or_else(|| Start { since_ms, time: list_time.start(since_ms) });
        self.listed.insert(id, start);
        start.time
    }

    /// Moves the start of an upstream to the past starts, because the upstream is no longer listed or has a new start.
    pub fn delist(&mut self, id: EndpointId) {
        if let Some(start) = self.listed.remove(&id) {
            self.past.put(id, start);
        }
    }

    /// Moves the starts of all upstreams other than `ids` to the past starts.
    pub fn retain(&mut self, ids: &FxHashSet<EndpointId>) {
        let past = &mut self.past;
        self.listed.retain(|&id, start| {
            let stays = ids.contains(&id);
            if !stays {
                past.put(id, *start);
            }
            stays
        });
    }

    /// Whether a list that may be older than the current one names a new start of an upstream rather than a previous
    /// one.
    ///
    /// A stamp that a list has named before is a previous start, and an unknown stamp later than the current one is a
    /// new start. An unknown stamp earlier than the current one can be either, as the clock that stamps may have
    /// stepped back. It counts as a new start if it appears to lie after the first list, because the lists since then
    /// would have named a previous start. From before the first list it counts as a previous start that no list has
    /// named.
    #[must_use]
    pub fn is_new_start(&self, now: Time, id: EndpointId, since_ms: u64) -> bool {
        let listed_ms = self.listed.get(&id).map_or(0, |start| start.since_ms);
        if since_ms == 0 || since_ms == listed_ms || self.past.has(id, since_ms) {
            return false;
        }
        since_ms > listed_ms || self.age(since_ms, listed_ms) < self.time_since_first_list(now)
    }

    /// Estimated age of a stamp, given that the clock of the machine that stamps has reached `least_ms`.
    fn age(&self, since_ms: u64, least_ms: u64) -> Duration {
        let unix_ms = self.clock.unix_ms().max(least_ms);
        Duration::from_millis(unix_ms.saturating_sub(since_ms))
    }

    /// Time since a list first named an upstream; zero before that.
    fn time_since_first_list(&self, now: Time) -> Duration {
        self.first_list_at.map_or(Duration::ZERO, |first| now.saturating_sub(first))
    }

    /// Returns the ids of all upstreams with a remembered start, including those that are no longer listed.
    #[must_use]
    pub fn remembered(&self) -> FxHashSet<EndpointId> {
        let past = self.past.by_start.keys().map(|&(id, _)| id);
        self.listed.keys().copied().chain(past).collect()
    }

    /// Number of remembered starts of processes that are no longer listed.
    #[must_use]
    pub fn past_len(&self) -> usize {
        self.past.by_start.len()
    }
}

/// Starts of processes that are no longer listed. Beyond [`MAX_PAST_STARTS`] the one that left first is forgotten.
#[derive(Debug, Default)]
struct PastStarts {
    /// Departure number and assigned start time, by upstream and stamp.
    by_start: FxHashMap<(EndpointId, u64), (u64, Option<Time>)>,
    /// Upstream and stamp by departure number, which counts up as starts leave the list.
    by_departure: BTreeMap<u64, (EndpointId, u64)>,
    next_departure: u64,
}

impl PastStarts {
    fn has(&self, id: EndpointId, since_ms: u64) -> bool {
        self.by_start.contains_key(&(id, since_ms))
    }

    fn put(&mut self, id: EndpointId, start: Start) {
        let departure = self.next_departure;
        self.next_departure += 1;
        self.by_start.insert((id, start.since_ms), (departure, start.time));
        self.by_departure.insert(departure, (id, start.since_ms));
        if self.by_start.len() > MAX_PAST_STARTS
            && let Some((_, oldest)) = self.by_departure.pop_first()
        {
            self.by_start.remove(&oldest);
        }
    }

    /// Removes and returns a start with the time that was assigned to it, if it is remembered.
    fn take(&mut self, id: EndpointId, since_ms: u64) -> Option<Start> {
        let (departure, time) = self.by_start.remove(&(id, since_ms))?;
        self.by_departure.remove(&departure);
        Some(Start { since_ms, time })
    }
}
