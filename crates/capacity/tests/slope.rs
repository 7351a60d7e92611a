//! Tests of slopes: the fit and its residual, and that a file reads back as it was written.

use std::fs;
use std::path::PathBuf;

use capacity::slope::{Fit, Point, Results, Slope};

fn points(of: impl Fn(f64) -> f64, sizes: &[f64]) -> Vec<Point> {
    sizes.iter().map(|&x| Point { x, y: of(x), low: of(x), high: of(x) }).collect()
}

/// A temporary folder of one test, which is removed on drop.
struct TempDir(PathBuf);

impl TempDir {
    fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("fennelhatch-slope-{name}-{}", std::process::id()));
        fs::create_dir_all(&path).unwrap();
        Self(path)
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

#[test]
fn straight_line_is_fitted_without_residual() {
    let fit = Fit::through(&points(|x| 7.0 + 0.25 * x, &[6.0, 60.0, 600.0, 1900.0])).unwrap();
    assert!(
        (fit.base - 7.0).abs() < 1e-6 && (fit.each - 0.25).abs() < 1e-9 && fit.residual < 1e-6,
        "{fit:?}"
    );
    assert!((fit.at(10_000.0) - 2507.0).abs() < 1e-3);
}

#[test]
fn residual_is_the_largest_relative_deviation() {
    let mut nonlinear = points(|x| 100.0 + x, &[10.0, 100.0, 1000.0, 10_000.0]);
    nonlinear[2].y *= 1.5;
    let fit = Fit::through(&nonlinear).unwrap();
    let worst = nonlinear.iter().map(|point| (fit.at(point.x) - point.y).abs() / point.y).fold(0.0, f64::max);
    assert!((fit.residual - worst).abs() < 1e-12 && worst > 0.1, "{fit:?}");
}

#[test]
fn single_size_gives_no_fit() {
    assert_eq!(Fit::through(&[]), None);
    assert_eq!(Fit::through(&points(|x| x, &[5.0])), None);
    assert_eq!(Fit::through(&points(|x| x, &[5.0, 5.0])), None);
}

#[test]
fn point_has_the_median_and_range_of_its_runs() {
    let point = Point::of(3.0, vec![9.0, 1.0, 4.0]).unwrap();
    assert_eq!(point, Point { x: 3.0, y: 4.0, low: 1.0, high: 9.0 });
    assert_eq!(Point::of(3.0, Vec::new()), None);
}

#[test]
fn file_reads_back_as_written() {
    let folder = TempDir::new("file");
    let points = points(|x| 1.0 + x / 3.0, &[1.0, 10.0]);
    let slope = Slope {
        name: "part.what_by_what".into(),
        what: "A test.".into(),
        x_unit: "things".into(),
        y_unit: "ns".into(),
        command: "scale test".into(),
        commit: "0".into(),
        plays: 1,
        fit: Fit::through(&points),
        points,
        note: String::new(),
    };
    slope.write(&folder.0).unwrap();
    assert_eq!(Slope::read(&folder.0, &slope.name).unwrap(), slope);
    assert_eq!(slope.largest_size(), 10.0);
    let results = Results {
        name: "played".into(),
        what: "A test.".into(),
        command: "scale test".into(),
        commit: "0".into(),
        columns: vec!["seed".into()],
        rows: vec![vec!["1".into()]],
        note: String::new(),
    };
    results.write(&folder.0).unwrap();
    assert_eq!(Results::read(&folder.0, "played").unwrap(), results);
}

#[test]
fn invalid_or_missing_file_is_named() {
    let folder = TempDir::new("bad");
    fs::write(folder.0.join("half.json"), "{\"name\": \"ha").unwrap();
    for name in ["half", "missing"] {
        let error = Slope::read(&folder.0, name).unwrap_err().to_string();
        assert!(error.contains(&format!("{name}.json: ")), "{error}");
    }
}
