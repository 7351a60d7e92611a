//! Slopes: a measured cost as a function of the size that it grows with, with a linear fit and its residual. Slopes and
//! tables of results are stored as JSON files.

use std::fs;
use std::path::Path;
use std::process::Command;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::CapacityError;

/// The cost measured at one size, as the median and the range of several runs.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Point {
    /// Size that was measured, in the slope's `x_unit`.
    pub x: f64,
    /// Median cost over the runs, in the slope's `y_unit`.
    pub y: f64,
    /// Lowest cost of a run, in the slope's `y_unit`.
    pub low: f64,
    /// Highest cost of a run, in the slope's `y_unit`.
    pub high: f64,
}

impl Point {
    /// The point at size `x` with the median and the range of the costs of its runs; `None` without a run.
    #[must_use]
    pub fn of(x: f64, mut costs: Vec<f64>) -> Option<Self> {
        costs.sort_by(f64::total_cmp);
        let (low, high) = (*costs.first()?, *costs.last()?);
        Some(Self { x, y: costs[costs.len() / 2], low, high })
    }
}

/// A straight line fitted to the points of a slope by least squares of the relative deviations, so that small and large
/// sizes have the same weight.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Fit {
    /// Cost at size 0: the intercept of the line.
    pub base: f64,
    /// Additional cost per unit of size: the gradient of the line.
    pub each: f64,
    /// Largest deviation of the line from a point, as a fraction of the measured cost.
    pub residual: f64,
}

impl Fit {
    /// Fits a line to the points; `None` unless they have at least two different sizes.
    #[must_use]
    pub fn through(points: &[Point]) -> Option<Self> {
        let (mut sum_w, mut sum_wx, mut sum_wy, mut sum_wxx, mut sum_wxy) = (0.0, 0.0, 0.0, 0.0, 0.0);
        for &Point { x, y, .. } in points {
            let weight = 1.0 / (y * y).max(1e-12);
            sum_w += weight;
            sum_wx += weight * x;
            sum_wy += weight * y;
            sum_wxx += weight * x * x;
            sum_wxy += weight * x * y;
        }
        let determinant = sum_w * sum_wxx - sum_wx * sum_wx;
        if points.len() < 2 || determinant <= 0.0 {
            return None;
        }
        let each = (sum_w * sum_wxy - sum_wx * sum_wy) / determinant;
        let base = (sum_wy - each * sum_wx) / sum_w;
        let relative_deviation =
            |&Point { x, y, .. }: &Point| ((base + each * x - y) / y.abs().max(1e-9)).abs();
        Some(Self { base, each, residual: points.iter().map(relative_deviation).fold(0.0, f64::max) })
    }

    /// The cost that the line gives at size `x`.
    #[must_use]
    pub fn at(&self, x: f64) -> f64 {
        self.base + self.each * x
    }
}

/// A measured slope, stored in `crates/capacity/slopes/NAME.json`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Slope {
    /// Name of the slope and of its file, in the form `part.cost_by_size`.
    pub name: String,
    /// Description of the measurement, in one plain sentence.
    pub what: String,
    /// Unit of the size, which is the quantity that the cost grows with.
    pub x_unit: String,
    /// Unit of the cost.
    pub y_unit: String,
    /// Command that repeats the measurement. It may leave out flags that were given.
    pub command: String,
    /// Commit that was measured.
    pub commit: String,
    /// Number of runs for each size.
    pub plays: usize,
    /// Cost at each measured size.
    pub points: Vec<Point>,
    /// Linear fit of the points; `None` where a straight line does not describe them.
    pub fit: Option<Fit>,
    /// What a reader needs to know to interpret the figures, such as what they include.
    #[serde(default)]
    pub note: String,
}

impl Slope {
    /// The largest size that was measured; 0 without points.
    #[must_use]
    pub fn largest_size(&self) -> f64 {
        self.points.iter().map(|point| point.x).fold(0.0, f64::max)
    }

    /// Reads the slope `name` from its file in `folder`.
    ///
    /// # Errors
    /// The file is missing or cannot be parsed.
    pub fn read(folder: &Path, name: &str) -> Result<Self, CapacityError> {
        read(folder, name)
    }

    /// Writes the slope to its file in `folder`.
    ///
    /// # Errors
    /// The file cannot be written.
    pub fn write(&self, folder: &Path) -> Result<(), CapacityError> {
        write(folder, &self.name, self)
    }
}

/// A table of measured figures that do not form a slope, such as those of a scenario, stored in
/// `crates/capacity/results/NAME.json`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Results {
    /// Name of the table and of its file.
    pub name: String,
    /// Description of the measurement, in one plain sentence.
    pub what: String,
    /// Command that repeats the measurement. It may leave out flags that were given.
    pub command: String,
    /// Commit that was measured.
    pub commit: String,
    /// Headings of the columns, with units.
    pub columns: Vec<String>,
    /// Rows of the table, with one cell for each column.
    pub rows: Vec<Vec<String>>,
    /// What a reader needs to know to interpret the figures.
    #[serde(default)]
    pub note: String,
}

impl Results {
    /// Reads the table `name` from its file in `folder`.
    ///
    /// # Errors
    /// The file is missing or cannot be parsed.
    pub fn read(folder: &Path, name: &str) -> Result<Self, CapacityError> {
        read(folder, name)
    }

    /// Writes the table to its file in `folder`.
    ///
    /// # Errors
    /// The file cannot be written.
    pub fn write(&self, folder: &Path) -> Result<(), CapacityError> {
        write(folder, &self.name, self)
    }
}

fn read<T: DeserializeOwned>(folder: &Path, name: &str) -> Result<T, CapacityError> {
    let path = folder.join(format!("{name}.json"));
    let text = fs::read_to_string(&path).map_err(|cause| CapacityError::file(&path, cause))?;
    serde_json::from_str(&text).map_err(|cause| CapacityError::file(&path, cause))
}

fn write(folder: &Path, name: &str, value: &impl Serialize) -> Result<(), CapacityError> {
    let path = folder.join(format!("{name}.json"));
    let text = serde_json::to_string_pretty(value).map_err(|cause| CapacityError::file(&path, cause))?;
    fs::write(&path, text + "\n").map_err(|cause| CapacityError::file(&path, cause))
}

/// The short hash of the checked-out commit, with a `+` appended if the sources have uncommitted changes; `unknown`
/// outside a git checkout.
#[must_use]
pub fn commit() -> String {
    let git = |arguments: &[&str]| {
        let done = Command::new("git").args(arguments).output().ok().filter(|done| done.status.success())?;
        Some(String::from_utf8_lossy(&done.stdout).trim().to_owned())
    };
    let Some(commit) = git(&["rev-parse", "--short", "HEAD"]) else { return "unknown".to_owned() };
    let changed = git(&["status", "--porcelain", "--", "src", "crates/*/src"]);
    if changed.is_none_or(|changed| changed.is_empty()) { commit } else { commit + "+" }
}
