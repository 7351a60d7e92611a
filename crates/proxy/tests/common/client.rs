//! Clients that write requests byte by byte and read what comes.

use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::Duration;

use super::{LONG, Message, all_of, read_message};

/// The text of a request as clients write it.
fn request(class: &str, body: &str) -> String {
    let (method, key) = if class == "read" { ("GET", "") } else { ("POST", "Idempotency-Key: k-1\r\n") };
    format!(
        "{method} /{class}?k=7f HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: r-1\r\nX-Tenant: acme\r\n\
         X-Deadline: 50\r\n{key}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// A client's request with these bytes behind it.
pub fn order_with(extra: &[u8]) -> Vec<u8> {
    let head = "POST /order?k=7f HTTP/1.1\r\nHost: a\r\nX-Request-Id: r\r\nX-Tenant: acme\r\n\
                Content-Length: 3\r\n\r\none";
    [head.as_bytes(), extra].concat()
}

/// A client's connection.
pub struct Client(pub TcpStream);

impl Client {
    pub fn connect(address: SocketAddr) -> Self {
        Self::new(TcpStream::connect(address).expect("accepted"))
    }

    pub fn new(stream: TcpStream) -> Self {
        stream.set_read_timeout(Some(LONG)).expect("set");
        Self(stream)
    }

    /// Asks for the balancer's health, as the front does; `None` if the connection ends before the answer.
    pub fn health(&mut self) -> Option<u16> {
        self.raw(b"GET /_health HTTP/1.1\r\nHost: a\r\n\r\n");
        self.answer().map(|answer| answer.status())
    }

    /// Asks on a connection that may be closed by now.
    pub fn try_ask(&mut self, class: &str, body: &str) -> Option<Message> {
        self.0.write_all(request(class, body).as_bytes()).ok()?;
        self.answer()
    }

    pub fn send(&mut self, class: &str, body: &str) {
        self.raw(request(class, body).as_bytes());
    }

    pub fn raw(&mut self, bytes: &[u8]) {
        self.0.write_all(bytes).expect("written");
    }

    /// The answer, if one comes before the connection ends.
    pub fn answer(&mut self) -> Option<Message> {
        read_message(&mut self.0)
    }

    pub fn ask(&mut self, class: &str, body: &str) -> Message {
        self.send(class, body);
        self.answer().expect("an answer")
    }
}

/// An answer must have arrived this long after its request's time at the latest.
pub const ANSWER_SLACK: Duration = Duration::from_millis(500);

/// A request whose client has so many seconds left.
pub fn timed(class: &str, body: &str, seconds: f64) -> Vec<u8> {
    let (method, key) = if class == "read" {
        ("GET", String::new())
    } else {
        ("POST", format!("Idempotency-Key: {body}\r\n"))
    };
    format!(
        "{method} /{class}?k=7f HTTP/1.1\r\nHost: a\r\nX-Request-Id: {body}\r\nX-Tenant: acme\r\n\
         X-Deadline: {seconds}\r\n{key}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

/// Whether the connection ends with nothing more on it: each request has had its one answer.
pub fn ends_empty(client: Client) -> bool {
    client.0.shutdown(Shutdown::Write).expect("open");
    all_of(client.0).is_empty()
}
