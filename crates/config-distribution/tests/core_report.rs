//! Reports about the versions in force: sums over children and relays, and which balancers lag, refuse or are silent.

mod core_common;

use std::collections::BTreeMap;
use std::time::Duration;

use config_distribution::document::{Document, Scope};
use config_distribution::report::{
    FORGOTTEN_AFTER, InForce, MAX_CHILDREN, MAX_NAMED, MAX_RELAYS, MAX_TEXT_BYTES, MAX_VERSIONS,
    REPORT_EVERY, Refused, Reports, SILENT_AFTER, Sums,
};
use config_distribution::state::{State, Wanted};
use core_common::{delta, document, scope, snapshot};

/// Virtual time at which the tests begin.
const START: Duration = Duration::from_secs(100);

/// State of a parent at index 5, with the fleet document at version 3 and that of `service/api` at version 5.
fn state() -> State {
    let mut state = State::default();
    let update = snapshot(5, vec![document("fleet", 3), document("service/api", 5)]);
    state.apply(update, &Wanted::All).expect("accepted");
    state
}

/// Report of a balancer that has these versions of the two documents in force.
fn report(who: &str, fleet: u64, api: u64) -> InForce {
    let versions = BTreeMap::from([(Scope::Fleet, fleet), (scope("service/api"), api)]);
    InForce { who: who.into(), versions, refused: None }
}

/// Number of balancers by the version that they hold of the document of a scope.
fn holders(sums: &Sums, text: &str) -> Vec<(u64, u64)> {
    sums.holders.get(&scope(text)).map_or(vec![], |holders| holders.versions.clone().into_iter().collect())
}

#[test]
fn sums_count_versions_and_name_laggards() {
    let mut reports = Reports::new();
    reports.record(START, report("a", 3, 5));
    reports.record(START, report("b", 3, 0));
    reports.record(START, report("c", 1, 5));
    // A child that is ahead of its parent does not lag.
    reports.record(START, report("d", 6, 5));
    let sums = reports.sums(START, &state());
    assert_eq!(sums.children, 4);
    assert_eq!(holders(&sums, "fleet"), [(1, 1), (3, 2), (6, 1)]);
    assert_eq!(holders(&sums, "service/api"), [(0, 1), (5, 3)]);
    let named: Vec<(&str, u64)> =
        sums.laggards.iter().map(|laggard| (&*laggard.who, laggard.version)).collect();
    assert_eq!(named, [("b", 0), ("c", 1)]);
    assert_eq!(
        [sums.lagging(&state(), &Scope::Fleet), sums.lagging(&state(), &scope("service/api"))],
        [1, 1]
    );
    // A new report of a child replaces the earlier one.
    reports.record(START, report("b", 3, 5));
    assert_eq!(holders(&reports.sums(START, &state()), "service/api"), [(5, 4)]);
}

#[test]
fn holder_of_a_withdrawn_document_lags() {
    let mut state = state();
    let withdrawn = Document::new(scope("service/api"), 6, "null".into());
    state.apply(delta(5, 6, vec![withdrawn]), &Wanted::All).expect("accepted");
    let mut reports = Reports::new();
    reports.record(START, report("a", 3, 5));
    reports.record(START, report("b", 3, 0));
    let sums = reports.sums(START, &state);
    assert_eq!(sums.lagging(&state, &scope("service/api")), 1);
    assert_eq!(sums.laggards.len(), 1);
    assert_eq!(&*sums.laggards[0].who, "a");
}

#[test]
fn refused_document_is_reported_with_its_reason() {
    let mut reports = Reports::new();
    let why = "ü".repeat(MAX_TEXT_BYTES);
    let refused = Refused { scope: Scope::Fleet, version: 3, why: why.as_str().into() };
    reports.record(START, InForce { refused: Some(refused), ..report("a", 1, 5) });
    let sums = reports.sums(START, &state());
    assert_eq!((sums.refusing, sums.refused.len()), (1, 1));
    assert_eq!(&*sums.refused[0].refused.why, "ü".repeat(MAX_TEXT_BYTES / 2));
    assert_eq!((&*sums.refused[0].who, sums.refused[0].refused.version), ("a", 3));
}

#[test]
fn silent_child_is_named_and_later_forgotten() {
    let mut reports = Reports::new();
    reports.record(START, report("a", 3, 5));
    reports.record_sums(START, "relay", &Sums { children: 7, ..Sums::default() });
    assert_eq!(reports.sums(START + SILENT_AFTER, &state()).children, 8);
    let sums = reports.sums(START + SILENT_AFTER + Duration::from_millis(1), &state());
    assert_eq!((sums.children, sums.silent), (0, 2));
    assert_eq!(sums.silent_names, ["a".into(), "relay".into()]);
    assert_eq!(holders(&sums, "fleet"), []);
    let later = START + FORGOTTEN_AFTER + Duration::from_millis(1);
    assert_eq!(reports.sums(later, &state()), Sums::default());
    // A child that reports again is counted again.
    reports.record(later, report("a", 3, 5));
    assert_eq!(reports.sums(later, &state()).children, 1);
}

