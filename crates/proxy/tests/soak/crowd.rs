//! A crowd of clients without a valid request: silent, half way through a head or a body, with endless heads, sending much
//! at once and leaving, or reading their answers slowly.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use oorandom::Rand64;
use socket2::SockRef;

/// Longest time for which a bad client stays.
const MAX_STAY: Duration = Duration::from_secs(3);
/// Pause of a bad client before it connects again.
const PAUSE: Duration = Duration::from_millis(200);
/// Largest body of a request.
const BODY_BYTES: usize = 64 * 1024;

/// Connects again and again until `stopped` is set, each time with a drawn kind of behaviour.
pub fn behave_badly(address: SocketAddr, seed: u64, stopped: &AtomicBool) {
    let mut draws = Rand64::new(seed.into());
    while !stopped.load(Ordering::Relaxed) {
        if let Ok(stream) = TcpStream::connect(address) {
            // An error means that the program has closed the connection.
            let _ = visit(stream, draws.rand_range(0..7), stopped);
        }
        thread::sleep(PAUSE);
    }
}

fn visit(mut stream: TcpStream, kind: u64, stopped: &AtomicBool) -> std::io::Result<()> {
    let head = |class: &str, length: usize| {
        format!(
            "POST /{class} HTTP/1.1\r\nHost: a\r\nX-Request-Id: crowd\r\nX-Tenant: acme\r\nX-Deadline: 1\r\n\
             Content-Length: {length}\r\n\r\n"
        )
    };
    match kind {
        0 => {}
        1 => stream.write_all(b"POST /order HTTP/1.1\r\nHost: a\r\n")?,
        2 => {
            stream.write_all(head("order", BODY_BYTES).as_bytes())?;
            stream.write_all(&[b'b'; BODY_BYTES / 2])?;
        }
        3 => stream.write_all(format!("GET / HTTP/1.1\r\n{}", "a:b\r\n".repeat(5000)).as_bytes())?,
        4 => {
            let order = head("order", 4096) + &"b".repeat(4096);
            stream.write_all(order.repeat(20).as_bytes())?;
            return Ok(());
        }
        5 => stream.write_all("GET /_health HTTP/1.1\r\nHost: a\r\n\r\n".repeat(200).as_bytes())?,
        _ => {
            SockRef::from(&stream).set_recv_buffer_size(2048)?;
            stream.write_all((head("order", BODY_BYTES) + &"b".repeat(BODY_BYTES)).as_bytes())?;
            return read_slowly(&mut stream, stopped);
        }
    }
    read_slowly(&mut stream, stopped)
}

/// Reads a little at a time until the program closes the connection.
fn read_slowly(stream: &mut TcpStream, stopped: &AtomicBool) -> std::io::Result<()> {
    let since = Instant::now();
    stream.set_read_timeout(Some(PAUSE))?;
    while since.elapsed() < MAX_STAY && !stopped.load(Ordering::Relaxed) {
        match stream.read(&mut [0; 1024]) {
            Ok(0) => return Ok(()),
            Ok(_) => thread::sleep(Duration::from_millis(20)),
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}
