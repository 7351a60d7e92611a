//! Documents that a process holds: an update is applied completely or not at all, the index never goes back, and no
//! change is missed whichever parent sends it.

mod core_common;

use config_distribution::document::{Document, Scope, Update};
use config_distribution::origin::{Accepted, Bounds, Origin, Publication};
use config_distribution::state::{MAX_WITHDRAWN, Refusal, State, Wanted};
use core_common::{Model, body, delta, document, live, scope, snapshot};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Scopes that a balancer reads in these tests.
fn balancer_scopes() -> Wanted {
    Wanted::These(vec![Scope::Fleet, scope("region/north"), scope("service/api")])
}

/// States of an origin after each of the changes (scope, whether withdrawn). Withdrawals without a document are left
/// out.
fn history(changes: &[(String, bool)]) -> Vec<State> {
    let mut origin = Origin::restore(Bounds::default(), [], 0).expect("restoring without records succeeds");
    let mut states = vec![State::default()];
    for (number, (text, withdraw)) in changes.iter().enumerate() {
        let body = (!withdraw).then(|| body(number as u64));
        let request = format!("request {number}").into();
        let publication = Publication { scope: scope(text), body, request, if_version: None };
        if let Ok(Accepted::Write(record)) = origin.publish(publication, |_, _| Vec::new()) {
            origin.written(record.index);
            states.push(origin.state().clone());
        }
    }
    states
}

/// State at index 2, with documents of the fleet and of `service/api`.
fn state_at_index_two() -> State {
    let mut state = State::default();
    let update = snapshot(2, vec![document("fleet", 1), document("service/api", 2)]);
    assert_eq!(state.apply(update, &balancer_scopes()), Ok(vec![Scope::Fleet, scope("service/api")]));
    state
}

/// Refusal of an update by [`state_at_index_two`], which must stay unchanged.
fn refused(update: Update) -> Refusal {
    let mut state = state_at_index_two();
    let refusal = state.apply(update, &balancer_scopes()).expect_err("refused");
    assert_eq!(state, state_at_index_two(), "a refused update must not change the state");
    refusal
}

#[test]
fn lower_index_is_refused() {
    assert_eq!(refused(delta(0, 1, vec![])), Refusal::IndexWentBack { index: 1, have: 2 });
    assert_eq!(
        refused(snapshot(1, vec![document("fleet", 1)])),
        Refusal::IndexWentBack { index: 1, have: 2 }
    );
}

#[test]
fn delta_with_a_gap_is_refused_and_a_snapshot_is_applied() {
    assert_eq!(
        refused(delta(3, 4, vec![document("fleet", 4)])),
        Refusal::MissingChanges { after: 3, have: 2 }
    );
    let mut state = state_at_index_two();
    let update = snapshot(9, vec![document("fleet", 4), document("service/api", 2)]);
    assert_eq!(state.apply(update, &balancer_scopes()), Ok(vec![Scope::Fleet]));
    assert_eq!(state.index(), 9);
}

#[test]
fn repeated_update_changes_nothing() {
    let mut state = state_at_index_two();
    let update = delta(2, 3, vec![document("region/north", 3)]);
    assert_eq!(state.apply(update.clone(), &balancer_scopes()), Ok(vec![scope("region/north")]));
    let before = state.clone();
    assert_eq!(state.apply(update, &balancer_scopes()), Ok(vec![]));
    assert_eq!(state, before);
}

#[test]
fn one_invalid_document_refuses_the_whole_update() {
    let good = document("region/north", 3);
    let mut damaged = document("fleet", 4);
    damaged.body = body(5);
    let update = delta(2, 4, vec![good.clone(), damaged]);
    assert_eq!(refused(update), Refusal::Damaged { scope: Scope::Fleet, version: 4 });
    let mut renamed = document("fleet", 4);
    renamed.version = 3;
    let update = delta(2, 4, vec![good.clone(), renamed]);
    assert_eq!(refused(update), Refusal::Damaged { scope: Scope::Fleet, version: 3 });
    let update = delta(2, 4, vec![good.clone(), document("service/other", 4)]);
    assert_eq!(refused(update), Refusal::NotRequested { scope: scope("service/other") });
    let update = delta(2, 4, vec![good.clone(), document("fleet", 5)]);
    assert_eq!(refused(update), Refusal::VersionAboveIndex { scope: Scope::Fleet, version: 5, index: 4 });
    let update = delta(2, 4, vec![good.clone(), document("fleet", 4), document("fleet", 3)]);
    assert_eq!(refused(update), Refusal::Conflict { scope: Scope::Fleet, version: 3, have: 1 });
    let update = delta(0, 4, vec![good, document("service/api", 1)]);
    assert_eq!(refused(update), Refusal::Conflict { scope: scope("service/api"), version: 1, have: 2 });
}

