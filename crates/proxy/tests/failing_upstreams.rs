//! Upstreams that close the connection at once, that never answer, or that answer without `Content-Length`.

mod common;

use std::io::Write;
use std::thread;
use std::time::{Duration, Instant};

use common::*;

/// Guards against retry storms when all upstreams close connections at once: each request gets exactly one answer
/// within a second and no more attempts than the limit of 3, and all requests together have at most 1.5 attempts each
/// on average.
#[test]
fn retries_are_limited_when_attempts_fail_at_once() {
    const REQUESTS: usize = 200;
    let upstreams: Vec<_> = (0..4).map(|_| Upstream::start(|_, _| Reply::Last(Vec::new()))).collect();
    let known = endpoints_in_own_groups(&upstreams);
    let (balancer, _discovery) = Balancer::with(&known, 1.0);
    let mut client = balancer.client();
    for number in 0..REQUESTS {
        let began = Instant::now();
        client.send_bytes(&request_with_deadline("read", &format!("r-{number}"), 2.0));
        let status = client.answer().expect("an answer").status();
        assert!(matches!(status, 502 | 503), "request {number}: expected 502 or 503, got {status}");
        assert!(
            began.elapsed() < Duration::from_secs(1),
            "request {number}: expected an answer within 1 s, it took {:?}",
            began.elapsed()
        );
    }
    assert!(closes_without_data(client), "expected one answer for each request, got more");
    let attempts: Vec<usize> = (0..REQUESTS)
        .map(|number| upstreams.iter().map(|upstream| upstream.count_of(&format!("r-{number}"))).sum())
        .collect();
    let most = attempts.iter().max().expect("there are requests");
    println!(
        "{} attempts for {REQUESTS} requests, at most {most} for one request",
        attempts.iter().sum::<usize>()
    );
    assert!(*most <= 3, "expected at most 3 attempts for each request, got {attempts:?}");
    assert!(
        attempts.iter().sum::<usize>() <= REQUESTS * 3 / 2,
        "expected at most 1.5 attempts on average, got {attempts:?}"
    );
}

/// Guards against lost, late or doubled answers for requests with 1 to 50 ms left, sent to upstreams of which one never
/// answers, one closes the connection and one serves. Each request gets exactly one answer within its deadline plus the
/// slack, and no at-most-once request is sent twice.
#[test]
fn a_request_with_little_time_left_gets_one_answer_in_time() {
    const EACH: usize = 50;
    let upstreams = [
        Upstream::start(|_, _| Reply::Silence),
        Upstream::start(|_, _| Reply::Last(Vec::new())),
        Upstream::start(|_, _| ok("served")),
    ];
    let known = endpoints_in_own_groups(&upstreams);
    let (balancer, _discovery) = Balancer::with(&known, 1.0);
    let ask = |class: &'static str| {
        let mut client = balancer.client();
        for milliseconds in 1..=EACH {
            let time = Duration::from_millis(milliseconds as u64);
            let began = Instant::now();
            client.send_bytes(&request_with_deadline(
                class,
                &format!("{class}-{milliseconds}"),
                time.as_secs_f64(),
            ));
            let status = client.answer().expect("an answer").status();
            assert!(
                matches!(status, 200 | 502 | 503),
                "{class} with {time:?} left: expected 200, 502 or 503, got {status}"
            );
            let took = began.elapsed();
            assert!(took < time + ANSWER_SLACK, "{class} with {time:?} left: answered only after {took:?}");
        }
        assert!(closes_without_data(client), "{class}: expected one answer for each request, got more");
    };
    thread::scope(|scope| {
        for class in ["read", "pay", "order"] {
            scope.spawn(move || ask(class));
        }
    });
    for milliseconds in 1..=EACH {
        let body = format!("order-{milliseconds}");
        let ran: usize = upstreams.iter().map(|upstream| upstream.count_of(&body)).sum();
        assert!(ran <= 1, "{body}: expected at most one attempt, got {ran}");
    }
    for (_, request) in upstreams.iter().flat_map(Upstream::requests) {
        let left: f64 =
            request.header("x-deadline").expect("a deadline is passed on").parse().expect("a number");
        let body = String::from_utf8(request.body.clone()).expect("valid UTF-8");
        let milliseconds: f64 = body.rsplit('-').next().and_then(|text| text.parse().ok()).expect("a number");
        assert!(
            left <= milliseconds / 1000.0,
            "{body}: the deadline passed on is {left} s, more than the request had left"
        );
    }
    wait_for("a request with enough time is served", || {
        (balancer.client().ask("read", "").status() == 200).then_some(())
    });
}

/// Guards against dropping answers without `Content-Length`, which end with their connection: complete ones are
/// forwarded, even if they arrive in pieces.
#[test]
fn complete_answers_without_a_length_are_forwarded() {
    const ANSWERS: usize = 40;
    let upstream = Upstream::scripted(|number, _, stream| {
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\n\r\n");
        if number % 4 == 3 {
            thread::sleep(Duration::from_millis(10));
        }
        let _ = stream.write_all(&vec![b'a'; number * 100]);
        Reply::Last(b"end".to_vec())
    });
    let (balancer, _discovery) = Balancer::with(&[endpoint("s-1", upstream.address, 0, "ready")], 5.0);
    let mut client = balancer.client();
    let mut forwarded = 0;
    for asked in 0..ANSWERS {
        let answer = client.ask("order", "one");
        if answer.status() != 200 {
            continue;
        }
        forwarded += 1;
        assert!(
            answer.body.ends_with(b"end") && (answer.body.len() - 3) % 100 == 0,
            "request {asked}: the forwarded body is incomplete: {:?}",
            answer.body
        );
    }
    println!("{forwarded} of {ANSWERS} forwarded");
    assert!(
        forwarded * 2 >= ANSWERS,
        "expected at least half of {ANSWERS} answers forwarded, got {forwarded}"
    );
}
