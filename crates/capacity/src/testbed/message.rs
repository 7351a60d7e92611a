//! A minimal HTTP/1.1 parser for the stand-in servers and the client. It finds headers and the end of a message; a body
//! must have a `Content-Length`.

/// Maximum length of an HTTP message, head and body together, in bytes.
pub(super) const MAX_MESSAGE_BYTES: usize = 64 * 1024;

/// Length of the head of an HTTP message including the empty line, in bytes, or `None` while the head is incomplete.
pub(super) fn head_end(bytes: &[u8]) -> Option<usize> {
    bytes.windows(4).position(|four| four == b"\r\n\r\n").map(|at| at + 4)
}

/// Value of the header `name` in the head of a message. Names are compared without regard to case.
pub(super) fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.split("\r\n").skip(1).find_map(|line| {
        let (key, value) = line.split_once(':')?;
        key.eq_ignore_ascii_case(name).then(|| value.trim())
    })
}

/// The head of an HTTP message, and the offsets of its body in the bytes that begin with the message.
pub(super) struct Message<'a> {
    /// The start line and the headers of the HTTP message, including the empty line.
    pub(super) head: &'a str,
    /// Offset of the start of the HTTP body from the start of the message, in bytes.
    pub(super) body_start: usize,
    /// Offset of the end of the HTTP body from the start of the message, in bytes.
    pub(super) end: usize,
}

/// Parses the message at the start of `bytes`; `None` while it is incomplete.
pub(super) fn message(bytes: &[u8]) -> Option<Message<'_>> {
    let head_end = head_end(bytes)?;
    let head = std::str::from_utf8(&bytes[..head_end]).ok()?;
    let length: usize = header(head, "content-length").map_or(Some(0), |value| value.parse().ok())?;
    let end = head_end + length;
    (bytes.len() >= end).then_some(Message { head, body_start: head_end, end })
}
