//! Converts the messages of the simulator's protocol to events of the policy.
//!
//! The protocol identifies requests by text, and classes, tenants and load values by their names in the
//! settings; the policy uses numeric ids and indexes. A message for a request that has ended still gives an
//! event while attempts of the request are in flight. After the last of them the request is removed from the
//! table: the fields of a later message are validated as usual, but it produces no event. The module owns no
//! state.

use std::str::FromStr;
use std::time::Duration;

use balancer_policy::Event;
use balancer_policy::interface::{AttemptNumber, ClassId, EndpointId, LoadReport, Request, TenantId};
use balancer_settings::NameIndexes;

use crate::endpoint_lists::EndpointLists;
use crate::error::Malformed;
use crate::fields::Fields;
use crate::instance::Instance;
use crate::requests::RequestTable;
use crate::wire;

/// Bit of `stateBits` that is set if the hint of the expected work may be used.
const EXPECTED_WORK_VALID: u32 = 1;
/// Bit of `stateBits` that is set if the client has marked the request as a retry.
const CLIENT_RETRY: u32 = 2;

/// Type of a message that is an event for a running instance.
#[derive(Clone, Copy)]
pub enum EventKind {
    List,
    Request,
    StreamStarted,
    AttemptEnded,
    ClientDisconnected,
    Reminder,
    HealthChecked,
    PeerMessage,
}

impl FromStr for EventKind {
    type Err = Malformed;

    fn from_str(name: &str) -> Result<Self, Malformed> {
        Ok(match name {
            "PEERS_KNOWN" => Self::List,
            "ASK" => Self::Request,
            "FIRST" => Self::StreamStarted,
            "ATTEMPT_END" => Self::AttemptEnded,
            "TIMED_OUT_CLIENT" => Self::ClientDisconnected,
            "REMINDER" => Self::Reminder,
            "HEALTH" => Self::HealthChecked,
            "NOTE_FROM" => Self::PeerMessage,
            _ => return Err(Malformed::unknown_message(name)),
        })
    }
}

/// Reads the fields of an event. Returns `None` if it refers to a request that is unknown, or was removed
/// because it and its last attempt have ended.
pub fn read(
    kind: EventKind,
    instance: &mut Instance,
    lists: &EndpointLists,
    fields: &mut Fields,
) -> Result<Option<Event>, Malformed> {
    let Instance { names, requests, .. } = instance;
    match kind {
        EventKind::List => lists.update(names, fields).map(|update| Some(Event::List(update))),
        EventKind::Request => request(names, requests, fields).map(Some),
        EventKind::StreamStarted => stream_started(requests, fields),
        EventKind::AttemptEnded => attempt_ended(names, requests, fields),
        EventKind::ClientDisconnected => client_disconnected(requests, fields),
        EventKind::Reminder => reminder(fields).map(Some),
        EventKind::HealthChecked => health_checked(names, fields).map(Some),
        EventKind::PeerMessage => peer_message(fields).map(Some),
    }
}

fn request(
    names: &NameIndexes,
    requests: &mut RequestTable,
    fields: &mut Fields,
) -> Result<Event, Malformed> {
    let wire_id = fields.text("ticket")?;
    if requests.contains(wire_id) {
        return Err(Malformed::DuplicateRequest(wire_id.to_owned()));
    }
    let class = fields.text("cls")?;
    let class = *names.classes.get(class).ok_or_else(|| Malformed::value("cls", class))?;
    let tenant = match fields.optional("owner")? {
        None | Some("0") => None,
        Some(name) => Some(*names.tenants.get(name).ok_or_else(|| Malformed::value("owner", name))?),
    };
    let subject = fields.optional_number("pathKey")?;
    let time_left = fields.seconds("ttlS")?;
    let expected_work = fields.optional_seconds("expectedS")?;
    let bits: u32 = fields.optional_number("stateBits")?.unwrap_or_default();
    Ok(Event::Request(Request {
        id: requests.add(wire_id),
        class: ClassId(class),
        tenant: tenant.map(TenantId),
        subject,
        time_left,
        expected_work: expected_work.filter(|_| bits & EXPECTED_WORK_VALID != 0),
        is_client_retry: bits & CLIENT_RETRY != 0,
    }))
}

fn stream_started(requests: &RequestTable, fields: &mut Fields) -> Result<Option<Event>, Malformed> {
    let id = requests.id(fields.text("ticket")?);
    let attempt = AttemptNumber(fields.number("n")?);
    fields.number::<u32>("upstream")?;
    fields.seconds("durationS")?;
    Ok(id.map(|request| Event::StreamStarted { request, attempt }))
}

fn attempt_ended(
    names: &NameIndexes,
    requests: &mut RequestTable,
    fields: &mut Fields,
) -> Result<Option<Event>, Malformed> {
    let id = requests.id(fields.text("ticket")?);
    let attempt = AttemptNumber(fields.number("n")?);
    fields.number::<u32>("upstream")?;
    let outcome = wire::outcome(fields.text("outcome")?)?;
    let duration = fields.seconds("durationS")?;
    let request_finished = fields.flag("terminal")?;
    let load = load_report(names, fields)?;
    let Some(request) = id else { return Ok(None) };
    requests.attempt_ended(request);
    if request_finished {
        requests.ended(request);
    }
    // The protocol does not report how long an attempt waited for a connection.
    let connect_wait = Duration::ZERO;
    Ok(Some(Event::AttemptEnded {
        request,
        attempt,
        outcome,
        duration,
        connect_wait,
        request_finished,
        load,
    }))
}

fn client_disconnected(requests: &mut RequestTable, fields: &mut Fields) -> Result<Option<Event>, Malformed> {
    let id = requests.id(fields.text("ticket")?);
    if let Some(id) = id {
        requests.ended(id);
    }
    Ok(id.map(Event::ClientDisconnected))
}

fn reminder(fields: &mut Fields) -> Result<Event, Malformed> {
    fields.text("ref")?;
    Ok(Event::MaintenanceDue)
}

fn health_checked(names: &NameIndexes, fields: &mut Fields) -> Result<Event, Malformed> {
    let outcome = wire::outcome(fields.text("outcome")?)?;
    let duration = fields.seconds("durationS")?;
    let upstream = EndpointId(fields.number("upstream")?);
    let load = load_report(names, fields)?;
    Ok(Event::HealthChecked { upstream, outcome, duration, load })
}

fn peer_message(fields: &mut Fields) -> Result<Event, Malformed> {
    let from = fields.number("by")?;
    let content = wire::decode_hex(fields.text("content")?)?;
    Ok(Event::PeerMessage { from, content })
}

/// Reads a load report, whose values are in the order of `loadInfo.fields` in the settings.
fn load_report(names: &NameIndexes, fields: &mut Fields) -> Result<Option<LoadReport>, Malformed> {
    let Some(text) = fields.optional("stats")? else { return Ok(None) };
    let mut report = LoadReport::default();
    for (position, value) in text.split(',').enumerate() {
        let number: f64 = value.parse().map_err(|_| Malformed::value("stats", text))?;
        let name = names.load_fields.get(position).ok_or_else(|| Malformed::value("stats", text))?;
        balancer_settings::set_load_field(&mut report, name, number);
    }
    Ok(Some(report))
}
