//! Tests of `capacity decisions`: its slopes have enough sizes and plausible costs, and a linear fit only where the
//! costs are linear.

use std::path::PathBuf;
use std::process::Command;

use capacity::decisions::fit_line;
use capacity::slope::{Point, Slope};

const NAMES: [&str; 9] = [
    "decisions.request_ns_by_upstreams",
    "decisions.list_change_ns_by_upstreams",
    "decisions.timer_ns_by_upstreams",
    "decisions.request_ns_by_tenants",
    "decisions.timer_ns_by_tenants",
    "decisions.request_ns_by_in_flight",
    "decisions.bytes_by_upstreams",
    "decisions.bytes_by_tenants",
    "decisions.bytes_by_in_flight",
];

#[test]
fn each_slope_has_four_sizes_that_span_a_factor_of_ten() {
    let out = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("decisions");
    let done = Command::new(env!("CARGO_BIN_EXE_capacity"))
        .args(["--plan", "plan.toml", "decisions", "--small", "--out"])
        .arg(&out)
        .output()
        .expect("the capacity tool starts");
    assert!(done.status.success(), "{}", String::from_utf8_lossy(&done.stderr));
    for name in NAMES {
        let slope = Slope::read(&out.join("slopes"), name).expect("the command wrote the slope");
        let sizes: Vec<f64> = slope.points.iter().map(|point| point.x).collect();
        assert!(sizes.len() >= 4, "{name}: {sizes:?}");
        assert!(sizes[sizes.len() - 1] >= 10.0 * sizes[0], "{name}: {sizes:?}");
        for point in &slope.points {
            assert!(point.y > 0.0 && point.low <= point.y && point.y <= point.high, "{name}: {point:?}");
        }
        assert!(slope.fit.is_some() || slope.note.contains("Not a straight line"), "{name}");
    }
}

#[test]
fn memory_grows_with_upstreams_tenants_and_calls() {
    let bytes_held = |size: &str| -> u64 {
        let done = Command::new(env!("CARGO_BIN_EXE_capacity"))
            .args(["--plan", "plan.toml", "decisions", "--hold", size])
            .output()
            .expect("the capacity tool starts");
        assert!(done.status.success(), "{}", String::from_utf8_lossy(&done.stderr));
        String::from_utf8_lossy(&done.stdout).trim().parse().expect("the output is a number")
    };
    let base = bytes_held("20,0,0,1000");
    assert!(bytes_held("200,0,0,200") > base);
    assert!(bytes_held("20,100,0,200") > base);
    assert!(bytes_held("20,0,200,200") > base);
}

#[test]
fn malformed_size_names_the_argument() {
    for malformed in ["1,2,3", "1,2,3,x"] {
        let done = Command::new(env!("CARGO_BIN_EXE_capacity"))
            .args(["--plan", "plan.toml", "decisions", "--hold", malformed])
            .output()
            .expect("the capacity tool starts");
        let message = String::from_utf8_lossy(&done.stderr);
        assert!(!done.status.success() && message.contains("--hold"), "{malformed}: {message}");
    }
}

#[test]
fn nonlinear_costs_get_no_linear_fit() {
    let points = |cost: fn(f64) -> f64| -> Vec<Point> {
        [1.0, 10.0, 100.0, 1000.0].map(|x| Point { x, y: cost(x), low: cost(x), high: cost(x) }).to_vec()
    };
    let mut note = String::new();
    assert!(fit_line(&points(|x| 5.0 + 2.0 * x), &mut note).is_some());
    assert_eq!(note, "");
    assert!(fit_line(&points(|x| x * x), &mut note).is_none());
    assert!(note.contains("size^2.00"), "{note}");
}
