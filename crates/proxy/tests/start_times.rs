//! When upstreams started, whatever the wall clocks do: the table of start times in virtual time.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use balancer_policy::interface::{EndpointId, Time};
use balancer_proxy::clock::{MAX_PAST_STARTS, StartTimes, WallClock};

/// Unix time in milliseconds at which the tests begin.
const BEGIN_MS: u64 = 1_700_000_000_000;
/// Time of the decisions at which the tests begin: an upstream may have started an hour before.
const BEGIN: Time = Duration::from_secs(3600);
const HOUR_MS: i64 = 3_600_000;
/// Steps of a wall clock.
const STEPS_MS: [i64; 7] = [0, 5_000, -5_000, 60_000, -60_000, HOUR_MS, -HOUR_MS];
/// A second in milliseconds.
const SECOND_MS: u64 = 1000;

/// A wall clock that the test sets.
#[derive(Debug, Clone)]
struct SetClock(Arc<AtomicU64>);

impl WallClock for SetClock {
    fn unix_ms(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// A balancer's start times, its clocks, and the clock of the machine that stamps, in virtual time.
struct World {
    starts: StartTimes,
    wall: SetClock,
    now: Time,
    /// How far the wall clock of the balancer's machine, and that of the machine that stamps, is ahead of the time.
    ahead_ms: i64,
    stamps_ahead_ms: i64,
}

impl World {
    /// A balancer whose wall clock is ahead by so much from before its start.
    fn new(ahead_ms: i64) -> Self {
        let wall = SetClock(Arc::new(AtomicU64::new(BEGIN_MS.saturating_add_signed(ahead_ms))));
        let starts = StartTimes::new(Box::new(wall.clone()));
        Self { starts, wall, now: BEGIN, ahead_ms, stamps_ahead_ms: 0 }
    }

    /// The same with a list in hand of one upstream that started long ago, as discovery has said.
    fn with_list(ahead_ms: i64) -> Self {
        let mut world = Self::new(ahead_ms);
        world.hear(&[(0, 0)]);
        world
    }

    fn pass(&mut self, span: Duration) {
        self.now += span;
        let unix_ms = BEGIN_MS + (self.now - BEGIN).as_millis() as u64;
        self.wall.0.store(unix_ms.saturating_add_signed(self.ahead_ms), Ordering::Relaxed);
    }

    /// The wall clock of the balancer's machine steps to so far ahead.
    fn step(&mut self, ahead_ms: i64) {
        self.ahead_ms = ahead_ms;
        self.pass(Duration::ZERO);
    }

    /// The stamp of a start right now.
    fn stamp(&self) -> u64 {
        let unix_ms = BEGIN_MS + (self.now - BEGIN).as_millis() as u64;
        unix_ms.saturating_add_signed(self.stamps_ahead_ms)
    }

    /// A list from discovery with these upstreams and stamps; gives their start times.
    fn hear(&mut self, entries: &[(u32, u64)]) -> Vec<Option<Time>> {
        let times = self.read(entries);
        self.starts.note_line(self.now);
        times
    }

    /// A list from the configuration.
    fn read(&mut self, entries: &[(u32, u64)]) -> Vec<Option<Time>> {
        let newest_ms = entries.iter().map(|entry| entry.1).max().unwrap_or(0);
        let list_time = self.starts.list_time(self.now, newest_ms);
        entries
            .iter()
            .map(|&(id, since_ms)| self.starts.listed(&list_time, EndpointId(id), since_ms))
            .collect()
    }

    fn hear_one(&mut self, id: u32, since_ms: u64) -> Option<Time> {
        self.hear(&[(id, since_ms)])[0]
    }
}

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Guards slow start against a wall clock that was wrong before the process began: a start that a change names lies
/// between the line before and the change.
#[test]
fn a_step_before_the_process_began_moves_no_start_out_of_its_bounds() {
    for ahead_ms in STEPS_MS {
        let mut world = World::with_list(ahead_ms);
        world.pass(seconds(2));
        let since_ms = world.stamp();
        world.pass(seconds(1));
        let started = world.hear_one(1, since_ms).expect("just now");
        assert!((BEGIN..=world.now).contains(&started), "{ahead_ms}: {started:?}");
    }
}

/// Guards the time that a right clock tells: it is taken for what it says.
#[test]
fn clocks_that_agree_tell_the_start_to_the_millisecond() {
    let mut world = World::with_list(0);
    world.pass(seconds(2));
    let (since_ms, start) = (world.stamp(), world.now);
    world.pass(Duration::from_millis(1700));
    assert_eq!(world.hear_one(1, since_ms), Some(start));
}

/// Guards slow start against a step between two lists.
#[test]
fn a_step_between_two_lists_moves_no_start_out_of_its_bounds() {
    for ahead_ms in STEPS_MS {
        for from_ms in STEPS_MS {
            let mut world = World::with_list(from_ms);
            world.pass(seconds(2));
            let since_ms = world.stamp();
            world.step(ahead_ms);
            world.pass(seconds(1));
            let started = world.hear_one(1, since_ms).expect("just now");
            assert!((BEGIN..=world.now).contains(&started), "{from_ms} to {ahead_ms}: {started:?}");
        }
    }
}

/// Guards a slow start that is under way: another time would be another process to the decisions.
#[test]
fn a_step_during_slow_start_moves_no_start() {
    for ahead_ms in STEPS_MS {
        let mut world = World::with_list(0);
        world.pass(seconds(2));
        let since_ms = world.stamp();
        world.pass(seconds(1));
        let started = world.hear_one(1, since_ms);
        world.pass(seconds(3));
        world.step(ahead_ms);
        assert_eq!(world.hear_one(1, since_ms), started, "{ahead_ms}");
        world.step(0);
        assert_eq!(world.hear_one(1, since_ms), started, "{ahead_ms}, and back");
    }
}

/// Guards slow start against the clock of the machine that stamps, before and between lists.
#[test]
fn a_step_of_the_stamping_machine_moves_no_start_out_of_its_bounds() {
    for stamps_ahead_ms in STEPS_MS {
        for ahead_ms in STEPS_MS {
            let mut world = World::with_list(ahead_ms);
            world.pass(seconds(2));
            world.stamps_ahead_ms = stamps_ahead_ms;
            let since_ms = world.stamp();
            world.pass(seconds(1));
            let started = world.hear_one(1, since_ms).expect("just now");
            let case = format!("stamped {stamps_ahead_ms}, read {ahead_ms}: {started:?}");
            assert!((BEGIN..=world.now).contains(&started), "{case}");
            // It steps back to the right time during slow start, which has not happened to those that started.
            world.stamps_ahead_ms = 0;
            world.pass(seconds(1));
            assert_eq!(world.hear_one(1, since_ms), Some(started), "{case}");
        }
    }
}

/// Guards the bound itself: an empty line says that nothing had changed by then.
#[test]
fn a_start_is_not_older_than_the_last_sign_of_life() {
    let mut world = World::with_list(HOUR_MS);
    world.pass(seconds(20));
    world.starts.note_line(world.now);
    let alive = world.now;
    world.pass(seconds(1));
    let since_ms = world.stamp();
    world.pass(seconds(1));
    assert_eq!(world.hear_one(1, since_ms), Some(alive));
}

/// Guards upstreams that started in an outage: some are warm by its end, and a right clock tells which.
#[test]
fn after_an_outage_the_last_line_before_it_is_the_bound() {
    let started_after = |ahead_ms| {
        let mut world = World::with_list(ahead_ms);
        world.pass(seconds(30));
        let since_ms = world.stamp();
        world.pass(seconds(30));
        world.hear_one(1, since_ms)
    };
    assert_eq!(started_after(0), Some(BEGIN + seconds(30)));
    assert_eq!(started_after(HOUR_MS), Some(BEGIN));
    assert_eq!(started_after(-HOUR_MS), Some(BEGIN + seconds(60)));
}

/// Guards slow start after an outage against one stamp that is ahead, which must not make the others old.
#[test]
fn a_stamp_ahead_moves_no_other_start_of_a_change() {
    let mut world = World::with_list(0);
    world.pass(seconds(30));
    let ahead_ms = world.stamp().saturating_add_signed(HOUR_MS);
    let (since_ms, start) = (world.stamp(), world.now);
    world.pass(seconds(1));
    assert_eq!(world.hear(&[(1, ahead_ms), (2, since_ms)]), [Some(world.now), Some(start)]);
}

/// Guards old upstreams against a slow start.
#[test]
fn no_stamp_is_long_ago() {
    for ahead_ms in STEPS_MS {
        let mut world = World::new(ahead_ms);
        assert_eq!(world.read(&[(0, 0)]), [None]);
        assert_eq!(world.hear(&[(0, 0), (1, 0)]), [None, None]);
        world.pass(seconds(1));
        assert_eq!(world.hear_one(2, 0), None);
    }
}

/// Guards slow start where the clock behind the stamps stepped back between two starts of one name.
#[test]
fn a_restart_with_an_earlier_stamp_is_a_new_start() {
    for stamps_ahead_ms in STEPS_MS {
        let mut world = World::with_list(0);
        world.pass(seconds(2));
        let first_ms = world.stamp();
        let first = world.hear_one(1, first_ms);
        world.pass(seconds(60));
        world.starts.note_line(world.now);
        let last_line = world.now;
        world.pass(seconds(1));
        world.stamps_ahead_ms = stamps_ahead_ms;
        let second_ms = world.stamp();
        world.pass(seconds(1));
        let second = world.hear_one(1, second_ms);
        assert!(second > first, "{stamps_ahead_ms}");
        assert!(
            (last_line..=world.now).contains(&second.expect("just now")),
            "{stamps_ahead_ms}: {second:?}"
        );
    }
}

/// Guards drains, which only a new start ends, against older lists: what names a start that was named before is old,
/// whichever stamp is the later one.
#[test]
fn a_start_named_before_is_no_new_one() {
    for stamps_ahead_ms in STEPS_MS {
        let mut world = World::with_list(0);
        world.pass(seconds(2));
        let first_ms = world.stamp();
        world.hear_one(1, first_ms);
        world.pass(seconds(60));
        world.stamps_ahead_ms = stamps_ahead_ms;
        let second_ms = world.stamp();
        world.hear_one(1, second_ms);
        for since_ms in [0, first_ms, second_ms] {
            assert!(!world.starts.is_new_start(world.now, EndpointId(1), since_ms), "{stamps_ahead_ms}");
        }
    }
}

/// Guards a new process, which an older list may name where discovery counts anew: a stamp that stepped back by less
/// than the time since the first list is not taken for one of before that.
#[test]
fn an_earlier_stamp_after_the_first_list_is_a_new_start() {
    for step_ms in STEPS_MS.into_iter().filter(|&step_ms| step_ms < 0) {
        let mut world = World::with_list(0);
        world.pass(Duration::from_millis(step_ms.unsigned_abs()) + seconds(5));
        let first_ms = world.stamp();
        world.hear_one(1, first_ms);
        world.pass(seconds(1));
        world.stamps_ahead_ms = step_ms;
        let second_ms = world.stamp();
        assert!(world.starts.is_new_start(world.now, EndpointId(1), second_ms), "{step_ms}");
    }
}

/// Guards drains against an older list that names the process before, which ended before this one had a list.
#[test]
fn an_earlier_stamp_before_the_first_list_is_no_new_start() {
    for ahead_ms in STEPS_MS {
        let mut world = World::new(ahead_ms);
        let since_ms = world.stamp();
        world.hear_one(1, since_ms);
        world.pass(seconds(10));
        let before_ms = since_ms - 20 * SECOND_MS;
        assert!(!world.starts.is_new_start(world.now, EndpointId(1), before_ms), "{ahead_ms}");
        assert!(world.starts.is_new_start(world.now, EndpointId(1), since_ms + SECOND_MS), "{ahead_ms}");
    }
}

/// Guards a first list, which bounds nothing: what it says is used as far as it can be true.
#[test]
fn a_first_list_names_starts_of_any_age() {
    let mut world = World::new(0);
    let ages_s = [0, 5, 3599, 3600, 7200];
    let entries = ages_s.map(|age_s| (age_s as u32, BEGIN_MS - age_s * SECOND_MS));
    let times = world.hear(&entries);
    assert_eq!(times[..3], [Some(BEGIN), Some(BEGIN - seconds(5)), Some(seconds(1))]);
    assert_eq!(times[3..], [None, None]);
}

/// Guards old upstreams against the wall clock of a process that is an hour behind: the stamps in its first list tell
/// that it is later.
#[test]
fn a_process_that_is_behind_does_not_take_the_tier_for_just_started() {
    for ahead_ms in STEPS_MS.into_iter().filter(|&ahead_ms| ahead_ms <= 0) {
        let mut world = World::new(ahead_ms);
        let entries = [600, 60, 0].map(|age_s| (age_s as u32, BEGIN_MS - age_s * SECOND_MS));
        let times = world.hear(&entries);
        let right = [600, 60, 0].map(|age_s| Some(BEGIN - seconds(age_s)));
        assert_eq!(times, right, "{ahead_ms}");
    }
}

/// Guards against starts in the future, which would stay cold for ever.
#[test]
fn no_start_of_a_first_list_is_in_the_future() {
    for ahead_ms in STEPS_MS {
        for stamps_ahead_ms in STEPS_MS {
            let mut world = World::new(ahead_ms);
            world.stamps_ahead_ms = stamps_ahead_ms;
            let since_ms = world.stamp();
            let started = world.hear(&[(1, since_ms), (2, since_ms - 10 * SECOND_MS)]);
            assert!(started.iter().flatten().all(|&started| started <= world.now), "{started:?}");
        }
    }
}

/// Guards what the configuration's list began: discovery's first names the same processes, and is a first one itself.
#[test]
fn the_list_of_the_configuration_bounds_nothing() {
    for ahead_ms in STEPS_MS {
        let mut world = World::new(0);
        let known_ms = BEGIN_MS - 60 * SECOND_MS;
        assert_eq!(world.read(&[(1, known_ms)]), [Some(BEGIN - seconds(60))]);
        world.step(ahead_ms);
        world.pass(seconds(1));
        let times = world.hear(&[(1, known_ms), (2, known_ms - 20 * SECOND_MS)]);
        assert_eq!(times[0], Some(BEGIN - seconds(60)), "{ahead_ms}");
        if ahead_ms == 0 {
            assert_eq!(times[1], Some(BEGIN - seconds(80)));
        }
    }
}

/// Guards a tier whose first list is still to come: signs of life before it say nothing of its age.
#[test]
fn signs_of_life_before_any_list_bound_nothing() {
    let mut world = World::new(0);
    world.starts.note_line(world.now);
    world.pass(seconds(2));
    assert_eq!(world.hear_one(1, BEGIN_MS - 60 * SECOND_MS), Some(BEGIN - seconds(60)));
}

/// Guards warm upstreams that are out of the list for a while: by a word of its own, or absent from a whole list.
#[test]
fn a_return_with_the_same_stamp_keeps_its_start() {
    for ahead_ms in STEPS_MS {
        let mut world = World::with_list(0);
        world.pass(seconds(2));
        let since_ms = world.stamp();
        let started = world.hear_one(1, since_ms);
        world.starts.delist(EndpointId(1));
        world.pass(seconds(60));
        world.step(ahead_ms);
        assert_eq!(world.hear_one(1, since_ms), started, "{ahead_ms}");
        world.starts.retain(&[EndpointId(0)].into_iter().collect());
        world.pass(seconds(60));
        assert_eq!(world.hear_one(1, since_ms), started, "{ahead_ms}");
    }
}

/// Guards the memory of a process that lives long: names come and go, and one goes and returns all the time.
#[test]
fn memory_of_starts_is_bounded() {
    let mut world = World::with_list(0);
    let steady_ms = world.stamp();
    let steady = world.hear_one(0, steady_ms);
    for id in 1..=3 * MAX_PAST_STARTS as u32 {
        world.pass(Duration::from_millis(20));
        let since_ms = world.stamp();
        world.hear_one(id, since_ms);
        world.starts.delist(EndpointId(id));
        world.starts.delist(EndpointId(0));
        assert!(world.starts.past_len() <= MAX_PAST_STARTS);
        assert_eq!(world.hear_one(0, steady_ms), steady, "the latest are remembered");
    }
}
