//! Clients with valid requests, one at a time on a connection that they keep.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use oorandom::Rand64;

/// Time past the deadline of a request within which its answer must have come: half a second, and the 50 ms by which each
/// limit is longer on sockets.
const MAX_LATENESS: Duration = Duration::from_millis(550);
/// Number of pieces of a slowly written request, and the pause between them.
const PIECES: usize = 6;
const PIECE_PAUSE: Duration = Duration::from_millis(40);
/// Pause of a client before it connects again.
const RECONNECT_PAUSE: Duration = Duration::from_millis(20);

/// What became of a request, as its client saw it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    Served,
    Refused,
    Failed,
    /// The connection was closed without an answer.
    Closed,
    /// A status that no valid request gets.
    Status(u16),
    /// Something else that no rule allows.
    Broken(&'static str),
}

/// A request that was written to its last byte.
#[derive(Debug)]
pub struct Sent {
    pub id: String,
    pub class: &'static str,
    /// Whether the request was written in pieces.
    pub in_pieces: bool,
    /// Time at which the last byte was written.
    pub written_at: Instant,
    pub outcome: Outcome,
}

/// Sends requests until `stopped` is set or nobody listens any more.
pub fn send_requests(address: SocketAddr, seed: u64, stopped: &AtomicBool) -> Vec<Sent> {
    let mut draws = Rand64::new(seed.into());
    let mut sent = Vec::new();
    let mut connection = None;
    for number in 0.. {
        if stopped.load(Ordering::Relaxed) {
            break;
        }
        let Some(mut stream) = connection.take().or_else(|| TcpStream::connect(address).ok()) else {
            thread::sleep(RECONNECT_PAUSE);
            continue;
        };
        let request = Drawn::new(&mut draws, format!("soak-{seed}-{number}"));
        if request.write(&mut stream).is_err() {
            continue;
        }
        let written_at = Instant::now();
        let answer = request.read_answer(&mut stream);
        if !answer.closes {
            connection = Some(stream);
        }
        let Drawn { id, class, in_pieces, .. } = request;
        sent.push(Sent { id, class, in_pieces, written_at, outcome: answer.outcome });
        thread::sleep(Duration::from_millis(draws.rand_range(0..20)));
    }
    sent
}

/// An answer, and whether it closes its connection.
struct Answer {
    outcome: Outcome,
    closes: bool,
}

impl From<Outcome> for Answer {
    fn from(outcome: Outcome) -> Self {
        Self { outcome, closes: true }
    }
}

/// A request as drawn.
struct Drawn {
    id: String,
    class: &'static str,
    body_bytes: usize,
    deadline: Duration,
    in_pieces: bool,
}

impl Drawn {
    fn new(draws: &mut Rand64, id: String) -> Self {
        let class = match draws.rand_range(0..3) {
            0 => "read",
            1 => "pay",
            _ => "order",
        };
        let long = draws.rand_range(0..8) == 0;
        let body_bytes = if class == "read" {
            0
        } else if long {
            usize::try_from(draws.rand_range(4096..65536)).expect("a small number")
        } else {
            16
        };
        let deadline = Duration::from_millis(draws.rand_range(300..2000));
        Self { id, class, body_bytes, deadline, in_pieces: draws.rand_range(0..4) == 0 }
    }

    fn write(&self, stream: &mut TcpStream) -> std::io::Result<()> {
        let Self { id, class, body_bytes, deadline, .. } = self;
        let method = if *class == "read" { "GET" } else { "POST" };
        let head = format!(
            "{method} /{class}?k=7f HTTP/1.1\r\nHost: a\r\nX-Request-Id: {id}\r\nX-Tenant: acme\r\n\
             X-Deadline: {:.3}\r\nIdempotency-Key: {id}\r\nContent-Length: {body_bytes}\r\n\r\n",
            deadline.as_secs_f64()
        );
        let bytes = [head.as_bytes(), &vec![b'b'; *body_bytes]].concat();
        if !self.in_pieces {
            return stream.write_all(&bytes);
        }
        for piece in bytes.chunks(bytes.len().div_ceil(PIECES)) {
            stream.write_all(piece)?;
            thread::sleep(PIECE_PAUSE);
        }
        Ok(())
    }

    /// Reads the answer, and checks its time and whose it is.
    fn read_answer(&self, stream: &mut TcpStream) -> Answer {
        let written_at = Instant::now();
        let limit = self.deadline + MAX_LATENESS;
        let mut bytes = Vec::new();
        let mut buffer = [0; 8192];
        loop {
            if let Some(answer) = self.parse(&bytes) {
                return answer;
            }
            let left = limit.saturating_sub(written_at.elapsed());
            if left.is_zero() {
                return Outcome::Broken("no answer in time").into();
            }
            stream.set_read_timeout(Some(left)).expect("the option is set");
            match stream.read(&mut buffer) {
                Ok(0) if bytes.is_empty() => return Outcome::Closed.into(),
                Ok(0) => return Outcome::Broken("an answer that is not whole").into(),
                Ok(read) => bytes.extend_from_slice(&buffer[..read]),
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                Err(_) if bytes.is_empty() => return Outcome::Closed.into(),
                Err(_) => return Outcome::Broken("an answer that is not whole").into(),
            }
        }
    }

    /// Parses an answer; `None` if it is not whole yet.
    fn parse(&self, bytes: &[u8]) -> Option<Answer> {
        let end = bytes.windows(4).position(|part| part == b"\r\n\r\n")? + 4;
        let head = String::from_utf8_lossy(&bytes[..end]).to_ascii_lowercase();
        let length = head.split("content-length: ").nth(1)?.split("\r\n").next()?.parse::<usize>().ok()?;
        let body = bytes.get(end..end + length)?;
        let outcome = match head.split(' ').nth(1)? {
            "200" if body.starts_with(format!("{} ", self.id).as_bytes()) => Outcome::Served,
            "200" => Outcome::Broken("another request's answer"),
            "429" | "503" => Outcome::Refused,
            "502" | "504" => Outcome::Failed,
            status => Outcome::Status(status.parse().ok()?),
        };
        Some(Answer { outcome, closes: head.contains("connection: close") })
    }
}
