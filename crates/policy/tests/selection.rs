//! Subsetting, endpoint selection, outlier ejection and slow start. Most tests guard against a failure seen earlier.

mod common;

use std::collections::BTreeMap;

use balancer_policy::interface::*;
use balancer_policy::{Action, Settings};
use common::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn settings() -> Settings {
    Settings::single_zone(vec![class(Idempotency::Idempotent)])
}

/// Upstreams that a replica has sent at least one of 400 requests to.
fn used(replica_index: u32, replicas: u32, upstreams: u32) -> Vec<u32> {
    let settings = Settings { replica_index, replicas, ..settings() };
    let mut bench = Bench::new(settings, u64::from(replica_index), (0..upstreams).map(member).collect());
    let mut used = BTreeMap::new();
    for _ in 0..400 {
        let tried = bench.run(|_| (Outcome::Success, millis(10)));
        used.insert(tried[0].0, ());
    }
    used.into_keys().collect()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, failure_persistence: None, rng_seed: RngSeed::Fixed(7), ..ProptestConfig::default() })]

    /// Each upstream is used by at least one replica, and the numbers of replicas that use any two upstreams differ by
    /// at most 2.
    #[test]
    fn subsets_cover_the_tier_evenly(replicas in 1u32..40, upstreams in 1u32..60) {
        let mut covered = vec![0u32; upstreams as usize];
        for replica_index in 0..replicas {
            for upstream in used(replica_index, replicas, upstreams) {
                covered[upstream as usize] += 1;
            }
        }
        let (least, most) = (covered.iter().min().unwrap(), covered.iter().max().unwrap());
        prop_assert!(*least >= 1, "an upstream is used by no replica; replicas per upstream: {covered:?}");
        prop_assert!(most - least <= 2, "uneven numbers of replicas per upstream: {covered:?}");
    }
}

#[test]
fn a_replica_index_beyond_the_replica_count_still_gets_a_subset() {
    assert!(!used(17, 5, 30).is_empty());
}

#[test]
fn without_upstreams_a_request_is_refused_at_once() {
    let mut bench = Bench::new(settings(), 1, Vec::new());
    assert!(is_refused(&bench.offer(None).1));
}

/// Guards against requests that pile up on a few servers by chance. Many replicas that each saw few requests overloaded
/// servers in this way.
#[test]
fn requests_go_to_idle_members_before_any_gets_a_second() {
    let mut members_with_two = 0;
    for seed in 0..100 {
        let mut bench = Bench::new(settings(), seed, (0..10).map(member).collect());
        let mut in_flight = BTreeMap::new();
        for _ in 0..6 {
            let upstream = sent_upstream(&bench.offer(None).1).unwrap();
            *in_flight.entry(upstream).or_insert(0) += 1;
        }
        members_with_two += in_flight.values().filter(|&&calls| calls > 1).count();
    }
    // If only two random members were compared, about 0.5 members per run would get a second request.
    assert!(
        members_with_two < 15,
        "{members_with_two} members got a second request while others were idle, expected fewer than 15"
    );
}

/// Sends `calls` requests and returns the fraction whose first attempt went to upstream 0. That upstream ends its
/// attempts with the outcome and after the milliseconds in `first_upstream`, the others succeed after `other_ms`.
fn fraction_to_first(bench: &mut Bench, calls: u32, first_upstream: (Outcome, u64), other_ms: u64) -> f64 {
    let mut first = 0;
    for _ in 0..calls {
        let tried = bench.run(|upstream| match upstream {
            EndpointId(0) => (first_upstream.0, millis(first_upstream.1)),
            _ => (Outcome::Success, millis(other_ms)),
        });
        first += u32::from(tried.first() == Some(&EndpointId(0)));
    }
    f64::from(first) / f64::from(calls)
}

/// A server that fails fast has few requests in flight and looks idle, yet it must not attract requests.
#[test]
fn a_failing_endpoint_is_ejected_and_returns() {
    let mut bench = Bench::new(settings(), 3, (0..5).map(member).collect());
    fraction_to_first(&mut bench, 200, (Outcome::Success, 20), 20);
    let failing = fraction_to_first(&mut bench, 1000, (Outcome::Error, 2), 20);
    assert!(
        failing < 0.04,
        "a fraction of {failing} of the requests still went to the failing endpoint, expected less than 0.04"
    );
    fraction_to_first(&mut bench, 1500, (Outcome::Success, 20), 20);
    let back = fraction_to_first(&mut bench, 500, (Outcome::Success, 20), 20);
    assert!(
        back > 0.1,
        "a fraction of {back} of the requests goes to the recovered endpoint, expected more than 0.1"
    );
}

