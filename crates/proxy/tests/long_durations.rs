//! Hours of quiet and of outages, which the decisions alone play in virtual time.

#[path = "../../policy/tests/common/mod.rs"]
mod virtual_time;

use std::collections::BTreeMap;
use std::time::Duration;

use balancer_policy::interface::{
    DiscoveryMode, EndpointId, Event, Idempotency, Lifecycle, ListUpdate, Member, Outcome,
};
use balancer_policy::{Action, Settings};
use virtual_time::{Bench, class, member, millis, sent};

/// A replica of a fleet's first tier with eight upstreams, in a mode of having lists.
fn replica(discovery: DiscoveryMode) -> Bench {
    let mut settings = Settings::single_zone(vec![class(Idempotency::Idempotent)]);
    settings.discovery = discovery;
    settings.rules.poll_interval_max = Some(millis(10_000));
    Bench::new(settings, 11, (0..8).map(member).collect())
}

/// Sends so many requests, one each 50 ms, to upstreams of which those named fail at once: how many were served, and
/// how many attempts the failing ones got.
fn send(bench: &mut Bench, requests: u32, failing: &[u32]) -> (u32, u32) {
    let (mut served, mut failed) = (0, 0);
    for _ in 0..requests {
        let meets = |upstream: EndpointId| match failing.contains(&upstream.0) {
            true => (Outcome::ConnectFailed, millis(1)),
            false => (Outcome::Success, millis(20)),
        };
        let tried = bench.run(meets);
        served += u32::from(tried.last().is_some_and(|upstream| !failing.contains(&upstream.0)));
        failed += tried.iter().filter(|upstream| failing.contains(&upstream.0)).count() as u32;
        bench.pass(millis(30));
    }
    (served, failed)
}

/// Guards what was learned against a long rest: after six quiet hours a fault is met as it is after busy minutes.
/// Requests are served from the first one on, and upstreams that fail are ejected.
#[test]
fn trouble_after_hours_of_quiet_is_met_as_any() {
    let mut bench = replica(DiscoveryMode::Push);
    assert_eq!(send(&mut bench, 200, &[]), (200, 0));
    let (busy_served, busy_failed) = send(&mut bench, 200, &[2, 5]);
    bench.pass(Duration::from_secs(60));
    assert_eq!(send(&mut bench, 200, &[]).0, 200);
    bench.pass(Duration::from_secs(6 * 3600));
    let (served, failed) = send(&mut bench, 200, &[2, 5]);
    println!("{failed} attempts failed, {busy_failed} in busy times");
    assert!(served >= 198 && busy_served >= 198, "{served} of 200 served, {busy_served} in busy times");
    // A quarter of the tier fails: unheeded, it would get some 50 attempts and more.
    assert!(
        failed <= 12 && failed <= busy_failed + 4,
        "{failed} attempts failed, {busy_failed} in busy times"
    );
    // And the fault's end is seen.
    bench.pass(Duration::from_secs(60));
    assert_eq!(send(&mut bench, 200, &[]).0, 200);
}

/// Plays an outage of discovery's, in which each watch breaks as soon as it is asked for: when the replica asks.
fn outage(bench: &mut Bench, length: Duration) -> Vec<Duration> {
    let end = bench.now + length;
    let mut asked = Vec::new();
    bench.tell(Event::List(ListUpdate::Broken));
    while bench.now < end {
        let actions = bench.tell(Event::MaintenanceDue);
        let wake = actions.iter().find_map(|action| match action {
            Action::ScheduleMaintenance(span) => Some(*span),
            _ => None,
        });
        if actions.contains(&Action::Subscribe) {
            asked.push(bench.now);
            bench.tell(Event::List(ListUpdate::Broken));
        }
        bench.now += wake.expect("a sweep asks for the next");
    }
    asked
}

/// Guards the list and discovery against an outage of hours: the replica goes on with the list in hand, asks as often as it
/// owes and not without a pause, and holds a drain that it hears of with the first word after it.
#[test]
fn an_outage_of_discovery_for_hours_is_outlived() {
    // A service of many replicas is asked by each every some seconds, an agent of the replica's own sooner.
    let spaced = [
        (DiscoveryMode::Subscribe, millis(1500), millis(5000)),
        (DiscoveryMode::Agent, millis(100), millis(500)),
    ];
    for (mode, least, widest) in spaced {
        let mut bench = replica(mode);
        assert_eq!(send(&mut bench, 100, &[]).0, 100);
        let length = Duration::from_secs(3 * 3600);
        let asked = outage(&mut bench, length);
        let pauses: Vec<Duration> = asked.windows(2).map(|pair| pair[1] - pair[0]).collect();
        let longest = pauses.iter().max().expect("it asks");
        println!("{mode:?}: {} asks in {length:?}, {longest:?} apart at the most", asked.len());
        assert!(*longest <= widest, "{mode:?}: {longest:?} without an ask");
        assert!(
            asked.len() as u128 <= length.as_millis() / least.as_millis(),
            "{mode:?}: {} asks",
            asked.len()
        );
        assert_eq!(send(&mut bench, 100, &[]).0, 100, "{mode:?}: the list in hand serves");
        // The first word tells that half of the tier has been replaced meanwhile.
        let replaced = |id| Member {
            lifecycle: if id < 4 { Lifecycle::Draining } else { Lifecycle::Ready },
            ..member(id)
        };
        bench.tell(Event::List(ListUpdate::Snapshot((0..8).map(replaced).collect())));
        let mut seen: BTreeMap<u32, u32> = BTreeMap::new();
        for _ in 0..200 {
            let (id, actions) = bench.offer(None);
            let upstream = sent(&actions).expect("four are ready");
            *seen.entry(upstream.0).or_default() += 1;
            bench.pass(millis(20));
            bench.end(id, 0, Outcome::Success, millis(20));
        }
        assert!(seen.keys().all(|&upstream| upstream >= 4), "{mode:?}: sent to what drains: {seen:?}");
    }
}
