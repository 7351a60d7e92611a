//! Clients that send many requests at once on one connection: each has to be answered, and its time counts from when it
//! was sent.

use std::io::Write;
use std::net::SocketAddr;
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use crate::parts::{Act, Balancer, Connection, Limits, Record, discovery, list, member, ms, upstream};
use crate::settings::ATHENS_MAIN;
use crate::{Stage, Verdict};

/// Clients whose requests have bodies of 8 KB, and as many whose requests have short ones.
const CLIENTS: usize = 4;
/// Requests that a client sends at once.
const AT_ONCE: usize = 8;
const LONG_BODY: usize = 8000;
const SHORT_BODY: usize = 20;
/// How long an upstream takes for a request.
const WORK: Duration = Duration::from_millis(400);
/// What the clients tell as `X-Deadline`: 45% of the class's deadline of 4 s.
const DEADLINE: Duration = Duration::from_millis(1800);
/// A request answered later than this after its time, or never, is lost.
const LATE: Duration = Duration::from_millis(500);
/// The time that sockets have on top of every limit.
const SLACK: Duration = Duration::from_millis(50);
const LIMITS: Limits = Limits { memory_mb: 128, sockets: 1024 };

/// What became of the requests of one client.
#[derive(Default)]
struct Outcome {
    answered_in_time: usize,
    answered_late: usize,
    never_answered: usize,
}

pub fn play(stage: &Stage) -> Verdict {
    let Stage { record, root, trouble } = stage;
    let members: Vec<String> = (0..6)
        .map(|number| {
            let name = format!("s-{number}");
            let address = upstream(&name, record, |request| {
                Act::Serve(WORK, format!("for {}", request.header("x-request-id")))
            });
            member(&name, address, number, "athens-dc1", "front-fast")
        })
        .collect();
    let known = list(&members);
    let Some(balancer) = Balancer::start(record, root, LIMITS, discovery(known.clone()), &known, ATHENS_MAIN)
    else {
        return Verdict::NotRun;
    };
    let (address, at_once) = (balancer.address, *trouble);
    let clients: Vec<_> = (0..2 * CLIENTS)
        .map(|client| {
            let record = record.clone();
            spawn(move || send(&record, address, client, at_once))
        })
        .collect();
    let outcomes: Vec<Option<Outcome>> =
        clients.into_iter().map(|client| client.join().unwrap_or(None)).collect();
    if outcomes.iter().any(Option::is_none) {
        return Verdict::NotRun;
    }
    let mut lost = 0;
    for (what, outcomes) in [("bodies of 8 KB", &outcomes[..CLIENTS]), ("short bodies", &outcomes[CLIENTS..])]
    {
        let sum = |of: fn(&Outcome) -> usize| outcomes.iter().flatten().map(of).sum::<usize>();
        let (late, never) = (sum(|outcome| outcome.answered_late), sum(|outcome| outcome.never_answered));
        record.line(format!(
            "{what}: {} requests, {} answered in time or up to 0.5 s later, {late} answered after that, {never} never answered",
            CLIENTS * AT_ONCE,
            sum(|outcome| outcome.answered_in_time)
        ));
        lost += late + never;
    }
    if lost > 0 { Verdict::Broken } else { Verdict::Held }
}

/// Sends the requests of a client, at once or one at a time, and waits for their answers. `None` if they could not be
/// written.
fn send(record: &Record, address: SocketAddr, client: usize, at_once: bool) -> Option<Outcome> {
    let mut connection = Connection::open(address).ok()?;
    let text = "x".repeat(if client < CLIENTS { LONG_BODY } else { SHORT_BODY });
    let request = |number: usize| {
        format!(
            "POST /alert-order/{number} HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: c{client}r{number}\r\n\
             X-Tenant: ionian-ferries\r\nX-Deadline: {:.3}\r\nContent-Length: {}\r\n\r\n{text}",
            DEADLINE.as_secs_f64(),
            text.len()
        )
    };
    let mut sent = Instant::now();
    if at_once {
        let all: String = (0..AT_ONCE).map(request).collect();
        connection.stream.write_all(all.as_bytes()).ok()?;
        sent = Instant::now();
        record.line(format!(
            "client {client}: c{client}r0 to c{client}r{} written at once, {} bytes",
            AT_ONCE - 1,
            all.len()
        ));
        sleep(ms(200));
        let unread = unread_bytes(address, connection.stream.local_addr().ok()?);
        record.line(format!(
            "client {client}: 0.2 s later {} of these bytes are in the balancer's socket and not read",
            unread.map_or("an unknown number".to_owned(), |bytes| bytes.to_string())
        ));
    }
    let mut outcome = Outcome::default();
    for number in 0..AT_ONCE {
        if !at_once {
            connection.stream.write_all(request(number).as_bytes()).ok()?;
            sent = Instant::now();
            record.line(format!("client {client}: c{client}r{number} written"));
        }
        let answer = connection.read(sent + Duration::from_secs(8));
        let took = sent.elapsed();
        match &answer {
            Ok(answer) => record.line(format!(
                "client {client}: c{client}r{number} answered {} {:.3} s after it was written",
                answer.status(),
                took.as_secs_f64()
            )),
            Err(why) => record.line(format!(
                "client {client}: c{client}r{number} and those behind it got no answer: {why:?} after {:.3} s",
                took.as_secs_f64()
            )),
        }
        match answer {
            Ok(_) if took <= DEADLINE + LATE + SLACK => outcome.answered_in_time += 1,
            Ok(_) => outcome.answered_late += 1,
            Err(_) => {
                outcome.never_answered = AT_ONCE - number;
                break;
            }
        }
    }
    Some(outcome)
}

/// Number of bytes from `client` that the system holds for the balancer at `balancer` and that it has not read.
fn unread_bytes(balancer: SocketAddr, client: SocketAddr) -> Option<u64> {
    let table = std::fs::read_to_string("/proc/net/tcp").ok()?;
    let (local, remote) = (format!(":{:04X}", balancer.port()), format!(":{:04X}", client.port()));
    let connection = table
        .lines()
        .map(|line| line.split_whitespace().collect::<Vec<_>>())
        .find(|fields| fields.len() > 4 && fields[1].ends_with(&local) && fields[2].ends_with(&remote))?;
    u64::from_str_radix(connection[4].split(':').nth(1)?, 16).ok()
}
