//! `scale real` with three balancers: no call is lost, answered wrongly or run twice, whatever changes. No test looks at
//! how long something took.

mod common;

use capacity::slope::Results;
use common::{balancer_program, distribution_program, fails_with, scale};

/// Guards the whole: every call through three real balancers has its own answer while the list changes, and while the
/// configuration does over a real origin and relays, and each change comes to be in force at all of them.
#[test]
fn nothing_is_lost_through_changes() {
    let out = common::Folder::new("real");
    let (program, path) = (balancer_program(), out.path().to_str().expect("text").to_owned());
    distribution_program();
    scale(&[
        "real",
        "--small",
        "--upstreams",
        "6",
        "--out",
        &path,
        "--program",
        program.to_str().expect("text"),
    ]);
    let table = Results::read(&out.path().join("results"), "real").expect("written");
    let column = |name: &str| table.columns.iter().position(|column| column == name).expect("a column");
    assert_eq!(
        table.rows.iter().map(|row| row[0].as_str()).collect::<Vec<_>>(),
        ["the list", "configuration"]
    );
    for row in &table.rows {
        assert_eq!((row[column("balancers")].as_str(), row[column("changes")].as_str()), ("3", "10"));
        assert_eq!(row[column("answered rightly")], row[column("calls")], "{row:?}");
        for name in ["refused, not run", "answered wrongly", "lost", "ran twice and must not"] {
            assert_eq!(row[column(name)], "0", "{name}: {row:?}");
        }
        assert_ne!(row[column("in force at the last one, most, ms")], "-");
    }
}

/// Guards bad arguments: they end with the place.
#[test]
fn bad_arguments_end_with_their_place() {
    let program = balancer_program();
    let program = program.to_str().expect("text");
    fails_with(&["real", "--balancers", "0", "--program", program], "--balancers: ");
    fails_with(&["real", "--balancers", "151", "--program", program], "--balancers: ");
    fails_with(&["real", "--changes", "0", "--program", program], "--changes: ");
    fails_with(&["real", "--every", "0", "--program", program], "--every: ");
    fails_with(&["real", "--rate", "1000", "--program", program], "--rate: ");
}
