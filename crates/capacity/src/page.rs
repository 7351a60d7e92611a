//! The capacity page: hand-written text with generated blocks between markers. The capacity tool writes the blocks from
//! the plan and the measured figures, so that the page cannot disagree with the measurements.

use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::path::{Path, PathBuf};

use clap::Args;

use crate::CapacityError;
use crate::arithmetic::Measured;
use crate::plan::Plan;
use crate::plots;
use crate::slope::Slope;

mod format;
mod markers;
mod measured;
mod needs;
mod plan_blocks;
mod ranking;

pub use format::format_number;
pub use markers::fill_blocks;
pub use plan_blocks::{DerivedFigure, derived_figures, print_plan};
pub use ranking::ranking;

use markers::first_difference;
use measured::{results_block, slopes_block};
use needs::{day_block, peaks_block};
use plan_blocks::{derived_block, placement_block, plan_block};
use ranking::{bases_block, tight_block};

/// Writes the generated blocks of `docs/CAPACITY.md` and its plots from the plan and the measurements, and prints the
/// ranking of the requirements, those that nothing implements first.
#[derive(Debug, Args)]
pub struct Arguments {
    /// Write nothing, and exit with an error that names the first block or plot that is out of date.
    #[arg(long)]
    pub check: bool,
    /// Folder that contains CAPACITY.md and the folder `capacity` with its plots.
    #[arg(long, default_value = "docs")]
    pub out: PathBuf,
    /// Folder that contains the folders `slopes` and `results`.
    #[arg(long, default_value = "crates/capacity")]
    pub from: PathBuf,
    /// Checkout whose sources are searched for the mechanisms that implement the requirements.
    #[arg(long, default_value = ".")]
    pub tree: PathBuf,
}

/// Writes the blocks of the page and the plots, or with `--check` compares them with the existing files.
///
/// # Errors
/// A file cannot be read, written or parsed, or a block has no marker. With `--check`, a block or plot is out of date.
pub fn run(arguments: &Arguments, plan: &Plan) -> Result<(), CapacityError> {
    let measured = Measured::read(&arguments.from)?;
    let blocks = blocks(plan, &measured, &arguments.tree);
    let page = arguments.out.join("CAPACITY.md");
    let before = fs::read_to_string(&page).map_err(|cause| CapacityError::file(&page, cause))?;
    let after = fill_blocks(&before, &blocks).map_err(|cause| CapacityError::file(&page, cause))?;
    let folder = arguments.out.join("capacity");
    let plots = Plots::draw(&measured, &folder)?;
    if arguments.check {
        if let Some(name) = first_difference(&before, &blocks) {
            return Err(out_of_date(format!("{}, block {name}", page.display())));
        }
        return plots.check();
    }
    plots.write(&folder)?;
    fs::write(&page, after).map_err(|cause| CapacityError::file(&page, cause))?;
    print!("{}", ranking(plan, &measured, &arguments.tree));
    Ok(())
}

fn out_of_date(what: String) -> CapacityError {
    CapacityError::run(what, "differs from what the plan and the measurements give; run `capacity page`")
}

/// The plots of the page.
struct Plots {
    /// Path and SVG text of each plot.
    drawn: Vec<(PathBuf, String)>,
    /// SVG files in the folder of plots that belong to no current slope.
    stale: Vec<PathBuf>,
}

impl Plots {
    /// Draws a plot for each slope, and lists the SVG files in the folder that belong to no slope.
    fn draw(measured: &Measured, folder: &Path) -> Result<Self, CapacityError> {
        let path = |slope: &Slope| folder.join(format!("{}.svg", slope.name));
        let draw = |slope: &Slope| Ok((path(slope), plots::svg(slope)?));
        let drawn: Vec<(PathBuf, String)> =
            measured.slopes.values().map(draw).collect::<Result<_, CapacityError>>()?;
        let stale = stale_plots(folder, &drawn)?;
        Ok(Self { drawn, stale })
    }

    /// Compares the files in the folder with the plots; a difference or a stale file is an error.
    fn check(&self) -> Result<(), CapacityError> {
        for (path, svg) in &self.drawn {
            if fs::read_to_string(path).ok().as_ref() != Some(svg) {
                return Err(out_of_date(path.display().to_string()));
            }
        }
        match self.stale.first() {
            Some(path) => Err(out_of_date(path.display().to_string())),
            None => Ok(()),
        }
    }

    /// Writes the plots to the folder, and removes stale files from it.
    fn write(&self, folder: &Path) -> Result<(), CapacityError> {
        fs::create_dir_all(folder).map_err(|cause| CapacityError::file(folder, cause))?;
        for (path, svg) in &self.drawn {
            fs::write(path, svg).map_err(|cause| CapacityError::file(path, cause))?;
        }
        for path in &self.stale {
            fs::remove_file(path).map_err(|cause| CapacityError::file(path, cause))?;
        }
        Ok(())
    }
}

/// SVG files in `folder` that are not among the plots `drawn`; empty where the folder does not exist.
fn stale_plots(folder: &Path, drawn: &[(PathBuf, String)]) -> Result<Vec<PathBuf>, CapacityError> {
    if !folder.is_dir() {
        return Ok(Vec::new());
    }
    let entries = fs::read_dir(folder).map_err(|cause| CapacityError::file(folder, cause))?;
    let all: BTreeSet<PathBuf> = entries.filter_map(Result::ok).map(|entry| entry.path()).collect();
    let is_plot = |path: &PathBuf| path.extension().is_some_and(|end| end == "svg");
    Ok(all
        .into_iter()
        .filter(|path| is_plot(path) && !drawn.iter().any(|(known, _)| known == path))
        .collect())
}

/// The texts of all generated blocks, by the name in their markers.
#[must_use]
pub fn blocks(plan: &Plan, measured: &Measured, tree: &Path) -> BTreeMap<&'static str, String> {
    BTreeMap::from([
        ("plan", plan_block(plan)),
        ("derived", derived_block(plan)),
        ("deal", placement_block(plan)),
        ("ranking", ranking(plan, measured, tree)),
        ("tight", tight_block(plan, measured, tree)),
        ("bases", bases_block(plan, measured, tree)),
        ("day", day_block(plan, measured, tree)),
        ("peaks", peaks_block(plan, measured, tree)),
        ("slopes", slopes_block(plan, measured, tree)),
        ("results", results_block(measured)),
    ])
}
