//! When a replica subscribes to the list of service discovery again.

mod common;

use balancer_policy::interface::*;
use balancer_policy::{Action, Balancer, Event, Settings};
use common::{START, class, millis};

/// Returns the seconds from `update` until the replica subscribes again, after five failures in a row.
fn subscribes_after(mode: DiscoveryMode, update: ListUpdate) -> f64 {
    let mut settings = Settings::single_zone(vec![class(Idempotency::Idempotent)]);
    settings.discovery = mode;
    settings.rules.poll_interval_max = Some(millis(10_000));
    let mut balancer = Balancer::new(settings, 7).expect("the settings should be valid");
    let mut now = START;
    let mut wait_for_subscribe = |balancer: &mut Balancer, event: Event| {
        let (reported_at, mut actions) = (now, Vec::new());
        balancer.handle(now, event, &mut actions);
        while !actions.contains(&Action::Subscribe) {
            now += millis(200);
            balancer.handle(now, Event::MaintenanceDue, &mut actions);
        }
        (now - reported_at).as_secs_f64()
    };
    wait_for_subscribe(&mut balancer, Event::Started);
    for _ in 0..5 {
        wait_for_subscribe(&mut balancer, Event::List(ListUpdate::Broken));
    }
    wait_for_subscribe(&mut balancer, Event::List(update))
}

/// Guards drains during an outage of service discovery, and a move of discovery to another address during an outage.
/// Failures of a discovery service that many replicas use make them back off. They say nothing about a new address, and
/// a replica reconnects to an agent of its own before the grace period of a drain (0.3 s) has passed.
#[test]
fn failures_delay_neither_a_moved_discovery_nor_an_agent() {
    assert!(subscribes_after(DiscoveryMode::Subscribe, ListUpdate::Broken) > 1.0);
    assert!(subscribes_after(DiscoveryMode::Subscribe, ListUpdate::Relocated) < 0.8);
    assert!(subscribes_after(DiscoveryMode::Agent, ListUpdate::Broken) < 0.25);
}
