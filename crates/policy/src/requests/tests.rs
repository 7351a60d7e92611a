//! Unit tests of the retry budgets, the rules on idempotency and the request table.

use std::sync::Arc;
use std::time::Duration;

use crate::interface::{
    Action, AttemptNumber, Class, ClassId, DeduplicationScope, EndpointId, Idempotency, Lifecycle, Member,
    Outcome, Request, RequestId, Settings, ZoneId,
};
use crate::requests::attempt::{Attempt, AttemptEnd};
use crate::requests::idempotency::may_repeat;
use crate::requests::request_table::{PendingRequest, RequestTable};
use crate::requests::retry_budget::RetryBudgets;

fn member(zone: Option<usize>, cell: u32) -> Member {
    let zone = zone.map(ZoneId);
    Member {
        id: EndpointId(0),
        zone,
        machine_kind: None,
        cell,
        lifecycle: Lifecycle::Ready,
        weight: 1.0,
        started: None,
    }
}

fn pending(late_weight: f64) -> PendingRequest {
    let (latency_objective, deadline) = (Duration::from_millis(500), Duration::from_secs(2));
    let settings = Settings::single_zone(vec![Class {
        latency_objective,
        deadline,
        late_weight,
        idempotency: Idempotency::Idempotent,
    }]);
    let request = Request {
        id: RequestId(1),
        class: ClassId(0),
        tenant: None,
        subject: None,
        time_left: deadline,
        expected_work: None,
        is_client_retry: false,
    };
    PendingRequest::new(10.0, &request, 0, Arc::new(settings))
}

/// Returns a request with two attempts in flight, to the slots 3 and 5.
fn with_two_attempts() -> PendingRequest {
    let mut request = pending(0.0);
    request.attempts = vec![Attempt::new(3, member(None, 0), 10.0), Attempt::new(5, member(None, 0), 10.1)];
    request.in_flight = 2;
    request
}

fn attempt_end(number: u32, outcome: Outcome) -> AttemptEnd {
    let number = AttemptNumber(number);
    AttemptEnd {
        number,
        outcome,
        duration: 0.3,
        connected_duration: 0.2,
        latency_objective: 0.5,
        request_finished: false,
    }
}

fn with_key(scope: DeduplicationScope) -> Idempotency {
    Idempotency::IdempotencyKey { scope, window: Duration::from_secs(1) }
}

#[test]
fn ten_admitted_requests_fund_one_retry_that_may_repeat_work() {
    let mut budgets = RetryBudgets::new();
    while budgets.allow_retry_after(Outcome::Error) {
        budgets.withdraw(Outcome::Error);
    }
    (0..9).for_each(|_| budgets.deposit());
    assert!(!budgets.allow_retry_after(Outcome::Error));
    // Deposits for the tenth request and for one more, because the sum of ten tenths is subject to rounding.
    (0..2).for_each(|_| budgets.deposit());
    assert!(budgets.allow_retry_after(Outcome::Error));
}

#[test]
fn retries_after_attempts_that_never_ran_have_a_separate_budget() {
    let mut budgets = RetryBudgets::new();
    while budgets.allow_retry_after(Outcome::Error) {
        budgets.withdraw(Outcome::Error);
    }
    assert!(budgets.allow_retry_after(Outcome::Refused) && budgets.allow_transparent_retry());
}

#[test]
fn a_retry_budget_holds_no_more_than_its_maximum() {
    let mut budgets = RetryBudgets::new();
    (0..1000).for_each(|_| budgets.deposit());
    let mut retries = 0;
    while budgets.allow_retry_after(Outcome::Refused) {
        budgets.withdraw(Outcome::Refused);
        retries += 1;
    }
    assert_eq!(retries, 20);
}

#[test]
fn a_non_idempotent_request_is_not_retried_after_an_attempt_that_may_have_run() {
    let first = Attempt::new(0, member(Some(0), 0), 10.0);
    let other = member(Some(0), 0);
    assert_eq!(may_repeat(10.1, Idempotency::NotIdempotent, Some(&first), &other), None);
    assert_eq!(may_repeat(10.1, Idempotency::NotIdempotent, None, &other), Some(f64::MAX));
    assert_eq!(may_repeat(10.1, Idempotency::Idempotent, Some(&first), &other), Some(f64::MAX));
}

