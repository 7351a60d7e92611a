//! What a test lets happen: publications, and faults of processes, connections and the origin's disk.

use std::time::Duration;

use config_distribution::document::Scope;
use config_distribution::parents::Parents;
use config_distribution::report::Reports;
use config_distribution::state::Wanted;

use super::{Event, Network};

#[derive(Debug, Clone)]
pub enum Act {
    Publish {
        scope: Scope,
        withdraw: bool,
    },
    Kill(usize),
    Start {
        node: usize,
        disk: bool,
    },
    Pause(usize, Duration),
    Cut(usize),
    Heal(usize),
    /// Two nodes lose each other.
    CutPair(usize, usize),
    HealPair(usize, usize),
    /// A connection to the parent is reset.
    Reset(usize),
    /// The next line that a node is told has a body that was changed on the way.
    Damage(usize),
    /// The next line that a node is told is one that it has been told before.
    Repeat(usize),
    /// The next change that a node is told is swallowed: its parent lies.
    Swallow(usize),
    /// A parent takes calls and says nothing, from now on or no more.
    Mute(usize, bool),
    /// A node takes lines at this pace.
    Slow(usize, Duration),
    /// The disk refuses the next record.
    DiskFull,
}

impl Network {
    pub(super) fn do_act(&mut self, act: Act) {
        self.acts -= 1;
        match act {
            Act::Publish { scope, withdraw } => {
                self.waiting.push((scope, withdraw));
                self.publish_next();
            }
            Act::Kill(node) => self.kill(node),
            Act::Start { node, disk } => self.start(node, disk),
            Act::Pause(node, time) => {
                let until = self.now + time;
                let paused_until = &mut self.nodes[node].paused_until;
                *paused_until = until.max(*paused_until);
            }
            Act::Cut(region) => {
                self.cut.insert(region);
            }
            Act::Heal(region) => {
                self.cut.remove(&region);
                self.send_held();
            }
            Act::CutPair(a, b) => {
                self.cut_pairs.insert((a.min(b), a.max(b)));
            }
            Act::HealPair(a, b) => {
                self.cut_pairs.remove(&(a.min(b), a.max(b)));
                self.send_held();
            }
            Act::Reset(node) => {
                if let Some((watch, parent)) = self.nodes[node].watch {
                    self.send(node, parent, watch, Event::Left(watch));
                    self.send(parent, node, watch, Event::Closed(watch));
                }
            }
            Act::Damage(node) => self.nodes[node].damage = true,
            Act::Repeat(node) => self.nodes[node].repeat = true,
            Act::Swallow(node) => self.nodes[node].swallow = true,
            Act::Mute(node, muted) => self.nodes[node].muted = muted,
            Act::Slow(node, slow) => {
                self.nodes[node].slow = slow;
                self.nodes[node].deadline += slow;
            }
            Act::DiskFull => self.disk_full = true,
        }
    }

    fn kill(&mut self, node: usize) {
        if !std::mem::take(&mut self.nodes[node].up) {
            return;
        }
        self.changed = true;
        self.nodes[node].life += 1;
        self.nodes[node].paused_until = Duration::ZERO;
        for (watch, reader) in std::mem::take(&mut self.nodes[node].readers) {
            self.send(node, reader.child, watch, Event::Closed(watch));
        }
        if let Some((watch, parent)) = self.nodes[node].watch.take() {
            self.send(node, parent, watch, Event::Left(watch));
        }
    }

    fn start(&mut self, node: usize, disk: bool) {
        if self.nodes[node].up {
            return;
        }
        self.changed = true;
        let seed = self.draws.rand_u64();
        let own = &mut self.nodes[node];
        own.up = true;
        own.parents = Parents::new(own.above.len(), seed);
        own.reports = Reports::new();
        let before = std::mem::take(&mut own.state);
        if disk {
            let whole = before.since(0, &Wanted::All).expect("the whole");
            own.state.apply(whole, &own.wanted).expect("its own");
        } else {
            own.seen = 0;
        }
        self.begin(node);
    }

    fn send_held(&mut self) {
        let held = std::mem::take(&mut self.held);
        for (from, to, watch, event) in held {
            self.send(from, to, watch, event);
        }
    }
}
