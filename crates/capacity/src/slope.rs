//! A slope: a measured cost against what it grows with, with a linear fit and its residual.

use std::fs;
use std::path::Path;
use std::process::Command;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::CapacityError;

/// One measured size.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Point {
    /// The size, in the slope's `x_unit`.
    pub x: f64,
    /// The cost, in the slope's `y_unit`: the median of the plays.
    pub y: f64,
    /// The least that a play gave, in the unit of the cost.
    pub low: f64,
    /// The most that a play gave.
    pub high: f64,
}

impl Point {
    /// The median and the spread of some plays of one size; `None` without a play.
    #[must_use]
    pub fn of(x: f64, mut plays: Vec<f64>) -> Option<Self> {
        plays.sort_by(f64::total_cmp);
        let (low, high) = (*plays.first()?, *plays.last()?);
        Some(Self { x, y: plays[plays.len() / 2], low, high })
    }
}

/// A straight line through the points, by least squares of the relative deviations: each size counts alike.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Fit {
    /// The cost at size 0.
    pub base: f64,
    /// The cost of one more.
    pub each: f64,
    /// The largest deviation of a point, in parts of what was measured.
    pub residual: f64,
}

impl Fit {
    /// Through at least two sizes that differ; `None` otherwise.
    #[must_use]
    pub fn through(points: &[Point]) -> Option<Self> {
        let (mut w, mut wx, mut wy, mut wxx, mut wxy) = (0.0, 0.0, 0.0, 0.0, 0.0);
        for &Point { x, y, .. } in points {
            let weight = 1.0 / (y * y).max(1e-12);
            w += weight;
            wx += weight * x;
            wy += weight * y;
            wxx += weight * x * x;
            wxy += weight * x * y;
        }
        let spread = w * wxx - wx * wx;
        if points.len() < 2 || spread <= 0.0 {
            return None;
        }
        let each = (w * wxy - wx * wy) / spread;
        let base = (wy - each * wx) / w;
        let off = |&Point { x, y, .. }: &Point| ((base + each * x - y) / y.abs().max(1e-9)).abs();
        Some(Self { base, each, residual: points.iter().map(off).fold(0.0, f64::max) })
    }

    /// The cost at a size.
    #[must_use]
    pub fn at(&self, x: f64) -> f64 {
        self.base + self.each * x
    }
}

/// A measured slope, as it is stored in `crates/capacity/slopes/NAME.json`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Slope {
    /// Its name, also of its file: `part.what_by_what`.
    pub name: String,
    /// What was measured, in one plain sentence.
    pub what: String,
    /// What it grows with.
    pub x_unit: String,
    /// What it costs.
    pub y_unit: String,
    /// The command that gives it again.
    pub command: String,
    /// The commit that it was measured on.
    pub commit: String,
    /// Plays of each size.
    pub plays: usize,
    /// The measured sizes.
    pub points: Vec<Point>,
    /// The fit, where a straight line makes sense.
    pub fit: Option<Fit>,
    /// What a reader must know, such as what a figure is made of.
    #[serde(default)]
    pub note: String,
}

impl Slope {
    /// The largest size that was played.
    #[must_use]
    pub fn largest(&self) -> f64 {
        self.points.iter().map(|point| point.x).fold(0.0, f64::max)
    }

    /// Reads it from its file.
    ///
    /// # Errors
    /// The file is missing or cannot be parsed.
    pub fn read(folder: &Path, name: &str) -> Result<Self, CapacityError> {
        read(folder, name)
    }

    /// Writes it to its file.
    ///
    /// # Errors
    /// The file cannot be written.
    pub fn write(&self, folder: &Path) -> Result<(), CapacityError> {
        write(folder, &self.name, self)
    }
}

/// Measured figures that are no slope, such as those of a scenario: a table, stored in `crates/capacity/results/NAME.json`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Results {
    /// Its name, also of its file.
    pub name: String,
    /// What was measured, in one plain sentence.
    pub what: String,
    /// The command that gives it again.
    pub command: String,
    /// The commit that it was measured on.
    pub commit: String,
    /// The heads of the columns, with units.
    pub columns: Vec<String>,
    /// The rows.
    pub rows: Vec<Vec<String>>,
    /// What a reader must know.
    #[serde(default)]
    pub note: String,
}

impl Results {
    /// Reads it from its file.
    ///
    /// # Errors
    /// The file is missing or cannot be parsed.
    pub fn read(folder: &Path, name: &str) -> Result<Self, CapacityError> {
        read(folder, name)
    }

    /// Writes it to its file.
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

/// The commit that the tree stands at, with `+` where it has changes; `unknown` outside a checkout.
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
