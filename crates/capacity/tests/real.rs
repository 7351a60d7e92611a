//! Tests of `capacity real` with three balancers: no call is lost, answered wrongly or run twice while lists and
//! configuration change. The tests check counts, not durations.

mod common;

use capacity::slope::Results;
use common::{assert_fails_with, balancer_program, distribution_program, run_capacity};

/// Guards that every call through three real balancers gets its own response while the endpoint list changes, and while
/// the configuration changes through a real origin and relays, and that each change comes into force at all balancers.
#[test]
fn no_call_is_lost_during_changes() {
    let out = common::TempDir::new("real");
    let (program, path) = (balancer_program(), out.path().to_str().expect("the path is UTF-8").to_owned());
    distribution_program();
    run_capacity(&[
        "real",
        "--small",
        "--upstreams",
        "6",
        "--out",
        &path,
        "--program",
        program.to_str().expect("the path is UTF-8"),
    ]);
    let table = Results::read(&out.path().join("results"), "real").expect("the command wrote the table");
    let column = |name: &str| table.columns.iter().position(|column| column == name).expect("the column");
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

/// Guards the errors for invalid arguments: each names the argument.
#[test]
fn invalid_arguments_are_named_in_the_error() {
    let program = balancer_program();
    let program = program.to_str().expect("the path is UTF-8");
    assert_fails_with(&["real", "--balancers", "0", "--program", program], "--balancers: ");
    assert_fails_with(&["real", "--balancers", "151", "--program", program], "--balancers: ");
    assert_fails_with(&["real", "--changes", "0", "--program", program], "--changes: ");
    assert_fails_with(&["real", "--every", "0", "--program", program], "--every: ");
    assert_fails_with(&["real", "--rate", "1000", "--program", program], "--rate: ");
}