/// With one request at a time, none is in flight when the next arrives, so only the latencies show that a server is
/// slow.
#[test]
fn a_slow_upstream_gets_fewer_requests() {
    let mut bench = Bench::new(settings(), 3, (0..5).map(member).collect());
    fraction_to_first(&mut bench, 100, (Outcome::Success, 20), 20);
    let slow = fraction_to_first(&mut bench, 600, (Outcome::Success, 100), 20);
    assert!(
        slow < 0.07,
        "a fraction of {slow} of the requests went to the slow upstream, expected less than 0.07"
    );
}

/// A hung server accepts requests and answers none.
#[test]
fn an_upstream_that_does_not_answer_gets_no_more_requests() {
    let mut bench = Bench::new(settings(), 3, (0..5).map(member).collect());
    fraction_to_first(&mut bench, 100, (Outcome::Success, 20), 20);
    let mut unanswered = 0;
    for _ in 0..200 {
        let (id, actions) = bench.offer(None);
        bench.advance(millis(20));
        match sent_upstream(&actions) {
            Some(EndpointId(0)) => unanswered += 1,
            _ => drop(bench.end_attempt(id, 0, Outcome::Success, millis(20))),
        }
    }
    assert!(unanswered <= 2, "the hung upstream got {unanswered} requests, expected at most 2");
}

fn two_zone_bench(tier: usize, cost: f64) -> Bench {
    let mut settings = Settings { zones: 2, tier, ..settings() };
    settings.costs.cross_zone = cost;
    let members = (0..8).map(|id| Member { zone: Some(ZoneId(id as usize % 2)), ..member(id) });
    Bench::new(settings, 9, members.collect())
}

/// Sends `calls` requests and returns the fraction that stays in the local zone (upstreams with even identifiers).
/// A request takes `local_ms` milliseconds there and 50 ms in the other zone.
fn local_fraction(bench: &mut Bench, calls: u32, local_ms: u64) -> f64 {
    let mut local = 0;
    for _ in 0..calls {
        let tried = bench.run(|upstream| match upstream.0 % 2 {
            0 => (Outcome::Success, millis(local_ms)),
            _ => (Outcome::Success, millis(50)),
        });
        local += u32::from(tried[0].0.is_multiple_of(2));
    }
    f64::from(local) / f64::from(calls)
}

/// Guards against a start with all requests in the local zone, which overloaded a congested zone within 2 s.
#[test]
fn the_first_tier_starts_evenly_spread_and_then_keeps_requests_in_the_local_zone() {
    let mut bench = two_zone_bench(0, 0.1);
    let start = local_fraction(&mut bench, 40, 50);
    assert!(
        (0.2..0.8).contains(&start),
        "a fraction of {start} of the first requests stayed in the local zone, expected 0.2 to 0.8"
    );
    local_fraction(&mut bench, 1500, 50);
    assert!(local_fraction(&mut bench, 200, 50) > 0.9);
}

/// Guards against noise in the latencies of few requests, which sent half of them across zones below the first tier.
#[test]
fn lower_tiers_start_in_the_local_zone_and_leave_it_only_when_it_is_slower() {
    let mut bench = two_zone_bench(1, 0.1);
    assert_eq!(local_fraction(&mut bench, 200, 60), 1.0);
    local_fraction(&mut bench, 100, 700);
    assert!(local_fraction(&mut bench, 100, 700) < 0.9);
}

