//! Store of the measured slopes and result tables: reads them from their folders, and looks costs up by name and size.

use std::collections::BTreeMap;
use std::fs;
use std::path::Path;

use super::need::{ScenarioRuns, SlopeRead};
use crate::CapacityError;
use crate::slope::{Results, Slope};

/// The measured slopes and result tables.
#[derive(Debug, Default)]
pub struct Measured {
    /// Measured slopes by name.
    pub slopes: BTreeMap<String, Slope>,
    /// Result tables of scenario runs by name.
    pub results: BTreeMap<String, Results>,
}

/// Cost of a slope at a size.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CostAt {
    /// Cost in the slope's `y_unit`.
    pub cost: f64,
    /// Ratio of the size to the largest measured size; 1 where the size is not beyond the largest.
    pub size_ratio: f64,
}

/// Largest value of a figure over all runs of a scenario.
pub(super) struct WorstRun {
    /// Value of the figure in the unit of the need.
    pub(super) value: f64,
    /// Number of runs that the value is the largest of.
    pub(super) runs: usize,
}

impl Measured {
    /// Reads the subfolders `slopes` and `results` of `folder`. A missing subfolder counts as empty.
    ///
    /// # Errors
    /// A file cannot be read or parsed, or its name differs from the name of the slope or table in it.
    pub fn read(folder: &Path) -> Result<Self, CapacityError> {
        let (slopes, results) = (folder.join("slopes"), folder.join("results"));
        Ok(Self {
            slopes: read_by_name(&slopes, Slope::read, |slope| &slope.name)?,
            results: read_by_name(&results, Results::read, |results| &results.name)?,
        })
    }

    /// Returns the cost of the slope `name` at the size `x`. The cost is the measured one at a measured size, is
    /// interpolated between two measured sizes, and comes from the linear fit otherwise. Returns `None` if there is no
    /// such slope, or if the size is outside the measured range and the slope has no fit.
    #[must_use]
    pub fn at(&self, name: &str, x: f64) -> Option<CostAt> {
        let slope = self.slopes.get(name)?;
        let mut points = slope.points.clone();
        points.sort_by(|a, b| a.x.total_cmp(&b.x));
        if let Some(point) = points.iter().find(|point| point.x == x) {
            return Some(CostAt { cost: point.y, size_ratio: 1.0 });
        }
        let between = points.windows(2).find(|pair| pair[0].x < x && x < pair[1].x);
        if let Some([a, b]) = between {
            let cost = a.y + (b.y - a.y) * (x - a.x) / (b.x - a.x);
            return Some(CostAt { cost, size_ratio: 1.0 });
        }
        let largest_size = slope.largest_size();
        let size_ratio = if x > largest_size && largest_size > 0.0 { x / largest_size } else { 1.0 };
        slope.fit.map(|fit| CostAt { cost: fit.at(x).max(0.0), size_ratio })
    }

    /// Returns the largest value of a figure over the runs in its result table, or `None` if the table has no such run.
    pub(super) fn worst(&self, scenario_runs: ScenarioRuns) -> Option<WorstRun> {
        let table = self.results.get(scenario_runs.results)?;
        let at = table.columns.iter().position(|column| column == scenario_runs.column)?;
        let rows =
            table.rows.iter().filter(|row| row.first().is_some_and(|first| first == scenario_runs.row));
        let figures: Vec<f64> = rows.filter_map(|row| row.get(at)?.parse().ok()).collect();
        let worst = figures.iter().copied().reduce(f64::max)?;
        Some(WorstRun { value: worst * scenario_runs.factor, runs: figures.len() })
    }

    /// Returns the cost of the slope `name`, read from it as `read` says.
    pub(super) fn cost_of(&self, name: &str, read: SlopeRead) -> Option<CostAt> {
        match read {
            SlopeRead::At(x) => self.at(name, x),
            SlopeRead::AboveSmallest(x) => {
                let smallest =
                    self.slopes.get(name)?.points.iter().map(|point| point.x).fold(f64::MAX, f64::min);
                let base_cost = self.at(name, smallest)?.cost;
                self.at(name, x.max(smallest)).map(|at| CostAt { cost: at.cost - base_cost, ..at })
            }
            SlopeRead::Marginal => {
                Some(CostAt { cost: self.slopes.get(name)?.fit?.each.max(0.0), size_ratio: 1.0 })
            }
        }
    }

    /// Describes why the slope `name` gave no cost: its name alone if it is not measured, or else its largest measured
    /// size and the missing fit.
    pub(super) fn missing_slope(&self, name: &str) -> String {
        match self.slopes.get(name) {
            None => name.to_owned(),
            Some(slope) => {
                format!("{name} (played up to {}, and no straight line fits it)", slope.largest_size())
            }
        }
    }
}

/// Reads all JSON files of `folder` into a map by name, and checks that each file's name is the name of its content.
fn read_by_name<T>(
    folder: &Path,
    read: fn(&Path, &str) -> Result<T, CapacityError>,
    name_of: fn(&T) -> &str,
) -> Result<BTreeMap<String, T>, CapacityError> {
    if !folder.is_dir() {
        return Ok(BTreeMap::new());
    }
    let entries = fs::read_dir(folder).map_err(|cause| CapacityError::file(folder, cause))?;
    let paths = entries.filter_map(Result::ok).map(|entry| entry.path());
    paths
        .filter(|path| path.extension().is_some_and(|end| end == "json"))
        .map(|path| {
            let name = path.file_stem().unwrap_or_default().to_string_lossy().into_owned();
            let content = read(folder, &name)?;
            if name_of(&content) != name {
                return Err(CapacityError::file(&path, format!("it holds {}", name_of(&content))));
            }
            Ok((name, content))
        })
        .collect()
}
