//! Reports that a configuration version is in force, read from the logs of real balancers.

use std::sync::mpsc;
use std::time::{Duration, Instant};

use super::single_run::Published;

/// Maximum time that [`collect_reports`] waits for the balancers' reports of configuration versions in force.
const REPORT_TIMEOUT: Duration = Duration::from_secs(20);

/// A balancer's report that a version of a scope's configuration document is in force.
pub(super) struct InForce {
    /// Number in the run of the balancer that reports the version, as passed to [`reporter`].
    pub(super) balancer: usize,
    pub(super) scope: String,
    pub(super) version: u64,
    /// Time at which the balancer's log line with the report was read.
    pub(super) at: Instant,
}

/// A callback for the lines of a balancer's log, which parses them and sends the reports in them.
pub(super) fn reporter(balancer: usize, sender: mpsc::Sender<InForce>) -> impl Fn(&str) {
    move |line| {
        for (scope, version) in in_force(line) {
            let at = Instant::now();
            // The receiver is dropped when the run has ended.
            let _ = sender.send(InForce { balancer, scope, version, at });
        }
    }
}

/// Scopes and versions of the configuration documents that a line of a balancer's log reports as in force; empty for a
/// line without such a report.
fn in_force(line: &str) -> Vec<(String, u64)> {
    let Some((_, list)) = line.split_once("in force over the file's own settings: ") else {
        return Vec::new();
    };
    let read = |part: &str| {
        let (scope, version) = part.trim().split_once(' ')?;
        Some((scope.to_owned(), version.parse().ok()?))
    };
    list.split(',').filter_map(read).collect()
}

/// Collects the reports of all balancers, until each has reported the last change of each scope or
/// [`REPORT_TIMEOUT`] has passed.
pub(super) fn collect_reports(
    reports: &mpsc::Receiver<InForce>,
    published: &[Published],
    balancers: usize,
) -> Vec<InForce> {
    let newest =
        |scope: &str| published.iter().filter(|change| change.scope == scope).map(|c| c.version).max();
    let mut scopes: Vec<&str> = published.iter().map(|change| change.scope).collect();
    scopes.sort_unstable();
    scopes.dedup();
    let (mut received, mut done) = (Vec::new(), 0);
    let deadline = Instant::now() + REPORT_TIMEOUT;
    while done < scopes.len() * balancers
        && let Ok(report) = reports.recv_timeout(deadline.saturating_duration_since(Instant::now()))
    {
        let is_new = !received.iter().any(|earlier: &InForce| {
            earlier.balancer == report.balancer
                && earlier.scope == report.scope
                && earlier.version == report.version
        });
        done += usize::from(is_new && newest(&report.scope) == Some(report.version));
        if is_new {
            received.push(report);
        }
    }
    received
}
