//! Reading of HTTP messages from a connection, and of all bytes up to its end.

use std::io::{ErrorKind, Read};
use std::net::TcpStream;

use super::HANG_TIMEOUT;

/// An HTTP message as it was received. Header names are in lower case.
#[derive(Debug, Clone)]
pub struct Message {
    /// Request line or status line.
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Size of the head and the body in bytes.
    pub size: usize,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(header, _)| header == name).map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|status| status.parse().ok()).expect("a status line")
    }
}

/// Reads a message; `None` if the connection ends before the message is complete.
pub fn read_message(stream: &mut TcpStream) -> Option<Message> {
    let mut bytes = Vec::new();
    let mut byte = [0];
    while !bytes.ends_with(b"\r\n\r\n") {
        match stream.read(&mut byte) {
            Ok(1) => bytes.push(byte[0]),
            Ok(_) => return None,
            Err(error) if error.kind() == ErrorKind::WouldBlock => panic!("timed out waiting for a byte"),
            Err(_) => return None,
        }
    }
    let head = String::from_utf8(bytes).expect("a head in UTF-8");
    let mut lines = head.split("\r\n");
    let line = lines.next().expect("a start line").to_owned();
    let headers: Vec<(String, String)> = lines
        .filter_map(|line| line.split_once(": "))
        .map(|(name, value)| (name.to_ascii_lowercase(), value.to_owned()))
        .collect();
    let length = headers.iter().find(|(name, _)| name == "content-length");
    let length = length.map_or(0, |(_, value)| value.parse().expect("a content length in digits"));
    let mut body = vec![0; length];
    stream.read_exact(&mut body).ok()?;
    Some(Message { line, headers, body, size: head.len() + length })
}

/// Reads all bytes from a connection until it ends or is reset.
pub fn read_until_closed(mut stream: TcpStream) -> Vec<u8> {
    stream.set_read_timeout(Some(HANG_TIMEOUT)).expect("the read time-out is set");
    let mut bytes = Vec::new();
    match stream.read_to_end(&mut bytes) {
        Ok(_) => bytes,
        Err(error) if error.kind() == ErrorKind::ConnectionReset => bytes,
        Err(error) => panic!("timed out waiting for the connection to close: {error}"),
    }
}
