//! Upstreams that serve most requests and treat the others badly, as drawn.

use std::collections::HashMap;
use std::io::Write;
use std::ops::Range;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use oorandom::Rand64;

use crate::common::*;

/// Largest body of an answer.
const LONG_ANSWER_BYTES: usize = 60 * 1024;
/// Draws, of a hundred, on which a request is turned away without being run.
const TURNED_AWAY: Range<u64> = 84..88;
/// Number of pieces of a slowly written answer, and the pause between them.
const PIECES: usize = 10;
const PIECE_PAUSE: Duration = Duration::from_millis(60);

/// The upstreams, by number, that have run each request, by id.
pub type Runs = Arc<Mutex<HashMap<String, Vec<u64>>>>;

/// Starts an upstream whose answers begin with the id of their request, and which records what it runs.
pub fn start(number: u64, seed: u64, runs: Runs) -> Upstream {
    let draws = Mutex::new(Rand64::new(seed.into()));
    Upstream::scripted(move |_, request, stream| {
        let (kind, long) = {
            let mut draws = draws.lock().expect("the lock is not poisoned");
            (draws.rand_range(0..100), draws.rand_range(0..8) == 0)
        };
        let id = request.header("x-request-id").unwrap_or_default();
        let padding = if long { LONG_ANSWER_BYTES } else { 8 };
        if !TURNED_AWAY.contains(&kind) {
            let mut runs = runs.lock().expect("the lock is not poisoned");
            runs.entry(id.to_owned()).or_default().push(number);
        }
        let body = format!("{id} {}", "a".repeat(padding));
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        match kind {
            0..80 => {
                thread::sleep(Duration::from_millis(kind / 2));
                ok(&body)
            }
            80..84 => status("500 Failed"),
            _ if TURNED_AWAY.contains(&kind) => status("503 Full\r\nX-Not-Run: 1"),
            88..92 => {
                thread::sleep(Duration::from_millis(700));
                ok(&body)
            }
            92..95 => {
                let _ = stream.write_all(head.as_bytes());
                for piece in body.as_bytes().chunks(body.len().div_ceil(PIECES)) {
                    let _ = stream.write_all(piece);
                    thread::sleep(PIECE_PAUSE);
                }
                Reply::Bytes(Vec::new())
            }
            95..97 => Reply::Silence,
            _ => Reply::Last(head.into_bytes()),
        }
    })
}
