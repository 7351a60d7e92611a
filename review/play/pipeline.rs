//! Clients that send many requests at once on one connection: the time of each counts from when it was sent.

use std::io::Write;
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use crate::parts::{Act, Balancer, Connection, Limits, discovery, list, member, ms, upstream};
use crate::settings::ATHENS_MAIN;
use crate::{Stage, Verdict};

const CLIENTS: usize = 4;
/// Requests that a client sends at once.
const AT_ONCE: usize = 8;
/// How long an upstream takes for a request.
const WORK: Duration = Duration::from_millis(400);
/// What the clients tell as `X-Deadline`: 45% of the class's deadline of 4 s.
const DEADLINE: Duration = Duration::from_millis(1800);
/// A request answered later than this after its time, or never, is lost.
const LATE: Duration = Duration::from_millis(500);
/// The time that sockets have on top of every limit.
const SLACK: Duration = Duration::from_millis(50);

const LIMITS: Limits = Limits { memory_mb: 128, sockets: 1024 };

pub fn play(stage: &Stage) -> Verdict {
    let Stage { record, root, trouble } = stage;
    let trouble = *trouble;
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
    let address = balancer.address;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let record = record.clone();
            spawn(move || {
                let mut connection = Connection::open(address).ok()?;
                let request = |number: usize| {
                    let body = format!("{{\"order\":{number}}}");
                    format!(
                        "POST /alert-order/{number} HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: c{client}r{number}\r\n\
                         X-Tenant: ionian-ferries\r\nX-Deadline: {:.3}\r\nContent-Length: {}\r\n\r\n{body}",
                        DEADLINE.as_secs_f64(),
                        body.len()
                    )
                };
                let mut sent = Instant::now();
                if trouble {
                    let all: String = (0..AT_ONCE).map(request).collect();
                    connection.stream.write_all(all.as_bytes()).ok()?;
                    sent = Instant::now();
                    record.line(format!("client {client}: c{client}r0 to c{client}r{} written at once", AT_ONCE - 1));
                }
                let mut lost = 0;
                for number in 0..AT_ONCE {
                    if !trouble {
                        connection.stream.write_all(request(number).as_bytes()).ok()?;
                        sent = Instant::now();
                        record.line(format!("client {client}: c{client}r{number} written"));
                    }
                    let answer = connection.read(sent + Duration::from_secs(8));
                    let took = sent.elapsed();
                    let is_lost = answer.is_err() || took > DEADLINE + LATE + SLACK;
                    lost += usize::from(is_lost);
                    record.line(format!(
                        "client {client}: c{client}r{number} {} {:.3} s after it was written{}",
                        answer.as_ref().map_or_else(|why| format!("{why:?}"), |answer| answer.status().to_string()),
                        took.as_secs_f64(),
                        if is_lost { ": lost" } else { "" }
                    ));
                    if answer.is_err() {
                        break;
                    }
                }
                Some(lost)
            })
        })
        .collect();
    let results: Vec<Option<usize>> =
        clients.into_iter().map(|client| client.join().unwrap_or(None)).collect();
    sleep(ms(100));
    if results.iter().any(Option::is_none) {
        return Verdict::NotRun;
    }
    let lost: usize = results.iter().flatten().sum();
    record.line(format!(
        "{} requests sent, {lost} answered more than 0.5 s after their time or never",
        CLIENTS * AT_ONCE
    ));
    if lost > 0 { Verdict::Broken } else { Verdict::Held }
}
