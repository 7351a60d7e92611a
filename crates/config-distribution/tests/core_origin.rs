//! The origin: its index never goes back, nothing is visible before it is written to disk, and a repeated publication
//! gets its original answer.

mod core_common;

use std::collections::BTreeMap;
use std::sync::Arc;

use balancer_settings::Found;
use config_distribution::document::{Document, Scope};
use config_distribution::fault::Fault;
use config_distribution::origin::{
    Accepted, Bounds, MAX_INDEX, Origin, Publication, PublishError, Record, RestoreError,
};
use config_distribution::state::{Refusal, State, Wanted};
use core_common::{body, live, scope};
use proptest::prelude::*;
use proptest::test_runner::{RngSeed, TestCaseError};

/// Check of a publication that accepts every document.
fn no_faults(_: &Scope, _: &str) -> Vec<Fault> {
    Vec::new()
}

/// Text of the fault that [`one_fault`] reports.
const FAULT_TEXT: &str = "settings.caps: expected an object, found 7";

/// Check of a publication that reports the same fault for every document.
fn one_fault(_: &Scope, _: &str) -> Vec<Fault> {
    let (path, expected) = ("settings.caps".to_owned(), "an object".to_owned());
    vec![Fault::Settings(balancer_settings::Fault { path, expected, found: Found::Value("7".to_owned()) })]
}

/// Publication of a valid document, which depends on `number`, without a condition on the version.
fn publication(text: &str, number: u64, request: &str) -> Publication {
    Publication { scope: scope(text), body: Some(body(number)), request: request.into(), if_version: None }
}

/// Withdrawal of the document of a scope, without a condition on the version.
fn withdrawal(text: &str, request: &str) -> Publication {
    Publication { scope: scope(text), body: None, request: request.into(), if_version: None }
}

/// Origin restored from records that are valid.
fn restored(records: &[Record]) -> Origin {
    Origin::restore(Bounds::default(), records.to_vec(), 0).expect("valid records")
}

/// Publishes and reports the record as written; panics unless the publication is accepted.
fn write(origin: &mut Origin, publication: Publication) -> Record {
    match origin.publish(publication, no_faults) {
        Ok(Accepted::Write(record)) => {
            origin.written(record.index);
            record
        }
        other => panic!("publish: expected a record to write, got {other:?}"),
    }
}

#[test]
fn documents_are_visible_only_once_written() {
    let mut origin = restored(&[]);
    let Ok(Accepted::Write(record)) = origin.publish(publication("fleet", 1, "a"), no_faults) else {
        panic!("publish: expected a record to write")
    };
    assert_eq!(origin.state(), &State::default());
    origin.written(7);
    assert_eq!(origin.state(), &State::default(), "written() must ignore an index that is not pending");
    origin.written(record.index);
    assert_eq!(origin.state().get(&Scope::Fleet), Some(&record.document));
    assert_eq!((record.index, origin.state().index()), (1, 1));
    origin.written(record.index);
    assert_eq!(origin.state().index(), 1);
}

#[test]
fn only_one_change_is_written_at_a_time() {
    let mut origin = restored(&[]);
    let first = publication("fleet", 1, "a");
    assert!(matches!(origin.publish(first.clone(), no_faults), Ok(Accepted::Write(_))));
    assert_eq!(origin.publish(publication("service/api", 2, "b"), no_faults), Err(PublishError::Busy));
    assert_eq!(
        origin.publish(first.clone(), no_faults),
        Err(PublishError::Busy),
        "the first publication is not written yet"
    );
    origin.written(1);
    assert_eq!(origin.publish(first, no_faults), Ok(Accepted::AlreadyAccepted(1)));
    assert_eq!(write(&mut origin, publication("service/api", 2, "b")).index, 2);
}