#[test]
fn child_that_changes_parents_is_counted_twice_only_briefly() {
    // The child moves from one of two relays below the origin to the other, just after it has reported to the first.
    // Both relays report every REPORT_EVERY, at the worst moment.
    let (mut left, mut right, mut top) = (Reports::new(), Reports::new(), Reports::new());
    left.record(START, report("a", 3, 5));
    right.record(START, report("a", 3, 5));
    let ms = Duration::from_millis;
    let counted = |top: &Reports, at: Duration| top.sums(at, &state()).children;
    let mut counted_twice_until = START;
    let mut at = START;
    while at < START + Duration::from_secs(60) {
        // The child keeps reporting to its new relay. The old relay sends its sums just before it would drop the child.
        right.record(at, report("a", 3, 5));
        top.record_sums(at, "left", &left.sums(at, &state()));
        top.record_sums(at, "right", &right.sums(at, &state()));
        for within in 0..50 {
            let now = at + REPORT_EVERY * within / 50;
            if counted(&top, now) == 2 {
                counted_twice_until = now;
            }
        }
        at += REPORT_EVERY;
    }
    assert_eq!(counted(&top, at), 1);
    assert!(
        counted_twice_until - START <= SILENT_AFTER + REPORT_EVERY,
        "time counted twice: {:?}",
        counted_twice_until - START
    );
    // If the child moves back, its old relay counts it once.
    left.record(at, report("a", 3, 5));
    left.record(at + ms(1), report("a", 3, 5));
    assert_eq!(left.sums(at + ms(1), &state()).children, 1);
}

#[test]
fn sums_through_relays_equal_direct_sums() {
    let (mut all, mut top) = (Reports::new(), Reports::new());
    for relay in 0..7 {
        let mut reports = Reports::new();
        for number in 0..40 {
            let report =
                report(&format!("{relay}-{number}"), 3 - number % 2, [5, 0][usize::from(number == 7)]);
            reports.record(START, report.clone());
            all.record(START, report);
        }
        let text = serde_json::to_string(&reports.sums(START, &state())).expect("JSON");
        top.record_sums(START, &format!("relay {relay}"), &serde_json::from_str(&text).expect("sums"));
    }
    let (all, top) = (all.sums(START, &state()), top.sums(START, &state()));
    assert_eq!((top.children, &top.holders), (280, &all.holders));
    assert_eq!(top.lagging(&state(), &Scope::Fleet), 140);
    assert_eq!(top.laggards.len(), MAX_NAMED);
}

#[test]
fn memory_for_reports_is_bounded() {
    let mut reports = Reports::new();
    for number in 0..MAX_CHILDREN as u64 + 10 {
        let mut report = report(&format!("{number}{}", "x".repeat(1000)), number, 5);
        report.versions.extend((0..100).map(|scope| (Scope::Service(format!("s{scope}").into()), 1)));
        reports.record(START, report);
    }
    let sums = reports.sums(START, &state());
    assert_eq!(sums.children, MAX_CHILDREN as u64);
    assert!(sums.holders.len() <= 8);
    let fleet = &sums.holders[&Scope::Fleet];
    assert_eq!(fleet.versions.len(), MAX_VERSIONS);
    assert_eq!(fleet.older + fleet.versions.values().sum::<u64>(), MAX_CHILDREN as u64);
    assert_eq!(sums.laggards.len(), MAX_NAMED);
    assert!(sums.laggards.iter().all(|laggard| laggard.who.len() == MAX_TEXT_BYTES));
    // A new child is accepted once others are silent.
    let later = START + SILENT_AFTER + Duration::from_secs(1);
    reports.record(later, report("late", 3, 5));
    assert_eq!(reports.sums(later, &state()).children, 1);

    let oversized = Sums { children: u64::MAX, silent_names: vec!["x".repeat(9999).into(); 99], ..sums };
    for number in 0..2 * MAX_RELAYS {
        reports.record_sums(later, &format!("relay {number}"), &oversized);
    }
    let sums = reports.sums(later, &state());
    assert_eq!(sums.children, u64::MAX);
    assert_eq!(sums.holders[&Scope::Fleet].versions.len(), MAX_VERSIONS);
    assert!(
        sums.silent_names.len() == MAX_NAMED
            && sums.silent_names.iter().all(|who| who.len() == MAX_TEXT_BYTES)
    );
}
