//! What the logs of real balancers say is in force.

use std::sync::mpsc;
use std::time::{Duration, Instant};

use super::play::Published;

/// A balancer's word that a version of a scope is in force.
pub(super) struct InForce {
    pub(super) balancer: usize,
    pub(super) scope: String,
    pub(super) version: u64,
    pub(super) at: Instant,
}

/// Sends on what a balancer's log says is in force.
pub(super) fn reporter(balancer: usize, said: mpsc::Sender<InForce>) -> impl Fn(&str) {
    move |line| {
        for (scope, version) in in_force(line) {
            let at = Instant::now();
            // Once the play has ended, nobody wants to know.
            let _ = said.send(InForce { balancer, scope, version, at });
        }
    }
}

/// The scopes and versions that a line of a balancer's log says are in force.
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

/// What the balancers said, until each has said so of the last change of each scope or for long enough.
pub(super) fn words(
    says: &mpsc::Receiver<InForce>,
    published: &[Published],
    balancers: usize,
) -> Vec<InForce> {
    let newest =
        |scope: &str| published.iter().filter(|change| change.scope == scope).map(|c| c.version).max();
    let mut scopes: Vec<&str> = published.iter().map(|change| change.scope).collect();
    scopes.sort_unstable();
    scopes.dedup();
    let (mut words, mut done) = (Vec::new(), 0);
    let by = Instant::now() + Duration::from_secs(20);
    while done < scopes.len() * balancers
        && let Ok(word) = says.recv_timeout(by.saturating_duration_since(Instant::now()))
    {
        let is_new = !words.iter().any(|w: &InForce| {
            w.balancer == word.balancer && w.scope == word.scope && w.version == word.version
        });
        done += usize::from(is_new && newest(&word.scope) == Some(word.version));
        if is_new {
            words.push(word);
        }
    }
    words
}
