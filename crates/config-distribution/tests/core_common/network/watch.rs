//! Watches between children and parents in the simulated network: calls, lines, heartbeats and reports.

use std::time::Duration;

use config_distribution::document::{Scope, Update};
use config_distribution::parents::{FIRST_LINE_TIMEOUT, PARENT_SILENCE_TIMEOUT, Step, Verdict, may_serve};
use config_distribution::report::InForce;
use config_distribution::state::Wanted;

use super::{Event, Line, Network, Node, Reader, ReportBody};
use crate::core_common::{Model, body, live};

/// A parent closes a watch whose child has not processed a line for longer than this.
const STALLED_READER_TIMEOUT: Duration = Duration::from_secs(10);

impl Network {
    /// Opens a watch at the next parent, or waits as long as [`Parents`](config_distribution::parents::Parents)
    /// demands.
    pub(super) fn follow_next(&mut self, node: usize) {
        match self.nodes[node].parents.next(self.now) {
            Step::Wait(wait) => {
                let run_number = self.nodes[node].run_number;
                self.push(node, self.now + wait, Event::ChooseParent(run_number));
            }
            Step::Follow(number) => {
                let parent = self.nodes[node].parent_nodes[number];
                self.last_id += 1;
                let watch = self.last_id;
                self.calls.push((self.now, node, parent));
                let deadline = self.now + FIRST_LINE_TIMEOUT + self.nodes[node].line_delay;
                self.nodes[node].watch = Some((watch, parent));
                self.nodes[node].deadline = deadline;
                self.push(node, deadline, Event::Deadline(watch));
                let since = self.nodes[node].state.index();
                self.send(node, parent, watch, Event::Call { from: node, watch, since });
            }
        }
    }

    /// Handles the end of the open watch of a child, and has the parent notified if the child ends it.
    pub(super) fn watch_ended(&mut self, node: usize, notify_parent: bool) {
        let Some((watch, parent)) = self.nodes[node].watch.take() else { return };
        if notify_parent {
            self.send(node, parent, watch, Event::Left(watch));
        }
        let now = self.now;
        self.nodes[node].parents.on_watch_ended(now);
        self.follow_next(node);
    }

    /// Handles a call: accepts the watch, or closes it if the level of the caller does not permit it.
    pub(super) fn accept_watch(&mut self, node: usize, from: usize, watch: u64, since: u64) {
        let level =
            self.nodes[node].level.expect("only the origin and relays, which have a level, are called");
        if !may_serve(level, self.nodes[from].level) {
            return self.send(node, from, watch, Event::Closed(watch));
        }
        let reader = Reader { child: from, index: since, busy_since: None, last: None };
        self.nodes[node].readers.insert(watch, reader);
        self.send_if_ready(node, watch, true);
    }

    /// Sends a reader its next update if it is ready for a line. With `always`, an empty line is sent if there is no
    /// update.
    pub(super) fn send_if_ready(&mut self, node: usize, watch: u64, always: bool) {
        let now = self.now;
        let Node { state, parents, readers, parent_nodes, muted, .. } = &mut self.nodes[node];
        let stale_s = if parent_nodes.is_empty() { 0 } else { parents.stale_s(now) };
        let (state, muted) = (state.clone(), *muted);
        let Some(reader) = readers.get_mut(&watch) else { return };
        if reader.busy_since.is_some() || muted {
            return;
        }
        let child = reader.child;
        let wanted = self.nodes[child].wanted.clone();
        let Some(reader) = self.nodes[node].readers.get_mut(&watch) else { return };
        let update = if always {
            state.next_update(reader.index, &wanted, stale_s)
        } else if state.index() > reader.index {
            state.since(reader.index, &wanted).map(|update| Update { stale_s, ..update })
        } else {
            None
        };
        let line = match update {
            None if !always => return,
            None => Line::Empty,
            Some(update) => {
                reader.index = update.index;
                Line::Update(update)
            }
        };
        reader.busy_since = Some(now);
        let line = self.inject_fault(child, node, watch, line);
        if let Some(line) = line {
            if matches!(line, Line::Update(_)) {
                *self.delivered.entry(child).or_default() += 1;
            }
            self.send(node, child, watch, Event::Line { watch, line });
        } else if let Some(reader) = self.nodes[node].readers.get_mut(&watch) {
            reader.busy_since = None;
        }
    }

