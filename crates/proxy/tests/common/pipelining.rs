//! Clients that send several requests at once on a connection.

use std::net::SocketAddr;

use super::{Client, wait_for};

/// Number of requests that a client sends at once.
pub const AT_ONCE: usize = 8;

/// How the length of a request's body is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyFraming {
    Length,
    Chunks,
}

/// Returns the bytes of an order whose body of `body_bytes` bytes starts with `name`, and whose client waits for
/// `seconds`.
pub fn order_named(name: &str, body_bytes: usize, seconds: f64, framing: BodyFraming) -> Vec<u8> {
    let body = name.to_owned() + &"x".repeat(body_bytes - name.len());
    let head = format!(
        "POST /order HTTP/1.1\r\nHost: a\r\nX-Request-Id: {name}\r\nX-Tenant: acme\r\nX-Deadline: {seconds}\r\n"
    );
    let rest = match framing {
        BodyFraming::Length => format!("Content-Length: {}\r\n\r\n{body}", body.len()),
        BodyFraming::Chunks => {
            format!("Transfer-Encoding: chunked\r\n\r\n{:x}\r\n{body}\r\n0\r\n\r\n", body.len())
        }
    };
    (head + &rest).into_bytes()
}

/// Returns the bytes of [`AT_ONCE`] orders named `0`, `1` and so on, one after the other.
pub fn orders_at_once(body_bytes: usize, seconds: f64) -> Vec<u8> {
    let order = |number: usize| order_named(&number.to_string(), body_bytes, seconds, BodyFraming::Length);
    (0..AT_ONCE).flat_map(order).collect()
}

/// Returns the number of bytes from the client at `client` that are in the socket of the balancer at `balancer` and that
/// it has not read; `None` once the balancer has closed the connection.
pub fn unread_bytes(balancer: SocketAddr, client: SocketAddr) -> Option<usize> {
    /// States of a connection that this side has not closed, as the system lists them: established, and closed by the
    /// peer alone.
    const OPEN: [&str; 2] = ["01", "08"];
    let table = std::fs::read_to_string("/proc/net/tcp").expect("the system lists its sockets");
    let (local, remote) = (format!(":{:04X}", balancer.port()), format!(":{:04X}", client.port()));
    let fields = table.lines().map(|line| line.split_whitespace().collect::<Vec<_>>()).find(|fields| {
        fields[1].ends_with(&local) && fields[2].ends_with(&remote) && OPEN.contains(&fields[3])
    })?;
    // Field 4 holds the lengths of the send queue and of the receive queue in hexadecimal.
    let (_, unread) = fields[4].split_once(':')?;
    usize::from_str_radix(unread, 16).ok()
}

/// Waits until the balancer has read so far on a connection that at most `unread` bytes of the client are left.
pub fn wait_unread(balancer: SocketAddr, client: &Client, unread: usize) {
    let client = client.0.local_addr().expect("the socket has a local address");
    wait_for("the balancer reads ahead", || {
        unread_bytes(balancer, client).is_some_and(|left| left <= unread).then_some(())
    });
}
