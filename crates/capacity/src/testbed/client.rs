//! The open-loop client: it sends each call at its scheduled time, whether or not earlier calls were answered, so that
//! a slow balancer does not reduce the load that it is measured with.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use super::call::{Call, CallOutcome, CallResult, Class};
use super::message::{MAX_MESSAGE_BYTES, Message, header, message};
use crate::CapacityError;

/// Time between the start of the client and the start of the run, in which the client opens its connections.
pub const CONNECT_LEAD_TIME: Duration = Duration::from_millis(200);

/// Time for which the client waits for responses after it has sent the last call of the run.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(6);

/// Time before a call is due from which the client's thread spins instead of sleeping. It is longer than a sleep of
/// [`SLEEP`] takes, so that the thread is awake when the call is due.
const SPIN_BEFORE: Duration = Duration::from_millis(2);

/// Duration of one sleep of the client's thread while no call is due soon.
const SLEEP: Duration = Duration::from_micros(500);

/// A route on which calls are sent, e.g. directly to the upstreams or through a balancer. Its connections are opened to
/// its targets in turn.
#[derive(Debug, Clone)]
pub struct Route {
    /// Addresses to which the connections of the route are opened in turn.
    pub targets: Vec<SocketAddr>,
    /// Number of connections of the route that are opened before the first call.
    pub initial_connections: usize,
    /// Deadline that each call carries in its `X-Deadline` header.
    pub deadline: Duration,
    /// Number of tenants, to which the calls of the route are assigned in turn.
    pub tenants: usize,
}

/// A client connection with a call in flight.
struct Connection {
    stream: TcpStream,
    bytes: Vec<u8>,
    call: usize,
    route: usize,
}

/// Sends calls at their scheduled times, independent of the responses to earlier calls, each on an idle connection or
/// on a new one. Scheduled times count from `start_time`. The thread spins, so that the measured latencies do not
/// include its own wake-up. `progress` counts the calls that were sent.
///
/// # Errors
/// A connection that is to be opened before the first call cannot be opened.
pub fn send_calls(
    calls: &[Call],
    routes: &[Route],
    first_id: usize,
    start_time: Instant,
    progress: &AtomicUsize,
) -> Result<Vec<CallResult>, CapacityError> {
    let lost = CallResult { sent: Duration::ZERO, done: Duration::ZERO, end: CallOutcome::Lost };
    let mut open_loop = OpenLoop {
        calls,
        routes,
        first_id,
        start_time,
        progress,
        opened: vec![0; routes.len()],
        idle: Vec::new(),
        busy: Vec::new(),
        next: 0,
        call_results: vec![lost; calls.len()],
    };
    open_loop
        .connect_first()
        .map_err(|cause| CapacityError::run("opening the connections of the client", cause))?;
    Ok(open_loop.run())
}

/// State of the open-loop client: the calls in flight, and those that are still to be sent.
struct OpenLoop<'a> {
    calls: &'a [Call],
    routes: &'a [Route],
    first_id: usize,
    start_time: Instant,
    progress: &'a AtomicUsize,
    /// Number of connections opened so far on each route, by route index; it determines the target of the next.
    opened: Vec<usize>,
    /// Idle connections of each route, by route index.
    idle: Vec<Vec<TcpStream>>,
    /// Connections with a call in flight.
    busy: Vec<Connection>,
    /// Index in the schedule of the first call that has not been sent.
    next: usize,
    /// Result of each call, in the order of the schedule: lost until its response is complete.
    call_results: Vec<CallResult>,
}

