//! What a test lets happen: publications, and faults of processes, connections and the origin's disk.

use std::time::Duration;

use config_distribution::document::Scope;
use config_distribution::parents::Parents;
use config_distribution::report::Reports;
use config_distribution::state::Wanted;

use super::{Event, Network};

#[derive(Debug, Clone)]
pub enum Action {
    Publish {
        scope: Scope,
        withdraw: bool,
    },
    Kill(usize),
    Start {
        node: usize,
        with_disk: bool,
    },
    Pause(usize, Duration),
    CutRegion(usize),
    HealRegion(usize),
    /// Two nodes lose each other.
    CutPair(usize, usize),
    HealPair(usize, usize),
    /// A connection to the parent is reset.
    Reset(usize),
    /// The next line that a node is told has a body that was changed on the way.
    DamageUpdate(usize),
    /// The next line that a node is told is one that it has been told before.
    RepeatUpdate(usize),
    /// The next change that a node is told is swallowed: its parent lies.
    DropUpdate(usize),
    /// A parent takes calls and says nothing, from now on or no more.
    Mute(usize, bool),
    /// A node takes lines at this pace.
    Slow(usize, Duration),
    /// The disk refuses the next record.
    DiskFull,
}

impl Network {
    pub(super) fn perform(&mut self, action: Action) {
        self.pending_actions -= 1;
        match action {
            Action::Publish { scope, withdraw } => {
                self.publish_queue.push((scope, withdraw));
                self.publish_next();
            }
            Action::Kill(node) => self.kill(node),
            Action::Start { node, with_disk } => self.start(node, with_disk),
            Action::Pause(node, time) => {
                let until = self.now + time;
                let paused_until = &mut self.nodes[node].paused_until;
                *paused_until = until.max(*paused_until);
            }
            Action::CutRegion(region) => {
                self.cut_regions.insert(region);
            }
            Action::HealRegion(region) => {
                self.cut_regions.remove(&region);
                self.send_undelivered();
            }
            Action::CutPair(a, b) => {
                self.cut_pairs.insert((a.min(b), a.max(b)));
            }
            Action::HealPair(a, b) => {
                self.cut_pairs.remove(&(a.min(b), a.max(b)));
                self.send_undelivered();
            }
            Action::Reset(node) => {
                if let Some((watch, parent)) = self.nodes[node].watch {
                    self.send(node, parent, watch, Event::Left(watch));
                    self.send(parent, node, watch, Event::Closed(watch));
                }
            }
            Action::DamageUpdate(node) => self.nodes[node].damage_next = true,
            Action::RepeatUpdate(node) => self.nodes[node].repeat_next = true,
            Action::DropUpdate(node) => self.nodes[node].drop_next = true,
            Action::Mute(node, muted) => self.nodes[node].muted = muted,
            Action::Slow(node, line_delay) => {
                self.nodes[node].line_delay = line_delay;
                self.nodes[node].deadline += line_delay;
            }
            Action::DiskFull => self.disk_full = true,
        }
    }

    fn kill(&mut self, node: usize) {
        if !std::mem::take(&mut self.nodes[node].up) {
            return;
        }
        self.changed = true;
        self.nodes[node].run_number += 1;
        self.nodes[node].paused_until = Duration::ZERO;
        for (watch, reader) in std::mem::take(&mut self.nodes[node].readers) {
            self.send(node, reader.child, watch, Event::Closed(watch));
        }
        if let Some((watch, parent)) = self.nodes[node].watch.take() {
            self.send(node, parent, watch, Event::Left(watch));
        }
    }

    fn start(&mut self, node: usize, with_disk: bool) {
        if self.nodes[node].up {
            return;
        }
        self.changed = true;
        let seed = self.rng.rand_u64();
        let process = &mut self.nodes[node];
        process.up = true;
        process.parents = Parents::new(process.parent_nodes.len(), seed);
        process.reports = Reports::new();
        let before = std::mem::take(&mut process.state);
        if with_disk {
            let whole = before.since(0, &Wanted::All).expect("the whole");
            process.state.apply(whole, &process.wanted).expect("its own");
        } else {
            process.highest_index = 0;
        }
        self.schedule_timers(node);
    }

    fn send_undelivered(&mut self) {
        let undelivered = std::mem::take(&mut self.undelivered);
        for (from, to, watch, event) in undelivered {
            self.send(from, to, watch, event);
        }
    }
}