#[test]
fn failed_write_leaves_no_trace() {
    let mut origin = restored(&[]);
    write(&mut origin, publication("fleet", 1, "a"));
    let before = origin.state().clone();
    let second = publication("fleet", 2, "b");
    assert!(matches!(origin.publish(second.clone(), no_faults), Ok(Accepted::Write(_))));
    origin.not_written(2);
    assert_eq!(origin.state(), &before);
    origin.written(2);
    assert_eq!(origin.state(), &before);
    // The request id may be used for other content, and the index is assigned again.
    assert_eq!(write(&mut origin, publication("service/api", 3, "b")).index, 2);
    assert_eq!(origin.publish(second, no_faults), Err(PublishError::RequestIdReused));
}

#[test]
fn repeated_publication_gets_the_original_answer() {
    let mut origin = restored(&[]);
    let mut records = vec![write(&mut origin, publication("fleet", 1, "a"))];
    let condition = Publication { if_version: Some(1), ..publication("fleet", 2, "b") };
    records.push(write(&mut origin, condition.clone()));
    records.push(write(&mut origin, withdrawal("fleet", "c")));
    records.push(write(&mut origin, publication("service/api", 4, "d")));
    // This also holds after a restart and if the condition is no longer met. The documents are not checked again.
    for mut origin in [restored(&records), origin] {
        assert_eq!(origin.publish(condition.clone(), one_fault), Ok(Accepted::AlreadyAccepted(2)));
        assert_eq!(origin.publish(withdrawal("fleet", "c"), no_faults), Ok(Accepted::AlreadyAccepted(3)));
        assert_eq!(origin.state().index(), 4);
        assert_eq!(
            origin.publish(publication("service/api", 5, "d"), no_faults),
            Err(PublishError::RequestIdReused)
        );
        assert_eq!(
            origin.publish(publication("fleet", 4, "d"), no_faults),
            Err(PublishError::RequestIdReused)
        );
        assert_eq!(origin.publish(withdrawal("fleet", "a"), no_faults), Err(PublishError::RequestIdReused));
    }
}

#[test]
fn condition_on_the_version_is_enforced() {
    let mut origin = restored(&[]);
    let with_if_version = |version, number: u64| Publication {
        if_version: Some(version),
        ..publication("fleet", number, &format!("request {number}"))
    };
    assert_eq!(origin.publish(with_if_version(1, 1), no_faults), Err(PublishError::Conflict { have: 0 }));
    assert_eq!(write(&mut origin, with_if_version(0, 2)).index, 1);
    assert_eq!(origin.publish(with_if_version(0, 3), no_faults), Err(PublishError::Conflict { have: 1 }));
    write(&mut origin, publication("service/api", 4, "other"));
    assert_eq!(write(&mut origin, with_if_version(1, 5)).index, 3);
    write(&mut origin, withdrawal("fleet", "gone"));
    assert_eq!(origin.publish(with_if_version(4, 6), no_faults), Err(PublishError::Conflict { have: 0 }));
    assert_eq!(write(&mut origin, with_if_version(0, 7)).index, 5);
}

#[test]
fn all_faults_are_reported_and_a_refused_publication_leaves_no_trace() {
    let mut origin = restored(&[]);
    let with_body =
        |text: &str| Publication { body: Some(text.into()), ..publication("service/api", 1, "a") };
    let mut faults = |text: &str| match origin.publish(with_body(text), one_fault) {
        Err(PublishError::Faults(faults)) => faults.iter().map(Fault::to_string).collect::<Vec<_>>(),
        other => panic!("publish: expected faults, got {other:?}"),
    };
    assert_eq!(faults("[]"), ["service/api: expected an object"]);
    assert_eq!(faults("null"), ["service/api: expected an object"]);
    assert_eq!(faults("{}"), ["service/api: settings: missing"]);
    assert!(faults("{\"settings\":").first().is_some_and(|fault| fault.contains("line 1 column")));
    let several = faults("{\"more\":1,\"settings\":{\"zone\":\"a\",\"caps\":{},\"me\":1}}");
    assert_eq!(several.len(), 3, "expected three faults, got {several:?}");
    assert!(several.iter().any(|fault| fault.starts_with("service/api: settings.zone: ")));
    assert_eq!(faults("{\"settings\":{}}"), [FAULT_TEXT]);
    for request in ["", &"x".repeat(129)] {
        let refused = origin.publish(publication("fleet", 1, request), no_faults);
        assert!(matches!(refused, Err(PublishError::Faults(_))));
    }
    assert!(matches!(origin.publish(withdrawal("fleet", "b"), no_faults), Err(PublishError::Faults(_))));
    assert_eq!(origin.state(), &State::default());
    assert_eq!(write(&mut origin, publication("service/api", 1, "a")).index, 1);
}

