//! Actions that a test schedules: publications, and faults of processes, connections and the origin's disk.

use std::time::Duration;

use config_distribution::document::Scope;
use config_distribution::parents::Parents;
use config_distribution::report::Reports;
use config_distribution::state::Wanted;

use super::{Event, Network};

/// Action that a test schedules. Processes are given by node number.
#[derive(Debug, Clone)]
pub enum Action {
    /// Publishes a new document for a scope, or withdraws its document.
    Publish { scope: Scope, withdraw: bool },
    /// Kills a process; its connections are closed.
    Kill(usize),
    /// Starts a killed process, with the documents on its disk or without any.
    Start { node: usize, with_disk: bool },
    /// Pauses a process for this long; its connections stay open.
    Pause(usize, Duration),
    /// Cuts a region off from everything outside it.
    CutRegion(usize),
    /// Ends the cut of a region.
    HealRegion(usize),
    /// Cuts the connection between two processes.
    CutPair(usize, usize),
    /// Ends the cut between two processes.
    HealPair(usize, usize),
    /// Resets the connection of a process to its parent.
    Reset(usize),
    /// Changes a body in the next update with documents that is sent to a process.
    DamageUpdate(usize),
    /// Sends the previous update on the watch of a process again before its next one.
    RepeatUpdate(usize),
    /// Loses the next update with documents that is sent to a process, although its parent counts it as sent.
    DropUpdate(usize),
    /// Whether a parent accepts watches but sends nothing on them.
    Mute(usize, bool),
    /// Delays each line that a process reads by this time; zero ends that.
    Slow(usize, Duration),
    /// Makes the next write to the origin's disk fail.
    DiskFull,
}

impl Network {
    /// Performs a scheduled action.
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

    /// Kills a process and tells its children and its parent that the connections are closed.
    fn kill(&mut self, node: usize) {
        if !std::mem::take(&mut self.nodes[node].is_running) {
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

    /// Starts a process that is down.
    fn start(&mut self, node: usize, with_disk: bool) {
        if self.nodes[node].is_running {
            return;
        }
        self.changed = true;
        let seed = self.rng.rand_u64();
        let process = &mut self.nodes[node];
        process.is_running = true;
        process.parents = Parents::new(process.parent_nodes.len(), seed);
        process.reports = Reports::new();
        let before = std::mem::take(&mut process.state);
        if with_disk {
            let whole = before.since(0, &Wanted::All).expect("a snapshot of the state before the kill");
            process.state.apply(whole, &process.wanted).expect("the process accepts its own documents");
        } else {
            process.highest_index = 0;
        }
        self.schedule_timers(node);
    }

    /// Sends the messages held back by cuts; those that another cut still stops are held back again.
    fn send_undelivered(&mut self) {
        let undelivered = std::mem::take(&mut self.undelivered);
        for (from, to, watch, event) in undelivered {
            self.send(from, to, watch, event);
        }
    }
}
