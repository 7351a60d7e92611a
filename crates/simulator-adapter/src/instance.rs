//! A balancer instance of the simulator: the balancer, the names in its settings and its requests.
//!
//! The simulator starts, kills and restarts many instances in one process. Each instance has its own names and
//! ids, and shares only the endpoint lists with the others. The module owns the balancer, names and requests of
//! one instance.

use std::io::{self, Write};

use balancer_policy::interface::{RequestId, SettingsError, Time};
use balancer_policy::{Action, Balancer, Event};
use balancer_settings::{LoadedSettings, NameIndexes};

use crate::action::{request_id, write_action};
use crate::requests::RequestTable;

/// A balancer that the simulator has started, with the state to translate its events and actions.
pub struct Instance {
    balancer: Balancer,
    /// Names in the settings of the instance, used to resolve names in messages to indexes.
    pub names: NameIndexes,
    /// Requests of the instance, by protocol id and by policy id.
    pub requests: RequestTable,
}

impl Instance {
    /// Starts a balancer and appends its first actions to `actions`.
    pub fn start(
        loaded: LoadedSettings,
        seed: u64,
        now: Time,
        actions: &mut Vec<Action>,
    ) -> Result<Self, SettingsError> {
        let LoadedSettings { settings, names, .. } = loaded;
        let mut balancer = Balancer::new(settings, seed)?;
        balancer.handle(now, Event::Started, actions);
        Ok(Self { balancer, names, requests: RequestTable::default() })
    }

    /// Passes an event to the balancer and adds the resulting actions to `actions`, which must be empty. The
    /// caller passes them to [`Self::write`] and empties the list before the next event.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        // Request that may have ended with this event; `remove_if_finished` checks whether it has.
        let ended = maybe_ended_request(&event);
        self.balancer.handle(now, event, actions);
        for action in &*actions {
            self.track(action);
        }
        // If the event produced actions, they may refer to the request; `write` then removes it afterwards.
        if let Some(id) = ended
            && actions.is_empty()
        {
            self.requests.remove_if_finished(id);
        }
    }

    /// Updates the request table for an action of the balancer.
    fn track(&mut self, action: &Action) {
        match *action {
            Action::Send { request, .. } => self.requests.attempt_sent(request),
            Action::Refuse { request, .. } | Action::Fail { request } => self.requests.ended(request),
            _ => {}
        }
    }

    /// Writes the actions, and removes the requests that have ended with them.
    pub fn write(
        &mut self,
        actions: impl Iterator<Item = Action>,
        output: &mut impl Write,
    ) -> io::Result<()> {
        for action in actions {
            write_action(&self.requests, &action, output)?;
            if let Some(id) = request_id(&action) {
                self.requests.remove_if_finished(id);
            }
        }
        Ok(())
    }
}

/// Returns the request that may have ended with an event.
fn maybe_ended_request(event: &Event) -> Option<RequestId> {
    match *event {
        Event::ClientDisconnected(id) | Event::AttemptEnded { request: id, .. } => Some(id),
        _ => None,
    }
}
