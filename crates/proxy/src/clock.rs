//! When did an upstream start, on the clock of the decisions? Discovery stamps a start with the wall clock of another
//! machine; this is the one place that reads the wall clock of this one, and any of the two may step at any time. So a
//! stamp names a start, and only says roughly when it was: the monotonic clock bounds that by when the list named it.

use std::collections::BTreeMap;
use std::fmt;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use balancer_policy::interface::{EndpointId, Time};
use rustc_hash::{FxHashMap, FxHashSet};

/// Starts of processes that are not listed any more that are remembered, the latest ones: enough for a tier of this size
/// to leave the list and to return, in a fraction of a megabyte. One that returns later goes through slow start once
/// more.
pub const MAX_PAST_STARTS: usize = 4096;

/// Reads the time of day, which may step.
pub trait WallClock: fmt::Debug + Send {
    /// Unix time in milliseconds.
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

/// The moment at which a list is applied, as all its entries are placed by it.
#[derive(Debug, Clone, Copy)]
pub struct Moment {
    now: Time,
    /// Unix time in milliseconds, as far as is known.
    unix_ms: u64,
    /// A start that is new in this list is not older than this; `None` for a first list, which bounds nothing.
    earliest: Option<Time>,
}

impl Moment {
    /// When a process started that this list is the first to name.
    fn start(&self, since_ms: u64) -> Option<Time> {
        // A stamp of the future counts as one of now.
        let age = Duration::from_millis(self.unix_ms.saturating_sub(since_ms));
        let start = self.now.checked_sub(age);
        match self.earliest {
            Some(earliest) => Some(start.unwrap_or(earliest).max(earliest).min(self.now)),
            None => start.filter(|start| !start.is_zero()),
        }
    }
}

/// A start as it was named, and the time that it was given.
#[derive(Debug, Clone, Copy)]
struct Start {
    since_ms: u64,
    time: Option<Time>,
}

/// The start times of the upstreams. A start that has been given a time keeps it, however clocks step later: to the
/// decisions another time is another process.
#[derive(Debug)]
pub struct StartTimes {
    clock: Box<dyn WallClock>,
    listed: FxHashMap<EndpointId, Start>,
    past: PastStarts,
    /// When a list first named an upstream: what later ones add to it is new.
    first_list_at: Option<Time>,
    /// When discovery last said a line: what it had by then is in the list in hand.
    last_line_at: Option<Time>,
}

impl StartTimes {
    /// Before any list.
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

    /// Reads the wall clock for a list whose newest stamp is this. In a first list the machine that stamps had reached
    /// that time, so that a clock of this one that is behind does not make the whole tier just started. Later lists
    /// have bounds, and one stamp that is ahead must not make the others old.
    #[must_use]
    pub fn moment(&self, now: Time, newest_ms: u64) -> Moment {
        let least_ms = if self.last_line_at.is_none() { newest_ms } else { 0 };
        Moment { now, unix_ms: self.clock.unix_ms().max(least_ms), earliest: self.last_line_at }
    }

    /// Discovery has said a line, if an empty one, and what it holds has been applied.
    pub fn note_line(&mut self, now: Time) {
        if self.first_list_at.is_some() {
            self.last_line_at = Some(now);
        }
    }

    /// The start time of an upstream that a list names with this stamp; `None` for long ago.
    pub fn listed(&mut self, moment: &Moment, id: EndpointId, since_ms: u64) -> Option<Time> {
        self.first_list_at.get_or_insert(moment.now);
        if let Some(start) = self.listed.get(&id).filter(|start| start.since_ms == since_ms) {
            return start.time;
        }
        self.left(id);
        if since_ms == 0 {
            return None;
        }
        let remembered = self.past.take(id, since_ms);
        let start = remembered.unwrap_or_else(|| Start { since_ms, time: moment.start(since_ms) });
        self.listed.insert(id, start);
        start.time
    }

    /// An upstream is not listed any more, or not with the start that it had.
    pub fn left(&mut self, id: EndpointId) {
        if let Some(start) = self.listed.remove(&id) {
            self.past.put(id, start);
        }
    }

    /// Only these are listed.
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

    /// Whether a list that may be older than the one in hand names a new start of an upstream, and not one before. An
    /// earlier stamp may be either, as the clock behind the stamps may have stepped back: it is a new start if no list
    /// has named it though it seems to lie after the first one. Before that there may have been starts that none named.
    #[must_use]
    pub fn is_new_start(&self, now: Time, id: EndpointId, since_ms: u64) -> bool {
        let listed_ms = self.listed.get(&id).map_or(0, |start| start.since_ms);
        if since_ms == 0 || since_ms == listed_ms || self.past.has(id, since_ms) {
            return false;
        }
        since_ms > listed_ms || self.age(since_ms, listed_ms) < self.listed_for(now)
    }

    /// How long ago a stamp was, as far as is known: the machine that stamps has reached `least_ms`.
    fn age(&self, since_ms: u64, least_ms: u64) -> Duration {
        let unix_ms = self.clock.unix_ms().max(least_ms);
        Duration::from_millis(unix_ms.saturating_sub(since_ms))
    }

    /// The time since the first list.
    fn listed_for(&self, now: Time) -> Duration {
        self.first_list_at.map_or(Duration::ZERO, |first| now.saturating_sub(first))
    }

    /// The upstreams of which a start is remembered, those that are not listed any more among them.
    #[must_use]
    pub fn remembered(&self) -> FxHashSet<EndpointId> {
        let past = self.past.by_start.keys().map(|&(id, _)| id);
        self.listed.keys().copied().chain(past).collect()
    }

    /// How many starts are remembered of processes that are not listed any more.
    #[must_use]
    pub fn past_len(&self) -> usize {
        self.past.by_start.len()
    }
}

/// The starts of processes that are not listed any more, of which the oldest are forgotten.
#[derive(Debug, Default)]
struct PastStarts {
    /// The number of its departure, and its start time.
    by_start: FxHashMap<(EndpointId, u64), (u64, Option<Time>)>,
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

    /// This start with the time that it was given, if it is remembered.
    fn take(&mut self, id: EndpointId, since_ms: u64) -> Option<Start> {
        let (departure, time) = self.by_start.remove(&(id, since_ms))?;
        self.by_departure.remove(&departure);
        Some(Start { since_ms, time })
    }
}
