//! Choice of the parent that a child follows, and the waits between calls.

use std::collections::BTreeSet;
use std::time::Duration;

use config_distribution::parents::{
    HEARTBEAT_EVERY, INITIAL_BACKOFF, MAX_BACKOFF, MIN_STALE_GRACE, MIN_STALE_LIMIT, PARENT_SILENCE_TIMEOUT,
    Parents, Step, Verdict, may_serve,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Virtual time at which the tests begin.
const START: Duration = Duration::from_secs(50);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Advances `now` to the next call and returns the number of the parent to follow.
fn follow(parents: &mut Parents, now: &mut Duration) -> usize {
    loop {
        match parents.next(*now) {
            Step::Follow(parent) => return parent,
            Step::Wait(wait) => {
                assert!(wait > Duration::ZERO);
                *now += wait;
            }
        }
    }
}

/// Keeps a watch at an up-to-date parent open for this long, with regular heartbeats.
fn hold_watch(parents: &mut Parents, now: &mut Duration, length: Duration) {
    assert_eq!(parents.on_line(*now, 0), Verdict::Stay);
    let until = *now + length;
    while *now + HEARTBEAT_EVERY < until {
        *now += HEARTBEAT_EVERY;
        assert_eq!(parents.on_line(*now, 0), Verdict::Stay);
    }
    *now = until;
    assert_eq!(parents.on_line(*now, 0), Verdict::Stay);
}

#[test]
fn first_call_is_immediate_and_the_order_is_random() {
    let mut first_counts = [0; 3];
    for seed in 0..3000 {
        let mut parents = Parents::new(3, seed);
        let Step::Follow(first) = parents.next(START) else {
            panic!("expected the first call at once, got a wait")
        };
        first_counts[first] += 1;
        let mut now = START;
        parents.on_watch_ended(now);
        let seen = BTreeSet::from([first, follow(&mut parents, &mut now), {
            parents.on_watch_ended(now);
            follow(&mut parents, &mut now)
        }]);
        assert_eq!(seen.len(), 3, "expected each parent once before any repeats");
    }
    assert!(
        first_counts.iter().all(|count| (850..1150).contains(count)),
        "first parents are not evenly distributed: {first_counts:?}"
    );
}

#[test]
fn next_parent_is_called_soon_after_an_established_watch_ends() {
    let mut waits = Vec::new();
    for seed in 0..1000 {
        let (mut parents, mut now) = (Parents::new(2, seed), START);
        let first = follow(&mut parents, &mut now);
        hold_watch(&mut parents, &mut now, ms(10_000));
        let end = now;
        parents.on_watch_ended(now);
        assert_ne!(follow(&mut parents, &mut now), first);
        waits.push(now - end);
    }
    waits.sort();
    assert!(*waits.last().expect("waits") <= INITIAL_BACKOFF);
    // Waits are evenly distributed: about a tenth of them falls into each tenth of the interval.
    for tenth in 0..10 {
        let (from, to) = (INITIAL_BACKOFF * tenth / 10, INITIAL_BACKOFF * (tenth + 1) / 10);
        let count = waits.iter().filter(|wait| (from..to).contains(wait)).count();
        assert!((60..140).contains(&count), "expected about 100 of 1000 waits in tenth {tenth}, got {count}");
    }
}

#[test]
fn failed_calls_back_off_up_to_a_maximum() {
    let mut longest_waits = [Duration::ZERO; 8];
    for seed in 0..500 {
        let (mut parents, mut now) = (Parents::new(3, seed), START);
        for longest_wait in &mut longest_waits {
            follow(&mut parents, &mut now);
            let end = now;
            parents.on_watch_ended(now);
            follow(&mut parents, &mut now);
            *longest_wait = (*longest_wait).max(now - end);
        }
    }
    let bounds = [1, 2, 4, 4, 4, 4, 4, 4].map(|times| INITIAL_BACKOFF * times);
    assert_eq!(*bounds.last().expect("bounds"), MAX_BACKOFF);
    for (longest_wait, bound) in longest_waits.iter().zip(bounds) {
        assert!(
            *longest_wait <= bound && *longest_wait > bound * 9 / 10,
            "longest wait {longest_wait:?}, expected close to the bound {bound:?}"
        );
    }
}

#[test]
fn single_line_before_the_end_does_not_reset_the_backoff() {
    let mut total = Duration::ZERO;
    for seed in 0..200 {
        let (mut parents, mut now) = (Parents::new(1, seed), START);
        for _ in 0..20 {
            follow(&mut parents, &mut now);
            assert_eq!(parents.on_line(now, 0), Verdict::Stay);
            parents.on_watch_ended(now);
        }
        total += now - START;
    }
    // Once the backoff is at its maximum, waits average half of it.
    assert!(total / 200 > ms(7000), "average time of 20 calls: {:?}", total / 200);
}

#[test]
fn stale_parent_is_left_at_a_random_limit() {
    let mut left = Vec::new();
    for seed in 0..200 {
        let (mut parents, mut now) = (Parents::new(2, seed), START);
        let first = follow(&mut parents, &mut now);
        hold_watch(&mut parents, &mut now, ms(4000));
        let stale_s = (1..10)
            .find(|stale_s| parents.on_line(now, *stale_s) == Verdict::Leave)
            .expect("the parent is left below 10 s of staleness");
        left.push(stale_s);
        parents.on_watch_ended(now);
        assert_ne!(follow(&mut parents, &mut now), first);
        assert_eq!(parents.on_line(now, 0), Verdict::Stay);
    }
    let longest = 2 * MIN_STALE_LIMIT.as_secs();
    assert!(
        left.iter().all(|stale_s| (MIN_STALE_LIMIT.as_secs() + 1..=longest).contains(stale_s)),
        "staleness at which parents were left: {left:?}"
    );
    assert!(left.contains(&3) && left.contains(&4));
}

#[test]
fn child_with_only_stale_parents_rotates_slowly_among_them() {
    for count in 1..=5_usize {
        for seed in 0..20 {
            let (mut parents, mut now) = (Parents::new(count, seed), START);
            let mut calls = 0;
            let (mut seen, mut since) = (BTreeSet::new(), START);
            let end = START + Duration::from_secs(600);
            while now < end {
                let parent = follow(&mut parents, &mut now);
                calls += 1;
                seen.insert(parent);
                if seen.len() == count {
                    // A parent that becomes up to date is found within one grace time and one round of calls.
                    let max_time = 2 * MIN_STALE_GRACE + HEARTBEAT_EVERY + count as u32 * MAX_BACKOFF;
                    assert!(
                        now - since <= max_time,
                        "time between two calls of each parent: {:?}",
                        now - since
                    );
                    seen = BTreeSet::from([parent]);
                    since = now;
                }
                while parents.on_line(now, 60) == Verdict::Stay && now < end {
                    now += HEARTBEAT_EVERY;
                }
                parents.on_watch_ended(now);
            }
            let max_calls = if count == 1 { 1 } else { 600 / MIN_STALE_GRACE.as_secs() as usize * count };
            assert!(calls <= max_calls, "{count} parents: {calls} calls");
        }
    }
}

#[test]
fn stale_parent_is_kept_while_the_other_is_unreachable() {
    for seed in 0..50 {
        let (mut parents, mut now) = (Parents::new(2, seed), START);
        let dead = follow(&mut parents, &mut now);
        parents.on_watch_ended(now);
        assert_ne!(follow(&mut parents, &mut now), dead);
        // The parent is stale, but the other one could not be reached, so the child stays for the grace time.
        for _ in 0..2 {
            assert_eq!(parents.on_line(now, 30), Verdict::Stay);
            now += ms(1900);
        }
        // Once the parent is up to date again, the grace time ends, and it is left as soon as it becomes stale.
        assert_eq!(parents.on_line(now, 0), Verdict::Stay);
        assert_eq!(parents.on_line(now, 30), Verdict::Leave);
    }
}

#[test]
fn staleness_is_passed_on_and_accumulates() {
    let (mut parents, mut now) = (Parents::new(1, 1), START);
    assert_eq!(parents.stale_s(now), 0);
    follow(&mut parents, &mut now);
    assert_eq!(parents.stale_s(now + PARENT_SILENCE_TIMEOUT), 0);
    assert_eq!(parents.stale_s(now + ms(7999)), 7, "without any line, staleness counts from the first call");
    parents.on_line(now, 0);
    now += HEARTBEAT_EVERY;
    assert_eq!(parents.stale_s(now), 0);
    parents.on_line(now, 5);
    // The earlier line proves a later up-to-date time than this one, which states 5 s of staleness.
    assert_eq!(parents.stale_s(now + ms(1000)), 0);
    assert_eq!(parents.stale_s(now + ms(2000)), 4);
    now += ms(20_000);
    parents.on_line(now, 9);
    assert_eq!(parents.stale_s(now), 9);
    assert_eq!(parents.stale_s(now + ms(3000)), 12);
    parents.on_line(now, 0);
    assert_eq!(parents.stale_s(now), 0);
}

#[test]
fn only_lower_levels_may_serve_relays() {
    assert!(may_serve(0, Some(1)) && may_serve(1, Some(2)) && may_serve(2, None) && may_serve(0, None));
    assert!(!may_serve(1, Some(1)) && !may_serve(2, Some(1)) && !may_serve(0, Some(0)));
}

#[test]
fn child_without_parents_only_waits() {
    let mut parents = Parents::new(0, 1);
    assert!(matches!(parents.next(START), Step::Wait(wait) if wait > Duration::ZERO));
    parents.on_watch_ended(START);
    assert_eq!(parents.on_line(START, 90), Verdict::Stay);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, rng_seed: RngSeed::Fixed(13), ..ProptestConfig::default() })]

    /// For any sequence of events the number of the parent is valid, no wait exceeds the bound, and the same seed gives
    /// the same result.
    #[test]
    fn any_sequence_of_events_is_handled_deterministically(
        count in 0..6_usize,
        seed in any::<u64>(),
        events in proptest::collection::vec((0..3_u8, 0..9000_u64, any::<u64>()), 0..200),
    ) {
        let run = || {
            let (mut parents, mut now) = (Parents::new(count, seed), START);
            let mut seen = Vec::new();
            for (event, after, number) in &events {
                now += ms(*after);
                match event {
                    0 => match parents.next(now) {
                        Step::Follow(parent) => {
                            assert!(parent < count);
                            seen.push(parent as u64);
                        }
                        Step::Wait(wait) => {
                            assert!(wait <= MAX_BACKOFF && wait > Duration::ZERO);
                            seen.push(wait.as_nanos() as u64);
                        }
                    },
                    1 => seen.push(u64::from(parents.on_line(now, *number) == Verdict::Leave)),
                    _ => parents.on_watch_ended(now),
                }
                seen.push(parents.stale_s(now));
            }
            seen
        };
        prop_assert_eq!(run(), run());
    }
}
