//! Slopes of the latency that a balancer adds to a call, against the rate of calls.

use super::placement::Placement;
use super::play::QUANTILES;
use super::{Bench, Beside};
use crate::CapacityError;
use crate::slope::{Fit, Point, Slope, commit};
use crate::world::Counts;

impl Bench<'_> {
    /// Added latency against the rate.
    pub(super) fn slopes(&mut self, rates: &[f64]) -> Result<Vec<Slope>, CapacityError> {
        let plays = if self.arguments.common.small { 1 } else { self.arguments.plays };
        let mut figures: [Vec<Point>; 4] = [const { Vec::new() }; 4];
        let mut told = Vec::new();
        for &rate in rates {
            let mut of_rate: [Vec<f64>; 4] = [const { Vec::new() }; 4];
            let (mut counts, mut changes, mut busy, mut late) = (Counts::default(), 0, 0.0, 0.0_f64);
            let mut stolen = 0.0;
            for _ in 0..plays {
                let play = self.play(&self.setup(rate))?;
                for (place, quantile) in QUANTILES.into_iter().enumerate() {
                    of_rate[place].push(play.through.us(quantile) - play.direct.us(quantile));
                }
                of_rate[3].push(play.direct.us(0.99));
                counts = counts.and(play.around.counts);
                changes += play.around.changes;
                busy += play.around.used.cpu_ns as f64 / play.around.span.as_nanos() as f64 / plays as f64;
                stolen += play.around.stolen_ms as f64 / play.around.span.as_millis() as f64 / plays as f64;
                late = late.max(play.late.us(0.99));
            }
            for (points, plays) in figures.iter_mut().zip(of_rate) {
                points.extend(Point::of(rate, plays));
            }
            told.push(format!(
                "{rate:.0} a second: {} calls, {} not answered rightly, {} ran twice, {changes} changes, {:.3} of a core, \
                 99 in 100 sent within {late:.0} us of their time, {stolen:.2} cores taken by the machine below",
                counts.calls,
                counts.calls - counts.right,
                counts.twice + counts.repeated,
                busy,
            ));
        }
        let [p50, p99, p999, direct] = figures;
        let (suffix, meanwhile) = match self.arguments.beside {
            Beside::List => ("_list", ", while an entry of the list drains or returns every 0.1 s"),
            Beside::Configuration => ("_configuration", ", while its configuration changes every 0.1 s"),
            Beside::Nothing | Beside::MadeOf => ("", ""),
        };
        let note = format!(
            "The quantile of calls through the balancer less the same quantile of calls that went directly in the same \
             play, each call's time counted from when it was to be sent. One caller's thread, which spins; the same \
             {} stand-in upstreams, which answer at once; each pair of calls 1 to 3 ms apart in drawn order; {}. {}",
            self.arguments.upstreams,
            match self.placement {
                Placement::Anywhere => "the system chooses the cores",
                _ => "the caller's thread on core 0, all else on the others (by taskset)",
            },
            told.join(". ")
        );
        let slope = |name: String, what: String, points: Vec<Point>| Slope {
            name,
            what,
            x_unit: "calls a second through one balancer".to_owned(),
            y_unit: "us".to_owned(),
            command: self.command(),
            commit: commit(),
            plays,
            fit: Fit::through(&points),
            points,
            note: note.clone(),
        };
        let mut written = Vec::new();
        for (name, in_words, points) in [("p50", "50", p50), ("p99", "99", p99), ("p999", "99.9", p999)] {
            let what = format!("Latency that a balancer adds to a call, at {in_words} in 100{meanwhile}.");
            written.push(slope(format!("latency.added_{name}_us_by_rate{suffix}"), what, points));
        }
        if suffix.is_empty() {
            let what = "Latency of a direct call at 99 in 100: what the machine's own spread is.".to_owned();
            written.push(slope("latency.direct_p99_us_by_rate".to_owned(), what, direct));
        }
        Ok(written)
    }
}
