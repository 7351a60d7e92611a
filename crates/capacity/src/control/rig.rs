//! Parts that all measurements of the `control` command share: list servers, hollow balancers (simulated ones without
//! real traffic), and the writing of slopes.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use crate::CapacityError;
use crate::plan::Plan;
use crate::slope::{Fit, Point, Slope, commit};
use crate::sockets::hollow::Job;
use crate::sockets::hollow_processes::HollowProcesses;
use crate::sockets::list::ListServer;
use crate::sockets::{fleet, hollow_balancers, zone_names};

/// Parameters that all measurements of one run of the `control` command share.
pub(super) struct Rig<'a> {
    pub(super) plan: &'a Plan,
    /// Folder in which the slopes are written.
    pub(super) folder: PathBuf,
    /// Number of runs for each size.
    pub(super) runs: usize,
    pub(super) seed: u64,
    /// Sizes to measure: numbers of upstreams in the endpoint list, or numbers of watches.
    pub(super) sizes: [usize; 4],
    /// Duration of one measurement of bytes or CPU time per second.
    pub(super) window: Duration,
    /// Number of hollow balancers in one process.
    pub(super) per_process: usize,
}

/// Measured values of one figure, by size: each element has a size and the values of its runs.
#[derive(Default)]
pub(super) struct Samples(Vec<(f64, Vec<f64>)>);

impl Samples {
    /// Adds a value `y` for the size `x`; all values of a size must be added in succession.
    pub(super) fn add(&mut self, x: usize, y: f64) {
        let x = x as f64;
        match self.0.last_mut().filter(|last| last.0 == x) {
            Some((_, values)) => values.push(y),
            None => self.0.push((x, vec![y])),
        }
    }
}

/// Name and texts of a slope.
pub(super) struct SlopeInfo {
    /// Name of the slope, and of its file.
    pub(super) name: &'static str,
    /// Description of the figure that the slope shows.
    pub(super) what: &'static str,
    /// Unit of the sizes, on the x axis of the slope.
    pub(super) x: &'static str,
    /// Unit of the measured values, on the y axis of the slope.
    pub(super) y: &'static str,
    /// Conditions of the measurement that gave the slope.
    pub(super) note: &'static str,
}

impl Rig<'_> {
    /// Fits a line through the samples, prints the slope and writes its file.
    pub(super) fn write(&self, part: &str, samples: &Samples, about: SlopeInfo) -> Result<(), CapacityError> {
        let max_runs = samples.0.iter().map(|(_, values)| values.len()).max().unwrap_or(0);
        let points: Vec<Point> =
            samples.0.iter().filter_map(|(x, values)| Point::of(*x, values.clone())).collect();
        let fit = Fit::through(&points);
        let slope = Slope {
            name: about.name.to_owned(),
            what: about.what.to_owned(),
            x_unit: about.x.to_owned(),
            y_unit: about.y.to_owned(),
            command: format!("target/release/capacity control --part {part}"),
            commit: commit(),
            plays: max_runs,
            points,
            fit,
            note: about.note.to_owned(),
        };
        println!("{}", slope.name);
        for Point { x, y, low, high } in &slope.points {
            println!("  {x}: {y:.3} ({low:.3} to {high:.3}) {}", slope.y_unit);
        }
        if let Some(Fit { base, each, residual }) = slope.fit {
            println!("  {base:.4} + {each:.6} each, off by {:.1}% at most", residual * 100.0);
        }
        slope.write(&self.folder)
    }

    /// Starts a list server with this number of upstreams and with the plan's entry size, zones and heartbeat interval.
    pub(super) fn server(&self, upstreams: usize) -> Result<ListServer, CapacityError> {
        ListServer::start(
            upstreams,
            self.plan.list.entry_bytes.value,
            self.plan.fleet.zones.value,
            Duration::from_secs_f64(self.plan.list.beat_s.value),
        )
    }

    /// Starts `watchers` hollow balancers of the fleet, which watch the list at `list`, if there is one, and the
    /// configuration at the parents that `parents` returns for a region and a zone.
    pub(super) fn hollow_processes(
        &self,
        watchers: usize,
        list: Option<SocketAddr>,
        parents: &dyn Fn(usize, usize) -> Vec<SocketAddr>,
    ) -> Result<HollowProcesses, CapacityError> {
        let balancers = hollow_balancers(self.plan, &fleet(self.plan, watchers), self.seed, parents);
        // Each balancer reports every 5 s from its start. A hundred starts 48 ms apart spread the reports over that
        // interval, as those of a fleet are.
        let apart_ms = if self.per_process > 20 { 48 } else { 0 };
        let job = Job { list, zones: zone_names(self.plan), apart_ms, balancers: Vec::new() };
        HollowProcesses::start(&balancers, self.per_process, &job)
    }
}
