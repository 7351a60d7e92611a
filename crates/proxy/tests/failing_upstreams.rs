//! Upstreams that close at once, drop requests with little time left, or answer without a length.

mod common;

use std::io::Write;
use std::thread;
use std::time::{Duration, Instant};

use common::*;

/// Guards upstreams and clients against retries that fail at once: each request has its one answer at once, has no more
/// attempts than are allowed, and all together have few more attempts than there are requests.
#[test]
fn retries_that_fail_at_once_stay_few() {
    const REQUESTS: usize = 200;
    let upstreams: Vec<_> = (0..4).map(|_| Upstream::start(|_, _| Reply::Last(Vec::new()))).collect();
    let known = each_in_a_group(&upstreams);
    let (balancer, _discovery) = Balancer::with(&known, 1.0);
    let mut client = balancer.client();
    for number in 0..REQUESTS {
        let began = Instant::now();
        client.raw(&timed("read", &format!("r-{number}"), 2.0));
        let status = client.answer().expect("an answer").status();
        assert!(matches!(status, 502 | 503), "{number}: {status}");
        assert!(began.elapsed() < Duration::from_secs(1), "{number}: {:?}", began.elapsed());
    }
    assert!(ends_empty(client), "more than one answer");
    let attempts: Vec<usize> = (0..REQUESTS)
        .map(|number| upstreams.iter().map(|upstream| upstream.count_of(&format!("r-{number}"))).sum())
        .collect();
    let most = attempts.iter().max().expect("some");
    println!("{} attempts for {REQUESTS} requests, {most} at most", attempts.iter().sum::<usize>());
    assert!(*most <= 3, "{attempts:?}");
    assert!(attempts.iter().sum::<usize>() <= REQUESTS * 3 / 2, "{attempts:?}");
}

/// Guards requests with hardly any time left against upstreams that drop them without a word, close on them or say
/// nothing: each has its one answer within its time and the slack, and what must not run twice does not.
#[test]
fn hardly_any_time_left_ends_in_one_answer() {
    const EACH: usize = 50;
    let upstreams = [
        Upstream::start(|_, _| Reply::Silence),
        Upstream::start(|_, _| Reply::Last(Vec::new())),
        Upstream::start(|_, _| ok("served")),
    ];
    let known = each_in_a_group(&upstreams);
    let (balancer, _discovery) = Balancer::with(&known, 1.0);
    let ask = |class: &'static str| {
        let mut client = balancer.client();
        for milliseconds in 1..=EACH {
            let time = Duration::from_millis(milliseconds as u64);
            let began = Instant::now();
            client.raw(&timed(class, &format!("{class}-{milliseconds}"), time.as_secs_f64()));
            let status = client.answer().expect("an answer").status();
            assert!(matches!(status, 200 | 502 | 503), "{class} with {time:?}: {status}");
            let took = began.elapsed();
            assert!(took < time + ANSWER_SLACK, "{class} with {time:?}: {took:?}");
        }
        assert!(ends_empty(client), "{class}: more than one answer");
    };
    thread::scope(|scope| {
        for class in ["read", "pay", "order"] {
            scope.spawn(move || ask(class));
        }
    });
    for milliseconds in 1..=EACH {
        let body = format!("order-{milliseconds}");
        let ran: usize = upstreams.iter().map(|upstream| upstream.count_of(&body)).sum();
        assert!(ran <= 1, "{body} was sent {ran} times");
    }
    for (_, request) in upstreams.iter().flat_map(Upstream::requests) {
        let left: f64 = request.header("x-deadline").expect("passed on").parse().expect("a number");
        let body = String::from_utf8(request.body.clone()).expect("text");
        let milliseconds: f64 = body.rsplit('-').next().and_then(|text| text.parse().ok()).expect("a number");
        assert!(left <= milliseconds / 1000.0, "{body}: {left} s passed on");
    }
    wait_for("requests with time are served", || {
        (balancer.client().ask("read", "").status() == 200).then_some(())
    });
}

/// Guards answers whose length nobody tells: those that come whole, and end with their connection, are forwarded, also
/// where they come in pieces.
#[test]
fn answers_without_a_length_that_come_whole_are_forwarded() {
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
            "{asked}: {:?}",
            answer.body
        );
    }
    println!("{forwarded} of {ANSWERS} forwarded");
    assert!(forwarded * 2 >= ANSWERS, "{forwarded} of {ANSWERS} forwarded");
}