    /// Applies a fault that the test has requested for this child. Returns the line to send, or `None` if it is lost.
    fn inject_fault(&mut self, child: usize, node: usize, watch: u64, line: Line) -> Option<Line> {
        let before = self.nodes[node].readers.get_mut(&watch).and_then(|reader| {
            let before = reader.last.clone();
            if let Line::Update(update) = &line {
                reader.last = Some(update.clone());
            }
            before
        });
        let number = child;
        let child = &mut self.nodes[child];
        let Line::Update(mut update) = line else { return Some(line) };
        if child.damage_next && !update.documents.is_empty() {
            child.damage_next = false;
            update.documents[0].body = body(999_999_999);
        } else if child.repeat_next
            && let Some(before) = before
        {
            child.repeat_next = false;
            // The repeated update arrives before the new one.
            let line = Line::Update(before);
            self.send(node, number, watch, Event::Line { watch, line });
        } else if child.drop_next && !update.documents.is_empty() {
            child.drop_next = false;
            return None;
        }
        Some(Line::Update(update))
    }

    /// Sends a line to each reader that is ready for one, and closes watches whose child has stalled.
    pub(super) fn heartbeat(&mut self, node: usize) {
        let watches: Vec<u64> = self.nodes[node].readers.keys().copied().collect();
        for watch in watches {
            let reader = &self.nodes[node].readers[&watch];
            let child = reader.child;
            if reader.busy_since.is_some_and(|since| self.now - since > STALLED_READER_TIMEOUT) {
                self.nodes[node].readers.remove(&watch);
                self.send(node, child, watch, Event::Closed(watch));
            } else {
                self.send_if_ready(node, watch, true);
            }
        }
    }

    /// Handles a line that a child receives on a watch.
    pub(super) fn receive_line(&mut self, node: usize, watch: u64, line: Line) {
        let Some((own, parent)) = self.nodes[node].watch else { return };
        if own != watch {
            return;
        }
        let now = self.now;
        let mut stale_s = 0;
        if let Line::Update(update) = line {
            stale_s = update.stale_s;
            let Node { state, wanted, .. } = &mut self.nodes[node];
            match state.apply(update, wanted) {
                Ok(changed) => self.update_applied(node, !changed.is_empty()),
                Err(refusal) => {
                    self.refusals.push((node, refusal));
                    return self.watch_ended(node, true);
                }
            }
        }
        self.nodes[node].deadline = now + PARENT_SILENCE_TIMEOUT + self.nodes[node].line_delay;
        self.send(node, parent, watch, Event::LineProcessed(watch));
        if self.nodes[node].parents.on_line(now, stale_s) == Verdict::Leave {
            self.watch_ended(node, true);
        }
    }

    /// Checks a process that has applied an update: its index has not gone back and is one that was published, and it
    /// holds exactly the documents published up to that index. Then sends the change on to its readers.
    pub(super) fn update_applied(&mut self, node: usize, changed: bool) {
        let Node { state, wanted, name, highest_index, .. } = &mut self.nodes[node];
        assert!(
            state.index() >= *highest_index,
            "{name}: expected no index below {highest_index}, got {}",
            state.index()
        );
        *highest_index = state.index();
        let model = self
            .models
            .get(&state.index())
            .unwrap_or_else(|| panic!("{name}: index {} is not written yet", state.index()));
        let model: Model = model
            .iter()
            .filter(|(scope, _)| wanted.includes(scope))
            .map(|(scope, content)| (scope.clone(), content.clone()))
            .collect();
        assert_eq!(
            live(state, wanted),
            model,
            "{name}: documents differ from those published at index {}",
            state.index()
        );
        self.changed |= changed;
        if self.nodes[node].level.is_some() {
            self.send_to_ready_readers(node);
        }
    }

    /// Sends new updates to all readers that are ready for a line.
    fn send_to_ready_readers(&mut self, node: usize) {
        let watches: Vec<u64> = self.nodes[node].readers.keys().copied().collect();
        for watch in watches {
            self.send_if_ready(node, watch, false);
        }
    }

    /// Sends a report to the parent of the open watch.
    pub(super) fn report(&mut self, node: usize) {
        let Some((watch, parent)) = self.nodes[node].watch else { return };
        let child = &self.nodes[node];
        let report_body = match &child.wanted {
            Wanted::All => ReportBody::Relay(child.name.clone(), child.reports.sums(self.now, &child.state)),
            Wanted::These(scopes) => {
                let version = |scope: &Scope| child.state.get(scope).map_or(0, |document| document.version);
                ReportBody::Child(InForce {
                    who: child.name.as_str().into(),
                    versions: scopes.iter().map(|scope| (scope.clone(), version(scope))).collect(),
                    refused: None,
                })
            }
        };
        self.send(node, parent, watch, Event::Report(report_body));
    }
}
