//! What all measurements share: list servers, hollow balancers, and the writing of slopes.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use crate::CapacityError;
use crate::plan::Plan;
use crate::slope::{Fit, Point, Slope, commit};
use crate::sockets::hollow::Job;
use crate::sockets::list::ListServer;
use crate::sockets::swarm::Swarm;
use crate::sockets::{fleet, hollow_balancers, zone_names};

pub(super) struct Rig<'a> {
    pub(super) plan: &'a Plan,
    pub(super) folder: PathBuf,
    pub(super) plays: usize,
    pub(super) seed: u64,
    pub(super) sizes: [usize; 4],
    /// Duration of one measurement over time.
    pub(super) window: Duration,
    pub(super) per_process: usize,
}

/// The measured values of one kind, by size.
#[derive(Default)]
pub(super) struct Plays(Vec<(f64, Vec<f64>)>);

impl Plays {
    pub(super) fn add(&mut self, x: usize, y: f64) {
        let x = x as f64;
        match self.0.last_mut().filter(|last| last.0 == x) {
            Some((_, plays)) => plays.push(y),
            None => self.0.push((x, vec![y])),
        }
    }
}

/// The texts of a slope.
pub(super) struct About {
    pub(super) name: &'static str,
    pub(super) what: &'static str,
    pub(super) x: &'static str,
    pub(super) y: &'static str,
    pub(super) note: &'static str,
}

impl Rig<'_> {
    pub(super) fn write(&self, part: &str, plays: &Plays, about: About) -> Result<(), CapacityError> {
        let most = plays.0.iter().map(|(_, plays)| plays.len()).max().unwrap_or(0);
        let points: Vec<Point> =
            plays.0.iter().filter_map(|(x, plays)| Point::of(*x, plays.clone())).collect();
        let fit = Fit::through(&points);
        let slope = Slope {
            name: about.name.to_owned(),
            what: about.what.to_owned(),
            x_unit: about.x.to_owned(),
            y_unit: about.y.to_owned(),
            command: format!("target/release/capacity control --part {part}"),
            commit: commit(),
            plays: most,
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

    pub(super) fn server(&self, upstreams: usize) -> Result<ListServer, CapacityError> {
        ListServer::start(
            upstreams,
            self.plan.list.entry_bytes.value,
            self.plan.fleet.zones.value,
            Duration::from_secs_f64(self.plan.list.beat_s.value),
        )
    }

    /// Starts `watchers` balancers of the fleet; `parents` gives those of a region and a zone.
    pub(super) fn swarm(
        &self,
        watchers: usize,
        list: Option<SocketAddr>,
        parents: &dyn Fn(usize, usize) -> Vec<SocketAddr>,
    ) -> Result<Swarm, CapacityError> {
        let balancers = hollow_balancers(self.plan, &fleet(self.plan, watchers), self.seed, parents);
        // Reports come every 5 s from each balancer's start: spread over that, as a fleet's are.
        let apart_ms = if self.per_process > 20 { 48 } else { 0 };
        let job = Job { list, zones: zone_names(self.plan), apart_ms, balancers: Vec::new() };
        Swarm::start(&balancers, self.per_process, &job)
    }
}