impl OpenLoop<'_> {
    /// Opens the connections of all routes that are to be open before the first call.
    fn connect_first(&mut self) -> std::io::Result<()> {
        for (route, opened) in self.routes.iter().zip(&mut self.opened) {
            let streams: std::io::Result<_> =
                (0..route.initial_connections).map(|_| connect(route, opened)).collect();
            self.idle.push(streams?);
        }
        Ok(())
    }

    /// Sends all calls, and returns once all are answered or [`ANSWER_TIMEOUT`] has passed since the last.
    fn run(mut self) -> Vec<CallResult> {
        let deadline = self.calls.last().map_or(Duration::ZERO, |call| call.at) + ANSWER_TIMEOUT;
        loop {
            let now = self.elapsed();
            self.send_due(now);
            self.receive();
            if self.next == self.calls.len() && self.busy.is_empty() || now > deadline {
                return self.call_results;
            }
            self.pause(now);
        }
    }

    /// Time since the start of the run; zero before it.
    fn elapsed(&self) -> Duration {
        Instant::now().saturating_duration_since(self.start_time)
    }

    /// Sends the calls whose scheduled time has come.
    fn send_due(&mut self, now: Duration) {
        while let Some(call) = self.calls.get(self.next).filter(|call| call.at <= now) {
            let text = request(self.first_id + self.next, call, &self.routes[call.route]);
            let sent = self.elapsed();
            let stream = self.send(call.route, &text);
            self.call_results[self.next] = CallResult { sent, done: sent, end: CallOutcome::Lost };
            if let Some(stream) = stream {
                let bytes = Vec::with_capacity(512);
                self.busy.push(Connection { stream, bytes, call: self.next, route: call.route });
            }
            self.next += 1;
            self.progress.store(self.next, Ordering::Release);
        }
    }

    /// Sends a request on an idle connection that is still open, or on a new one, and returns the connection; `None` if
    /// connecting or writing fails.
    fn send(&mut self, route: usize, text: &str) -> Option<TcpStream> {
        let idle = &mut self.idle[route];
        let stream = loop {
            match idle.pop() {
                Some(stream) if is_open(&stream) => break stream,
                Some(_) => {}
                None => break connect(&self.routes[route], &mut self.opened[route]).ok()?,
            }
        };
        (&stream).write_all(text.as_bytes()).is_ok().then_some(stream)
    }

    /// Reads the responses that have arrived, and returns connections that can be reused to the idle ones.
    fn receive(&mut self) {
        let mut place = 0;
        while let Some(connection) = self.busy.get_mut(place) {
            let Some((end, reusable)) = read_response(connection, self.first_id) else {
                place += 1;
                continue;
            };
            let done = self.elapsed();
            let connection = self.busy.swap_remove(place);
            self.call_results[connection.call] =
                CallResult { done, end, ..self.call_results[connection.call] };
            if reusable {
                self.idle[connection.route].push(connection.stream);
            }
        }
    }

    /// Sleeps for [`SLEEP`] if no call is in flight and none is due within [`SPIN_BEFORE`].
    fn pause(&self, now: Duration) {
        let is_near = |call: &Call| call.at <= now + SPIN_BEFORE;
        if self.busy.is_empty() && self.calls.get(self.next).is_some_and(|call| !is_near(call)) {
            thread::sleep(SLEEP);
        }
    }
}

/// Opens a connection to the next target of a route; `turn` counts the connections of the route.
fn connect(route: &Route, turn: &mut usize) -> std::io::Result<TcpStream> {
    let target = route.targets[*turn % route.targets.len()];
    *turn += 1;
    let stream = TcpStream::connect(target)?;
    stream.set_nodelay(true)?;
    stream.set_nonblocking(true)?;
    Ok(stream)
}

/// Whether an idle connection is still open and has no unread bytes.
fn is_open(stream: &TcpStream) -> bool {
    matches!(stream.peek(&mut [0]), Err(error) if error.kind() == ErrorKind::WouldBlock)
}

/// The text of a call's HTTP request.
fn request(id: usize, call: &Call, route: &Route) -> String {
    let (method, path) = match call.class {
        Class::Read => ("GET", "read"),
        Class::Pay => ("POST", "pay"),
        Class::Order => ("POST", "order"),
    };
    let key = if call.class == Class::Pay { format!("Idempotency-Key: k-{id}\r\n") } else { String::new() };
    format!(
        "{method} /{path}?k={id:x} HTTP/1.1\r\nHost: api\r\nX-Request-Id: {id}\r\nX-Tenant: t{}\r\n\
         X-Deadline: {:.3}\r\n{key}Content-Length: 0\r\n\r\n",
        id % route.tenants.max(1),
        route.deadline.as_secs_f64(),
    )
}

/// Reads what has arrived on a connection. If the response is then complete or the connection failed, returns the
/// outcome of the call, and whether the connection can be reused.
fn read_response(connection: &mut Connection, first_id: usize) -> Option<(CallOutcome, bool)> {
    let mut part = [0; 2048];
    match connection.stream.read(&mut part) {
        Ok(0) => return Some((CallOutcome::Lost, false)),
        Ok(count) => connection.bytes.extend_from_slice(&part[..count]),
        Err(error) if error.kind() == ErrorKind::WouldBlock => return None,
        Err(_) => return Some((CallOutcome::Lost, false)),
    }
    if connection.bytes.len() > MAX_MESSAGE_BYTES {
        return Some((CallOutcome::Wrong, false));
    }
    let Message { head, body_start, end } = message(&connection.bytes)?;
    let reusable = end == connection.bytes.len()
        && !header(head, "connection").is_some_and(|value| value.eq_ignore_ascii_case("close"));
    let own = |body: &[u8]| {
        let mut fields = std::str::from_utf8(body).ok()?.split(' ');
        let id: usize = fields.next()?.parse().ok()?;
        let count: u64 = fields.next()?.parse().ok()?;
        (id == first_id + connection.call).then_some(CallOutcome::Right { new_connection: count == 1 })
    };
    let outcome = match head.split(' ').nth(1) {
        Some("200") => own(&connection.bytes[body_start..end]).unwrap_or(CallOutcome::Wrong),
        Some("503") => CallOutcome::Refused,
        _ => CallOutcome::Wrong,
    };
    Some((outcome, reusable))
}
