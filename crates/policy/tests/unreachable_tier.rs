//! Endpoints that are overloaded or unreachable while connections come up late: the limits decrease in overload, and
//! rise again once requests succeed.

mod common;
#[path = "common/connection_delays.rs"]
mod connection_delays;

use std::time::Duration;

use balancer_policy::interface::*;
use common::millis;
use connection_delays::{SimulatedHost, idle, low_load_latency, settings, third_late};
use oorandom::Rand64;

/// Returns the fractions of the requests that two replicas admit whose upstreams are overloaded, so that a fraction
/// `part` of the attempts ends with `outcome`. The first replica has connections at once; a third of the second one's
/// come up late.
fn admitted_under_overload(rate: f64, outcome: Outcome, part: f64) -> (f64, f64) {
    let run = |late: bool| {
        let mut host = SimulatedHost::new(settings(2, rate / 1.2), 5, 6, millis(12));
        host.run(rate, 20, idle);
        let overloaded = |_: EndpointId, rng: &mut Rand64| {
            let connect_wait = if late { third_late(rng) } else { Some(Duration::ZERO) };
            let (how, duration) = if rng.rand_float() < part {
                (outcome, millis(900))
            } else {
                (Outcome::Success, low_load_latency(rng))
            };
            (connect_wait, how, if how == Outcome::Refused { millis(2) } else { duration })
        };
        host.run(rate, 15, overloaded);
        host.run(rate, 45, overloaded).admitted()
    };
    (run(false), run(true))
}

#[test]
fn overloaded_upstreams_decrease_the_limits_despite_late_connections() {
    for (rate, outcome, part) in [
        (10.0, Outcome::Refused, 0.8),
        (60.0, Outcome::Refused, 0.8),
        (10.0, Outcome::TimedOut, 0.7),
        (60.0, Outcome::TimedOut, 0.7),
    ] {
        let (at_once, late) = admitted_under_overload(rate, outcome, part);
        assert!(
            at_once < 0.5 && late < at_once + 0.06,
            "{rate}/s, {outcome:?}: {late} admitted with late connections, {at_once} without"
        );
    }
}

#[test]
fn the_reachable_half_of_a_tier_serves_the_requests() {
    for (rate, max_fraction) in [(2.0, 0.25), (10.0, 0.1), (60.0, 0.05)] {
        let mut host = SimulatedHost::new(settings(2, rate * 2.0), 5, 8, millis(12));
        host.run(rate, 20, idle);
        let half = |id: EndpointId, rng: &mut Rand64| {
            (Some(Duration::ZERO).filter(|_| id.0 >= 4), Outcome::Success, low_load_latency(rng))
        };
        // The unreachable upstreams are only found by sending to them, so a few requests fail at first.
        let first = host.run(rate, 20, half);
        let counts = host.run(rate, 60, half);
        assert!(
            first.served() > 0.85 && counts.served() > 0.94,
            "{rate} requests/s: too few served, in the first 20 s {first:?}, then {counts:?}"
        );
        assert!(
            counts.fraction_sent_to(0..4) < max_fraction,
            "{rate} requests/s: expected below {max_fraction} of the attempts at the unreachable half, saw {counts:?}"
        );
    }
}

/// Guards against unlimited load on a tier of which no endpoint can be reached: this counts as congestion, whether the
/// connection attempts are refused or time out.
#[test]
fn a_wholly_unreachable_tier_decreases_the_limits() {
    for rate in [2.0, 10.0, 60.0] {
        let run = |connect_wait: Option<Duration>| {
            let mut host = SimulatedHost::new(settings(2, rate * 1.2), 5, 8, millis(12));
            host.run(rate, 20, idle);
            host.run(rate, 15, |_, _| (connect_wait, Outcome::ConnectFailed, millis(12)));
            host.run(rate, 40, |_, _| (connect_wait, Outcome::ConnectFailed, millis(12))).admitted()
        };
        let (failed, timed_out) = (run(Some(Duration::ZERO)), run(None));
        assert!(
            failed < 0.5 && timed_out < failed + 0.15,
            "{rate} requests/s: {timed_out} admitted with connect timeouts, {failed} with failed connections"
        );
    }
}

/// Returns the second from which on a replica serves most of its part of the quota again, over any six seconds. The
/// upstreams have answered no request for 15 s and are idle again; clients send `load_multiple` times the replica's
/// part of the quota. `quota` says whether the tenant has a quota at all.
fn seconds_to_recover(quota: bool, part: f64, load_multiple: f64) -> usize {
    let mut settings = settings(2, part);
    if !quota {
        settings.tenants = vec![Tenant { quota: None }];
    }
    let mut host = SimulatedHost::new(settings, 5, 8, millis(12));
    host.run(part, 30, idle);
    host.run(part * 3.0, 15, |_, _| (Some(Duration::ZERO), Outcome::TimedOut, millis(10)));
    let served: Vec<u32> = (0..50).map(|_| host.run(part * load_multiple, 1, idle).served).collect();
    // Under a strict limit requests are admitted in bursts, so count them over six seconds.
    let below_quota = |seconds: &[u32]| f64::from(seconds.iter().sum::<u32>()) < 0.7 * 6.0 * part;
    served.windows(6).rposition(below_quota).map_or(0, |at| at + 1)
}

/// Guards against limits that stay at their floors. With late connections and clients that retried at once, denied
/// requests told nothing about the tier, and the few admitted ones met the congestion level of long before.
#[test]
fn a_limit_at_its_floor_recovers_within_seconds_once_requests_succeed() {
    for (quota, part, load_multiple) in [
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
        let seconds = seconds_to_recover(quota, part, load_multiple);
        assert!(
            seconds <= 10,
            "quota {quota}, {part}/s, {load_multiple} times as many offered: expected recovery within 10 s, saw {seconds} s"
        );
    }
}
