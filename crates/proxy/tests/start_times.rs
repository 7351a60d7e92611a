//! Start times of upstreams while wall clocks are wrong or step: the table of start times, tested in virtual time.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use balancer_policy::interface::{EndpointId, Time};
use balancer_proxy::clock::{MAX_PAST_STARTS, StartTimes, WallClock};

/// Unix time in milliseconds at which the tests begin.
const BEGIN_MS: u64 = 1_700_000_000_000;
/// Time on the policy's clock at which the tests begin. It is not zero, so that an upstream may have started an hour
/// before.
const BEGIN: Time = Duration::from_secs(3600);
/// An hour in milliseconds.
const HOUR_MS: i64 = 3_600_000;
/// Offsets by which wall clocks are ahead or step in the tests, in milliseconds.
const STEPS_MS: [i64; 7] = [0, 5_000, -5_000, 60_000, -60_000, HOUR_MS, -HOUR_MS];
/// A second in milliseconds.
const SECOND_MS: u64 = 1000;

/// A wall clock that the test sets.
#[derive(Debug, Clone)]
struct ManualClock(Arc<AtomicU64>);

impl WallClock for ManualClock {
    fn unix_ms(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// A table of start times with the balancer's clocks and the clock of the machine that stamps, in virtual time.
struct TestTable {
    starts: StartTimes,
    wall: ManualClock,
    now: Time,
    /// Offset by which the wall clock of the balancer's machine is ahead of true time.
    ahead_ms: i64,
    /// Offset by which the wall clock of the machine that stamps is ahead of true time.
    stamps_ahead_ms: i64,
}

impl TestTable {
    /// Creates a table on a machine whose wall clock was ahead by `ahead_ms` before the process started.
    fn new(ahead_ms: i64) -> Self {
        let wall = ManualClock(Arc::new(AtomicU64::new(BEGIN_MS.saturating_add_signed(ahead_ms))));
        let starts = StartTimes::new(Box::new(wall.clone()));
        Self { starts, wall, now: BEGIN, ahead_ms, stamps_ahead_ms: 0 }
    }

    /// Creates a table as [`Self::new`] does and applies a list from discovery with one upstream that started long ago.
    fn with_list(ahead_ms: i64) -> Self {
        let mut table = Self::new(ahead_ms);
        table.apply_discovery_list(&[(0, 0)]);
        table
    }

    /// Advances time by `span`; the wall clock follows.
    fn advance(&mut self, span: Duration) {
        self.now += span;
        let unix_ms = BEGIN_MS + (self.now - BEGIN).as_millis() as u64;
        self.wall.0.store(unix_ms.saturating_add_signed(self.ahead_ms), Ordering::Relaxed);
    }

    /// Makes the wall clock of the balancer's machine step, so that it is ahead by `ahead_ms`.
    fn set_wall_offset(&mut self, ahead_ms: i64) {
        self.ahead_ms = ahead_ms;
        self.advance(Duration::ZERO);
    }

    /// Returns the stamp of an upstream that starts now.
    fn stamp(&self) -> u64 {
        let unix_ms = BEGIN_MS + (self.now - BEGIN).as_millis() as u64;
        unix_ms.saturating_add_signed(self.stamps_ahead_ms)
    }

    /// Applies a list from discovery with these upstreams and stamps, and returns their start times.
    fn apply_discovery_list(&mut self, entries: &[(u32, u64)]) -> Vec<Option<Time>> {
        let times = self.apply_configuration_list(entries);
        self.starts.note_line(self.now);
        times
    }

    /// Applies a list with these upstreams and stamps as if it came from the configuration, that is without a line from
    /// discovery, and returns their start times.
    fn apply_configuration_list(&mut self, entries: &[(u32, u64)]) -> Vec<Option<Time>> {
        let newest_ms = entries.iter().map(|entry| entry.1).max().unwrap_or(0);
        let list_time = self.starts.list_time(self.now, newest_ms);
        entries
            .iter()
            .map(|&(id, since_ms)| self.starts.note_listed(&list_time, EndpointId(id), since_ms))
            .collect()
    }

    /// Applies a list from discovery with one upstream and returns its start time.
    fn apply_discovery_entry(&mut self, id: u32, since_ms: u64) -> Option<Time> {
        self.apply_discovery_list(&[(id, since_ms)])[0]
    }
}

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Guards slow start against a wall clock that was wrong before the process started: the start time of an upstream that
/// an update adds lies between the previous line of discovery and that update.
#[test]
fn a_clock_wrong_before_the_process_started_keeps_starts_in_bounds() {
    for ahead_ms in STEPS_MS {
        let mut table = TestTable::with_list(ahead_ms);
        table.advance(seconds(2));
        let since_ms = table.stamp();
        table.advance(seconds(1));
        let started = table.apply_discovery_entry(1, since_ms).expect("the start is recent");
        assert!((BEGIN..=table.now).contains(&started), "clock ahead by {ahead_ms} ms: start at {started:?}");
    }
}

/// Guards against inexact start times when all clocks are right: the stamp's time is then used as it is.
#[test]
fn clocks_that_agree_give_the_start_to_the_millisecond() {
    let mut table = TestTable::with_list(0);
    table.advance(seconds(2));
    let (since_ms, start) = (table.stamp(), table.now);
    table.advance(Duration::from_millis(1700));
    assert_eq!(table.apply_discovery_entry(1, since_ms), Some(start));
}

/// Guards slow start against a step of the balancer's wall clock between two lists.
#[test]
fn a_clock_step_between_two_lists_keeps_starts_in_bounds() {
    for ahead_ms in STEPS_MS {
        for from_ms in STEPS_MS {
            let mut table = TestTable::with_list(from_ms);
            table.advance(seconds(2));
            let since_ms = table.stamp();
            table.set_wall_offset(ahead_ms);
            table.advance(seconds(1));
            let started = table.apply_discovery_entry(1, since_ms).expect("the start is recent");
            assert!(
                (BEGIN..=table.now).contains(&started),
                "clock ahead by {from_ms} ms, then {ahead_ms} ms: start at {started:?}"
            );
        }
    }
}

/// Guards a slow start in progress against a step of the balancer's wall clock: the policy would take a changed start
/// time as a new process.
#[test]
fn a_clock_step_during_slow_start_changes_no_start() {
    for ahead_ms in STEPS_MS {
        let mut table = TestTable::with_list(0);
        table.advance(seconds(2));
        let since_ms = table.stamp();
        table.advance(seconds(1));
        let started = table.apply_discovery_entry(1, since_ms);
        table.advance(seconds(3));
        table.set_wall_offset(ahead_ms);
        assert_eq!(table.apply_discovery_entry(1, since_ms), started, "clock ahead by {ahead_ms} ms");
        table.set_wall_offset(0);
        assert_eq!(
            table.apply_discovery_entry(1, since_ms),
            started,
            "after the step back from {ahead_ms} ms ahead"
        );
    }
}

/// Guards slow start against a wrong or stepping clock of the machine that stamps, before and between lists.
#[test]
fn a_step_of_the_stamping_clock_keeps_starts_in_bounds() {
    for stamps_ahead_ms in STEPS_MS {
        for ahead_ms in STEPS_MS {
            let mut table = TestTable::with_list(ahead_ms);
            table.advance(seconds(2));
            table.stamps_ahead_ms = stamps_ahead_ms;
            let since_ms = table.stamp();
            table.advance(seconds(1));
            let started = table.apply_discovery_entry(1, since_ms).expect("the start is recent");
            let case = format!(
                "stamping clock ahead by {stamps_ahead_ms} ms, own by {ahead_ms} ms: start at {started:?}"
            );
            assert!((BEGIN..=table.now).contains(&started), "{case}");
            // The stamping clock steps back to true time during slow start. The upstream did not restart, so its stamp
            // stays.
            table.stamps_ahead_ms = 0;
            table.advance(seconds(1));
            assert_eq!(table.apply_discovery_entry(1, since_ms), Some(started), "{case}");
        }
    }
}

/// Guards the lower bound of start times: an empty line from discovery says that nothing had changed by then, so an
/// upstream that a later line adds did not start before it.
#[test]
fn a_start_is_not_before_the_last_line_of_discovery() {
    let mut table = TestTable::with_list(HOUR_MS);
    table.advance(seconds(20));
    table.starts.note_line(table.now);
    let alive = table.now;
    table.advance(seconds(1));
    let since_ms = table.stamp();
    table.advance(seconds(1));
    assert_eq!(table.apply_discovery_entry(1, since_ms), Some(alive));
}

/// Guards the start times of upstreams that started during an outage of discovery. Some are past slow start at its end,
/// and only a right clock shows which; a wrong one is limited by the last line before the outage and by the present.
#[test]
fn after_an_outage_starts_are_bounded_by_the_last_line_before_it() {
    let started_after = |ahead_ms| {
        let mut table = TestTable::with_list(ahead_ms);
        table.advance(seconds(30));
        let since_ms = table.stamp();
        table.advance(seconds(30));
        table.apply_discovery_entry(1, since_ms)
    };
    assert_eq!(started_after(0), Some(BEGIN + seconds(30)));
    assert_eq!(started_after(HOUR_MS), Some(BEGIN));
    assert_eq!(started_after(-HOUR_MS), Some(BEGIN + seconds(60)));
}

/// Guards slow start after an outage against one stamp that is ahead: it must not make the other starts look older.
#[test]
fn a_stamp_ahead_changes_no_other_start_of_the_update() {
    let mut table = TestTable::with_list(0);
    table.advance(seconds(30));
    let ahead_ms = table.stamp().saturating_add_signed(HOUR_MS);
    let (since_ms, start) = (table.stamp(), table.now);
    table.advance(seconds(1));
    assert_eq!(table.apply_discovery_list(&[(1, ahead_ms), (2, since_ms)]), [Some(table.now), Some(start)]);
}

/// Guards upstreams that have been running for long against a needless slow start: one without a stamp started long
/// ago.
#[test]
fn an_upstream_without_a_stamp_started_long_ago() {
    for ahead_ms in STEPS_MS {
        let mut table = TestTable::new(ahead_ms);
        assert_eq!(table.apply_configuration_list(&[(0, 0)]), [None]);
        assert_eq!(table.apply_discovery_list(&[(0, 0), (1, 0)]), [None, None]);
        table.advance(seconds(1));
        assert_eq!(table.apply_discovery_entry(2, 0), None);
    }
}

/// Guards slow start when the stamping clock steps, possibly back, between two starts of the same upstream: the second
/// start is still a new one.
#[test]
fn a_restart_with_an_earlier_stamp_is_a_new_start() {
    for stamps_ahead_ms in STEPS_MS {
        let mut table = TestTable::with_list(0);
        table.advance(seconds(2));
        let first_ms = table.stamp();
        let first = table.apply_discovery_entry(1, first_ms);
        table.advance(seconds(60));
        table.starts.note_line(table.now);
        let last_line = table.now;
        table.advance(seconds(1));
        table.stamps_ahead_ms = stamps_ahead_ms;
        let second_ms = table.stamp();
        table.advance(seconds(1));
        let second = table.apply_discovery_entry(1, second_ms);
        assert!(second > first, "stamping clock ahead by {stamps_ahead_ms} ms");
        assert!(
            (last_line..=table.now).contains(&second.expect("the start is recent")),
            "stamping clock ahead by {stamps_ahead_ms} ms: second start at {second:?}"
        );
    }
}

/// Guards drains, which only a new start ends, against older lists: a start that a list has named before is not new,
/// whichever of the stamps is later.
#[test]
fn a_start_named_before_is_not_new() {
    for stamps_ahead_ms in STEPS_MS {
        let mut table = TestTable::with_list(0);
        table.advance(seconds(2));
        let first_ms = table.stamp();
        table.apply_discovery_entry(1, first_ms);
        table.advance(seconds(60));
        table.stamps_ahead_ms = stamps_ahead_ms;
        let second_ms = table.stamp();
        table.apply_discovery_entry(1, second_ms);
        for since_ms in [0, first_ms, second_ms] {
            assert!(
                !table.starts.is_new_start(table.now, EndpointId(1), since_ms),
                "stamping clock ahead by {stamps_ahead_ms} ms"
            );
        }
    }
}

/// Guards against mistaking a new process for an old one. Where discovery restarts its index, a list that seems older
/// may name a new process. If the clock that stamps is set back by less than the time since the first list, the stamp
/// of a new process is earlier than that of its predecessor, but still after the first list. It counts as a new start.
#[test]
fn an_earlier_stamp_after_the_first_list_is_a_new_start() {
    for step_ms in STEPS_MS.into_iter().filter(|&step_ms| step_ms < 0) {
        let mut table = TestTable::with_list(0);
        table.advance(Duration::from_millis(step_ms.unsigned_abs()) + seconds(5));
        let first_ms = table.stamp();
        table.apply_discovery_entry(1, first_ms);
        table.advance(seconds(1));
        table.stamps_ahead_ms = step_ms;
        let second_ms = table.stamp();
        assert!(
            table.starts.is_new_start(table.now, EndpointId(1), second_ms),
            "stamping clock stepped by {step_ms} ms"
        );
    }
}

/// Guards drains against an older list that names the previous process of an upstream, which ended before the balancer
/// had its first list: that is not a new start.
#[test]
fn an_earlier_stamp_before_the_first_list_is_not_a_new_start() {
    for ahead_ms in STEPS_MS {
        let mut table = TestTable::new(ahead_ms);
        let since_ms = table.stamp();
        table.apply_discovery_entry(1, since_ms);
        table.advance(seconds(10));
        let before_ms = since_ms - 20 * SECOND_MS;
        assert!(
            !table.starts.is_new_start(table.now, EndpointId(1), before_ms),
            "clock ahead by {ahead_ms} ms"
        );
        assert!(
            table.starts.is_new_start(table.now, EndpointId(1), since_ms + SECOND_MS),
            "clock ahead by {ahead_ms} ms"
        );
    }
}

/// Guards start times in the first list, for which there is no lower bound: its stamps are used. A start at or before
/// the zero of the policy's clock gives no start time.
#[test]
fn the_first_list_may_name_starts_of_any_age() {
    let mut table = TestTable::new(0);
    let ages_s = [0, 5, 3599, 3600, 7200];
    let entries = ages_s.map(|age_s| (age_s as u32, BEGIN_MS - age_s * SECOND_MS));
    let times = table.apply_discovery_list(&entries);
    assert_eq!(times[..3], [Some(BEGIN), Some(BEGIN - seconds(5)), Some(seconds(1))]);
    assert_eq!(times[3..], [None, None]);
}

/// Guards long-running upstreams against a needless slow start when the balancer's wall clock is behind: the newest
/// stamp in the first list shows that the true time is later.
#[test]
fn a_clock_that_is_behind_does_not_make_the_tier_look_just_started() {
    for ahead_ms in STEPS_MS.into_iter().filter(|&ahead_ms| ahead_ms <= 0) {
        let mut table = TestTable::new(ahead_ms);
        let entries = [600, 60, 0].map(|age_s| (age_s as u32, BEGIN_MS - age_s * SECOND_MS));
        let times = table.apply_discovery_list(&entries);
        let right = [600, 60, 0].map(|age_s| Some(BEGIN - seconds(age_s)));
        assert_eq!(times, right, "clock ahead by {ahead_ms} ms");
    }
}

/// Guards against start times in the future, with which upstreams would stay in slow start for ever.
#[test]
fn no_start_in_the_first_list_is_in_the_future() {
    for ahead_ms in STEPS_MS {
        for stamps_ahead_ms in STEPS_MS {
            let mut table = TestTable::new(ahead_ms);
            table.stamps_ahead_ms = stamps_ahead_ms;
            let since_ms = table.stamp();
            let started = table.apply_discovery_list(&[(1, since_ms), (2, since_ms - 10 * SECOND_MS)]);
            assert!(
                started.iter().flatten().all(|&started| started <= table.now),
                "expected no start after the present, got {started:?}"
            );
        }
    }
}

/// Guards start times in the first list of discovery: the list of the configuration sets no lower bound for them, and
/// processes that it named keep their start times.
#[test]
fn the_list_of_the_configuration_bounds_no_start() {
    for ahead_ms in STEPS_MS {
        let mut table = TestTable::new(0);
        let known_ms = BEGIN_MS - 60 * SECOND_MS;
        assert_eq!(table.apply_configuration_list(&[(1, known_ms)]), [Some(BEGIN - seconds(60))]);
        table.set_wall_offset(ahead_ms);
        table.advance(seconds(1));
        let times = table.apply_discovery_list(&[(1, known_ms), (2, known_ms - 20 * SECOND_MS)]);
        assert_eq!(times[0], Some(BEGIN - seconds(60)), "clock ahead by {ahead_ms} ms");
        if ahead_ms == 0 {
            assert_eq!(times[1], Some(BEGIN - seconds(80)));
        }
    }
}

/// Guards start times in the first list against empty lines of discovery that came before it: they set no lower bound.
#[test]
fn empty_lines_before_the_first_list_bound_no_start() {
    let mut table = TestTable::new(0);
    table.starts.note_line(table.now);
    table.advance(seconds(2));
    assert_eq!(table.apply_discovery_entry(1, BEGIN_MS - 60 * SECOND_MS), Some(BEGIN - seconds(60)));
}

/// Guards upstreams past slow start that leave the list for a while, removed by a delta or absent from a snapshot: they
/// keep their start times when they return with the same stamp.
#[test]
fn an_upstream_that_returns_with_its_stamp_keeps_its_start() {
    for ahead_ms in STEPS_MS {
        let mut table = TestTable::with_list(0);
        table.advance(seconds(2));
        let since_ms = table.stamp();
        let started = table.apply_discovery_entry(1, since_ms);
        table.starts.delist(EndpointId(1));
        table.advance(seconds(60));
        table.set_wall_offset(ahead_ms);
        assert_eq!(table.apply_discovery_entry(1, since_ms), started, "clock ahead by {ahead_ms} ms");
        table.starts.retain(&[EndpointId(0)].into_iter().collect());
        table.advance(seconds(60));
        assert_eq!(table.apply_discovery_entry(1, since_ms), started, "clock ahead by {ahead_ms} ms");
    }
}

/// Guards the memory of a long-running balancer: upstreams come and go, and one leaves and returns repeatedly.
#[test]
fn the_number_of_remembered_starts_is_bounded() {
    let mut table = TestTable::with_list(0);
    let steady_ms = table.stamp();
    let steady = table.apply_discovery_entry(0, steady_ms);
    for id in 1..=3 * MAX_PAST_STARTS as u32 {
        table.advance(Duration::from_millis(20));
        let since_ms = table.stamp();
        table.apply_discovery_entry(id, since_ms);
        table.starts.delist(EndpointId(id));
        table.starts.delist(EndpointId(0));
        assert!(table.starts.past_len() <= MAX_PAST_STARTS);
        assert_eq!(
            table.apply_discovery_entry(0, steady_ms),
            steady,
            "expected the latest starts to be remembered"
        );
    }
}
