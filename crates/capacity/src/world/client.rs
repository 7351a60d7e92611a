//! The client: an open loop that sends each call at its time whatever became of the calls before, so that a slow
//! balancer does not slow the load that measures it.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use super::call::{Call, Class, End, Played};
use super::message::{MAX_MESSAGE_BYTES, Message, header, message};
use crate::CapacityError;

/// How long the connections of a play may take to open before it starts.
pub const CONNECT_FIRST: Duration = Duration::from_millis(200);

/// How long after the last call its answer is waited for.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(6);

/// How long before a call the thread spins: longer than a sleep of [`PAUSE`] takes.
const SPIN_BEFORE: Duration = Duration::from_millis(2);

/// How long the thread sleeps at once where no call is near.
const PAUSE: Duration = Duration::from_micros(500);

/// A way that calls can go: targets that take its connections in turn, and how many are opened beforehand.
#[derive(Debug, Clone)]
pub struct Way {
    /// Where to.
    pub targets: Vec<SocketAddr>,
    /// Connections that are opened before the first call.
    pub warm: usize,
    /// The deadline that each call passes on.
    pub deadline: Duration,
    /// Tenants that calls are drawn from.
    pub tenants: usize,
}

struct Connection {
    stream: TcpStream,
    bytes: Vec<u8>,
    call: usize,
    way: usize,
}

/// Sends calls at their times, independent of the responses to earlier calls: each on an idle connection, or on a new
/// one. The play starts at `zero`. The thread spins, so that its own wake-up is not part of what it measures.
/// `progress` counts the calls sent.
///
/// # Errors
/// A connection that must be open before the first call cannot be opened.
pub fn play(
    calls: &[Call],
    ways: &[Way],
    first_id: usize,
    zero: Instant,
    progress: &AtomicUsize,
) -> Result<Vec<Played>, CapacityError> {
    let lost = Played { sent: Duration::ZERO, done: Duration::ZERO, end: End::Lost };
    let mut open_loop = OpenLoop {
        calls,
        ways,
        first_id,
        zero,
        progress,
        opened: vec![0; ways.len()],
        idle: Vec::new(),
        busy: Vec::new(),
        next: 0,
        played: vec![lost; calls.len()],
    };
    open_loop.connect_first().map_err(|cause| CapacityError::run("connecting a caller", cause))?;
    Ok(open_loop.run())
}

/// The open loop: calls in flight, and those still to be sent.
struct OpenLoop<'a> {
    calls: &'a [Call],
    ways: &'a [Way],
    first_id: usize,
    zero: Instant,
    progress: &'a AtomicUsize,
    /// By way: connections opened so far, by which targets take them in turn.
    opened: Vec<usize>,
    /// By way: connections without a call.
    idle: Vec<Vec<TcpStream>>,
    /// Connections with a call.
    busy: Vec<Connection>,
    /// The first call that is not sent yet.
    next: usize,
    /// By call; lost until its answer is whole.
    played: Vec<Played>,
}