#[test]
fn documents_bytes_and_request_ids_are_bounded() {
    let bounds = Bounds { max_body_bytes: 100, max_documents: 3, max_request_ids: 2, max_total_bytes: 150 };
    let mut origin = Origin::restore(bounds, [], 0).expect("restoring without records succeeds");
    let sized = |text: &str, bytes: usize, request: &str| Publication {
        body: Some(format!("{{\"settings\":{{{}}}}}", " ".repeat(bytes - 15)).into()),
        ..publication(text, 0, request)
    };
    let mebibyte = sized("fleet", 1 << 20, "a");
    assert_eq!(
        origin.publish(mebibyte, no_faults),
        Err(PublishError::DocumentTooLarge { bytes: 1 << 20, max: 100 })
    );
    write(&mut origin, sized("fleet", 100, "a"));
    assert_eq!(
        origin.publish(sized("service/a", 51, "b"), no_faults),
        Err(PublishError::TotalTooLarge { bytes: 151, max: 150 })
    );
    write(&mut origin, sized("service/a", 30, "b"));
    write(&mut origin, sized("service/b", 20, "c"));
    assert_eq!(
        origin.publish(sized("service/c", 15, "d"), no_faults),
        Err(PublishError::TooManyDocuments { max: 3 })
    );
    // Published documents may be replaced, and a withdrawal makes room for another document.
    write(&mut origin, sized("fleet", 99, "d"));
    write(&mut origin, withdrawal("service/b", "e"));
    write(&mut origin, sized("service/c", 15, "f"));
    // Only the two newest request ids are remembered.
    assert_eq!(origin.publish(sized("service/c", 15, "f"), no_faults), Ok(Accepted::AlreadyAccepted(6)));
    assert_eq!(origin.publish(withdrawal("service/b", "e"), no_faults), Ok(Accepted::AlreadyAccepted(5)));
    assert_eq!(write(&mut origin, sized("fleet", 99, "d")).index, 7);
}

#[test]
fn body_is_sent_unchanged_on_one_line() {
    let mut origin = restored(&[]);
    let text = "\n {\r\n \"settings\": {\"caps\": {\"a\": \"x\\ny\"}}\n}\n\n";
    let record = write(&mut origin, Publication { body: Some(text.into()), ..publication("fleet", 0, "a") });
    assert_eq!(&*record.document.body, "{   \"settings\": {\"caps\": {\"a\": \"x\\ny\"}} }");
    let line = serde_json::to_string(&origin.state().since(0, &Wanted::All)).expect("JSON");
    assert!(!line.contains('\n'));
    let mut reader = State::default();
    reader.apply(serde_json::from_str(&line).expect("a valid update"), &Wanted::All).expect("accepted");
    assert_eq!(reader.get(&Scope::Fleet), Some(&record.document));
    let decoded: Record =
        serde_json::from_str(&serde_json::to_string(&record).expect("JSON")).expect("a valid record");
    assert_eq!(decoded, record);
    assert!(decoded.document.has_valid_digest());
}

