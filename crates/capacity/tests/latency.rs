//! Tests of `capacity latency`: the files that it writes, and that all its calls are answered. The tests check counts,
//! not durations.

mod common;

use capacity::slope::{Results, Slope};
use common::{assert_fails_with, balancer_program, distribution_program, run_capacity};

/// Guards the command `latency`: with each kind of background load it writes its slopes, and every call gets its own
/// response.
#[test]
fn latency_writes_its_slopes() {
    let out = common::TempDir::new("latency");
    let (program, path) = (balancer_program(), out.path().to_str().expect("the path is UTF-8").to_owned());
    distribution_program();
    let program = program.to_str().expect("the path is UTF-8");
    for (beside, suffix) in [("nothing", ""), ("list", "_list"), ("configuration", "_configuration")] {
        run_capacity(&[
            "latency",
            "--small",
            "--rates",
            "100,300",
            "--beside",
            beside,
            "--out",
            &path,
            "--program",
            program,
        ]);
        for name in ["added_p50", "added_p99", "added_p999"] {
            let name = format!("latency.{name}_us_by_rate{suffix}");
            let slope = Slope::read(&out.path().join("slopes"), &name).expect("the command wrote the file");
            assert_eq!(
                slope.points.iter().map(|point| point.x).collect::<Vec<_>>(),
                [100.0, 300.0],
                "{name}"
            );
            assert_eq!(
                slope.note.matches(" 0 not answered rightly, 0 ran twice").count(),
                2,
                "{}",
                slope.note
            );
            assert_eq!(slope.note.contains(" 0 changes"), beside == "nothing", "{}", slope.note);
        }
    }
    Slope::read(&out.path().join("slopes"), "latency.direct_p99_us_by_rate")
        .expect("the command wrote the file");
}

/// Guards the latency breakdown table: it has a row for every route at each rate, with about as many calls on each
/// route.
#[test]
fn latency_breakdown_covers_every_way() {
    let out = common::TempDir::new("made-of");
    let (program, path) = (balancer_program(), out.path().to_str().expect("the path is UTF-8").to_owned());
    let program = program.to_str().expect("the path is UTF-8");
    run_capacity(&[
        "latency",
        "--small",
        "--rates",
        "100,300",
        "--beside",
        "made-of",
        "--out",
        &path,
        "--program",
        program,
    ]);
    let table =
        Results::read(&out.path().join("results"), "latency_made_of").expect("the command wrote the file");
    let calls = |rate: &str, part: &str| {
        let row =
            table.rows.iter().find(|row| row[0] == rate && row[1] == part).expect("the table has the row");
        row[5].parse::<u64>().expect("the cell is a count")
    };
    for rate in ["100", "300"] {
        let direct = calls(rate, "direct");
        let through = calls(rate, "through the balancer");
        // The first calls of a run are left out, which may drop one call of a pair but not the others.
        assert!(direct > 0 && direct.abs_diff(through) <= 3, "{direct} {through}");
        assert!(calls(rate, "through a relay of bytes").abs_diff(direct) <= 3);
        let reused = calls(rate, "of these on kept connections");
        assert_eq!(reused + calls(rate, "of these on new connections"), through);
    }
}

/// Guards the errors for invalid arguments: each names the argument.
#[test]
fn invalid_arguments_are_named_in_the_error() {
    let program = balancer_program();
    let program = program.to_str().expect("the path is UTF-8");
    assert_fails_with(&["latency", "--rates", "50", "--program", program], "--rates: ");
    assert_fails_with(&["latency", "--rates", "50,1000000", "--program", program], "--rates: ");
    assert_fails_with(&["latency", "--plays", "0", "--program", program], "--plays: ");
    assert_fails_with(&["latency", "--upstreams", "0", "--program", program], "--upstreams: ");
    assert_fails_with(&["latency", "--beside", "noise", "--program", program], "--beside");
}