/// An endpoint that is warming up gets no more requests than the capacity that it is sure to have reached allows.
#[test]
fn an_endpoint_warming_up_gets_a_fraction_of_what_warm_ones_get() {
    let mut settings = settings();
    settings.rules.slow_start_min_fraction = 0.1;
    settings.rules.slow_start_window = millis(20_000);
    let mut members: Vec<Member> = (0..5).map(member).collect();
    members[0].started = Some(START);
    let mut bench = Bench::new(settings, 3, members);
    let mut per_second = Vec::new();
    for _ in 0..22 {
        let second = bench.now;
        let (mut warming_up, mut all) = (0, 0);
        while bench.now < second + millis(1000) {
            let tried = bench.run(|_| (Outcome::Success, millis(10)));
            warming_up += u32::from(tried[0].0 == 0);
            all += 1;
        }
        per_second.push((warming_up, all));
    }
    for (age, &(warming_up, all)) in per_second.iter().take(20).enumerate() {
        let warmth = 0.1 + 0.9 * (age as f64 + 1.0) / 20.0;
        let warm_peer = f64::from(all - warming_up) / 4.0;
        let most = warmth * warm_peer * 1.5 + 2.0;
        assert!(
            f64::from(warming_up) <= most,
            "second {age}: {warming_up} requests sent to the endpoint, expected at most {most}"
        );
    }
    let (warming_up, all) = per_second[21];
    assert!(
        f64::from(warming_up) > 0.1 * f64::from(all),
        "the endpoint is warm but got only {warming_up} of {all} requests"
    );
}

/// Guards against denied requests that add to the retry budget. Many denied requests paid for retries in this way and
/// kept an overloaded tier overloaded.
#[test]
fn denied_requests_do_not_add_to_the_retry_budget() {
    let mut settings = settings();
    settings.tenants = vec![Tenant { quota: Some(2.0) }];
    settings.over_quota_weight = 0.0;
    let mut bench = Bench::new(settings, 3, (0..8).map(member).collect());
    let (mut first, mut retries) = (0, 0);
    for _ in 0..2000 {
        bench.advance(millis(5));
        let (id, mut actions) = bench.offer(Some(0));
        let mut number = 0;
        while sent_upstream(&actions).is_some() {
            if number == 0 {
                first += 1
            } else {
                retries += 1
            }
            actions = bench.end_attempt(id, number, Outcome::Error, millis(5));
            number += 1;
        }
    }
    assert!(
        retries <= 6 + first / 10,
        "{retries} retries for {first} admitted requests, expected at most 6 plus a tenth of them"
    );
}

/// Guards against slow attempts that are given up early and sent once more. That adds work just as servers reach their
/// limit, and at one deployment this alone cost 0.07.
#[test]
fn an_attempt_is_not_given_up_before_its_latency_objective() {
    let mut bench = Bench::new(settings(), 3, (0..8).map(member).collect());
    fraction_to_first(&mut bench, 100, (Outcome::Success, 20), 20);
    let (_, actions) = bench.offer(None);
    let timeout = actions.iter().find_map(|action| match action {
        Action::Send { timeout, .. } => *timeout,
        _ => None,
    });
    assert!(timeout.unwrap() > millis(990), "timeout of {timeout:?}, expected more than 990 ms");
}

/// Behind a broken link many upstreams are unreachable at once, which must not be taken for congestion.
#[test]
fn unreachable_endpoints_are_ejected_however_many_they_are() {
    let mut bench = Bench::new(settings(), 3, (0..9).map(member).collect());
    let mut lost = 0;
    for call in 0..600 {
        let tried = bench.run(|upstream| match upstream.0 {
            0..5 => (Outcome::ConnectFailed, millis(20)),
            _ => (Outcome::Success, millis(20)),
        });
        lost += u32::from(call >= 100 && tried[0].0 < 5);
    }
    assert!(
        lost < 75,
        "the first attempts of {lost} of 500 requests went to unreachable upstreams, expected fewer than 75"
    );
}

/// Guards against a handshake for most requests where load is low: at two deployments, replicas that saw a few requests
/// per second spread them over all members.
#[test]
fn a_replica_with_few_requests_reuses_connections_where_handshakes_have_a_cost() {
    let distinct = |cost: f64| {
        let mut settings = settings();
        settings.costs.handshake = cost;
        settings.permissions.streams_per_connection = 1;
        let mut bench = Bench::new(settings, 3, (0..8).map(member).collect());
        let mut used = BTreeMap::new();
        for _ in 0..60 {
            used.insert(bench.run(|_| (Outcome::Success, millis(10)))[0], ());
            bench.advance(millis(300));
        }
        used.len()
    };
    assert_eq!(distinct(0.0), 8);
    assert!(distinct(0.08) <= 5);
}
