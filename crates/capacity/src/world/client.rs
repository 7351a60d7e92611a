//! The client: an open loop that sends each call at its time whatever became of the calls before, so that a slow
//! balancer does not slow the load that measures it.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use super::call::{Call, Class, End, Played};
use super::message::{MESSAGE_MOST, header, message};
use crate::CapacityError;

/// How long after its connections are asked for a play may start.
pub const CONNECT_FIRST: Duration = Duration::from_millis(200);

/// How long after the last call its answer is waited for.
const ANSWER_MOST: Duration = Duration::from_secs(6);

/// A way that calls can go: targets that take its connections in turn, and how many are opened beforehand.
#[derive(Debug, Clone)]
pub struct Way {
    /// Where to.
    pub targets: Vec<SocketAddr>,
    /// Connections that stand before the first call.
    pub warm: usize,
    /// What callers say that they wait.
    pub deadline: Duration,
    /// Tenants that calls are drawn from.
    pub tenants: usize,
}

struct Line {
    stream: TcpStream,
    bytes: Vec<u8>,
    call: usize,
    way: usize,
}

/// Makes calls at their times, whatever became of those before: each takes a connection that stands idle, or a new
/// one. The play starts at `zero`. The thread spins, so that its own waking up is
/// no part of what it measures. `progress` counts the calls sent.
///
/// # Errors
/// A connection that is to stand beforehand does not come up.
pub fn play(
    calls: &[Call],
    ways: &[Way],
    first_id: usize,
    zero: Instant,
    progress: &AtomicUsize,
) -> Result<Vec<Played>, CapacityError> {
    let mut idle: Vec<Vec<TcpStream>> = Vec::new();
    let mut turns = vec![0; ways.len()];
    for (way, turn) in ways.iter().zip(&mut turns) {
        let mut warm = Vec::new();
        for _ in 0..way.warm {
            warm.push(connect(way, turn).map_err(|cause| CapacityError::run("connecting a caller", cause))?);
        }
        idle.push(warm);
    }
    let lost = Played { sent: Duration::ZERO, done: Duration::ZERO, end: End::Lost };
    let mut played = vec![lost; calls.len()];
    let mut busy: Vec<Line> = Vec::new();
    let mut next = 0;
    let by = calls.last().map_or(Duration::ZERO, |call| call.at) + ANSWER_MOST;
    loop {
        let now = Instant::now().saturating_duration_since(zero);
        while let Some(call) = calls.get(next).filter(|call| call.at <= now) {
            let way = &ways[call.way];
            let text = request(first_id + next, call, way);
            let sent = Instant::now().saturating_duration_since(zero);
            let line = loop {
                let kept = idle[call.way].pop();
                let is_kept = kept.is_some();
                let stream = match kept.map_or_else(|| connect(way, &mut turns[call.way]), Ok) {
                    Ok(stream) if is_kept && !stands(&stream) => continue,
                    Ok(stream) => stream,
                    Err(_) => break None,
                };
                break (&stream).write_all(text.as_bytes()).is_ok().then_some(stream);
            };
            played[next] = Played { sent, done: sent, end: End::Lost };
            if let Some(stream) = line {
                busy.push(Line { stream, bytes: Vec::with_capacity(512), call: next, way: call.way });
            }
            next += 1;
            progress.store(next, Ordering::Release);
        }
        let mut place = 0;
        while let Some(line) = busy.get_mut(place) {
            let Some(over) = look(line, first_id) else {
                place += 1;
                continue;
            };
            let done = Instant::now().saturating_duration_since(zero);
            let line = busy.swap_remove(place);
            played[line.call] = Played { done, end: over.0, ..played[line.call] };
            if over.1 {
                idle[line.way].push(line.stream);
            }
        }
        if next == calls.len() && busy.is_empty() || now > by {
            return Ok(played);
        }
        if busy.is_empty() && calls.get(next).is_some_and(|call| call.at > now + Duration::from_millis(2)) {
            thread::sleep(Duration::from_micros(500));
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

/// Whether a kept connection has not been closed meanwhile.
fn stands(stream: &TcpStream) -> bool {
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

/// How a call ended, if it has, and whether its connection stands.
fn look(line: &mut Line, first_id: usize) -> Option<(End, bool)> {
    let mut part = [0; 2048];
    match line.stream.read(&mut part) {
        Ok(0) => return Some((End::Lost, false)),
        Ok(count) => line.bytes.extend_from_slice(&part[..count]),
        Err(error) if error.kind() == ErrorKind::WouldBlock => return None,
        Err(_) => return Some((End::Lost, false)),
    }
    if line.bytes.len() > MESSAGE_MOST {
        return Some((End::Wrong, false));
    }
    let (head, body_at, end) = message(&line.bytes)?;
    let stands = end == line.bytes.len()
        && !header(head, "connection").is_some_and(|value| value.eq_ignore_ascii_case("close"));
    let own = |body: &[u8]| {
        let mut words = std::str::from_utf8(body).ok()?.split(' ');
        let id: usize = words.next()?.parse().ok()?;
        let count: u64 = words.next()?.parse().ok()?;
        (id == first_id + line.call).then_some(End::Right { new_connection: count == 1 })
    };
    let over = match head.split(' ').nth(1) {
        Some("200") => own(&line.bytes[body_at..end]).unwrap_or(End::Wrong),
        Some("503") => End::Refused,
        _ => End::Wrong,
    };
    Some((over, stands))
}