#[test]
fn a_request_with_an_idempotency_key_is_repeated_only_within_its_scope() {
    let first = Attempt::new(0, member(Some(0), 7), 10.0);
    let may = |scope: DeduplicationScope, zone: Option<usize>, cell: u32| {
        may_repeat(10.5, with_key(scope), Some(&first), &member(zone, cell)).is_some()
    };
    assert!(may(DeduplicationScope::All, Some(1), 8));
    assert!(may(DeduplicationScope::Zone, Some(0), 8) && !may(DeduplicationScope::Zone, Some(1), 7));
    assert!(may(DeduplicationScope::Cell, Some(1), 7) && !may(DeduplicationScope::Cell, Some(0), 8));
    let without_zone = Attempt::new(0, member(None, 7), 10.0);
    let left = may_repeat(10.5, with_key(DeduplicationScope::Zone), Some(&without_zone), &member(None, 7));
    assert_eq!(left, None, "endpoints of unknown zones are not known to share idempotency keys");
}

#[test]
fn a_request_with_an_idempotency_key_is_repeated_only_within_its_window() {
    let first = Attempt::new(0, member(Some(0), 0), 10.0);
    let at = |now: f64| may_repeat(now, with_key(DeduplicationScope::All), Some(&first), &member(Some(0), 0));
    assert_eq!(at(10.75), Some(0.25));
    assert_eq!(at(11.01), None);
}

#[test]
fn an_answer_is_useful_until_the_latency_objective_or_until_the_deadline_if_late_answers_count() {
    assert!((pending(0.0).useful_until() - 10.5).abs() < 1e-9);
    assert!((pending(0.5).useful_until() - 12.0).abs() < 1e-9);
}

#[test]
fn an_attempt_ends_once() {
    let mut request = with_two_attempts();
    assert_eq!(request.end_attempt(&attempt_end(1, Outcome::Error)), Some(5));
    assert_eq!(request.end_attempt(&attempt_end(1, Outcome::Success)), None);
    assert_eq!(request.end_attempt(&attempt_end(2, Outcome::Success)), None, "attempt 2 was never sent");
    assert_eq!(request.in_flight, 1);
    assert!((request.connect_wait - 0.1).abs() < 1e-9, "{}", request.connect_wait);
}

#[test]
fn the_first_possible_run_is_the_first_attempt_that_may_have_run() {
    let mut request = with_two_attempts();
    assert_eq!(request.first_possible_run().map(|attempt| attempt.slot), Some(3), "attempt 0 is in flight");
    request.end_attempt(&attempt_end(0, Outcome::Refused));
    assert_eq!(request.first_possible_run().map(|attempt| attempt.slot), Some(5));
    request.end_attempt(&attempt_end(1, Outcome::NotSent));
    assert!(request.first_possible_run().is_none());
}

#[test]
fn a_closed_request_cancels_its_attempts_and_is_removed_with_the_last() {
    let mut table = RequestTable::default();
    table.insert(with_two_attempts());
    let (id, mut actions) = (RequestId(1), Vec::new());
    table.close(id, true, &mut actions);
    let cancel = |number| Action::CancelAttempt { request: id, attempt: AttemptNumber(number) };
    assert_eq!(actions, [cancel(0), cancel(1)]);
    for number in 0..2 {
        assert!(table.contains(id));
        table.get_mut(id).expect("in flight").end_attempt(&attempt_end(number, Outcome::Cancelled));
        // As in the balancer, the end of an attempt of a closed request calls `close` again, which removes the request
        // once no attempt is in flight.
        table.close(id, true, &mut actions);
    }
    assert!(!table.contains(id));
    assert_eq!(actions.len(), 2, "each attempt is cancelled once");
}

#[test]
fn a_streamed_answer_is_not_cancelled() {
    let mut request = with_two_attempts();
    request.streaming = true;
    let mut table = RequestTable::default();
    table.insert(request);
    let mut actions = Vec::new();
    table.close(RequestId(1), true, &mut actions);
    assert_eq!(actions, []);
}
