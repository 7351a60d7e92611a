//! Clients that write the bytes of requests themselves and read the answers.

use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::Duration;

use super::{HANG_TIMEOUT, Message, read_message, read_until_closed};

/// Returns the text of a request of this class with this body, as a client writes it.
fn request(class: &str, body: &str) -> String {
    let (method, key) = if class == "read" { ("GET", "") } else { ("POST", "Idempotency-Key: k-1\r\n") };
    format!(
        "{method} /{class}?k=7f HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: r-1\r\nX-Tenant: acme\r\n\
         X-Deadline: 50\r\n{key}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Returns the bytes of a request of the class `order`, followed by `extra`.
pub fn order_followed_by(extra: &[u8]) -> Vec<u8> {
    let head = "POST /order?k=7f HTTP/1.1\r\nHost: a\r\nX-Request-Id: r\r\nX-Tenant: acme\r\n\
                Content-Length: 3\r\n\r\none";
    [head.as_bytes(), extra].concat()
}

/// A client with one connection.
pub struct Client(pub TcpStream);

impl Client {
    pub fn connect(address: SocketAddr) -> Self {
        Self::new(TcpStream::connect(address).expect("the connection is accepted"))
    }

    pub fn new(stream: TcpStream) -> Self {
        stream.set_read_timeout(Some(HANG_TIMEOUT)).expect("the read time-out is set");
        Self(stream)
    }

    /// Sends a health check, as the front does, and returns the status of the answer; `None` if the connection ends
    /// before the answer.
    pub fn health(&mut self) -> Option<u16> {
        self.send_bytes(b"GET /_health HTTP/1.1\r\nHost: a\r\n\r\n");
        self.answer().map(|answer| answer.status())
    }

    /// Sends a request and returns its answer; `None` if the connection is closed before the answer is complete.
    pub fn try_ask(&mut self, class: &str, body: &str) -> Option<Message> {
        self.0.write_all(request(class, body).as_bytes()).ok()?;
        self.answer()
    }

    /// Sends a request without reading its answer.
    pub fn send(&mut self, class: &str, body: &str) {
        self.send_bytes(request(class, body).as_bytes());
    }

    pub fn send_bytes(&mut self, bytes: &[u8]) {
        self.0.write_all(bytes).expect("the bytes are written");
    }

    /// Reads the next answer; `None` if the connection ends before the answer is complete.
    pub fn answer(&mut self) -> Option<Message> {
        read_message(&mut self.0)
    }

    /// Sends a request and returns its answer.
    pub fn ask(&mut self, class: &str, body: &str) -> Message {
        self.send(class, body);
        self.answer().expect("an answer before the connection ends")
    }
}

/// How long after the deadline of its request an answer may arrive at the latest.
pub const ANSWER_SLACK: Duration = Duration::from_millis(500);

/// Returns the bytes of a request with this body and a deadline of this many seconds.
pub fn request_with_deadline(class: &str, body: &str, seconds: f64) -> Vec<u8> {
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

/// Closes the sending side and returns whether the connection ends without further data, that is, whether no request
/// was answered twice.
pub fn closes_without_data(client: Client) -> bool {
    client.0.shutdown(Shutdown::Write).expect("the connection is open");
    read_until_closed(client.0).is_empty()
}