#[test]
fn restore_names_the_invalid_record() {
    let record = |index| Record {
        index,
        document: Document::new(Scope::Fleet, index, body(index)),
        request: "a".into(),
    };
    let refused =
        |records: Vec<Record>| Origin::restore(Bounds::default(), records, 0).map(|_| ()).unwrap_err();
    assert_eq!(refused(vec![record(1), record(2), record(1)]), RestoreError::Duplicate { index: 1 });
    let mut damaged = record(2);
    damaged.document.body = body(3);
    assert_eq!(refused(vec![record(1), damaged]), RestoreError::Damaged { index: 2 });
    assert_eq!(refused(vec![Record { index: 3, ..record(2) }]), RestoreError::Damaged { index: 3 });
    assert_eq!(refused(vec![record(0)]), RestoreError::Damaged { index: 0 });
    assert_eq!(refused(vec![record(u64::MAX)]), RestoreError::TooHigh { index: u64::MAX });
    let raised = Origin::restore(Bounds::default(), [], u64::MAX).map(|_| ()).unwrap_err();
    assert_eq!(raised, RestoreError::TooHigh { index: u64::MAX });
    assert!(Origin::restore(Bounds::default(), [], MAX_INDEX).is_ok());
}

/// State of a reader that has applied everything the origin has published.
fn reader(of: &Origin) -> State {
    let mut state = State::default();
    state.apply(of.state().since(0, &Wanted::All).expect("an update"), &Wanted::All).expect("accepted");
    state
}

#[test]
fn origin_on_an_older_disk_is_refused_until_its_index_is_raised() {
    let mut origin = restored(&[]);
    let mut records = vec![
        write(&mut origin, publication("fleet", 1, "a")),
        write(&mut origin, publication("service/api", 2, "b")),
    ];
    // These changes are missing on the older disk: a replaced, a new and a withdrawn document.
    write(&mut origin, publication("fleet", 3, "c"));
    write(&mut origin, publication("service/new", 4, "d"));
    write(&mut origin, withdrawal("service/api", "e"));
    let child = reader(&origin);

    let older = restored(&records);
    let mut refusing = child.clone();
    let sent = older.state().since(child.index(), &Wanted::All).expect("an update");
    assert_eq!(refusing.apply(sent, &Wanted::All), Err(Refusal::IndexWentBack { index: 2, have: 5 }));
    assert_eq!(refusing, child, "a child keeps its documents when it refuses an update");

    let mut raised = Origin::restore(Bounds::default(), records.clone(), 5).expect("valid records");
    assert_eq!(raised.state().index(), 2, "the raised index must not be visible before it is written");
    assert_eq!(raised.publish(publication("fleet", 9, "z"), no_faults), Err(PublishError::Busy));
    raised.not_written(7);
    let pending = raised.pending().to_vec();
    assert!(pending.iter().all(|record| record.index > 6 && record.request.is_empty()));
    raised.written(pending.last().expect("a pending record").index);
    records.extend(pending);
    // The index stays raised after the next start, whether or not that start asks for a minimum index.
    for at_least in [0, 5] {
        let again = Origin::restore(Bounds::default(), records.clone(), at_least).expect("valid records");
        assert_eq!(again.pending(), []);
        assert_eq!(again.state(), raised.state());
    }
    // All children accept the update, including those that lag or are empty, and earlier request ids are still known.
    let behind = reader(&older);
    for mut child in [child, behind, State::default()] {
        let sent = raised.state().since(child.index(), &Wanted::All).expect("an update");
        child.apply(sent, &Wanted::All).expect("accepted");
        assert_eq!(live(&child, &Wanted::All), live(raised.state(), &Wanted::All));
        assert_eq!(child.get(&Scope::Fleet).map(|document| Arc::clone(&document.body)), Some(body(1)));
        assert_eq!(child.get(&scope("service/new")), None);
    }
    assert_eq!(raised.publish(publication("fleet", 1, "a"), no_faults), Ok(Accepted::AlreadyAccepted(1)));
    assert!(write(&mut raised, publication("fleet", 9, "z")).index > records.last().expect("a record").index);
}

