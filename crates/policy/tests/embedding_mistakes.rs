//! Mistakes of the embedding program: invalid settings give typed errors, a request of an unknown class is refused, and
//! other events with unknown identifiers cause no panic.

mod common;
#[path = "common/two_zones.rs"]
mod two_zones;

use balancer_policy::interface::*;
use balancer_policy::{Action, Balancer, Event, Settings};
use common::{START, millis};
use two_zones::{member, settings};

#[test]
fn invalid_settings_give_typed_errors() {
    // Changes valid settings, and returns the error of a balancer that is created with them.
    let with = |change: fn(&mut Settings)| {
        let mut settings = settings(false, false);
        change(&mut settings);
        Balancer::new(settings, 1).err()
    };
    assert_eq!(with(|_| {}), None);
    assert_eq!(with(|settings| settings.classes.clear()), Some(SettingsError::NoClass));
    assert_eq!(with(|settings| settings.zone = ZoneId(2)), Some(SettingsError::UnknownZone));
    assert_eq!(with(|settings| settings.replicas = 0), Some(SettingsError::NoReplicas));
    assert_eq!(with(|settings| settings.permissions.max_attempts = 0), Some(SettingsError::NoAttempts));
    assert_eq!(
        with(|settings| settings.classes[1].latency_objective = millis(9_000)),
        Some(SettingsError::ClassTimes(1))
    );
    assert_eq!(
        with(|settings| settings.rules.slow_start_min_fraction = f64::NAN),
        // The error names the rule `slow_start_min_fraction` by its outer name.
        Some(SettingsError::OutOfRange("cold share"))
    );
}

/// A request of an unknown class is refused. An unknown tenant is no mistake for the balancer: it counts as the last
/// tenant. Events for an unknown request, attempt or upstream cause no panic, and no action but the cancellation of
/// attempts of a known request.
#[test]
fn unknown_classes_upstreams_and_requests_are_refused_or_ignored() {
    let mut balancer = Balancer::new(settings(false, false), 1).expect("the settings should be valid");
    let mut actions = Vec::new();
    balancer.handle(START, Event::List(ListUpdate::Snapshot(Vec::new())), &mut actions);
    // The class is unknown, so the request is refused.
    let request = Request {
        id: RequestId(7),
        class: ClassId(99),
        tenant: Some(TenantId(99)),
        subject: None,
        time_left: millis(0),
        expected_work: None,
        is_client_retry: false,
    };
    balancer.handle(START, Event::Request(request), &mut actions);
    assert_eq!(actions, [Action::Refuse { request: RequestId(7), retry_after: None }]);
    actions.clear();
    balancer.handle(START, Event::List(ListUpdate::Snapshot(vec![member(1)])), &mut actions);
    let request = Request { class: ClassId(0), time_left: millis(900), ..request };
    balancer.handle(START, Event::Request(request), &mut actions);
    balancer.handle(START, Event::Request(request), &mut actions);
    assert_eq!(actions.len(), 1, "a request with an identifier in use should be ignored");
    actions.clear();
    // Request 7 is in flight, but attempts 5 and 9 of it were never sent. Request 8 is unknown.
    for id in [7, 8] {
        balancer.handle(START, Event::ClientDisconnected(RequestId(id)), &mut actions);
        let ended = Event::AttemptEnded {
            request: RequestId(id),
            attempt: AttemptNumber(5),
            outcome: Outcome::Success,
            duration: millis(0),
            connect_wait: millis(0),
            request_finished: true,
            load: None,
        };
        balancer.handle(START, ended, &mut actions);
        let started = Event::StreamStarted { request: RequestId(id), attempt: AttemptNumber(9) };
        balancer.handle(START, started, &mut actions);
    }
    // Upstream 99 is not in the list.
    let unknown_upstream = Event::HealthChecked {
        upstream: EndpointId(99),
        outcome: Outcome::Success,
        duration: millis(1),
        load: None,
    };
    balancer.handle(START, unknown_upstream, &mut actions);
    balancer.handle(START, Event::Connected(EndpointId(99)), &mut actions);
    // Only the attempt of request 7, whose client has disconnected, may be cancelled.
    assert!(actions.iter().all(|action| matches!(action, Action::CancelAttempt { .. })));
}
