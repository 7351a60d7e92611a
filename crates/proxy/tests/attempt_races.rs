//! Attempts that meet another event: the end of their window, a drain, a second answer, a reset. Each case brings the
//! two together on purpose. `docs/CROSSINGS.md` lists what is promised for each.

mod common;

use std::io::{Read, Write};
use std::net::TcpListener;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use common::*;
use socket2::SockRef;

/// For how long a connection rests after an answer, before it carries the next request.
const REST: Duration = Duration::from_millis(10);

/// Guards what must not run twice in effect: a repeat goes out within the window in which repeats are dropped, also
/// when the connection that it waits for takes longer.
#[test]
fn a_repeat_does_not_begin_after_its_window() {
    let failing = Upstream::start(|_, _| Reply::Last(Vec::new()));
    let late = LateUpstream::start();
    let known = [endpoint("s-1", failing.address, 4, "ready"), endpoint("s-2", late.address, 4, "ready")];
    let discovery = Discovery::start();
    let text =
        configuration(discovery.address, &known, 50.0, 1024).replace("\"windowS\":10.0", "\"windowS\":0.3");
    // Which upstream is first is drawn: it must be the failing one, so that the other gets the repeat.
    let balancer = Balancer::start(&with_dial_timeout(&text, PATIENT_S));
    let mut clients: Vec<Client> = (0..4).map(|_| balancer.client()).collect();
    for client in &mut clients {
        client.send("pay", "instalments");
    }
    failing.wait_requests(1);
    let first = Instant::now();
    thread::sleep(Duration::from_millis(400));
    let came = late.open();
    // Those that went to the late one at first may go there.
    let direct = clients.len() - failing.requests().len();
    let mut got = 0;
    while let Ok(stream) = came.recv_timeout(SOON) {
        stream.set_read_timeout(Some(Duration::from_millis(200))).expect("set");
        let mut byte = [0];
        got += usize::from(matches!((&stream).read(&mut byte), Ok(1)));
    }
    assert!(got <= direct, "{got} of {direct} after {:?}", first.elapsed());
}

/// Guards drains against a connection that is long in coming: what was chosen before the word is not sent after it.
#[test]
fn a_drain_learned_during_a_connect_holds() {
    for status in ["draining", "gone"] {
        let late = LateUpstream::start();
        let other = Upstream::start(|_, _| ok("other"));
        let known = [endpoint("s-1", late.address, 0, "ready")];
        let discovery = Discovery::start();
        let text = configuration(discovery.address, &known, 50.0, 1024);
        let balancer = Balancer::start(&with_dial_timeout(&text, PATIENT_S));
        let mut client = balancer.client();
        client.send("order", "one");
        late.wait_connecting(1);
        let (_, watch) = discovery.watch();
        let drained = endpoint("s-1", late.address, 0, status);
        watch.says(8, false, &[drained, endpoint("s-2", other.address, 1, "ready")]);
        wait_for("the drain is applied", || {
            (balancer.client().ask("read", "").body == b"other").then_some(())
        });
        // Its connections end while the balancer goes on.
        assert!(nothing_came(all_that_came(&late.open())), "{status}");
        assert_eq!(client.answer().expect("an answer").body, b"other", "{status}");
    }
}

/// Guards clients against another's answer: what an upstream sends beyond its answer is nobody's, also when it comes
/// some milliseconds later, and the connection it came on carries nothing more.
#[test]
fn a_second_answer_is_nobodys() {
    let answer = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nright";
    let wrong = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong";
    for late in [None, Some(Duration::from_millis(1)), Some(Duration::from_millis(6))] {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("bound");
        // The longest time between the two answers, of those that were written.
        let longest = Arc::new(std::sync::Mutex::new(Duration::ZERO));
        let between = Arc::clone(&longest);
        thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                let between = Arc::clone(&between);
                thread::spawn(move || {
                    if read_message(&mut stream).is_none() {
                        return;
                    }
                    let mut write =
                        |text: &str| stream.write_all(text.as_bytes()).expect("the balancer reads");
                    match late {
                        None => write(&format!("{answer}{wrong}")),
                        Some(late) => {
                            let first = Instant::now();
                            write(answer);
                            thread::sleep(late);
                            // On a busy machine it may be later than is promised for.
                            if first.elapsed() >= REST {
                                return;
                            }
                            write(wrong);
                            let mut longest = between.lock().expect("no panic");
                            *longest = first.elapsed().max(*longest);
                        }
                    }
                    // Whatever comes now is not answered any more.
                    let _ = read_message(&mut stream);
                });
            }
        });
        let (balancer, _discovery) = Balancer::with(&[endpoint("s-1", address, 0, "ready")], 30.0);
        let mut client = balancer.client();
        for _ in 0..20 {
            // A machine without time for it may look like congestion, and a refusal is an answer of its own.
            let answer = wait_for("an answer beside refusals", || {
                Some(client.ask("order", "one")).filter(|answer| answer.status() != 503)
            });
            if answer.body == b"wrong" {
                // Held up between its look at the clock and its write, the upstream was too late for the promise.
                let longest = || *longest.lock().expect("no panic");
                wait_for("the upstream was too late", || (longest() >= REST).then_some(()));
                break;
            }
            assert_eq!((answer.status(), answer.body.as_slice()), (200, b"right".as_slice()), "{late:?}");
        }
    }
}

/// Guards clients against half an answer: one without a length that is reset has not ended.
#[test]
fn a_reset_is_no_end_of_an_answer() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("bound");
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            if read_message(&mut stream).is_some() {
                stream.write_all(b"HTTP/1.1 200 OK\r\n\r\nhalf").expect("the balancer reads");
                thread::sleep(Duration::from_millis(50));
                SockRef::from(&stream).set_linger(Some(Duration::ZERO)).expect("set");
            }
        }
    });
    let (balancer, _discovery) = Balancer::with(&[endpoint("s-1", address, 0, "ready")], 30.0);
    assert_eq!(balancer.client().ask("order", "one").status(), 502);
}