#[test]
fn raised_index_of_an_empty_origin_survives_a_restart() {
    let mut origin = Origin::restore(Bounds::default(), [], 40).expect("restoring without records succeeds");
    let pending = origin.pending().to_vec();
    origin.written(pending.last().expect("a pending record").index);
    assert!(origin.state().index() > 40);
    assert_eq!(restored(&pending).state().index(), origin.state().index());
    assert_eq!(origin.state().get(&Scope::Fleet), None);
}

#[derive(Debug, Clone)]
enum Operation {
    /// Publishes a document, or withdraws it if there is no number; `condition` demands the present version.
    Publish { text: &'static str, number: Option<u64>, condition: bool },
    /// The disk has written the pending record.
    Written,
    /// The disk has failed to write the pending record.
    NotWritten,
    /// The publisher repeats the publication that is this far back among those acknowledged.
    Repeat(usize),
    /// The process is restarted, perhaps during a write; `on_disk` states whether the disk has that record.
    Restart { on_disk: bool },
    /// Records that the origin does not need are deleted from the disk.
    Clean,
}

/// Random operation.
fn operation() -> impl Strategy<Value = Operation> {
    let text = proptest::sample::select(vec!["fleet", "region/north", "service/api", "service/other"]);
    prop_oneof![
        6 => (text, proptest::option::weighted(0.7, 0..1000_u64), proptest::bool::weighted(0.2))
            .prop_map(|(text, number, condition)| Operation::Publish { text, number, condition }),
        6 => Just(Operation::Written),
        1 => Just(Operation::NotWritten),
        2 => (0..5_usize).prop_map(Operation::Repeat),
        1 => any::<bool>().prop_map(|on_disk| Operation::Restart { on_disk }),
        1 => Just(Operation::Clean),
    ]
}

/// Number of request ids that the origin under test remembers.
const MAX_REQUEST_IDS: usize = 5;

/// Origin under test with its disk, and the answers that publishers have received.
struct Harness {
    origin: Origin,
    /// Records on the disk by index.
    disk: BTreeMap<u64, Record>,
    /// Publication that is being written, and its record.
    pending: Option<(Publication, Record)>,
    /// Publications that are on disk, with their index.
    acknowledged: Vec<(Publication, u64)>,
    /// All states that readers may have seen.
    states: Vec<State>,
    /// Number of publications attempted, for unique request ids.
    request_count: usize,
}

impl Harness {
    fn new() -> Self {
        Self {
            origin: Self::restored([]),
            disk: BTreeMap::new(),
            pending: None,
            acknowledged: Vec::new(),
            states: vec![State::default()],
            request_count: 0,
        }
    }

    /// Origin restored from records that it has written.
    fn restored(records: impl IntoIterator<Item = Record>) -> Origin {
        let bounds = Bounds { max_request_ids: MAX_REQUEST_IDS, ..Bounds::default() };
        Origin::restore(bounds, records, 0).expect("the origin accepts its own records")
    }

    /// Performs one operation and checks its result.
    fn operation(&mut self, operation: Operation) -> Result<(), TestCaseError> {
        match operation {
            Operation::Publish { text, number, condition } => self.publish(text, number, condition),
            Operation::Written => {
                self.written();
                Ok(())
            }
            Operation::NotWritten => self.not_written(),
            Operation::Repeat(back) => self.repeat(back),
            Operation::Restart { on_disk } => self.restart(on_disk),
            Operation::Clean => {
                self.disk.retain(|index, _| self.origin.needs(*index));
                Ok(())
            }
        }
    }