#[test]
fn different_document_with_the_same_version_is_refused() {
    let other = Document::new(scope("service/api"), 2, body(77));
    let conflict = Refusal::Conflict { scope: scope("service/api"), version: 2, have: 2 };
    assert_eq!(refused(delta(0, 3, vec![other.clone()])), conflict);
    assert_eq!(refused(snapshot(2, vec![document("fleet", 1), other])), conflict);
}

#[test]
fn update_from_a_different_history_is_refused() {
    // A document with version 1 or 2 would already be in the state at index 2.
    let conflict = Refusal::Conflict { scope: scope("region/north"), version: 2, have: 0 };
    assert_eq!(refused(delta(0, 3, vec![document("region/north", 2)])), conflict);
    let conflict = Refusal::Conflict { scope: scope("region/north"), version: 0, have: 0 };
    assert_eq!(refused(delta(0, 3, vec![document("region/north", 0)])), conflict);
    let withdrawn = Document::new(scope("service/api"), 1, "null".into());
    let conflict = Refusal::Conflict { scope: scope("service/api"), version: 1, have: 2 };
    assert_eq!(refused(delta(0, 3, vec![withdrawn])), conflict);
    // A snapshot at the present index lacks a document that the state holds.
    let conflict = Refusal::Conflict { scope: scope("service/api"), version: 2, have: 2 };
    assert_eq!(refused(snapshot(2, vec![document("fleet", 1)])), conflict);
}

#[test]
fn withdrawn_document_is_removed_and_sent_as_withdrawn() {
    let mut state = state_at_index_two();
    let withdrawn = Document::new(scope("service/api"), 3, "null".into());
    assert_eq!(
        state.apply(delta(2, 3, vec![withdrawn.clone()]), &balancer_scopes()),
        Ok(vec![scope("service/api")])
    );
    assert_eq!(state.get(&scope("service/api")), None);
    assert_eq!(state.since(2, &balancer_scopes()), Some(delta(2, 3, vec![withdrawn])));
    assert_eq!(state.since(0, &balancer_scopes()), Some(snapshot(3, vec![document("fleet", 1)])));
}

#[test]
fn reader_ahead_of_its_parent_refuses_the_lower_index() {
    let parent = state_at_index_two();
    let sent = parent.since(7, &balancer_scopes()).expect("an update");
    assert_eq!(sent, delta(2, 2, vec![]));
    let mut reader = State::default();
    reader.apply(snapshot(7, vec![document("fleet", 7)]), &balancer_scopes()).expect("accepted");
    assert_eq!(reader.apply(sent, &balancer_scopes()), Err(Refusal::IndexWentBack { index: 2, have: 7 }));
}

#[test]
fn reader_is_sent_only_its_scopes() {
    let texts = ["fleet", "service/other", "region/south", "service/api", "service/other"];
    let states = history(&texts.map(|text| (text.into(), false)));
    assert_eq!(states[3].since(1, &balancer_scopes()), None);
    let update = states[5].since(1, &balancer_scopes()).expect("an update");
    assert_eq!((update.index, update.after, update.documents.len()), (5, 1, 1));
    assert_eq!(states[5].since(4, &balancer_scopes()), None);
    assert_eq!(states[5].since(4, &Wanted::All).expect("an update").documents.len(), 1);
    // A stale parent sends an update that states its staleness and moves the reader to its index.
    let update = states[5].next_update(4, &balancer_scopes(), 9).expect("an update");
    assert_eq!((update.index, update.after, update.stale_s, update.documents.len()), (5, 4, 9, 0));
    assert_eq!(states[5].next_update(4, &balancer_scopes(), 0), None);
}

#[test]
fn relay_started_empty_passes_on_earlier_withdrawals() {
    let changes = [("fleet", false), ("service/api", false), ("service/api", true), ("fleet", false)];
    let states = history(&changes.map(|(text, withdraw)| (text.into(), withdraw)));
    let mut reader = State::default();
    reader
        .apply(states[2].since(0, &balancer_scopes()).expect("an update"), &balancer_scopes())
        .expect("accepted");
    assert!(reader.get(&scope("service/api")).is_some());
    let mut relay = State::default();
    relay.apply(states[4].since(0, &Wanted::All).expect("an update"), &Wanted::All).expect("accepted");
    let update = relay.since(reader.index(), &balancer_scopes()).expect("an update");
    reader.apply(update, &balancer_scopes()).expect("accepted");
    assert_eq!(reader.get(&scope("service/api")), None);
    assert_eq!(live(&reader, &balancer_scopes()), live(&states[4], &balancer_scopes()));
}

#[test]
fn bounded_list_of_withdrawals_hides_no_withdrawal() {
    let scopes = MAX_WITHDRAWN + 100;
    let mut changes: Vec<(String, bool)> = vec![("fleet".into(), false)];
    changes.extend((0..scopes).map(|number| (format!("service/{number}"), false)));
    changes.extend((0..scopes).map(|number| (format!("service/{number}"), true)));
    let states = history(&changes);
    let last = states.last().expect("states");
    assert_eq!(last.documents().count(), MAX_WITHDRAWN + 1);
    for since in [1, scopes + 1, scopes + 50, scopes + 101, scopes + 102, 2 * scopes] {
        let mut reader = states[since].clone();
        let update = last.since(since as u64, &Wanted::All).expect("an update");
        assert_eq!(update.snapshot, since <= scopes + 100, "reader at index {since}");
        reader.apply(update, &Wanted::All).expect("accepted");
        assert_eq!(live(&reader, &Wanted::All), live(last, &Wanted::All));
    }
}

