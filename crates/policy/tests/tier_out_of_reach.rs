//! Endpoints that are full or out of reach behind late connections: limits fall where they must, and open again.

mod common;
#[path = "common/connecting.rs"]
mod connecting;

use std::time::Duration;

use balancer_policy::interface::*;
use common::millis;
use connecting::{World, idle, settings, third_late, usual};
use oorandom::Rand64;

/// The parts admitted by two replicas whose upstreams are full in the given way: one has connections at once, of the
/// other's a third come up late.
fn admitted_of_full(rate: f64, outcome: Outcome, part: f64) -> (f64, f64) {
    let run = |late: bool| {
        let mut world = World::new(settings(2, rate / 1.2), 5, 6, millis(12));
        world.run(rate, 20, idle);
        let full = |_: EndpointId, rng: &mut Rand64| {
            let connects = if late { third_late(rng) } else { Some(Duration::ZERO) };
            let (how, duration) =
                if rng.rand_float() < part { (outcome, millis(900)) } else { (Outcome::Success, usual(rng)) };
            (connects, how, if how == Outcome::Refused { millis(2) } else { duration })
        };
        world.run(rate, 15, full);
        world.run(rate, 45, full).admitted()
    };
    (run(false), run(true))
}

#[test]
fn full_upstreams_cut_the_limits_though_connections_are_late() {
    for (rate, outcome, part) in [
        (10.0, Outcome::Refused, 0.8),
        (60.0, Outcome::Refused, 0.8),
        (10.0, Outcome::TimedOut, 0.7),
        (60.0, Outcome::TimedOut, 0.7),
    ] {
        let (at_once, late) = admitted_of_full(rate, outcome, part);
        assert!(
            at_once < 0.5 && late < at_once + 0.06,
            "{rate}/s, {outcome:?}: {late} admitted, {at_once} if none is late"
        );
    }
}

#[test]
fn a_tier_of_which_half_is_out_of_reach_is_served_by_the_other_half() {
    for (rate, most) in [(2.0, 0.25), (10.0, 0.1), (60.0, 0.05)] {
        let mut world = World::new(settings(2, rate * 2.0), 5, 8, millis(12));
        world.run(rate, 20, idle);
        let half = |id: EndpointId, rng: &mut Rand64| {
            (Some(Duration::ZERO).filter(|_| id.0 >= 4), Outcome::Success, usual(rng))
        };
        // The unreachable ones must be met first.
        let first = world.run(rate, 20, half);
        let tally = world.run(rate, 60, half);
        assert!(first.served() > 0.85 && tally.served() > 0.94, "{rate}/s: {first:?}, then {tally:?}");
        assert!(tally.part_of(0..4) < most, "{rate}/s: {tally:?}");
    }
}

/// A tier that answers nobody is congestion, whatever the connects fail with.
#[test]
fn a_tier_that_is_wholly_out_of_reach_cuts_the_limits() {
    for rate in [2.0, 10.0, 60.0] {
        let run = |connects: Option<Duration>| {
            let mut world = World::new(settings(2, rate * 1.2), 5, 8, millis(12));
            world.run(rate, 20, idle);
            world.run(rate, 15, |_, _| (connects, Outcome::ConnectFailed, millis(12)));
            world.run(rate, 40, |_, _| (connects, Outcome::ConnectFailed, millis(12))).admitted()
        };
        let (failed, timed_out) = (run(Some(Duration::ZERO)), run(None));
        assert!(
            failed < 0.5 && timed_out < failed + 0.15,
            "{rate}/s: {timed_out} admitted, {failed} if refused"
        );
    }
}

/// The second from which on most of a replica's quota is admitted again, over any six seconds, of clients that come
/// `times` as often and find their upstreams at ease, after these had answered nobody for a while.
fn seconds_to_open(quota: bool, part: f64, times: f64) -> usize {
    let mut settings = settings(2, part);
    if !quota {
        settings.tenants = vec![Tenant { quota: None }];
    }
    let mut world = World::new(settings, 5, 8, millis(12));
    world.run(part, 30, idle);
    world.run(part * 3.0, 15, |_, _| (Some(Duration::ZERO), Outcome::TimedOut, millis(10)));
    let served: Vec<u32> = (0..50).map(|_| world.run(part * times, 1, idle).served).collect();
    // Under a hard limit calls come in bursts.
    let shut = |seconds: &[u32]| f64::from(seconds.iter().sum::<u32>()) < 0.7 * 6.0 * part;
    served.windows(6).rposition(shut).map_or(0, |at| at + 1)
}

/// Found on days with late connections: cut limits stayed at their floors under clients that came again at once, as
/// calls denied whole teach nothing and the few admitted between met the congestion of long before.
#[test]
fn a_limit_at_its_floor_opens_within_seconds_once_what_is_let_in_succeeds() {
    for (quota, part, times) in [
        (true, 10.0, 1.0),
        (true, 60.0, 1.0),
        (true, 10.0, 10.0),
        (true, 60.0, 10.0),
        (true, 10.0, 25.0),
        (true, 60.0, 25.0),
        (false, 10.0, 25.0),
        (false, 60.0, 25.0),
        (false, 10.0, 60.0),
        (false, 60.0, 60.0),
    ] {
        let seconds = seconds_to_open(quota, part, times);
        assert!(
            seconds <= 10,
            "quota {quota}, {part}/s, {times} times as many calls: open after {seconds} s"
        );
    }
}