    /// Publishes or withdraws a document; the state stays as it is until the record is written.
    fn publish(&mut self, text: &str, number: Option<u64>, condition: bool) -> Result<(), TestCaseError> {
        let before = self.origin.state().clone();
        self.request_count += 1;
        let have = before.get(&scope(text)).map_or(0, |document| document.version);
        let publication = Publication {
            scope: scope(text),
            body: number.map(body),
            request: format!("request {}", self.request_count).into(),
            if_version: condition.then_some(have),
        };
        match self.origin.publish(publication.clone(), no_faults) {
            Ok(Accepted::Write(record)) => {
                prop_assert!(self.pending.is_none());
                prop_assert_eq!(record.index, before.index() + 1);
                self.pending = Some((publication, record));
            }
            Err(PublishError::Busy) => prop_assert!(self.pending.is_some()),
            Err(PublishError::Faults(_)) => prop_assert!(number.is_none() && have == 0),
            other => prop_assert!(false, "unexpected result of publish: {other:?}"),
        }
        prop_assert_eq!(self.origin.state(), &before);
        Ok(())
    }

    /// Completes the pending write, if there is one.
    fn written(&mut self) {
        let Some((publication, record)) = self.pending.take() else { return };
        self.origin.written(record.index);
        self.acknowledged.push((publication, record.index));
        self.disk.insert(record.index, record);
        self.states.push(self.origin.state().clone());
    }

    /// Fails the pending write, if there is one.
    fn not_written(&mut self) -> Result<(), TestCaseError> {
        let Some((_, record)) = self.pending.take() else { return Ok(()) };
        let before = self.origin.state().clone();
        self.origin.not_written(record.index);
        prop_assert_eq!(self.origin.state(), &before);
        Ok(())
    }

    /// Repeats an acknowledged publication, which must get its original answer.
    fn repeat(&mut self, back: usize) -> Result<(), TestCaseError> {
        let Some((publication, index)) = self.acknowledged.iter().rev().nth(back) else { return Ok(()) };
        let known = self.origin.publish(publication.clone(), no_faults);
        prop_assert_eq!(known, Ok(Accepted::AlreadyAccepted(*index)));
        Ok(())
    }

    /// Restores the origin from its disk; its index must not go back.
    fn restart(&mut self, on_disk: bool) -> Result<(), TestCaseError> {
        let before = self.origin.state().index();
        if let Some((publication, record)) = self.pending.take()
            && on_disk
        {
            // The publication is in force although the publisher got no answer.
            self.acknowledged.push((publication, record.index));
            self.disk.insert(record.index, record);
        }
        self.origin = Self::restored(self.disk.values().rev().cloned());
        if self.origin.state().index() > before {
            self.states.push(self.origin.state().clone());
        }
        prop_assert!(self.origin.state().index() >= before);
        Ok(())
    }

    /// Checks that the index is that of the last acknowledged publication, and that a reader in any earlier state gets
    /// the present documents.
    fn check(&self) -> Result<(), TestCaseError> {
        let state = self.origin.state();
        prop_assert_eq!(state.index(), self.acknowledged.last().map_or(0, |(_, index)| *index));
        prop_assert!(self.disk.len() <= self.acknowledged.len());
        for before in &self.states {
            let mut reader = before.clone();
            if let Some(update) = state.since(before.index(), &Wanted::All) {
                reader.apply(update, &Wanted::All).expect("accepted");
            }
            prop_assert_eq!(live(&reader, &Wanted::All), live(state, &Wanted::All));
        }
        Ok(())
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, rng_seed: RngSeed::Fixed(12), ..ProptestConfig::default() })]

    /// After random operations the index is that of the last acknowledged publication, restarts lose nothing, a
    /// repeated publication gets its original answer, and readers in any earlier state get the present documents.
    #[test]
    fn acknowledged_publications_are_durable(operations in proptest::collection::vec(operation(), 1..120)) {
        let mut harness = Harness::new();
        for operation in operations {
            harness.operation(operation)?;
            harness.check()?;
        }
    }
}