#[derive(Debug, Clone)]
enum Operation {
    /// Reader, parent, and how far back the state of the origin is if the parent is the origin (number 3).
    Read(usize, usize, usize),
    /// Sends an earlier update to this reader again, perhaps one for another reader of the same scopes.
    Resend(usize, usize),
    /// Like `Resend`, but with one byte added to the first body.
    Damaged(usize, usize),
    /// Restarts this reader without documents.
    StartEmpty(usize),
    /// Restarts this reader from the documents on its disk.
    RestartFromDisk(usize),
}

/// Random operation.
fn operation() -> impl Strategy<Value = Operation> {
    prop_oneof![
        6 => (0..5_usize, 0..4_usize, 0..12_usize).prop_map(|(reader, parent, back)| Operation::Read(reader, parent, back)),
        3 => (0..5_usize, any::<usize>()).prop_map(|(reader, update)| Operation::Resend(reader, update)),
        1 => (0..5_usize, any::<usize>()).prop_map(|(reader, update)| Operation::Damaged(reader, update)),
        1 => (0..5_usize).prop_map(Operation::StartEmpty),
        1 => (0..5_usize).prop_map(Operation::RestartFromDisk),
    ]
}

/// Random changes: scope, and whether its document is withdrawn.
fn changes() -> impl Strategy<Value = Vec<(String, bool)>> {
    let texts = ["fleet", "region/north", "region/south", "service/api", "service/other"];
    proptest::collection::vec(
        (proptest::sample::select(texts.map(String::from).to_vec()), any::<bool>()),
        1..40,
    )
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, rng_seed: RngSeed::Fixed(11), ..ProptestConfig::default() })]

    /// Three relays and two balancers get updates from the origin or from one another in any order, repeated or
    /// damaged. Each holds exactly what was published up to its index, and no index goes back.
    #[test]
    fn state_at_an_index_equals_what_was_published(
        changes in changes(),
        operations in proptest::collection::vec(operation(), 1..80),
    ) {
        let states = history(&changes);
        let wanted: Vec<Wanted> = (0..5).map(|reader| if reader < 3 { Wanted::All } else { balancer_scopes() }).collect();
        let mut readers = vec![State::default(); 5];
        let mut sent: Vec<(bool, Update)> = Vec::new();
        let mut newest = 0;
        for operation in operations {
            let (reader, update, damaged) = match operation {
                Operation::Read(reader, parent, back) => {
                    // The origin advances with each read.
                    newest = (newest + 1).min(states.len() - 1);
                    let parent = if parent == 3 { &states[newest.saturating_sub(back)] } else { &readers[parent] };
                    let Some(update) = parent.since(readers[reader].index(), &wanted[reader]) else { continue };
                    sent.push((reader < 3, update.clone()));
                    (reader, update, false)
                }
                Operation::Resend(reader, update) | Operation::Damaged(reader, update) => {
                    let sent: Vec<&Update> =
                        sent.iter().filter(|(all, _)| *all == (reader < 3)).map(|(_, update)| update).collect();
                    if sent.is_empty() { continue }
                    let mut update = sent[update % sent.len()].clone();
                    let damaged = matches!(operation, Operation::Damaged(..)) && !update.documents.is_empty();
                    if damaged {
                        update.documents[0].body = format!("{} ", update.documents[0].body).into();
                    }
                    (reader, update, damaged)
                }
                Operation::StartEmpty(reader) => {
                    readers[reader] = State::default();
                    continue;
                }
                Operation::RestartFromDisk(reader) => {
                    let whole = readers[reader].since(0, &wanted[reader]).expect("a snapshot");
                    let mut state = State::default();
                    state.apply(whole, &wanted[reader]).expect("the reader accepts its own documents");
                    readers[reader] = state;
                    continue;
                }
            };
            let before = readers[reader].clone();
            let applied = readers[reader].apply(update, &wanted[reader]);
            prop_assert!(!(damaged && applied.is_ok()));
            let state = &readers[reader];
            if let Ok(changed) = &applied {
                let differs = |scope: &Scope| state.get(scope) != before.get(scope);
                prop_assert!(changed.iter().all(differs), "unchanged scope reported as changed: {changed:?}");
            } else {
                prop_assert_eq!(state, &before);
            }
            prop_assert!(state.index() >= before.index());
            let model: Model = live(&states[state.index() as usize], &wanted[reader]);
            prop_assert_eq!(live(state, &wanted[reader]), model);
        }
    }
}