impl OpenLoop<'_> {
    /// Opens the connections that must be open before the first call.
    fn connect_first(&mut self) -> std::io::Result<()> {
        for (way, opened) in self.ways.iter().zip(&mut self.opened) {
            let streams: std::io::Result<_> = (0..way.warm).map(|_| connect(way, opened)).collect();
            self.idle.push(streams?);
        }
        Ok(())
    }

    fn run(mut self) -> Vec<Played> {
        let deadline = self.calls.last().map_or(Duration::ZERO, |call| call.at) + ANSWER_TIMEOUT;
        loop {
            let now = self.elapsed();
            self.send_due(now);
            self.receive();
            if self.next == self.calls.len() && self.busy.is_empty() || now > deadline {
                return self.played;
            }
            self.pause(now);
        }
    }

    /// From the start of the play.
    fn elapsed(&self) -> Duration {
        Instant::now().saturating_duration_since(self.zero)
    }

    fn send_due(&mut self, now: Duration) {
        while let Some(call) = self.calls.get(self.next).filter(|call| call.at <= now) {
            let text = request(self.first_id + self.next, call, &self.ways[call.way]);
            let sent = self.elapsed();
            let stream = self.send(call.way, &text);
            self.played[self.next] = Played { sent, done: sent, end: End::Lost };
            if let Some(stream) = stream {
                let bytes = Vec::with_capacity(512);
                self.busy.push(Connection { stream, bytes, call: self.next, way: call.way });
            }
            self.next += 1;
            self.progress.store(self.next, Ordering::Release);
        }
    }

    /// Sends a request on an idle connection that is still open, or on a new one; `None` where that fails.
    fn send(&mut self, way: usize, text: &str) -> Option<TcpStream> {
        let idle = &mut self.idle[way];
        let stream = loop {
            match idle.pop() {
                Some(stream) if is_open(&stream) => break stream,
                Some(_) => {}
                None => break connect(&self.ways[way], &mut self.opened[way]).ok()?,
            }
        };
        (&stream).write_all(text.as_bytes()).is_ok().then_some(stream)
    }

    /// Reads the responses that have arrived.
    fn receive(&mut self) {
        let mut place = 0;
        while let Some(connection) = self.busy.get_mut(place) {
            let Some((end, reusable)) = read_response(connection, self.first_id) else {
                place += 1;
                continue;
            };
            let done = self.elapsed();
            let connection = self.busy.swap_remove(place);
            self.played[connection.call] = Played { done, end, ..self.played[connection.call] };
            if reusable {
                self.idle[connection.way].push(connection.stream);
            }
        }
    }

    /// Leaves the core for a moment where nothing is on its way and the next call is not near.
    fn pause(&self, now: Duration) {
        let is_near = |call: &Call| call.at <= now + SPIN_BEFORE;
        if self.busy.is_empty() && self.calls.get(self.next).is_some_and(|call| !is_near(call)) {
            thread::sleep(PAUSE);
        }
    }
}

fn connect(way: &Way, turn: &mut usize) -> std::io::Result<TcpStream> {
    let target = way.targets[*turn % way.targets.len()];
    *turn += 1;
    let stream = TcpStream::connect(target)?;
    stream.set_nodelay(true)?;
    stream.set_nonblocking(true)?;
    Ok(stream)
}

/// Whether an idle connection is still open and has nothing to read.
fn is_open(stream: &TcpStream) -> bool {
    matches!(stream.peek(&mut [0]), Err(error) if error.kind() == ErrorKind::WouldBlock)
}

fn request(id: usize, call: &Call, way: &Way) -> String {
    let (method, path) = match call.class {
        Class::Read => ("GET", "read"),
        Class::Pay => ("POST", "pay"),
        Class::Order => ("POST", "order"),
    };
    let key = if call.class == Class::Pay { format!("Idempotency-Key: k-{id}\r\n") } else { String::new() };
    format!(
        "{method} /{path}?k={id:x} HTTP/1.1\r\nHost: api\r\nX-Request-Id: {id}\r\nX-Tenant: t{}\r\n\
         X-Deadline: {:.3}\r\n{key}Content-Length: 0\r\n\r\n",
        id % way.tenants.max(1),
        way.deadline.as_secs_f64(),
    )
}

/// The outcome of a call whose response is complete, and whether its connection can be reused.
fn read_response(connection: &mut Connection, first_id: usize) -> Option<(End, bool)> {
    let mut part = [0; 2048];
    match connection.stream.read(&mut part) {
        Ok(0) => return Some((End::Lost, false)),
        Ok(count) => connection.bytes.extend_from_slice(&part[..count]),
        Err(error) if error.kind() == ErrorKind::WouldBlock => return None,
        Err(_) => return Some((End::Lost, false)),
    }
    if connection.bytes.len() > MAX_MESSAGE_BYTES {
        return Some((End::Wrong, false));
    }
    let Message { head, body_start, end } = message(&connection.bytes)?;
    let reusable = end == connection.bytes.len()
        && !header(head, "connection").is_some_and(|value| value.eq_ignore_ascii_case("close"));
    let own = |body: &[u8]| {
        let mut fields = std::str::from_utf8(body).ok()?.split(' ');
        let id: usize = fields.next()?.parse().ok()?;
        let count: u64 = fields.next()?.parse().ok()?;
        (id == first_id + connection.call).then_some(End::Right { new_connection: count == 1 })
    };
    let over = match head.split(' ').nth(1) {
        Some("200") => own(&connection.bytes[body_start..end]).unwrap_or(End::Wrong),
        Some("503") => End::Refused,
        _ => End::Wrong,
    };
    Some((over, reusable))
}
