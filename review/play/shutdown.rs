//! A planned restart while half of the upstreams hang: requests whose head came before SIGTERM and whose last byte came
//! more than 0.7 s after it.

use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use crate::parts::{Act, Balancer, Connection, Limits, NoMessage, discovery, list, member, ms, upstream};
use crate::settings::SEED_BANK;
use crate::{Stage, Verdict};

/// Clients that begin to write before SIGTERM.
const SLOW: usize = 12;
/// Clients that write a whole request when the slow ones write their last byte. These are for comparison.
const WHOLE: usize = 6;
/// From SIGTERM to the last byte of the requests.
const LAST_BYTE: Duration = Duration::from_millis(1300);
/// From SIGTERM to SIGKILL: the earliest allowed is 3 s, as the longest deadline is longer, and 0.7 s.
const KILL: Duration = Duration::from_millis(3800);
/// What the clients tell as `X-Deadline`.
const DEADLINE: Duration = Duration::from_millis(4000);

const LIMITS: Limits = Limits { memory_mb: 128, sockets: 1024 };

pub fn play(stage: &Stage) -> Verdict {
    let Stage { record, root, trouble } = stage;
    let hanging = Arc::new(AtomicBool::new(false));
    let members: Vec<String> = (0..4)
        .map(|number| {
            let (name, hanging) = (format!("s-{number}"), Arc::clone(&hanging));
            let address = upstream(&name, record, move |request| {
                // Half of the upstreams hang while the balancer is told to end.
                if number < 2 && hanging.load(Ordering::SeqCst) {
                    return Act::Hang;
                }
                Act::Serve(ms(150), format!("for {}", request.header("x-request-id")))
            });
            member(&name, address, number, "vault-1", "cat-two")
        })
        .collect();
    let known = list(&members);
    let Some(mut balancer) =
        Balancer::start(record, root, LIMITS, discovery(known.clone()), &known, SEED_BANK)
    else {
        return Verdict::NotRun;
    };
    let address = balancer.address;
    // SIGTERM follows 0.2 s after the heads of the requests.
    let sigterm = Instant::now() + ms(2000);
    let clients: Vec<_> = (0..SLOW + WHOLE)
        .map(|number| {
            let record = record.clone();
            spawn(move || {
                let mut connection = Connection::open(address).ok()?;
                let body = format!("{{\"label\":{number},\"text\":\"{}\"}}", "x".repeat(600));
                let head = |id: &str| {
                    format!(
                        "POST /label-print/{number} HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: {id}\r\nX-Tenant: growers\r\n\
                         X-Deadline: {:.3}\r\nIdempotency-Key: key-{id}\r\nContent-Length: {}\r\n\r\n",
                        DEADLINE.as_secs_f64(),
                        body.len()
                    )
                };
                // The connection is one that the client keeps: it has carried a request.
                let id = format!("a{number:02}");
                connection.stream.write_all(format!("{}{body}", head(&id)).as_bytes()).ok()?;
                let first = connection.read(Instant::now() + DEADLINE).ok()?;
                record.line(format!("client {number}: {id} answered {}", first.status()));
                let id = format!("b{number:02}");
                sleep((sigterm - ms(200)).saturating_duration_since(Instant::now()));
                let request = format!("{}{body}", head(&id));
                let begun = if number < SLOW { request.len() - body.len() / 2 } else { 0 };
                connection.stream.write_all(&request.as_bytes()[..begun]).ok()?;
                record.line(format!("client {number}: {begun} of {} bytes of {id} written", request.len()));
                sleep((sigterm + LAST_BYTE).saturating_duration_since(Instant::now()));
                let written = connection.stream.write_all(&request.as_bytes()[begun..]);
                let sent_at = Instant::now();
                record.line(format!("client {number}: last byte of {id} written, {written:?}"));
                written.ok()?;
                let answer = connection.read(sent_at + DEADLINE + ms(550));
                let took = sent_at.elapsed().as_secs_f64();
                record.line(match &answer {
                    Ok(answer) => format!("client {number}: {id} answered {} after {took:.3} s", answer.status()),
                    Err(why) => format!("client {number}: {id} got no answer: {why:?} after {took:.3} s"),
                });
                Some(answer.map(|answer| answer.status()))
            })
        })
        .collect();
    sleep((sigterm - ms(100)).saturating_duration_since(Instant::now()));
    if *trouble {
        hanging.store(true, Ordering::SeqCst);
        record.line("two of four upstreams hang from now on");
        sleep(sigterm.saturating_duration_since(Instant::now()));
        balancer.signal("TERM");
        record.line("SIGTERM to the balancer");
        while sigterm.elapsed() < KILL && !balancer.has_ended() {
            sleep(ms(5));
        }
        if balancer.has_ended() {
            record.line(format!(
                "the balancer ended by itself {:.3} s after SIGTERM",
                sigterm.elapsed().as_secs_f64()
            ));
        } else {
            balancer.signal("KILL");
            record.line(format!("SIGKILL {:.3} s after SIGTERM", sigterm.elapsed().as_secs_f64()));
        }
    }
    let results: Vec<Option<Result<u16, NoMessage>>> =
        clients.into_iter().map(|client| client.join().unwrap_or(None)).collect();
    for line in balancer.log().lines() {
        record.line(format!("log of the balancer: {line}"));
    }
    // A request that could not be written whole was not taken.
    let count = |results: &[Option<Result<u16, NoMessage>>], what: &str| {
        let taken = results.iter().flatten().count();
        let lost = results.iter().flatten().filter(|result| result.is_err()).count();
        record.line(format!("{what}: {taken} requests taken, {} answered, {lost} lost", taken - lost));
        (taken, lost)
    };
    let slow = count(&results[..SLOW], "begun before SIGTERM, last byte 1.3 s after it");
    let whole = count(&results[SLOW..], "written whole 1.3 s after SIGTERM");
    match (slow.0 + whole.0, slow.1 + whole.1) {
        (0, _) => Verdict::NotRun,
        (_, 0) => Verdict::Held,
        _ => Verdict::Broken,
    }
}
