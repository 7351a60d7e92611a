//! All that has been measured: slopes and tables of results, read from their folders, and looked up by name and size.

use std::collections::BTreeMap;
use std::fs;
use std::path::Path;

use super::need::{Played, Read};
use crate::CapacityError;
use crate::slope::{Results, Slope};

/// All that has been measured, by name.
#[derive(Debug, Default)]
pub struct Measured {
    /// Slopes.
    pub slopes: BTreeMap<String, Slope>,
    /// Tables of what was played.
    pub results: BTreeMap<String, Results>,
}

/// The cost that a slope gives at a size.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CostAt {
    /// The cost, in the slope's unit.
    pub cost: f64,
    /// How many times past the largest size played the size lies; 1 within.
    pub times_past: f64,
}

/// The worst of the plays of a figure.
pub(super) struct Worst {
    /// The figure, in the unit of the need.
    pub(super) value: f64,
    /// How many plays there are.
    pub(super) plays: usize,
}

impl Measured {
    /// Reads the folders `slopes` and `results` of a folder; nothing where they are missing.
    ///
    /// # Errors
    /// A file makes no sense, or is of another name than what it holds.
    pub fn read(folder: &Path) -> Result<Self, CapacityError> {
        let (slopes, results) = (folder.join("slopes"), folder.join("results"));
        Ok(Self {
            slopes: named(&slopes, Slope::read, |slope| &slope.name)?,
            results: named(&results, Results::read, |results| &results.name)?,
        })
    }

    /// The cost at a size: measured where the size lies between two that were played, by the fit otherwise. `None` where
    /// it is not measured or has no fit there.
    #[must_use]
    pub fn at(&self, name: &str, x: f64) -> Option<CostAt> {
        let slope = self.slopes.get(name)?;
        let mut points = slope.points.clone();
        points.sort_by(|a, b| a.x.total_cmp(&b.x));
        if let Some(point) = points.iter().find(|point| point.x == x) {
            return Some(CostAt { cost: point.y, times_past: 1.0 });
        }
        let between = points.windows(2).find(|pair| pair[0].x < x && x < pair[1].x);
        if let Some([a, b]) = between {
            let cost = a.y + (b.y - a.y) * (x - a.x) / (b.x - a.x);
            return Some(CostAt { cost, times_past: 1.0 });
        }
        let largest = slope.largest();
        let times_past = if x > largest && largest > 0.0 { x / largest } else { 1.0 };
        slope.fit.map(|fit| CostAt { cost: fit.at(x).max(0.0), times_past })
    }

    /// The worst of a figure's plays; `None` where there are none.
    pub(super) fn worst(&self, played: Played) -> Option<Worst> {
        let table = self.results.get(played.results)?;
        let at = table.columns.iter().position(|column| column == played.column)?;
        let rows = table.rows.iter().filter(|row| row.first().is_some_and(|first| first == played.row));
        let figures: Vec<f64> = rows.filter_map(|row| row.get(at)?.parse().ok()).collect();
        let worst = figures.iter().copied().reduce(f64::max)?;
        Some(Worst { value: worst * played.times, plays: figures.len() })
    }

    /// The cost that a slope gives, read in this way.
    pub(super) fn read_as(&self, name: &str, read: Read) -> Option<CostAt> {
        match read {
            Read::At(x) => self.at(name, x),
            Read::Beyond(x) => {
                let smallest =
                    self.slopes.get(name)?.points.iter().map(|point| point.x).fold(f64::MAX, f64::min);
                let least = self.at(name, smallest)?.cost;
                self.at(name, x.max(smallest)).map(|at| CostAt { cost: at.cost - least, ..at })
            }
            Read::OneMore => {
                Some(CostAt { cost: self.slopes.get(name)?.fit?.each.max(0.0), times_past: 1.0 })
            }
        }
    }

    /// What to say of a slope that gave no figure.
    pub(super) fn gap(&self, name: &str) -> String {
        match self.slopes.get(name) {
            None => name.to_owned(),
            Some(slope) => format!("{name} (played up to {}, and no straight line fits it)", slope.largest()),
        }
    }
}

fn named<T>(
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
