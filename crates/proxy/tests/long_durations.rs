//! Idle periods and outages that last for hours, run on the policy alone in virtual time.

#[path = "../../policy/tests/common/mod.rs"]
mod virtual_time;

use std::collections::BTreeMap;
use std::time::Duration;

use balancer_policy::interface::{
    DiscoveryMode, EndpointId, Event, Idempotency, Lifecycle, ListUpdate, Member, Outcome,
};
use balancer_policy::{Action, Settings};
use virtual_time::{Bench, class, member, millis, sent_upstream};

/// Creates a test bench with one replica of the first tier and eight upstreams, in this discovery mode.
fn replica(discovery: DiscoveryMode) -> Bench {
    let mut settings = Settings::single_zone(vec![class(Idempotency::Idempotent)]);
    settings.discovery = discovery;
    settings.rules.poll_interval_max = Some(millis(10_000));
    Bench::new(settings, 11, (0..8).map(member).collect())
}

/// Sends requests, one every 50 ms, while the upstreams in `failing` refuse each connection at once. Returns how many
/// requests were served and how many attempts went to the failing upstreams.
fn send_requests(bench: &mut Bench, requests: u32, failing: &[u32]) -> (u32, u32) {
    let (mut served, mut failed) = (0, 0);
    for _ in 0..requests {
        let meets = |upstream: EndpointId| match failing.contains(&upstream.0) {
            true => (Outcome::ConnectFailed, millis(1)),
            false => (Outcome::Success, millis(20)),
        };
        let tried = bench.run(meets);
        served += u32::from(tried.last().is_some_and(|upstream| !failing.contains(&upstream.0)));
        failed += tried.iter().filter(|upstream| failing.contains(&upstream.0)).count() as u32;
        bench.advance(millis(30));
    }
    (served, failed)
}

/// Guards against policy state that a long idle period spoils: after six hours without traffic, failing upstreams are
/// ejected as quickly as after minutes of traffic, and requests are served from the first one on.
#[test]
fn faults_after_hours_without_traffic_are_detected_as_quickly() {
    let mut bench = replica(DiscoveryMode::Push);
    assert_eq!(send_requests(&mut bench, 200, &[]), (200, 0));
    let (busy_served, busy_failed) = send_requests(&mut bench, 200, &[2, 5]);
    bench.advance(Duration::from_secs(60));
    assert_eq!(send_requests(&mut bench, 200, &[]).0, 200);
    bench.advance(Duration::from_secs(6 * 3600));
    let (served, failed) = send_requests(&mut bench, 200, &[2, 5]);
    println!("{failed} attempts failed after the idle period, {busy_failed} after traffic");
    assert!(
        served >= 198 && busy_served >= 198,
        "expected at least 198 of 200 served, got {served} after the idle period and {busy_served} after traffic"
    );
    // A quarter of the tier fails; without ejection it would get some 50 attempts or more.
    assert!(
        failed <= 12 && failed <= busy_failed + 4,
        "expected at most 12 failed attempts and at most {busy_failed} + 4 as after traffic, got {failed}"
    );
    // The policy uses the upstreams again after they have recovered.
    bench.advance(Duration::from_secs(60));
    assert_eq!(send_requests(&mut bench, 200, &[]).0, 200);
}

/// Simulates an outage of discovery in which each watch breaks as soon as it is opened. Returns the times at which the
/// replica subscribes.
fn simulate_discovery_outage(bench: &mut Bench, length: Duration) -> Vec<Duration> {
    let end = bench.now + length;
    let mut subscribed_at = Vec::new();
    bench.report(Event::List(ListUpdate::Broken));
    while bench.now < end {
        let actions = bench.report(Event::MaintenanceDue);
        let wake = actions.iter().find_map(|action| match action {
            Action::ScheduleMaintenance(span) => Some(*span),
            _ => None,
        });
        if actions.contains(&Action::Subscribe) {
            subscribed_at.push(bench.now);
            bench.report(Event::List(ListUpdate::Broken));
        }
        bench.now += wake.expect("maintenance schedules its next run");
    }
    subscribed_at
}

/// Guards against a replica that loses its list or overloads discovery in an outage of hours: it keeps using its
/// current list, subscribes again at bounded intervals, and applies the drains in the first snapshot after the outage.
#[test]
fn an_outage_of_discovery_for_hours_keeps_the_list_in_use() {
    // A discovery service shared by many replicas gets a request from each every few seconds; the replica's own agent
    // gets them at shorter intervals.
    let retry_intervals = [
        (DiscoveryMode::Subscribe, millis(1500), millis(5000)),
        (DiscoveryMode::Agent, millis(100), millis(500)),
    ];
    for (mode, least, widest) in retry_intervals {
        let mut bench = replica(mode);
        assert_eq!(send_requests(&mut bench, 100, &[]).0, 100);
        let length = Duration::from_secs(3 * 3600);
        let subscribed_at = simulate_discovery_outage(&mut bench, length);
        let pauses: Vec<Duration> = subscribed_at.windows(2).map(|pair| pair[1] - pair[0]).collect();
        let longest = pauses.iter().max().expect("the replica subscribes again");
        println!("{mode:?}: {} subscriptions in {length:?}, at most {longest:?} apart", subscribed_at.len());
        assert!(
            *longest <= widest,
            "{mode:?}: expected subscriptions at most {widest:?} apart, got {longest:?}"
        );
        assert!(
            subscribed_at.len() as u128 <= length.as_millis() / least.as_millis(),
            "{mode:?}: expected subscriptions at least {least:?} apart on average, got {}",
            subscribed_at.len()
        );
        assert_eq!(
            send_requests(&mut bench, 100, &[]).0,
            100,
            "{mode:?}: expected all requests served on the current list"
        );
        // The first snapshot after the outage says that half of the tier drains.
        let replaced = |id| Member {
            lifecycle: if id < 4 { Lifecycle::Draining } else { Lifecycle::Ready },
            ..member(id)
        };
        bench.report(Event::List(ListUpdate::Snapshot((0..8).map(replaced).collect())));
        let mut seen: BTreeMap<u32, u32> = BTreeMap::new();
        for _ in 0..200 {
            let (id, actions) = bench.offer(None);
            let upstream = sent_upstream(&actions).expect("four upstreams are ready");
            *seen.entry(upstream.0).or_default() += 1;
            bench.advance(millis(20));
            bench.end_attempt(id, 0, Outcome::Success, millis(20));
        }
        assert!(
            seen.keys().all(|&upstream| upstream >= 4),
            "{mode:?}: requests were sent to draining upstreams: {seen:?}"
        );
    }
}
