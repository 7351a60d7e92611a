//! Runs a replica from its start to its end with a simulated clock: the list of endpoints, requests, outcomes and
//! maintenance passes.
//!
//! The embedding program must deliver every maintenance pass that was requested, report every outcome exactly once, and
//! use a clock that never goes back. Without maintenance passes, limits and lists are no longer updated. An attempt
//! whose outcome is not reported stays in flight forever. A second report of an outcome is ignored.

use std::time::Duration;

use balancer_policy::interface::*;
use balancer_policy::{Action, Balancer, Event, Settings};

fn main() -> Result<(), SettingsError> {
    let read_class = Class {
        latency_objective: Duration::from_millis(500),
        deadline: Duration::from_secs(2),
        late_weight: 0.0,
        idempotency: Idempotency::Idempotent,
    };
    let mut balancer = Balancer::new(Settings::single_zone(vec![read_class]), 7)?;
    let mut now = Duration::from_secs(1);
    let mut actions = Vec::new();
    balancer.handle(now, Event::Started, &mut actions);
    let members = (1..=3).map(|id| Member {
        id: EndpointId(id),
        zone: Some(ZoneId(0)),
        machine_kind: None,
        cell: 0,
        lifecycle: Lifecycle::Ready,
        weight: 1.0,
        started: None,
    });
    balancer.handle(now, Event::List(ListUpdate::Snapshot(members.collect())), &mut actions);

    let mut next_maintenance =
        carry_out(now, &mut actions).expect("the start schedules the first maintenance pass");
    for number in 0..20 {
        now += Duration::from_millis(50);
        if now >= next_maintenance {
            balancer.handle(now, Event::MaintenanceDue, &mut actions);
            next_maintenance =
                carry_out(now, &mut actions).expect("each maintenance pass schedules the next");
        }
        let id = RequestId(number);
        let request = Request {
            id,
            class: ClassId(0),
            tenant: None,
            subject: None,
            time_left: Duration::from_secs(2),
            expected_work: None,
            is_client_retry: false,
        };
        balancer.handle(now, Event::Request(request), &mut actions);
        let sent = actions.iter().any(|action| matches!(action, Action::Send { .. }));
        carry_out(now, &mut actions);
        if sent {
            // The endpoint answers after 20 ms, and the answer ends the request.
            let attempt_ended = Event::AttemptEnded {
                request: id,
                attempt: AttemptNumber(0),
                outcome: Outcome::Success,
                duration: Duration::from_millis(20),
                connect_wait: Duration::ZERO,
                request_finished: true,
                load: None,
            };
            balancer.handle(now + Duration::from_millis(20), attempt_ended, &mut actions);
        }
    }
    // A replica is shut down by dropping it once all requests in flight have been answered.
    Ok(())
}

/// Prints the actions that a real program would carry out, and returns when the next maintenance pass is due if one was
/// scheduled.
fn carry_out(now: Duration, actions: &mut Vec<Action>) -> Option<Duration> {
    let mut next_maintenance = None;
    for action in actions.drain(..) {
        match action {
            Action::ScheduleMaintenance(delay) => next_maintenance = Some(now + delay),
            other => println!("{:.2} s: {other:?}", now.as_secs_f64()),
        }
    }
    next_maintenance
}
